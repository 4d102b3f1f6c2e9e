//! Elects the node that plans the groups of the fleet, and lets this one plan while it holds the lease.
//!
//! Any node can become the decider; a lease in the store elects one. Plans are written on the condition
//! that the lease's key is unchanged, so a node that has lost the lease without knowing it writes
//! nothing.

mod look;
mod report;
mod term;

use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_fleet::position::{Era, Position};
use cottoncrank_platform::item::Item;
use cottoncrank_platform::store::{Commit, Lease, Outcome};
use rand::Rng;

use self::look::Look;
use self::term::{EndError, Holding, LEASE_MARGIN, RETRY_INTERVAL, SHORTEST_LEASE, Term};
use crate::past;
use crate::plans::{Plans, read_plans};
use crate::state::{DeciderLease, Node};

/// The key that is bound to the lease. Its value names the decider.
pub const LEASE_KEY: &str = "decider";

/// How long a lease is asked for, to last without being renewed. After the decider is lost, no group is repaired
/// for this long.
const LEASE_TTL: Millis = Millis(1600);

/// The delay of a candidate for each candidate that ranks before it; jitter adds up to the same again.
/// Most candidates then see that another one was elected and save the store two calls. The others learn
/// of an election after about 50 ms.
const CANDIDATE_DELAY: Millis = Millis(20);

/// The upper limit of a candidate's delay before jitter, because all candidates that rank before it may
/// be disconnected.
const MAX_CANDIDATE_DELAY: Millis = Millis(2000);

/// The pause after a campaign, during which the outcome arrives from the store.
const ELECTION_PAUSE: Millis = Millis(250);

/// The pause after a lease that is too short to be kept. All nodes ask for one meanwhile, and each costs two calls.
const SHORT_LEASE_PAUSE: Millis = Millis(5000);

/// How often a node that is not ready to become the decider checks again.
const NOT_READY_PAUSE: Millis = Millis(50);

/// Campaigns for the lease whenever it is free, and acts as the decider while holding it.
pub async fn run(node: Arc<Node>) {
    let mut decider = node.decider.subscribe();
    // The store era of this node's last campaign, and whether the node was the decider when that era
    // ended.
    let (mut era, mut was_decider) = (None, false);
    loop {
        // The sender lives as long as the node.
        let _ = decider.wait_for(|holder| !is_held(holder)).await;
        if !is_candidate(&node) {
            tokio::time::sleep(NOT_READY_PAUSE.duration()).await;
            continue;
        }
        let store_era = node.store.era();
        let lease = LEASE_TTL.max(node.settings().lease_min);
        let (delay, reason) = match era {
            Some(era) if store_era > era && was_decider => {
                (Millis(0), "it was the decider before the store was restored")
            }
            // The former decider may be disconnected from the store and still rely on its lease.
            Some(era) if store_era > era => (lease, "the decider before the store was restored may go on"),
            // The store may have been restored just now without the plans of groups that serve. Nodes
            // that have copies of these plans campaign first.
            None if store_era > Era::default() => (
                lease + lease,
                "it has just started, and others may have plans that the store has lost, unless all say that they have none",
            ),
            _ => (find_candidate_delay(&node), "other candidates come first"),
        };
        log::info!("decider: no node is; waits for {delay} before it campaigns in era {store_era}: {reason}");
        let mut look = None;
        if era.is_none() && store_era > Era::default() {
            // Losses from before are known by the end of the wait.
            look = Some(Look::begin(&node));
            let is_early = past::wait_campaign(&node, store_era, lease).await;
            // All that have just started find that out at once.
            let delay = if is_early { find_candidate_delay(&node) } else { Millis(0) };
            tokio::time::sleep(delay.duration()).await;
        } else {
            tokio::time::sleep(delay.duration()).await;
        }
        (era, was_decider) = (Some(store_era), false);
        let holder = decider.borrow_and_update().clone();
        if is_held(&holder) {
            continue;
        }
        let former_position = holder.map(|holder| holder.position);
        match campaign(&node, former_position).await {
            Ok(Some((holding, plans))) => {
                let look = look.unwrap_or_else(|| Look::begin(&node));
                let mut term = Term::new(node.clone(), holding, plans, &look);
                let position = term.lease_position();
                log::info!("decider: this node is the decider since store position {position}");
                let duty = Duty::begin(&node, look, &term);
                let Err(end) = term.run().await;
                was_decider = node.store.era() != position.era();
                drop(duty);
                log::warn!("decider: this node is no longer the decider: {end}");
                if let Err(error) = node.store.revoke_lease(term.lease()).await {
                    log::info!("decider: the lease was not ended and expires by itself: {error}");
                }
            }
            Ok(None) => {}
            Err(error @ EndError::ShortLease(_)) => {
                log::error!("decider: not elected: {error}; asks again in {SHORT_LEASE_PAUSE}");
                tokio::time::sleep(SHORT_LEASE_PAUSE.duration()).await;
            }
            Err(error) => log::info!("decider: not elected: {error}"),
        }
        tokio::time::sleep(ELECTION_PAUSE.duration()).await;
    }
}

