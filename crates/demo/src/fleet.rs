//! A small fleet on loopback: stand-ins for everything outside, and the real
//! code of entries and controllers. Tests and the demo share it.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use cottoncrank::config::Fence;
use cottoncrank::registry::find_route;
use cottoncrank::view::{Condition, View};
use cottoncrank::wire::{Listed, Reply};
use cottoncrank::{Millis, Size, id};
use cottoncrank_controller::Controller;
use cottoncrank_controller::operate::execute;
use cottoncrank_controller::settings::{Settings as ControllerSettings, Spread};
use cottoncrank_entry::Entry;
use cottoncrank_entry::settings::Settings as EntrySettings;
use cottoncrank_net::reach::Reach;
use cottoncrank_standin::engine::{Engines, Speed};
use cottoncrank_standin::list::List;
use cottoncrank_standin::listen;
use cottoncrank_standin::service::Service;
use cottoncrank_standin::store::Store;
use cottoncrank_standin::weights::Weights;
use thiserror::Error;

/// The bearer token of the demo's only account.
pub const TOKEN: &str = "secret";

/// How the fleet is built.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Data halls; each has one fabric domain and one group.
    pub halls: usize,
    /// Nodes in each hall.
    pub nodes: usize,
    /// Runners in each hall.
    pub runners: usize,
    /// Runners of each group.
    pub size: usize,
    /// Whether the runners check fences.
    pub fence: Fence,
    /// Loading weights takes the weights store this long.
    pub load: Millis,
    /// How fast the engines are.
    pub speed: Speed,
    /// Whether entries run; without them the controllers' views are looked at.
    pub entries: bool,
    /// How the configuration spreads.
    pub spread: Spread,
}

impl Default for Plan {
    /// The fleet of the demo.
    fn default() -> Plan {
        Plan {
            halls: 2,
            nodes: 2,
            runners: 5,
            size: 4,
            fence: Fence::Checked,
            load: Millis(50),
            speed: Speed::default(),
            entries: true,
            spread: Spread::Gossip,
        }
    }
}

/// Something that did not come about in time, or did not start.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A part could not be started.
    #[error("start: {0}")]
    Io(#[from] io::Error),
    /// A state that was waited for did not come.
    #[error("`{0}` did not come about within {1}")]
    Late(String, Millis),
    /// A command was refused.
    #[error("the command `{line}` was refused: {answer}")]
    Refused {
        /// The command.
        line: String,
        /// The answer.
        answer: String,
    },
}

/// A node: one entry and one controller.
pub struct Node {
    /// Its hall.
    pub hall: usize,
    /// Its controller; none while it is stopped.
    pub controller: Option<Controller>,
    /// Its entry; none while it is stopped.
    pub entry: Option<Entry>,
    /// What its controller can reach.
    pub reach: Reach,
    settings: (ControllerSettings, EntrySettings),
}

/// Everything outside of cottoncrank.
pub struct Standins {
    /// The engines, hall by hall.
    pub engines: Engines,
    /// The platform's store.
    pub store: Store,
    /// The platform's list.
    pub list: List,
    /// A plain service.
    pub service: Service,
    _weights: Weights,
}

impl Standins {
    /// Starts them.
    pub fn start(plan: &Plan) -> Result<Standins, FleetError> {
        let weights = Weights::start(listen()?, plan.load)?;
        let listeners: io::Result<Vec<_>> =
            (0..plan.halls * plan.runners).map(|_| Ok((listen()?, plan.fence))).collect();
        Ok(Standins {
            engines: Engines::start(listeners?, plan.speed, Some(weights.address()), 2)?,
            store: Store::start(listen()?)?,
            list: List::start(listen()?, Millis(500))?,
            service: Service::start(listen()?)?,
            _weights: weights,
        })
    }
}

/// The fleet.
pub struct Fleet {
    /// How it was built.
    pub plan: Plan,
    /// The nodes, hall by hall.
    pub nodes: Vec<Node>,
    /// Everything outside.
    pub outside: Standins,
    runtime: tokio::runtime::Handle,
}

/// The name of a hall's group.
pub fn group(hall: usize) -> String {
    format!("group-{hall}")
}

/// The name of a runner.
pub fn runner(hall: usize, at: usize) -> String {
    format!("runner-{hall}-{at}")
}

impl Fleet {
    /// Starts everything; nothing is configured yet.
    pub fn start(plan: Plan, runtime: &tokio::runtime::Handle) -> Result<Fleet, FleetError> {
        let outside = Standins::start(&plan)?;
        Fleet::start_within(plan, outside, runtime)
    }

