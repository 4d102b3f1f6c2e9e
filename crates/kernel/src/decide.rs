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
use crate::domain::{Action, Alternative, Cause, Document, Event, Group, Phase, Placement, Quarantine};
use crate::engine::{Order, Role};
use crate::evidence::{Evidence, Runner};
use crate::id;

/// How long after the drain of a group its requests in flight are trusted to
/// be all there are: every entry refuses to work on a view older than
/// [`crate::view::STALE`], which is shorter.
pub const DRAIN_WAIT: Millis = Millis(4000);

/// Everything a decision rests on.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
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
    pub me: &'a id::Node,
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
    pub passed: Vec<Alternative>,
}

/// A runner as the configuration gives it.
struct Given<'a> {
    address: SocketAddr,
    fence: Fence,
    drained: bool,
    known: Option<&'a Runner>,
}

/// Decides the next change of the domain.
pub fn step(view: &View) -> Decision {
    let ways: [fn(&View) -> Option<Document>; 6] =
        [unquarantine, retire, finish_drain, repair, drain_leaving, form];
    if is_blind(view) {
        return Decision::Hold(explain_holds(view));
    }
    match ways.iter().find_map(|way| way(view)) {
        Some(mut document) => {
            document.proposal = view.proposal;
            Decision::Change(Box::new(document))
        }
        None => Decision::Hold(explain_holds(view)),
    }
}

/// More than half of the hall's nodes are gone: rather we are cut off than they.
fn is_blind(view: &View) -> bool {
    let (live, known) = view.nodes;
    live * 2 < known
}

fn given<'a>(view: &View<'a>, runner: &id::Runner) -> Option<Given<'a>> {
    match view.config.get(&config::Key::new(Kind::Runner, runner))? {
        Entry::Runner { domain, address, fence, drained } if domain == view.domain => Some(Given {
            address: *address,
            fence: *fence,
            drained: *drained,
            known: view.evidence.runners.get(runner),
        }),
        _ => None,
    }
}

/// Runners that may take a place now, warm ones for `model` first.
fn list_spares(view: &View, model: &id::Model) -> Vec<Placement> {
    let mut spares: Vec<(bool, Placement)> = Vec::new();
    for (name, _) in view.config.list_kind(Kind::Runner) {
        let Ok(runner) = name.parse::<id::Runner>() else { continue };
        if view.document.find_group(&runner).is_some() || view.document.quarantine.contains_key(&runner) {
            continue;
        }
        let Some(place) = usable(view, &runner) else { continue };
        let warm = view.evidence.of(&runner).seen.is_some_and(|seen| seen.warm.as_ref() == Some(model));
        spares.push((!warm, place));
    }
    spares.sort();
    spares.into_iter().map(|(_, place)| place).collect()
}

/// The place that the runner could take in its present life.
fn usable(view: &View, runner: &id::Runner) -> Option<Placement> {
    let given = given(view, runner)?;
    let known = given.known?;
    if given.drained || known.is_leaving() || !known.answers(view.now) {
        return None;
    }
    let incarnation = known.seen.as_ref()?.incarnation;
    Some(Placement { runner: runner.clone(), incarnation })
}

fn is_leaving(view: &View, runner: &id::Runner) -> bool {
    match given(view, runner) {
        Some(given) => given.drained || given.known.is_some_and(Runner::is_leaving),
        None => true,
    }
}

fn wanted<'a>(view: &View<'a>, group: &id::Group) -> Option<(&'a id::Model, usize)> {
    match view.config.get(&config::Key::new(Kind::Group, group))? {
        Entry::Group { domain, model, size, .. } if domain == view.domain => {
            Some((model, usize::from(*size)))
        }
        _ => None,
    }
}

fn event(view: &View, group: &id::Group, action: Action, cause: Cause, passed: Vec<Alternative>) -> Event {
    Event {
        at: view.now,
        by: view.me.clone(),
        group: group.clone(),
        generation: view.document.generation.next(),
        action,
        cause,
        passed,
    }
}

/// Puts runners that check no fence aside until their old role is seen ended.
fn quarantine(view: &View, document: &mut Document, runners: impl IntoIterator<Item = id::Runner>) {
    for runner in runners {
        if given(view, &runner).is_some_and(|given| given.fence == Fence::Unchecked) {
            let generation = document.generation;
            document.quarantine.insert(runner, Quarantine { generation });
        }
    }
}

/// Lets a runner out of quarantine once it answers and holds no role.
fn unquarantine(view: &View) -> Option<Document> {
    let free = view.document.quarantine.keys().find(|runner| {
        let known = view.evidence.of(runner);
        let gone = given(view, runner).is_none();
        gone || (known.answers(view.now) && known.seen.is_some_and(|seen| seen.role.is_none()))
    })?;
    let mut document = view.document.clone();
    document.quarantine.remove(free);
    Some(document)
}

