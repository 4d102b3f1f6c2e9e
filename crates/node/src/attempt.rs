//! One attempt of a request at one runner.

use std::net::SocketAddr;
use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::catalog::{Catalog, Engine, Route};
use cottoncrank_fleet::fingerprint::Fingerprint;
use cottoncrank_fleet::plan::{State, find_state};
use cottoncrank_fleet::runner::{Epoch, Incarnation, Release};
use cottoncrank_net::client::is_final;
use cottoncrank_net::intake;
use cottoncrank_net::resources::Charge;
use cottoncrank_platform::header::{self, ForwardMetadata, RequestMetadata, Verdict};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use thiserror::Error;

use crate::backoff;
use crate::catchup;
use crate::channel::{Channel, ChannelError};
use crate::connect::{self, Target};
use crate::evacuation;
use crate::in_flight::{AttemptGuard, ModelKey};
use crate::paths;
use crate::state::Node;
use crate::telemetry;
use crate::throttle;
use crate::trace::{Phase, Trace};

/// A request that was admitted.
pub struct Job {
    /// The head, as the caller sent it.
    pub head: Parts,
    /// The body.
    pub body: intake::Body,
    /// The memory for all else of the request.
    pub room: Charge,
    /// What the caller's headers say about the request, such as its timeout.
    pub terms: RequestMetadata,
    /// The route.
    pub route: Arc<Route>,
    /// The configuration that the request was admitted under.
    pub catalog: Arc<Catalog>,
    /// The service that the request goes to.
    pub service: id::Service,
    /// The account that the request belongs to.
    pub account: Option<id::Account>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The fingerprint, which a request shares with its repetitions.
    pub fingerprint: Fingerprint,
    /// The fingerprints of the parts of its prompt that other requests may share.
    pub parts: Vec<Fingerprint>,
    /// When the request arrived.
    pub arrived: Millis,
    /// When the request has to be answered.
    pub deadline: Millis,
    /// What it has done so far.
    pub trace: Trace,
}

impl Job {
    /// Returns the key of the concurrency limit that the request counts against. Only configured
    /// models have a limit of their own, because callers may name any model.
    pub fn model_key(&self) -> ModelKey {
        let is_configured = |model: &&id::Model| {
            self.engine().is_some_and(|engine| engine.models.iter().any(|known| known.name == **model))
        };
        (self.service.clone(), self.terms.model.as_ref().filter(is_configured).cloned())
    }

    /// Returns the engine of the service, if the service forms groups.
    pub(crate) fn engine(&self) -> Option<&Engine> {
        self.catalog.find_service(&self.service).and_then(|service| service.engine.as_ref())
    }

    /// Whether the deadline has passed. The caller has stopped waiting by then, and no runner may be
    /// sent a timeout of zero.
    pub fn is_expired(&self, node: &Node) -> bool {
        node.now() >= self.deadline
    }

    /// Returns how long the caller still waits; `None` if the caller did not say.
    pub fn remaining_time(&self, now: Millis) -> Option<Millis> {
        self.terms.timeout.map(|wait| (self.arrived + wait).since(now))
    }

    /// Returns the caller's id of the request, for the log.
    pub fn id(&self) -> &str {
        self.terms.request_id.as_deref().unwrap_or("-")
    }
}

/// Why an attempt gave no answer.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// No connection was made, or nothing was sent on it: the request did not reach the runner.
    #[error("not run: {0}")]
    Unreached(String),
    /// The runner certainly did not run the request.
    #[error("not run: {0}")]
    NotRun(String),
    /// The runner rejected the request for lack of a free slot, and did not run it. It may have
    /// named a backoff, which is for how long this node sends it nothing.
    #[error("not run: no place{}", format_backoff(.0))]
    Rejected(Option<Millis>),
    /// The request may have run.
    #[error("may have run: {0}")]
    MayHaveRun(String),
    /// The request may have run, and the connection broke: the runner may have crashed.
    #[error("may have run: {0}")]
    Broken(String),
    /// The request may have run, and the runner sent nothing for too long.
    #[error("may have run: {0}")]
    Silent(String),
    /// The request may have run, and the runner sent more than any answer has.
    #[error("may have run: it sends more than an answer may have")]
    Oversized,
    /// The request was found to crash runners while it was in flight.
    #[error("may have run: it is found to end the runners that run it")]
    Stopped,
}

