//! Bodies that are sent while they are made: how they end.

use std::pin::Pin;
use std::task::Poll;

use bytes::Bytes;
use cottoncrank_net::feed::{self, Cut, Receiver};

/// The chunks that fit into the buffer.
const DEPTH: usize = 2;

/// Reads a body to its end. Returns the number of chunks, and whether the body is complete.
async fn read(mut receiver: Receiver) -> (usize, bool) {
    let mut chunks = 0;
    loop {
        match std::future::poll_fn(|context| receiver.poll_chunk(context)).await {
            Some(Ok(_)) => chunks += 1,
            Some(Err(Cut)) => return (chunks, false),
            None => return (chunks, true),
        }
    }
}

async fn fill(sender: &feed::Sender) {
    for _ in 0..DEPTH {
        sender.send(Bytes::from_static(b"chunk")).await.unwrap();
    }
    assert_eq!(sender.buffered(), DEPTH);
}

async fn poll_once<F: Future + Unpin>(future: &mut F) -> Poll<F::Output> {
    std::future::poll_fn(|context| Poll::Ready(Pin::new(&mut *future).poll(context))).await
}

/// Guards against a mark of the end that has no room in a full buffer.
#[tokio::test]
async fn a_body_ends_as_its_sender_said_although_the_buffer_is_full() {
    for is_finished in [true, false] {
        let (sender, receiver) = feed::channel(DEPTH);
        fill(&sender).await;
        if is_finished {
            sender.finish();
        } else {
            drop(sender);
        }
        assert_eq!(read(receiver).await, (DEPTH, is_finished));
    }
}

/// Guards against a failure of the program that looks like the end of the body.
#[tokio::test]
async fn a_body_whose_sender_panics_is_cut() {
    let (sender, receiver) = feed::channel(DEPTH);
    let making = tokio::spawn(async move {
        fill(&sender).await;
        panic!("a failure of this test");
    });
    assert!(making.await.is_err());
    assert_eq!(read(receiver).await, (DEPTH, false));
}

/// Guards against a cut that shows only once the body is read.
#[tokio::test]
async fn a_cut_is_told_while_nobody_reads() {
    let (sender, receiver) = feed::channel(DEPTH);
    fill(&sender).await;
    let mut watch = receiver.watch();
    let mut waiting = Box::pin(watch.wait_cut());
    assert_eq!(poll_once(&mut waiting).await, Poll::Pending);
    drop(sender);
    assert_eq!(poll_once(&mut waiting).await, Poll::Ready(()));
}

/// Guards against a complete body that is taken for a cut one while its last chunks are unread.
#[tokio::test]
async fn a_complete_body_is_never_told_as_cut() {
    let (sender, receiver) = feed::channel(DEPTH);
    fill(&sender).await;
    let mut watch = receiver.watch();
    sender.finish();
    assert_eq!(poll_once(&mut Box::pin(watch.wait_cut())).await, Poll::Pending);
}
