//! Plans the groups of one fabric domain as pure functions.
//!
//! [`decide_change`] takes the configuration, the domain's document and the
//! evidence, and returns the next document (one change at a time) or the reasons
//! for making no change. [`list_orders`] returns the orders that bring the runners
//! in line with the document. Two nodes may decide at the same time: the store's
//! compare-and-swap accepts only one document, and the generations in it fence the
//! orders of the other node.

mod orders;

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::config::{self, Entry, Fence, Kind};
use crate::domain::{Action, Alternative, Cause, Document, Event, Group, Phase, Placement, Quarantine};
use crate::evidence::{Evidence, Runner};
use crate::id;

pub use orders::list_orders;

/// How long to wait after the drain of a group before its count of in-flight
/// requests is taken as complete. It is longer than [`crate::view::VIEW_TTL`], after
/// which an entry sends no requests by an old view, so no entry still adds any.
pub const DRAIN_WAIT: Millis = Millis(4000);

/// The input of a decision.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// The configuration in force.
    pub config: &'a config::Document,
    /// The domain.
    pub domain: &'a id::Domain,
    /// The domain's document as last read.
    pub document: &'a Document,
    /// The evidence about the domain's runners and groups.
    pub evidence: &'a Evidence,
    /// The number of live nodes of the hall, and of these together with the recently lost ones.
    pub nodes: (usize, usize),
    /// The node that makes the decision.
    pub decider: &'a id::Node,
    /// The present time.
    pub now: Millis,
    /// The proposal id for the write that may follow.
    pub proposal: id::Proposal,
}

/// The outcome of [`decide_change`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Write this document.
    Change(Box<Document>),
    /// Make no change; lists the groups that are not as configured.
    Hold(Vec<Hold>),
}

/// A group that is left as it is although it is not as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The group.
    pub group: id::Group,
    /// The possible actions, each with the reason why it is not taken.
    pub passed: Vec<Alternative>,
}

/// A runner as configured, with the evidence about it.
struct ConfiguredRunner<'a> {
    address: SocketAddr,
    fence: Fence,
    drained: bool,
    known: Option<&'a Runner>,
}

/// Decides the next change of the domain.
pub fn decide_change(input: &Input) -> Decision {
    let steps: [fn(&Input) -> Option<Document>; 6] =
        [unquarantine, drain_unconfigured, finish_drain, repair, drain_leaving, form];
    if is_partitioned(input) {
        return Decision::Hold(explain_holds(input));
    }
    match steps.iter().find_map(|step| step(input)) {
        Some(mut document) => {
            document.proposal = input.proposal;
            Decision::Change(Box::new(document))
        }
        None => Decision::Hold(explain_holds(input)),
    }
}

/// Whether more than half of the hall's nodes are missing. Then it is more likely that
/// this node is cut off than that they have all failed, so it must not act.
fn is_partitioned(input: &Input) -> bool {
    let (live, known) = input.nodes;
    live * 2 < known
}

fn find_configured_runner<'a>(input: &Input<'a>, runner: &id::Runner) -> Option<ConfiguredRunner<'a>> {
    match input.config.get(&config::Key::new(Kind::Runner, runner))? {
        Entry::Runner { domain, address, fence, drained } if domain == input.domain => {
            Some(ConfiguredRunner {
                address: *address,
                fence: *fence,
                drained: *drained,
                known: input.evidence.runners.get(runner),
            })
        }
        _ => None,
    }
}

/// Lists the runners that can join a group now, those with warm weights for `model` first.
fn list_spares(input: &Input, model: &id::Model) -> Vec<Placement> {
    let mut spares: Vec<(bool, Placement)> = Vec::new();
    for (name, _) in input.config.list_kind(Kind::Runner) {
        let Ok(runner) = name.parse::<id::Runner>() else { continue };
        if input.document.find_group(&runner).is_some() || input.document.quarantine.contains_key(&runner) {
            continue;
        }
        let Some(place) = find_usable_place(input, &runner) else { continue };
        let warm =
            input.evidence.get_runner(&runner).seen.is_some_and(|seen| seen.warm.as_ref() == Some(model));
        spares.push((!warm, place));
    }
    spares.sort();
    spares.into_iter().map(|(_, place)| place).collect()
}

