//! Finds out whether a runner crashed when an attempt at it broke off.

use std::collections::HashMap;
use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::evidence::Row;
use cottoncrank_fleet::interruptions::Interruption;
use cottoncrank_fleet::probe::Observation;
use cottoncrank_fleet::prompt::Part;
use cottoncrank_fleet::runner::is_later;
use cottoncrank_fleet::suspects::Origin;
use tokio::sync::OnceCell;

use crate::attempt::{AttemptError, Job, Pick};
use crate::connect::Target;
use crate::prober;
use crate::state::Node;
use crate::suspects;
use crate::telemetry;

/// How long a finding about a runner is valid. All requests that a crash interrupts break off within
/// milliseconds, and the next incarnation takes seconds to start.
const FINDING_TTL: Millis = Millis(500);

/// The timeout of a probe of a runner; a runner answers one within milliseconds.
const PROBE_TIMEOUT: Millis = Millis(150);

/// A probe that fails within this time had its connection closed at once by the runner. A connection
/// that cannot be established takes longer to fail.
const EARLY_CLOSE_MAX: Millis = Millis(60);

/// The pause before the next probe of a runner that closes connections at once. A process that is ending
/// may close its connections before its port. Without further probes, such a crash would not count, and
/// the request would be executed a fourth time.
const PROBE_PAUSE: Millis = Millis(40);

/// How often such a runner is probed in total.
const MAX_PROBES: usize = 3;

/// The pauses before the follow-up probes of a runner about which the finding is unknown. A crashed
/// runner is back after some seconds, but its entry may take longer, or the store be unavailable.
const FOLLOW_UP_PAUSES: [Millis; 4] = [Millis(500), Millis(1000), Millis(1500), Millis(2000)];

/// The result of an investigation of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    /// Its process ended without being announced.
    Crashed,
    /// It runs, or ended as announced: only the connection broke.
    Alive,
    /// Not known, for example because the network to it is partitioned.
    Unknown,
}

impl Finding {
    /// Returns the name of the finding in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Finding::Crashed => "ended",
            Finding::Alive => "sound",
            Finding::Unknown => "unknown",
        }
    }
}

/// A finding that all requests interrupted at the same runner share.
type SharedFinding = Arc<OnceCell<Finding>>;

/// The recent findings by runner, each with the time when its investigation started.
#[derive(Debug, Default)]
pub(crate) struct Findings(HashMap<id::Runner, (Millis, SharedFinding)>);

impl Findings {
    fn get_or_start(&mut self, id: &id::Runner, now: Millis) -> SharedFinding {
        self.0.retain(|_, (started, _)| now < *started + FINDING_TTL);
        self.0.entry(id.clone()).or_insert_with(|| (now, SharedFinding::default())).1.clone()
    }
}

/// Finds out whether a runner crashed under a request after an attempt without an answer, and records
/// the evidence. The investigation completes even if the caller disconnects meanwhile. Returns whether the
/// runner may have crashed and that is not known yet.
pub(crate) async fn investigate(node: &Arc<Node>, job: &Job, pick: &Pick, error: &AttemptError) -> bool {
    let rows = suspects::build_rows(node, job, pick);
    match error {
        AttemptError::Broken(_) => {
            node.roster.lock().doubt(&pick.id, node.now());
            let parts: Vec<&str> = job.terms.prompt_parts.iter().map(Part::as_str).collect();
            let label = format!("{} with prompt parts [{}]", job.id(), parts.join(" "));
            let (node, pick) = (node.clone(), pick.clone());
            let task = tokio::spawn(async move { resolve(&node, &label, &pick, rows).await });
            task.await.unwrap_or_else(|error| {
                log::error!("request {}: the investigation of its runner failed: {error}", job.id());
                Finding::Unknown
            }) == Finding::Unknown
        }
        // Where the path is cut, nothing says that the runner fell silent.
        AttemptError::Silent(_) if node.paths.lock().is_cut(&pick.hall) => false,
        AttemptError::Silent(_) => {
            record_interruption(node, pick, rows);
            true
        }
        AttemptError::Unreached(_)
        | AttemptError::NotRun(_)
        | AttemptError::Rejected(_)
        | AttemptError::MayHaveRun(_)
        | AttemptError::Oversized
        | AttemptError::Stopped => false,
    }
}