impl AttemptError {
    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        match self {
            AttemptError::MayHaveRun(_)
            | AttemptError::Broken(_)
            | AttemptError::Silent(_)
            | AttemptError::Oversized
            | AttemptError::Stopped => true,
            AttemptError::Unreached(_) | AttemptError::NotRun(_) | AttemptError::Rejected(_) => false,
        }
    }

    /// Whether the request reached the runner. Only then does sending it again count as a retry and
    /// use the retry budget.
    pub fn has_reached_runner(&self) -> bool {
        !matches!(self, AttemptError::Unreached(_))
    }

    /// Returns the reason as a metric label.
    pub fn reason(&self) -> &'static str {
        match self {
            AttemptError::Unreached(_) => "unreached",
            AttemptError::NotRun(_) => "not_run",
            AttemptError::Rejected(None) => "full",
            AttemptError::Rejected(Some(_)) => "backoff",
            AttemptError::MayHaveRun(_) | AttemptError::Broken(_) | AttemptError::Silent(_) => "may_have_run",
            AttemptError::Oversized => "oversized",
            AttemptError::Stopped => "stopped",
        }
    }
}

fn format_backoff(backoff: &Option<Millis>) -> String {
    backoff.map_or(String::new(), |backoff| format!(", it wants no request for {backoff}"))
}

/// An attempt that received the head of an answer.
pub struct Attempt {
    /// The runner.
    pub pick: Pick,
    /// The answer.
    pub response: Response<Incoming>,
    /// Keeps the connection open.
    pub channel: Channel,
    /// Counts the attempt as in flight at the runner.
    pub guard: AttemptGuard,
}

/// A runner that was picked for an attempt.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The runner's id.
    pub id: id::Runner,
    /// The address that it listens at.
    pub address: SocketAddr,
    /// The runner's incarnation when it was picked, if known.
    pub incarnation: Option<Incarnation>,
    /// The release of the runner's software, if known.
    pub release: Option<Release>,
    /// When it was picked.
    pub picked_at: Millis,
    /// The data hall that it is in.
    pub hall: id::Hall,
    /// The group it is the head of, if the request goes to a group.
    pub group: Option<(id::Group, Epoch)>,
}

