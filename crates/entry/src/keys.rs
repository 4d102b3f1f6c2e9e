//! Keyed requests: asking the owners of a key before it runs, and telling them
//! how it ended.

use std::sync::Arc;

use cottoncrank::claim::{Verdict, find_owners, resolve_claims};
use cottoncrank::wire::{Claim, ClaimReply, KeyedOutcome};
use cottoncrank::{Millis, view};

use crate::caller::Terms;
use crate::failure::{Cause, Failure};
use crate::state::State;

/// How long an owner may take to answer.
const WAIT: Millis = Millis(500);

/// The largest answer that owners keep, in bytes.
pub const KEEP_MAX: usize = 64 * 1024;

/// What to do with a keyed request.
pub enum Gate {
    /// It may run.
    Run,
    /// It ran before; this was its answer.
    Repeat(KeyedOutcome),
}

/// Answers another entry, or this one.
pub fn answer_claim(state: &State, claim: Claim) -> ClaimReply {
    let now = state.now();
    match claim {
        Claim::Open { account, key, request } => state.ledger(&key).lock().open(&account, &key, request, now),
        Claim::Close { account, key, request, outcome } => {
            state.ledger(&key).lock().close(&account, &key, request, outcome, now);
            ClaimReply::Noted
        }
    }
}

async fn ask(state: &State, owner: &view::Node, claim: Claim) -> Option<ClaimReply> {
    if owner.id == state.settings.node {
        return Some(answer_claim(state, claim));
    }
    match state.client.call(owner.entry, "/claim", &claim, WAIT).await {
        Ok(claimed) => Some(claimed),
        Err(error) => {
            log::warn!("keys: owner {}: {error}", owner.id);
            None
        }
    }
}

/// Asks the owners of the request's key. Without a key there is nothing to ask.
pub async fn open(state: &State, terms: &Terms) -> Result<Gate, Failure> {
    let Some(key) = &terms.key else { return Ok(Gate::Run) };
    let view = state.view();
    let claim = || Claim::Open { account: terms.account.clone(), key: key.clone(), request: terms.request };
    let mut answers = Vec::new();
    for owner in find_owners(&terms.account, key, &view.nodes) {
        answers.push((owner, ask(state, owner, claim()).await));
    }
    let verdict = resolve_claims(&answers, &view.nodes, state.now());
    if verdict != Verdict::Run {
        // Owners that gave the key to this request get it back.
        close(state, terms, KeyedOutcome::NotRun).await;
    }
    match verdict {
        Verdict::Run => Ok(Gate::Run),
        Verdict::Running => Err(Failure::not_run(Cause::KeyRunning)),
        Verdict::Done(recorded) => Ok(Gate::Repeat(recorded)),
        Verdict::Unsure => Err(Failure::not_run(Cause::KeyUnsure)),
    }
}

/// Tells the owners how the request ended.
pub async fn close(state: &State, terms: &Terms, outcome: KeyedOutcome) {
    let Some(key) = &terms.key else { return };
    let view = state.view();
    for owner in find_owners(&terms.account, key, &view.nodes) {
        let claim = Claim::Close {
            account: terms.account.clone(),
            key: key.clone(),
            request: terms.request,
            outcome: outcome.clone(),
        };
        // An owner that does not hear of it says `in flight` until the horizon.
        let _ = ask(state, owner, claim).await;
    }
}

/// A keyed request under way. If it is dropped before it is closed, as when
/// its caller leaves, its owners are told that it may have run.
pub struct Guard {
    state: Arc<State>,
    terms: Terms,
    open: bool,
}

impl Guard {
    /// Guards a request whose key was opened.
    pub fn new(state: Arc<State>, terms: Terms) -> Guard {
        let open = terms.key.is_some();
        Guard { state, terms, open }
    }

    /// Tells the owners how it ended.
    pub async fn close(mut self, outcome: KeyedOutcome) {
        if self.open {
            self.open = false;
            close(&self.state, &self.terms, outcome).await;
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.open {
            return;
        }
        let (state, terms) = (self.state.clone(), self.terms.clone());
        tokio::spawn(async move { close(&state, &terms, KeyedOutcome::MayHaveRun).await });
    }
}
