//! Evidence about the runners of one domain, gathered from the table.
//!
//! One watcher that cannot reach a member stops the group from taking requests;
//! replacing the member requires two independent witnesses.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::domain::{self, Placement};
use crate::engine::Stage;
use crate::id;
use crate::member::{Member, list_live, pick_watchers};
use crate::row::{Body, Key, Listing, Load, Observation};
use crate::table::Table;

/// How long a single watcher that cannot reach a member may keep the group from serving
/// while another watcher reaches it. After that the fault is taken to be the watcher's.
pub const SINGLE_DOUBT_TTL: Millis = Millis(3000);

/// The evidence about one runner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Runner {
    /// The newest observation of a watcher that reaches it.
    pub seen: Option<Observation>,
    /// The watchers that reach it.
    pub reached: Vec<id::Node>,
    /// The watchers that do not reach it.
    pub missed: Vec<id::Node>,
    /// When the newest of the failures to reach it was received.
    pub missed_since: Millis,
    /// The number of live watchers that have not reported yet.
    pub unreported: usize,
    /// The runner's entry in the platform's list.
    pub listed: Option<Listing>,
}

impl Runner {
    /// Whether two independent witnesses agree that the runner does not answer.
    ///
    /// The list counts as one witness, and at least one watcher is required. With one
    /// node in the hall, that node and the list have to agree.
    pub fn is_missing(&self) -> bool {
        let listed_gone = self.listed.is_some_and(|listed| !listed.live);
        let witnesses = self.missed.len() + usize::from(listed_gone);
        self.reached.is_empty() && !self.missed.is_empty() && witnesses >= 2
    }

    /// Lists the names of the witnesses that report it as gone.
    pub fn list_witnesses(&self) -> Vec<String> {
        let mut names: Vec<String> = self.missed.iter().map(id::Node::to_string).collect();
        if self.listed.is_some_and(|listed| !listed.live) {
            names.push("list".to_owned());
        }
        names
    }

    /// Whether some watcher reaches it and no other one has failed to within [`SINGLE_DOUBT_TTL`].
    pub fn is_reachable(&self, now: Millis) -> bool {
        let doubt = !self.missed.is_empty() && now.since(self.missed_since) < SINGLE_DOUBT_TTL;
        !self.reached.is_empty() && !doubt
    }

    /// Whether the list shows it as leaving.
    pub fn is_leaving(&self) -> bool {
        self.listed.is_some_and(|listed| listed.leaving)
    }

    /// Whether it has restarted: a later incarnation than that of `place` answers.
    pub fn has_restarted(&self, place: &Placement) -> bool {
        self.seen.as_ref().is_some_and(|seen| seen.incarnation > place.incarnation)
    }

    /// Whether it is ready in exactly this role, in the incarnation that `place` names.
    pub fn is_ready(
        &self,
        group: &id::Group,
        generation: id::Generation,
        rank: usize,
        place: &Placement,
        now: Millis,
    ) -> bool {
        let Some(Observation { role: Some(role), stage: Stage::Ready, incarnation, .. }) = &self.seen else {
            return false;
        };
        self.is_reachable(now)
            && *incarnation == place.incarnation
            && role.group == *group
            && role.generation == generation
            && usize::from(role.rank) == rank
    }
}

/// The evidence about the runners and groups of a domain.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The runners; one that nobody has reported is absent.
    pub runners: BTreeMap<id::Runner, Runner>,
    /// The load of the groups, with the time it was received.
    pub loads: BTreeMap<id::Group, (Load, Millis)>,
}

impl Evidence {
    /// Returns the evidence about `runner`; empty if there is none.
    pub fn get_runner(&self, runner: &id::Runner) -> Runner {
        self.runners.get(runner).cloned().unwrap_or_default()
    }

    /// Whether every member of the group is ready in its place, in the group's generation.
    pub fn is_group_ready(&self, name: &id::Group, group: &domain::Group, now: Millis) -> bool {
        let ready = |(rank, place): (usize, &Placement)| {
            let known = self.runners.get(&place.runner);
            known.is_some_and(|known| known.is_ready(name, group.generation, rank, place, now))
        };
        !group.members.is_empty() && group.members.iter().enumerate().all(ready)
    }
}

