//! The claims of the idempotency keys that one entry owns.
//!
//! The owners of a key are the two live nodes of the hall with the highest scores. Both
//! are asked before a request with the key runs. A repeated request at any entry box gets
//! the outcome of the first one as long as one of the two owners is alive.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::hash::pick_owners;
use crate::id;
use crate::view;
use crate::wire::{ClaimReply, KeyedOutcome};

/// The decision whether a request with a key may run.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The request may run.
    Run,
    /// Another request with this key is in flight.
    Running,
    /// Another request with this key has finished.
    Done(KeyedOutcome),
    /// It is unknown whether a request with this key has run before.
    Unsure,
}

/// Decides from the owners' replies whether a request may run. `None` is an owner that did
/// not reply.
///
/// If an owner knows the key, its reply is the result. Otherwise the key is certainly new
/// only if an owner that replied has been a node of the hall for at least [`KEY_TTL`]. A hall
/// without such a node has just been started; there, all owners have to reply.
pub fn resolve_claims(
    owners: &[(&view::Node, Option<ClaimReply>)],
    nodes: &[view::Node],
    now: Millis,
) -> Verdict {
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
    let is_old = |node: &view::Node| now.since(node.since) >= KEY_TTL;
    let has_old_owner = owners.iter().any(|(node, claimed)| claimed.is_some() && is_old(node));
    let all_answered = !owners.is_empty() && owners.iter().all(|(_, claimed)| claimed.is_some());
    let is_new_hall = !nodes.iter().any(is_old);
    match has_old_owner || (is_new_hall && all_answered) {
        true => Verdict::Run,
        false => Verdict::Unsure,
    }
}

/// The number of nodes that own a key.
pub const OWNERS_PER_KEY: usize = 2;

/// How long a key is kept.
pub const KEY_TTL: Millis = Millis(600_000);

/// The maximum number of keys kept. Requests with further new keys are rejected.
pub const MAX_KEYS: usize = 200_000;

#[derive(Clone, Debug)]
struct Claim {
    request: id::Request,
    recorded: Option<KeyedOutcome>,
    expires: Millis,
}

/// The claimed keys of one shard.
#[derive(Debug, Default)]
pub struct Claims {
    claims: HashMap<(id::Account, String), Claim>,
}

impl Claims {
    /// Claims the key for `request` if it is free. The same request may claim it again.
    pub fn open(
        &mut self,
        account: &id::Account,
        key: &str,
        request: id::Request,
        now: Millis,
    ) -> ClaimReply {
        let index = (account.clone(), key.to_owned());
        if self.claims.len() >= MAX_KEYS && !self.claims.contains_key(&index) {
            self.evict_expired(now);
            if self.claims.len() >= MAX_KEYS {
                return ClaimReply::Running;
            }
        }
        let new_claim = Claim { request, recorded: None, expires: now + KEY_TTL };
        let claim = self.claims.entry(index).or_insert_with(|| new_claim.clone());
        if claim.expires <= now {
            *claim = new_claim;
        }
        match &claim.recorded {
            _ if claim.request == request => ClaimReply::First,
            Some(recorded) => ClaimReply::Done(recorded.clone()),
            None => ClaimReply::Running,
        }
    }

    /// Records the outcome of `request`. [`KeyedOutcome::NotRun`] frees the key.
    pub fn close(
        &mut self,
        account: &id::Account,
        key: &str,
        request: id::Request,
        outcome: KeyedOutcome,
        now: Millis,
    ) {
        let index = (account.clone(), key.to_owned());
        if outcome == KeyedOutcome::NotRun {
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

    /// Evicts the keys that are older than [`KEY_TTL`].
    pub fn evict_expired(&mut self, now: Millis) {
        self.claims.retain(|_, claim| claim.expires > now);
    }

    /// Returns the number of keys kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}

/// Returns the nodes that own a key, highest score first.
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
        assert_eq!(claims.open(&account(), "k", one, Millis(0)), ClaimReply::First);
        assert_eq!(claims.open(&account(), "k", two, Millis(1)), ClaimReply::Running);
        claims.close(&account(), "k", one, KeyedOutcome::MayHaveRun, Millis(2));
        assert_eq!(claims.open(&account(), "k", two, Millis(3)), ClaimReply::Done(KeyedOutcome::MayHaveRun));
    }

    #[test]
    fn a_request_that_did_not_run_frees_only_its_own_key() {
        let mut claims = Claims::default();
        let (one, two) = (id::Request(1), id::Request(2));
        claims.open(&account(), "k", one, Millis(0));
        claims.close(&account(), "k", two, KeyedOutcome::NotRun, Millis(1));
        assert_eq!(claims.open(&account(), "k", two, Millis(2)), ClaimReply::Running);
        claims.close(&account(), "k", one, KeyedOutcome::NotRun, Millis(3));
        assert_eq!(claims.open(&account(), "k", two, Millis(4)), ClaimReply::First);
    }

    #[test]
    fn keys_expire_after_the_ttl() {
        let mut claims = Claims::default();
        claims.open(&account(), "k", id::Request(1), Millis(0));
        assert_eq!(claims.open(&account(), "k", id::Request(2), KEY_TTL), ClaimReply::First);
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
    fn a_request_runs_only_if_its_key_is_certainly_new() {
        let now = Millis(10_000_000);
        let (old, old_too, young) = (node(0, 0), node(1, 0), node(2, now.0 - 5));
        let nodes = [old.clone(), old_too.clone(), young.clone()];
        let first = || Some(ClaimReply::First);
        assert_eq!(resolve_claims(&[(&old, first()), (&young, first())], &nodes, now), Verdict::Run);
        assert_eq!(resolve_claims(&[(&old, None), (&young, first())], &nodes, now), Verdict::Unsure);
        assert_eq!(resolve_claims(&[(&old, first()), (&old_too, None)], &nodes, now), Verdict::Run);
        assert_eq!(
            resolve_claims(&[(&old, first()), (&young, Some(ClaimReply::Running))], &nodes, now),
            Verdict::Running
        );
        let fresh = [young.clone(), node(3, now.0)];
        assert_eq!(resolve_claims(&[(&fresh[0], first()), (&fresh[1], first())], &fresh, now), Verdict::Run);
        assert_eq!(resolve_claims(&[(&fresh[0], first()), (&fresh[1], None)], &fresh, now), Verdict::Unsure);
        assert_eq!(resolve_claims(&[], &[], now), Verdict::Unsure);
    }

    #[test]
    fn the_loss_of_one_owner_keeps_the_other() {
        let nodes: Vec<_> = (0..9).map(|n| node(n, 0)).collect();
        for key in (0..100).map(|k| k.to_string()) {
            let before = find_owners(&account(), &key, &nodes);
            let rest: Vec<_> = nodes.iter().filter(|node| node.id != before[0].id).cloned().collect();
            assert_eq!(find_owners(&account(), &key, &rest)[0].id, before[1].id);
        }
    }
}
