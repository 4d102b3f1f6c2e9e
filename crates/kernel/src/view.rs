//! What a controller tells the entry on its box: where work can go.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::config::{self, Entry, Kind};
use crate::domain::{self, Phase};
use crate::evidence::gather_runner;
use crate::id;
use crate::member::{Member, list_live};
use crate::row::{Body, Key, Load};
use crate::table::Table;

/// An entry that has heard nothing of its controller for this long takes no
/// new work for model groups: a member may be missing and a runner leaving.
pub const VIEW_TTL: Millis = Millis(2500);

/// All that an entry needs to route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Rises with every change of the view, within one life of the controller.
    pub version: u64,
    /// The configuration in force on this box.
    pub revision: id::Revision,
    /// The groups.
    pub groups: Vec<Group>,
    /// The plain services.
    pub services: Vec<Service>,
    /// The client accounts.
    pub accounts: Vec<Account>,
    /// The live nodes of this hall, this one included.
    pub nodes: Vec<Node>,
    /// Live nodes of the whole fleet.
    pub fleet: usize,
}

/// A group as a target for requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// The group.
    pub id: id::Group,
    /// The generation that requests have to name.
    pub generation: id::Generation,
    /// The model it serves.
    pub model: id::Model,
    /// Rank 0.
    pub address: SocketAddr,
    /// Whether it lies in the hall of this box.
    pub near: bool,
    /// Whether it may take work.
    pub condition: Condition,
    /// The accounts it takes; empty for all.
    pub accounts: Vec<id::Account>,
    /// Its load as last reported.
    pub load: Load,
}

/// Whether a group may take work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Condition {
    /// Every member is ready: it takes new work.
    Open,
    /// Work in flight goes on, new work goes elsewhere.
    Draining,
    /// A member is missing or not ready: work in flight is lost.
    Broken,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service.
    pub id: id::Service,
    /// Its backend servers.
    pub addresses: Vec<SocketAddr>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The account.
    pub id: id::Account,
    /// The bearer token that names it.
    pub token: String,
    /// Its share, relative to the others.
    pub share: u32,
    /// The most requests in flight over the fleet.
    pub limit: u32,
}

/// A node of this hall.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// The node.
    pub id: id::Node,
    /// Where its entry listens for other entries.
    pub entry: SocketAddr,
    /// When its present life began.
    pub since: Millis,
}

/// Works out the view of a node in `hall`.
pub fn derive_view(
    config: &config::Document,
    table: &Table,
    members: &[Member],
    hall: &id::Hall,
    now: Millis,
) -> View {
    let mut view = View { revision: config.revision, ..View::default() };
    for (key, entry) in config.entries() {
        match entry {
            Entry::Group { accounts, .. } => {
                view.groups.extend(derive_group(config, table, members, hall, &key.name, accounts, now));
            }
            Entry::Service { addresses } => {
                let Ok(id) = key.name.parse() else { continue };
                view.services.push(Service { id, addresses: addresses.clone() });
            }
            Entry::Account { token, share, limit } => {
                let Ok(id) = key.name.parse() else { continue };
                view.accounts.push(Account { id, token: token.clone(), share: *share, limit: *limit });
            }
            Entry::Domain { .. } | Entry::Runner { .. } => {}
        }
    }
    let near = members.iter().filter(|member| member.live && member.node.hall == *hall);
    view.nodes = near
        .map(|member| Node {
            id: member.id.clone(),
            entry: member.node.entry,
            since: Millis(member.node.incarnation.0),
        })
        .collect();
    view.fleet = members.iter().filter(|member| member.live).count();
    view
}

fn derive_group(
    config: &config::Document,
    table: &Table,
    members: &[Member],
    hall: &id::Hall,
    name: &str,
    accounts: &[id::Account],
    now: Millis,
) -> Option<Group> {
    let id: id::Group = name.parse().ok()?;
    let Body::Group(Some(row)) = &table.get(&Key::Group(id.clone()))?.row.body else { return None };
    let group = &row.group;
    let home = config.hall_of(&row.domain)?;
    let live = list_live(members, home);
    let condition = match home == hall {
        true => assess_group(table, &live, &id, group, now),
        false => read_reported_condition(table, &live, &id, group.generation),
    };
    let first = group.members.first()?;
    let Entry::Runner { address, .. } = config.get(&config::Key::new(Kind::Runner, &first.runner))? else {
        return None;
    };
    let load = match table.get(&Key::Load(id.clone())).map(|held| &held.row.body) {
        Some(Body::Load(load)) if load.generation == group.generation => *load,
        _ => Load::default(),
    };
    Some(Group {
        generation: group.generation,
        model: group.model.clone(),
        address: *address,
        near: home == hall,
        condition,
        accounts: accounts.to_vec(),
        load,
        id,
    })
}

/// Whether a group of this hall may take work, by what its watchers say.
pub fn assess_group(
    table: &Table,
    live: &[&id::Node],
    id: &id::Group,
    group: &domain::Group,
    now: Millis,
) -> Condition {
    let mut leaving = group.phase == Phase::Drain;
    let whole = group.members.iter().enumerate().all(|(rank, place)| {
        let known = gather_runner(table, live, &place.runner);
        leaving |= known.is_leaving();
        known.is_ready(id, group.generation, rank, place, now)
    });
    match (whole, leaving) {
        (false, _) => Condition::Broken,
        (true, true) => Condition::Draining,
        (true, false) => Condition::Open,
    }
}

/// Whether a group of another hall may take work, as that hall said last. With
/// none of its nodes in reach nobody vouches for it.
fn read_reported_condition(
    table: &Table,
    live: &[&id::Node],
    id: &id::Group,
    generation: id::Generation,
) -> Condition {
    match table.get(&Key::Whole(id.clone())).map(|held| &held.row.body) {
        Some(Body::Whole(whole)) if whole.generation == generation && !live.is_empty() => whole.condition,
        _ => Condition::Broken,
    }
}
