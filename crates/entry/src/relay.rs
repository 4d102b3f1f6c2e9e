//! One model request on its way: picking a group, sending, reading frames, and
//! going on elsewhere after a failure if its fate allows.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use cottoncrank::engine::{Finish, Frame, Generate, Rejection};
use cottoncrank::outcome::{Progress, Recovery};
use cottoncrank::route::{Candidate, pick_candidate};
use cottoncrank::view::{Condition, Group};
use cottoncrank::{Millis, id};
use cottoncrank_net::client::CallError;
use cottoncrank_net::server::{HeaderMap, Status, Verb};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::Interval;
use tracing::Instrument;

use crate::caller::Terms;
use crate::failure::{Cause, Failure};
use crate::state::State;

/// How often a silent stream's group is looked at.
const LOOK: Millis = Millis(250);

/// A frame larger than this is not ours.
const FRAME_MAX: usize = 1 << 20;

/// What is asked of the model.
#[derive(Clone, Debug)]
pub struct Job {
    /// The model.
    pub model: id::Model,
    /// The prompt.
    pub prompt: String,
    /// The most tokens to generate.
    pub max_tokens: u32,
}

/// A piece of the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Its text.
    pub text: String,
    /// Its tokens.
    pub tokens: u32,
    /// Set on the last piece.
    pub finish: Option<Finish>,
}

/// Why one try failed.
#[derive(Debug, Error)]
enum TryError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("the engine refused: {0:?}")]
    Refused(Rejection),
    #[error("the engine answered {0}")]
    Status(Status),
    #[error("the engine sent something else than the next frame of this request")]
    Foreign,
    #[error("the stream ended before its last frame")]
    Short,
    #[error("a member of the group is missing")]
    Broken,
    #[error("the deadline has passed")]
    Deadline,
}

/// The stream of one try.
struct Try {
    group: id::Group,
    generation: id::Generation,
    address: SocketAddr,
    body: Incoming,
    buffer: BytesMut,
    looks: Interval,
    /// Tokens still counted as sent to the group.
    owed: u64,
    state: Arc<State>,
}

impl Drop for Try {
    fn drop(&mut self) {
        self.state.sub_sent(&self.group, self.owed);
    }
}

/// A model request under way.
pub struct Relay {
    state: Arc<State>,
    terms: Terms,
    job: Job,
    progress: Progress,
    delivered: u32,
    present: Option<Try>,
    /// The group of the last failed try; others go first.
    avoid: Option<id::Group>,
    finished: bool,
}

impl Relay {
    /// A request that was admitted.
    pub fn new(state: Arc<State>, terms: Terms, job: Job) -> Relay {
        let progress = Progress::new(terms.once);
        Relay { state, terms, job, progress, delivered: 0, present: None, avoid: None, finished: false }
    }

    /// Tokens passed on so far.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// The next piece of the answer; none after the last.
    pub async fn next(&mut self) -> Result<Option<Piece>, Failure> {
        if self.finished {
            return Ok(None);
        }
        loop {
            match self.advance().await? {
                Ok(piece) => return Ok(Some(self.deliver(piece))),
                Err(error) => self.recover(&error)?,
            }
        }
    }

    /// Opens a try if there is none and reads one frame. The outer error ends
    /// the request, the inner one only this try.
    async fn advance(&mut self) -> Result<Result<Piece, TryError>, Failure> {
        if self.present.is_none() {
            let group = self.choose()?;
            let span = tracing::debug_span!("try", group = %group.id, generation = group.generation.0);
            match self.open(&group).instrument(span).await {
                Ok(opened) => self.present = Some(opened),
                Err(error) => {
                    self.avoid = Some(group.id);
                    return Ok(Err(error));
                }
            }
        }
        let (deadline, request, offset) = (self.terms.deadline, self.terms.request, self.delivered);
        let Some(present) = &mut self.present else { return Ok(Err(TryError::Short)) };
        Ok(present.read(request, offset, deadline).await)
    }

    fn deliver(&mut self, piece: Piece) -> Piece {
        self.progress.mark_delivered();
        self.delivered += piece.tokens;
        if piece.finish.is_some() {
            self.progress.mark_complete();
            self.finished = true;
            self.present = None;
            self.state.earn_retry(&self.terms.account);
        }
        piece
    }