/// Gathers the evidence about one runner from the table.
pub fn gather_runner(table: &Table, live: &[&id::Node], runner: &id::Runner) -> Runner {
    let mut known = Runner::default();
    let mut newest = 0;
    for watcher in pick_watchers(runner, live) {
        let key = Key::Seen { runner: runner.clone(), by: watcher.clone() };
        let Some(held) = table.get(&key) else {
            known.unreported += 1;
            continue;
        };
        let Body::Seen(seen) = &held.row.body else { continue };
        if !seen.answers {
            known.missed.push(watcher.clone());
            known.missed_since = known.missed_since.max(held.since);
            continue;
        }
        known.reached.push(watcher.clone());
        // The observation of the later incarnation, or else the later order, is the newer one.
        let order = (seen.incarnation, seen.fence, held.row.version);
        if known.seen.as_ref().is_none_or(|old| (old.incarnation, old.fence, newest) < order) {
            newest = held.row.version;
            known.seen = Some(seen.clone());
        }
    }
    known.listed = match table.get(&Key::Listed(runner.clone())).map(|held| &held.row.body) {
        Some(Body::Listed(listed)) => Some(*listed),
        _ => None,
    };
    known
}

/// Gathers the evidence about the runners and groups of a domain in `hall` from the table.
pub fn gather_evidence<'a>(
    table: &Table,
    members: &[Member],
    hall: &id::Hall,
    runners: impl Iterator<Item = &'a id::Runner>,
    groups: impl Iterator<Item = &'a id::Group>,
) -> Evidence {
    let live = list_live(members, hall);
    let runners = runners.map(|runner| (runner.clone(), gather_runner(table, &live, runner))).collect();
    let load = |group: &id::Group| {
        let held = table.get(&Key::Load(group.clone()))?;
        match held.row.body {
            Body::Load(load) => Some((group.clone(), (load, held.since))),
            _ => None,
        }
    };
    Evidence { runners, loads: groups.filter_map(load).collect() }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::engine::Role;

    fn node(name: &str) -> id::Node {
        name.parse().unwrap()
    }

    fn place() -> Placement {
        Placement { runner: "r".parse().unwrap(), incarnation: id::Incarnation(1) }
    }

    fn ready(incarnation: u64) -> Observation {
        Observation {
            answers: true,
            incarnation: id::Incarnation(incarnation),
            fence: id::Generation(3),
            role: Some(Role { group: "g".parse().unwrap(), generation: id::Generation(3), rank: 0 }),
            stage: Stage::Ready,
            warm: None,
        }
    }

    fn is_ready(known: &Runner, now: u64) -> bool {
        known.is_ready(&"g".parse().unwrap(), id::Generation(3), 0, &place(), Millis(now))
    }

    #[test]
    fn one_watcher_closes_the_group_for_a_while_and_replaces_no_member() {
        let known = Runner {
            seen: Some(ready(1)),
            reached: vec![node("a")],
            missed: vec![node("b")],
            missed_since: Millis(1000),
            ..Runner::default()
        };
        assert!(!is_ready(&known, 1001));
        assert!(!known.is_missing());
        assert!(
            is_ready(&known, 1000 + SINGLE_DOUBT_TTL.0),
            "after that the fault is taken to be the watcher's"
        );
    }

    #[test]
    fn a_missing_runner_takes_two_witnesses_and_the_list_is_one() {
        let gone = Some(Listing { live: false, leaving: false });
        let one = Runner { missed: vec![node("a")], ..Runner::default() };
        let two = Runner { missed: vec![node("a"), node("b")], ..Runner::default() };
        let listed = Runner { listed: gone, ..one.clone() };
        let only_listed = Runner { listed: gone, ..Runner::default() };
        let reached = Runner { reached: vec![node("b")], ..listed.clone() };
        let missing = [&one, &two, &listed, &only_listed, &reached].map(Runner::is_missing);
        assert_eq!(missing, [false, true, true, false, false]);
    }

    #[test]
    fn a_later_incarnation_is_not_ready() {
        let restarted = Runner { seen: Some(ready(2)), reached: vec![node("a")], ..Runner::default() };
        assert!(!is_ready(&restarted, 0));
        assert!(restarted.has_restarted(&place()));
        let same = Runner { seen: Some(ready(1)), reached: vec![node("a")], ..Runner::default() };
        assert!(is_ready(&same, 0));
        assert!(!same.has_restarted(&place()));
    }
}
