//! The ledger of request keys that one entry owns.
//!
//! A key belongs to the two live nodes of the hall with the highest scores, and
//! both have to agree before its request runs. A repeat at any entry box finds
//! the first one's outcome as long as one of the two is still there.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::hash::pick_owners;
use crate::id;
use crate::view;
use crate::wire::{ClaimReply, KeyedOutcome};

/// What the owners' answers mean for a request that wants to run.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It may run.
    Run,
    /// Another request with this key is in flight.
    Running,
    /// Another request with this key has ended.
    Done(KeyedOutcome),
    /// Nobody can say whether a request with this key ran before.
    Unsure,
}

/// Weighs the owners' answers; none stands for an owner that did not answer.
///
/// Any owner that knows the key decides. If none does, the key is new for sure
/// only if some owner that answered was an owner all through the horizon; a
/// hall in which no node is that old has just been started, and then all
/// owners have to agree.
pub fn judge(owners: &[(&view::Node, Option<ClaimReply>)], nodes: &[view::Node], now: Millis) -> Verdict {
    let mut running = false;
    for (_, claimed) in owners {
        match claimed {
            Some(ClaimReply::Done(recorded)) => return Verdict::Done(recorded.clone()),
            Some(ClaimReply::Running) => running = true,
            Some(ClaimReply::First | ClaimReply::Noted) | None => {}
        }
    }
    if running {
        return Verdict::Running;
    }
    let is_old = |node: &view::Node| now.since(node.since) >= HORIZON;
    let old_owner = owners.iter().any(|(node, claimed)| claimed.is_some() && is_old(node));
    let all_answered = !owners.is_empty() && owners.iter().all(|(_, claimed)| claimed.is_some());
    let young_hall = !nodes.iter().any(is_old);
    match old_owner || (young_hall && all_answered) {
        true => Verdict::Run,
        false => Verdict::Unsure,
    }
}

/// How many nodes own a key.
pub const OWNERS: usize = 2;

/// How long a key is remembered.
pub const HORIZON: Millis = Millis(600_000);

/// The most keys remembered; above it new keys are refused.
pub const KEYS_MAX: usize = 200_000;

#[derive(Clone, Debug)]
struct Slot {
    request: id::Request,
    recorded: Option<KeyedOutcome>,
    until: Millis,
}

/// The keys of one shard.
#[derive(Debug, Default)]
pub struct Ledger {
    slots: HashMap<(id::Account, String), Slot>,
}

impl Ledger {
    /// Gives the key to `request` if it is free. The same request may ask twice.
    pub fn open(
        &mut self,
        account: &id::Account,
        key: &str,
        request: id::Request,
        now: Millis,
    ) -> ClaimReply {
        let at = (account.clone(), key.to_owned());
        if self.slots.len() >= KEYS_MAX && !self.slots.contains_key(&at) {
            self.sweep(now);
            if self.slots.len() >= KEYS_MAX {
                return ClaimReply::Running;
            }
        }
        let free = Slot { request, recorded: None, until: now + HORIZON };
        let slot = self.slots.entry(at).or_insert_with(|| free.clone());
        if slot.until <= now {
            *slot = free;
        }
        match &slot.recorded {
            _ if slot.request == request => ClaimReply::First,
            Some(recorded) => ClaimReply::Done(recorded.clone()),
            None => ClaimReply::Running,
        }
    }

    /// Notes the outcome. *Not run* frees the key again.
    pub fn close(
        &mut self,
        account: &id::Account,
        key: &str,
        request: id::Request,
        outcome: KeyedOutcome,
        now: Millis,
    ) {
        let at = (account.clone(), key.to_owned());
        if outcome == KeyedOutcome::NotRun {
            if self.slots.get(&at).is_some_and(|slot| slot.request == request) {
                self.slots.remove(&at);
            }
            return;
        }
        let closed = Slot { request, recorded: Some(outcome), until: now + HORIZON };
        let slot = self.slots.entry(at).or_insert_with(|| closed.clone());
        if slot.request == request {
            *slot = closed;
        }
    }

    /// Forgets keys beyond the horizon.
    pub fn sweep(&mut self, now: Millis) {
        self.slots.retain(|_, slot| slot.until > now);
    }

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}

