//! Asking the collector of the hall which group takes a request, and answering as one.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::dispatch::{Choice, Chosen, Promise, Question, Reply, Sample, Urgency};
use cottoncrank_fleet::occupancy::Load;
use cottoncrank_fleet::occupancy::{COVERED, Scope};
use cottoncrank_fleet::runner::Epoch;
use cottoncrank_fleet::trials::Ruling;

use crate::attempt::Job;
use crate::peer;
use crate::reporting::{self, build_report, find_collector};
use crate::retries;
use crate::state::Node;
use crate::throttle;

/// How long the collector may take to answer: it answers within a few milliseconds, and
/// without it the node chooses by itself.
pub(crate) const ANSWER: Millis = Millis(40);

/// A collector that did not answer is not asked for this long.
const AVOID: Millis = Millis(1000);

/// First events kept until the next question, for the node may have nobody to ask.
const SAMPLES: usize = 32;

/// Notes how long the first event of a request took that went where it was told to.
pub fn note_first(node: &Node, job: &Job, promise: Promise, took: Millis) {
    let (service, Some(model)) = job.lane() else { return };
    let later = took.0 as i64 - promise.expected as i64;
    let mut samples = node.samples.lock();
    if samples.len() < SAMPLES {
        samples.push(Sample { service, model, later });
    }
}

/// Asks which group takes a request that is not to go to those in `tried`. None where
/// there is nobody to ask, or the request is for no model that operators named.
pub async fn ask(node: &Arc<Node>, job: &Job, urgency: Urgency, tried: &[id::Runner]) -> Option<Reply> {
    let (_, model) = job.lane();
    let settings = node.settings();
    let question = Question {
        report: build_report(node, Scope::Node, node.sum_in_flight()),
        service: job.service.clone(),
        model: model?,
        prompt: job.terms.prompt.unwrap_or(0),
        urgency,
        patience: job.patience(node.now()),
        tried: list_epochs(node, tried),
        unwilling: node.list_unwilling(),
        fingerprint: job.fingerprint,
        samples: std::mem::take(&mut *node.samples.lock()),
    };
    let collector = find_asked(node)?;
    if collector.node == settings.node {
        return Some(choose(node, &question));
    }
    match peer::ask_group(node, &collector, &question, ANSWER).await {
        Ok(reply) => Some(reply),
        Err(error) => {
            log::info!("request {}: {} does not choose a group: {error}", job.id(), collector.node);
            avoid(node, collector);
            None
        }
    }
}

/// The collector that this node asks.
pub(crate) fn find_asked(node: &Node) -> Option<Peer> {
    let hall = &node.settings().hall;
    let mut avoided = node.unanswering.lock();
    avoided.evict_expired(node.now());
    find_collector(node, hall, &avoided)
}

/// A collector did not answer a question and is not asked for a while.
pub(crate) fn avoid(node: &Node, collector: Peer) {
    node.unanswering.lock().insert(collector.node, node.now() + AVOID);
}

fn list_epochs(node: &Node, runners: &[id::Runner]) -> Vec<Epoch> {
    let roster = node.roster.lock();
    let epoch = |id: &id::Runner| Some(roster.get_last_known(id)?.membership.as_ref()?.epoch);
    runners.iter().filter_map(epoch).collect()
}

/// As the collector, takes in what the asking node has in flight and chooses a group.
pub fn take(node: &Node, question: Question) -> Reply {
    reporting::record_report(node, question.report.clone());
    let reply = choose(node, &question);
    if let Reply::Take(promise) = reply {
        node.reports.lock().begin(&question.report.node, promise.epoch);
    }
    reply
}

/// The halls whose nodes do not tell this one what they have in flight; none if too many
/// nodes of this hall do not either.
fn list_silent(node: &Node, hall: &id::Hall, now: Millis) -> Option<Vec<id::Hall>> {
    let directory = node.directory.lock();
    let reports = node.reports.lock();
    let nodes = directory.list_collectors(hall).len();
    if ((reports.count_nodes(now) + 1) as f64) < COVERED * nodes as f64 {
        return None;
    }
    let others = directory.list_halls().into_iter().filter(|other| *other != hall);
    Some(others.filter(|other| !reports.hears(other, now)).cloned().collect())
}

fn choose(node: &Node, question: &Question) -> Reply {
    if question.urgency != Urgency::Again {
        retries::earn_pooled(node);
    }
    let Some(catalog) = node.catalog.lock().clone() else { return Reply::Unknown };
    let engine = catalog.find_service(&question.service).and_then(|service| service.engine.as_ref());
    let Some(engine) = engine else { return Reply::Unknown };
    let Some(model) = engine.models.iter().find(|model| model.name == question.model) else {
        return Reply::Unknown;
    };
    let own = node.sum_in_flight();
    let (settings, now) = (node.settings(), node.now());
    let Some(silent) = list_silent(node, &settings.hall, now) else { return Reply::Unknown };
    let roster = node.roster.lock();
    let heads = roster.list_heads(&question.service, &question.model, &node.plans.lock());
    let loads = node.reports.lock().sum_loads(&own, now);
    let sound = {
        let ledger = node.ledger.lock();
        heads.iter().filter(|head| ledger.is_sound(head, now) && question.is_welcome_at(head)).count()
    };
    let ruling = rule(node, question, sound, now);
    let trials = match ruling {
        Ruling::Run => Vec::new(),
        Ruling::Trial => node.trials.lock().list_trial_groups(&question.fingerprint, now),
        Ruling::Quarantine => return Reply::Held,
        Ruling::Reject => return Reply::Deadly,
    };
    let limited = throttle::list_limited(node, &heads, now);
    let choice = Choice {
        hall: &settings.hall,
        silent: &silent,
        heads: &heads,
        model,
        speed: &engine.speed,
        trials: &trials,
        spent: &limited.spent,
    };
    let load = |epoch: Epoch| loads.get(&epoch).copied().unwrap_or(Load::default());
    let mut dispatcher = node.dispatcher.lock();
    for sample in &question.samples {
        dispatcher.learn(sample);
    }
    let Chosen { reply, best } = dispatcher.choose(&choice, question, load, now, &mut rand::rng());
    throttle::note_choice(node, &heads, reply, best, now);
    if let Reply::Throttled(soonest) = reply {
        let wait = throttle::plan_return(node, question, &limited, now);
        return Reply::Throttled(wait.map_or(soonest, |wait| wait.0));
    }
    if let (Ruling::Trial, Reply::Take(promise)) = (ruling, reply) {
        node.trials.lock().start(question.fingerprint, Some(promise.epoch), now);
    }
    reply
}

/// What becomes of a request that a node asks for, as far as this hall knows.
fn rule(node: &Node, question: &Question, groups: usize, now: Millis) -> Ruling {
    let takers = node.usual.lock().record(&question.service, Some(&question.model), groups, now);
    let level = node.suspects.lock().level(&question.fingerprint);
    let mut trials = node.trials.lock();
    trials.finish_at(&question.fingerprint, &question.tried);
    trials.decide(&question.fingerprint, level, takers, now)
}
