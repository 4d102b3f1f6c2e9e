//! One try of a request at one runner.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::{Millis, id};
use cottoncrank_fleet::catalog::{Catalog, Engine, Route};
use cottoncrank_fleet::fingerprint::Fingerprint;
use cottoncrank_fleet::plan::{State, find_state};
use cottoncrank_fleet::runner::{Epoch, Incarnation, Release};
use cottoncrank_platform::header::{self, Forward, Terms, Verdict};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use thiserror::Error;

use crate::backoff;
use crate::channel::{Channel, ChannelError};
use crate::flight::{Attempting, Lane};
use crate::state::Node;
use crate::throttle;

/// A request that was admitted.
pub struct Job {
    /// Its head, as the caller sent it.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
    /// What its headers say.
    pub terms: Terms,
    /// Its route.
    pub route: Arc<Route>,
    /// The configuration it was admitted under.
    pub catalog: Arc<Catalog>,
    /// The service it goes to.
    pub service: id::Service,
    /// The account it belongs to.
    pub account: Option<id::Account>,
    /// Its urgency, 0 first.
    pub priority: u8,
    /// What it has in common with the same request sent again.
    pub fingerprint: Fingerprint,
    /// When it came.
    pub arrived: Millis,
    /// When it has to be answered.
    pub end: Millis,
}

impl Job {
    /// What the request shares a limit with. Only models that operators named
    /// have one of their own: callers may name any.
    pub fn lane(&self) -> Lane {
        let named = |model: &&id::Model| {
            self.engine().is_some_and(|engine| engine.models.iter().any(|known| known.name == **model))
        };
        (self.service.clone(), self.terms.model.as_ref().filter(named).cloned())
    }

    /// The engine of its service, where that forms groups.
    pub(crate) fn engine(&self) -> Option<&Engine> {
        self.catalog.find_service(&self.service).and_then(|service| service.engine.as_ref())
    }

    /// Whether the time it had is over: nobody waits for an answer, and no runner may be
    /// given a time that is not there.
    pub fn is_over(&self, node: &Node) -> bool {
        node.now() >= self.end
    }

    /// For how long its caller waits from now on; none if that is not said.
    pub fn patience(&self, now: Millis) -> Option<Millis> {
        self.terms.wait.map(|wait| (self.arrived + wait).since(now))
    }

    /// The caller's id of the request, for the log.
    pub fn id(&self) -> &str {
        self.terms.request.as_deref().unwrap_or("-")
    }
}

/// Why a try gave no answer.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// No connection was made: nothing reached the runner.
    #[error("not run: {0}")]
    Unreached(String),
    /// The runner surely did not run it.
    #[error("not run: {0}")]
    NotRun(String),
    /// The runner had no place for it, and did not run it. It may have said for how long it
    /// wants nothing from this node.
    #[error("not run: no place{}", show_backoff(.0))]
    Full(Option<Millis>),
    /// It may have run there.
    #[error("may have run: {0}")]
    MayHaveRun(String),
    /// The same, and the connection broke: the runner may have ended.
    #[error("may have run: {0}")]
    Broken(String),
    /// The same, and nothing was heard of the runner for long.
    #[error("may have run: {0}")]
    Silent(String),
    /// It was found to end runners while it was under way.
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
            | AttemptError::Stopped => true,
            AttemptError::Unreached(_) | AttemptError::NotRun(_) | AttemptError::Full(_) => false,
        }
    }

    /// Whether the request reached the runner: only then does sending it again count
    /// as a retry, which has to be paid for.
    pub fn has_arrived(&self) -> bool {
        !matches!(self, AttemptError::Unreached(_))
    }

    /// The reason as the figures name it.
    pub fn reason(&self) -> &'static str {
        match self {
            AttemptError::Unreached(_) => "unreached",
            AttemptError::NotRun(_) => "not_run",
            AttemptError::Full(None) => "full",
            AttemptError::Full(Some(_)) => "backoff",
            AttemptError::MayHaveRun(_) | AttemptError::Broken(_) | AttemptError::Silent(_) => "may_have_run",
            AttemptError::Stopped => "stopped",
        }
    }
}

