//! Finding out whether a runner has ended at which a try broke off.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::evidence::Row;
use cottoncrank_fleet::interruptions::Interruption;
use cottoncrank_fleet::probe::Observation;
use cottoncrank_fleet::runner::is_later;
use cottoncrank_fleet::suspects::Origin;
use cottoncrank_platform::order;
use tokio::sync::OnceCell;

use crate::attempt::{AttemptError, Job, Pick};
use crate::channel::{Channel, ChannelError};
use crate::state::Node;
use crate::suspects;
use crate::telemetry;

/// What was found out of a runner holds for this long: all requests that broke off there do
/// so within some milliseconds, and a new life takes seconds to start.
const FINDING_TTL: Millis = Millis(500);

/// How long the question which runner answers may take; it does so within milliseconds.
const PROBE_TIMEOUT: Millis = Millis(150);

/// A connection that was broken off at once was so within this; one that is not made in time
/// takes longer to show.
const EARLY_CLOSE_MAX: Millis = Millis(60);

/// The pause before a runner is started again that breaks connections off, and how often it is
/// started. Without that, the end of a process that closes its connections before its port does not
/// count, and the request is let run a fourth time.
const PROBE_PAUSE: Millis = Millis(40);
const MAX_PROBES: usize = 3;

/// A runner of which nothing could be said is started again after these pauses: one that ended
/// is back after some seconds, and its entry may take longer, or the store be away.
const FOLLOW_UP_PAUSES: [Millis; 4] = [Millis(500), Millis(1000), Millis(1500), Millis(2000)];

/// What became of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    /// Its process has ended without notice.
    Crashed,
    /// It lives, or has ended as it had announced: what broke was the connection.
    Alive,
    /// Nothing can be said: the way there may be cut.
    Unknown,
}

impl Finding {
    /// The finding as logs and figures name it.
    fn name(self) -> &'static str {
        match self {
            Finding::Crashed => "ended",
            Finding::Alive => "sound",
            Finding::Unknown => "unknown",
        }
    }
}

/// A finding, made once for all requests that broke off there.
type SharedFinding = Arc<OnceCell<Finding>>;

/// What was lately found out of runners.
#[derive(Debug, Default)]
pub(crate) struct Findings(HashMap<id::Runner, (Millis, SharedFinding)>);

impl Findings {
    fn get_or_start(&mut self, id: &id::Runner, now: Millis) -> SharedFinding {
        self.0.retain(|_, (started, _)| now < *started + FINDING_TTL);
        self.0.entry(id.clone()).or_insert_with(|| (now, SharedFinding::default())).1.clone()
    }
}

/// Takes in what a try without an answer says of its request: whether the runner ended under
/// it. That is found out to its end also where the caller leaves meanwhile.
pub(crate) async fn investigate(node: &Arc<Node>, job: &Job, pick: &Pick, error: &AttemptError) {
    let row = suspects::build_row(node, job, pick);
    match error {
        AttemptError::Broken(_) => {
            let (request, node, pick) = (job.id().to_owned(), node.clone(), pick.clone());
            let task = tokio::spawn(async move { resolve(&node, &request, &pick, row).await });
            if let Err(error) = task.await {
                log::error!("request {}: what became of its runner is not known: {error}", job.id());
            }
        }
        AttemptError::Silent(_) => record_interruption(node, pick, row),
        AttemptError::Unreached(_)
        | AttemptError::NotRun(_)
        | AttemptError::Full(_)
        | AttemptError::MayHaveRun(_)
        | AttemptError::Stopped => {}
    }
}

async fn resolve(node: &Arc<Node>, request: &str, pick: &Pick, row: Row) {
    let finding = find_shared(node, pick).await;
    let life = pick.life.map_or("-".to_owned(), |life| life.to_string());
    log::info!(
        "request {request}: {} in life {life} is found {} after a try broke off there, fingerprint {}",
        pick.id,
        finding.name(),
        row.fingerprint
    );
    match finding {
        Finding::Crashed => suspects::merge_rows(node, &[row], Origin::Hall),
        Finding::Alive => {}
        Finding::Unknown => record_interruption(node, pick, row),
    }
}

fn record_interruption(node: &Node, pick: &Pick, row: Row) {
    let (runner, life, address) = (pick.id.clone(), pick.life, pick.address);
    node.interruptions.lock().record(Interruption {
        row,
        runner,
        incarnation: life,
        address,
        at: node.now(),
    });
}

/// Finds out what became of the runner of a try that broke off.
async fn find_shared(node: &Arc<Node>, pick: &Pick) -> Finding {
    let shared = node.findings.lock().get_or_start(&pick.id, node.now());
    *shared.get_or_init(|| probe_and_follow(node, pick)).await
}

async fn probe_and_follow(node: &Arc<Node>, pick: &Pick) -> Finding {
    let finding = match is_leaving(node, pick) {
        true => Finding::Alive,
        false => probe(node, pick).await,
    };
    telemetry::count_finding(finding.name());
    if finding == Finding::Unknown {
        tokio::spawn(follow_up(node.clone(), pick.clone()));
    }
    finding
}

/// Asks a runner again of which nothing could be said.
async fn follow_up(node: Arc<Node>, pick: Pick) {
    for pause in FOLLOW_UP_PAUSES {
        tokio::time::sleep(pause.duration()).await;
        let finding = probe(&node, &pick).await;
        if finding == Finding::Unknown {
            continue;
        }
        let rows = node.interruptions.lock().take_crashed(&pick.id, pick.life, node.now());
        if finding == Finding::Crashed && !rows.is_empty() {
            log::info!("crash: {} has ended under {} requests", pick.id, rows.len());
            suspects::merge_rows(&node, &rows, Origin::Hall);
        }
        return;
    }
}

/// Whether a runner was about to leave, as far as this node knows.
fn is_leaving(node: &Node, pick: &Pick) -> bool {
    node.roster.lock().get(&pick.id).is_none_or(|runner| runner.draining)
}

/// Asks a runner what became of it. One that takes a connection and breaks it off at once is
/// about to end, or has ended while this was under way: its connections close before its port.
async fn probe(node: &Node, pick: &Pick) -> Finding {
    for _ in 1..MAX_PROBES {
        let started = node.now();
        match probe_once(node, pick).await {
            Finding::Unknown if node.now().since(started) < PROBE_TIMEOUT.min(EARLY_CLOSE_MAX) => {
                tokio::time::sleep(PROBE_PAUSE.duration()).await;
            }
            finding => return finding,
        }
    }
    probe_once(node, pick).await
}

async fn probe_once(node: &Node, pick: &Pick) -> Finding {
    match Channel::open(pick.address).await {
        Ok(_) => {}
        Err(ChannelError::Connect(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Finding::Crashed;
        }
        Err(_) => return Finding::Unknown,
    }
    let answer = order::probe(&node.client, pick.address, &pick.id, PROBE_TIMEOUT).await;
    match answer.reported {
        Observation::Gone => Finding::Crashed,
        Observation::Pace(_) if is_later(answer.life, pick.life) => Finding::Crashed,
        Observation::Pace(_) => Finding::Alive,
        Observation::Silent => Finding::Unknown,
    }
}
