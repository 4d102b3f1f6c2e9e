//! Watching which runner is in which group.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use cottoncrank_platform_standin::runner::{Membership, Runner};

use crate::check::Breach;

/// One runner at a moment.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its id.
    pub id: String,
    /// Its place, if it is in a group.
    pub place: Option<Membership>,
    /// The members of that group.
    pub members: Vec<String>,
}

impl Row {
    /// Reads a runner.
    pub fn read(runner: &Runner) -> Row {
        let place = runner.membership();
        let joins = runner.joins();
        let is_here = |group: &str, epoch| {
            place.as_ref().is_some_and(|place| place.group == group && place.epoch == epoch)
        };
        let join = joins.iter().rfind(|join| is_here(&join.group, join.epoch));
        let members = join.map(|join| join.members.clone()).unwrap_or_default();
        Row { id: runner.id().to_owned(), place, members }
    }
}

/// What one look has found.
#[derive(Clone, Debug, Default)]
pub struct Found {
    /// Promises that were not kept.
    pub breaches: Vec<Breach>,
    /// Heads, by their numbers, whose groups have stood still for too long.
    pub broken: Vec<usize>,
    /// Heads, by their numbers, whose groups lack a member, and stand still.
    pub still: Vec<usize>,
}

/// What earlier looks have shown.
#[derive(Clone, Debug)]
pub struct Watch {
    /// After how long a group that stands still is broken.
    stall: Duration,
    /// The latest group of each runner.
    latest: HashMap<String, Membership>,
    /// Since when open groups have lacked a member.
    lacking: HashMap<(String, u64), Instant>,
}

impl Watch {
    /// Watches groups that are broken once they have stood still for `stall`.
    pub fn new(stall: Duration) -> Watch {
        Watch { stall, latest: HashMap::new(), lacking: HashMap::new() }
    }

    /// Looks at all runners.
    pub fn look(&mut self, rows: &[Row], now: Instant) -> Found {
        let mut found = Found { breaches: self.find_doubles(rows), ..Found::default() };
        self.find_still(rows, now, &mut found);
        found
    }

    /// Runners that are in another group than before, while the head of the one
    /// before is open still.
    fn find_doubles(&mut self, rows: &[Row]) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for row in rows {
            let Some(place) = &row.place else { continue };
            let former = self.latest.insert(row.id.clone(), place.clone());
            let Some(former) = former.filter(|former| !is_same(former, place)) else { continue };
            let open = |other: &Membership| other.open && is_same(other, &former);
            let head = rows.iter().find(|other| other.id != row.id && other.place.as_ref().is_some_and(open));
            if let Some(head) = head {
                let (joined, left) = (place.group.clone(), former.group.clone());
                breaches.push(Breach::Two(row.id.clone(), joined, head.id.clone(), left));
            }
        }
        breaches
    }

    fn find_still(&mut self, rows: &[Row], now: Instant, found: &mut Found) {
        for (at, row) in rows.iter().enumerate() {
            let Some(head) = row.place.as_ref().filter(|place| place.open) else { continue };
            let group = (head.group.clone(), head.epoch);
            let present =
                rows.iter().filter(|other| other.place.as_ref().is_some_and(|place| is_same(place, head)));
            if present.count() >= row.members.len() {
                self.lacking.remove(&group);
                continue;
            }
            found.still.push(at);
            if now - *self.lacking.entry(group).or_insert(now) > self.stall {
                found.broken.push(at);
            }
        }
    }
}

fn is_same(one: &Membership, other: &Membership) -> bool {
    one.group == other.group && one.epoch == other.epoch
}
