//! What to do next in one fabric domain: pure decisions.
//!
//! [`step`] looks at the configuration, the domain's document and the evidence
//! and returns the next document, one change at a time, or why it holds.
//! [`list_orders`] says what the runners have to be told so that they match the
//! document. Two nodes may both decide: the store's compare-and-swap lets one
//! document win, and the generations in it fence what the other one ordered.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::config::{self, Entry, Fence, Kind};
use crate::domain::{Action, Cause, Document, Event, Group, Passed, Phase, Place, Quarantine};
use crate::engine::{Order, Role};
use crate::evidence::{Evidence, Runner};
use crate::id;

/// How long after the drain of a group its requests in flight are trusted to
/// be all there are: every entry refuses to work on a input older than
/// [`crate::view::VIEW_TTL`], which is shorter.
pub const DRAIN_WAIT: Millis = Millis(4000);

/// Everything a decision rests on.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// The configuration in force.
    pub config: &'a config::Document,
    /// The domain.
    pub domain: &'a id::Domain,
    /// Its document as last read.
    pub document: &'a Document,
    /// What is known of its runners.
    pub evidence: &'a Evidence,
    /// Live nodes of the hall, and nodes it ought to have.
    pub nodes: (usize, usize),
    /// The node that decides.
    pub decider: &'a id::Node,
    /// The present time.
    pub now: Millis,
    /// The mark of the write that may follow.
    pub proposal: id::Proposal,
}

/// The outcome of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Write this document.
    Change(Box<Document>),
    /// Leave it; the groups that are not as configured, and why.
    Hold(Vec<Hold>),
}

/// Why a group stays as it is although it is not as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The group.
    pub group: id::Group,
    /// The ways there would be and why none is taken.
    pub passed: Vec<Passed>,
}

/// A runner as the configuration gives it.
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

/// More than half of the hall's nodes are gone: rather we are cut off than they.
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