/// Drains a group that is no longer configured as it is.
fn retire(view: &View) -> Option<Document> {
    let (name, _) = view.document.groups.iter().find(|(name, group)| {
        let kept = wanted(view, name)
            .is_some_and(|(model, size)| *model == group.model && size == group.members.len());
        group.phase == Phase::Serve && !kept
    })?;
    let cause = Cause::Configured(view.config.revision);
    Some(drain(view, name, cause))
}

/// Drains a group with a member that is leaving.
fn drain_leaving(view: &View) -> Option<Document> {
    let serving = view.document.groups.iter().filter(|(_, group)| group.phase == Phase::Serve);
    let (name, leaving) = serving
        .filter_map(|(name, group)| {
            let leaving = group.members.iter().find(|place| is_leaving(view, &place.runner))?;
            Some((name, leaving.runner.clone()))
        })
        .next()?;
    Some(drain(view, name, Cause::Leaving(leaving)))
}

fn drain(view: &View, name: &id::Group, cause: Cause) -> Document {
    let mut document = view.document.clone();
    if let Some(group) = document.groups.get_mut(name) {
        group.phase = Phase::Drain;
    }
    document.record_event(event(view, name, Action::Drain, cause, Vec::new()));
    document
}

/// Takes a drained group apart once nothing is in flight.
fn finish_drain(view: &View) -> Option<Document> {
    let (name, _) = view
        .document
        .groups
        .iter()
        .find(|(name, group)| group.phase == Phase::Drain && is_empty(view, name, group))?;
    Some(dissolve(view, name, Cause::Drained, Vec::new()))
}

/// Nothing is in flight in a draining group, or nothing can be any more.
fn is_empty(view: &View, name: &id::Group, group: &Group) -> bool {
    let lost = group.members.iter().any(|place| is_lost(&view.evidence.of(&place.runner), place));
    let drains = view.document.events.iter().rev();
    let Some(drained) = drains.into_iter().find(|e| e.group == *name && e.action == Action::Drain) else {
        return lost;
    };
    if lost {
        return true;
    }
    let settled = drained.at + DRAIN_WAIT;
    let load = view.evidence.loads.get(name);
    view.now >= settled
        && load.is_some_and(|(load, at)| {
            load.generation == group.generation && load.running == 0 && *at >= settled
        })
}

fn dissolve(view: &View, name: &id::Group, cause: Cause, passed: Vec<Alternative>) -> Document {
    let mut document = view.document.clone();
    document.generation = document.generation.next();
    document.record_event(event(view, name, Action::Dissolve, cause, passed));
    if let Some(group) = document.groups.remove(name) {
        quarantine(view, &mut document, group.members.into_iter().map(|place| place.runner));
    }
    document
}

fn is_lost(known: &Runner, place: &Placement) -> bool {
    known.is_missing() || known.is_reborn(place)
}

/// Mends the first group that lost a member.
fn repair(view: &View) -> Option<Document> {
    let groups = view.document.groups.iter().filter(|(_, group)| group.phase == Phase::Serve);
    groups.filter_map(|(name, group)| repair_group(view, name, group)).next()
}

fn repair_group(view: &View, name: &id::Group, group: &Group) -> Option<Document> {
    let lost = group.members.iter().position(|place| is_lost(&view.evidence.of(&place.runner), place))?;
    let place = &group.members[lost];
    let known = view.evidence.of(&place.runner);
    if !known.is_missing() {
        return Some(reload(view, name, group));
    }
    let cause = Cause::Missing { runner: place.runner.clone(), witnesses: known.witnesses() };
    let spares = list_spares(view, &group.model);
    match spares.first() {
        Some(spare) => Some(replace(view, name, lost, spare, cause, &spares[1..])),
        None => give_up(view, name, cause),
    }
}

/// Puts a spare into the place of a missing member. Every member takes the new
/// generation, for a replica does not outlive the loss of one.
fn replace(
    view: &View,
    name: &id::Group,
    lost: usize,
    spare: &Placement,
    cause: Cause,
    others: &[Placement],
) -> Document {
    let mut document = view.document.clone();
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
        refresh(view, &mut group.members);
        out = Some(std::mem::replace(&mut group.members[lost], spare.clone()).runner);
    }
    if let Some(out) = out {
        let action = Action::Replace { out: out.clone(), into: spare.runner.clone() };
        document.record_event(event(view, name, action, cause, passed));
        quarantine(view, &mut document, [out]);
    }
    document
}

/// Gives every place to the present life of its runner.
fn refresh(view: &View, members: &mut [Placement]) {
    for place in members {
        if let Some(seen) = view.evidence.of(&place.runner).seen {
            place.incarnation = place.incarnation.max(seen.incarnation);
        }
    }
}

/// Lets the same members load again under a new generation.
fn reload(view: &View, name: &id::Group, group: &Group) -> Document {
    let mut document = view.document.clone();
    document.generation = document.generation.next();
    let generation = document.generation;
    let reborn = group.members.iter().find(|place| view.evidence.of(&place.runner).is_reborn(place));
    if let Some(group) = document.groups.get_mut(name) {
        group.generation = generation;
        refresh(view, &mut group.members);
    }
    if let Some(reborn) = reborn {
        let passed = vec![Alternative {
            option: "replace the member".to_owned(),
            reason: "it answers again, and the others are warm".to_owned(),
        }];
        let cause = Cause::Restarted(reborn.runner.clone());
        document.record_event(event(view, name, Action::Reload, cause, passed));
    }
    document
}

