//! Deciding for the fleet, while this node holds the lease for it.
//!
//! Any node can decide; the store's lease names one. Plans are written under
//! the condition that the lease's key has not changed, so a node that lost it
//! unawares writes nothing. Orders follow what was written, and an order that
//! comes late names an epoch that is over.

use std::collections::HashMap;
use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::adopt::adopt;
use cottoncrank_fleet::catalog::Service;
use cottoncrank_fleet::census::{self, Census};
use cottoncrank_fleet::decide::{Step, step};
use cottoncrank_fleet::demand::Share;
use cottoncrank_fleet::memory::Memory;
use cottoncrank_fleet::order::Order;
use cottoncrank_fleet::plan::Document;
use cottoncrank_fleet::position::{Era, Position};
use cottoncrank_fleet::probe::Probes;
use cottoncrank_fleet::snapshot::Snapshot;
use cottoncrank_net::client::{Client, Traffic};
use cottoncrank_platform::item::Item;
use cottoncrank_platform::order::{self, Reply};
use cottoncrank_platform::store::{Commit, Lease, Outcome, StoreError};
use parking_lot::Mutex;
use rand::Rng;
use thiserror::Error;

use crate::era;
use crate::news;
use crate::plans::{Kept, PlanError, Plans, read_plans, write_plan};
use crate::prober;
use crate::state::{DeciderLease, Node};
use crate::telemetry;

/// The key that goes with the lease; its value names the deciding node.
pub const LEASE_KEY: &str = "decider";

/// How long the lease lasts without being renewed. A lost decider leaves groups
/// unrepaired for this long.
const LEASE: Millis = Millis(1600);

/// How often the lease is renewed; two renewals may fail.
const RENEW: Millis = Millis(400);

/// A decider stops this long before its lease may be over.
const LEASE_MARGIN: Millis = Millis(300);

/// Each candidate waits for this long for each one before it, and up to this long more,
/// so that most see that one was first and spare the store two calls. An election is
/// known to the others after some 50 ms.
const CANDIDACY: Millis = Millis(20);

/// No candidate waits longer than this for those before it: they may all be cut off.
const CANDIDACY_MAX: Millis = Millis(2000);

/// The pause after standing: the store tells of the outcome meanwhile.
const STOOD: Millis = Millis(250);

/// How often a node that knows too little to decide looks again.
const UNABLE: Millis = Millis(50);

/// How often a decider looks at the fleet when nothing has changed.
const LOOK: Millis = Millis(250);

/// While the plan of a domain cannot be read, all are read anew this often: an operator may
/// have removed it.
const REREAD: Millis = Millis(2000);

/// What the runners of a service are doing is logged once in this time at most.
const CENSUS: Millis = Millis(500);

/// Changes are gathered for this long before the decider looks.
const GATHER: Millis = Millis(30);

/// How long an order may take. Runners answer within milliseconds.
const ORDER: Millis = Millis(1000);

/// A write takes at most this many documents at once, the store's limit less the lease.
const WRITES_MAX: usize = 15;

/// Why a node stopped deciding.
#[derive(Debug, Error)]
enum EndError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("another node holds the lease")]
    Deposed,
    #[error("the lease may be over")]
    Expired,
    #[error("the store has come back from an older copy, which has another lease or none")]
    CameBack,
    #[error(transparent)]
    Plan(#[from] PlanError),
}

/// A term of deciding.
struct Term {
    node: Arc<Node>,
    client: Client,
    lease: Lease,
    /// Where the lease's key was written.
    position: Position,
    /// Until when the lease surely lasts.
    until: Millis,
    /// When it was last renewed.
    renewed: Millis,
    plans: Plans,
    memory: Arc<Mutex<Memory>>,
    probes: Arc<Mutex<Probes>>,
    /// What was last logged of each service, and when.
    census: HashMap<id::Service, (Census, Millis)>,
    /// The parts of the runners that were last logged of each service.
    parts: HashMap<id::Service, Vec<Share>>,
}

