//! The connections of a process, what they hold, and who goes when it is full.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::{
    CONNECTION, Eviction, FIRST_BUFFER, Id, Kind, Limits, Port, READ_BUFFER, SMALL_BODY, STALL_TIME, Short,
    Shortage,
};
use crate::Millis;
use crate::size::Size;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// Nothing: no byte of a request has arrived.
    Resting,
    /// A request is arriving.
    Receiving,
    /// A whole request is being answered.
    Serving,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    port: Port,
    activity: Activity,
    /// All that is charged to it.
    held: Size,
    /// The part of it that is a body.
    body: Size,
    /// What is held for it of answers, which counts by itself.
    answer: Size,
    /// The part of it that the caller may take.
    offered: Size,
    /// The part of `held` that is its read buffer, beyond the first.
    buffer: Size,
    /// The most that its read buffer is to hold.
    max_buffer: Size,
    /// The bytes of the current request that have arrived, with all that frames them.
    received: Size,
    /// When it last sent something, or was answered.
    since: Millis,
    /// When it last took a part of an answer.
    taken_at: Millis,
    has_served: bool,
    is_open: bool,
    /// What it has been told to go for.
    evicted: Option<Shortage>,
}

impl Connection {
    fn is_large(&self) -> bool {
        self.body > SMALL_BODY
    }

    /// What its caller has filled, without what each connection and request takes.
    fn filled(&self) -> Size {
        self.body + self.buffer
    }

    /// Whether it releases what it holds before its request is answered.
    fn is_leaving(&self) -> bool {
        self.evicted > Some(Shortage::Turns)
    }

    /// What counts against the limits: one that goes is about to release what it holds.
    fn counted(&self) -> Size {
        if self.is_leaving() { Size(0) } else { self.held }
    }

    fn counted_large(&self) -> Size {
        if self.is_leaving() || !self.is_large() { Size(0) } else { self.body }
    }

    fn counted_answer(&self) -> Size {
        if self.evicted == Some(Shortage::Answers) { Size(0) } else { self.answer }
    }

    /// Whether its caller takes nothing of what it is offered.
    fn is_untaken(&self, now: Millis) -> bool {
        let may_go = self.is_open && self.evicted < Some(Shortage::Answers);
        may_go && self.offered > Size(0) && now.since(self.taken_at) >= STALL_TIME
    }

    /// Whether it may be told to go, and that helps.
    fn is_evictable(&self, shortage: Shortage) -> bool {
        self.is_open && self.evicted < Some(shortage) && self.activity != Activity::Serving
    }
}

/// The connections of a process and what they hold.
#[derive(Clone, Debug)]
pub struct Table {
    limits: Limits,
    connections: HashMap<Id, Connection>,
    /// The sums over all connections.
    counted: Size,
    counted_large: Size,
    counted_answers: Size,
    held: Size,
    open: [usize; Port::ALL.len()],
    last: u64,
}

impl Table {
    /// Starts with no connection.
    pub fn new(limits: Limits) -> Table {
        Table {
            limits,
            connections: HashMap::new(),
            counted: Size(0),
            counted_large: Size(0),
            counted_answers: Size(0),
            held: Size(0),
            open: [0; Port::ALL.len()],
            last: 0,
        }
    }

    /// Returns all memory that is charged, that of connections included that have been told to go.
    pub fn held(&self) -> Size {
        self.held
    }

    /// Returns the open connections of a port.
    pub fn count_open(&self, port: Port) -> usize {
        self.open[port as usize]
    }

    /// Opens a connection. Those that have to go for it are added to `evicted`.
    pub fn open(&mut self, port: Port, now: Millis, evicted: &mut Vec<Eviction>) -> Result<Id, Short> {
        while self.open[port as usize] >= self.limits.connections(port) {
            let Some(oldest) = self.find_inactive(port) else {
                // The queries of other boxes are short, so a place is free there soon.
                if port == Port::Callers {
                    self.end_turn(evicted);
                }
                return Err(Short);
            };
            self.evict(oldest, Shortage::Descriptors, evicted);
            // Its descriptor is about to be closed.
            self.release_port(oldest);
        }
        self.make_room(None, Size(0), CONNECTION, evicted)?;
        self.last += 1;
        let id = Id(self.last);
        let connection = Connection {
            port,
            activity: Activity::Resting,
            held: Size(0),
            body: Size(0),
            answer: Size(0),
            offered: Size(0),
            buffer: Size(0),
            max_buffer: READ_BUFFER,
            received: Size(0),
            since: now,
            taken_at: now,
            has_served: false,
            is_open: true,
            evicted: None,
        };
        self.connections.insert(id, connection);
        self.open[port as usize] += 1;
        self.change(id, |connection| connection.held += CONNECTION);
        Ok(id)
    }

