//! Connections of a server that has few slots for them.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cottoncrank::Size;
use cottoncrank::clock::System;
use cottoncrank::resources::{Machine, Port};
use cottoncrank_net::feed::Sender;
use cottoncrank_net::resources::Resources;
use cottoncrank_net::server::{
    Answer, Head, Incoming, Server, Service, Slots, Status, discard_body, reply, reply_feed, serve_within,
};
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Callers have four connections there.
const MACHINE: Machine = Machine { memory: Size::megabytes(96), sockets: 16 };
const CONNECTIONS: usize = 4;

/// How long something that has to come is waited for.
const WAIT: Duration = Duration::from_secs(20);

/// Answers `/whole` at once, `/late` when it is let to, `/body` once the body is there, and begins an answer that
/// goes on otherwise.
struct Script {
    late: Semaphore,
    /// The requests that wait for that.
    waiting: Semaphore,
    begun: Mutex<Vec<Sender>>,
}

impl Service for Script {
    async fn answer(&self, head: Head, mut body: Incoming) -> Answer {
        match head.uri().path() {
            "/whole" => {}
            "/late" => {
                self.waiting.add_permits(1);
                self.late.acquire().await.unwrap().forget();
            }
            "/body" => discard_body(&mut body).await,
            _ => {
                let (sender, answer) = reply_feed(Status::OK, "text/plain", 1);
                self.begun.lock().push(sender);
                return answer;
            }
        }
        reply(Status::OK, "text/plain", "done")
    }
}

struct World {
    server: Server,
    script: Arc<Script>,
    resources: Resources,
}

impl World {
    fn start() -> World {
        let script =
            Arc::new(Script { late: Semaphore::new(0), waiting: Semaphore::new(0), begun: Mutex::default() });
        let resources = Resources::new(&MACHINE, System::new());
        let slots = Slots::new(resources.clone(), Port::Callers);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = serve_within(listener, 1, script.clone(), slots).unwrap();
        World { server, script, resources }
    }

    async fn send(&self, path: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.server.address()).await.unwrap();
        let text = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).await.unwrap();
        stream
    }
}

/// Reads until the text has arrived.
async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut read = String::new();
    while !read.contains(text) {
        let mut bytes = [0; 1024];
        let count =
            tokio::time::timeout(WAIT, stream.read(&mut bytes)).await.expect("it waits for good").unwrap();
        assert!(count > 0, "closed after {read:?}");
        read.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    read
}

/// Waits until the server closes the connection, and returns what it sent before.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset ends it as well.
    let _ = tokio::time::timeout(WAIT, stream.read_to_end(&mut bytes)).await.expect("it is not closed");
    String::from_utf8_lossy(&bytes).into_owned()
}

#[tokio::test]
async fn the_connection_that_rests_for_the_longest_time_closes_for_a_new_one() {
    let world = World::start();
    let mut resting = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = world.send("/whole").await;
        read_until(&mut stream, "done").await;
        resting.push(stream);
    }
    let mut new = world.send("/whole").await;
    read_until(&mut new, "done").await;
    assert_eq!(read_to_end(&mut resting[0]).await, "");
    assert_eq!(world.resources.count_open(Port::Callers), CONNECTIONS);
}

/// Guards against a slot that is given away while its connection stays open.
#[tokio::test]
async fn no_connection_closes_while_its_answer_is_sent() {
    let world = World::start();
    let mut served = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = world.send("/begun").await;
        read_until(&mut stream, "200 OK").await;
        served.push(stream);
    }
    let mut new = world.send("/whole").await;
    assert_eq!(read_to_end(&mut new).await, "");
    let senders = std::mem::take(&mut *world.script.begun.lock());
    for (sender, stream) in senders.iter().zip(&mut served) {
        sender.send(Bytes::from_static(b"the rest")).await.unwrap();
        read_until(stream, "the rest").await;
    }
    assert_eq!(world.resources.count_open(Port::Callers), CONNECTIONS);
}

#[tokio::test]
async fn a_connection_whose_request_is_handled_closes_behind_its_answer() {
    let world = World::start();
    let mut handled = Vec::new();
    for _ in 0..CONNECTIONS {
        handled.push(world.send("/late").await);
    }
    let waiting = world.script.waiting.acquire_many(CONNECTIONS as u32);
    let _all = tokio::time::timeout(WAIT, waiting).await.expect("the requests are not handled").unwrap();
    let mut new = world.send("/whole").await;
    read_until(&mut new, "done").await;
    world.script.late.add_permits(CONNECTIONS);
    let mut closed = 0;
    for stream in &mut handled {
        let answer = read_until(stream, "done").await;
        closed += usize::from(answer.to_lowercase().contains("connection: close"));
    }
    assert_eq!(closed, 1);
}

/// Guards against a refused body that is waited for without an end.
#[tokio::test]
async fn a_refused_body_that_is_not_sent_is_given_up() {
    let world = World::start();
    let mut stream = TcpStream::connect(world.server.address()).await.unwrap();
    stream.write_all(b"POST /body HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n\r\n").await.unwrap();
    read_until(&mut stream, "done").await;
}
