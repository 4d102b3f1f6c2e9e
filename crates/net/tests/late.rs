//! Answers that have arrived while the tasks of this process had no turn.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use cottoncrank::Millis;
use cottoncrank_net::client::{Client, Traffic};
use hyper::Method;
use hyper::header::HeaderMap;

const TIMEOUT: Millis = Millis(400);

/// How long after a request its answer comes.
const DELAY: Duration = Duration::from_millis(50);

/// How long no task has a turn. The answer is then late by less than the client accepts.
const BLOCKED: Duration = Duration::from_millis(600);

/// Answers each request on one connection.
fn serve(listener: TcpListener) {
    let (mut stream, _) = listener.accept().unwrap();
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).is_ok_and(|read| read > 0) {
        std::thread::sleep(DELAY);
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
    }
}

/// Guards against a call that is given up by its timer although its answer waits in the socket.
#[tokio::test]
async fn an_answer_that_came_while_no_task_had_a_turn_is_read() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || serve(listener));
    let client = Client::new(Traffic::default());
    let exchange = || client.exchange(address, Method::GET, "/", HeaderMap::new(), Bytes::new(), TIMEOUT);
    exchange().await.unwrap();
    let block = async {
        tokio::time::sleep(DELAY / 5).await;
        std::thread::sleep(BLOCKED);
    };
    let (answer, ()) = tokio::join!(exchange(), block);
    assert_eq!(answer.unwrap().body().as_ref(), b"ok");
}
