//! The classes of requests that compete for a model, by priority.
//!
//! A less urgent class yields: it fills a group only so far that a more urgent request that arrives
//! next still gets its first event in time there. So that it does not starve, each place that a more
//! urgent class gets credits it with a fraction of a place, and it takes whole places of this credit
//! without yielding.

use std::collections::BTreeMap;

use cottoncrank::Millis;

use crate::admission::meter::Meter;

/// The fraction of its proportional share that a less urgent class gets at the least. The proportional
/// share splits the places by the arrivals of the classes. A refused caller comes back once, so with a
/// quarter at each attempt nearly half of the proportional share is served.
const MIN_SHARE: f64 = 0.25;

/// The most places that a class may have to its credit, so that it cannot fill the groups at once after
/// a pause.
const MAX_CREDIT: f64 = 2.0;

/// The room that a class leaves at a group for a more urgent one, as a fraction of the time within which
/// that one wants its first event, if that one takes all places. Room is needed because requests arrive
/// in clumps, which last a fraction of that time. If the more urgent class takes fewer places, the room
/// is proportionally smaller.
const MAX_YIELD: f64 = 0.125;

/// The least rate, in places per millisecond, from which other classes yield to a class. One that gets
/// fewer has no requests, or none that could be in time even if others yield.
const MIN_ACTIVE_RATE: f64 = 0.0005;

/// A class without a request for this long is forgotten.
const IDLE_TIMEOUT: Millis = Millis(10_000);

/// A request waits for at most the time until its wanted first event divided by this. A refusal after a
/// longer wait is worse for its caller than one at once.
const WAIT_DIVISOR: u64 = 8;

/// Returns the longest time for which a request may be held that wants its first event within `wanted`.
pub fn longest_wait(wanted: Millis) -> Millis {
    Millis(wanted.0 / WAIT_DIVISOR)
}

/// A class: the priority of the request, then that of its route; 0 first.
pub type Class = (u8, u8);

/// The recent requests of a class.
#[derive(Clone, Copy, Debug, Default)]
struct Row {
    asked: Meter,
    granted: Meter,
    /// How soon the latest request wanted its first event.
    wanted: Millis,
    /// The places that it may take without yielding.
    credit: f64,
    last_arrival: Millis,
}

/// The classes that compete for a model.
#[derive(Clone, Debug, Default)]
pub struct Classes {
    rows: BTreeMap<Class, Row>,
    granted: Meter,
}

impl Classes {
    /// Records a request that arrives, which wants its first event within `wanted`.
    pub fn record_arrival(&mut self, class: Class, wanted: Millis, now: Millis) {
        self.rows.retain(|_, row| now < row.last_arrival + IDLE_TIMEOUT);
        let row = self.rows.entry(class).or_default();
        row.asked.record(now);
        row.last_arrival = now;
        if wanted > Millis(0) {
            row.wanted = wanted;
        }
    }

    /// Returns the classes of which a request arrived lately.
    pub fn iter(&self) -> impl Iterator<Item = Class> {
        self.rows.keys().copied()
    }

    /// Records a place that a class gets, and credits the less urgent ones.
    pub fn record_grant(&mut self, class: Class, now: Millis) {
        self.granted.record(now);
        let total: f64 = self.rows.values().map(|row| row.asked.rate(now)).sum();
        for (other, row) in &mut self.rows {
            if *other == class {
                row.granted.record(now);
            } else if *other > class && total > 0.0 {
                row.credit = (row.credit + MIN_SHARE * row.asked.rate(now) / total).min(MAX_CREDIT);
            }
        }
    }

    /// Whether a class has a place to its credit.
    pub fn has_credit(&self, class: Class) -> bool {
        self.rows.get(&class).is_some_and(|row| row.credit >= 1.0)
    }

    /// Takes a place from the credit of a class.
    pub fn spend_credit(&mut self, class: Class) {
        if let Some(row) = self.rows.get_mut(&class) {
            row.credit -= 1.0;
        }
    }

    /// Returns the places taken per millisecond, by all classes.
    pub fn place_rate(&self, now: Millis) -> f64 {
        self.granted.rate(now)
    }

    /// Returns the places per millisecond that more urgent classes leave for a class, and at least its
    /// guaranteed ones.
    pub fn rate_left(&self, class: Class, now: Millis) -> f64 {
        let place_rate = self.place_rate(now);
        let urgent: f64 = self.rows.range(..class).map(|(_, row)| row.asked.rate(now)).sum();
        let total: f64 = self.rows.values().map(|row| row.asked.rate(now)).sum();
        let own = self.rows.get(&class).map_or(0.0, |row| row.asked.rate(now));
        let least = if total > 0.0 { MIN_SHARE * place_rate * own / total } else { 0.0 };
        (place_rate - urgent).max(least)
    }

    /// Returns the shortest wanted time of the more urgent classes that get places.
    pub fn find_tightest(&self, class: Class, now: Millis) -> Option<Millis> {
        self.more_urgent(class, now).map(|row| row.wanted).min()
    }

    /// Returns the limit up to which a class may fill a group, as the time until the predicted first
    /// event, for a request that wants its own within `wanted`.
    ///
    /// The longest wait is subtracted, so that a request that has waited for all of it is still in time
    /// at the group. Otherwise one that has just arrived would fit where those that wait do not, and
    /// would overtake them.
    pub fn find_limit(&self, class: Class, wanted: Millis, now: Millis) -> Millis {
        let own = wanted - longest_wait(wanted);
        let Some(tightest) = self.find_tightest(class, now) else { return own };
        let urgent: f64 = self.more_urgent(class, now).map(|row| row.granted.rate(now)).sum();
        let urgent_share = (urgent / self.place_rate(now)).clamp(0.0, 1.0);
        let room = tightest.0 as f64 * MAX_YIELD * urgent_share;
        own.min(tightest - longest_wait(tightest) - Millis(room as u64))
    }

    /// Returns the more urgent classes that get places.
    fn more_urgent(&self, class: Class, now: Millis) -> impl Iterator<Item = &Row> {
        let urgent = self.rows.range(..class).map(|(_, row)| row);
        urgent.filter(move |row| row.granted.rate(now) >= MIN_ACTIVE_RATE)
    }
}
