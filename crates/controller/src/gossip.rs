//! Gossip between controllers: rows of cluster state, configuration and failure detection.
//!
//! Every [`EXCHANGE_INTERVAL`] a node makes a periodic exchange with a peer picked at
//! random, mostly in its own hall. A node that learns an urgent row also pushes it to
//! [`PUSH_FANOUT`] peers at once. Periodic exchanges compare checksums of the tables
//! and so repair what both ways missed. All messages share one [`SendBudget`].

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use cottoncrank::member::Member;
use cottoncrank::row::{Body, Key, Row, Urgency};
use cottoncrank::table::{Scope, Table};
use cottoncrank::wire::{Exchange, PackedExchange};
use cottoncrank::{Millis, config, id};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::state::State;

/// Interval between two periodic exchanges.
pub const EXCHANGE_INTERVAL: Millis = Millis(400);

/// Number of peers to which an urgent row is pushed.
pub const PUSH_FANOUT: usize = 3;

/// Shortest time between two pushes of urgent rows.
const MIN_PUSH_INTERVAL: Millis = Millis(150);

/// Timeout of one message to a peer.
const EXCHANGE_TIMEOUT: Millis = Millis(1000);

/// Rate limit on the bytes that a node sends in exchanges that it initiates or answers,
/// without HTTP headers. A node receives as much on average, so that headers and health
/// checks of runners included it stays within 16 KB per second.
pub const BYTES_PER_SECOND: u64 = 5000;

/// Bytes that may accumulate for a burst.
pub const BURST_BYTES: u64 = 8_000;

/// Largest size of the rows in one message, in bytes before packing.
const MAX_MESSAGE_BYTES: u64 = 6000;

/// Number of periodic exchanges after startup that use the shorter [`JOIN_INTERVAL`],
/// so that a new node fills its table quickly.
const JOIN_EXCHANGES: u64 = 10;

/// A node with fewer rows than this counts as new.
const NEW_NODE_ROWS: usize = 24;

/// Bytes of rows that a new node receives even from a peer that has exhausted its send
/// budget, so that the new node learns of other peers.
const NEW_NODE_MIN_BYTES: usize = 600;

/// Interval between two periodic exchanges of a new node.
const JOIN_INTERVAL: Millis = Millis(100);

/// Largest number of doubts (reports that a node does not answer) about one node. Two
/// are enough for a decision, and without a limit the loss of a hall would cause a
/// report from every node about every node of that hall.
const MAX_DOUBTS: usize = 3;

/// Nodes unreachable for longer than this are not contacted any more.
const ABANDON_AFTER: Millis = Millis(7_200_000);

/// A token bucket that limits the bytes sent by gossip.
#[derive(Debug)]
pub struct SendBudget {
    /// Bytes available. Negative after a message that is sent regardless of the budget,
    /// for example one with a configuration.
    available: i64,
    at: Millis,
}

impl SendBudget {
    /// Creates a full budget.
    pub fn new(now: Millis) -> SendBudget {
        SendBudget { available: BURST_BYTES as i64, at: now }
    }

    /// Returns how many bytes of rows one message may carry now, before packing.
    fn grant(&mut self, now: Millis) -> usize {
        let gained = now.since(self.at).0 * BYTES_PER_SECOND / 1000;
        if gained > 0 {
            self.available = (self.available + gained as i64).min(BURST_BYTES as i64);
            self.at = now;
        }
        self.available.clamp(0, MAX_MESSAGE_BYTES as i64) as usize
    }

    /// Deducts the bytes of a sent message. The debt is limited so that a node from which
    /// many new nodes request rows at once can soon send again.
    fn spend(&mut self, bytes: usize) {
        self.available = (self.available - bytes as i64).max(-(BURST_BYTES as i64));
    }
}

impl State {
    /// Builds a message with pending rows, and with the configuration entries that a peer at
    /// `peer_revision` is missing.
    fn build_exchange(&self, peer_revision: Option<id::Revision>, scope: Scope) -> Exchange {
        let grant = self.send_budget.lock().grant(self.now());
        let rows = self.table.lock().collect_pending(scope, grant);
        let (revision, delta) = self.build_delta(peer_revision);
        Exchange { revision, delta, ..self.message(rows) }
    }

    /// Builds a message that carries only rows.
    fn message(&self, rows: Vec<Row>) -> Exchange {
        Exchange {
            from: self.settings.node.clone(),
            hall: self.settings.hall.clone(),
            revision: self.config.lock().revision,
            delta: None,
            rows,
            total: None,
            sums: None,
            marks: None,
        }
    }

    /// Packs a message and deducts its size from the send budget.
    fn pack(&self, message: &Exchange) -> PackedExchange {
        let packed = PackedExchange::pack(message);
        self.send_budget.lock().spend(packed.len());
        packed
    }

