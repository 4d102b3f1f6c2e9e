//! The entry process of a node. It accepts callers' requests and routes each to a group
//! or backend server. A caller gets either the complete answer or an error that says
//! whether the request may have run.
//!
//! A request passes through [`front`] (ports and paths), [`caller`] (account and options)
//! and [`keys`] (idempotency keys). Model requests are then run by [`relay`] and encoded
//! by [`api`], requests to plain services are run by [`services`]. [`failure`] defines
//! the errors.
//!
//! ```no_run
//! # fn example(settings: cottoncrank_entry::settings::Settings) -> std::io::Result<()> {
//! let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
//! let callers = std::net::TcpListener::bind(settings.listen)?;
//! let peers = std::net::TcpListener::bind(settings.peer)?;
//! let policy = cottoncrank::registry::find_route(&settings.route).expect("checked");
//! let entry = cottoncrank_entry::Entry::start(settings, policy, callers, peers, runtime.handle())?;
//! # Ok(())
//! # }
//! ```

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use cottoncrank::resources::Port;
use cottoncrank::{Millis, route};
use cottoncrank_net::client::{Client, Tally, Traffic};
use cottoncrank_net::server::{Server, Slots, serve_within};
use tokio::runtime::Handle;
use tokio::task::AbortHandle;

pub mod api;
pub mod caller;
pub mod failure;
pub mod front;
pub mod keys;
pub mod link;
pub mod relay;
pub mod services;
pub mod settings;
pub mod state;

use settings::Settings;
use state::State;

/// How often a drain checks whether requests are still in flight.
const DRAIN_POLL_INTERVAL: Millis = Millis(50);

/// A running entry. Dropping it stops it at once, without a drain.
pub struct Entry {
    state: Arc<State>,
    traffic: Traffic,
    link: AbortHandle,
    callers: Server,
    _peers: Server,
}

impl Entry {
    /// Starts an entry on its two listeners. The link to the controller runs on `runtime`.
    pub fn start(
        settings: Settings,
        policy: route::Policy,
        callers: TcpListener,
        peers: TcpListener,
        runtime: &Handle,
    ) -> io::Result<Entry> {
        let traffic = Traffic::default();
        let threads = settings.threads;
        let state = Arc::new(State::new(settings, Client::new(traffic.clone()), policy));
        let slots = |port| Slots::new(state.resources.clone(), port);
        let service = Arc::new(front::CallerService(state.clone()));
        let callers = serve_within(callers, threads, service, slots(Port::Callers))?;
        let service = Arc::new(front::PeerService(state.clone()));
        let peers = serve_within(peers, 1, service, slots(Port::Peers))?;
        let link = runtime.spawn(link::run(state.clone())).abort_handle();
        log::info!(
            "node: entry of {} is listening for requests on {}",
            state.settings.node,
            callers.address()
        );
        Ok(Entry { state, traffic, link, callers, _peers: peers })
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the state shared by its threads.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Returns the traffic with backend servers, other entries and the controller.
    pub fn traffic(&self) -> Tally {
        self.traffic.tally()
    }

    /// Refuses new requests and waits up to `max_wait` for those in flight. Returns how
    /// many are still in flight.
    pub async fn drain(&self, max_wait: Millis) -> usize {
        self.state.drain();
        let end = self.state.now() + max_wait;
        while self.state.running() > 0 && self.state.now() < end {
            tokio::time::sleep(DRAIN_POLL_INTERVAL.duration()).await;
        }
        self.state.running()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.link.abort();
    }
}
