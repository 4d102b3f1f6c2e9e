//! Orders to stage a model that a runner does not take: they are sent again.
//!
//! The failure: a runner that answered 409, or whose answer was lost, counted as loading for three load times.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::{Fleet, KEY};
use cottoncrank_platform_standin::operator::config;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Far more than the test lasts.
const LOAD_SECONDS: f64 = 60.0;

/// How a runner does not take an order to stage.
#[derive(Clone, Copy)]
enum Untaken {
    /// It answers 409.
    Unfit,
    /// It closes the connection without an answer.
    Lost,
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
                        if let Untaken::Unfit = untaken {
                            let answer = b"HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
                            let _ = stream.write_all(answer).await;
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

async fn assert_sent_again(untaken: Untaken) {
    let fleet = Fleet::unconfigured(1).await;
    let count = Arc::new(AtomicUsize::new(0));
    for engine in &fleet.engines {
        let address = start(engine.address(), untaken, count.clone()).await;
        engine.advertise(address);
        let knows = |fleet: &Fleet| {
            let roster = fleet.nodes[0].node.roster.lock();
            roster.get(&engine.id().parse().unwrap()).is_some_and(|runner| runner.address == address)
        };
        fleet.wait("the node knows the proxy", knows).await;
    }
    let mut config = config(1, &[KEY]);
    config["services"][0]["engine"]["models"][0]["loadS"] = json!(LOAD_SECONDS);
    fleet.store.configure(&config);
    fleet.wait("an order to stage", |_| count.load(Ordering::Relaxed) >= 1).await;
    fleet.wait("it is sent again twice", |_| count.load(Ordering::Relaxed) >= 3).await;
}

#[tokio::test]
async fn an_order_to_stage_that_does_not_fit_is_sent_again() {
    assert_sent_again(Untaken::Unfit).await;
}

#[tokio::test]
async fn an_order_to_stage_whose_answer_is_lost_is_sent_again() {
    assert_sent_again(Untaken::Lost).await;
}