/// Stands for the lease whenever it is free, and decides while holding it.
pub async fn run(node: Arc<Node>) {
    let mut decider = node.decider.subscribe();
    // The era in which this node last stood, and whether it decided when that ended.
    let (mut era, mut led) = (None, false);
    loop {
        // The sender lives as long as the node.
        let _ = decider.wait_for(|holder| !is_held(holder)).await;
        if !node.is_synced() || *node.draining.borrow() || node.catalog.lock().is_none() {
            tokio::time::sleep(UNABLE.duration()).await;
            continue;
        }
        let now_in = node.store.era();
        let lease = LEASE.max(node.settings().lease_min);
        let turn = match era {
            Some(era) if now_in > era && led => Millis(0),
            // Whoever decided before may be cut off from the store, and sure of its lease.
            Some(era) if now_in > era => lease,
            // The store may have come back just now without the plans that groups serve by: those
            // that know them go first.
            None if now_in > Era::default() => lease + lease,
            _ => find_turn(&node),
        };
        tokio::time::sleep(turn.duration()).await;
        (era, led) = (Some(now_in), false);
        let holder = decider.borrow_and_update().clone();
        if is_held(&holder) {
            continue;
        }
        let before = holder.map(|holder| holder.position);
        match stand(&node, before).await {
            Ok(Some(mut term)) => {
                log::info!("decider: this node decides from {}", term.position);
                let (node, client, probes) = (node.clone(), term.client.clone(), term.probes.clone());
                let prober = tokio::spawn(prober::run(node, client, probes));
                term.node.set_deciding(true);
                let Err(end) = term.hold().await;
                led = term.node.store.era() != term.position.era();
                term.node.set_deciding(false);
                prober.abort();
                log::warn!("decider: this node decides no more: {end}");
                if let Err(error) = term.node.store.revoke_lease(term.lease).await {
                    log::info!("decider: the lease runs out by itself: {error}");
                }
            }
            Ok(None) => {}
            Err(error) => log::info!("decider: not elected: {error}"),
        }
        tokio::time::sleep(STOOD.duration()).await;
    }
}

/// How long a candidate waits for those before it.
fn find_turn(node: &Node) -> Millis {
    let before = node.directory.lock().rank_candidate(&node.settings().node) as u64;
    let jitter = Millis(rand::rng().random_range(0..CANDIDACY.0));
    Millis(CANDIDACY.0 * before).min(CANDIDACY_MAX) + jitter
}

/// Whether a node decides, as far as the lease's key says. One that cannot be read, but goes
/// with a lease, is held: its holder may decide until the lease is over.
fn is_held(holder: &Option<DeciderLease>) -> bool {
    holder.as_ref().is_some_and(|holder| holder.leased)
}

/// Asks the store for the lease. `before` is where a key was written that goes with none.
async fn stand(node: &Arc<Node>, before: Option<Position>) -> Result<Option<Term>, EndError> {
    let asked = node.now();
    let ttl = LEASE.max(node.settings().lease_min);
    let lease = node.store.open_lease(ttl).await?;
    let commit = Commit {
        expect: vec![(LEASE_KEY.to_owned(), before)],
        puts: vec![(LEASE_KEY.to_owned(), node.settings().node.as_str().into(), Some(lease))],
        removes: Vec::new(),
    };
    let Outcome::Done(position) = node.store.commit(&commit).await? else { return Ok(None) };
    let plans = read_plans(node).await?;
    Ok(Some(Term {
        node: node.clone(),
        client: Client::new(Traffic::default()),
        lease,
        position,
        until: asked + ttl,
        renewed: asked,
        plans,
        memory: Arc::new(Mutex::new(Memory::resume(&node.stalls.lock()))),
        probes: Arc::default(),
        census: HashMap::new(),
        parts: HashMap::new(),
    }))
}

/// Reads who decides from the lease's key.
pub fn read_holder(item: &Item) -> DeciderLease {
    let name = std::str::from_utf8(&item.value).ok().and_then(|name| name.parse().ok());
    if name.is_none() {
        log::error!("store: `{}` names no node", item.key);
    }
    DeciderLease { position: item.position, leased: item.leased, node: name }
}

impl Term {
    /// Whether this node may still decide.
    fn check(&self) -> Result<(), EndError> {
        if self.node.store.era() != self.position.era() {
            return Err(EndError::CameBack);
        }
        match self.node.now() + LEASE_MARGIN >= self.until {
            true => Err(EndError::Expired),
            false => Ok(()),
        }
    }

    /// Writes the plans again that the store has lost. Groups serve by them, and epochs were
    /// given out.
    async fn put_back(&mut self) -> Result<(), EndError> {
        let mut writes = Vec::new();
        for (domain, document) in era::list_plans(&self.node, self.position.era()) {
            let kept = self.plans.kept.get(&domain);
            if self.plans.closed.contains(&domain)
                || kept.is_some_and(|kept| kept.document.version >= document.version)
            {
                continue;
            }
            let position = kept.and_then(|kept| kept.position);
            self.plans.kept.insert(domain.clone(), Kept { position, document: document.clone() });
            writes.push((domain, document, vec!["put back, the store had lost it".to_owned()]));
        }
        writes.extend(self.adopt());
        for writes in writes.chunks(WRITES_MAX) {
            self.renew().await?;
            if !self.write(writes).await? {
                // What is held now is the older one: nothing is decided from that.
                return Err(EndError::CameBack);
            }
        }
        Ok(())
    }