    fn scope_of(&self, hall: &id::Hall) -> Scope {
        if *hall == self.settings.hall { Scope::Hall } else { Scope::Fleet }
    }

    fn build_delta(&self, peer_revision: Option<id::Revision>) -> (id::Revision, Option<config::Delta>) {
        let config = self.config.lock();
        let behind = peer_revision.filter(|peer_revision| *peer_revision < config.revision);
        (config.revision, behind.map(|peer_revision| config.delta(peer_revision)))
    }

    /// Merges a received message. Returns whether it contained new urgent state.
    fn merge_exchange(&self, exchange: Exchange) -> bool {
        let now = self.now();
        let mut urgent = false;
        if let Some(delta) = exchange.delta {
            urgent |= self.adopt(delta, exchange.from.as_str());
        }
        let mut table_changed = false;
        let mut table = self.table.lock();
        for row in exchange.rows {
            let is_urgent = row.urgency() <= Urgency::Start;
            if table.merge(row, now) {
                table_changed = true;
                urgent |= is_urgent;
            }
        }
        drop(table);
        if table_changed {
            self.table_changed.notify_one();
        }
        if urgent {
            self.urgent.notify_one();
        }
        urgent
    }

    /// Answers a peer's message. If the tables still differ after pending rows were
    /// exchanged, the answer carries checksums so that the peer can send what differs.
    pub fn answer_exchange(&self, exchange: Exchange) -> PackedExchange {
        self.withdraw_doubt(&exchange.from);
        let peer_revision = exchange.delta.as_ref().map_or(exchange.revision, |delta| delta.revision);
        let scope = self.scope_of(&exchange.hall);
        let (total, sums, marks) = (exchange.total, exchange.sums.clone(), exchange.marks.clone());
        let mut answer = self.build_exchange(Some(peer_revision), scope);
        self.merge_exchange(exchange);
        if let (Some(sums), Some(marks)) = (&sums, &marks) {
            let is_new_node = marks.len() < NEW_NODE_ROWS;
            let min_bytes = if is_new_node { NEW_NODE_MIN_BYTES } else { 0 };
            answer.rows.extend(self.list_missing_rows(sums, marks, min_bytes));
            answer.marks = (!is_new_node).then(|| self.table.lock().list_marks(sums));
        }
        let affordable = self.send_budget.lock().grant(self.now()) > 0;
        let table = self.table.lock();
        if marks.is_none() && affordable && total.is_some_and(|total| total != table.total(scope)) {
            answer.sums = Some(table.sums(scope).to_vec());
        }
        drop(table);
        answer.revision = self.config.lock().revision;
        self.pack(&answer)
    }

    /// Lists rows that a peer is missing, up to the send budget but at least `min_bytes` bytes.
    fn list_missing_rows(&self, sums: &[u64], marks: &[u32], min_bytes: usize) -> Vec<Row> {
        let grant = self.send_budget.lock().grant(self.now()).max(min_bytes);
        self.table.lock().list_missing(sums, marks, grant, rand::random())
    }

    /// Sends one message to a peer and unpacks its answer.
    async fn send(&self, peer: &Peer, message: &Exchange) -> Option<Exchange> {
        let packed = self.pack(message);
        let answer: PackedExchange =
            self.peers.call(peer.address, "/exchange", &packed, EXCHANGE_TIMEOUT).await.ok()?;
        answer.unpack().ok()
    }

    /// Makes one exchange with a peer and returns whether it answered. With `compare`,
    /// the tables are compared and reconciled as well.
    async fn exchange(&self, peer: &Peer, compare: bool) -> bool {
        let scope = if peer.locality == Locality::SameHall { Scope::Hall } else { Scope::Fleet };
        // Several nodes may contact the same peer about a new configuration at once, so the
        // first message has only the revision. Entries follow if the answer shows them missing.
        let mut message = self.build_exchange(None, scope);
        if compare {
            self.add_comparison(&mut message, scope);
        }
        let Some(answer) = self.send(peer, &message).await else {
            if let Some(id) = &peer.id {
                self.record_doubt(id);
            }
            return false;
        };
        self.withdraw_doubt(&answer.from);
        self.count_exchange();
        let (peer_revision, their_sums) = (answer.revision, answer.sums.clone());
        self.merge_exchange(answer);
        self.follow_up(peer, scope, peer_revision, their_sums).await;
        true
    }

    /// Adds the checksum from which the peer sees whether the tables differ. A new node
    /// adds the marks of its few rows right away and so gets missing rows in the answer.
    fn add_comparison(&self, message: &mut Exchange, scope: Scope) {
        let table = self.table.lock();
        message.total = Some(table.total(scope));
        if table.len() < NEW_NODE_ROWS {
            message.sums = Some(table.sums(scope).to_vec());
            message.marks = Some(table.list_all_marks(scope));
        }
    }

