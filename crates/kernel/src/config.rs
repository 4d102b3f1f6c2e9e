//! The operators' configuration: one document in the platform's store.
//!
//! Every entry has the revision that last changed it, so a node at revision R needs
//! only the entries with a higher revision to reach a later one. The revision of a
//! [`Document`] never decreases.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id;

/// The store key of the document.
pub const KEY: &str = "cottoncrank/config";

/// The kind of an entry. The kind and the name are the entry's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A fabric domain.
    Domain,
    /// A runner.
    Runner,
    /// A serving group.
    Group,
    /// A plain service.
    Service,
    /// A client account.
    Account,
}

impl Kind {
    /// All kinds, in the order of the document.
    pub const ALL: [Kind; 5] = [Kind::Domain, Kind::Runner, Kind::Group, Kind::Service, Kind::Account];
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Domain => "domain",
            Kind::Runner => "runner",
            Kind::Group => "group",
            Kind::Service => "service",
            Kind::Account => "account",
        })
    }
}

/// An error for an unknown kind of entry.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` is no kind of entry; the kinds are domain, runner, group, service and account")]
pub struct KindError(String);

impl FromStr for Kind {
    type Err = KindError;
    fn from_str(text: &str) -> Result<Kind, KindError> {
        let singular = text.strip_suffix('s').unwrap_or(text);
        Kind::ALL
            .into_iter()
            .find(|kind| kind.to_string() == singular)
            .ok_or_else(|| KindError(text.to_owned()))
    }
}

/// Whether a runner checks the generation of orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fence {
    /// The runner rejects orders of an older generation.
    #[default]
    Checked,
    /// The runner executes every order, so the system has to send them in sequence.
    Unchecked,
}

/// One entry of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A fabric domain, which is in one data hall.
    Domain {
        /// The hall.
        hall: id::Hall,
    },
    /// A runner that the system may use.
    Runner {
        /// Its fabric domain.
        domain: id::Domain,
        /// Where its engine listens.
        address: SocketAddr,
        /// Whether it checks the generation of orders.
        fence: Fence,
        /// Whether the operators have drained it.
        drained: bool,
    },
    /// A serving group that the system has to form.
    Group {
        /// The fabric domain of its runners.
        domain: id::Domain,
        /// The model and version it serves.
        model: id::Model,
        /// The number of runners in it.
        size: u16,
        /// The accounts that it serves; empty for all.
        accounts: Vec<id::Account>,
    },
    /// A plain service.
    Service {
        /// Where its backend servers listen.
        addresses: Vec<SocketAddr>,
    },
    /// A client account.
    Account {
        /// The bearer token that identifies it.
        token: String,
        /// Its share of the fleet, relative to the other accounts.
        share: u32,
        /// The maximum number of its requests in flight in the whole fleet.
        limit: u32,
    },
}

impl Entry {
    /// Returns the kind of this entry.
    pub fn kind(&self) -> Kind {
        match self {
            Entry::Domain { .. } => Kind::Domain,
            Entry::Runner { .. } => Kind::Runner,
            Entry::Group { .. } => Kind::Group,
            Entry::Service { .. } => Kind::Service,
            Entry::Account { .. } => Kind::Account,
        }
    }
}

/// The key of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The kind.
    pub kind: Kind,
    /// The name, unique within the kind.
    pub name: String,
}

impl Key {
    /// Returns the key of the entry `name` of the kind `kind`.
    pub fn new(kind: Kind, name: impl fmt::Display) -> Key {
        Key { kind, name: name.to_string() }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

/// An entry, or the tombstone of a deleted one, with the revision that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedEntry {
    /// The revision that last changed the entry.
    pub revision: id::Revision,
    /// The entry, or `None` if that revision deleted it.
    pub entry: Option<Entry>,
}

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The revision, zero before the first change.
    pub revision: id::Revision,
    /// The latest writes with the revisions they created, oldest first.
    pub writes: VecDeque<(id::Revision, id::Proposal)>,
    /// The oldest revision from which a delta can start. Tombstones up to it are removed.
    pub floor: id::Revision,
    #[serde(rename = "slots")]
    entries: BTreeMap<Key, VersionedEntry>,
}

/// The changes between two revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The minimum revision of a document to which the delta applies.
    pub base: id::Revision,
    /// The revision of the document after the delta.
    pub revision: id::Revision,
    /// The latest writes of the source document.
    pub writes: VecDeque<(id::Revision, id::Proposal)>,
    /// The floor of the source document.
    pub floor: id::Revision,
    /// Every entry and tombstone with a revision above `base`.
    #[serde(rename = "slots")]
    pub entries: Vec<(Key, VersionedEntry)>,
}