    /// Closes a connection. What else is charged to it stays so until it is released.
    pub fn close(&mut self, id: Id) {
        self.release_port(id);
        self.change(id, |connection| {
            connection.held -= CONNECTION + connection.buffer;
            connection.buffer = Size(0);
        });
        self.forget_if_done(id);
    }

    /// Sets the most that the read buffer of a connection is to hold.
    pub fn set_max_buffer(&mut self, id: Id, max: Size) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.max_buffer = max;
        }
    }

    /// Records that bytes of a connection have been read. It may itself be among those that have to go, where
    /// there is no room for its buffer.
    pub fn receive(&mut self, id: Id, bytes: Size, now: Millis, evicted: &mut Vec<Eviction>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.since = now;
        connection.received += bytes;
        if connection.activity == Activity::Resting {
            connection.activity = Activity::Receiving;
        }
        let (received, before) = (connection.received, connection.buffer);
        // A buffer is at most twice as large as what it had to hold.
        let wanted = Size(2 * received.min(connection.max_buffer).0);
        if received <= FIRST_BUFFER || wanted <= before || connection.is_leaving() {
            return;
        }
        let (more, filled) = (wanted - before, connection.body + wanted);
        let is_serving = connection.activity == Activity::Serving;
        // Whoever is being served keeps its place; then others do not get one.
        if self.make_room(Some(id), filled, more, evicted).is_err() && !is_serving {
            return self.evict(id, Shortage::Memory, evicted);
        }
        self.change(id, |connection| {
            connection.held += more;
            connection.buffer = wanted;
        });
    }

    /// Records that the request of a connection has arrived whole.
    pub fn serve(&mut self, id: Id) {
        self.set_activity(id, Activity::Serving);
    }

    /// Records that the request of a connection has been answered.
    pub fn rest(&mut self, id: Id, now: Millis) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.activity = Activity::Resting;
            connection.received = Size(0);
            connection.since = now;
            connection.has_served = true;
        }
    }

    /// Charges memory to a connection. Those that have to go for it are added to `evicted`.
    pub fn charge(
        &mut self,
        id: Id,
        size: Size,
        kind: Kind,
        now: Millis,
        evicted: &mut Vec<Eviction>,
    ) -> Result<(), Short> {
        let connection =
            self.connections.get(&id).filter(|connection| !connection.is_leaving()).ok_or(Short)?;
        let body = connection.body + if kind == Kind::Body { size } else { Size(0) };
        match kind {
            Kind::Body if body > SMALL_BODY => {
                let more = if connection.is_large() { size } else { body };
                self.make_large_room(id, size, more, now, evicted)?;
            }
            Kind::Answer | Kind::Offered => return self.charge_answer(id, size, now, evicted),
            Kind::Body | Kind::Overhead => {
                let filled = body + connection.buffer;
                self.make_room(Some(id), filled, size, evicted)?;
            }
        }
        self.change(id, |connection| {
            connection.held += size;
            connection.body = body;
        });
        Ok(())
    }

    /// Charges memory of an answer. If there is too little, callers go that take nothing of theirs.
    fn charge_answer(
        &mut self,
        id: Id,
        size: Size,
        now: Millis,
        evicted: &mut Vec<Eviction>,
    ) -> Result<(), Short> {
        while self.counted_answers + size > self.limits.answers {
            let untaken = self.connections.iter().filter(|(other, one)| **other != id && one.is_untaken(now));
            let rank = |id: Id, one: &Connection| (one.offered, Reverse(one.taken_at), Reverse(id));
            let goes = untaken.max_by_key(|(id, one)| rank(**id, one)).map(|(id, _)| *id).ok_or(Short)?;
            self.evict(goes, Shortage::Answers, evicted);
        }
        self.change(id, |connection| connection.answer += size);
        Ok(())
    }

    /// Records that what was charged as [`Kind::Answer`] is [`Kind::Offered`] from now on.
    pub fn offer(&mut self, id: Id, size: Size, now: Millis) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.offered == Size(0) {
            connection.taken_at = now;
        }
        connection.offered += size;
    }

    /// Records that a caller has taken a part of its answer.
    pub fn record_taken(&mut self, id: Id, now: Millis) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.taken_at = now;
        }
    }

    /// Returns the memory of answers that is charged, that of callers included that have been told to go.
    pub fn held_answers(&self) -> Size {
        self.connections.values().fold(Size(0), |sum, one| sum + one.answer)
    }

    /// Releases memory that was charged.
    pub fn release(&mut self, id: Id, size: Size, kind: Kind) {
        self.change(id, |connection| match kind {
            Kind::Overhead => connection.held -= size,
            Kind::Body => {
                connection.held -= size;
                connection.body -= size;
            }
            Kind::Answer => connection.answer -= size,
            Kind::Offered => {
                connection.answer -= size;
                connection.offered -= size;
            }
        });
        self.forget_if_done(id);
    }

    /// Makes room for one whose caller will have filled little. One that rests has to go, or whoever has filled
    /// the most, if that is not less.
    fn make_room(
        &mut self,
        asking: Option<Id>,
        filled: Size,
        size: Size,
        evicted: &mut Vec<Eviction>,
    ) -> Result<(), Short> {
        while self.counted + size > self.limits.memory {
            let others = self.connections.iter().filter(|(id, one)| {
                Some(**id) != asking
                    && one.is_evictable(Shortage::Memory)
                    && (one.activity == Activity::Resting || one.filled() >= filled)
            });
            let rank = |id: Id, one: &Connection| {
                (one.filled(), one.activity == Activity::Resting, Reverse(one.since), Reverse(id))
            };
            let goes = others.max_by_key(|(id, one)| rank(**id, one)).map(|(id, _)| *id).ok_or(Short)?;
            self.evict(goes, Shortage::Memory, evicted);
        }
        Ok(())
    }

    /// Makes room for a large body, of which `more` counts against the limit of large ones.
    fn make_large_room(
        &mut self,
        asking: Id,
        size: Size,
        more: Size,
        now: Millis,
        evicted: &mut Vec<Eviction>,
    ) -> Result<(), Short> {
        while self.counted + size > self.limits.memory || self.counted_large + more > self.limits.large_bodies
        {
            let goes = self.find_large(asking, now).filter(|id| *id != asking).ok_or(Short)?;
            self.evict(goes, Shortage::Memory, evicted);
        }
        Ok(())
    }

    /// Returns who goes among those whose large body is arriving: the one that has been stalled for the
    /// longest time, or the newest.
    fn find_large(&self, asking: Id, now: Millis) -> Option<Id> {
        let is_arriving =
            |one: &Connection| one.is_evictable(Shortage::Memory) && one.activity == Activity::Receiving;
        let arriving = || {
            self.connections.iter().filter(|(id, one)| **id == asking || is_arriving(one) && one.is_large())
        };
        let stalled = arriving().filter(|(_, one)| now.since(one.since) >= STALL_TIME);
        let longest = stalled.min_by_key(|(id, one)| (one.since, **id));
        longest.or_else(|| arriving().max_by_key(|(id, _)| **id)).map(|(id, _)| *id)
    }

    /// Returns the connection of a port that has done nothing for the longest time, first among those that
    /// have never sent a whole request.
    fn find_inactive(&self, port: Port) -> Option<Id> {
        let of_port = self
            .connections
            .iter()
            .filter(|(_, one)| one.port == port && one.is_evictable(Shortage::Descriptors));
        of_port.min_by_key(|(id, one)| (one.has_served, one.since, **id)).map(|(id, _)| *id)
    }

    /// Tells the oldest connection of a caller that has had an answer to close behind its next one.
    fn end_turn(&mut self, evicted: &mut Vec<Eviction>) {
        let served = self.connections.iter().filter(|(_, one)| {
            one.port == Port::Callers && one.is_open && one.has_served && one.evicted.is_none()
        });
        if let Some(oldest) = served.map(|(id, _)| *id).min() {
            self.evict(oldest, Shortage::Turns, evicted);
        }
    }

    fn evict(&mut self, id: Id, shortage: Shortage, evicted: &mut Vec<Eviction>) {
        self.change(id, |connection| connection.evicted = Some(shortage));
        evicted.push((id, shortage));
    }

    fn set_activity(&mut self, id: Id, activity: Activity) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.activity = activity;
        }
    }

    fn release_port(&mut self, id: Id) {
        if let Some(connection) = self.connections.get_mut(&id).filter(|connection| connection.is_open) {
            connection.is_open = false;
            self.open[connection.port as usize] -= 1;
        }
    }

    fn forget_if_done(&mut self, id: Id) {
        if self.connections.get(&id).is_some_and(|one| !one.is_open && one.held + one.answer == Size(0)) {
            self.connections.remove(&id);
        }
    }

    /// Changes a connection and the sums with it.
    fn change(&mut self, id: Id, change: impl FnOnce(&mut Connection)) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let (counted, large, held) = (connection.counted(), connection.counted_large(), connection.held);
        let answer = connection.counted_answer();
        change(connection);
        self.counted_answers = self.counted_answers + connection.counted_answer() - answer;
        self.counted = self.counted + connection.counted() - counted;
        self.counted_large = self.counted_large + connection.counted_large() - large;
        self.held = self.held + connection.held - held;
    }
}
