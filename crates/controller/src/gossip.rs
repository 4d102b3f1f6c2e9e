//! Exchanges between controllers: facts, configuration, and who is live.
//!
//! At rest a node makes one exchange every [`TICK`] with a peer picked at
//! random, mostly in its own hall. An urgent fact is pushed to [`FANOUT`]
//! peers at once by every node that learns it. What either way misses,
//! comparing checksums at rest finds. All of it spends from one allowance of bytes.

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

/// The time between two exchanges at rest.
pub const TICK: Millis = Millis(400);

/// How many peers are told at once of something urgent.
pub const FANOUT: usize = 3;

/// The least time between two hasty pushes.
const HASTE: Millis = Millis(150);

/// How long a peer may take to answer.
const WAIT: Millis = Millis(1000);

/// Bytes a second that a node sends in exchanges it begins or answers, heads of
/// HTTP not counted. Received are as many on the average, so that with the
/// heads and the watching of runners a node stays inside 16 KB a second.
pub const RATE: u64 = 5000;

/// Bytes that can be saved up for a burst.
pub const BURST: u64 = 8_000;

/// Rows in one message, in bytes before they are packed.
const MESSAGE: u64 = 6000;

/// Exchanges after the start that follow each other quickly, so that a new node
/// fills its table at once.
const JOINING: u64 = 10;

/// A node with fewer rows is new.
const NEWCOMER: usize = 24;

/// A newcomer is told this much even by a node that has spent its allowance, so
/// that it knows others to ask.
const NEWCOMER_BYTES: usize = 600;

/// The time between two exchanges of a new node.
const JOIN_TICK: Millis = Millis(100);

/// Doubts about one node that are passed on. Two decide; without a bound a lost
/// hall would bring one from every node about every other.
const DOUBTS_MAX: usize = 3;

/// A node that has not answered for this long is not tried again.
const FORGET: Millis = Millis(7_200_000);

/// The bytes that gossip may send.
#[derive(Debug)]
pub struct Allowance {
    /// Bytes left; below zero after a message that had to go, as one with a
    /// configuration has.
    left: i64,
    at: Millis,
}

impl Allowance {
    /// A full allowance.
    pub fn new(now: Millis) -> Allowance {
        Allowance { left: BURST as i64, at: now }
    }

    /// How much one message may carry now, before it is packed.
    fn grant(&mut self, now: Millis) -> usize {
        let gained = now.since(self.at).0 * RATE / 1000;
        if gained > 0 {
            self.left = (self.left + gained as i64).min(BURST as i64);
            self.at = now;
        }
        self.left.clamp(0, MESSAGE as i64) as usize
    }

    /// The debt is bounded: what many newcomers ask of one node at once must
    /// not keep it silent for long.
    fn spend(&mut self, bytes: usize) {
        self.left = (self.left - bytes as i64).max(-(BURST as i64));
    }
}

impl State {
    /// The sender's half of an exchange with a peer at configuration `theirs`.
    fn compose(&self, theirs: Option<id::Revision>, scope: Scope) -> Exchange {
        let grant = self.allowance.lock().grant(self.now());
        let rows = self.table.lock().collect_pending(scope, grant);
        let (revision, delta) = self.compose_delta(theirs);
        Exchange { revision, delta, ..self.message(rows) }
    }

    /// A message with rows alone.
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

    /// Packs a message and pays for it.
    fn pack(&self, message: &Exchange) -> PackedExchange {
        let packed = PackedExchange::pack(message);
        self.allowance.lock().spend(packed.len());
        packed
    }

    fn scope_of(&self, hall: &id::Hall) -> Scope {
        if *hall == self.settings.hall { Scope::Hall } else { Scope::Fleet }
    }

    fn compose_delta(&self, theirs: Option<id::Revision>) -> (id::Revision, Option<config::Delta>) {
        let config = self.config.lock();
        let behind = theirs.filter(|theirs| *theirs < config.revision);
        (config.revision, behind.map(|theirs| config.delta(theirs)))
    }

