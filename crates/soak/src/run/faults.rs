//! How faults are brought about, and undone.

use std::time::{Duration, Instant};

use cottoncrank_platform_standin::{foreign, runner, store};
use rustix::process::Signal;

use super::{Active, Run};
use crate::check::Trouble;
use crate::fleet::{COLD_MS, HALLS};
use crate::plan::{BACKOFF, Fault, LIMITS, RunnerFault, StoreFault};

impl Run<'_> {
    /// Does harm.
    pub(super) fn apply(&mut self, fault: Fault) {
        let fleet = &mut self.fleet;
        match fault {
            Fault::Kill(node) => fleet.nodes[node].kill(),
            Fault::Pause(node) | Fault::Starve(node) => fleet.nodes[node].signal(Signal::STOP),
            Fault::Stop(node) => fleet.nodes[node].signal(Signal::TERM),
            Fault::Reload(node) => fleet.nodes[node].signal(Signal::HUP),
            Fault::StoreLink(node, harm) => fleet.nodes[node].store.set_harm(Some(harm)),
            Fault::RunnerLink(runner, harm) => fleet.engines[runner].link.set_harm(Some(harm)),
            Fault::Store(fault) => fleet.store.set_fault(match fault {
                StoreFault::Busy => store::Fault::Busy,
                StoreFault::Silent => store::Fault::Silent,
                StoreFault::Deaf => store::Fault::WritesDropped,
                StoreFault::Lossy => store::Fault::WriteAnswersLost,
            }),
            Fault::Forget => fleet.store.compact(),
            Fault::Runner(runner, fault) => fleet.engines[runner].runner.set_fault(match fault {
                RunnerFault::Full => runner::Fault::Full,
                RunnerFault::Lost => runner::Fault::Lost,
                RunnerFault::Foreign => runner::Fault::Foreign,
                RunnerFault::Broken => runner::Fault::Broken(3),
                RunnerFault::Short => runner::Fault::Short,
                RunnerFault::Mute => runner::Fault::NoAnswer,
                RunnerFault::Dark => runner::Fault::Unresponsive,
                RunnerFault::BackOff => runner::Fault::BackOff(BACKOFF),
            }),
            Fault::Lapse(runner) => fleet.engines[runner].runner.expire_entry(),
            Fault::Leave(runner) => {
                fleet.engines[runner].runner.drain();
                self.left.entry(runner).or_insert_with(Instant::now);
            }
            // One that has left for good does not come back.
            Fault::Restart(runner) | Fault::Cold(runner) if self.left.contains_key(&runner) => {}
            Fault::Restart(runner) | Fault::Cold(runner) => fleet.crash(runner),
            Fault::Foreign(runner, kind) => {
                let known = &fleet.engines[runner].runner;
                let entries = foreign::list_invalid_entries(&known.entry());
                fleet.store.put_entry(known.id(), &entries[kind % entries.len()].1);
            }
            Fault::Rekey => fleet.rekey(),
            Fault::Deadly(number) => self.send_deadly(number),
            Fault::Limit(runner, limit) => fleet.set_limit(runner, Some(LIMITS[limit % LIMITS.len()])),
            Fault::Evacuate(hall) => fleet.store.evacuate(HALLS[hall], b"{}"),
            Fault::Partition(node, how) => fleet.nodes[node].set_partition(Some(how)),
            Fault::Suspend(node) => fleet.nodes[node].signal(Signal::USR1),
            Fault::Older => fleet.store.set_fault(store::Fault::Silent),
        }
    }

    /// Undoes a fault, and notes when it was in force.
    pub(super) fn end(&mut self, ended: Active) {
        let (fault, from) = (Some(ended.fault), ended.from);
        if matches!(ended.fault, Fault::Limit(..) | Fault::Evacuate(_) | Fault::Reload(_) | Fault::Rekey) {
            self.asked.push(Trouble { from, to: Instant::now(), stop: None, fault });
        }
        let fleet = &mut self.fleet;
        match ended.fault {
            Fault::Kill(node) | Fault::Stop(node) => {
                fleet.nodes[node].kill();
                self.restart(node);
            }
            Fault::Pause(node) | Fault::Starve(node) | Fault::Suspend(node) => {
                fleet.nodes[node].signal(Signal::CONT);
            }
            Fault::Partition(node, _) => fleet.nodes[node].set_partition(None),
            Fault::StoreLink(node, _) => fleet.nodes[node].store.set_harm(None),
            Fault::RunnerLink(runner, _) => fleet.engines[runner].link.set_harm(None),
            Fault::Store(_) => fleet.store.set_fault(store::Fault::None),
            Fault::Runner(runner, _) => fleet.engines[runner].runner.set_fault(runner::Fault::None),
            Fault::Lapse(runner) | Fault::Foreign(runner, _) => fleet.engines[runner].runner.write_entry(),
            Fault::Restart(runner) | Fault::Cold(runner) if self.left.contains_key(&runner) => {}
            Fault::Cold(runner) => {
                let now = Instant::now();
                let to = now + Duration::from_millis(COLD_MS);
                self.asked.push(Trouble { from: now, to, stop: None, fault });
                fleet.return_cold(runner);
            }
            Fault::Restart(runner) => {
                fleet.engines[runner].runner.relaunch();
                fleet.engines[runner].runner.write_entry();
            }
            Fault::Deadly(number) => {
                if let Some(coming) = self.deadly.get(&number) {
                    coming.abort();
                }
            }
            Fault::Limit(runner, _) => fleet.set_limit(runner, None),
            Fault::Evacuate(hall) => fleet.store.withdraw_evacuation(HALLS[hall]),
            Fault::Older => self.come_back(),
            Fault::Reload(_) | Fault::Forget | Fault::Leave(_) | Fault::Rekey => {}
        }
        let stop = if let Fault::Stop(node) = ended.fault { Some(node) } else { None };
        // Neither a hangup nor a new key, a limit or an evacuation excuses anything.
        if !matches!(
            ended.fault,
            Fault::Reload(_) | Fault::Rekey | Fault::Leave(_) | Fault::Limit(..) | Fault::Evacuate(_)
        ) {
            self.troubles.push(Trouble { from, to: Instant::now(), stop, fault });
        }
        self.tell();
    }
}

/// Whether two faults concern the same process, link, runner or store.
pub(super) fn shares_place(one: &Fault, other: &Fault) -> bool {
    use Fault::*;
    match (one, other) {
        (
            Kill(a) | Pause(a) | Stop(a) | Reload(a) | Suspend(a),
            Kill(b) | Pause(b) | Stop(b) | Reload(b) | Suspend(b),
        ) => a == b,
        (Starve(a), Kill(b) | Pause(b) | Suspend(b) | Starve(b))
        | (Kill(a) | Pause(a) | Suspend(a), Starve(b)) => a == b,
        (Deadly(a), Deadly(b)) => a == b,
        (Evacuate(_), Evacuate(_)) => true,
        (Limit(a, _), Limit(b, _)) => a == b,
        (StoreLink(a, _), StoreLink(b, _)) => a == b,
        (Partition(a, _), Partition(b, _)) => a == b,
        (RunnerLink(a, _), RunnerLink(b, _)) => a == b,
        (Store(_) | Older, Store(_) | Older) => true,
        (
            Runner(a, _) | Lapse(a) | Leave(a) | Restart(a) | Cold(a) | Foreign(a, _),
            Runner(b, _) | Lapse(b) | Leave(b) | Restart(b) | Cold(b) | Foreign(b, _),
        ) => a == b,
        _ => false,
    }
}