/// Returns a place for the runner in its current incarnation, if it is usable.
fn find_usable_place(input: &Input, runner: &id::Runner) -> Option<Placement> {
    let configured = find_configured_runner(input, runner)?;
    let known = configured.known?;
    if configured.drained || known.is_leaving() || !known.is_reachable(input.now) {
        return None;
    }
    let incarnation = known.seen.as_ref()?.incarnation;
    Some(Placement { runner: runner.clone(), incarnation })
}

fn is_leaving(input: &Input, runner: &id::Runner) -> bool {
    match find_configured_runner(input, runner) {
        Some(configured) => configured.drained || configured.known.is_some_and(Runner::is_leaving),
        None => true,
    }
}

fn find_configured_group<'a>(input: &Input<'a>, group: &id::Group) -> Option<(&'a id::Model, usize)> {
    match input.config.get(&config::Key::new(Kind::Group, group))? {
        Entry::Group { domain, model, size, .. } if domain == input.domain => {
            Some((model, usize::from(*size)))
        }
        _ => None,
    }
}

fn build_event(
    input: &Input,
    group: &id::Group,
    action: Action,
    cause: Cause,
    passed: Vec<Alternative>,
) -> Event {
    Event {
        at: input.now,
        by: input.decider.clone(),
        group: group.clone(),
        generation: input.document.generation.next(),
        action,
        cause,
        passed,
    }
}

/// Quarantines those of `runners` that do not check fences. They could still hold
/// their old role, so they stay in quarantine until they report no role.
fn quarantine_unfenced(
    input: &Input,
    document: &mut Document,
    runners: impl IntoIterator<Item = id::Runner>,
) {
    for runner in runners {
        if find_configured_runner(input, &runner)
            .is_some_and(|configured| configured.fence == Fence::Unchecked)
        {
            let generation = document.generation;
            document.quarantine.insert(runner, Quarantine { generation });
        }
    }
}

/// Ends the quarantine of a runner that answers and holds no role, or is no longer configured.
fn unquarantine(input: &Input) -> Option<Document> {
    let free = input.document.quarantine.keys().find(|runner| {
        let known = input.evidence.get_runner(runner);
        let gone = find_configured_runner(input, runner).is_none();
        gone || (known.is_reachable(input.now) && known.seen.is_some_and(|seen| seen.role.is_none()))
    })?;
    let mut document = input.document.clone();
    document.quarantine.remove(free);
    Some(document)
}

/// Drains a group whose model or size differs from the configuration, or that is not configured.
fn drain_unconfigured(input: &Input) -> Option<Document> {
    let (name, _) = input.document.groups.iter().find(|(name, group)| {
        let kept = find_configured_group(input, name)
            .is_some_and(|(model, size)| *model == group.model && size == group.members.len());
        group.phase == Phase::Serve && !kept
    })?;
    let cause = Cause::Configured(input.config.revision);
    Some(drain(input, name, cause))
}

/// Drains a group with a member that is leaving.
fn drain_leaving(input: &Input) -> Option<Document> {
    let serving = input.document.groups.iter().filter(|(_, group)| group.phase == Phase::Serve);
    let (name, leaving) = serving
        .filter_map(|(name, group)| {
            let leaving = group.members.iter().find(|place| is_leaving(input, &place.runner))?;
            Some((name, leaving.runner.clone()))
        })
        .next()?;
    Some(drain(input, name, Cause::Leaving(leaving)))
}

fn drain(input: &Input, name: &id::Group, cause: Cause) -> Document {
    let mut document = input.document.clone();
    if let Some(group) = document.groups.get_mut(name) {
        group.phase = Phase::Drain;
    }
    document.record_event(build_event(input, name, Action::Drain, cause, Vec::new()));
    document
}

/// Dissolves a draining group once nothing is in flight.
fn finish_drain(input: &Input) -> Option<Document> {
    let (name, _) = input
        .document
        .groups
        .iter()
        .find(|(name, group)| group.phase == Phase::Drain && is_drained(input, name, group))?;
    Some(dissolve(input, name, Cause::Drained, Vec::new()))
}