    /// Takes the other half in. Returns whether something urgent was new.
    fn absorb(&self, exchange: Exchange) -> bool {
        let now = self.now();
        let mut urgent = false;
        if let Some(delta) = exchange.delta {
            urgent |= self.adopt(delta, exchange.from.as_str());
        }
        let mut fresh = false;
        let mut table = self.table.lock();
        for row in exchange.rows {
            let haste = row.urgency() <= Urgency::Start;
            if table.merge(row, now) {
                fresh = true;
                urgent |= haste;
            }
        }
        drop(table);
        if fresh {
            self.fresh.notify_one();
        }
        if urgent {
            self.urgent.notify_one();
        }
        urgent
    }

    /// Answers a peer's half of an exchange. If the tables differ although the
    /// news was exchanged, the answer asks for what differs.
    pub fn answer_exchange(&self, exchange: Exchange) -> PackedExchange {
        self.withdraw_doubt(&exchange.from);
        let theirs = exchange.delta.as_ref().map_or(exchange.revision, |delta| delta.revision);
        let scope = self.scope_of(&exchange.hall);
        let (total, sums, marks) = (exchange.total, exchange.sums.clone(), exchange.marks.clone());
        let mut answer = self.compose(Some(theirs), scope);
        self.absorb(exchange);
        if let (Some(sums), Some(marks)) = (&sums, &marks) {
            let newcomer = marks.len() < NEWCOMER;
            let least = if newcomer { NEWCOMER_BYTES } else { 0 };
            answer.rows.extend(self.list_lacking(sums, marks, least));
            answer.marks = (!newcomer).then(|| self.table.lock().list_marks(sums));
        }
        let affordable = self.allowance.lock().grant(self.now()) > 0;
        let table = self.table.lock();
        if marks.is_none() && affordable && total.is_some_and(|total| total != table.total(scope)) {
            answer.sums = Some(table.sums(scope).to_vec());
        }
        drop(table);
        answer.revision = self.config.lock().revision;
        self.pack(&answer)
    }

    /// The rows that a peer lacks, as far as the allowance goes, or `least` bytes.
    fn list_lacking(&self, sums: &[u64], marks: &[u32], least: usize) -> Vec<Row> {
        let grant = self.allowance.lock().grant(self.now()).max(least);
        self.table.lock().list_missing(sums, marks, grant, rand::random())
    }

    /// Sends one message to a peer and unpacks its answer.
    async fn send(&self, peer: &Peer, message: &Exchange) -> Option<Exchange> {
        let packed = self.pack(message);
        let answer: PackedExchange = self.peers.call(peer.address, "/exchange", &packed, WAIT).await.ok()?;
        answer.unpack().ok()
    }

    /// Makes one exchange with a peer; returns whether it answered. With
    /// `compare` the tables are brought to the same rows.
    async fn exchange(&self, peer: &Peer, compare: bool) -> bool {
        let scope = if peer.place == Place::Near { Scope::Hall } else { Scope::Fleet };
        // Several nodes may tell the same peer of a new configuration at once, so it
        // is told the revision, and sent the entries once it says that it lacks them.
        let mut message = self.compose(None, scope);
        if compare {
            self.add_comparison(&mut message, scope);
        }
        let Some(answer) = self.send(peer, &message).await else {
            if let Some(id) = &peer.id {
                self.doubt(id);
            }
            return false;
        };
        self.withdraw_doubt(&answer.from);
        self.note_met();
        let (theirs, their_sums) = (answer.revision, answer.sums.clone());
        self.absorb(answer);
        self.follow_up(peer, scope, theirs, their_sums).await;
        true
    }

    /// Adds what the peer needs to see whether the tables differ. A newcomer says
    /// at once what little it has, and is answered with rows.
    fn add_comparison(&self, message: &mut Exchange, scope: Scope) {
        let table = self.table.lock();
        message.total = Some(table.total(scope));
        if table.len() < NEWCOMER {
            message.sums = Some(table.sums(scope).to_vec());
            message.marks = Some(table.list_all_marks(scope));
        }
    }