/// The reason for which a change is rejected. The configuration stays unchanged.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeError {
    /// The entry does not exist.
    #[error("there is no {0}")]
    Missing(String),
    /// The entry exists already.
    #[error("{0} exists already")]
    Exists(String),
    /// The entry refers to another one that does not exist.
    #[error("{key} needs {needs}, which does not exist")]
    Dangling {
        /// The entry.
        key: String,
        /// The entry that it refers to.
        needs: String,
    },
    /// Other entries refer to the one to be deleted.
    #[error("{key} is still used by {user}")]
    Used {
        /// The entry.
        key: String,
        /// One of the entries that refer to it.
        user: String,
    },
    /// The size of a group is zero.
    #[error("group {0} needs a size of at least 1")]
    Size(String),
    /// Two accounts have the same token.
    #[error("the token of {key} is taken by {other}")]
    Token {
        /// The entry.
        key: String,
        /// The account that has the token.
        other: String,
    },
    /// The change requires a revision that is not the current one.
    #[error("the configuration is at revision {found}, not {wanted}")]
    Revision {
        /// The required revision.
        wanted: id::Revision,
        /// The current revision.
        found: id::Revision,
    },
}

/// The number of writes kept. They show whether a write took effect when its reply is lost.
pub const MAX_WRITES: usize = 16;

/// The number of revisions for which the tombstone of a deleted entry is kept.
pub const TOMBSTONE_REVISIONS: u64 = 256;

impl Document {
    /// Returns the entry of `key`.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)?.entry.as_ref()
    }

    /// Returns the revision that last changed the entry of `key`.
    pub fn last_changed(&self, key: &Key) -> Option<id::Revision> {
        self.entries.get(key).map(|versioned| versioned.revision)
    }

    /// Returns every entry with its key, in the order of the document.
    pub fn list_entries(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter().filter_map(|(key, versioned)| Some((key, versioned.entry.as_ref()?)))
    }

    /// Returns the names and entries of one kind.
    pub fn list_kind(&self, kind: Kind) -> impl Iterator<Item = (&str, &Entry)> {
        self.list_entries()
            .filter(move |(key, _)| key.kind == kind)
            .map(|(key, entry)| (key.name.as_str(), entry))
    }

    /// Returns the revision that a write created, if it is one of the latest [`MAX_WRITES`].
    pub fn find_write(&self, proposal: id::Proposal) -> Option<id::Revision> {
        self.writes.iter().find(|(_, written)| *written == proposal).map(|(revision, _)| *revision)
    }

    /// Returns the hall of a domain.
    pub fn find_hall(&self, domain: &id::Domain) -> Option<&id::Hall> {
        match self.get(&Key::new(Kind::Domain, domain))? {
            Entry::Domain { hall } => Some(hall),
            _ => None,
        }
    }

    /// Returns the document after one change. `entry` is `None` to delete the entry.
    pub fn change(
        &self,
        key: Key,
        entry: Option<Entry>,
        proposal: id::Proposal,
    ) -> Result<Document, ChangeError> {
        match &entry {
            Some(entry) => check_entry(self, &key, entry)?,
            None => check_delete(self, &key)?,
        }
        let mut next = self.clone();
        next.revision = self.revision.next();
        // The changes of one batch are a single write.
        next.writes.retain(|(_, written)| *written != proposal);
        next.writes.push_back((next.revision, proposal));
        if next.writes.len() > MAX_WRITES {
            next.writes.pop_front();
        }
        next.floor = id::Revision(next.floor.0.max(next.revision.0.saturating_sub(TOMBSTONE_REVISIONS)));
        next.entries.insert(key, VersionedEntry { revision: next.revision, entry });
        next.entries.retain(|_, versioned| versioned.entry.is_some() || versioned.revision > next.floor);
        Ok(next)
    }

    /// Returns the changes since `base`, or the whole document if `base` is below the floor.
    pub fn delta(&self, base: id::Revision) -> Delta {
        let base = if base < self.floor { id::Revision(0) } else { base };
        let entries = self.entries.iter().filter(|(_, versioned)| versioned.revision > base);
        Delta {
            base,
            revision: self.revision,
            writes: self.writes.clone(),
            floor: self.floor,
            entries: entries.map(|(key, entry)| (key.clone(), entry.clone())).collect(),
        }
    }

    /// Applies the delta if its revision is higher than this one's and its base is not.
    ///
    /// Returns whether the document changed.
    pub fn apply(&mut self, delta: Delta) -> bool {
        if delta.revision <= self.revision || delta.base > self.revision {
            return false;
        }
        if delta.base == id::Revision(0) {
            self.entries.clear();
        }
        self.entries.extend(delta.entries);
        self.entries.retain(|_, versioned| versioned.entry.is_some() || versioned.revision > delta.floor);
        self.revision = delta.revision;
        self.writes = delta.writes;
        self.floor = delta.floor;
        true
    }
}