    /// Starts the nodes among stand-ins that run already.
    pub fn start_within(
        plan: Plan,
        outside: Standins,
        runtime: &tokio::runtime::Handle,
    ) -> Result<Fleet, FleetError> {
        let mut fleet = Fleet { plan, nodes: Vec::new(), outside, runtime: runtime.clone() };
        fleet.start_nodes()?;
        Ok(fleet)
    }

    fn start_nodes(&mut self) -> Result<(), FleetError> {
        let count = self.plan.halls * self.plan.nodes;
        let controllers: io::Result<Vec<_>> = (0..count).map(|_| listen()).collect();
        let controllers = controllers?;
        let seeds: io::Result<Vec<SocketAddr>> =
            controllers.iter().step_by(self.plan.nodes).map(|listener| listener.local_addr()).collect();
        let seeds = seeds?;
        for (at, listener) in controllers.into_iter().enumerate() {
            let (callers, peers) = (listen()?, listen()?);
            let hall = at / self.plan.nodes;
            let node: id::Node =
                format!("node-{hall}-{}", at % self.plan.nodes).parse().map_err(io::Error::other)?;
            let controller = ControllerSettings {
                node: node.clone(),
                hall: format!("hall-{hall}").parse().map_err(io::Error::other)?,
                listen: listener.local_addr()?,
                entry: peers.local_addr()?,
                public: None,
                store: self.outside.store.address(),
                list: self.outside.list.address(),
                seeds: seeds.clone(),
                spread: self.plan.spread,
                memory: Size::megabytes(256),
            };
            let entry = EntrySettings {
                node,
                listen: callers.local_addr()?,
                peer: peers.local_addr()?,
                public: None,
                controller: listener.local_addr()?,
                threads: 1,
                route: "two-choices".to_owned(),
                body_max: 1 << 20,
                memory: Size::megabytes(256),
                deadline: Millis(30_000),
                balancer_lag: Millis(0),
                drain_max: Millis(30_000),
            };
            let policy = find_route(&entry.route).map_err(io::Error::other)?;
            let reach = Reach::default();
            let controls =
                Controller::start_within(controller.clone(), reach.clone(), listener, &self.runtime)?;
            let enters = match self.plan.entries {
                true => Some(Entry::start(entry.clone(), policy, callers, peers, &self.runtime)?),
                false => None,
            };
            self.nodes.push(Node {
                hall,
                controller: Some(controls),
                entry: enters,
                reach,
                settings: (controller, entry),
            });
        }
        Ok(())
    }

    /// Stops a node's controller and entry as a crash would.
    pub fn kill_node(&mut self, at: usize) {
        self.nodes[at].entry = None;
        self.nodes[at].controller = None;
    }

    /// Stops a node's controller alone.
    pub fn kill_controller(&mut self, at: usize) {
        self.nodes[at].controller = None;
    }

    /// Starts a node's controller again at its address, with an empty memory.
    pub fn revive_controller(&mut self, at: usize) -> Result<(), FleetError> {
        let settings = self.nodes[at].settings.0.clone();
        let listener = std::net::TcpListener::bind(settings.listen)?;
        let reach = self.nodes[at].reach.clone();
        self.nodes[at].controller = Some(Controller::start_within(settings, reach, listener, &self.runtime)?);
        Ok(())
    }

    /// Where callers reach a node.
    pub fn entry(&self, at: usize) -> SocketAddr {
        self.nodes[at].settings.1.listen
    }

    /// A controller that runs, the first one.
    pub fn controller(&self) -> &Controller {
        let running = self.nodes.iter().find_map(|node| node.controller.as_ref());
        running.expect("a fleet without any controller is not asked")
    }

    /// Carries out an operator's command, or several lines as one change, at
    /// the first running controller.
    pub async fn command(&self, line: &str) -> Result<Reply, FleetError> {
        let reply = execute(self.controller().state(), line).await;
        match reply.ok {
            true => Ok(reply),
            false => Err(FleetError::Refused {
                line: line.to_owned(),
                answer: reply.table.rows.concat().join(" "),
            }),
        }
    }

