//! Probes runners: the members of groups in rounds, at the decider, and single ones on demand.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::probe::{Answer, Observation, Probes};
use cottoncrank_fleet::runner::Place;
use cottoncrank_net::client::Client;
use cottoncrank_net::intake;
use cottoncrank_platform::order::{self, ProbeResult};
use http_body_util::BodyExt;
use hyper::Response;
use parking_lot::Mutex;
use tokio::task::JoinSet;

use crate::channel::{Channel, ChannelError};
use crate::connect::{self, Target};
use crate::paths;
use crate::state::Node;
use crate::telemetry;

/// The timeout of a probe. The round trip takes a few milliseconds.
const PROBE_TIMEOUT: Millis = Millis(250);

/// The pause between two rounds of probes. A lost runner is detected within one round, three times as
/// fast as by the expiry of its entry.
const ROUND_DELAY: Millis = Millis(450);

/// How long a connection for a probe may last: until it is made, and then the timeout of the probe.
const PROBE_LIFETIME: Millis = Millis(500);

/// Probes all members of groups in rounds, until the task is aborted, and in the first ones all that may be members.
/// Members whose entry is gone are probed at their last known address, and those of which this node has seen no
/// entry at the planned one.
pub async fn run(node: Arc<Node>, client: Client, probes: Arc<Mutex<Probes>>) {
    let mut unlisted = Unlisted::default();
    loop {
        // Slow runners are probed too, so that they are used again once they have recovered.
        let (slow, looks_at_all) = {
            let probes = probes.lock();
            (probes.list_slow(), probes.is_first_look())
        };
        let (targets, planned) = list_targets(&node, slow, looks_at_all);
        unlisted.probe(&node, &client, planned);
        let mut probing = JoinSet::new();
        for target in targets {
            let retries = !probes.lock().is_silent(&target.id);
            probing.spawn(probe_member(node.clone(), client.clone(), target, retries));
        }
        let mut round = probing.join_all().await;
        let listed: HashSet<id::Runner> = round.iter().map(|(answer, ..)| answer.runner.clone()).collect();
        // One that has an entry by now was asked anew in this round.
        let late = unlisted.take_answers().into_iter();
        round.extend(late.filter(|(answer, ..)| !listed.contains(&answer.runner)));
        telemetry::count_probes(round.iter().map(|(answer, ..)| answer.asked as usize).sum());
        let mut answers = Vec::with_capacity(round.len());
        for (answer, leaving, cold_left) in round {
            if let Some(incarnation) = answer.incarnation {
                node.record_incarnation(&answer.runner, incarnation);
            }
            if leaving {
                node.record_leaving(&answer.runner, answer.incarnation);
            }
            if let Some(left) = cold_left {
                node.roster.lock().record_cold(&answer.runner, answer.incarnation, left, node.now());
            }
            answers.push(answer);
        }
        let (answers, late): (Vec<Answer>, Vec<Answer>) =
            answers.into_iter().partition(|answer| listed.contains(&answer.runner));
        let newly_lost = {
            let mut probes = probes.lock();
            probes.set_in_flight(unlisted.in_flight.clone());
            probes.record_rounds(&answers, &late)
        };
        // A decider that cannot reach the runners itself hands over to a node that can.
        for hall in probes.lock().list_cut() {
            tokio::spawn(paths::verify(node.clone(), hall.clone()));
        }
        if !newly_lost.is_empty() {
            log::info!(
                "decider: no answer from {}",
                newly_lost.iter().map(id::Runner::as_str).collect::<Vec<_>>().join(" ")
            );
            node.fleet_changed.notify_one();
        }
        tokio::time::sleep(ROUND_DELAY.duration()).await;
    }
}

/// The probes of members that are known from the plans only. Most of them are gone, so rounds don't wait for
/// their timeouts.
#[derive(Default)]
struct Unlisted {
    probing: JoinSet<Probed>,
    in_flight: HashSet<id::Runner>,
}

impl Unlisted {
    /// Begins to probe those that are not being probed already.
    fn probe(&mut self, node: &Arc<Node>, client: &Client, targets: Vec<Target>) {
        for target in targets {
            if self.in_flight.insert(target.id.clone()) {
                self.probing.spawn(probe_member(node.clone(), client.clone(), target, false));
            }
        }
    }

