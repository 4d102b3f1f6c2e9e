//! Answers that their caller does not read.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cottoncrank_net::server::{Answer, Head, Incoming, Service, Status, UNREAD_TIMEOUT, reply_feed, serve};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// A service whose answers have no end, and which tells when one is given up.
struct Endless(mpsc::UnboundedSender<Instant>);

impl Service for Endless {
    async fn answer(&self, _: Head, _: Incoming) -> Answer {
        let (sender, answer) = reply_feed(Status::OK, "text/plain", 1);
        let given_up = self.0.clone();
        tokio::spawn(async move {
            while sender.send(Bytes::from_static(&[b'x'; 65_536])).await.is_ok() {}
            given_up.send(Instant::now()).unwrap();
        });
        answer
    }
}

/// Guards against a caller that reads nothing and holds an answer, and what its request holds, for good.
#[tokio::test]
async fn an_answer_is_given_up_if_its_caller_reads_nothing() {
    let (given_up, mut giving_up) = mpsc::unbounded_channel();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = serve(listener, 1, Arc::new(Endless(given_up))).unwrap();
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nHost: test\r\n\r\n").await.unwrap();
    let began = Instant::now();
    let bound = 2 * UNREAD_TIMEOUT.duration();
    let ended = tokio::time::timeout(bound, giving_up.recv()).await.expect("the answer is held").unwrap();
    let took = ended.duration_since(began);
    assert!(took > UNREAD_TIMEOUT.duration() - Duration::from_secs(1), "it took {took:?}");
    drop(stream);
}
