//! New connections at a node whose processor is overloaded.

use cottoncrank::Millis;
use cottoncrank_fleet::overload::{Moment, Overload};

/// The connections that wait in one turn.
const WAITING: usize = 1000;

/// More connections than an overloaded process takes in one turn.
const FEW: usize = 5;

/// A process, and the time.
#[derive(Default)]
struct Process {
    overload: Overload,
    at: Moment,
}

impl Process {
    /// Time passes in which it works for `work`. A whole core is its share.
    fn pass(&mut self, time: Millis, work: Millis) {
        self.pass_with_share(time, work, 1);
    }

    /// Time passes in which it uses its processor. Its share has this divisor.
    fn pass_with_share(&mut self, time: Millis, used: Millis, divisor: u64) {
        let Moment { now, used: before, work } = self.at;
        self.at = Moment { now: now + time, used: before + used, work: work + Millis(used.0 * divisor) };
    }

    /// A task runs this much later than it is due, and the process works meanwhile for `work`.
    fn be_late(&mut self, late: Millis, work: Millis) {
        self.overload.begin_measurement(self.at, self.at.now);
        self.pass(late, work);
        self.overload.end_measurement(self.at);
    }

    /// Whether more than a few connections are taken in one turn.
    fn takes_all(&mut self) -> bool {
        self.overload.begin_turn();
        let at = self.at;
        (0..FEW).all(|_| self.overload.accepts(at))
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

/// A process that works whenever it runs, and runs for a part of each period.
struct Sliced {
    process: Process,
    period: Millis,
    runs: Millis,
    /// Its share of the processor, as a divisor.
    divisor: u64,
    /// How far the period has passed.
    passed: Millis,
}

impl Sliced {
    fn new(runs: Millis, period: Millis, divisor: u64) -> Sliced {
        Sliced { process: Process::default(), period, runs, divisor, passed: Millis(0) }
    }

    /// It works for a millisecond, once it runs.
    fn step(&mut self) {
        if self.passed >= self.runs {
            self.process.pass(self.period.since(self.passed), Millis(0));
            self.passed = Millis(0);
        }
        self.process.pass_with_share(Millis(1), Millis(1), self.divisor);
        self.passed = self.passed + Millis(1);
    }

    /// Waits for a task while others take turns of this length. Returns whether more than a few connections
    /// are taken after each.
    fn takes_all_until_task(&mut self, turn: u64) -> bool {
        let due = self.process.at.now + Millis(50);
        self.process.overload.begin_measurement(self.process.at, due);
        let mut takes_all = true;
        while self.process.at.now < due {
            (0..turn).for_each(|_| self.step());
            takes_all &= self.process.takes_all();
        }
        self.process.overload.end_measurement(self.process.at);
        takes_all && self.process.takes_all()
    }
}

/// Returns turns of a process, in milliseconds of its work: the same ones each time, and changing ones.
fn each_turns() -> [Vec<u64>; 8] {
    let same = |turn| vec![turn];
    let changing = |most| (0..40).map(|number: u64| 1 + number * number * 7 % most).collect();
    [same(1), same(15), same(30), same(50), same(70), same(100), changing(50), changing(100)]
}

/// Guards against a process that closes connections because it gets less than its share, in slices, and works
/// in all of them: it has used a good part of its share, and is late as it did not run.
#[test]
fn a_process_that_works_in_all_its_slices_and_gets_less_than_its_share_refuses_nobody() {
    for divisor in [4, 2, 1] {
        for offset in 0..50 {
            for turns in each_turns() {
                let mut sliced = Sliced::new(Millis(50), Millis(500), divisor);
                (0..offset).for_each(|_| sliced.step());
                for turn in turns.iter().cycle().take(40) {
                    let takes_all = sliced.takes_all_until_task(*turn);
                    assert!(
                        takes_all,
                        "a share of 1/{divisor}, begun at {offset}ms of a slice, turns {turns:?}"
                    );
                }
            }
        }
    }
}

/// Guards against a process that takes more than it can answer because its quota, or others, stop it now and
/// then.
#[test]
fn a_process_that_uses_its_share_or_runs_for_a_good_part_of_the_time_is_still_overloaded() {
    let (quota, beside_others) =
        (Sliced::new(Millis(25), Millis(100), 4), Sliced::new(Millis(10), Millis(25), 1));
    for (mut sliced, turn) in [(quota, 50), (beside_others, 100)] {
        for _ in 0..40 {
            sliced.takes_all_until_task(turn);
        }
        for number in 0..40 {
            assert!(!sliced.takes_all_until_task(turn), "turns of {turn}ms, number {number}");
        }
    }
}
