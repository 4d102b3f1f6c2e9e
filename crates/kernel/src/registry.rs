//! The registry in which plug-ins enter themselves.
//!
//! A plug-in is a name with a value that the program picks once, at start;
//! on the request path the value is a plain enum.

use thiserror::Error;

use crate::route;

/// A plug-in by name.
pub struct Plugin {
    /// The name that settings give.
    pub name: &'static str,
    /// One line for `--help` and the docs.
    pub about: &'static str,
    /// What it brings.
    pub kind: Kind,
}

/// The kinds of plug-ins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A policy that picks a group for a request.
    Route(route::Policy),
}

inventory::collect!(Plugin);

/// A name that no plug-in has.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("there is no routing policy `{name}`; there are {known}")]
pub struct UnknownError {
    name: String,
    known: String,
}

/// The routing policy of that name.
pub fn find_route(name: &str) -> Result<route::Policy, UnknownError> {
    let found = list_routes().find(|(known, ..)| *known == name);
    found.map(|(_, _, policy)| policy).ok_or_else(|| {
        let mut known: Vec<&str> = list_routes().map(|(name, ..)| name).collect();
        known.sort_unstable();
        UnknownError { name: name.to_owned(), known: known.join(", ") }
    })
}

/// Every routing policy with its name and description.
pub fn list_routes() -> impl Iterator<Item = (&'static str, &'static str, route::Policy)> {
    inventory::iter::<Plugin>.into_iter().map(|plugin| {
        let Kind::Route(policy) = plugin.kind;
        (plugin.name, plugin.about, policy)
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn policies_are_found_by_name() {
        assert_eq!(find_route("two-choices"), Ok(route::Policy::TwoChoices));
        let unknown = find_route("best").unwrap_err().to_string();
        assert!(unknown.contains("round-robin"), "{unknown}");
    }
}
