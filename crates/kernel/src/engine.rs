//! Messages between the system and a runner's model engine.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id;

/// The role of a runner: its group, generation and rank.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Role {
    /// The group.
    pub group: id::Group,
    /// The generation that assigned the role.
    pub generation: id::Generation,
    /// The rank in the group; rank 0 receives the requests.
    pub rank: u16,
}

/// An order to a runner, fenced by its generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Start a role and load the model.
    Take {
        /// The role.
        role: Role,
        /// The incarnation of the runner that the order is for.
        incarnation: id::Incarnation,
        /// The model to load.
        model: id::Model,
        /// The engines of the whole group, in rank order.
        members: Vec<SocketAddr>,
    },
    /// End every role up to the generation.
    Release {
        /// The highest generation of the roles that end.
        generation: id::Generation,
    },
}

impl Order {
    /// Returns the generation that fences the order.
    pub fn generation(&self) -> id::Generation {
        match self {
            Order::Take { role, .. } => role.generation,
            Order::Release { generation } => *generation,
        }
    }
}

/// The reply to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The order is accepted.
    Yes,
    /// The runner has already executed an order of a newer generation.
    Fenced {
        /// That generation.
        held: id::Generation,
    },
    /// The order is for an earlier incarnation of the runner.
    Reborn {
        /// The current incarnation.
        incarnation: id::Incarnation,
    },
}

/// The progress of a runner with its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// No role.
    Idle,
    /// Loading weights.
    Loading,
    /// Loaded and ready to serve.
    Ready,
}

/// The state that a runner reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The current incarnation.
    pub incarnation: id::Incarnation,
    /// The newest generation of which it has executed an order.
    pub fence: id::Generation,
    /// Its role, if any.
    pub role: Option<Role>,
    /// The progress with the role.
    pub stage: Stage,
    /// The model whose weights are still loaded, if any.
    pub warm: Option<id::Model>,
    /// Requests in flight; rank 0 only.
    pub running: u32,
    /// Tokens left to generate for these requests, as of the last report.
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
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The number of tokens the caller already has; generation continues after them.
    pub offset: u32,
    /// Requests with a higher priority run first.
    pub priority: u8,
}

/// The rejection of a request, which was not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The rejected request.
    pub request: id::Request,
    /// The generation named in the request.
    pub generation: id::Generation,
    /// The reason.
    pub reason: Reason,
}

/// The reason for which an engine rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The runner is in another group or generation.
    Generation,
    /// The runner is loading, or a member of the group does not respond.
    Incomplete,
    /// The queue is full.
    Full,
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The request it answers.
    pub request: id::Request,
    /// The generation that runs the request.
    pub generation: id::Generation,
    /// The number of tokens before this frame.
    pub offset: u32,
    /// The text of the tokens in this frame.
    pub text: String,
    /// The number of tokens in the text.
    pub tokens: u32,
    /// Why the answer ended; set in the last frame only.
    pub finish: Option<Finish>,
}

/// The reason for which an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Finish {
    /// The model completed the answer.
    Stop,
    /// The token limit was reached.
    Length,
}

/// A fault that a test or the demo injects into a stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// No connection gets an answer.
    pub paused: bool,
    /// The factor by which everything is slower; 0 and 1 are normal.
    pub slow: u32,
    /// The next answer has the id of another request.
    pub crossed: bool,
    /// The next answer ends without its last frame.
    pub truncated: bool,
    /// The next answer sends each frame twice.
    pub doubled: bool,
    /// Every role is lost, as after an unnoticed restart.
    pub reborn: bool,
    /// The delay of the first frame of the next answer.
    pub late: Millis,
}
