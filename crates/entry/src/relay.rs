//! Runs one model request: picks a group, sends the request, reads the frames of its
//! answer, and after a failure retries or resumes at another group where that is safe.

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

use crate::caller::RequestContext;
use crate::failure::{Cause, Failure};
use crate::state::State;

/// How often a stream checks the state of its group and its deadline.
const HEALTH_CHECK_INTERVAL: Millis = Millis(250);

/// The largest frame accepted from an engine, in bytes. A longer one means that the data
/// is not a stream of frames.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// The work for the model.
#[derive(Clone, Debug)]
pub struct Job {
    /// The model.
    pub model: id::Model,
    /// The prompt.
    pub prompt: String,
    /// The largest number of tokens to generate.
    pub max_tokens: u32,
}

/// A piece of the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The text.
    pub text: String,
    /// The number of tokens.
    pub tokens: u32,
    /// The finish reason, set on the last piece.
    pub finish: Option<Finish>,
}

/// Why an attempt failed.
#[derive(Debug, Error)]
enum AttemptError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("the engine rejected the request: {0:?}")]
    Refused(Rejection),
    #[error("the engine answered with status {0}")]
    Status(Status),
    #[error("the engine sent data that is not the next frame of this request")]
    Unexpected,
    #[error("the stream ended before its last frame")]
    Truncated,
    #[error("a member of the group is missing")]
    GroupBroken,
    #[error("the deadline has passed")]
    Deadline,
}

/// The answer stream of one attempt.
struct Attempt {
    group: id::Group,
    generation: id::Generation,
    address: SocketAddr,
    body: Incoming,
    buffer: BytesMut,
    health_checks: Interval,
    /// Tokens of this attempt still counted as outstanding at the group.
    outstanding: u64,
    state: Arc<State>,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.state.sub_outstanding(&self.group, self.outstanding);
    }
}

/// A model request in flight.
pub struct Relay {
    state: Arc<State>,
    context: RequestContext,
    job: Job,
    progress: Progress,
    delivered: u32,
    current: Option<Attempt>,
    /// The group of the last failed attempt, used only if there is no other.
    last_failed: Option<id::Group>,
    finished: bool,
}

impl Relay {
    /// Creates the relay of an admitted request.
    pub fn new(state: Arc<State>, context: RequestContext, job: Job) -> Relay {
        let progress = Progress::new(context.once);
        Relay {
            state,
            context,
            job,
            progress,
            delivered: 0,
            current: None,
            last_failed: None,
            finished: false,
        }
    }

    /// Returns the number of tokens forwarded so far.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Returns the next piece of the answer, or `None` after the last.
    pub async fn next(&mut self) -> Result<Option<Piece>, Failure> {
        if self.finished {
            return Ok(None);
        }
        loop {
            match self.read_piece().await? {
                Ok(piece) => return Ok(Some(self.deliver(piece))),
                Err(error) => self.recover(&error)?,
            }
        }
    }

    /// Starts an attempt if there is none and reads one frame. The outer error ends the
    /// request, the inner one only this attempt.
    async fn read_piece(&mut self) -> Result<Result<Piece, AttemptError>, Failure> {
        if self.current.is_none() {
            let group = self.choose_group()?;
            let span = tracing::debug_span!("try", group = %group.id, generation = group.generation.0);
            match self.open_attempt(&group).instrument(span).await {
                Ok(opened) => self.current = Some(opened),
                Err(error) => {
                    self.last_failed = Some(group.id);
                    return Ok(Err(error));
                }
            }
        }
        let (deadline, request, offset) = (self.context.deadline, self.context.request, self.delivered);
        let Some(current) = &mut self.current else { return Ok(Err(AttemptError::Truncated)) };
        Ok(current.read(request, offset, deadline).await)
    }

    fn deliver(&mut self, piece: Piece) -> Piece {
        self.progress.mark_delivered();
        self.delivered += piece.tokens;
        if piece.finish.is_some() {
            self.progress.mark_complete();
            self.finished = true;
            self.current = None;
            self.state.deposit_retry(&self.context.account);
        }
        piece
    }

