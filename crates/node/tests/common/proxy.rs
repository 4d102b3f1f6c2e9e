//! Proxies in front of runners, which answer callers' requests or others themselves and forward the rest.

use std::net::SocketAddr;

use cottoncrank_platform_standin::raw;
use cottoncrank_platform_standin::runner::Runner;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};

use super::{Fleet, Running};

/// Answers a request of a caller, given with the head and the body, on the connection that it came on.
pub trait Answerer: Clone + Send + Sync + 'static {
    /// Whether it answers this request itself. Requests of callers are answered.
    fn answers(&self, request: &str) -> bool {
        raw::find_request_id(request).is_some()
    }

    /// Answers the request, and closes the connection by dropping it.
    fn answer(&self, stream: TcpStream, request: String) -> impl Future<Output = ()> + Send;
}

/// Starts a proxy in front of a runner.
async fn start<A: Answerer>(runner: SocketAddr, answerer: A) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, runner, answerer.clone()));
        }
    });
    address
}

async fn serve<A: Answerer>(mut stream: TcpStream, runner: SocketAddr, answerer: A) {
    // Each request of a test fits into the buffer.
    let mut buffer = [0; 8192];
    let Ok(read) = stream.read(&mut buffer).await else { return };
    let request = String::from_utf8_lossy(&buffer[..read]).into_owned();
    if answerer.answers(&request) {
        return answerer.answer(stream, request).await;
    }
    let Ok(mut real) = TcpStream::connect(runner).await else { return };
    if real.write_all(&buffer[..read]).await.is_ok() {
        let _ = copy_bidirectional(&mut stream, &mut real).await;
    }
}

fn knows_address(running: &Running, id: &str, address: SocketAddr) -> bool {
    let roster = running.node.roster.lock();
    roster.get(&id.parse().unwrap()).is_some_and(|runner| runner.address == address)
}

/// Puts a proxy in front of each of these runners, and returns once all nodes know its address.
pub async fn put<A: Answerer>(fleet: &Fleet, runners: impl IntoIterator<Item = &Runner>, answerer: A) {
    for runner in runners {
        let address = start(runner.address(), answerer.clone()).await;
        runner.advertise(address);
        let know =
            |fleet: &Fleet| fleet.nodes.iter().all(|running| knows_address(running, runner.id(), address));
        fleet.wait("the nodes know the proxy", know).await;
    }
}