    /// Sends the configuration entries that the peer is missing according to its answer.
    /// If the tables differ, sends the marks of the local rows in the differing parts,
    /// merges the rows returned, and sends those missing from the peer's marks.
    async fn follow_up(
        &self,
        peer: &Peer,
        scope: Scope,
        peer_revision: id::Revision,
        sums: Option<Vec<u64>>,
    ) {
        let (revision, delta) = self.build_delta(Some(peer_revision));
        if delta.is_none() && sums.is_none() {
            return;
        }
        let mut message = Exchange { revision, delta, ..self.message(Vec::new()) };
        if let Some(sums) = &sums {
            let table = self.table.lock();
            message.sums = Some(table.sums(scope).to_vec());
            message.marks = Some(table.list_marks(sums));
        }
        let Some(answer) = self.send(peer, &message).await else { return };
        let marks = answer.marks.clone();
        self.merge_exchange(answer);
        let (Some(sums), Some(marks)) = (sums, marks) else { return };
        let rows = self.list_missing_rows(&sums, &marks, 0);
        if !rows.is_empty()
            && let Some(answer) = self.send(peer, &self.message(rows)).await
        {
            self.merge_exchange(answer);
        }
    }

    /// Records a doubt: this node got no answer from a peer.
    fn record_doubt(&self, of: &id::Node) {
        let mut table = self.table.lock();
        let Some(version) = table.get(&Key::Node(of.clone())).map(|held| held.row.version) else { return };
        if count_doubts(&table, of, version) >= MAX_DOUBTS {
            return;
        }
        let key = Key::Doubt { of: of.clone(), by: self.settings.node.clone() };
        if table.write(key, Body::Doubt { version, held: true }, self.now()) {
            log::warn!("member: {of} does not answer");
        }
    }

    /// Withdraws this node's doubt about a peer that it has heard from.
    fn withdraw_doubt(&self, of: &id::Node) {
        let key = Key::Doubt { of: of.clone(), by: self.settings.node.clone() };
        let mut table = self.table.lock();
        let Some(Body::Doubt { version, held: true }) = table.get(&key).map(|held| held.row.body.clone())
        else {
            return;
        };
        // If the peer's own row is newer, it has already refuted the doubt.
        let present = table.get(&Key::Node(of.clone())).map_or(0, |held| held.row.version);
        if version >= present {
            table.write(key, Body::Doubt { version, held: false }, self.now());
            log::info!("member: {of} answers again");
        }
    }

    /// Refutes doubts about this node by raising the version of its own row.
    fn refute(&self) {
        let me = Key::Node(self.settings.node.clone());
        let mut table = self.table.lock();
        let Some(own) = table.get(&me).map(|held| held.row.clone()) else { return };
        let about_me = |key: &Key| matches!(key, Key::Doubt { of, .. } if *of == self.settings.node);
        let doubted = table.iter().filter(|held| about_me(&held.row.key)).any(
            |held| matches!(held.row.body, Body::Doubt { version, held: true } if version >= own.version),
        );
        if doubted {
            let version = table.next_version(&me, self.now());
            table.merge(Row { version, ..own }, self.now());
            self.urgent.notify_one();
            log::info!("member: refuted a report that this node does not answer");
        }
    }

    fn list_peers(&self) -> Vec<Peer> {
        let members = self.members();
        self.store.set_nodes(members.iter().filter(|member| member.live).count());
        let known: HashSet<SocketAddr> = members.iter().map(|member| member.node.peer).collect();
        let now = self.now();
        let abandoned =
            |member: &Member| member.unreachable_since.is_some_and(|since| now.since(since) > ABANDON_AFTER);
        let others =
            members.into_iter().filter(|member| member.id != self.settings.node && !abandoned(member));
        let mut peers: Vec<Peer> = others.filter(|m| !m.node.leaving).map(|m| Peer::new(m, self)).collect();
        let seeds = self.settings.seeds.iter().filter(|seed| !known.contains(seed));
        peers.extend(seeds.filter(|seed| **seed != self.settings.listen).map(|seed| Peer {
            id: None,
            address: *seed,
            locality: Locality::Unconfirmed,
        }));
        peers
    }
}

/// Counts the doubts in force about this version of a node's row.
fn count_doubts(table: &Table, of: &id::Node, version: u64) -> usize {
    let doubts =
        table.iter().filter(|held| matches!(&held.row.key, Key::Doubt { of: about, .. } if about == of));
    doubts.filter(|held| held.row.body == Body::Doubt { version, held: true }).count()
}

