//! HTTP for the processes of cottoncrank: a server, a client, and the client of the platform's store.
//! They are built on `xitca-web` and `hyper-util`.
//!
//! ```no_run
//! use cottoncrank_net::client::{Client, Traffic};
//!
//! # async fn example() -> Result<(), cottoncrank_net::client::CallError> {
//! let client = Client::new(Traffic::default());
//! let address = "127.0.0.1:7000".parse().expect("an address");
//! let wait = cottoncrank::Millis(500);
//! let echoed: String = client.call(address, "/echo", &"hello".to_owned(), wait).await?;
//! # Ok(())
//! # }
//! ```

pub mod allowance;
pub mod client;
pub mod feed;
pub mod intake;
pub mod keepalive;
pub mod metered;
pub mod public;
pub mod reach;
pub mod resources;
pub mod server;
pub mod store;
pub mod trace;