    /// The lines that configure the halls, runners, groups, service and account.
    pub fn script(&self) -> Vec<String> {
        let fence = match self.plan.fence {
            Fence::Checked => "checked",
            Fence::Unchecked => "unchecked",
        };
        let mut lines = vec![
            format!("create account demo token {TOKEN}"),
            format!("create service prices addresses {}", self.outside.service.address()),
        ];
        let addresses = self.outside.engines.addresses();
        for hall in 0..self.plan.halls {
            lines.push(format!("create domain domain-{hall} hall hall-{hall}"));
            for at in 0..self.plan.runners {
                let (name, address) = (runner(hall, at), addresses[hall * self.plan.runners + at]);
                lines.push(format!(
                    "create runner {name} domain domain-{hall} address {address} fence {fence}"
                ));
            }
            let (name, size) = (group(hall), self.plan.size);
            lines.push(format!("create group {name} domain domain-{hall} model tiny-1 size {size}"));
        }
        lines
    }

    /// Configures everything and waits until every group is open everywhere.
    pub async fn configure(&self) -> Result<(), FleetError> {
        self.command(&self.script().join("\n")).await?;
        self.wait_open().await
    }

    /// The views by which work is routed: those of the entries, or where none
    /// run those of the controllers.
    pub fn views(&self) -> Vec<View> {
        let view = |node: &Node| match (&node.entry, &node.controller) {
            (Some(entry), _) => Some(entry.state().view().as_ref().clone()),
            (None, Some(controller)) => Some(controller.state().view.borrow().clone()),
            (None, None) => None,
        };
        self.nodes.iter().filter_map(view).collect()
    }

    /// Whether every group is open in every view.
    pub fn is_open(&self) -> bool {
        self.views().iter().all(|view| {
            view.groups.len() == self.plan.halls
                && view.groups.iter().all(|group| group.condition == Condition::Open)
        })
    }

    /// Waits until every group is open in every view.
    pub async fn wait_open(&self) -> Result<(), FleetError> {
        self.wait("every group serves", Millis(30_000), || self.is_open()).await
    }

    /// Waits until every node counts every other as live.
    pub async fn wait_met(&self) -> Result<(), FleetError> {
        self.wait("the nodes have met", Millis(30_000), || {
            let controllers = self.nodes.iter().filter_map(|node| node.controller.as_ref());
            let live = |c: &Controller| c.state().members().iter().filter(|member| member.live).count();
            let running = controllers.clone().count();
            controllers.into_iter().all(|controller| live(controller) == running)
        })
        .await
    }

    /// Cuts a hall from the other halls and from the platform.
    pub fn cut_hall(&self, hall: usize) {
        let address = |node: &Node| node.settings.0.listen;
        let (inside, outside): (Vec<&Node>, Vec<&Node>) =
            self.nodes.iter().partition(|node| node.hall == hall);
        let platform = [self.outside.store.address(), self.outside.list.address()];
        for node in &inside {
            node.reach.cut(outside.iter().map(|node| address(node)).chain(platform));
        }
        for node in &outside {
            node.reach.cut(inside.iter().map(|node| address(node)));
        }
    }

    /// Ends every cut.
    pub fn heal(&self) {
        for node in &self.nodes {
            node.reach.heal();
        }
    }

    /// The condition of a group in the view of a node, with its generation.
    pub fn condition(&self, at: usize, name: &str) -> Option<(Condition, id::Generation)> {
        let view = self.views().into_iter().nth(at)?;
        let group = view.groups.iter().find(|group| group.id.as_str() == name)?;
        Some((group.condition, group.generation))
    }

    /// The members of a group as its domain's document in the store has them,
    /// as indices of engines.
    pub fn members(&self, name: &str) -> Vec<usize> {
        let state = self.controller().state();
        let table = state.table.lock();
        let key = cottoncrank::row::Key::Group(name.parse().expect("a group's name"));
        let Some(cottoncrank::row::Body::Group(Some(row))) = table.get(&key).map(|held| &held.row.body)
        else {
            return Vec::new();
        };
        let index: BTreeMap<String, usize> = (0..self.plan.halls)
            .flat_map(|hall| (0..self.plan.runners).map(move |at| (hall, at)))
            .map(|(hall, at)| (runner(hall, at), hall * self.plan.runners + at))
            .collect();
        row.group.members.iter().map(|place| index[place.runner.as_str()]).collect()
    }

    /// Changes a line of the platform's list.
    pub fn list_runner(&self, name: &str, live: bool, leaving: bool) {
        let runner = name.parse().expect("a runner's name");
        self.outside.list.set(vec![Listed { runner, live, leaving }]);
    }

    /// Waits until `done`, looking every few milliseconds.
    pub async fn wait(&self, what: &str, longest: Millis, done: impl Fn() -> bool) -> Result<(), FleetError> {
        for _ in 0..longest.0 / 10 {
            if done() {
                return Ok(());
            }
            tokio::time::sleep(Millis(10).duration()).await;
        }
        Err(FleetError::Late(what.to_owned(), longest))
    }
}
