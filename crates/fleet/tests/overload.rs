//! New connections at a node whose processor is overloaded.

use cottoncrank::Millis;
use cottoncrank_fleet::overload::{Moment, Overload};

/// The connections that wait in one turn.
const WAITING: usize = 1000;

/// A process, and the time.
#[derive(Default)]
struct Process {
    overload: Overload,
    at: Moment,
}

impl Process {
    /// Time passes in which it works for `work`.
    fn pass(&mut self, time: Millis, work: Millis) {
        self.at = Moment { now: self.at.now + time, work: self.at.work + work };
    }

    /// A task runs this much later than it is due, and the process works meanwhile for `work`.
    fn be_late(&mut self, late: Millis, work: Millis) {
        self.overload.begin_measurement(self.at, self.at.now);
        self.pass(late, work);
        self.overload.end_measurement(self.at);
    }

    /// Returns how many of the waiting connections are taken in one turn.
    fn count_accepted(&mut self) -> usize {
        self.overload.begin_turn();
        let at = self.at;
        (0..WAITING).filter(|_| self.overload.accepts(at)).count()
    }
}

/// Guards against a node that takes more than it can answer, or calls itself ready and takes nothing.
#[test]
fn an_overloaded_node_takes_few_new_connections_in_each_turn_but_never_none() {
    let mut process = Process::default();
    assert_eq!(process.count_accepted(), WAITING);
    (0..20).for_each(|_| process.be_late(Millis(200), Millis(200)));
    for turn in 0..100 {
        assert_eq!(process.count_accepted(), 4, "turn {turn}");
    }
    (0..20).for_each(|_| process.be_late(Millis(0), Millis(0)));
    process.pass(Millis(2000), Millis(0));
    assert_eq!(process.count_accepted(), WAITING);
}

/// Guards against a process that closes connections because it did not run for a while, or was busy once.
#[test]
fn a_single_delay_refuses_nobody() {
    for work in [Millis(0), Millis(8000)] {
        let mut process = Process::default();
        process.be_late(Millis(8000), work);
        assert_eq!(process.count_accepted(), WAITING);
        let mut process = Process::default();
        process.overload.begin_measurement(process.at, Millis(50));
        process.pass(Millis(8000), work);
        assert_eq!(process.count_accepted(), WAITING);
    }
}

/// Guards against an overload that is found out only once the measurement runs, which is late itself.
#[test]
fn a_measurement_that_is_overdue_counts_before_it_is_made() {
    let mut process = Process::default();
    process.be_late(Millis(200), Millis(200));
    process.overload.begin_measurement(process.at, process.at.now);
    process.pass(Millis(10), Millis(10));
    assert_eq!(process.count_accepted(), WAITING);
    process.pass(Millis(190), Millis(190));
    assert_eq!(process.count_accepted(), 4);
}

/// Guards against a process that closes connections because it waits for its processor again and again, be it idle
/// or busy when it runs. A box with a quarter of a core does 160 ms of work in 40.
#[test]
fn a_process_that_is_paused_again_and_again_refuses_nobody() {
    for work in [Millis(2), Millis(50), Millis(60), Millis(100), Millis(160)] {
        let mut process = Process::default();
        for pause in 1..100 {
            process.overload.begin_measurement(process.at, process.at.now + Millis(50));
            process.pass(Millis(500), work);
            assert_eq!(process.count_accepted(), WAITING, "pause {pause}, {work} of work");
            process.overload.end_measurement(process.at);
            assert_eq!(process.count_accepted(), WAITING, "pause {pause}, {work} of work");
        }
    }
}