/// The nodes that own a key, best first.
pub fn find_owners<'a>(account: &id::Account, key: &str, nodes: &'a [view::Node]) -> Vec<&'a view::Node> {
    let key = format!("{account}/{key}");
    let names = pick_owners(&key, nodes.iter().map(|node| &node.id), OWNERS);
    names.into_iter().filter_map(|name| nodes.iter().find(|node| node.id == *name)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn account() -> id::Account {
        "acme".parse().unwrap()
    }

    #[test]
    fn only_the_first_request_gets_the_key() {
        let mut ledger = Ledger::default();
        let (one, two) = (id::Request(1), id::Request(2));
        assert_eq!(ledger.open(&account(), "k", one, Millis(0)), ClaimReply::First);
        assert_eq!(ledger.open(&account(), "k", two, Millis(1)), ClaimReply::Running);
        ledger.close(&account(), "k", one, KeyedOutcome::MayHaveRun, Millis(2));
        assert_eq!(ledger.open(&account(), "k", two, Millis(3)), ClaimReply::Done(KeyedOutcome::MayHaveRun));
    }

    #[test]
    fn a_request_that_did_not_run_frees_its_key_and_no_other() {
        let mut ledger = Ledger::default();
        let (one, two) = (id::Request(1), id::Request(2));
        ledger.open(&account(), "k", one, Millis(0));
        ledger.close(&account(), "k", two, KeyedOutcome::NotRun, Millis(1));
        assert_eq!(ledger.open(&account(), "k", two, Millis(2)), ClaimReply::Running);
        ledger.close(&account(), "k", one, KeyedOutcome::NotRun, Millis(3));
        assert_eq!(ledger.open(&account(), "k", two, Millis(4)), ClaimReply::First);
    }

    #[test]
    fn keys_are_forgotten_after_the_horizon() {
        let mut ledger = Ledger::default();
        ledger.open(&account(), "k", id::Request(1), Millis(0));
        assert_eq!(ledger.open(&account(), "k", id::Request(2), HORIZON), ClaimReply::First);
        ledger.sweep(HORIZON + HORIZON);
        assert!(ledger.is_empty());
    }

    fn node(n: usize, since: u64) -> view::Node {
        view::Node {
            id: format!("n{n}").parse().unwrap(),
            entry: "127.0.0.1:1".parse().unwrap(),
            since: Millis(since),
        }
    }

    #[test]
    fn a_key_runs_only_if_an_owner_can_know_that_it_is_new() {
        let now = Millis(10_000_000);
        let (old, old_too, young) = (node(0, 0), node(1, 0), node(2, now.0 - 5));
        let nodes = [old.clone(), old_too.clone(), young.clone()];
        let first = || Some(ClaimReply::First);
        assert_eq!(judge(&[(&old, first()), (&young, first())], &nodes, now), Verdict::Run);
        assert_eq!(judge(&[(&old, None), (&young, first())], &nodes, now), Verdict::Unsure);
        assert_eq!(judge(&[(&old, first()), (&old_too, None)], &nodes, now), Verdict::Run);
        assert_eq!(
            judge(&[(&old, first()), (&young, Some(ClaimReply::Running))], &nodes, now),
            Verdict::Running
        );
        let fresh = [young.clone(), node(3, now.0)];
        assert_eq!(judge(&[(&fresh[0], first()), (&fresh[1], first())], &fresh, now), Verdict::Run);
        assert_eq!(judge(&[(&fresh[0], first()), (&fresh[1], None)], &fresh, now), Verdict::Unsure);
        assert_eq!(judge(&[], &[], now), Verdict::Unsure);
    }

    #[test]
    fn the_loss_of_one_owner_leaves_the_other() {
        let nodes: Vec<_> = (0..9).map(|n| node(n, 0)).collect();
        for key in (0..100).map(|k| k.to_string()) {
            let before = find_owners(&account(), &key, &nodes);
            let rest: Vec<_> = nodes.iter().filter(|node| node.id != before[0].id).cloned().collect();
            assert_eq!(find_owners(&account(), &key, &rest)[0].id, before[1].id);
        }
    }
}
