//! Messages between the system and a runner's model engine.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id;

/// One life of a runner's place in a group: which group, which generation, which rank.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Role {
    /// The group.
    pub group: id::Group,
    /// The generation that gave the role.
    pub generation: id::Generation,
    /// The place inside the group; rank 0 takes the requests.
    pub rank: u16,
}

/// An order to a runner, fenced by its generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Take a role and load the model.
    Take {
        /// The role.
        role: Role,
        /// The life of the runner that the order is for.
        incarnation: id::Incarnation,
        /// The model to load.
        model: id::Model,
        /// The engines of the whole group, in rank order.
        members: Vec<SocketAddr>,
    },
    /// Give up any role up to the generation.
    Release {
        /// Roles up to this generation end.
        generation: id::Generation,
    },
}

impl Order {
    /// The generation that fences the order.
    pub fn generation(&self) -> id::Generation {
        match self {
            Order::Take { role, .. } => role.generation,
            Order::Release { generation } => *generation,
        }
    }
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The order was taken.
    Yes,
    /// The runner has obeyed a newer generation before.
    Fenced {
        /// That generation.
        held: id::Generation,
    },
    /// The order was for an earlier life of the runner.
    Reborn {
        /// Its present life.
        incarnation: id::Incarnation,
    },
}

/// How far a runner is with its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// No role.
    Idle,
    /// Loading weights.
    Loading,
    /// Loaded and able to take part.
    Ready,
}

/// What a runner says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its present life.
    pub incarnation: id::Incarnation,
    /// The newest generation it has obeyed.
    pub fence: id::Generation,
    /// Its role, if any.
    pub role: Option<Role>,
    /// How far it is.
    pub stage: Stage,
    /// The model whose weights it still holds.
    pub warm: Option<id::Model>,
    /// Requests in flight; rank 0 only.
    pub running: u32,
    /// Tokens still to generate for them, as of the last report.
    pub backlog: u64,
}

/// A request to rank 0 of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// The request.
    pub request: id::Request,
    /// The group it is meant for.
    pub group: id::Group,
    /// The generation it is meant for.
    pub generation: id::Generation,
    /// The prompt.
    pub prompt: String,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// Tokens the caller has already; generation goes on behind them.
    pub offset: u32,
    /// Higher goes first.
    pub priority: u8,
}

/// A refusal: the request was not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The request refused.
    pub request: id::Request,
    /// The generation named in the request.
    pub generation: id::Generation,
    /// Why.
    pub reason: Reason,
}

/// Why an engine refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// It is in another group or generation.
    Generation,
    /// It is loading, or a member of the group does not answer.
    Incomplete,
    /// Its queue is full.
    Full,
}

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The request it answers.
    pub request: id::Request,
    /// The generation that runs it.
    pub generation: id::Generation,
    /// Tokens before this frame.
    pub offset: u32,
    /// The text of the tokens in this frame.
    pub text: String,
    /// How many tokens the text has.
    pub tokens: u32,
    /// Set on the last frame.
    pub finish: Option<Finish>,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Finish {
    /// The model had no more to say.
    Stop,
    /// The token limit was reached.
    Length,
}

/// A failure that a test or the demo asks a stand-in to show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Nothing is answered, on any connection.
    pub paused: bool,
    /// Everything takes this many times as long; 0 and 1 are normal.
    pub slow: u32,
    /// The next answer carries another request's id.
    pub crossed: bool,
    /// The next answer ends early, without its last frame.
    pub truncated: bool,
    /// The next answer sends each frame twice.
    pub doubled: bool,
    /// Forget every role, as after a restart nobody saw.
    pub reborn: bool,
    /// The next answer is held back this long before its first frame.
    pub late: Millis,
}
