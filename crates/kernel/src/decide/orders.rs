//! The orders that follow from a document.

use std::net::SocketAddr;

use super::{Input, find_configured_runner};
use crate::domain::Placement;
use crate::engine::{Order, Role};
use crate::id;

/// Lists the orders that bring the runners in line with the document.
///
/// Only configured runners that answer get an order.
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

fn needs_order(input: &Input, place: &Placement, role: &Role) -> bool {
    let known = input.evidence.get_runner(&place.runner);
    let Some(seen) = known.seen else { return false };
    known.missed.is_empty() && seen.incarnation == place.incarnation && seen.role.as_ref() != Some(role)
}

/// Lists release orders for runners that hold a role but belong to no group.
fn list_releases(input: &Input) -> Vec<(id::Runner, SocketAddr, Order)> {
    let free =
        input.evidence.runners.iter().filter(|(runner, _)| input.document.find_group(runner).is_none());
    free.filter_map(|(runner, known)| {
        let seen = known.seen.as_ref().filter(|_| known.missed.is_empty())?;
        let role = seen.role.as_ref()?;
        // A role of a later generation means that this node's document is out of date.
        if role.generation > input.document.generation {
            return None;
        }
        let address = find_configured_runner(input, runner)?.address;
        Some((runner.clone(), address, Order::Release { generation: input.document.generation }))
    })
    .collect()
}
