//! The routing view that a controller sends to the entry on its box.

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

/// How long an entry uses a view. Without a newer one from its controller it then accepts
/// no new requests for model groups, because a member may be missing or a runner leaving.
pub const VIEW_TTL: Millis = Millis(2500);

/// What an entry needs for routing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Rises with every change of the view while the controller runs.
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
    /// The generation that requests must name.
    pub generation: id::Generation,
    /// The model it serves.
    pub model: id::Model,
    /// The address of rank 0.
    pub address: SocketAddr,
    /// Whether it is in the hall of this box.
    pub near: bool,
    /// Whether it may take work.
    pub condition: Condition,
    /// The accounts it serves; empty for all.
    pub accounts: Vec<id::Account>,
    /// Its load as last reported.
    pub load: Load,
}

/// Whether a group may take work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Condition {
    /// Every member is ready: it takes new requests.
    Open,
    /// In-flight requests continue; new ones go to other groups.
    Draining,
    /// A member is missing or not ready: in-flight requests are lost.
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
    /// The bearer token that identifies it.
    pub token: String,
    /// Its share of the capacity, relative to the other accounts.
    pub share: u32,
    /// The maximum number of in-flight requests over the whole fleet.
    pub limit: u32,
}

/// A node of this hall.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// The node.
    pub id: id::Node,
    /// Where its entry listens for other entries.
    pub entry: SocketAddr,
    /// When its process started.
    pub since: Millis,
}

/// Derives the view of a node in `hall`.
pub fn derive_view(
    config: &config::Document,
    table: &Table,
    members: &[Member],
    hall: &id::Hall,
    now: Millis,
) -> View {
    let mut view = View { revision: config.revision, ..View::default() };
    for (key, entry) in config.list_entries() {
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
    let home = config.find_hall(&row.domain)?;
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

/// Returns the condition of a group of this hall, from the observations of its watchers.
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

/// Returns the condition of a group of another hall as that hall last reported it. The
/// group counts as broken if none of the hall's nodes is live to confirm the report.
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
