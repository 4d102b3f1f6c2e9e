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
const HOLDS: Millis = Millis(500);

/// How long the question which runner answers may take; it does so within milliseconds.
const ANSWER: Millis = Millis(150);

/// A connection that was broken off at once was so within this; one that is not made in time
/// takes longer to show.
const REFUSES: Millis = Millis(60);

/// The pause before a runner is asked again that breaks connections off, and how often it is
/// asked. Without that, the end of a process that closes its connections before its port does not
/// count, and the request is let run a fourth time.
const ENDING: Millis = Millis(40);
const ENDING_TRIES: usize = 3;

/// A runner of which nothing could be said is asked again after these pauses: one that ended
/// is back after some seconds, and its entry may take longer, or the store be away.
const AGAIN: [Millis; 4] = [Millis(500), Millis(1000), Millis(1500), Millis(2000)];

/// What became of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    /// Its process has ended without notice.
    Ended,
    /// It lives, or has ended as it had announced: what broke was the connection.
    Sound,
    /// Nothing can be said: the way there may be cut.
    Unknown,
}

impl Finding {
    /// The finding as logs and figures name it.
    fn name(self) -> &'static str {
        match self {
            Finding::Ended => "ended",
            Finding::Sound => "sound",
            Finding::Unknown => "unknown",
        }
    }
}

/// A finding, made once for all requests that broke off there.
type Shared = Arc<OnceCell<Finding>>;

/// What was lately found out of runners.
#[derive(Debug, Default)]
pub(crate) struct Findings(HashMap<id::Runner, (Millis, Shared)>);

impl Findings {
    fn share(&mut self, id: &id::Runner, now: Millis) -> Shared {
        self.0.retain(|_, (begun, _)| now < *begun + HOLDS);
        self.0.entry(id.clone()).or_insert_with(|| (now, Shared::default())).1.clone()
    }
}

/// Takes in what a try without an answer says of its request: whether the runner ended under
/// it. That is found out to its end also where the caller leaves meanwhile.
pub(crate) async fn investigate(node: &Arc<Node>, job: &Job, pick: &Pick, error: &AttemptError) {
    let row = suspects::build_row(node, job, pick);
    match error {
        AttemptError::Broken(_) => {
            let (request, node, pick) = (job.id().to_owned(), node.clone(), pick.clone());
            let examining = tokio::spawn(async move { judge(&node, &request, &pick, row).await });
            if let Err(error) = examining.await {
                log::error!("request {}: what became of its runner is not known: {error}", job.id());
            }
        }
        AttemptError::Silent(_) => note_break(node, pick, row),
        AttemptError::Unreached(_)
        | AttemptError::NotRun(_)
        | AttemptError::Full(_)
        | AttemptError::MayHaveRun(_)
        | AttemptError::Stopped => {}
    }
}

async fn judge(node: &Arc<Node>, request: &str, pick: &Pick, row: Row) {
    let finding = examine(node, pick).await;
    let life = pick.life.map_or("-".to_owned(), |life| life.to_string());
    log::info!(
        "request {request}: {} in life {life} is found {} after a try broke off there, fingerprint {}",
        pick.id,
        finding.name(),
        row.fingerprint
    );
    match finding {
        Finding::Ended => suspects::merge_rows(node, &[row], Origin::Hall),
        Finding::Sound => {}
        Finding::Unknown => note_break(node, pick, row),
    }
}

fn note_break(node: &Node, pick: &Pick, row: Row) {
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
async fn examine(node: &Arc<Node>, pick: &Pick) -> Finding {
    let shared = node.findings.lock().share(&pick.id, node.now());
    *shared.get_or_init(|| look(node, pick)).await
}

async fn look(node: &Arc<Node>, pick: &Pick) -> Finding {
    let finding = match is_leaving(node, pick) {
        true => Finding::Sound,
        false => ask(node, pick).await,
    };
    telemetry::count_finding(finding.name());
    if finding == Finding::Unknown {
        tokio::spawn(follow(node.clone(), pick.clone()));
    }
    finding
}

/// Asks a runner again of which nothing could be said.
async fn follow(node: Arc<Node>, pick: Pick) {
    for pause in AGAIN {
        tokio::time::sleep(pause.duration()).await;
        let finding = ask(&node, &pick).await;
        if finding == Finding::Unknown {
            continue;
        }
        let rows = node.interruptions.lock().take_crashed(&pick.id, pick.life, node.now());
        if finding == Finding::Ended && !rows.is_empty() {
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
async fn ask(node: &Node, pick: &Pick) -> Finding {
    for _ in 1..ENDING_TRIES {
        let asked = node.now();
        match ask_once(node, pick).await {
            Finding::Unknown if node.now().since(asked) < ANSWER.min(REFUSES) => {
                tokio::time::sleep(ENDING.duration()).await;
            }
            finding => return finding,
        }
    }
    ask_once(node, pick).await
}

async fn ask_once(node: &Node, pick: &Pick) -> Finding {
    match Channel::open(pick.address).await {
        Ok(_) => {}
        Err(ChannelError::Connect(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Finding::Ended;
        }
        Err(_) => return Finding::Unknown,
    }
    let probed = order::probe(&node.client, pick.address, &pick.id, ANSWER).await;
    match probed.reported {
        Observation::Gone => Finding::Ended,
        Observation::Pace(_) if is_later(probed.life, pick.life) => Finding::Ended,
        Observation::Pace(_) => Finding::Sound,
        Observation::Silent => Finding::Unknown,
    }
}