/// The duty of the decider. It ends when this is dropped, be it by a panic.
struct Duty {
    node: Arc<Node>,
    _look: Look,
}

impl Duty {
    fn begin(node: &Arc<Node>, look: Look, term: &Term) -> Duty {
        node.set_deciding_until(term.end());
        Duty { node: node.clone(), _look: look }
    }
}

impl Drop for Duty {
    fn drop(&mut self) {
        self.node.set_deciding_until(Millis(0));
    }
}

/// Whether this node could act as the decider at present.
fn is_candidate(node: &Node) -> bool {
    // Runners that a node does not know of would seem to be gone.
    let knows_fleet = node.is_synced() && !node.knows_part() && node.catalog.lock().is_some();
    knows_fleet && !*node.draining.borrow() && !node.is_cut_off()
}

/// Returns how long this node waits for the candidates that rank before it.
fn find_candidate_delay(node: &Node) -> Millis {
    let rank = node.directory.lock().rank_candidate(&node.settings().node) as u64;
    let jitter = Millis(rand::rng().random_range(0..CANDIDATE_DELAY.0));
    Millis(CANDIDATE_DELAY.0 * rank).min(MAX_CANDIDATE_DELAY) + jitter
}

/// Whether the lease is held, as far as the lease's key says. If the key has a lease but an invalid
/// value, the lease counts as held, because its holder may be the decider until the lease is over.
fn is_held(holder: &Option<DeciderLease>) -> bool {
    holder.as_ref().is_some_and(|holder| holder.leased)
}

/// Asks the store for the lease. `former_position` is the store position of a key that is left without
/// a lease.
async fn campaign(
    node: &Node,
    former_position: Option<Position>,
) -> Result<Option<(Holding, Plans)>, EndError> {
    let asked = node.now();
    let wanted = LEASE_TTL.max(node.settings().lease_min);
    let lease = node.store.open_lease(wanted).await?;
    let won = match find_sure_time(lease, wanted) {
        Ok(ttl) => take_lease(node, lease, former_position, asked, ttl).await,
        Err(error) => Err(error),
    };
    if won.is_err() {
        // Its key may be bound to it by now, and nobody could campaign until it expires.
        if let Err(error) = node.store.revoke_lease(lease).await {
            log::info!("decider: the lease was not ended and expires by itself: {error}");
        }
    }
    won
}

/// Returns how long a lease is relied on without being renewed: not beyond the time granted, nor beyond the one
/// asked for, as that is what other nodes wait for after the store was restored.
fn find_sure_time(lease: Lease, wanted: Millis) -> Result<Millis, EndError> {
    let granted = lease.ttl();
    if granted < SHORTEST_LEASE {
        return Err(EndError::ShortLease(granted));
    }
    if granted != wanted {
        log::warn!("decider: the store grants a lease of {granted}, {wanted} were asked for");
    }
    Ok(granted.min(wanted))
}

/// Binds the lease's key to a lease that was asked for at `asked` and lasts for `ttl`, and reads the plans. Returns
/// `None` if another node was first.
async fn take_lease(
    node: &Node,
    lease: Lease,
    former_position: Option<Position>,
    asked: Millis,
    ttl: Millis,
) -> Result<Option<(Holding, Plans)>, EndError> {
    let commit = Commit {
        expect: vec![(LEASE_KEY.to_owned(), former_position)],
        puts: vec![(LEASE_KEY.to_owned(), node.settings().node.as_str().into(), Some(lease))],
        ..Commit::default()
    };
    let Outcome::Done(position) = node.store.commit(&commit).await? else { return Ok(None) };
    loop {
        match read_plans(node).await {
            Ok(plans) => return Ok(Some((Holding { lease, position, asked, ttl }, plans))),
            Err(error) if node.now() + LEASE_MARGIN + RETRY_INTERVAL >= asked + ttl => {
                return Err(error.into());
            }
            Err(error) => log::info!("decider: the plans could not be read: {error}"),
        }
        tokio::time::sleep(RETRY_INTERVAL.duration()).await;
    }
}

/// Decodes the holder of the lease from the lease's key.
pub fn decode_holder(item: &Item) -> DeciderLease {
    let name = std::str::from_utf8(&item.value).ok().and_then(|name| name.parse().ok());
    if name.is_none() {
        log::error!("store: the value of `{}` is not the name of a node", item.key);
    }
    DeciderLease { position: item.position, leased: item.leased, node: name }
}
