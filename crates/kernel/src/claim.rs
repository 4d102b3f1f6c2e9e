//! The claims of request keys that one entry owns.
//!
//! A key belongs to the two live nodes of the hall with the highest scores, and
//! both have to agree before its request runs. A repeat at any entry box finds
//! the first one's outcome as long as one of the two is still there.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::hash::pick_owners;
use crate::id;
use crate::view;
use crate::wire::{Claimed, Recorded};

/// What the owners' answers mean for a request that wants to run.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It may run.
    Run,
    /// Another request with this key is in flight.
    Running,
    /// Another request with this key has ended.
    Done(Recorded),
    /// Nobody can say whether a request with this key ran before.
    Unsure,
}

/// Weighs the owners' answers; none stands for an owner that did not answer.
///
/// Any owner that knows the key decides. If none does, the key is new for sure
/// only if some owner that answered was an owner all through the horizon; a
/// hall in which no node is that old has just been started, and then all
/// owners have to agree.
pub fn resolve_claims(
    owners: &[(&view::Node, Option<Claimed>)],
    nodes: &[view::Node],
    now: Millis,
) -> Verdict {
    let mut running = false;
    for (_, claimed) in owners {
        match claimed {
            Some(Claimed::Done(recorded)) => return Verdict::Done(recorded.clone()),
            Some(Claimed::Running) => running = true,
            Some(Claimed::First | Claimed::Noted) | None => {}
        }
    }
    if running {
        return Verdict::Running;
    }
    let is_old = |node: &view::Node| now.since(node.since) >= KEY_TTL;
    let has_old_owner = owners.iter().any(|(node, claimed)| claimed.is_some() && is_old(node));
    let all_answered = !owners.is_empty() && owners.iter().all(|(_, claimed)| claimed.is_some());
    let is_new_hall = !nodes.iter().any(is_old);
    match has_old_owner || (is_new_hall && all_answered) {
        true => Verdict::Run,
        false => Verdict::Unsure,
    }
}

/// How many nodes own a key.
pub const OWNERS_PER_KEY: usize = 2;

/// How long a key is remembered.
pub const KEY_TTL: Millis = Millis(600_000);

/// The most keys remembered; above it new keys are refused.
pub const MAX_KEYS: usize = 200_000;

#[derive(Clone, Debug)]
struct Claim {
    request: id::Request,
    recorded: Option<Recorded>,
    expires: Millis,
}

/// The keys of one shard.
#[derive(Debug, Default)]
pub struct Claims {
    claims: HashMap<(id::Account, String), Claim>,
}

impl Claims {
    /// Gives the key to `request` if it is free. The same request may ask twice.
    pub fn open(&mut self, account: &id::Account, key: &str, request: id::Request, now: Millis) -> Claimed {
        let index = (account.clone(), key.to_owned());
        if self.claims.len() >= MAX_KEYS && !self.claims.contains_key(&index) {
            self.evict_expired(now);
            if self.claims.len() >= MAX_KEYS {
                return Claimed::Running;
            }
        }
        let new_claim = Claim { request, recorded: None, expires: now + KEY_TTL };
        let claim = self.claims.entry(index).or_insert_with(|| new_claim.clone());
        if claim.expires <= now {
            *claim = new_claim;
        }
        match &claim.recorded {
            _ if claim.request == request => Claimed::First,
            Some(recorded) => Claimed::Done(recorded.clone()),
            None => Claimed::Running,
        }
    }

    /// Notes the outcome. *Not run* frees the key again.
    pub fn close(
        &mut self,
        account: &id::Account,
        key: &str,
        request: id::Request,
        outcome: Recorded,
        now: Millis,
    ) {
        let index = (account.clone(), key.to_owned());
        if outcome == Recorded::NotRun {
            if self.claims.get(&index).is_some_and(|claim| claim.request == request) {
                self.claims.remove(&index);
            }
            return;
        }
        let closed_claim = Claim { request, recorded: Some(outcome), expires: now + KEY_TTL };
        let claim = self.claims.entry(index).or_insert_with(|| closed_claim.clone());
        if claim.request == request {
            *claim = closed_claim;
        }
    }

    /// Forgets keys beyond the horizon.
    pub fn evict_expired(&mut self, now: Millis) {
        self.claims.retain(|_, claim| claim.expires > now);
    }

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}

/// The nodes that own a key, best first.
pub fn find_owners<'a>(account: &id::Account, key: &str, nodes: &'a [view::Node]) -> Vec<&'a view::Node> {
    let key = format!("{account}/{key}");
    let names = pick_owners(&key, nodes.iter().map(|node| &node.id), OWNERS_PER_KEY);
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
        let mut claims = Claims::default();
        let (one, two) = (id::Request(1), id::Request(2));
        assert_eq!(claims.open(&account(), "k", one, Millis(0)), Claimed::First);
        assert_eq!(claims.open(&account(), "k", two, Millis(1)), Claimed::Running);
        claims.close(&account(), "k", one, Recorded::MayHaveRun, Millis(2));
        assert_eq!(claims.open(&account(), "k", two, Millis(3)), Claimed::Done(Recorded::MayHaveRun));
    }

    #[test]
    fn a_request_that_did_not_run_frees_its_key_and_no_other() {
        let mut claims = Claims::default();
        let (one, two) = (id::Request(1), id::Request(2));
        claims.open(&account(), "k", one, Millis(0));
        claims.close(&account(), "k", two, Recorded::NotRun, Millis(1));
        assert_eq!(claims.open(&account(), "k", two, Millis(2)), Claimed::Running);
        claims.close(&account(), "k", one, Recorded::NotRun, Millis(3));
        assert_eq!(claims.open(&account(), "k", two, Millis(4)), Claimed::First);
    }

    #[test]
    fn keys_are_forgotten_after_the_horizon() {
        let mut claims = Claims::default();
        claims.open(&account(), "k", id::Request(1), Millis(0));
        assert_eq!(claims.open(&account(), "k", id::Request(2), KEY_TTL), Claimed::First);
        claims.evict_expired(KEY_TTL + KEY_TTL);
        assert!(claims.is_empty());
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
        let first = || Some(Claimed::First);
        assert_eq!(resolve_claims(&[(&old, first()), (&young, first())], &nodes, now), Verdict::Run);
        assert_eq!(resolve_claims(&[(&old, None), (&young, first())], &nodes, now), Verdict::Unsure);
        assert_eq!(resolve_claims(&[(&old, first()), (&old_too, None)], &nodes, now), Verdict::Run);
        assert_eq!(
            resolve_claims(&[(&old, first()), (&young, Some(Claimed::Running))], &nodes, now),
            Verdict::Running
        );
        let fresh = [young.clone(), node(3, now.0)];
        assert_eq!(resolve_claims(&[(&fresh[0], first()), (&fresh[1], first())], &fresh, now), Verdict::Run);
        assert_eq!(resolve_claims(&[(&fresh[0], first()), (&fresh[1], None)], &fresh, now), Verdict::Unsure);
        assert_eq!(resolve_claims(&[], &[], now), Verdict::Unsure);
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