    /// Sends the configuration that the peer's answer shows it to lack. If the
    /// tables differ, tells the marks of the own rows there, takes what the peer
    /// has more, and sends what the peer's marks show it to lack.
    async fn follow_up(&self, peer: &Peer, scope: Scope, theirs: id::Revision, sums: Option<Vec<u64>>) {
        let (revision, delta) = self.compose_delta(Some(theirs));
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
        self.absorb(answer);
        let (Some(sums), Some(marks)) = (sums, marks) else { return };
        let rows = self.list_lacking(&sums, &marks, 0);
        if !rows.is_empty()
            && let Some(answer) = self.send(peer, &self.message(rows)).await
        {
            self.absorb(answer);
        }
    }

    /// Notes that a peer did not answer.
    fn doubt(&self, of: &id::Node) {
        let mut table = self.table.lock();
        let Some(version) = table.get(&Key::Node(of.clone())).map(|held| held.row.version) else { return };
        if count_doubts(&table, of, version) >= DOUBTS_MAX {
            return;
        }
        let key = Key::Doubt { of: of.clone(), by: self.settings.node.clone() };
        if table.write(key, Body::Doubt { version, held: true }, self.now()) {
            log::warn!("member: {of} does not answer");
        }
    }

    /// Takes back a doubt of this node about a peer that was heard.
    fn withdraw_doubt(&self, of: &id::Node) {
        let key = Key::Doubt { of: of.clone(), by: self.settings.node.clone() };
        let mut table = self.table.lock();
        let Some(Body::Doubt { version, held: true }) = table.get(&key).map(|held| held.row.body.clone())
        else {
            return;
        };
        // A newer row of the peer's own has refuted the doubt already.
        let present = table.get(&Key::Node(of.clone())).map_or(0, |held| held.row.version);
        if version >= present {
            table.write(key, Body::Doubt { version, held: false }, self.now());
            log::info!("member: {of} answers again");
        }
    }

    /// Answers doubts about this node with a newer row.
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
            log::info!("member: refuted a doubt about this node");
        }
    }

    fn list_peers(&self) -> Vec<Peer> {
        let members = self.members();
        self.store.set_nodes(members.iter().filter(|member| member.live).count());
        let known: HashSet<SocketAddr> = members.iter().map(|member| member.node.peer).collect();
        let now = self.now();
        let gone = |member: &Member| member.unreachable_since.is_some_and(|since| now.since(since) > FORGET);
        let others = members.into_iter().filter(|member| member.id != self.settings.node && !gone(member));
        let mut peers: Vec<Peer> = others.filter(|m| !m.node.leaving).map(|m| Peer::new(m, self)).collect();
        let seeds = self.settings.seeds.iter().filter(|seed| !known.contains(seed));
        peers.extend(seeds.filter(|seed| **seed != self.settings.listen).map(|seed| Peer {
            id: None,
            address: *seed,
            place: Place::Unknown,
        }));
        peers
    }
}

/// Standing doubts about this version of a node's row.
fn count_doubts(table: &Table, of: &id::Node, version: u64) -> usize {
    let doubts =
        table.iter().filter(|held| matches!(&held.row.key, Key::Doubt { of: about, .. } if about == of));
    doubts.filter(|held| held.row.body == Body::Doubt { version, held: true }).count()
}

/// Someone to make an exchange with.
#[derive(Clone)]
struct Peer {
    id: Option<id::Node>,
    address: SocketAddr,
    place: Place,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Live, in this hall.
    Near,
    /// Live, in another hall.
    Far,
    /// Doubted, or a seed that was not heard yet.
    Unknown,
}

