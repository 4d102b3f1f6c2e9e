//! Bodies of requests, as they arrive.
//!
//! A body is copied into segments as it comes, so that what it takes is what it holds, however small the pieces
//! are that it comes in: a piece as the connection has it keeps alive all that arrived with it.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use cottoncrank::Size;
use cottoncrank::resources::{Kind, Short, Shortage};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use thiserror::Error;

use crate::resources::{Charge, Slot, hold};

/// The largest segment of a body. It is below the size from which the allocator returns each to the kernel by
/// itself and then keeps ever larger ones.
const MAX_SEGMENT: usize = 32 * 1024;

/// More than this is read of an answer only once there is room for all of it.
pub const LARGE_ANSWER: Size = Size::kilobytes(64);

/// The smallest segment of a body, in bytes.
const MIN_SEGMENT: usize = 1024;

/// Why a body was not read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum IntakeError {
    /// It is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// It broke off.
    #[error("the body broke off")]
    Broken,
    /// There is no room for it.
    #[error(transparent)]
    Short(#[from] Short),
}

/// Why an answer was not read.
#[derive(Debug, Error)]
pub enum AnswerError {
    /// It is larger than is read.
    #[error("it is too large")]
    TooLarge,
    /// It broke off.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// A whole body.
#[derive(Clone, Debug, Default)]
pub struct Body {
    segments: Arc<[Bytes]>,
    length: usize,
}

impl Body {
    /// Returns the bytes, segment by segment.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns all bytes in one piece, which is a copy if there are several segments.
    pub fn into_bytes(self) -> Bytes {
        match &*self.segments {
            [] => Bytes::new(),
            [whole] => whole.clone(),
            segments => segments.concat().into(),
        }
    }

    /// Returns the body as it is sent on.
    pub fn send(&self) -> Outgoing {
        Outgoing { body: self.clone(), next: 0, left: self.length }
    }
}

/// A body that is sent on.
#[derive(Debug)]
pub struct Outgoing {
    body: Body,
    next: usize,
    left: usize,
}

impl HttpBody for Outgoing {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.body.segments.get(self.next).cloned();
        self.next += 1;
        self.left -= segment.as_ref().map_or(0, Bytes::len);
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

/// Takes the pieces of a body.
struct Intake<'a> {
    slot: &'a Slot,
    max_segment: usize,
    whole: Vec<Bytes>,
    /// The segment that is being filled, with its capacity charged.
    filling: Vec<u8>,
    charge: Option<Charge>,
    length: usize,
}

impl<'a> Intake<'a> {
    fn new(slot: &'a Slot, max_segment: usize) -> Intake<'a> {
        Intake { slot, max_segment, whole: Vec::new(), filling: Vec::new(), charge: None, length: 0 }
    }

    fn push(&mut self, mut piece: &[u8]) -> Result<(), Short> {
        while !piece.is_empty() {
            if self.filling.len() == self.filling.capacity() {
                self.extend(piece.len())?;
            }
            let room = self.filling.capacity() - self.filling.len();
            let (now, later) = piece.split_at(room.min(piece.len()));
            self.filling.extend_from_slice(now);
            self.length += now.len();
            piece = later;
        }
        Ok(())
    }

    /// Makes room for at least one more byte.
    fn extend(&mut self, wanted: usize) -> Result<(), Short> {
        if self.filling.capacity() >= self.max_segment {
            self.seal();
        }
        let before = self.filling.capacity();
        let more = if self.whole.is_empty() && before == 0 {
            // Most bodies come in one piece.
            wanted.min(self.max_segment)
        } else {
            wanted.max(before).max(MIN_SEGMENT).min(self.max_segment - before)
        };
        let charge = self.slot.charge(Size(more), Kind::Body)?;
        match &mut self.charge {
            Some(charged) => charged.grow(charge),
            None => self.charge = Some(charge),
        }
        self.filling.reserve_exact(more);
        Ok(())
    }

    fn seal(&mut self) {
        let filled = std::mem::take(&mut self.filling);
        if let Some(charge) = self.charge.take() {
            self.whole.push(hold(filled, charge));
        }
    }

    fn finish(mut self) -> Body {
        self.seal();
        Body { segments: self.whole.into(), length: self.length }
    }
}

/// Reads a body to its end, up to `max` bytes, and charges it to its connection.
pub async fn read<B>(body: B, max: usize, slot: &Slot) -> Result<Body, IntakeError>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    fill(Intake::new(slot, MAX_SEGMENT), body, max).await
}

/// Reads a body like [`read`], in one piece.
pub async fn read_whole<B>(body: B, max: usize, slot: &Slot) -> Result<Bytes, IntakeError>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    Ok(fill(Intake::new(slot, max), body, max).await?.into_bytes())
}

async fn fill<B>(mut intake: Intake<'_>, mut body: B, max: usize) -> Result<Body, IntakeError>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    loop {
        let frame = tokio::select! {
            biased;
            _ = intake.slot.wait_evicted(Some(Shortage::Turns)) => return Err(Short.into()),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { return Ok(intake.finish()) };
        let Ok(piece) = frame.map_err(|_| IntakeError::Broken)?.into_data() else { continue };
        if intake.length + piece.len() > max {
            return Err(IntakeError::TooLarge);
        }
        intake.push(&piece)?;
    }
}

/// Reads an answer to its end, up to `max` bytes. The rest of a large one is read once there is room for it. One
/// of more than `small` is held with the room that it takes, until its caller has taken it.
pub async fn read_answer(
    body: Incoming,
    max: usize,
    small: Size,
    room: &Charge,
) -> Result<Bytes, AnswerError> {
    let announced = body.size_hint().upper().map_or(max, |announced| max.min(announced as usize));
    let mut body = body;
    let (mut read, mut charge) = (Vec::new(), None);
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else { continue };
        if read.len() + piece.len() > max {
            return Err(AnswerError::TooLarge);
        }
        if charge.is_none() && Size(read.len() + piece.len()) > LARGE_ANSWER {
            charge = Some(room.reserve_answer(Size(announced)).await);
        }
        read.extend_from_slice(&piece);
    }
    let length = Size(read.len());
    if length <= small {
        return Ok(read.into());
    }
    let mut charge = match charge {
        Some(charge) => charge,
        None => room.reserve_answer(length).await,
    };
    charge.shrink(length);
    Ok(hold(read, charge.offer()))
}
