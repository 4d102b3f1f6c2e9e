//! Bodies as they arrive, and what they take of the account until they are gone.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::Size;
use cottoncrank::clock::System;
use cottoncrank::resources::{CONNECTION, Machine, Port, Short};
use cottoncrank_net::intake::{self, IntakeError};
use cottoncrank_net::resources::{Resources, Slot};
use http_body_util::BodyExt;
use http_body_util::combinators::BoxBody;
use http_body_util::{Full, channel::Channel};

const MACHINE: Machine = Machine { memory: Size::megabytes(96), sockets: 300 };

/// The largest body.
const MAX: usize = 4 << 20;

fn start() -> (Resources, Arc<Slot>) {
    let resources = Resources::new(&MACHINE, System::new());
    let slot = resources.open(Port::Callers).unwrap();
    (resources, slot)
}

/// A body that comes in pieces, and ends if it is to.
fn pieces(piece: &'static [u8], count: usize, ends: bool) -> BoxBody<Bytes, Infallible> {
    let (mut sender, body) = Channel::new(1);
    tokio::spawn(async move {
        for _ in 0..count {
            if sender.send_data(Bytes::from_static(piece)).await.is_err() {
                return;
            }
        }
        if !ends {
            std::future::pending::<()>().await;
        }
    });
    BodyExt::boxed(body)
}

/// Guards against small pieces that take far more than their bytes.
#[tokio::test]
async fn a_body_takes_hardly_more_than_its_bytes_however_it_comes() {
    let (resources, slot) = start();
    for (piece, count) in [(&b"x"[..], 300_000), (&[b'y'; 1000], 3000), (&[b'z'; 60_000], 50)] {
        let body = intake::read(pieces(piece, count, true), MAX, &slot).await.unwrap();
        assert_eq!(body.len(), piece.len() * count);
        let held = resources.held().0 - CONNECTION.0;
        assert!(held >= body.len() && held < body.len() + 65_536, "{held} for {}", body.len());
        let sent = body.send().collect().await.unwrap().to_bytes();
        assert_eq!(sent, piece.repeat(count));
        drop((body, sent));
        assert_eq!(resources.held(), CONNECTION);
    }
}

#[tokio::test]
async fn an_empty_body_takes_nothing() {
    let (resources, slot) = start();
    let body = intake::read(Full::new(Bytes::new()), MAX, &slot).await.unwrap();
    assert!(body.is_empty());
    assert_eq!(resources.held(), CONNECTION);
}

#[tokio::test]
async fn a_body_over_its_limit_is_not_read_on() {
    let (resources, slot) = start();
    let read = intake::read(pieces(&[b'x'; 60_000], 1000, false), MAX, &slot).await;
    assert_eq!(read.unwrap_err(), IntakeError::TooLarge);
    assert_eq!(resources.held(), CONNECTION);
}

/// Guards against a body that outlives its connection and is forgotten, or is never released.
#[tokio::test]
async fn a_body_is_charged_for_as_long_as_it_is_held() {
    let (resources, slot) = start();
    let body = intake::read(pieces(&[b'x'; 1000], 1000, true), MAX, &slot).await.unwrap();
    let copy = body.clone();
    drop((body, slot));
    assert!(resources.held().0 >= copy.len());
    assert_eq!(resources.count_open(Port::Callers), 0);
    drop(copy);
    assert_eq!(resources.held(), Size(0));
}

/// Guards against bodies whose reading is given up and that stay charged.
#[tokio::test]
async fn a_body_that_is_given_up_is_released() {
    let (resources, slot) = start();
    {
        let reading = intake::read(pieces(&[b'x'; 1000], 1000, false), MAX, &slot);
        let given_up = tokio::time::timeout(std::time::Duration::from_millis(200), reading).await;
        assert!(given_up.is_err());
    }
    assert_eq!(resources.held(), CONNECTION);
}

/// Guards against a crowd that takes more than the part of large bodies: those that have to go are told, and
/// release what they hold.
#[tokio::test]
async fn a_crowd_of_bodies_without_their_end_is_held_within_its_part() {
    let resources = Resources::new(&MACHINE, System::new());
    let mut reading = tokio::task::JoinSet::new();
    for _ in 0..40 {
        let slot = resources.open(Port::Callers).unwrap();
        reading.spawn(async move {
            intake::read(pieces(&[b'x'; 16_384], MAX / 16_384 - 1, false), MAX, &slot).await
        });
    }
    let quarter = MACHINE.memory.0 / 4;
    let mut refused = 0;
    while let Ok(Some(read)) =
        tokio::time::timeout(std::time::Duration::from_secs(2), reading.join_next()).await
    {
        assert_eq!(read.unwrap().unwrap_err(), IntakeError::Short(Short));
        refused += 1;
        assert!(resources.held().0 < quarter + 40 * CONNECTION.0 + (1 << 20));
    }
    assert!((1..40).contains(&refused), "{refused} of 40 were refused");
    drop(reading);
    tokio::task::yield_now().await;
    assert_eq!(resources.held(), Size(0));
}