    /// Decides whether to retry after a failed attempt. An error ends the request.
    fn recover(&mut self, error: &AttemptError) -> Result<(), Failure> {
        let address = self.current.as_ref().map(|current| current.address);
        if let Some(failed) = self.current.take() {
            self.last_failed = Some(failed.group.clone());
        }
        log::warn!("relay: attempt of request {:016x} failed: {error}", self.context.request.0);
        metrics::counter!("cottoncrank_tries_failed").increment(1);
        let full = matches!(
            error,
            AttemptError::Refused(Rejection { reason: cottoncrank::engine::Reason::Full, .. })
        );
        let cause = match (error, address) {
            (AttemptError::Deadline, _) => Cause::Deadline,
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
            Recovery::Retry | Recovery::Resume if !self.state.spend_retry(&self.context.account) => {
                Err(Failure { cause: if full { Cause::Full } else { Cause::Retries }, outcome })
            }
            Recovery::Retry | Recovery::Resume => Ok(()),
        }
    }

    /// Picks a group for the next attempt.
    fn choose_group(&self) -> Result<Group, Failure> {
        let outcome = self.progress.outcome();
        let fail = |cause| Failure { cause, outcome };
        if self.state.now() >= self.context.deadline {
            return Err(fail(Cause::Deadline));
        }
        if self.state.is_stale() {
            return Err(fail(Cause::Stale));
        }
        let view = self.state.view();
        let is_eligible = |group: &&Group| {
            group.model == self.job.model
                && (group.accounts.is_empty() || group.accounts.contains(&self.context.account))
        };
        let of_model: Vec<&Group> = view.groups.iter().filter(is_eligible).collect();
        if of_model.is_empty() {
            return Err(fail(Cause::Missing(format!("model {}", self.job.model))));
        }
        let open: Vec<&Group> =
            of_model.into_iter().filter(|group| group.condition == Condition::Open).collect();
        let others: Vec<&Group> =
            open.iter().copied().filter(|group| Some(&group.id) != self.last_failed.as_ref()).collect();
        let from = if others.is_empty() { open } else { others };
        let choices: Vec<Candidate> = from
            .iter()
            .map(|group| Candidate {
                reported: group.load.backlog,
                outstanding: self.state.outstanding_tokens(&group.id),
                near: group.near,
            })
            .collect();
        let picked =
            pick_candidate(self.state.policy, &choices, self.state.next_decision(), &mut rand::rng());
        match picked {
            Some(at) => Ok(from[at].clone()),
            None => Err(fail(Cause::NoGroup(self.job.model.to_string()))),
        }
    }

    /// Sends the request to a group and waits for the response headers.
    async fn open_attempt(&mut self, group: &Group) -> Result<Attempt, AttemptError> {
        let generate = Generate {
            request: self.context.request,
            group: group.id.clone(),
            generation: group.generation,
            prompt: self.job.prompt.clone(),
            max_tokens: self.job.max_tokens,
            offset: self.delivered,
            priority: self.context.priority,
        };
        let body = rmp_serde::to_vec(&generate).map_err(|_| AttemptError::Unexpected)?;
        let outstanding = u64::from(self.job.max_tokens - self.delivered);
        let mut headers = HeaderMap::new();
        self.context.trace.child(&mut rand::rng()).insert_into(&mut headers);
        let wait = self.context.deadline.since(self.state.now());
        self.progress.begin_attempt();
        self.state.add_outstanding(&group.id, outstanding);
        let sending =
            self.state.client.send(group.address, Verb::POST, "/generate", headers, body.into(), wait);
        let sent = tokio::select! {
            sent = sending => sent.map_err(AttemptError::from),
            () = wait_until_broken(&self.state, &group.id, group.generation) => Err(AttemptError::GroupBroken),
        };
        let answer = match sent {
            Ok(answer) => answer,
            Err(error) => {
                self.state.sub_outstanding(&group.id, outstanding);
                if !matches!(&error, AttemptError::Call(error) if error.is_unsent()) {
                    self.progress.mark_sent();
                }
                return Err(error);
            }
        };
        self.progress.mark_sent();
        let status = answer.status();
        let opened = Attempt {
            group: group.id.clone(),
            generation: group.generation,
            address: group.address,
            body: answer.into_body(),
            buffer: BytesMut::new(),
            health_checks: tokio::time::interval(HEALTH_CHECK_INTERVAL.duration()),
            outstanding,
            state: self.state.clone(),
        };
        match status {
            Status::OK => Ok(opened),
            Status::CONFLICT => Err(self.read_refusal(opened).await),
            status => Err(AttemptError::Status(status)),
        }
    }

