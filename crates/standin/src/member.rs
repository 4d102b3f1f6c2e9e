//! One engine as a member of a replica: its role, its fence, its faults, and
//! the record of what it did.

use std::net::SocketAddr;

use cottoncrank::config::Fence;
use cottoncrank::engine::{Fault, Order, OrderReply, Role, Stage, Status};
use cottoncrank::{Millis, id};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// A request that an engine has taken, for checks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    /// The request.
    pub request: id::Request,
    /// The generation that took it.
    pub generation: id::Generation,
    /// When.
    pub at: Millis,
    /// Whether its caller left, or its answer ended whole.
    pub end: Option<End>,
}

/// How a request ended at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The whole answer was sent.
    Whole,
    /// The caller left.
    Left,
    /// The group broke, or a fault cut it.
    Cut,
}

/// A role as it was obeyed, for checks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Obeyance {
    /// The life.
    pub incarnation: id::Incarnation,
    /// The role, none for a release.
    pub role: Option<Role>,
    /// When.
    pub at: Millis,
}

/// The record of one engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Roles in the order they were obeyed.
    pub roles: Vec<Obeyance>,
    /// Requests in the order they were taken.
    pub taken: Vec<Taken>,
    /// Orders refused because of their generation.
    pub fenced: u32,
}

/// What an engine knows at present.
pub(crate) struct State {
    pub(crate) incarnation: id::Incarnation,
    pub(crate) fence: id::Generation,
    pub(crate) role: Option<Role>,
    pub(crate) members: Vec<SocketAddr>,
    pub(crate) model: Option<id::Model>,
    pub(crate) warm: Option<id::Model>,
    pub(crate) loads: u64,
    pub(crate) ready: bool,
    pub(crate) running: u32,
    pub(crate) backlog: u64,
    pub(crate) checked: Millis,
    pub(crate) fault: Fault,
    pub(crate) dead: bool,
    pub(crate) history: History,
}

/// An engine at its address.
pub(crate) struct Engine {
    pub(crate) address: SocketAddr,
    pub(crate) kind: Fence,
    pub(crate) state: Mutex<State>,
}

/// Rank 0 asks the other ranks whether they take part.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RankCall {
    pub(crate) group: id::Group,
    pub(crate) generation: id::Generation,
}

impl State {
    pub(crate) fn born(now: Millis) -> State {
        State {
            incarnation: id::Incarnation(now.0),
            fence: id::Generation(0),
            role: None,
            members: Vec::new(),
            model: None,
            warm: None,
            loads: 0,
            ready: false,
            running: 0,
            backlog: 0,
            checked: Millis(0),
            fault: Fault::default(),
            dead: false,
            history: History::default(),
        }
    }

    pub(crate) fn report(&self) -> Status {
        let stage = match (&self.role, self.ready) {
            (None, _) => Stage::Idle,
            (Some(_), false) => Stage::Loading,
            (Some(_), true) => Stage::Ready,
        };
        Status {
            incarnation: self.incarnation,
            fence: self.fence,
            role: self.role.clone(),
            stage,
            warm: self.warm.clone(),
            running: self.running,
            backlog: self.backlog,
        }
    }

    pub(crate) fn forget(&mut self, now: Millis) {
        let history = std::mem::take(&mut self.history);
        *self = State { history, ..State::born(now.max(Millis(self.incarnation.0 + 1))) };
    }

    /// Takes a role or gives it up, as the fence allows.
    pub(crate) fn obey(&mut self, order: &Order, kind: Fence, now: Millis) -> OrderReply {
        if let Order::Take { incarnation, .. } = order
            && *incarnation != self.incarnation
        {
            return OrderReply::Reborn { incarnation: self.incarnation };
        }
        let repeated = match order {
            Order::Take { role, .. } => self.role.as_ref() == Some(role),
            Order::Release { .. } => false,
        };
        if repeated {
            return OrderReply::Yes;
        }
        let newer = match order {
            Order::Take { role, .. } => role.generation > self.fence,
            Order::Release { generation } => *generation >= self.fence,
        };
        if kind == Fence::Checked && !newer {
            self.history.fenced += 1;
            return OrderReply::Fenced { held: self.fence };
        }
        self.fence = self.fence.max(order.generation());
        self.ready = false;
        self.loads += 1;
        match order {
            Order::Take { role, model, members, .. } => {
                self.role = Some(role.clone());
                self.members = members.clone();
                self.model = Some(model.clone());
            }
            Order::Release { .. } => {
                self.role = None;
                self.members.clear();
                self.model = None;
            }
        }
        self.history.roles.push(Obeyance { incarnation: self.incarnation, role: self.role.clone(), at: now });
        OrderReply::Yes
    }
}

impl Engine {
    pub(crate) fn set_fault(&self, fault: Fault, now: Millis) {
        let mut state = self.state.lock();
        if fault.reborn {
            state.forget(now);
        }
        state.fault = Fault { reborn: false, ..fault };
    }

    /// Holds the caller while the engine is paused or dead, and slows it down.
    pub(crate) async fn hold(&self) {
        loop {
            let (stopped, slow) = {
                let state = self.state.lock();
                (state.fault.paused || state.dead, state.fault.slow)
            };
            if !stopped {
                let extra = u64::from(slow.saturating_sub(1)) * 10;
                return tokio::time::sleep(Millis(extra).duration()).await;
            }
            tokio::time::sleep(Millis(20).duration()).await;
        }
    }

    /// Does this engine hold a role of this group and generation?
    pub(crate) fn takes_part(&self, rank: &RankCall) -> bool {
        let state = self.state.lock();
        let same = |role: &Role| role.group == rank.group && role.generation == rank.generation;
        state.ready && state.role.as_ref().is_some_and(same)
    }
}
