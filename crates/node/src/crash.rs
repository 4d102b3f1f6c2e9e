//! Finding out whether a runner has ended whose connection broke.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::probe::Reported;
use cottoncrank_fleet::runner::is_later;
use cottoncrank_platform::order;
use tokio::sync::OnceCell;

use crate::attempt::{Job, Pick};
use crate::channel::{Channel, ChannelError};
use crate::figures;
use crate::state::Node;

/// What was found out of a runner holds for this long: all requests that broke off there do
/// so within some milliseconds, and a new life takes seconds to start.
const HOLDS: Millis = Millis(500);

/// How long the question which runner answers may take; it does so within milliseconds.
const ANSWER: Millis = Millis(150);

/// What became of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finding {
    /// Its process has ended without notice.
    Ended,
    /// It lives, or has ended as it had announced: what broke was the connection.
    Sound,
    /// Nothing can be said: the way there may be cut.
    Unknown,
}

impl Finding {
    /// The finding as the figures name it.
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

/// Logs what became of the runner of a try that broke off, and of which request the try was.
pub(crate) fn report(node: &Arc<Node>, job: &Job, pick: &Pick) {
    let (node, pick, fingerprint) = (node.clone(), pick.clone(), job.fingerprint);
    let request = job.id().to_owned();
    let account = job.account.as_ref().map_or("-".to_owned(), ToString::to_string);
    let route = job.route.name.clone();
    tokio::spawn(async move {
        let finding = examine(&node, &pick).await;
        let life = pick.life.map_or("-".to_owned(), |life| life.to_string());
        log::info!(
            "request {request}: {} in life {life} is found {} after a try broke off there \
             (fingerprint {fingerprint}, account {account}, route {route})",
            pick.id,
            finding.name()
        );
    });
}

/// Finds out what became of the runner of a try that broke off.
async fn examine(node: &Node, pick: &Pick) -> Finding {
    let shared = node.findings.lock().share(&pick.id, node.now());
    *shared.get_or_init(|| look(node, pick)).await
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
