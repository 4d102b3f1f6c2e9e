//! The live nodes, and the assignment of duties to them.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::hash::pick_owners;
use crate::id;
use crate::row::{Body, Key, Node};
use crate::table::Table;

/// How long doubts must be in force before a node counts as gone. This gives the node
/// time to refute them.
pub const DOUBT_CONFIRM_TIME: Millis = Millis(1500);

/// The number of nodes that watch a runner.
pub const WATCHERS: usize = 2;

/// A node as the table knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub id: id::Node,
    /// Its own row.
    pub node: Node,
    /// The version of its row.
    pub version: u64,
    /// Whether it counts as live.
    pub live: bool,
    /// Since when it does not answer, if it counts as gone.
    pub unreachable_since: Option<Millis>,
}

/// Lists every node in the table, live or not.
pub fn list_members(table: &Table, now: Millis) -> Vec<Member> {
    let doubts = list_doubts(table, now);
    let nodes = table.iter().filter_map(|held| match (&held.row.key, &held.row.body) {
        (Key::Node(id), Body::Node(node)) => Some((id, node, held.row.version)),
        _ => None,
    });
    let mut members: Vec<Member> = nodes
        .map(|(id, node, version)| Member {
            id: id.clone(),
            node: node.clone(),
            version,
            live: !node.leaving,
            unreachable_since: None,
        })
        .collect();
    let mut halls: BTreeMap<id::Hall, usize> = BTreeMap::new();
    for member in &members {
        *halls.entry(member.node.hall.clone()).or_default() += 1;
    }
    for member in &mut members {
        // With two nodes in the hall, the other one is the only possible witness.
        let needed = if halls[&member.node.hall] <= 2 { 1 } else { 2 };
        let doubted = doubts.get(&(member.id.clone(), member.version));
        if let Some(doubted) = doubted.filter(|doubted| doubted.len() >= needed) {
            member.live = false;
            member.unreachable_since = doubted.iter().max().copied();
        }
    }
    members
}

/// Lists, per node and version, the start times of the doubts in force for [`DOUBT_CONFIRM_TIME`].
fn list_doubts(table: &Table, now: Millis) -> BTreeMap<(id::Node, u64), Vec<Millis>> {
    let mut doubts: BTreeMap<(id::Node, u64), Vec<Millis>> = BTreeMap::new();
    for held in table.iter() {
        let (Key::Doubt { of, .. }, Body::Doubt { version, held: true }) = (&held.row.key, &held.row.body)
        else {
            continue;
        };
        if now.since(held.since) >= DOUBT_CONFIRM_TIME {
            doubts.entry((of.clone(), *version)).or_default().push(held.since);
        }
    }
    doubts
}

/// Lists the names of the live nodes of a hall.
pub fn list_live<'a>(members: &'a [Member], hall: &id::Hall) -> Vec<&'a id::Node> {
    members.iter().filter(|m| m.live && m.node.hall == *hall).map(|m| &m.id).collect()
}

/// Picks the nodes that watch a runner: the two with the highest scores among the hall's
/// live nodes.
pub fn pick_watchers<'a>(runner: &id::Runner, live: &[&'a id::Node]) -> Vec<&'a id::Node> {
    pick_owners(runner.as_str(), live.iter().copied(), WATCHERS)
}

/// Picks the node that decides for a domain.
pub fn pick_decider<'a>(domain: &id::Domain, live: &[&'a id::Node]) -> Option<&'a id::Node> {
    pick_owners(domain.as_str(), live.iter().copied(), 1).pop()
}

/// Picks the nodes of a hall that watch the configuration in the store.
pub fn pick_config_watchers<'a>(live: &[&'a id::Node]) -> Vec<&'a id::Node> {
    pick_owners("config", live.iter().copied(), 2)
}

/// Picks the nodes of a hall that read the platform's list.
pub fn pick_list_readers<'a>(live: &[&'a id::Node]) -> Vec<&'a id::Node> {
    pick_owners("list", live.iter().copied(), 2)
}