/// A peer for exchanges.
#[derive(Clone)]
struct Peer {
    id: Option<id::Node>,
    address: SocketAddr,
    locality: Locality,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Locality {
    /// Live and in this hall.
    SameHall,
    /// Live and in another hall.
    OtherHall,
    /// Not known to be live: unreachable, or a seed that has not been heard from.
    Unconfirmed,
}

impl Peer {
    fn new(member: Member, state: &State) -> Peer {
        let locality = match (member.live, member.node.hall == state.settings.hall) {
            (false, _) => Locality::Unconfirmed,
            (true, true) => Locality::SameHall,
            (true, false) => Locality::OtherHall,
        };
        Peer { id: Some(member.id), address: member.node.peer, locality }
    }
}

/// Picks the peer of periodic exchange number `round`.
fn pick_peer<'a>(peers: &'a [Peer], round: u64, rng: &mut impl Rng) -> Option<&'a Peer> {
    let order = match round % 6 {
        3 => [Locality::Unconfirmed, Locality::OtherHall, Locality::SameHall],
        1 | 5 => [Locality::OtherHall, Locality::SameHall, Locality::Unconfirmed],
        _ => [Locality::SameHall, Locality::OtherHall, Locality::Unconfirmed],
    };
    order.into_iter().find_map(|locality| {
        let of: Vec<&Peer> = peers.iter().filter(|peer| peer.locality == locality).collect();
        of.choose(rng).copied()
    })
}

/// Picks the peers for a push of urgent rows, one of them in another hall if possible.
fn pick_push_targets<'a>(peers: &'a [Peer], rng: &mut impl Rng) -> Vec<&'a Peer> {
    let mut same_hall: Vec<&Peer> = peers.iter().filter(|peer| peer.locality == Locality::SameHall).collect();
    let mut other_hall: Vec<&Peer> =
        peers.iter().filter(|peer| peer.locality == Locality::OtherHall).collect();
    same_hall.shuffle(rng);
    other_hall.shuffle(rng);
    let mut picked: Vec<&Peer> = other_hall.into_iter().take(1).collect();
    picked.extend(same_hall.into_iter().take(PUSH_FANOUT - picked.len().min(1)));
    picked
}

/// Runs until the task is dropped.
pub async fn run(state: Arc<State>) {
    let mut round = 0;
    loop {
        let wait = if round < JOIN_EXCHANGES { JOIN_INTERVAL } else { EXCHANGE_INTERVAL };
        let jitter = rand::rng().random_range(0..=wait.0 / 4);
        let wait = tokio::time::sleep((wait - Millis(wait.0 / 8) + Millis(jitter)).duration());
        tokio::select! {
            () = wait => {
                exchange_periodically(&state, round);
                round += 1;
            }
            () = state.urgent.notified() => {
                push_urgent_rows(&state);
                tokio::time::sleep(MIN_PUSH_INTERVAL.duration()).await;
            }
        }
    }
}

fn exchange_periodically(state: &Arc<State>, round: u64) {
    state.write_self();
    state.refute();
    let peers = state.list_peers();
    if let Some(peer) = pick_peer(&peers, round, &mut rand::rng()) {
        start_exchange(state, peer.clone(), true);
    }
}

fn push_urgent_rows(state: &Arc<State>) {
    state.write_self_throttled();
    let peers = state.list_peers();
    for peer in pick_push_targets(&peers, &mut rand::rng()) {
        start_exchange(state, peer.clone(), false);
    }
}

/// Starts an exchange in its own task, so that an unresponsive peer does not delay others.
fn start_exchange(state: &Arc<State>, peer: Peer, compare: bool) {
    let state = state.clone();
    tokio::spawn(async move { state.exchange(&peer, compare).await });
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_send_budget_bounds_the_bytes_despite_forced_messages() {
        let mut send_budget = SendBudget::new(Millis(0));
        let (mut spent, seconds) = (0u64, 60u64);
        // Every millisecond a message takes the whole grant, and every 10 s one of 10 000 bytes
        // is sent regardless of the budget.
        for ms in 0..seconds * 1000 {
            let grant = send_budget.grant(Millis(ms)) as u64;
            let forced = if ms % 10_000 == 0 { 10_000 } else { 0 };
            spent += grant + forced;
            send_budget.spend((grant + forced) as usize);
        }
        // The forced messages are deducted from later grants, so only the last may be in debt.
        assert!(
            spent <= BYTES_PER_SECOND * seconds + BURST_BYTES + 10_000 + MAX_MESSAGE_BYTES,
            "{spent} bytes"
        );
        assert!(spent >= BYTES_PER_SECOND * seconds, "{spent} bytes");
    }

    #[test]
    fn an_overdrawn_send_budget_grants_nothing_until_it_is_refilled() {
        let mut send_budget = SendBudget::new(Millis(0));
        send_budget.spend(2 * BURST_BYTES as usize);
        assert_eq!(send_budget.grant(Millis(1000)), 0);
        assert!(send_budget.grant(Millis(20_000)) > 0);
    }
}
