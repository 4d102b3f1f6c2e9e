//! Connections whose other side is silent or gone.

use std::time::Duration;

use cottoncrank_net::keepalive::{self, LOSS_TIME};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Returns a connection that is probed, and its other side.
async fn connect() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (connected, accepted) =
        tokio::join!(TcpStream::connect(listener.local_addr().unwrap()), listener.accept());
    let connected = connected.unwrap();
    keepalive::enable(&connected).unwrap();
    (connected, accepted.unwrap().0)
}

/// Guards against connections that stay open for good when the other side is gone without a word.
#[tokio::test]
async fn a_connection_fails_within_the_loss_time_if_no_probe_is_answered() {
    let (connected, _other) = connect().await;
    let socket = SockRef::from(&connected);
    assert!(socket.keepalive().unwrap());
    let (idle, interval) = (socket.tcp_keepalive_time().unwrap(), socket.tcp_keepalive_interval().unwrap());
    assert_eq!(idle + interval * socket.tcp_keepalive_retries().unwrap(), LOSS_TIME.duration());
}

/// Guards against silence that is taken for loss.
#[tokio::test]
async fn a_connection_whose_other_side_is_only_silent_stays_open() {
    let (mut connected, mut other) = connect().await;
    let mut byte = [0];
    let silence = LOSS_TIME.duration() + Duration::from_millis(1500);
    let read = tokio::time::timeout(silence, connected.read_exact(&mut byte)).await;
    assert!(read.is_err(), "{read:?}");
    other.write_all(b"x").await.unwrap();
    connected.read_exact(&mut byte).await.unwrap();
    assert_eq!(&byte, b"x");
}