/// Runners that may take a place now, warm ones for `model` first.
fn list_spares(input: &Input, model: &id::Model) -> Vec<Place> {
    let mut spares: Vec<(bool, Place)> = Vec::new();
    for (name, _) in input.config.of(Kind::Runner) {
        let Ok(runner) = name.parse::<id::Runner>() else { continue };
        if input.document.group_of(&runner).is_some() || input.document.quarantine.contains_key(&runner) {
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

/// The place that the runner could take in its present life.
fn find_usable_place(input: &Input, runner: &id::Runner) -> Option<Place> {
    let configured = find_configured_runner(input, runner)?;
    let known = configured.known?;
    if configured.drained || known.is_leaving() || !known.is_reachable(input.now) {
        return None;
    }
    let incarnation = known.seen.as_ref()?.incarnation;
    Some(Place { runner: runner.clone(), incarnation })
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

fn build_event(input: &Input, group: &id::Group, action: Action, cause: Cause, passed: Vec<Passed>) -> Event {
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

/// Puts runners that check no fence aside until their old role is seen ended.
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

/// Lets a runner out of quarantine once it answers and holds no role.
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

/// Drains a group that is no longer configured as it is.
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
    document.record(build_event(input, name, Action::Drain, cause, Vec::new()));
    document
}

/// Takes a drained group apart once nothing is in flight.
fn finish_drain(input: &Input) -> Option<Document> {
    let (name, _) = input
        .document
        .groups
        .iter()
        .find(|(name, group)| group.phase == Phase::Drain && is_drained(input, name, group))?;
    Some(dissolve(input, name, Cause::Drained, Vec::new()))
}

/// Nothing is in flight in a draining group, or nothing can be any more.
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

fn dissolve(input: &Input, name: &id::Group, cause: Cause, passed: Vec<Passed>) -> Document {
    let mut document = input.document.clone();
    document.generation = document.generation.next();
    document.record(build_event(input, name, Action::Dissolve, cause, passed));
    if let Some(group) = document.groups.remove(name) {
        quarantine_unfenced(input, &mut document, group.members.into_iter().map(|place| place.runner));
    }
    document
}

fn is_lost(known: &Runner, place: &Place) -> bool {
    known.is_missing() || known.has_restarted(place)
}

/// Mends the first group that lost a member.
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

/// Puts a spare into the place of a missing member. Every member takes the new
/// generation, for a replica does not outlive the loss of one.
fn replace(
    input: &Input,
    name: &id::Group,
    lost: usize,
    spare: &Place,
    cause: Cause,
    others: &[Place],
) -> Document {
    let mut document = input.document.clone();
    document.generation = document.generation.next();
    let generation = document.generation;
    let mut passed: Vec<Passed> = others
        .iter()
        .take(2)
        .map(|other| Passed {
            option: format!("replace by {}", other.runner),
            reason: format!("{} is as warm or warmer and comes first", spare.runner),
        })
        .collect();
    passed.push(Passed {
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
        document.record(build_event(input, name, action, cause, passed));
        quarantine_unfenced(input, &mut document, [out]);
    }
    document
}

/// Gives every place to the present life of its runner.
fn update_incarnations(input: &Input, members: &mut [Place]) {
    for place in members {
        if let Some(seen) = input.evidence.get_runner(&place.runner).seen {
            place.incarnation = place.incarnation.max(seen.incarnation);
        }
    }
}

/// Lets the same members load again under a new generation.
fn reload(input: &Input, name: &id::Group, group: &Group) -> Document {
    let mut document = input.document.clone();
    document.generation = document.generation.next();
    let generation = document.generation;
    let reborn =
        group.members.iter().find(|place| input.evidence.get_runner(&place.runner).has_restarted(place));
    if let Some(group) = document.groups.get_mut(name) {
        group.generation = generation;
        update_incarnations(input, &mut group.members);
    }
    if let Some(reborn) = reborn {
        let passed = vec![Passed {
            option: "replace the member".to_owned(),
            reason: "it answers again, and the others are warm".to_owned(),
        }];
        let cause = Cause::Restarted(reborn.runner.clone());
        document.record(build_event(input, name, Action::Reload, cause, passed));
    }
    document
}

/// Without a spare, a broken group is taken apart only if that makes another
/// broken one whole; else its members stay and wait.
fn dissolve_to_repair_another(input: &Input, name: &id::Group, cause: Cause) -> Option<Document> {
    let count_missing = |group: &Group| {
        group.members.iter().filter(|place| input.evidence.get_runner(&place.runner).is_missing()).count()
    };
    let missing = count_missing(input.document.groups.get(name)?);
    let others = input.document.groups.iter().filter(|(other, _)| *other != name);
    let repaired = others.filter(|(_, group)| group.phase == Phase::Serve).find(|(other, group)| {
        let other_missing = count_missing(group);
        // The group that lost less stays; of two equals the one first by name.
        other_missing > 0 && (other_missing, *other) < (missing, name) && group.members.len() > other_missing
    });
    let (repaired, _) = repaired?;
    let passed = vec![Passed {
        option: "wait for the member to come back".to_owned(),
        reason: format!("there is no spare, and the others make {repaired} whole"),
    }];
    Some(dissolve(input, name, cause, passed))
}

/// Forms the first configured group that is not there, if there are runners for it.
fn form(input: &Input) -> Option<Document> {
    input.config.of(Kind::Group).find_map(|(name, _)| {
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
        document.record(build_event(input, &name, Action::Form(names), cause, Vec::new()));
        let generation = document.generation;
        let group = Group { generation, model: model.clone(), members, phase: Phase::Serve };
        document.groups.insert(name, group);
        Some(document)
    })
}

/// The groups that are not whole, with the ways and why they are not taken.
fn explain_holds(input: &Input) -> Vec<Hold> {
    let names = input.config.of(Kind::Group).filter_map(|(name, _)| name.parse::<id::Group>().ok());
    names.filter_map(|name| explain_hold(input, &name)).collect()
}

fn explain_hold(input: &Input, name: &id::Group) -> Option<Hold> {
    let (model, size) = find_configured_group(input, name)?;
    let spares = list_spares(input, model).len();
    let hold = |option: &str, reason: String| {
        let passed = vec![Passed { option: option.to_owned(), reason }];
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
        let names = crate::domain::join(&lost);
        return hold("replace", format!("{names} missing and no spare in the domain"));
    }
    if group.phase == Phase::Drain {
        return hold("take apart", "requests may still be in flight".to_owned());
    }
    None
}

/// What the runners have to be told so that they match the document.
///
/// Only runners that answer and that the configuration gives are told anything.
pub fn list_orders(input: &Input) -> Vec<(id::Runner, SocketAddr, Order)> {
    let mut orders = Vec::new();
    for (name, group) in &input.document.groups {
        let members: Option<Vec<SocketAddr>> = group
            .members
            .iter()
            .map(|place| Some(find_configured_runner(input, &place.runner)?.address))
            .collect();
        let Some(members) = members else { continue };
        for (rank, place) in group.members.iter().enumerate() {
            let role = Role { group: name.clone(), generation: group.generation, rank: rank as u16 };
            if needs_order(input, place, &role) {
                let order = Order::Take {
                    role,
                    incarnation: place.incarnation,
                    model: group.model.clone(),
                    members: members.clone(),
                };
                orders.push((place.runner.clone(), members[rank], order));
            }
        }
    }
    orders.extend(list_releases(input));
    orders
}

fn needs_order(input: &Input, place: &Place, role: &Role) -> bool {
    let known = input.evidence.get_runner(&place.runner);
    let Some(seen) = known.seen else { return false };
    known.missed.is_empty() && seen.incarnation == place.incarnation && seen.role.as_ref() != Some(role)
}

/// Runners that hold a role they no longer have.
fn list_releases(input: &Input) -> Vec<(id::Runner, SocketAddr, Order)> {
    let free = input.evidence.runners.iter().filter(|(runner, _)| input.document.group_of(runner).is_none());
    free.filter_map(|(runner, known)| {
        let seen = known.seen.as_ref().filter(|_| known.missed.is_empty())?;
        let role = seen.role.as_ref()?;
        // A role of a later generation means that our document is old.
        if role.generation > input.document.generation {
            return None;
        }
        let address = find_configured_runner(input, runner)?.address;
        Some((runner.clone(), address, Order::Release { generation: input.document.generation }))
    })
    .collect()
}