impl Pick {
    /// Waits until the group is retired with its requests unfinished, or is in no plan any more.
    /// Waits forever if that does not happen.
    pub async fn wait_lost(&self, node: &Node) {
        let Some((name, epoch)) = &self.group else { return std::future::pending().await };
        let mut changes = node.plans_changed.subscribe();
        loop {
            if find_state(&node.plans.lock(), name, *epoch).is_none_or(|state| state == State::Lost) {
                return;
            }
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

/// Sends the request to a runner and waits for the head of the answer. `last_event` is the event
/// after which a stream is resumed.
pub async fn send(
    node: &Arc<Node>,
    job: &Job,
    pick: &Pick,
    last_event: Option<u64>,
) -> Result<Attempt, AttemptError> {
    let guard = node.begin_attempt(&pick.id);
    job.trace.record_ask(&pick.id, node.now());
    let Some(outbound) = node.resources.begin_outbound() else {
        return Err(AttemptError::Unreached("no descriptor is left for its connection".to_owned()));
    };
    let opened = connect::open(node, Target::of_pick(pick), job.deadline).await;
    let mut channel = opened.map_err(|error| {
        if error.is_refused() {
            node.record_end(pick);
        }
        let mut ledger = node.ledger.lock();
        ledger.record_failure(&pick.id, node.now());
        if error.is_timeout() {
            ledger.record_connect_timeout(&pick.hall, node.now());
        }
        AttemptError::Unreached(error.to_string())
    })?;
    channel.hold(outbound);
    node.ledger.lock().record_connect(&pick.hall);
    if let Some(through) = channel.through() {
        log::info!("request {}: sent to {} through {through}", job.id(), pick.id);
    }
    // The runner may have announced a backoff while this connection was made. Requests that have not
    // reached the runner by then are not sent.
    if backoff::is_backing_off(node, &pick.id, pick.incarnation) {
        return Err(AttemptError::Unreached("it wants no requests at present".to_owned()));
    }
    // Neither the pick nor the permit for it counts any more.
    if catchup::is_outdated(node, pick) {
        return Err(AttemptError::Unreached("this process did not run since it was picked".to_owned()));
    }
    // Its hall may have been closed while this connection was made.
    if evacuation::is_closed(node, pick) {
        telemetry::count_evacuated_attempt();
        return Err(AttemptError::Unreached("its hall is under evacuation".to_owned()));
    }
    let request = build_request(node, job, pick, last_event);
    let sent_at = node.now();
    job.trace.record_phase(&pick.id, Phase::Head, sent_at);
    let response = match channel.send(request).await {
        Ok(response) => response,
        Err(ChannelError::Oversized) => {
            paths::record_failure(node, pick, None);
            return Err(AttemptError::Oversized);
        }
        Err(error) => {
            paths::record_failure(node, pick, channel.through());
            return Err(AttemptError::Broken(error.to_string()));
        }
    };
    job.trace.record_phase(&pick.id, Phase::Rest, node.now());
    if !is_final(response.status()) {
        node.ledger.lock().record_failure(&pick.id, node.now());
        return Err(AttemptError::MayHaveRun(format!(
            "{} is the status of no answer",
            response.status().as_u16()
        )));
    }
    let status = response.status().as_u16();
    if header::is_leaving(status, response.headers()) {
        node.record_leaving(&pick.id, pick.incarnation);
    }
    let backoff = backoff::record(node, &pick.id, pick.incarnation, status, response.headers());
    let verdict = header::read_verdict(status, response.headers(), job.terms.request_id.as_deref());
    if header::is_from_expected(status) && verdict != Verdict::Foreign {
        throttle::record_rate(node, pick, sent_at, response.headers());
    }
    let attempt = Attempt { pick: pick.clone(), response, channel, guard };
    match verdict {
        Verdict::Ran => Ok(attempt),
        Verdict::Rejected => {
            if backoff.is_none() {
                node.ledger.lock().record_rejection(&pick.id, node.now());
            }
            Err(AttemptError::Rejected(backoff))
        }
        Verdict::NotRun => {
            if !header::is_from_expected(status) {
                let epoch = pick.group.as_ref().map(|(_, epoch)| *epoch);
                node.ledger.lock().record_misdirected(&pick.id, epoch, node.now());
            }
            Err(AttemptError::NotRun(format!("it answered {status}")))
        }
        Verdict::Foreign => {
            node.ledger.lock().record_failure(&pick.id, node.now());
            Err(AttemptError::MayHaveRun(format!("it answered {status} to another request")))
        }
        Verdict::Unknown => {
            Err(AttemptError::MayHaveRun(format!("it answered {status} without saying more")))
        }
    }
}

fn build_request(node: &Node, job: &Job, pick: &Pick, last_event: Option<u64>) -> Request<intake::Outgoing> {
    let mut request = Request::new(job.body.send());
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = job.head.uri.clone();
    let forward = ForwardMetadata {
        runner: &pick.id,
        account: job.account.as_ref(),
        priority: job.priority,
        timeout: job.terms.timeout.map(|_| job.deadline.since(node.now())),
        last_event_id: last_event,
    };
    *request.headers_mut() = header::write_forward_headers(&job.head.headers, &forward);
    request
}
