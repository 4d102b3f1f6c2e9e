//! The control process of a node. Controllers replicate cluster state by [`gossip`],
//! divide the health checks of runners among themselves ([`runners`]), manage the
//! groups of fabric domains ([`domains`]), execute operators' commands ([`operate`])
//! and publish the routing view that the entry of their box uses ([`views`]).
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
use cottoncrank::resources::Port;
use cottoncrank_net::client::{Client, Tally, Traffic};
use cottoncrank_net::reach::Reach;
use cottoncrank_net::server::{Server, Slots, serve_within};
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

/// A running controller. Dropping it aborts its tasks at once, without a graceful shutdown.
pub struct Controller {
    state: Arc<State>,
    tasks: Vec<AbortHandle>,
    meters: TrafficMeters,
    _server: Server,
}

/// Counts bytes on outgoing connections of a controller, HTTP headers included.
#[derive(Clone, Debug, Default)]
struct TrafficMeters {
    peers: Traffic,
    runners: Traffic,
    store: Traffic,
}

impl Controller {
    /// Starts a controller that serves on `listener` and runs its tasks on `runtime`.
    pub fn start(settings: Settings, listener: TcpListener, runtime: &Handle) -> io::Result<Controller> {
        Controller::start_within(settings, Reach::default(), listener, runtime)
    }

    /// Starts a controller whose outgoing calls are limited by `reach`, so that
    /// failure tests can simulate network partitions.
    pub fn start_within(
        settings: Settings,
        reach: Reach,
        listener: TcpListener,
        runtime: &Handle,
    ) -> io::Result<Controller> {
        let clock = System::new();
        let meters = TrafficMeters::default();
        let client = |traffic: &Traffic| Client::with_reach(traffic.clone(), reach.clone());
        let store = Store::new(settings.store, client(&meters.store), clock.clone());
        let state = State::new(settings, client(&meters.peers), client(&meters.runners), store, clock);
        let state = Arc::new(state);
        state.write_self();
        let slots = Slots::new(state.resources.clone(), Port::Peers);
        let server = serve_within(listener, 1, Arc::new(server::Handler(state.clone())), slots)?;
        let tasks = vec![
            runtime.spawn(gossip::run(state.clone())).abort_handle(),
            runtime.spawn(runners::run(state.clone())).abort_handle(),
            runtime.spawn(configure::run(state.clone())).abort_handle(),
            runtime.spawn(domains::run(state.clone())).abort_handle(),
            runtime.spawn(listing::run(state.clone())).abort_handle(),
            runtime.spawn(views::run(state.clone())).abort_handle(),
        ];
        log::info!(
            "node: controller of {} in hall {} is listening on {}",
            state.settings.node,
            state.settings.hall,
            server.address()
        );
        Ok(Controller { state, tasks, meters, _server: server })
    }

    /// Returns the state shared by the tasks.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Returns the traffic of exchanges that this controller initiated with its peers.
    pub fn peer_traffic(&self) -> Tally {
        self.meters.peers.tally()
    }

    /// Returns the traffic with runners and the list of boxes.
    pub fn runner_traffic(&self) -> Tally {
        self.meters.runners.tally()
    }

    /// Returns the traffic with the store.
    pub fn store_traffic(&self) -> Tally {
        self.meters.store.tally()
    }

    /// Returns the number of calls to the store.
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
