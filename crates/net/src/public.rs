//! The HTTP port for health checks and metrics that every program has.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cottoncrank::Size;
use cottoncrank::clock::System;
use cottoncrank::resources::{Machine, Port};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::resources::Resources;
use crate::server::{
    Answer, Head, Incoming, Server, Service, Slots, Status, reply, reply_not_found, serve_within,
};

/// What this port may fill, which makes 32 connections. It is apart from the account of the program, whose start it
/// comes before.
const MACHINE: Machine = Machine { memory: Size::megabytes(8), sockets: 1024 };

/// Whether the program can accept work, as `/readyz` reports it.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Sets whether the program can accept work.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }

    /// Whether the program can accept work.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

struct PublicService {
    ready: Readiness,
    metrics: PrometheusHandle,
}

/// Starts the server for health checks and metrics, if an address is given. Also returns the readiness
/// that `/readyz` reports.
pub fn start(address: Option<SocketAddr>) -> io::Result<(Readiness, Option<Server>)> {
    let ready = Readiness::default();
    let metrics = install_metrics();
    let Some(address) = address else { return Ok((ready, None)) };
    let service = Arc::new(PublicService { ready: ready.clone(), metrics });
    let slots = Slots::new(Resources::new(&MACHINE, System::new()), Port::Metrics);
    Ok((ready, Some(serve_within(TcpListener::bind(address)?, 1, service, slots)?)))
}

/// Installs the metrics recorder of this process. Only the first call in a process takes effect.
fn install_metrics() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::debug!("metrics: a recorder is already installed");
    }
    handle
}

impl Service for PublicService {
    async fn answer(&self, head: Head, _: Incoming) -> Answer {
        match head.uri().path() {
            "/livez" => reply(Status::OK, "text/plain", "live\n"),
            "/readyz" if self.ready.get() => reply(Status::OK, "text/plain", "ready\n"),
            "/readyz" => reply(Status::SERVICE_UNAVAILABLE, "text/plain", "not ready\n"),
            "/metrics" => {
                self.metrics.run_upkeep();
                reply(Status::OK, "text/plain; version=0.0.4", self.metrics.render())
            }
            _ => reply_not_found(),
        }
    }
}