/// Logs the finding about an interrupted attempt and records its rows accordingly, that of the request first.
async fn resolve(node: &Arc<Node>, request: &str, pick: &Pick, rows: Vec<Row>) -> Finding {
    let finding = find_shared(node, pick).await;
    if finding == Finding::Alive {
        node.roster.lock().trust(&pick.id);
    }
    let incarnation_text = pick.incarnation.map_or("-".to_owned(), |incarnation| incarnation.to_string());
    log::info!(
        "request {request}: runner {} in incarnation {incarnation_text} has finding {} after an interrupted attempt, fingerprint {}",
        pick.id,
        finding.name(),
        rows[0].fingerprint
    );
    match finding {
        Finding::Crashed => suspects::merge_rows(node, &rows, Origin::Hall),
        Finding::Alive => {}
        Finding::Unknown => record_interruption(node, pick, rows),
    }
    finding
}

/// Keeps an attempt until it is known whether its runner crashed.
fn record_interruption(node: &Node, pick: &Pick, rows: Vec<Row>) {
    let (runner, incarnation, address) = (pick.id.clone(), pick.incarnation, pick.address);
    node.interruptions.lock().record(Interruption { rows, runner, incarnation, address, at: node.now() });
}

/// Withdraws the interruption of an attempt that was late and has gone on. Its runner was paused.
pub(crate) fn withdraw(node: &Node, job: &Job, pick: &Pick) {
    node.interruptions.lock().withdraw(&pick.id, &job.fingerprint);
}

/// Returns the finding about the runner of an interrupted attempt, made once for all requests.
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
    match finding {
        Finding::Crashed => node.record_end(pick),
        Finding::Alive => {}
        Finding::Unknown => {
            tokio::spawn(follow_up(node.clone(), pick.clone()));
        }
    }
    finding
}

/// Probes a runner again after an unknown finding.
async fn follow_up(node: Arc<Node>, pick: Pick) {
    for pause in FOLLOW_UP_PAUSES {
        tokio::time::sleep(pause.duration()).await;
        let finding = probe(&node, &pick).await;
        match finding {
            Finding::Unknown => continue,
            Finding::Alive => node.roster.lock().trust(&pick.id),
            Finding::Crashed => node.record_end(&pick),
        }
        let rows = node.interruptions.lock().take_crashed(&pick.id, pick.incarnation, node.now());
        if finding == Finding::Crashed && !rows.is_empty() {
            log::info!("crash: {} crashed under {} requests", pick.id, rows.len());
            suspects::merge_rows(&node, &rows, Origin::Hall);
        }
        return;
    }
}

/// Whether a runner is known to be leaving, or not known at all.
fn is_leaving(node: &Node, pick: &Pick) -> bool {
    node.roster.lock().get(&pick.id).is_none_or(|runner| runner.draining)
}

/// Probes a runner. One that accepts a connection and closes it at once is about to end, or ended during
/// the probe, because its connections close before its port; it is probed again.
async fn probe(node: &Arc<Node>, pick: &Pick) -> Finding {
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

async fn probe_once(node: &Arc<Node>, pick: &Pick) -> Finding {
    let answer = prober::probe_anyhow(node, Target::of_pick(pick), PROBE_TIMEOUT).await;
    match answer.reported {
        Observation::Gone | Observation::Refused => Finding::Crashed,
        Observation::Pace(_) if is_later(answer.incarnation, pick.incarnation) => Finding::Crashed,
        Observation::Pace(_) => Finding::Alive,
        Observation::Silent | Observation::Unreachable => Finding::Unknown,
    }
}
