//! Rendezvous hashing: selects the members of a set that own a key.
//!
//! Each pair of a member and a key has a score; the members with the highest scores own
//! the key. When a member joins or leaves, only the keys that it owns or owned change
//! owners (Thaler and Ravishankar, 1998).

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the 64-bit hash of `bytes`, which is the same on every node.
pub fn hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the score of `member` for `key`.
pub fn score(key: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64(key.as_bytes()))
}

/// Returns the `count` members with the highest scores for `key`, best first, or all
/// members if there are fewer.
///
/// The result does not depend on the order of `members`.
pub fn pick_owners<'a, M>(key: &str, members: impl IntoIterator<Item = &'a M>, count: usize) -> Vec<&'a M>
where
    M: AsRef<str> + ?Sized + 'a,
{
    let mut scored: Vec<(u64, &M)> = members.into_iter().map(|m| (score(key, m.as_ref()), m)).collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    scored.truncate(count);
    scored.into_iter().map(|(_, m)| m).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_leaving_member_moves_only_its_own_keys() {
        let all: Vec<String> = (0..20).map(|n| format!("node-{n}")).collect();
        let rest = &all[1..];
        for key in (0..200).map(|k| format!("key-{k}")) {
            let before = pick_owners(&key, &all, 2);
            let after = pick_owners(&key, rest, 2);
            if !before.contains(&&all[0]) {
                assert_eq!(before, after);
            }
        }
    }

    #[test]
    fn shares_are_balanced() {
        let all: Vec<String> = (0..70).map(|n| format!("node-{n}")).collect();
        let mut counts = vec![0usize; 70];
        for key in (0..7000).map(|k| format!("runner-{k}")) {
            for owner in pick_owners(&key, &all, 2) {
                counts[all.iter().position(|m| m == owner).unwrap()] += 1;
            }
        }
        assert!(counts.iter().all(|count| (120..=290).contains(count)), "{counts:?}");
    }
}