/// Without a spare, a broken group is taken apart only if that makes another
/// broken one whole; else its members stay and wait.
fn give_up(view: &View, name: &id::Group, cause: Cause) -> Option<Document> {
    let broken = |group: &Group| {
        group.members.iter().filter(|place| view.evidence.of(&place.runner).is_missing()).count()
    };
    let mine = broken(view.document.groups.get(name)?);
    let others = view.document.groups.iter().filter(|(other, _)| *other != name);
    let rescued = others.filter(|(_, group)| group.phase == Phase::Serve).find(|(other, group)| {
        let theirs = broken(group);
        // The group that lost less stays; of two equals the one first by name.
        theirs > 0 && (theirs, *other) < (mine, name) && group.members.len() > theirs
    });
    let (rescued, _) = rescued?;
    let passed = vec![Alternative {
        option: "wait for the member to come back".to_owned(),
        reason: format!("there is no spare, and the others make {rescued} whole"),
    }];
    Some(dissolve(view, name, cause, passed))
}

/// Forms the first configured group that is not there, if there are runners for it.
fn form(view: &View) -> Option<Document> {
    view.config.list_kind(Kind::Group).find_map(|(name, _)| {
        let name: id::Group = name.parse().ok()?;
        let (model, size) = wanted(view, &name)?;
        if view.document.groups.contains_key(&name) {
            return None;
        }
        let spares = list_spares(view, model);
        if spares.len() < size {
            return None;
        }
        let members = spares[..size].to_vec();
        let mut document = view.document.clone();
        document.generation = document.generation.next();
        let names = members.iter().map(|place| place.runner.clone()).collect();
        let cause = Cause::Configured(view.config.revision);
        document.record_event(event(view, &name, Action::Form(names), cause, Vec::new()));
        let generation = document.generation;
        let group = Group { generation, model: model.clone(), members, phase: Phase::Serve };
        document.groups.insert(name, group);
        Some(document)
    })
}

/// The groups that are not whole, with the ways and why they are not taken.
fn explain_holds(view: &View) -> Vec<Hold> {
    let names = view.config.list_kind(Kind::Group).filter_map(|(name, _)| name.parse::<id::Group>().ok());
    names.filter_map(|name| explain_hold(view, &name)).collect()
}

fn explain_hold(view: &View, name: &id::Group) -> Option<Hold> {
    let (model, size) = wanted(view, name)?;
    let spares = list_spares(view, model).len();
    let hold = |option: &str, reason: String| {
        let passed = vec![Alternative { option: option.to_owned(), reason }];
        Some(Hold { group: name.clone(), passed })
    };
    if is_blind(view) {
        let (live, known) = view.nodes;
        return hold(
            "any change",
            format!("only {live} of {known} nodes of the hall are in reach: we may be cut off"),
        );
    }
    let Some(group) = view.document.groups.get(name) else {
        return hold("form", format!("needs {size} runners, {spares} are free and answer"));
    };
    let lost: Vec<&id::Runner> = group
        .members
        .iter()
        .filter(|place| is_lost(&view.evidence.of(&place.runner), place))
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

/// What the runners have to be told so that they match the document.
///
/// Only runners that answer and that the configuration gives are told anything.
pub fn list_orders(view: &View) -> Vec<(id::Runner, SocketAddr, Order)> {
    let mut orders = Vec::new();
    for (name, group) in &view.document.groups {
        let members: Option<Vec<SocketAddr>> =
            group.members.iter().map(|place| Some(given(view, &place.runner)?.address)).collect();
        let Some(members) = members else { continue };
        for (rank, place) in group.members.iter().enumerate() {
            let role = Role { group: name.clone(), generation: group.generation, rank: rank as u16 };
            if needs_order(view, place, &role) {
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
    orders.extend(list_releases(view));
    orders
}

fn needs_order(view: &View, place: &Placement, role: &Role) -> bool {
    let known = view.evidence.of(&place.runner);
    let Some(seen) = known.seen else { return false };
    known.missed.is_empty() && seen.incarnation == place.incarnation && seen.role.as_ref() != Some(role)
}

/// Runners that hold a role they no longer have.
fn list_releases(view: &View) -> Vec<(id::Runner, SocketAddr, Order)> {
    let free = view.evidence.runners.iter().filter(|(runner, _)| view.document.find_group(runner).is_none());
    free.filter_map(|(runner, known)| {
        let seen = known.seen.as_ref().filter(|_| known.missed.is_empty())?;
        let role = seen.role.as_ref()?;
        // A role of a later generation means that our document is old.
        if role.generation > view.document.generation {
            return None;
        }
        let address = given(view, runner)?.address;
        Some((runner.clone(), address, Order::Release { generation: view.document.generation }))
    })
    .collect()
}
