//! One term of this node as the decider: it plans the groups of the fleet, writes the plans and sends the
//! orders that follow from them.
//!
//! Orders are sent only for plans that were written. An order that arrives late names an epoch that is over,
//! so the runner rejects it.

mod logging;
mod restore;

use std::collections::HashMap;
use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::callers;
use cottoncrank_fleet::census::{self, Census};
use cottoncrank_fleet::decide::{Step, step};
use cottoncrank_fleet::demand::Share;
use cottoncrank_fleet::memory::Memory;
use cottoncrank_fleet::order::Order;
use cottoncrank_fleet::places;
use cottoncrank_fleet::plan::Document;
use cottoncrank_fleet::position::Position;
use cottoncrank_fleet::probe::Probes;
use cottoncrank_fleet::runner::Place;
use cottoncrank_fleet::snapshot::Snapshot;
use cottoncrank_fleet::waits::{self, Waits};
use cottoncrank_net::client::{CallError, Client};
use cottoncrank_platform::order::{self, Reply};
use cottoncrank_platform::store::{Commit, Lease, Outcome, StoreError};
use parking_lot::Mutex;
use thiserror::Error;

use super::look::Look;
use super::report::{report_unsent, report_write};
use super::{LEASE_KEY, LEASE_TTL};
use crate::evacuation;
use crate::feedback;
use crate::plans::{PlanError, Plans, StoredPlan, encode_plan, find_position, read_plans};
use crate::pressure;
use crate::state::Node;
use crate::telemetry;

/// How often the lease is renewed at least. Two renewals in a row may fail before the lease is over.
const RENEW_INTERVAL: Millis = Millis(400);

/// How often the lease is renewed at least while it lasts, so that a shorter one is kept as well.
const RENEWALS_PER_LEASE: u64 = 4;

/// The shortest lease that can be kept: the margin before its end, a renewal interval, the collecting of changes,
/// and an answer of a slow store.
pub(super) const SHORTEST_LEASE: Millis = Millis(800);

/// How long before the possible end of its lease a decider stops.
pub(super) const LEASE_MARGIN: Millis = Millis(300);

/// How often a decider plans when nothing has changed.
const PLAN_INTERVAL: Millis = Millis(250);

/// How often all plans are read again while the plan of a domain is invalid. An operator may have
/// removed it.
const REREAD_INTERVAL: Millis = Millis(2000);

/// How often outdated plans are read again. All nodes share the store's rate of reads.
pub(super) const RETRY_INTERVAL: Millis = Millis(250);

/// How long changes are collected before the decider plans.
const BATCH_DELAY: Millis = Millis(30);

/// The timeout of an order. Runners answer within milliseconds.
const ORDER_TIMEOUT: Millis = Millis(1000);

/// The maximum number of plans in one write: the store's limit, less one for the lease's key.
const MAX_WRITES: usize = 15;

/// The lease that a term rests on.
pub(super) struct Holding {
    /// The lease.
    pub(super) lease: Lease,
    /// The store position at which this node wrote the lease's key.
    pub(super) position: Position,
    /// When this node asked for the lease.
    pub(super) asked: Millis,
    /// How long the lease is relied on without being renewed.
    pub(super) ttl: Millis,
}

/// Why a node stopped being the decider.
#[derive(Debug, Error)]
pub(super) enum EndError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("another node holds the lease")]
    Deposed,
    #[error("the lease may be over")]
    Expired,
    #[error("the store grants a lease of {0}, which cannot be kept; {SHORTEST_LEASE} can")]
    ShortLease(Millis),
    #[error("this node reaches no runner itself, others do")]
    CutOff,
    #[error("the store was restored from an older copy, which has another lease or none")]
    StoreRestored,
    #[error("the store did not tell what became of a write for {0}")]
    Outdated(Millis),
    #[error("it is not certain that the plans were written again that the store had lost")]
    Unrestored,
    #[error(transparent)]
    Plan(#[from] PlanError),
}

/// What became of a write of plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Write {
    /// The plans were written.
    Done,
    /// Nothing was written.
    Refused,
    /// That is not certain. The plans were read again, or are outdated.
    Unsure,
}

