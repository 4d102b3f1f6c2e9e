//! A proxy on loopback that does harm to a link.

use cottoncrank::Millis;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::plan::Harm;

/// How much later bytes arrive on a delayed link: longer than first events may
/// take, shorter than the time after which nodes give up.
const DELAY: Millis = Millis(500);

/// Bytes passed on at a time.
const PIECE: usize = 16 * 1024;

/// The running proxy. Dropping it cuts its connections.
pub struct Proxy {
    address: SocketAddr,
    target: watch::Sender<SocketAddr>,
    harm: watch::Sender<Option<Harm>>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts one in front of `target`.
    pub async fn start(target: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (harm, watched) = watch::channel(None);
        let (target, to) = watch::channel(target);
        let task = tokio::spawn(accept(listener, to, watched));
        Ok(Proxy { address, target, harm, task })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it stands in front of.
    pub fn target(&self) -> SocketAddr {
        *self.target.borrow()
    }

    /// Leads new connections to another address from now on.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }

    /// Closes its port and all of its connections.
    pub fn close(&self) {
        self.task.abort();
    }

    /// Does this harm from now on, or none.
    pub fn set_harm(&self, harm: Option<Harm>) {
        self.harm.send_replace(harm);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, to: watch::Receiver<SocketAddr>, harm: watch::Receiver<Option<Harm>>) {
    // The connections end with this task.
    let mut open = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        if *harm.borrow() == Some(Harm::Reset) {
            reset(&stream);
            continue;
        }
        open.spawn(serve(stream, *to.borrow(), harm.clone()));
        while open.try_join_next().is_some() {}
    }
}

/// Makes the end of a connection a reset. A failure leaves an orderly end, which
/// is as good for a soak.
fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        eprintln!("soak: a connection is closed, not reset: {error}");
    }
}

async fn serve(mut from: TcpStream, to: SocketAddr, harm: watch::Receiver<Option<Harm>>) {
    let Ok(mut onward) = TcpStream::connect(to).await else {
        // Behind a link that is silent nobody says that the port is closed.
        let mut watched = harm;
        let _ = watched.wait_for(|harm| *harm != Some(Harm::Silence)).await;
        reset(&from);
        return;
    };
    let mut watched = harm.clone();
    let broken = {
        let (from_read, from_write) = from.split();
        let (to_read, to_write) = onward.split();
        tokio::select! {
            () = pass(from_read, to_write, harm.clone(), true) => false,
            () = pass(to_read, from_write, harm, false) => false,
            _ = watched.wait_for(|harm| *harm == Some(Harm::Reset)) => true,
        }
    };
    if broken {
        reset(&from);
        reset(&onward);
    }
}

/// Passes bytes on until either side ends. Bytes that a harm swallows are lost,
/// and so is the connection: it says nothing any more.
async fn pass(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    harm: watch::Receiver<Option<Harm>>,
    outward: bool,
) {
    let mut bytes = vec![0; PIECE];
    let mut lost = false;
    loop {
        let Ok(count) = from.read(&mut bytes).await else { return };
        if count == 0 {
            return;
        }
        let harm = *harm.borrow();
        lost |= match harm {
            Some(Harm::Silence) => true,
            Some(Harm::OneWay) => !outward,
            Some(Harm::Delay | Harm::Reset) | None => false,
        };
        if lost {
            continue;
        }
        if harm == Some(Harm::Delay) {
            tokio::time::sleep(DELAY.duration()).await;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