    /// Reads a rejection, which is valid only for this request and generation.
    async fn read_refusal(&mut self, mut refused: Attempt) -> AttemptError {
        let collected = BodyExt::collect(&mut refused.body).await.map(|body| body.to_bytes());
        let Ok(bytes) = collected else { return AttemptError::Truncated };
        match rmp_serde::from_slice::<Rejection>(&bytes) {
            Ok(refusal)
                if refusal.request == self.context.request && refusal.generation == refused.generation =>
            {
                self.progress.mark_rejected();
                AttemptError::Refused(refusal)
            }
            _ => AttemptError::Unexpected,
        }
    }
}

impl Attempt {
    /// Reads the next frame, which must start at `offset`.
    async fn read(
        &mut self,
        request: id::Request,
        offset: u32,
        deadline: Millis,
    ) -> Result<Piece, AttemptError> {
        loop {
            if let Some(bytes) = split_frame(&mut self.buffer)? {
                let frame: Frame = rmp_serde::from_slice(&bytes).map_err(|_| AttemptError::Unexpected)?;
                let is_expected =
                    frame.request == request && frame.generation == self.generation && frame.offset == offset;
                if !is_expected {
                    return Err(AttemptError::Unexpected);
                }
                let tokens = u64::from(frame.tokens);
                self.outstanding = self.outstanding.saturating_sub(tokens);
                self.state.sub_outstanding(&self.group, tokens);
                return Ok(Piece { text: frame.text, tokens: frame.tokens, finish: frame.finish });
            }
            let more = tokio::select! {
                biased;
                more = self.body.frame() => more,
                // One timer per stream checks both the group and the deadline.
                _ = self.health_checks.tick() => {
                    if self.state.now() >= deadline {
                        return Err(AttemptError::Deadline);
                    }
                    if is_broken(&self.state, &self.group, self.generation) {
                        return Err(AttemptError::GroupBroken);
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
                Some(Err(_)) | None => return Err(AttemptError::Truncated),
            }
        }
    }
}

/// Splits the first frame off the buffer, if it is complete.
fn split_frame(buffer: &mut BytesMut) -> Result<Option<Bytes>, AttemptError> {
    let Some(head) = buffer.first_chunk::<4>() else { return Ok(None) };
    let len = u32::from_be_bytes(*head) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(AttemptError::Unexpected);
    }
    if buffer.len() < 4 + len {
        return Ok(None);
    }
    buffer.advance(4);
    Ok(Some(buffer.split_to(len).freeze()))
}

/// Waits until the group is broken.
async fn wait_until_broken(state: &State, group: &id::Group, generation: id::Generation) {
    loop {
        tokio::time::sleep(HEALTH_CHECK_INTERVAL.duration()).await;
        if is_broken(state, group, generation) {
            return;
        }
    }
}

/// Whether the group is broken, gone or at another generation.
fn is_broken(state: &State, group: &id::Group, generation: id::Generation) -> bool {
    let view = state.view();
    let found = view.groups.iter().find(|known| known.id == *group);
    found.is_none_or(|known| known.generation != generation || known.condition == Condition::Broken)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn frames_are_split_for_any_chunking_of_the_bytes() {
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