fn show_backoff(backoff: &Option<Millis>) -> String {
    backoff.map_or(String::new(), |backoff| format!(", it wants no request for {backoff}"))
}

/// A try that got the head of an answer.
pub struct Attempt {
    /// The runner.
    pub pick: Pick,
    /// The answer.
    pub response: Response<Incoming>,
    /// Keeps the connection open.
    pub channel: Channel,
    /// Keeps the runner's count.
    pub counted: Attempting,
}

/// A runner to try.
#[derive(Clone, Debug)]
pub struct Pick {
    /// Its id.
    pub id: id::Runner,
    /// Where it listens.
    pub address: SocketAddr,
    /// In which life it was picked, where that is told.
    pub life: Option<Incarnation>,
    /// The release of its software, where that is told.
    pub release: Option<Release>,
    /// When it was picked.
    pub at: Millis,
    /// The data hall it stands in.
    pub hall: id::Hall,
    /// The group it heads, if the request goes to one.
    pub group: Option<(id::Group, Epoch)>,
}

impl Pick {
    /// Waits until the group is given up without finishing what it has; forever
    /// if that does not happen.
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

/// Sends the request to a runner and waits for the head of the answer.
/// `last_event` is where a stream goes on.
pub async fn send(
    node: &Arc<Node>,
    job: &Job,
    pick: &Pick,
    last_event: Option<u64>,
) -> Result<Attempt, AttemptError> {
    let counted = node.begin_attempt(&pick.id);
    let opened = Channel::open(pick.address).await;
    let mut channel = opened.map_err(|error| {
        let mut ledger = node.ledger.lock();
        ledger.blame(&pick.id, node.now());
        if error.is_timeout() {
            ledger.note_unreached(&pick.hall, node.now());
        }
        AttemptError::Unreached(error.to_string())
    })?;
    node.ledger.lock().note_reached(&pick.hall);
    // Of many requests under way when it says so, those that have not reached it stay here.
    if backoff::is_unwilling(node, &pick.id, pick.life) {
        return Err(AttemptError::Unreached("it wants no requests at present".to_owned()));
    }
    let request = write_request(node, job, pick, last_event);
    let asked = node.now();
    let response = match channel.send(request).await {
        Ok(response) => response,
        Err(error @ (ChannelError::Broken(_) | ChannelError::Connect(_))) => {
            node.ledger.lock().blame(&pick.id, node.now());
            return Err(AttemptError::Broken(error.to_string()));
        }
    };
    let status = response.status().as_u16();
    if header::is_leaving(status, response.headers()) {
        node.record_leaving(&pick.id, pick.life);
    }
    let backoff = backoff::note(node, &pick.id, pick.life, status, response.headers());
    let verdict = header::read_verdict(status, response.headers(), job.terms.request.as_deref());
    if header::is_from_meant(status) && verdict != Verdict::Foreign {
        throttle::record_rate(node, pick, asked, response.headers());
    }
    let attempt = Attempt { pick: pick.clone(), response, channel, counted };
    match verdict {
        Verdict::Ran => Ok(attempt),
        Verdict::TurnedAway => {
            if backoff.is_none() {
                node.ledger.lock().refuse(&pick.id, node.now());
            }
            Err(AttemptError::Full(backoff))
        }
        Verdict::NotRun => Err(AttemptError::NotRun(format!("it answered {status}"))),
        Verdict::Foreign => {
            node.ledger.lock().blame(&pick.id, node.now());
            Err(AttemptError::MayHaveRun(format!("it answered {status} to another request")))
        }
        Verdict::Unclear => {
            Err(AttemptError::MayHaveRun(format!("it answered {status} without saying more")))
        }
    }
}

fn write_request(node: &Node, job: &Job, pick: &Pick, last_event: Option<u64>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = job.head.uri.clone();
    let forward = Forward {
        runner: &pick.id,
        account: job.account.as_ref(),
        priority: job.priority,
        wait: job.terms.wait.map(|_| job.end.since(node.now())),
        last_event,
    };
    *request.headers_mut() = header::write_forward(&job.head.headers, &forward);
    request
}
