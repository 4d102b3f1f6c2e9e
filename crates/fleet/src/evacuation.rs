//! The halls that operators evacuate: nothing more is sent to their runners, and running requests may
//! finish there.
//!
//! An evacuation is in force from the moment that a node learns of it. The planner acts on it at once.
//! Callers' requests still go to the hall during the hold, while groups open elsewhere. The operator's
//! request must apply within a bound after its acknowledgement, so the hold is cut short if that request
//! may be older.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use cottoncrank::{Millis, id};

/// How long requests still go to a hall after a node learned of its evacuation. A group of runners with
/// staged models opens elsewhere in this time.
pub const HOLD: Millis = Millis(2000);

/// How long before the end of the bound a hall is closed at the latest. The last requests sent there
/// still have to arrive, even over a link that loses packets.
pub const MARGIN: Millis = Millis(750);

/// How long an evacuation that the store lost in a restore is kept unless its operator writes it again.
/// Operators do so within seconds. Nobody hears of the withdrawal of a request that the store has lost, so
/// until then a hall may stay closed that nobody wants closed.
pub const KEEP_TIME: Millis = Millis(15_000);

/// Returns when a hall is closed, for a node that learns of the operator's request at `now`.
///
/// `age` is the time since the node last had proof of knowing all changes of the store. The operator's
/// request is no older than that. Without such a proof it may be of any age, and there is no hold. There is
/// none either if no `bound` is configured.
pub fn find_close_time(now: Millis, age: Option<Millis>, bound: Option<Millis>) -> Millis {
    let (Some(age), Some(bound)) = (age, bound) else { return now };
    now + HOLD.min(bound.since(age + MARGIN))
}

/// The effect of an operator's request on the halls known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The evacuation has started.
    Started,
    /// It was in force already.
    Already,
    /// It has started, and no runner of the hall is known. Those that appear are not used.
    UnknownHall,
    /// It has started, and no hall is left to serve.
    AllHalls,
}

impl Outcome {
    /// Returns the outcome as a metric label.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Started => "started",
            Outcome::Already => "already",
            Outcome::UnknownHall => "unknown_hall",
            Outcome::AllHalls => "all_halls",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Started => "started",
            Outcome::Already => "in force already",
            Outcome::UnknownHall => "no runner of this hall is known",
            Outcome::AllHalls => "no hall is left to serve",
        })
    }
}

/// Why an evacuation is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The operator withdrew the request.
    Withdrawn,
    /// The store lost the request, and the operator did not write it again.
    NotRenewed,
}

impl End {
    /// Returns the end as a metric label.
    pub fn name(self) -> &'static str {
        match self {
            End::Withdrawn => "withdrawn",
            End::NotRenewed => "not_renewed",
        }
    }
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            End::Withdrawn => "withdrawn",
            End::NotRenewed => "not written again after the store lost it",
        })
    }
}

/// The evacuation of one hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// When this node learned of it.
    pub since: Millis,
    /// When the hall takes no more requests.
    pub closes_at: Millis,
    /// Whether the hall has been closed.
    closed: bool,
    /// Until when it is kept, if the store has lost the operator's request.
    kept_until: Option<Millis>,
}

/// All evacuations, by hall.
#[derive(Clone, Debug, Default)]
pub struct Table {
    halls: BTreeMap<id::Hall, Evacuation>,
}

impl Table {
    /// Starts an evacuation unless it is in force already. `known` are the halls that have runners.
    pub fn start(
        &mut self,
        hall: &id::Hall,
        now: Millis,
        closes_at: Millis,
        known: &BTreeSet<id::Hall>,
    ) -> Outcome {
        if self.halls.contains_key(hall) {
            return Outcome::Already;
        }
        let closed = closes_at <= now;
        self.halls.insert(hall.clone(), Evacuation { since: now, closes_at, closed, kept_until: None });
        match known.contains(hall) {
            false => Outcome::UnknownHall,
            true if known.iter().all(|known| self.contains(known)) => Outcome::AllHalls,
            true => Outcome::Started,
        }
    }

    /// Ends an evacuation, and returns it if it was in force.
    pub fn withdraw(&mut self, hall: &id::Hall) -> Option<Evacuation> {
        self.halls.remove(hall)
    }

    /// Lists the halls that are under evacuation here and not among those `requested` by the whole content
    /// of the store, so that their evacuation is withdrawn. Those kept after a restore are left out until
    /// their time is over.
    pub fn list_missing(&self, requested: &BTreeSet<id::Hall>) -> Vec<id::Hall> {
        let withdrawable = self.halls.iter().filter(|(_, evacuation)| evacuation.kept_until.is_none());
        withdrawable.map(|(hall, _)| hall).filter(|hall| !requested.contains(hall)).cloned().collect()
    }

    /// Keeps an evacuation that the store lost in a restore for a limited time.
    pub fn keep(&mut self, hall: &id::Hall, now: Millis) {
        if let Some(evacuation) = self.halls.get_mut(hall) {
            evacuation.kept_until.get_or_insert(now + KEEP_TIME);
        }
    }

    /// Records that the store holds the request for an evacuation, so that it lasts until it is withdrawn.
    pub fn confirm(&mut self, hall: &id::Hall) {
        if let Some(evacuation) = self.halls.get_mut(hall) {
            evacuation.kept_until = None;
        }
    }

    /// Closes the halls whose hold is over, and returns them.
    pub fn close_due(&mut self, now: Millis) -> Vec<id::Hall> {
        let due = self.halls.iter_mut().filter(|(_, evacuation)| !evacuation.closed);
        let due = due.filter(|(_, evacuation)| evacuation.closes_at <= now);
        due.map(|(hall, evacuation)| {
            evacuation.closed = true;
            hall.clone()
        })
        .collect()
    }

    /// Lists the halls whose evacuation was kept after a restore and whose time is over.
    pub fn list_expired(&self, now: Millis) -> Vec<id::Hall> {
        let is_over = |evacuation: &Evacuation| evacuation.kept_until.is_some_and(|until| until <= now);
        self.halls
            .iter()
            .filter(|(_, evacuation)| is_over(evacuation))
            .map(|(hall, _)| hall.clone())
            .collect()
    }

    /// Whether a hall is under evacuation.
    pub fn contains(&self, hall: &id::Hall) -> bool {
        self.halls.contains_key(hall)
    }

    /// Whether a hall takes no more requests.
    pub fn is_closed(&self, hall: &id::Hall) -> bool {
        self.halls.get(hall).is_some_and(|evacuation| evacuation.closed)
    }

    /// Whether any hall takes no more requests.
    pub fn has_closed(&self) -> bool {
        self.halls.values().any(|evacuation| evacuation.closed)
    }

    /// Whether no hall is under evacuation.
    pub fn is_empty(&self) -> bool {
        self.halls.is_empty()
    }

    /// Whether the evacuation of a hall is kept though the store lost it.
    pub fn is_kept(&self, hall: &id::Hall) -> bool {
        self.halls.get(hall).is_some_and(|evacuation| evacuation.kept_until.is_some())
    }

    /// Returns the evacuation of a hall, if it is in force.
    pub fn get(&self, hall: &id::Hall) -> Option<&Evacuation> {
        self.halls.get(hall)
    }

    /// Returns all evacuations.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Hall, &Evacuation)> {
        self.halls.iter()
    }
}
