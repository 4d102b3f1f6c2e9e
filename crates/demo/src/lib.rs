//! The whole of cottoncrank on one machine: [`fleet`] builds it on loopback,
//! [`caller`] asks it. The demo's `main` tells the story; the failure tests
//! under `tests/` break it.
//!
//! ```no_run
//! use cottoncrank_demo::fleet::{Fleet, FleetError, Plan};
//!
//! # async fn example() -> Result<(), FleetError> {
//! let fleet = Fleet::start(Plan::default(), &tokio::runtime::Handle::current())?;
//! fleet.configure().await?;
//! # Ok(())
//! # }
//! ```

pub mod caller;
pub mod fleet;
