//! Stand-ins for everything outside of cottoncrank: the platform's store and
//! list, model engines, a plain service, and the weights store. They are small,
//! keep all in memory, and show each failure after one admin call.
//!
//! ```no_run
//! let store = cottoncrank_standin::store::Store::start(cottoncrank_standin::listen()?)?;
//! println!("the store listens on {}", store.address());
//! # Ok::<(), std::io::Error>(())
//! ```

use std::io;
use std::net::TcpListener;

pub mod crowd;
pub mod engine;
pub mod list;
mod member;
pub mod port;
pub mod program;
pub mod service;
pub mod store;
pub mod weights;

/// A listener on a free loopback port.
pub fn listen() -> io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0")
}