/// One term of this node as the decider.
pub(super) struct Term {
    node: Arc<Node>,
    client: Client,
    lease: Lease,
    /// The store position at which this node wrote the lease's key.
    lease_position: Position,
    /// How long the lease is relied on without being renewed.
    lease_ttl: Millis,
    /// Until when the lease is certain to last.
    lease_end: Millis,
    /// When a renewal was last attempted.
    last_renewed: Millis,
    plans: Plans,
    /// Since when the store may hold other plans than these, so that nothing may be planned from them.
    outdated_since: Option<Millis>,
    memory: Arc<Mutex<Memory>>,
    probes: Arc<Mutex<Probes>>,
    /// The census last logged for each service, and when.
    logged_census: HashMap<id::Service, (Census, Millis)>,
    /// What retired groups wait for, as last logged for each service, and when.
    logged_waits: HashMap<id::Service, (Waits, Millis)>,
    /// The models' shares of the runners, as last logged for each service.
    logged_shares: HashMap<id::Service, Vec<Share>>,
    /// Whether callers count as served, as last logged.
    logged_serving: Option<bool>,
}

impl Term {
    /// Begins a term with the plans as they were read after its begin.
    pub(super) fn new(node: Arc<Node>, holding: Holding, plans: Plans, look: &Look) -> Term {
        let memory = Memory::resume(&node.stalls.lock());
        let probes = look.probes();
        probes.lock().begin_term();
        Term {
            node,
            client: look.client(),
            lease: holding.lease,
            lease_position: holding.position,
            lease_ttl: holding.ttl,
            lease_end: holding.asked + holding.ttl,
            last_renewed: holding.asked,
            plans,
            outdated_since: None,
            memory: Arc::new(Mutex::new(memory)),
            probes,
            logged_census: HashMap::new(),
            logged_waits: HashMap::new(),
            logged_shares: HashMap::new(),
            logged_serving: None,
        }
    }

    /// Returns the lease.
    pub(super) fn lease(&self) -> Lease {
        self.lease
    }

    /// Returns the store position at which this node wrote the lease's key.
    pub(super) fn lease_position(&self) -> Position {
        self.lease_position
    }

    /// Returns when this node ends to act as the decider, if the lease is not renewed.
    pub(super) fn end(&self) -> Millis {
        self.lease_end - LEASE_MARGIN
    }

    /// Returns how often the lease is renewed.
    fn renew_interval(&self) -> Millis {
        RENEW_INTERVAL.min(Millis(self.lease_ttl.0 / RENEWALS_PER_LEASE))
    }

    /// Returns an error if this node may no longer act as the decider.
    fn check_lease(&self) -> Result<(), EndError> {
        if self.node.store.era() != self.lease_position.era() {
            return Err(EndError::StoreRestored);
        }
        match self.node.now() >= self.end() {
            true => Err(EndError::Expired),
            false => Ok(()),
        }
    }

    /// Returns an error if another node should be the decider.
    fn check_duty(&self) -> Result<(), EndError> {
        if *self.node.draining.borrow() {
            return Err(EndError::Deposed);
        }
        match self.node.is_cut_off() {
            true => Err(EndError::CutOff),
            false => Ok(()),
        }
    }

    /// Plans until the lease is lost.
    pub(super) async fn run(&mut self) -> Result<std::convert::Infallible, EndError> {
        self.restore_plans().await?;
        self.log_takeover();
        loop {
            let now = self.node.now();
            self.check_lease()?;
            self.renew_lease().await?;
            self.check_duty()?;
            self.reread_plans(now).await?;
            self.plan_services().await?;
            // The next round begins after a change or after the interval, so the outcome is unused.
            let pause = PLAN_INTERVAL.min(self.renew_interval());
            let _ = tokio::time::timeout(pause.duration(), self.node.fleet_changed.notified()).await;
            tokio::time::sleep(BATCH_DELAY.duration()).await;
        }
    }

    /// Reads the plans again if they are outdated, or some were invalid, in case they have been corrected or
    /// removed. Another node may fare better with a store that does not tell for as long as a lease lasts.
    async fn reread_plans(&mut self, now: Millis) -> Result<(), EndError> {
        let interval = match self.outdated_since {
            Some(_) => RETRY_INTERVAL,
            None if self.plans.closed.is_empty() => return Ok(()),
            None => REREAD_INTERVAL,
        };
        if now >= self.plans.read_at + interval {
            self.read_plans(now).await;
        }
        match self.outdated_since.map(|since| self.node.now().since(since)) {
            Some(outdated) if outdated >= LEASE_TTL => Err(EndError::Outdated(outdated)),
            _ => Ok(()),
        }
    }