    /// Works out what to do after a failed try. An error ends the request.
    fn recover(&mut self, error: &TryError) -> Result<(), Failure> {
        let address = self.present.as_ref().map(|present| present.address);
        if let Some(failed) = self.present.take() {
            self.avoid = Some(failed.group.clone());
        }
        log::warn!("relay: request {:016x}: {error}", self.terms.request.0);
        metrics::counter!("cottoncrank_tries_failed").increment(1);
        let full =
            matches!(error, TryError::Refused(Rejection { reason: cottoncrank::engine::Reason::Full, .. }));
        let cause = match (error, address) {
            (TryError::Deadline, _) => Cause::Deadline,
            (_, Some(address)) => Cause::Backend(address),
            _ if full => Cause::Full,
            _ => Cause::Retries,
        };
        let next = self.progress.fail_attempt(true);
        let outcome = self.progress.outcome();
        if cause == Cause::Deadline {
            return Err(Failure { cause, outcome });
        }
        match next {
            Recovery::Fail(outcome) => Err(Failure { cause, outcome }),
            Recovery::Retry | Recovery::Resume if !self.state.spend_retry(&self.terms.account) => {
                Err(Failure { cause: if full { Cause::Full } else { Cause::Retries }, outcome })
            }
            Recovery::Retry | Recovery::Resume => Ok(()),
        }
    }

    /// Picks a group for the next try.
    fn choose(&self) -> Result<Group, Failure> {
        let outcome = self.progress.outcome();
        let fail = |cause| Failure { cause, outcome };
        if self.state.now() >= self.terms.deadline {
            return Err(fail(Cause::Deadline));
        }
        if self.state.is_stale() {
            return Err(fail(Cause::Stale));
        }
        let view = self.state.view();
        let takes = |group: &&Group| {
            group.model == self.job.model
                && (group.accounts.is_empty() || group.accounts.contains(&self.terms.account))
        };
        let of_model: Vec<&Group> = view.groups.iter().filter(takes).collect();
        if of_model.is_empty() {
            return Err(fail(Cause::Missing(format!("model {}", self.job.model))));
        }
        let open: Vec<&Group> =
            of_model.into_iter().filter(|group| group.condition == Condition::Open).collect();
        let others: Vec<&Group> =
            open.iter().copied().filter(|group| Some(&group.id) != self.avoid.as_ref()).collect();
        let from = if others.is_empty() { open } else { others };
        let choices: Vec<Candidate> = from
            .iter()
            .map(|group| Candidate {
                reported: group.load.backlog,
                outstanding: self.state.sent_to(&group.id),
                near: group.near,
            })
            .collect();
        let picked = pick_candidate(self.state.policy, &choices, self.state.next_turn(), &mut rand::rng());
        match picked {
            Some(at) => Ok(from[at].clone()),
            None => Err(fail(Cause::NoGroup(self.job.model.to_string()))),
        }
    }

    /// Sends the request to a group and waits for the head of the answer.
    async fn open(&mut self, group: &Group) -> Result<Try, TryError> {
        let ask = Generate {
            request: self.terms.request,
            group: group.id.clone(),
            generation: group.generation,
            prompt: self.job.prompt.clone(),
            max_tokens: self.job.max_tokens,
            offset: self.delivered,
            priority: self.terms.priority,
        };
        let body = rmp_serde::to_vec(&ask).map_err(|_| TryError::Foreign)?;
        let owed = u64::from(self.job.max_tokens - self.delivered);
        let mut headers = HeaderMap::new();
        self.terms.trace.child(&mut rand::rng()).insert_into(&mut headers);
        let wait = self.terms.deadline.since(self.state.now());
        self.progress.begin_attempt();
        self.state.add_sent(&group.id, owed);
        let sending =
            self.state.client.send(group.address, Verb::POST, "/generate", headers, body.into(), wait);
        let sent = tokio::select! {
            sent = sending => sent.map_err(TryError::from),
            () = wait_broken(&self.state, &group.id, group.generation) => Err(TryError::Broken),
        };
        let answer = match sent {
            Ok(answer) => answer,
            Err(error) => {
                self.state.sub_sent(&group.id, owed);
                if !matches!(&error, TryError::Call(error) if error.is_unsent()) {
                    self.progress.mark_sent();
                }
                return Err(error);
            }
        };
        self.progress.mark_sent();
        let status = answer.status();
        let opened = Try {
            group: group.id.clone(),
            generation: group.generation,
            address: group.address,
            body: answer.into_body(),
            buffer: BytesMut::new(),
            looks: tokio::time::interval(LOOK.duration()),
            owed,
            state: self.state.clone(),
        };
        match status {
            Status::OK => Ok(opened),
            Status::CONFLICT => Err(self.read_refusal(opened).await),
            status => Err(TryError::Status(status)),
        }
    }

