//! Replays of crowds against the account of what callers fill: who stays and who has to go.

use cottoncrank::resources::{
    CONNECTION, Eviction, Id, Kind, Limits, Machine, Port, REQUEST, Short, Shortage, Table,
};
use cottoncrank::{Millis, Size};

const MACHINE: Machine = Machine { memory: Size::megabytes(96), sockets: 300 };

/// The size of a segment of a body.
const SEGMENT: Size = Size::kilobytes(32);

/// The segments of the largest body.
const WHOLE: usize = 128;

/// Longer than a caller may be silent while others need its room.
const LONG: Millis = Millis(5000);

/// A table with its clock, and the connections that had to go.
struct World {
    table: Table,
    now: Millis,
    evicted: Vec<Eviction>,
}

impl World {
    fn new() -> World {
        World { table: Table::new(Limits::of(&MACHINE)), now: Millis(1000), evicted: Vec::new() }
    }

    fn open(&mut self) -> Id {
        self.table.open(Port::Callers, self.now, &mut self.evicted).unwrap()
    }

    /// A connection sends a segment of its body.
    fn send(&mut self, id: Id) -> Result<(), Short> {
        self.table.receive(id, SEGMENT, self.now, &mut self.evicted);
        self.table.charge(id, SEGMENT, Kind::Body, self.now, &mut self.evicted)
    }

    /// A connection sends segments until it has to go or is through.
    fn send_all(&mut self, id: Id, segments: usize) -> usize {
        (0..segments).take_while(|_| self.send(id).is_ok()).count()
    }

    /// A new caller sends an ordinary request.
    fn ask(&mut self) -> Result<Id, Short> {
        let id = self.table.open(Port::Callers, self.now, &mut self.evicted)?;
        self.table.receive(id, Size(500), self.now, &mut self.evicted);
        self.table.charge(id, REQUEST, Kind::Overhead, self.now, &mut self.evicted)?;
        self.table.charge(id, Size(200), Kind::Body, self.now, &mut self.evicted)?;
        self.table.serve(id);
        Ok(id)
    }

    fn has_to_go(&self, id: Id) -> bool {
        self.evicted.iter().any(|(evicted, _)| *evicted == id)
    }
}

/// Guards against a crowd of unfinished bodies that keeps ordinary callers out, or takes more than it may.
#[test]
fn an_ordinary_caller_is_admitted_beside_a_crowd_of_unfinished_bodies() {
    let mut world = World::new();
    let crowd: Vec<Id> = (0..40).map(|_| world.open()).collect();
    for _ in 0..WHOLE - 1 {
        for id in &crowd {
            // Most of them are refused at some point.
            let _ = world.send(*id);
        }
    }
    let staying = crowd.iter().filter(|id| !world.has_to_go(**id)).count();
    assert!(staying > 0, "nobody keeps what it has");
    world.ask().unwrap();
}

/// Guards against a crowd that leaves nobody room to finish: whoever came first is through, and so is the next.
#[test]
fn the_oldest_of_many_large_bodies_is_finished_first() {
    let mut world = World::new();
    let first = world.open();
    let crowd: Vec<Id> = (0..40).map(|_| world.open()).collect();
    for _ in 0..WHOLE {
        world.send(first).expect("the oldest stays");
        for id in &crowd {
            let _ = world.send(*id);
        }
    }
    assert!(!world.has_to_go(first));
    assert!(world.has_to_go(*crowd.last().unwrap()), "the newest goes");
}

/// Guards against a crowd that stops before its end and keeps the room of large bodies for itself.
#[test]
fn a_large_body_takes_the_place_of_one_that_is_stalled() {
    let mut world = World::new();
    let crowd: Vec<Id> = (0..6).map(|_| world.open()).collect();
    for id in &crowd {
        assert_eq!(world.send_all(*id, WHOLE - 1), WHOLE - 1);
    }
    world.now = world.now + LONG;
    let sound = world.open();
    assert_eq!(world.send_all(sound, WHOLE), WHOLE);
    assert!(world.has_to_go(crowd[0]), "the one that is stalled for the longest time goes");
    assert!(!world.has_to_go(sound));
}

/// Guards against requests that are given up though they have arrived whole.
#[test]
fn whoever_is_being_served_stays() {
    let mut world = World::new();
    let served: Vec<Id> = (0..6).map(|_| world.open()).collect();
    for id in &served {
        assert_eq!(world.send_all(*id, WHOLE), WHOLE);
        world.table.serve(*id);
    }
    world.now = world.now + LONG;
    let other = world.open();
    assert!(world.send_all(other, WHOLE) < WHOLE, "there is no room for another large body");
    assert!(served.iter().all(|id| !world.has_to_go(*id)));
    world.ask().unwrap();
}

