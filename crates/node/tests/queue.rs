//! A node whose process does not run while many callers connect.
//!
//! The failure: the queue of its port held 128 connections. All other callers connected up to 2 s later.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::process::NodeProcess;
use common::{Fleet, KEY};
use cottoncrank_platform_standin::caller::{CallerRequest, read_to_end};
use cottoncrank_platform_standin::operator::{READ, config};
use rustix::process::Signal;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The callers that connect while the process does not run.
const CALLERS: usize = 400;

/// How long the process does not run.
const STOPPED: Duration = Duration::from_millis(1200);

/// The kernel of a caller sends its opening packet again after this time. No caller should need that.
const RESEND_TIME: Duration = Duration::from_secs(1);

/// Returns whether a caller connects before it repeats its opening packet, and the status of its request.
async fn ask(to: SocketAddr, request: String) -> (bool, u16) {
    let connecting = tokio::time::timeout(RESEND_TIME, TcpStream::connect(to)).await;
    let Ok(Ok(mut stream)) = connecting else { return (false, 0) };
    let message = CallerRequest {
        path: READ,
        request: &request,
        key: KEY,
        deadline_ms: 6000,
        body: &request,
        prompt: "",
    };
    stream.write_all(message.format().as_bytes()).await.unwrap();
    (true, read_to_end(&mut stream).await.status)
}

/// Guards against callers that cannot connect, though the process only stands still for a moment.
#[tokio::test]
async fn many_callers_connect_to_a_node_that_does_not_run_and_are_answered_once_it_does() {
    let fleet = Fleet::unconfigured(1).await;
    fleet.store.configure(&config(1, &[KEY]));
    let node = NodeProcess::start(fleet.store.address(), 7).await;
    node.signal(Signal::STOP);
    let mut asking = JoinSet::new();
    for number in 0..CALLERS {
        asking.spawn(ask(node.settings.callers, format!("r-{number}")));
    }
    tokio::time::sleep(STOPPED).await;
    node.signal(Signal::CONT);
    let ended = asking.join_all().await;
    let connected = ended.iter().filter(|(connected, _)| *connected).count();
    let answered = ended.iter().filter(|(_, status)| *status != 0).count();
    assert_eq!((connected, answered), (CALLERS, CALLERS), "{}", node.read_log());
}