    /// Reads the plans. Those known stay where the store does not tell.
    async fn read_plans(&mut self, now: Millis) {
        self.plans.read_at = now;
        match read_plans(&self.node).await {
            Ok(plans) => (self.plans, self.outdated_since) = (plans, None),
            Err(error) => log::info!("decider: the plans could not be read again: {error}"),
        }
    }

    /// Reads the plans that the store may hold instead of the known ones. Where it does not tell, the term goes
    /// on, and nothing is planned until it does.
    async fn refresh_plans(&mut self) {
        let now = self.node.now();
        self.outdated_since.get_or_insert(now);
        self.read_plans(now).await;
    }

    /// Renews the lease if a renewal is due.
    async fn renew_lease(&mut self) -> Result<(), EndError> {
        let asked = self.node.now();
        if asked < self.last_renewed + self.renew_interval() {
            return Ok(());
        }
        self.last_renewed = asked;
        match self.node.store.renew_lease(self.lease).await {
            Ok(()) => {
                self.lease_end = asked + self.lease_ttl;
                self.node.set_deciding_until(self.end());
                Ok(())
            }
            Err(error @ StoreError::LeaseExpired) => Err(error.into()),
            Err(error) => {
                log::info!(
                    "decider: the lease was not renewed, {} left: {error}",
                    self.lease_end.since(asked)
                );
                Ok(())
            }
        }
    }

    /// Plans each service that has an engine, writes the changed plans and sends the orders.
    async fn plan_services(&mut self) -> Result<(), EndError> {
        let Some(catalog) = self.node.catalog.lock().clone() else { return Ok(()) };
        for service in &catalog.services {
            if self.outdated_since.is_some() {
                return Ok(());
            }
            let Some(engine) = &service.engine else { continue };
            let bounds = self.node.settings().bounds.clone();
            let documents = self.plans.list_documents();
            let in_flight = self.node.sum_all_in_flight();
            let serving = self.node.is_serving();
            let rejecting = feedback::list_long_rejecting(&self.node);
            let started = self.node.now();
            let (step, census, waits, evidence) = {
                let roster = self.node.roster.lock();
                let probes = self.probes.lock();
                let pressure = pressure::sum(&self.node, &catalog, &service.id);
                telemetry::set_refused_parts(engine, &pressure);
                let snapshot = Snapshot {
                    service,
                    roster: &roster,
                    plans: &documents,
                    era: self.lease_position.era(),
                    closed: &self.plans.closed,
                    probes: &probes,
                    serving,
                    ceiling: &bounds.ceiling,
                    stall: bounds.stall,
                    in_flight: in_flight.as_ref(),
                    rejecting: &rejecting,
                    pressure: &pressure,
                    now: self.node.now(),
                };
                let mut memory = self.memory.lock();
                let step = step(&snapshot, &mut memory);
                let evidence = callers::find(&snapshot);
                (step, census::count(&snapshot, engine), waits::count(&snapshot, &memory), evidence)
            };
            self.log_serving(evidence);
            telemetry::record_planning_time(self.node.now().since(started));
            self.log_census(&service.id, census);
            self.log_waits(&service.id, waits);
            self.log_shares(service);
            evacuation::log_progress(&self.node, &documents, in_flight.as_ref());
            self.execute(&service.id, step).await?;
            telemetry::set_lent(&self.memory.lock().list_lent(service));
        }
        Ok(())
    }

    /// Writes the plans that changed, then sends the orders that follow from them.
    ///
    /// The lease is renewed between the writes, because in a fleet with many domains and a slow store the
    /// writes take longer than the lease lasts.
    async fn execute(&mut self, service: &id::Service, step: Step) -> Result<(), EndError> {
        for writes in step.writes.chunks(MAX_WRITES) {
            self.renew_lease().await?;
            if self.write(writes).await? != Write::Done {
                // Orders are sent only for plans that are written. If this plan was lost and made again,
                // its epochs would be used a second time.
                report_unsent(service, step.orders.len());
                return Ok(());
            }
        }
        self.check_lease()?;
        self.memory.lock().record_written();
        for note in &step.notes {
            log::info!("decider: {service}: {note}");
        }
        for (runner, order) in step.orders {
            self.send_order(runner, order);
        }
        Ok(())
    }