/// Guards against one slow caller that loses its place while there is room for all.
#[test]
fn a_slow_caller_stays_while_there_is_room() {
    let mut world = World::new();
    let slow = world.open();
    for _ in 0..WHOLE {
        world.now = world.now + LONG;
        world.send(slow).unwrap();
    }
    assert!(world.evicted.is_empty());
}

/// Guards against connections without requests that keep others out.
#[test]
fn a_new_connection_takes_the_place_of_the_one_that_did_nothing_for_longest() {
    let mut world = World::new();
    let max = Limits::of(&MACHINE).connections(Port::Callers);
    let served = world.ask().unwrap();
    world.table.rest(served, world.now);
    let crowd: Vec<Id> = (1..max)
        .map(|_| {
            world.now = world.now + Millis(1);
            world.open()
        })
        .collect();
    assert!(world.evicted.is_empty(), "there is room for {max}");
    world.ask().unwrap();
    assert_eq!(world.evicted, [(crowd[0], Shortage::Descriptors)], "one that was served before stays longer");
    assert_eq!(world.table.count_open(Port::Callers), max);
}

/// Guards against a port that takes the descriptors of another one.
#[test]
fn a_crowd_at_one_door_takes_nothing_of_another() {
    let mut world = World::new();
    let peer = world.table.open(Port::Peers, world.now, &mut world.evicted).unwrap();
    for port in [Port::Callers, Port::Readiness, Port::Metrics] {
        for _ in 0..MACHINE.sockets {
            world.now = world.now + Millis(1);
            world.table.open(port, world.now, &mut world.evicted).unwrap();
        }
    }
    assert!(!world.has_to_go(peer));
    let open: usize = Port::ALL.iter().map(|port| world.table.count_open(*port)).sum();
    assert!(open <= MACHINE.sockets, "{open} of {}", MACHINE.sockets);
}

/// Guards against memory that stays charged after its connection is gone.
#[test]
fn nothing_is_held_once_all_is_released() {
    let mut world = World::new();
    for _ in 0..3 {
        let crowd: Vec<Id> = (0..40).map(|_| world.open()).collect();
        let sent: Vec<usize> = crowd.iter().map(|id| world.send_all(*id, WHOLE)).collect();
        for (id, sent) in crowd.into_iter().zip(sent) {
            world.table.close(id);
            world.table.release(id, Size(sent * SEGMENT.0), Kind::Body);
        }
        assert_eq!(world.table.held(), Size(0));
        assert_eq!(world.table.count_open(Port::Callers), 0);
    }
    let id = world.open();
    assert_eq!(world.table.held(), CONNECTION);
    world.table.close(id);
    assert_eq!(world.table.held(), Size(0));
}

#[test]
fn amounts_are_read_as_they_are_shown() {
    for (text, size) in
        [("0", Size(0)), ("96MB", Size::megabytes(96)), ("64KB", Size::kilobytes(64)), ("1025", Size(1025))]
    {
        assert_eq!(text.parse(), Ok(size));
        assert_eq!(size.to_string(), text);
    }
    assert!("many".parse::<Size>().is_err());
    assert!("99999999999999999999MB".parse::<Size>().is_err());
}

impl World {
    /// Holds an answer for a connection whose request is being served.
    fn answer(&mut self, id: Id, size: Size) -> Result<(), Short> {
        self.table.charge(id, size, Kind::Answer, self.now, &mut self.evicted)?;
        self.table.offer(id, size, self.now);
        Ok(())
    }
}

/// The largest answer.
const ANSWER: Size = Size::megabytes(4);

/// Guards against callers that read nothing and hold the memory of answers for as long as they like.
#[test]
fn an_answer_takes_the_place_of_one_that_nobody_takes() {
    let mut world = World::new();
    let crowd: Vec<Id> = (0..3).map(|_| world.ask().unwrap()).collect();
    for id in &crowd {
        world.answer(*id, ANSWER).unwrap();
    }
    let sound = world.ask().unwrap();
    assert_eq!(world.answer(sound, ANSWER), Err(Short), "nobody is late yet");
    world.now = world.now + LONG;
    for id in &crowd[1..] {
        world.table.record_taken(*id, world.now);
    }
    world.answer(sound, ANSWER).unwrap();
    assert_eq!(world.evicted, [(crowd[0], Shortage::Answers)], "the others read theirs");
    assert_eq!(world.answer(crowd[1], ANSWER), Err(Short), "they wait for each other");
}

