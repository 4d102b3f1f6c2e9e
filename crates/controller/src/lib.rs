//! The control process of a node. Controllers tell each other what they know
//! ([`gossip`]), share the watching of runners ([`runners`]), decide for fabric
//! domains ([`domains`]), take operators' commands ([`operate`]) and give the
//! entry of their box a view of where work can go ([`views`]).
//!
//! ```no_run
//! # fn example(settings: cottoncrank_controller::settings::Settings) -> std::io::Result<()> {
//! let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
//! let listener = std::net::TcpListener::bind(settings.listen)?;
//! let controller = cottoncrank_controller::Controller::start(settings, listener, runtime.handle())?;
//! # Ok(())
//! # }
//! ```

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use cottoncrank::clock::System;
use cottoncrank_net::client::{Client, Reach, Tally, Traffic};
use cottoncrank_net::server::{Server, serve};
use cottoncrank_net::store::{Calls, Store};
use tokio::runtime::Handle;
use tokio::task::AbortHandle;

pub mod configure;
pub mod domains;
pub mod gossip;
pub mod listing;
pub mod operate;
pub mod runners;
mod server;
pub mod settings;
pub mod state;
pub mod views;

use settings::Settings;
use state::State;

/// A running controller. Dropping it stops it as a crash would.
pub struct Controller {
    state: Arc<State>,
    tasks: Vec<AbortHandle>,
    traffics: Traffics,
    _server: Server,
}

/// Bytes on connections made by a controller, heads included.
#[derive(Clone, Debug, Default)]
struct Traffics {
    peers: Traffic,
    runners: Traffic,
    store: Traffic,
}

impl Controller {
    /// Starts a controller on `listener`, its tasks on `runtime`.
    pub fn start(settings: Settings, listener: TcpListener, runtime: &Handle) -> io::Result<Controller> {
        Controller::start_within(settings, Reach::default(), listener, runtime)
    }

    /// Starts a controller whose calls go no further than `reach` allows, as
    /// failure tests need it.
    pub fn start_within(
        settings: Settings,
        reach: Reach,
        listener: TcpListener,
        runtime: &Handle,
    ) -> io::Result<Controller> {
        let clock = System::new();
        let traffics = Traffics::default();
        let client = |traffic: &Traffic| Client::with_reach(traffic.clone(), reach.clone());
        let store = Store::new(settings.store, client(&traffics.store), clock.clone());
        let state = State::new(settings, client(&traffics.peers), client(&traffics.runners), store, clock);
        let state = Arc::new(state);
        state.write_self();
        let server = serve(listener, 1, Arc::new(server::Front(state.clone())))?;
        let tasks = vec![
            runtime.spawn(gossip::run(state.clone())).abort_handle(),
            runtime.spawn(runners::run(state.clone())).abort_handle(),
            runtime.spawn(configure::run(state.clone())).abort_handle(),
            runtime.spawn(domains::run(state.clone())).abort_handle(),
            runtime.spawn(listing::run(state.clone())).abort_handle(),
            runtime.spawn(views::run(state.clone())).abort_handle(),
        ];
        log::info!(
            "node: {} of {} controls on {}",
            state.settings.node,
            state.settings.hall,
            server.address()
        );
        Ok(Controller { state, tasks, traffics, _server: server })
    }

    /// What its tasks share.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Bytes of exchanges with other controllers that this one began.
    pub fn peer_traffic(&self) -> Tally {
        self.traffics.peers.tally()
    }

    /// Bytes to and from runners and the list.
    pub fn runner_traffic(&self) -> Tally {
        self.traffics.runners.tally()
    }

    /// Bytes to and from the store.
    pub fn store_traffic(&self) -> Tally {
        self.traffics.store.tally()
    }

    /// Calls to the store.
    pub fn store_calls(&self) -> Calls {
        self.state.store.calls()
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
