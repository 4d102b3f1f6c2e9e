//! The kernel of cottoncrank, a serving system for models that span several
//! boxes: ids, clock, settings, messages and all decisions as pure functions.
//!
//! Decision code opens no connection and reads no clock. The programs
//! (`cottoncrank-entry`, `cottoncrank-controller`, `cottoncrank-ctl`) pass in
//! time, randomness and messages, and execute the decisions.
//!
//! Start with [`config`] (the operators' configuration), [`domain`] (which
//! runner is in which group), [`row`] and [`table`] (the state that nodes exchange),
//! then read [`decide`], [`evidence`] and [`view`] (the decisions based on them).
//!
//! ```
//! use cottoncrank::config::{Document, Entry, Key, Kind};
//! use cottoncrank::id::{Proposal, Revision};
//!
//! // An operator adds a fabric domain: the configuration is now at revision 1.
//! let empty = Document::default();
//! let entry = Entry::Domain { hall: "hall-a".parse()? };
//! let one = empty.change(Key::new(Kind::Domain, "d1"), Some(entry), Proposal(7))?;
//! assert_eq!(one.revision, Revision(1));
//!
//! // A node at revision 0 moves to revision 1 and never back.
//! let mut node = Document::default();
//! assert!(node.apply(one.delta(node.revision)));
//! assert!(!node.apply(empty.delta(Revision(0))));
//! assert_eq!(node, one);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod budget;
pub mod claim;
pub mod clock;
pub mod command;
pub mod config;
pub mod decide;
pub mod domain;
pub mod engine;
pub mod evidence;
pub mod hash;
pub mod id;
pub mod line;
pub mod member;
pub mod outcome;
pub mod program;
pub mod registry;
pub mod resources;
pub mod retry;
pub mod route;
pub mod row;
pub mod settings;
pub mod size;
pub mod table;
pub mod view;
pub mod wire;

pub use clock::{Clock, Millis};
pub use size::Size;
