//! The HTTP port for health checks and metrics that every program has.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::server::{Answer, Head, Incoming, Server, Service, Status, reply, reply_not_found, serve};

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
    Ok((ready, Some(serve(TcpListener::bind(address)?, 1, service)?)))
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