impl Peer {
    fn new(member: Member, state: &State) -> Peer {
        let place = match (member.live, member.node.hall == state.settings.hall) {
            (false, _) => Place::Unknown,
            (true, true) => Place::Near,
            (true, false) => Place::Far,
        };
        Peer { id: Some(member.id), address: member.node.peer, place }
    }
}

/// Picks the peer of the exchange at rest number `turn`.
fn pick_peer<'a>(peers: &'a [Peer], turn: u64, rng: &mut impl Rng) -> Option<&'a Peer> {
    let order = match turn % 6 {
        3 => [Place::Unknown, Place::Far, Place::Near],
        1 | 5 => [Place::Far, Place::Near, Place::Unknown],
        _ => [Place::Near, Place::Far, Place::Unknown],
    };
    order.into_iter().find_map(|place| {
        let of: Vec<&Peer> = peers.iter().filter(|peer| peer.place == place).collect();
        of.choose(rng).copied()
    })
}

/// Picks the peers to push something urgent to: one of another hall among them.
fn pick_hasty<'a>(peers: &'a [Peer], rng: &mut impl Rng) -> Vec<&'a Peer> {
    let mut near: Vec<&Peer> = peers.iter().filter(|peer| peer.place == Place::Near).collect();
    let mut far: Vec<&Peer> = peers.iter().filter(|peer| peer.place == Place::Far).collect();
    near.shuffle(rng);
    far.shuffle(rng);
    let mut picked: Vec<&Peer> = far.into_iter().take(1).collect();
    picked.extend(near.into_iter().take(FANOUT - picked.len().min(1)));
    picked
}

/// Runs until the task is dropped.
pub async fn run(state: Arc<State>) {
    let mut turn = 0;
    loop {
        let tick = if turn < JOINING { JOIN_TICK } else { TICK };
        let jitter = rand::rng().random_range(0..=tick.0 / 4);
        let tick = tokio::time::sleep((tick - Millis(tick.0 / 8) + Millis(jitter)).duration());
        tokio::select! {
            () = tick => {
                rest(&state, turn);
                turn += 1;
            }
            () = state.urgent.notified() => {
                push(&state);
                tokio::time::sleep(HASTE.duration()).await;
            }
        }
    }
}

fn rest(state: &Arc<State>, turn: u64) {
    state.write_self();
    state.refute();
    let peers = state.list_peers();
    if let Some(peer) = pick_peer(&peers, turn, &mut rand::rng()) {
        start_exchange(state, peer.clone(), true);
    }
}

fn push(state: &Arc<State>) {
    state.write_self_now_and_then();
    let peers = state.list_peers();
    for peer in pick_hasty(&peers, &mut rand::rng()) {
        start_exchange(state, peer.clone(), false);
    }
}

/// A peer that does not answer holds up no other exchange.
fn start_exchange(state: &Arc<State>, peer: Peer, compare: bool) {
    let state = state.clone();
    tokio::spawn(async move { state.exchange(&peer, compare).await });
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_allowance_bounds_the_bytes_whatever_happens() {
        let mut allowance = Allowance::new(Millis(0));
        let (mut spent, seconds) = (0u64, 60u64);
        // A message is tried every millisecond, and every tenth has to go anyway.
        for ms in 0..seconds * 1000 {
            let grant = allowance.grant(Millis(ms)) as u64;
            let must_go = if ms % 10_000 == 0 { 10_000 } else { 0 };
            spent += grant + must_go;
            allowance.spend((grant + must_go) as usize);
        }
        // What must go is paid back, so only the last of it may stand out.
        assert!(spent <= RATE * seconds + BURST + 10_000 + MESSAGE, "{spent} bytes");
        assert!(spent >= RATE * seconds, "{spent} bytes");
    }

    #[test]
    fn an_overdrawn_allowance_sends_nothing_until_it_is_paid_back() {
        let mut allowance = Allowance::new(Millis(0));
        allowance.spend(2 * BURST as usize);
        assert_eq!(allowance.grant(Millis(1000)), 0);
        assert!(allowance.grant(Millis(20_000)) > 0);
    }
}
