//! Finding out whether a runner has ended at which a try broke off.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::breaks::Break;
use cottoncrank_fleet::probe::Reported;
use cottoncrank_fleet::runner::{Life, is_later};
use cottoncrank_fleet::suspects::{Crash, Origin, Row};
use cottoncrank_platform::order;
use tokio::sync::OnceCell;

use crate::attempt::{AttemptError, Job, Pick};
use crate::channel::{Channel, ChannelError};
use crate::figures;
use crate::state::Node;
use crate::suspects;

/// What was found out of a runner holds for this long: all requests that broke off there do
/// so within some milliseconds, and a new life takes seconds to start.
const HOLDS: Millis = Millis(500);

/// A runner that ended is remembered for this long: lives that the store does not tell, for
/// it is away, are told apart by the ends seen.
const REMEMBERED: Millis = Millis(60_000);

/// How long the question which runner answers may take; it does so within milliseconds.
const ANSWER: Millis = Millis(150);

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

/// What was last found out of a runner.
#[derive(Debug)]
struct Look {
    begun: Millis,
    /// The life that was known then.
    life: Option<Life>,
    /// How many ends had been seen in that life.
    before: u32,
    finding: Shared,
}

/// What was lately found out of runners.
#[derive(Debug, Default)]
pub(crate) struct Findings(HashMap<id::Runner, Look>);

impl Look {
    fn has_ended(&self) -> bool {
        self.finding.get() == Some(&Finding::Ended)
    }
}

impl Findings {
    /// The finding that holds for a runner at `now`, and how many of its ends in the life
    /// known were seen before.
    fn share(&mut self, pick: &Pick, now: Millis) -> (Shared, u32) {
        self.0.retain(|_, look| now < look.begun + REMEMBERED);
        let last = self.0.get(&pick.id).filter(|look| look.life == pick.life);
        if let Some(look) = last.filter(|look| now < look.begun + HOLDS) {
            return (look.finding.clone(), look.before);
        }
        let before = last.map_or(0, |look| look.before + u32::from(look.has_ended()));
        let finding = Shared::default();
        let look = Look { begun: now, life: pick.life, before, finding: finding.clone() };
        self.0.insert(pick.id.clone(), look);
        (finding, before)
    }
}

/// Takes in what a try without an answer says of its request: whether the runner ended under
/// it. That is found out to its end also where the caller leaves meanwhile.
pub(crate) async fn investigate(node: &Arc<Node>, job: &Job, pick: &Pick, error: &AttemptError) {
    let row = suspects::write_row(job, pick);
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
        | AttemptError::Full
        | AttemptError::MayHaveRun(_)
        | AttemptError::Stopped => {}
    }
}

async fn judge(node: &Node, request: &str, pick: &Pick, row: Row) {
    let (finding, before) = examine(node, pick).await;
    let life = pick.life.map_or("-".to_owned(), |life| life.to_string());
    log::info!(
        "request {request}: {} in life {life} is found {} after a try broke off there, fingerprint {}",
        pick.id,
        finding.name(),
        row.fingerprint
    );
    match finding {
        Finding::Ended => suspects::take(node, &[count_end(row, before)], Origin::Hall),
        Finding::Sound => {}
        Finding::Unknown => note_break(node, pick, row),
    }
}

/// A row with one end, as one that follows so many others in the same life.
fn count_end(row: Row, before: u32) -> Row {
    let crashes = row.crashes.into_iter().map(|crash| Crash { nth: before, ..crash }).collect();
    Row { crashes, ..row }
}

fn note_break(node: &Node, pick: &Pick, row: Row) {
    let (runner, life, address) = (pick.id.clone(), pick.life, pick.address);
    node.breaks.lock().note(Break { row, runner, life, address, at: node.now() });
}

/// Finds out what became of the runner of a try that broke off, and how many of its ends in
/// the life known were seen before.
async fn examine(node: &Node, pick: &Pick) -> (Finding, u32) {
    let (shared, before) = node.findings.lock().share(pick, node.now());
    (*shared.get_or_init(|| look(node, pick)).await, before)
}

async fn look(node: &Node, pick: &Pick) -> Finding {
    let finding = match is_leaving(node, pick) {
        true => Finding::Sound,
        false => ask(node, pick).await,
    };
    figures::count_finding(finding.name());
    finding
}

/// Whether a runner was about to leave, as far as this node knows.
fn is_leaving(node: &Node, pick: &Pick) -> bool {
    node.roster.lock().get(&pick.id).is_none_or(|runner| runner.draining)
}

async fn ask(node: &Node, pick: &Pick) -> Finding {
    match Channel::open(pick.address).await {
        Ok(_) => {}
        Err(ChannelError::Connect(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Finding::Ended;
        }
        Err(_) => return Finding::Unknown,
    }
    match order::probe(&node.client, pick.address, &pick.id, ANSWER).await {
        (Reported::Gone, _) => Finding::Ended,
        (Reported::Pace(_), life) if is_later(life, pick.life) => Finding::Ended,
        (Reported::Pace(_), _) => Finding::Sound,
        (Reported::Silent, _) => Finding::Unknown,
    }
}