    /// Returns the answers and timeouts since the last call.
    fn take_answers(&mut self) -> Vec<Probed> {
        let mut answers = Vec::new();
        while let Some(probed) = self.probing.try_join_next() {
            match probed {
                Ok(probed) => answers.push(probed),
                Err(error) => log::error!("decider: a probe ended early: {error}"),
            }
        }
        for (answer, ..) in &answers {
            self.in_flight.remove(&answer.runner);
        }
        answers
    }
}

/// Returns the members of groups and the `slow` runners that can be probed, or all that may be members, and apart
/// from them those that are known from the plans only.
fn list_targets(node: &Node, slow: Vec<id::Runner>, looks_at_all: bool) -> (Vec<Target>, Vec<Target>) {
    let (mut members, planned): (HashSet<id::Runner>, HashMap<id::Runner, Place>) = {
        let plans = node.plans.lock();
        let groups = plans.values().flat_map(|plan| &plan.groups);
        let places = plans.values().flat_map(|plan| plan.places.clone());
        (groups.flat_map(|group| group.members.iter().cloned()).collect(), places.collect())
    };
    members.extend(slow);
    let roster = node.roster.lock();
    if looks_at_all {
        let candidates = roster.iter().filter(|runner| runner.domain.is_some());
        members.extend(candidates.map(|runner| runner.id.clone()));
    }
    let (listed, unlisted): (Vec<id::Runner>, Vec<id::Runner>) =
        members.into_iter().partition(|id| roster.get_last_known(id).is_some());
    let targets: Vec<Target> =
        listed.iter().filter_map(|id| roster.get_last_known(id)).map(Target::of).collect();
    let places = unlisted.into_iter().filter_map(|id| Some((id.clone(), planned.get(&id)?.clone())));
    (targets, places.map(|(id, place)| Target::at(id, place)).collect())
}

/// The answer of a member, whether it is about to leave, and how much longer it stays cold.
type Probed = (Answer, bool, Option<Millis>);

/// Probes a member. If it does not answer and the probe is to be retried, it is probed once more at once,
/// through another node if this node does not reach it.
///
/// Retries show whether this node reaches the runners of the hall at all, so there are none of runners that are
/// silent or may have been gone for long.
async fn probe_member(node: Arc<Node>, client: Client, target: Target, retries: bool) -> Probed {
    let mut attempts = 1;
    let mut probed = order::probe(&client, target.address, &target.id, PROBE_TIMEOUT).await;
    if probed.reported == Observation::Silent && retries {
        attempts += 1;
        probed = probe_anyhow(&node, target.clone(), PROBE_TIMEOUT).await;
    }
    let ProbeResult { reported, incarnation, leaving, cold_left } = probed;
    let answer = Answer { runner: target.id, hall: target.hall, reported, incarnation, asked: attempts };
    (answer, leaving, cold_left)
}

/// Probes a runner over a connection of its own, which leads through another node if this node does not
/// reach it. `timeout` counts from when the connection is made.
pub(crate) async fn probe_anyhow(node: &Arc<Node>, target: Target, timeout: Millis) -> ProbeResult {
    let (id, address) = (target.id.clone(), target.address);
    let channel = match connect::open(node, target, node.now() + PROBE_LIFETIME).await {
        Ok(channel) => channel,
        Err(error) if error.is_refused() => return ProbeResult::new(Observation::Refused),
        Err(ChannelError::Connect(_)) => return ProbeResult::new(Observation::Unreachable),
        Err(_) => return ProbeResult::new(Observation::Silent),
    };
    let exchange = exchange_probe(channel, address, &id);
    let exchanged = tokio::time::timeout(timeout.duration(), exchange).await;
    match exchanged {
        Ok(Ok(probed)) => probed,
        Ok(Err(error)) => {
            log::debug!("probe: {id}: {error}");
            ProbeResult::new(Observation::Silent)
        }
        Err(_) => ProbeResult::new(Observation::Silent),
    }
}

async fn exchange_probe(
    mut channel: Channel,
    address: SocketAddr,
    id: &id::Runner,
) -> Result<ProbeResult, ChannelError> {
    let request = order::build_probe(address, id).map(|()| intake::Body::default().send());
    let answer = channel.send(request).await?;
    let (head, body) = answer.into_parts();
    let answer = Response::from_parts(head, body.collect().await?.to_bytes());
    Ok(order::read_probe(id, &answer))
}