/// Guards against callers that go because their runners are slow.
#[test]
fn a_caller_that_is_offered_nothing_yet_stays() {
    let mut world = World::new();
    for _ in 0..3 {
        let id = world.ask().unwrap();
        world.table.charge(id, ANSWER, Kind::Answer, world.now, &mut world.evicted).unwrap();
    }
    world.now = world.now + LONG;
    let sound = world.ask().unwrap();
    assert_eq!(world.answer(sound, ANSWER), Err(Short));
    assert!(world.evicted.is_empty());
}

/// Guards against bodies that leave no room for the answers that would free them.
#[test]
fn answers_have_room_of_their_own() {
    let mut world = World::new();
    let served: Vec<Id> = (0..6).map(|_| world.open()).collect();
    for id in &served {
        world.send_all(*id, WHOLE);
        world.table.serve(*id);
    }
    world.answer(served[0], ANSWER).unwrap();
    let held = world.table.held() + world.table.held_answers();
    assert!(held <= MACHINE.memory.part(1, 2), "{held}");
}

/// A small box: its memory is used up by its connections before its descriptors are.
const SMALL_MACHINE: Machine = Machine { memory: Size::megabytes(80), sockets: 2670 };

/// Guards against a crowd whose members each hold less than an ordinary request takes, and together all there
/// is: whoever is refused then is the ordinary caller.
#[test]
fn an_ordinary_caller_is_admitted_beside_a_crowd_that_holds_little_each() {
    const HEAD: Size = Size::kilobytes(15);
    for sends_body in [false, true] {
        let mut world = World { table: Table::new(Limits::of(&SMALL_MACHINE)), ..World::new() };
        let limits = Limits::of(&SMALL_MACHINE);
        for _ in 0..limits.connections(Port::Callers) {
            world.now = world.now + Millis(1);
            let id = world.open();
            world.table.receive(id, HEAD, world.now, &mut world.evicted);
            if sends_body {
                // Some of them are refused, which is how the rest has room.
                let _ = world.table.charge(id, REQUEST, Kind::Overhead, world.now, &mut world.evicted);
                let _ = world.send(id);
            }
        }
        assert!(!world.evicted.is_empty(), "the memory is not used up");
        for _ in 0..100 {
            world.now = world.now + Millis(1);
            world.ask().unwrap();
        }
    }
}

/// Guards against connections that rest with nothing on them and keep the memory from requests.
#[test]
fn an_ordinary_caller_is_admitted_beside_connections_that_rest() {
    let machine = Machine { memory: Size::megabytes(8), sockets: 2670 };
    let mut world = World { table: Table::new(Limits::of(&machine)), ..World::new() };
    for _ in 0..500 {
        world.now = world.now + Millis(1);
        world.open();
    }
    for _ in 0..20 {
        world.ask().unwrap();
    }
}

/// Guards against a port all of whose connections are always being served, so that nobody else has a turn.
#[test]
fn the_oldest_that_had_an_answer_ends_its_turn_where_all_are_being_served() {
    let mut world = World::new();
    let max = Limits::of(&MACHINE).connections(Port::Callers);
    let busy: Vec<Id> = (0..max).map(|_| world.ask().unwrap()).collect();
    assert_eq!(world.table.open(Port::Callers, world.now, &mut world.evicted), Err(Short));
    assert!(world.evicted.is_empty(), "none has had an answer");
    // Each goes on with its next request at once.
    for id in &busy[1..] {
        world.table.rest(*id, world.now);
        world.table.serve(*id);
    }
    assert_eq!(world.table.open(Port::Callers, world.now, &mut world.evicted), Err(Short));
    assert_eq!(world.evicted, [(busy[1], Shortage::Turns)]);
    // Its present request is answered as any other.
    world.answer(busy[1], ANSWER).unwrap();
    assert!(!world.evicted.iter().any(|(_, shortage)| *shortage != Shortage::Turns));
}

/// Guards against callers that are admitted and for whose requests no connection is left.
#[test]
fn each_caller_may_have_a_connection_to_a_runner() {
    for sockets in [100, 300, 2670, 3900, 16_184] {
        let limits = Limits::of(&Machine { sockets, ..MACHINE });
        assert!(limits.outbound >= limits.connections(Port::Callers));
        let open: usize = Port::ALL.iter().map(|port| limits.connections(*port)).sum();
        assert!(open + limits.outbound <= sockets, "{open} and {} of {sockets}", limits.outbound);
    }
}

/// Guards against bytes behind a request that is being served, which are held and counted by nobody.
#[test]
fn what_a_caller_sends_while_it_is_served_is_charged() {
    let mut world = World::new();
    let id = world.ask().unwrap();
    let before = world.table.held();
    world.table.receive(id, SEGMENT, world.now, &mut world.evicted);
    assert!(world.table.held() >= before + SEGMENT);
    assert!(world.evicted.is_empty());
}