    /// The plans with groups that serve and stand in none, for the store has lost theirs. A
    /// domain in which one is seen in part is left alone until all is read anew.
    fn adopt(&mut self) -> Vec<(id::Domain, Document, Vec<String>)> {
        let Some(catalog) = self.node.catalog.lock().clone() else { return Vec::new() };
        let adoption = adopt(&catalog.services, &self.node.roster.lock(), &self.plans.list_documents());
        for domain in &adoption.incomplete {
            log::warn!(
                "decider: {domain}: a group is seen in part that stands in no plan; nothing is decided there"
            );
        }
        self.plans.closed.extend(adoption.incomplete);
        let plans = adoption.plans.into_iter().filter(|(domain, _)| !self.plans.closed.contains(domain));
        let reason = || vec!["adopt groups that serve, the store had lost their plan".to_owned()];
        let plans: Vec<_> = plans.map(|(domain, document)| (domain, document, reason())).collect();
        for (domain, document, _) in &plans {
            let kept = self.plans.kept.get(domain);
            let (position, version) = kept.map_or((None, 0), |kept| (kept.position, kept.document.version));
            let document = Document { version, ..document.clone() };
            self.plans.kept.insert(domain.clone(), Kept { position, document });
        }
        plans
    }

    /// Decides until the lease is lost.
    async fn hold(&mut self) -> Result<std::convert::Infallible, EndError> {
        self.put_back().await?;
        loop {
            let now = self.node.now();
            self.check()?;
            self.renew().await?;
            if *self.node.draining.borrow() {
                return Err(EndError::Deposed);
            }
            self.reread(now).await;
            self.decide().await?;
            // A change wakes the decider early; both ways it looks again.
            let _ = tokio::time::timeout(LOOK.duration(), self.node.fleet_changed.notified()).await;
            tokio::time::sleep(GATHER.duration()).await;
        }
    }

    /// Looks whether plans that could not be read can be, or are gone.
    async fn reread(&mut self, now: Millis) {
        if self.plans.closed.is_empty() || now < self.plans.read + REREAD {
            return;
        }
        self.plans.read = now;
        match read_plans(&self.node).await {
            Ok(plans) => self.plans = plans,
            Err(error) => log::info!("decider: plans were not read anew: {error}"),
        }
    }

    /// Renews the lease, if that is due.
    async fn renew(&mut self) -> Result<(), EndError> {
        let asked = self.node.now();
        if asked < self.renewed + RENEW {
            return Ok(());
        }
        self.renewed = asked;
        match self.node.store.renew_lease(self.lease).await {
            Ok(()) => {
                self.until = asked + LEASE.max(self.node.settings().lease_min);
                Ok(())
            }
            Err(error @ StoreError::LeaseExpired) => Err(error.into()),
            Err(error) => {
                log::info!("decider: the lease was not renewed, {} left: {error}", self.until.since(asked));
                Ok(())
            }
        }
    }

    async fn decide(&mut self) -> Result<(), EndError> {
        let Some(catalog) = self.node.catalog.lock().clone() else { return Ok(()) };
        for service in &catalog.services {
            let Some(engine) = &service.engine else { continue };
            let bounds = self.node.settings().bounds.clone();
            let documents = self.plans.list_documents();
            let in_flight = self.node.sum_all_in_flight();
            let refusing = news::list_lasting(&self.node);
            let begun = self.node.now();
            let (step, census) = {
                let roster = self.node.roster.lock();
                let probes = self.probes.lock();
                let scene = Snapshot {
                    service,
                    roster: &roster,
                    plans: &documents,
                    closed: &self.plans.closed,
                    probes: &probes,
                    serving: self.node.is_serving(),
                    ceiling: &bounds.ceiling,
                    stall: bounds.stall,
                    in_flight: in_flight.as_ref(),
                    rejecting: &refusing,
                    now: self.node.now(),
                };
                (step(&scene, &mut self.memory.lock()), census::count(&scene, engine))
            };
            telemetry::record_planning_time(self.node.now().since(begun));
            self.log_census(&service.id, census);
            self.log_parts(service);
            self.carry_out(step).await?;
        }
        Ok(())
    }

    /// Says what the runners of a service are doing, when that has changed.
    fn log_census(&mut self, service: &id::Service, census: Census) {
        let now = self.node.now();
        let last = self.census.get(service);
        if last.is_some_and(|(last, at)| *last == census || now < *at + CENSUS) {
            return;
        }
        log::info!("decider: {service}: {census}");
        self.census.insert(service.clone(), (census, now));
    }

