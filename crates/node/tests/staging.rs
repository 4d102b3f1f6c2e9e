//! Orders to stage a model that a runner does not take: they are sent again.
//!
//! The failure: a runner that answered 409, or whose answer was lost, counted as loading for three load times.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::{Fleet, KEY};
use cottoncrank_platform_standin::operator::config;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Far more than the test lasts.
const LOAD_SECONDS: f64 = 60.0;

/// An answer that comes so late is not waited for, and an order that is due again has been sent twice by then.
const LATE: Duration = Duration::from_secs(6);

/// How a runner does not take an order to stage.
#[derive(Clone, Copy)]
enum Untaken {
    /// It answers 409.
    Unfit,
    /// It closes the connection without an answer.
    Lost,
    /// It takes the order, and its answer comes later than the decider waits for it.
    Late,
}

/// Starts a proxy in front of a runner that answers orders to stage itself, and counts them.
async fn start(runner: SocketAddr, untaken: Untaken, count: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, runner, untaken, count.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, runner: SocketAddr, untaken: Untaken, count: Arc<AtomicUsize>) {
    let Ok(mut real) = TcpStream::connect(runner).await else { return };
    let (mut asked, mut answered) = ([0; 8192], [0; 8192]);
    loop {
        tokio::select! {
            read = stream.read(&mut asked) => match read {
                Ok(read) if read > 0 => {
                    if String::from_utf8_lossy(&asked[..read]).contains(r#""op":"stage""#) {
                        count.fetch_add(1, Ordering::Relaxed);
                        match untaken {
                            Untaken::Unfit => {
                                let answer = b"HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
                                let _ = stream.write_all(answer).await;
                            }
                            Untaken::Lost => {}
                            Untaken::Late => tokio::time::sleep(LATE).await,
                        }
                        return;
                    }
                    if real.write_all(&asked[..read]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            },
            read = real.read(&mut answered) => match read {
                Ok(read) if read > 0 && stream.write_all(&answered[..read]).await.is_ok() => {}
                _ => return,
            },
        }
    }
}

/// Starts a fleet with such a proxy in front of each runner, and returns what these count.
async fn start_fleet(untaken: Untaken) -> (Fleet, Vec<Arc<AtomicUsize>>) {
    let fleet = Fleet::unconfigured(1).await;
    let mut counts = Vec::new();
    for engine in &fleet.engines {
        let count = Arc::new(AtomicUsize::new(0));
        let address = start(engine.address(), untaken, count.clone()).await;
        engine.advertise(address);
        let knows = |fleet: &Fleet| {
            let roster = fleet.nodes[0].node.roster.lock();
            roster.get(&engine.id().parse().unwrap()).is_some_and(|runner| runner.address == address)
        };
        fleet.wait("the node knows the proxy", knows).await;
        counts.push(count);
    }
    let mut config = config(1, &[KEY]);
    config["services"][0]["engine"]["models"][0]["loadS"] = json!(LOAD_SECONDS);
    fleet.store.configure(&config);
    (fleet, counts)
}

fn sum(counts: &[Arc<AtomicUsize>]) -> usize {
    counts.iter().map(|count| count.load(Ordering::Relaxed)).sum()
}

async fn assert_sent_again(untaken: Untaken) {
    let (fleet, counts) = start_fleet(untaken).await;
    fleet.wait("an order to stage", |_| sum(&counts) >= 1).await;
    fleet.wait("it is sent again twice", |_| sum(&counts) >= 3).await;
}

/// The runner loads, so that the order would only count one more load.
#[tokio::test]
async fn an_order_to_stage_whose_answer_is_late_is_not_sent_again() {
    let (fleet, counts) = start_fleet(Untaken::Late).await;
    fleet.wait("an order to stage", |_| sum(&counts) >= 1).await;
    tokio::time::sleep(LATE).await;
    assert!(counts.iter().all(|count| count.load(Ordering::Relaxed) <= 1), "{counts:?}");
}

#[tokio::test]
async fn an_order_to_stage_that_does_not_fit_is_sent_again() {
    assert_sent_again(Untaken::Unfit).await;
}

#[tokio::test]
async fn an_order_to_stage_whose_answer_is_lost_is_sent_again() {
    assert_sent_again(Untaken::Lost).await;
}