    /// A refusal counts only if it is for this request and generation.
    async fn read_refusal(&mut self, mut refused: Try) -> TryError {
        let empty = BodyExt::collect(&mut refused.body).await.map(|body| body.to_bytes());
        let Ok(bytes) = empty else { return TryError::Short };
        match rmp_serde::from_slice::<Rejection>(&bytes) {
            Ok(refusal)
                if refusal.request == self.terms.request && refusal.generation == refused.generation =>
            {
                self.progress.mark_rejected();
                TryError::Refused(refusal)
            }
            _ => TryError::Foreign,
        }
    }
}

impl Try {
    /// Reads the next frame; it has to be the one right behind `offset`.
    async fn read(&mut self, request: id::Request, offset: u32, deadline: Millis) -> Result<Piece, TryError> {
        loop {
            if let Some(bytes) = split_frame(&mut self.buffer)? {
                let frame: Frame = rmp_serde::from_slice(&bytes).map_err(|_| TryError::Foreign)?;
                let ours =
                    frame.request == request && frame.generation == self.generation && frame.offset == offset;
                if !ours {
                    return Err(TryError::Foreign);
                }
                let tokens = u64::from(frame.tokens);
                self.owed = self.owed.saturating_sub(tokens);
                self.state.sub_sent(&self.group, tokens);
                return Ok(Piece { text: frame.text, tokens: frame.tokens, finish: frame.finish });
            }
            let more = tokio::select! {
                biased;
                more = self.body.frame() => more,
                // One timer for the whole stream: it looks at the group and the deadline.
                _ = self.looks.tick() => {
                    if self.state.now() >= deadline {
                        return Err(TryError::Deadline);
                    }
                    if is_broken(&self.state, &self.group, self.generation) {
                        return Err(TryError::Broken);
                    }
                    continue;
                }
            };
            match more {
                Some(Ok(piece)) => {
                    if let Ok(data) = piece.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(_)) | None => return Err(TryError::Short),
            }
        }
    }
}

/// Takes one whole frame off the front of the buffer.
fn split_frame(buffer: &mut BytesMut) -> Result<Option<Bytes>, TryError> {
    let Some(head) = buffer.first_chunk::<4>() else { return Ok(None) };
    let len = u32::from_be_bytes(*head) as usize;
    if len > FRAME_MAX {
        return Err(TryError::Foreign);
    }
    if buffer.len() < 4 + len {
        return Ok(None);
    }
    buffer.advance(4);
    Ok(Some(buffer.split_to(len).freeze()))
}

/// Ends once the group is broken.
async fn wait_broken(state: &State, group: &id::Group, generation: id::Generation) {
    loop {
        tokio::time::sleep(LOOK.duration()).await;
        if is_broken(state, group, generation) {
            return;
        }
    }
}

/// Whether the group is known not to be whole at this generation any more.
fn is_broken(state: &State, group: &id::Group, generation: id::Generation) -> bool {
    let view = state.view();
    let found = view.groups.iter().find(|known| known.id == *group);
    found.is_none_or(|known| known.generation != generation || known.condition == Condition::Broken)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn frames_are_split_however_the_bytes_come() {
        let mut whole = Vec::new();
        for text in ["one", "three"] {
            whole.extend((text.len() as u32).to_be_bytes());
            whole.extend(text.as_bytes());
        }
        let mut buffer = BytesMut::new();
        let mut frames = Vec::new();
        for byte in whole {
            buffer.extend_from_slice(&[byte]);
            frames.extend(split_frame(&mut buffer).unwrap());
        }
        assert_eq!(frames, ["one", "three"]);
        let mut huge = BytesMut::from(&u32::MAX.to_be_bytes()[..]);
        assert!(split_frame(&mut huge).is_err());
    }
}
