//! Identifiers: names and numbers, each kind with its own type.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// An error in parsing a name or number.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum IdError {
    /// The name is empty or longer than [`MAX_NAME_LEN`] bytes.
    #[error("a name has 1 to {MAX_NAME_LEN} characters, `{0}` has {len}", len = .0.len())]
    Length(String),
    /// The name has a character that is not allowed.
    #[error("`{name}` has `{found}`; a name has letters, digits, `-`, `_` and `.` only")]
    Character {
        /// The name as given.
        name: String,
        /// The first character that is not allowed.
        found: char,
    },
    /// The text is not a number.
    #[error("`{0}` is not a number of this kind")]
    Number(String),
}

fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > MAX_NAME_LEN {
        return Err(IdError::Length(text.to_owned()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(IdError::Character { name: text.to_owned(), found }),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $id:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $id(Arc<str>);

        impl $id {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $id {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $id {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $id {
            type Err = IdError;
            fn from_str(text: &str) -> Result<$id, IdError> {
                check_name(text)?;
                Ok($id(text.into()))
            }
        }

        impl TryFrom<String> for $id {
            type Error = IdError;
            fn try_from(text: String) -> Result<$id, IdError> {
                text.parse()
            }
        }

        impl From<$id> for String {
            fn from(id: $id) -> String {
                id.0.as_ref().to_owned()
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $id:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $id(pub u64);

        impl $id {
            /// Returns the next number.
            pub fn next(self) -> $id {
                $id(self.0 + 1)
            }
        }

        impl fmt::Display for $id {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $id {
            type Err = IdError;
            fn from_str(text: &str) -> Result<$id, IdError> {
                text.parse().map($id).map_err(|_| IdError::Number(text.to_owned()))
            }
        }
    };
}

name_type! {
    /// A node: one entry box of the system, with its entry and its controller.
    Node
}
name_type! {
    /// A data hall.
    Hall
}
name_type! {
    /// A fabric domain: backend servers that share a fast network.
    Domain
}
name_type! {
    /// A runner: one backend server box that can be a member of a group.
    Runner
}
name_type! {
    /// A serving group: one replica of a model over several runners.
    Group
}
name_type! {
    /// A model and its version, as named in requests.
    Model
}
name_type! {
    /// A plain service, which needs no model engine.
    Service
}
name_type! {
    /// A client account.
    Account
}

number_type! {
    /// The revision of the accepted configuration. It only increases.
    Revision
}
number_type! {
    /// The generation of a group. It increases with every change in its domain
    /// and fences orders and requests.
    Generation
}
number_type! {
    /// The number of one run of a process. It is higher after each restart.
    Incarnation
}
number_type! {
    /// A caller's request. A duplicate number in the fleet is possible but very unlikely.
    Request
}
number_type! {
    /// A write proposed to the store. It shows whether the write took effect when the reply is lost.
    Proposal
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    #[test]
    fn names_are_checked() {
        assert_eq!("hall-a".parse::<Hall>().unwrap().as_str(), "hall-a");
        assert_matches!("".parse::<Hall>(), Err(IdError::Length(_)));
        assert_matches!("a b".parse::<Node>(), Err(IdError::Character { found: ' ', .. }));
        assert_matches!("x".repeat(65).parse::<Group>(), Err(IdError::Length(_)));
    }

    #[test]
    fn decoding_rejects_an_invalid_name() {
        let bad = rmp_serde::to_vec("a b").unwrap();
        assert!(rmp_serde::from_slice::<Runner>(&bad).is_err());
    }
}
