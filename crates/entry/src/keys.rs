//! Requests with an idempotency key. The owners of the key are asked before the request
//! runs and are told its outcome.

use std::sync::Arc;

use cottoncrank::claim::{Verdict, find_owners, resolve_claims};
use cottoncrank::wire::{Claim, ClaimReply, KeyedOutcome};
use cottoncrank::{Millis, view};

use crate::caller::RequestContext;
use crate::failure::{Cause, Failure};
use crate::state::State;

/// Timeout of a claim sent to an owner.
const CLAIM_TIMEOUT: Millis = Millis(500);

/// The largest answer that owners keep for replay, in bytes.
pub const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Whether a request with a key may run.
pub enum KeyCheck {
    /// The request may run.
    Run,
    /// The request has run before, with this outcome.
    Replay(KeyedOutcome),
}

/// Processes a claim from another entry or from this one.
pub fn answer_claim(state: &State, claim: Claim) -> ClaimReply {
    let now = state.now();
    match claim {
        Claim::Open { account, key, request } => {
            state.claims_shard(&key).lock().open(&account, &key, request, now)
        }
        Claim::Close { account, key, request, outcome } => {
            state.claims_shard(&key).lock().close(&account, &key, request, outcome, now);
            ClaimReply::Noted
        }
    }
}

async fn send_claim(state: &State, owner: &view::Node, claim: Claim) -> Option<ClaimReply> {
    if owner.id == state.settings.node {
        return Some(answer_claim(state, claim));
    }
    match state.client.call(owner.entry, "/claim", &claim, CLAIM_TIMEOUT).await {
        Ok(claimed) => Some(claimed),
        Err(error) => {
            log::warn!("keys: claim at owner {} failed: {error}", owner.id);
            None
        }
    }
}

/// Claims the request's key at its owners. A request without a key may always run.
pub async fn open(state: &State, context: &RequestContext) -> Result<KeyCheck, Failure> {
    let Some(key) = &context.key else { return Ok(KeyCheck::Run) };
    let view = state.view();
    let claim =
        || Claim::Open { account: context.account.clone(), key: key.clone(), request: context.request };
    let mut answers = Vec::new();
    for owner in find_owners(&context.account, key, &view.nodes) {
        answers.push((owner, send_claim(state, owner, claim()).await));
    }
    let verdict = resolve_claims(&answers, &view.nodes, state.now());
    if verdict != Verdict::Run {
        // Release the key at the owners that granted it to this request.
        close(state, context, KeyedOutcome::NotRun).await;
    }
    match verdict {
        Verdict::Run => Ok(KeyCheck::Run),
        Verdict::Running => Err(Failure::not_run(Cause::KeyInFlight)),
        Verdict::Done(recorded) => Ok(KeyCheck::Replay(recorded)),
        Verdict::Unsure => Err(Failure::not_run(Cause::KeyUnverifiable)),
    }
}

/// Reports the outcome of the request to the owners of its key.
pub async fn close(state: &State, context: &RequestContext, outcome: KeyedOutcome) {
    let Some(key) = &context.key else { return };
    let view = state.view();
    for owner in find_owners(&context.account, key, &view.nodes) {
        let claim = Claim::Close {
            account: context.account.clone(),
            key: key.clone(),
            request: context.request,
            outcome: outcome.clone(),
        };
        // An owner that misses the report answers `in flight` until the claim expires.
        let _ = send_claim(state, owner, claim).await;
    }
}

/// Guards a request in flight. If it is dropped before it is closed, for example because
/// the caller disconnected, the owners of the key are told that the request may have run.
pub struct Guard {
    state: Arc<State>,
    context: RequestContext,
    open: bool,
}

impl Guard {
    /// Creates the guard of a request whose key, if any, was claimed.
    pub fn new(state: Arc<State>, context: RequestContext) -> Guard {
        let open = context.key.is_some();
        Guard { state, context, open }
    }

    /// Reports the outcome to the owners of the key.
    pub async fn close(mut self, outcome: KeyedOutcome) {
        if self.open {
            self.open = false;
            close(&self.state, &self.context, outcome).await;
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.open {
            return;
        }
        let (state, context) = (self.state.clone(), self.context.clone());
        tokio::spawn(async move { close(&state, &context, KeyedOutcome::MayHaveRun).await });
    }
}