fn check_entry(document: &Document, key: &Key, entry: &Entry) -> Result<(), ChangeError> {
    let check_exists = |kind, name: &dyn fmt::Display| {
        let required = Key::new(kind, name);
        match document.get(&required) {
            Some(_) => Ok(()),
            None => Err(ChangeError::Dangling { key: key.to_string(), needs: required.to_string() }),
        }
    };
    match entry {
        Entry::Domain { .. } | Entry::Service { .. } => Ok(()),
        Entry::Runner { domain, .. } => check_exists(Kind::Domain, domain),
        Entry::Group { domain, size, accounts, .. } => {
            if *size == 0 {
                return Err(ChangeError::Size(key.name.clone()));
            }
            check_exists(Kind::Domain, domain)?;
            accounts.iter().try_for_each(|account| check_exists(Kind::Account, account))
        }
        Entry::Account { token, .. } => {
            let conflict = document.list_kind(Kind::Account).find(|(name, other)| {
                *name != key.name
                    && matches!(other, Entry::Account { token: other_token, .. } if other_token == token)
            });
            match conflict {
                Some((other, _)) => Err(ChangeError::Token {
                    key: key.to_string(),
                    other: Key::new(Kind::Account, other).to_string(),
                }),
                None => Ok(()),
            }
        }
    }
}

fn check_delete(document: &Document, key: &Key) -> Result<(), ChangeError> {
    if document.get(key).is_none() {
        return Err(ChangeError::Missing(key.to_string()));
    }
    let uses = |entry: &Entry| match (key.kind, entry) {
        (Kind::Domain, Entry::Runner { domain, .. } | Entry::Group { domain, .. }) => {
            domain.as_str() == key.name
        }
        (Kind::Account, Entry::Group { accounts, .. }) => accounts.iter().any(|a| a.as_str() == key.name),
        _ => false,
    };
    match document.list_entries().find(|(_, entry)| uses(entry)) {
        Some((user, _)) => Err(ChangeError::Used { key: key.to_string(), user: user.to_string() }),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    fn hall(name: &str) -> Option<Entry> {
        Some(Entry::Domain { hall: name.parse().unwrap() })
    }

    fn domain(name: &str) -> Key {
        Key::new(Kind::Domain, name)
    }

    #[test]
    fn a_delta_leads_to_the_same_document() {
        let one = Document::default().change(domain("d1"), hall("a"), id::Proposal(1)).unwrap();
        let two = one.change(domain("d2"), hall("b"), id::Proposal(2)).unwrap();
        let three = two.change(domain("d1"), None, id::Proposal(3)).unwrap();
        let mut holder = one.clone();
        assert!(holder.apply(three.delta(holder.revision)));
        assert_eq!(holder, three);
        assert!(!holder.apply(two.delta(id::Revision(0))), "a lower revision is never adopted");
        assert_eq!(holder, three);
    }

    #[test]
    fn a_delta_from_below_the_floor_is_the_whole_document() {
        let mut document = Document::default().change(domain("gone"), hall("a"), id::Proposal(0)).unwrap();
        let old = document.clone();
        document = document.change(domain("gone"), None, id::Proposal(1)).unwrap();
        for n in 0..TOMBSTONE_REVISIONS + 2 {
            document = document.change(domain("d"), hall("a"), id::Proposal(n)).unwrap();
        }
        let mut holder = old;
        assert!(holder.apply(document.delta(holder.revision)));
        assert_eq!(holder, document);
    }

    #[test]
    fn changes_with_dangling_references_are_rejected() {
        let document = Document::default();
        let group = Entry::Group {
            domain: "d1".parse().unwrap(),
            model: "m".parse().unwrap(),
            size: 2,
            accounts: Vec::new(),
        };
        let rejected = document.change(Key::new(Kind::Group, "g"), Some(group.clone()), id::Proposal(1));
        assert_matches!(rejected, Err(ChangeError::Dangling { .. }));
        let document = document.change(domain("d1"), hall("a"), id::Proposal(2)).unwrap();
        let document = document.change(Key::new(Kind::Group, "g"), Some(group), id::Proposal(3)).unwrap();
        assert_matches!(document.change(domain("d1"), None, id::Proposal(4)), Err(ChangeError::Used { .. }));
    }
}