    /// Says which part of the runners each model is to have, when that has changed.
    fn log_parts(&mut self, service: &Service) {
        let parts = self.memory.lock().list_shares(service);
        let told = self.parts.entry(service.id.clone()).or_default();
        let same =
            told.len() == parts.len() && !parts.iter().zip(&*told).any(|(part, told)| part.differs(told));
        if same {
            return;
        }
        for part in &parts {
            log::info!("decider: {}: {part}", service.id);
        }
        *told = parts;
    }

    /// Writes the plans that changed, then gives the orders that follow from them.
    ///
    /// The lease is renewed between the writes: of a fleet with many domains they take longer than
    /// it lasts where the store is slow.
    async fn carry_out(&mut self, step: Step) -> Result<(), EndError> {
        for writes in step.writes.chunks(WRITES_MAX) {
            self.renew().await?;
            if !self.write(writes).await? {
                // Orders follow what is written and nothing else: were the plan made
                // anew, its epochs would be given out a second time.
                return Ok(());
            }
        }
        self.check()?;
        for (runner, order) in step.orders {
            self.give(runner, order);
        }
        Ok(())
    }

    /// The version of the plan that is written next.
    fn next_version(&self, domain: &id::Domain) -> u64 {
        self.plans.kept.get(domain).map_or(0, |kept| kept.document.version) + 1
    }

    /// Writes plans. Returns false if they are not known to stand; what the store
    /// holds has been read then.
    async fn write(&mut self, writes: &[(id::Domain, Document, Vec<String>)]) -> Result<bool, EndError> {
        let mut commit =
            Commit { expect: vec![(LEASE_KEY.to_owned(), Some(self.position))], ..Commit::default() };
        for (domain, document, reasons) in writes {
            let document = Document { version: self.next_version(domain), ..document.clone() };
            let (key, bytes) = write_plan(domain, &document)?;
            let expected = self.plans.kept.get(domain).and_then(|kept| kept.position);
            commit.expect.push((key.clone(), expected));
            commit.puts.push((key, bytes, None));
            for reason in reasons {
                log::info!("decider: {domain}: {reason}");
            }
        }
        match self.node.store.commit(&commit).await {
            Ok(Outcome::Done(position)) => {
                for (domain, document, _) in writes {
                    let version = self.next_version(domain);
                    let document = Document { version, ..document.clone() };
                    self.plans.kept.insert(domain.clone(), Kept { position: Some(position), document });
                }
                Ok(true)
            }
            // After a lost answer the write may stand, or may still be made: both
            // show as a conflict at the next write, and the plans are read anew.
            Ok(Outcome::Conflict) => {
                self.plans = read_plans(&self.node).await?;
                let holder = self.node.decider.borrow().as_ref().map(|holder| holder.position);
                match holder > Some(self.position) {
                    true => Err(EndError::Deposed),
                    false => Ok(false),
                }
            }
            Err(StoreError::LeaseExpired) => Err(StoreError::LeaseExpired.into()),
            Err(StoreError::Restored(_)) => Err(EndError::CameBack),
            Err(error) => {
                log::warn!("decider: plans were perhaps not written: {error}");
                self.plans = read_plans(&self.node).await?;
                Ok(false)
            }
        }
    }

    fn give(&self, runner: id::Runner, order: Order) {
        let known = self
            .node
            .roster
            .lock()
            .get_last_known(&runner)
            .map(|runner| (runner.address, runner.incarnation));
        let Some((address, life)) = known else { return };
        let (node, client, memory) = (self.node.clone(), self.client.clone(), self.memory.clone());
        let (until, era) = (self.until, self.position.era());
        tokio::spawn(async move {
            // The box may have been suspended since the order was decided on.
            if node.now() + LEASE_MARGIN >= until || node.store.era() != era {
                log::warn!("decider: {order:?} to {runner} is not given, the lease may be over");
                return;
            }
            let reply = order::send(&client, address, &runner, &order, ORDER).await;
            match reply {
                Ok(Reply::Taken) => memory.lock().record_acknowledged(&runner, life, &order, node.now()),
                Ok(Reply::Outdated) => memory.lock().record_refused(&runner, &order),
                // It is in no such group, or is no more: as good as having left it.
                Ok(Reply::Unfit | Reply::Gone) if matches!(order, Order::Leave(..)) => {
                    memory.lock().record_acknowledged(&runner, life, &order, node.now());
                }
                Ok(Reply::Gone | Reply::Refused(_)) if matches!(order, Order::Stage(_)) => {
                    memory.lock().record_refused(&runner, &order);
                }
                Ok(Reply::Unfit | Reply::Gone | Reply::Refused(_)) | Err(_) => {}
            }
            log::info!("decider: {order:?} to {runner}: {reply:?}");
        });
    }
}