    /// Returns the version of the plan to be written next.
    fn next_version(&self, domain: &id::Domain) -> u64 {
        self.plans.stored.get(domain).map_or(0, |stored| stored.document.version) + 1
    }

    /// Writes plans.
    async fn write(&mut self, writes: &[(id::Domain, Document, Vec<String>)]) -> Result<Write, EndError> {
        let mut commit =
            Commit { expect: vec![(LEASE_KEY.to_owned(), Some(self.lease_position))], ..Commit::default() };
        for (domain, document, _) in writes {
            let document = Document { version: self.next_version(domain), ..document.clone() };
            let (key, bytes) = encode_plan(domain, &document)?;
            let stored = self.plans.stored.get(domain);
            let expected = stored.and_then(|stored| find_position(&self.node, domain, stored));
            commit.expect.push((key.clone(), expected));
            commit.puts.push((key, bytes, None));
        }
        let started = self.node.now();
        let outcome = self.node.store.commit(&commit).await;
        report_write(writes, &outcome, self.node.now().since(started));
        match outcome {
            Ok(Outcome::Done(position)) => {
                for (domain, document, _) in writes {
                    let version = self.next_version(domain);
                    let document = Document { version, ..document.clone() };
                    self.plans.stored.insert(
                        domain.clone(),
                        StoredPlan { position: Some(position), shared: writes.len() > 1, document },
                    );
                }
                Ok(Write::Done)
            }
            // After a lost answer the write may have been made or may still be made. Both show as a
            // conflict at the next write, and the plans are read again.
            Ok(Outcome::Conflict(_)) => {
                self.refresh_plans().await;
                let holder = self.node.decider.borrow().as_ref().map(|holder| holder.position);
                match holder > Some(self.lease_position) {
                    true => Err(EndError::Deposed),
                    false => Ok(Write::Unsure),
                }
            }
            Err(StoreError::LeaseExpired) => Err(StoreError::LeaseExpired.into()),
            Err(StoreError::Restored(_)) => Err(EndError::StoreRestored),
            Err(StoreError::Busy(_)) => Ok(Write::Refused),
            Err(_) => {
                self.refresh_plans().await;
                Ok(Write::Unsure)
            }
        }
    }

    /// Sends an order in the background and records the runner's answer.
    fn send_order(&self, runner: id::Runner, order: Order) {
        let (place, incarnation) = {
            let roster = self.node.roster.lock();
            let documents = self.plans.stored.values().map(|stored| &stored.document);
            let incarnation = roster.get_last_known(&runner).and_then(|known| known.incarnation);
            (places::find(documents, &roster, &runner), incarnation)
        };
        let Some(Place { address, .. }) = place else {
            return self.memory.lock().record_unsent(&runner, &order);
        };
        let (node, client, memory) = (self.node.clone(), self.client.clone(), self.memory.clone());
        let (lease_end, era) = (self.lease_end, self.lease_position.era());
        tokio::spawn(async move {
            // The box may have been suspended since the order was planned.
            if node.now() + LEASE_MARGIN >= lease_end || node.store.era() != era {
                telemetry::count_unsent_orders("lease", 1);
                log::warn!("decider: {order:?} to {runner} is not sent, the lease may be over");
                memory.lock().record_unsent(&runner, &order);
                return;
            }
            let reply = order::send(&client, address, &runner, &order, ORDER_TIMEOUT).await;
            match reply {
                Ok(Reply::Taken) => {
                    memory.lock().record_acknowledged(&runner, incarnation, &order, node.now())
                }
                Ok(Reply::Outdated) => memory.lock().record_refused(&runner, &order),
                // The runner is not in that group, or is gone, which is as good as having left it.
                Ok(Reply::Unfit | Reply::Gone) if matches!(order, Order::Leave(..)) => {
                    memory.lock().record_acknowledged(&runner, incarnation, &order, node.now());
                }
                // One whose answer is late has most likely taken it, and loads.
                Err(CallError::Timeout { .. }) => {}
                Ok(Reply::Unfit | Reply::Gone | Reply::Refused(_)) | Err(_)
                    if matches!(order, Order::Stage(_)) =>
                {
                    memory.lock().record_refused(&runner, &order);
                }
                Ok(Reply::Unfit | Reply::Gone | Reply::Refused(_)) | Err(_) => {}
            }
            log::info!("decider: {order:?} to {runner}: {reply:?}");
        });
    }
}