/// Whether a draining group has no request in flight, or has lost a member and with it
/// all its requests.
fn is_drained(input: &Input, name: &id::Group, group: &Group) -> bool {
    let lost = group.members.iter().any(|place| is_lost(&input.evidence.get_runner(&place.runner), place));
    let drains = input.document.events.iter().rev();
    let Some(drained) = drains.into_iter().find(|e| e.group == *name && e.action == Action::Drain) else {
        return lost;
    };
    if lost {
        return true;
    }
    let settled = drained.at + DRAIN_WAIT;
    let load = input.evidence.loads.get(name);
    input.now >= settled
        && load.is_some_and(|(load, at)| {
            load.generation == group.generation && load.running == 0 && *at >= settled
        })
}

fn dissolve(input: &Input, name: &id::Group, cause: Cause, passed: Vec<Alternative>) -> Document {
    let mut document = input.document.clone();
    document.generation = document.generation.next();
    document.record_event(build_event(input, name, Action::Dissolve, cause, passed));
    if let Some(group) = document.groups.remove(name) {
        quarantine_unfenced(input, &mut document, group.members.into_iter().map(|place| place.runner));
    }
    document
}

fn is_lost(known: &Runner, place: &Placement) -> bool {
    known.is_missing() || known.has_restarted(place)
}

/// Repairs the first group that lost a member.
fn repair(input: &Input) -> Option<Document> {
    let groups = input.document.groups.iter().filter(|(_, group)| group.phase == Phase::Serve);
    groups.filter_map(|(name, group)| repair_group(input, name, group)).next()
}

fn repair_group(input: &Input, name: &id::Group, group: &Group) -> Option<Document> {
    let lost =
        group.members.iter().position(|place| is_lost(&input.evidence.get_runner(&place.runner), place))?;
    let place = &group.members[lost];
    let known = input.evidence.get_runner(&place.runner);
    if !known.is_missing() {
        return Some(reload(input, name, group));
    }
    let cause = Cause::Missing { runner: place.runner.clone(), witnesses: known.list_witnesses() };
    let spares = list_spares(input, &group.model);
    match spares.first() {
        Some(spare) => Some(replace(input, name, lost, spare, cause, &spares[1..])),
        None => dissolve_to_repair_another(input, name, cause),
    }
}

/// Replaces a missing member by a spare. Every member gets the new generation, because
/// a replica does not survive the loss of one member.
fn replace(
    input: &Input,
    name: &id::Group,
    lost: usize,
    spare: &Placement,
    cause: Cause,
    others: &[Placement],
) -> Document {
    let mut document = input.document.clone();
    document.generation = document.generation.next();
    let generation = document.generation;
    let mut passed: Vec<Alternative> = others
        .iter()
        .take(2)
        .map(|other| Alternative {
            option: format!("replace by {}", other.runner),
            reason: format!("{} is as warm or warmer and comes first", spare.runner),
        })
        .collect();
    passed.push(Alternative {
        option: "wait for the member to come back".to_owned(),
        reason: "a spare is there, and a restart takes longer than a load".to_owned(),
    });
    let mut out = None;
    if let Some(group) = document.groups.get_mut(name) {
        group.generation = generation;
        update_incarnations(input, &mut group.members);
        out = Some(std::mem::replace(&mut group.members[lost], spare.clone()).runner);
    }
    if let Some(out) = out {
        let action = Action::Replace { out: out.clone(), into: spare.runner.clone() };
        document.record_event(build_event(input, name, action, cause, passed));
        quarantine_unfenced(input, &mut document, [out]);
    }
    document
}

/// Sets every place to the newest known incarnation of its runner.
fn update_incarnations(input: &Input, members: &mut [Placement]) {
    for place in members {
        if let Some(seen) = input.evidence.get_runner(&place.runner).seen {
            place.incarnation = place.incarnation.max(seen.incarnation);
        }
    }
}

