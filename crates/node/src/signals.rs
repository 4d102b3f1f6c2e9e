//! The signals that a node obeys.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals to a process. Until they are listened to, each of them ends it.
pub(crate) struct Signals {
    pub(crate) stop: Stop,
    /// SIGHUP: read the settings again.
    pub(crate) reload: Signal,
}

/// SIGTERM and Ctrl-C.
pub(crate) struct Stop {
    term: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Listens from here on. What comes before it is asked for is kept.
    pub(crate) fn listen() -> io::Result<Signals> {
        let term = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Signals { stop: Stop { term, interrupt }, reload: signal(SignalKind::hangup())? })
    }
}

impl Stop {
    /// Waits until the process is told to stop.
    pub(crate) async fn wait(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