/// Lets the same members load the model again under a new generation.
fn reload(input: &Input, name: &id::Group, group: &Group) -> Document {
    let mut document = input.document.clone();
    document.generation = document.generation.next();
    let generation = document.generation;
    let restarted =
        group.members.iter().find(|place| input.evidence.get_runner(&place.runner).has_restarted(place));
    if let Some(group) = document.groups.get_mut(name) {
        group.generation = generation;
        update_incarnations(input, &mut group.members);
    }
    if let Some(restarted) = restarted {
        let passed = vec![Alternative {
            option: "replace the member".to_owned(),
            reason: "it answers again, and the others are warm".to_owned(),
        }];
        let cause = Cause::Restarted(restarted.runner.clone());
        document.record_event(build_event(input, name, Action::Reload, cause, passed));
    }
    document
}

/// Dissolves a broken group for which there is no spare, but only if its members can
/// complete another broken group. Otherwise the members stay and wait.
fn dissolve_to_repair_another(input: &Input, name: &id::Group, cause: Cause) -> Option<Document> {
    let count_missing = |group: &Group| {
        group.members.iter().filter(|place| input.evidence.get_runner(&place.runner).is_missing()).count()
    };
    let missing = count_missing(input.document.groups.get(name)?);
    let others = input.document.groups.iter().filter(|(other, _)| *other != name);
    let repaired = others.filter(|(_, group)| group.phase == Phase::Serve).find(|(other, group)| {
        let other_missing = count_missing(group);
        // The group that lost fewer members stays; between equals, the first by name.
        other_missing > 0 && (other_missing, *other) < (missing, name) && group.members.len() > other_missing
    });
    let (repaired, _) = repaired?;
    let passed = vec![Alternative {
        option: "wait for the member to come back".to_owned(),
        reason: format!("there is no spare, and the others make {repaired} whole"),
    }];
    Some(dissolve(input, name, cause, passed))
}

/// Forms the first configured group that does not exist and for which there are enough runners.
fn form(input: &Input) -> Option<Document> {
    input.config.list_kind(Kind::Group).find_map(|(name, _)| {
        let name: id::Group = name.parse().ok()?;
        let (model, size) = find_configured_group(input, &name)?;
        if input.document.groups.contains_key(&name) {
            return None;
        }
        let spares = list_spares(input, model);
        if spares.len() < size {
            return None;
        }
        let members = spares[..size].to_vec();
        let mut document = input.document.clone();
        document.generation = document.generation.next();
        let names = members.iter().map(|place| place.runner.clone()).collect();
        let cause = Cause::Configured(input.config.revision);
        document.record_event(build_event(input, &name, Action::Form(names), cause, Vec::new()));
        let generation = document.generation;
        let group = Group { generation, model: model.clone(), members, phase: Phase::Serve };
        document.groups.insert(name, group);
        Some(document)
    })
}

/// Lists the configured groups that are not complete, with the reasons.
fn explain_holds(input: &Input) -> Vec<Hold> {
    let names = input.config.list_kind(Kind::Group).filter_map(|(name, _)| name.parse::<id::Group>().ok());
    names.filter_map(|name| explain_hold(input, &name)).collect()
}

fn explain_hold(input: &Input, name: &id::Group) -> Option<Hold> {
    let (model, size) = find_configured_group(input, name)?;
    let spares = list_spares(input, model).len();
    let hold = |option: &str, reason: String| {
        let passed = vec![Alternative { option: option.to_owned(), reason }];
        Some(Hold { group: name.clone(), passed })
    };
    if is_partitioned(input) {
        let (live, known) = input.nodes;
        return hold(
            "any change",
            format!("only {live} of {known} nodes of the hall are in reach: we may be cut off"),
        );
    }
    let Some(group) = input.document.groups.get(name) else {
        return hold("form", format!("needs {size} runners, {spares} are free and answer"));
    };
    let lost: Vec<&id::Runner> = group
        .members
        .iter()
        .filter(|place| is_lost(&input.evidence.get_runner(&place.runner), place))
        .map(|place| &place.runner)
        .collect();
    if !lost.is_empty() {
        let names = crate::domain::join_names(&lost);
        return hold("replace", format!("{names} missing and no spare in the domain"));
    }
    if group.phase == Phase::Drain {
        return hold("take apart", "requests may still be in flight".to_owned());
    }
    None
}
