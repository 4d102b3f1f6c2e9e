//! Carries data over into a new store era, which begins when the store is restored from an older copy.
//!
//! Operators and runners write their own items again. What the nodes have written since the copy was
//! made is known only to the nodes. The next decider writes the plans again; it finds them in this
//! node's feed, with the store positions that they had. Requests that crash runners are written again by
//! the nodes that know of them. The configuration that was in force stays in force until an operator
//! writes it again, at this node, at nodes that poll it, and at nodes that start, which ask others for it.

use std::fmt;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::plan::Document;
use cottoncrank_fleet::position::{Era, Position};
use cottoncrank_net::client::{CallError, Client};
use cottoncrank_platform::item::{Change, RawItem, decode, is_catalog};
use cottoncrank_platform::store::Batch;
use tokio::task::JoinSet;

use crate::feed;
use crate::past;
use crate::peer::{self, ChangeQuery, PollError};
use crate::plans::decode_plan;
use crate::registration;
use crate::state::Node;
use crate::telemetry;

/// How many other nodes a node that starts asks for what was in force before the store was restored. Some of
/// those that the copy names may be gone, or may have started just now themselves.
const NODES_ASKED: usize = 4;

/// How long it waits for them. Nodes answer within some 10 ms.
const ANSWER_TIMEOUT: Millis = Millis(300);

/// How many times it asks until one of them tells. All of them may have lost the store just now, and tell
/// nothing before they have read it again.
const ROUNDS: u32 = 5;

/// A half of the pause before the second round. It doubles each time.
const ROUND_PAUSE: Millis = Millis(20);

/// Returns the version of a configuration or a plan; a greater version is newer. Returns `None` for all
/// other items, which their writers write again.
fn read_version(raw: &RawItem) -> Option<u64> {
    match decode(raw.clone()) {
        Ok(Change::Catalog(catalog)) => Some(catalog.version),
        Ok(Change::Own(item)) => Some(decode_plan(&item).ok()??.1.version),
        _ => None,
    }
}

/// Applies the restore of the store from an older copy. `batch` is the whole content of that copy.
/// Configurations and plans held here that are newer replace those in the batch.
pub(crate) fn apply_restore(node: &Node, former_position: Position, batch: &mut Batch) {
    log::warn!(
        "sync: the store came back from an older copy: at {}, after {former_position}",
        batch.position
    );
    telemetry::count_era();
    node.store.raise_era(batch.position.era());
    node.past.lock().record_holding();
    // Runners write their entries again within seconds. The grace period keeps them until then.
    node.roster.lock().start_grace_period(node.now());
    node.suspects.lock().forget_stored();
    let held = node.feed.list(|raw| read_version(raw).is_some());
    held.into_iter().for_each(|raw| carry_over(batch, raw));
}

/// Records whether there are configurations or plans from before the store was restored in its whole content,
/// as another node has it.
pub(crate) fn record_held(node: &Node, batch: &Batch) {
    let is_former = |raw: &RawItem| raw.position.era() < batch.position.era() && read_version(raw).is_some();
    if batch.items.iter().any(is_former) {
        node.past.lock().record_holding();
    }
}

/// Adds what other nodes have kept from before the store was restored to the whole content of the store, which
/// this node read as it started. They do not tell it later: a poll returns what is newer than the poller.
pub(crate) async fn ask_others(node: &Node, client: &Client, batch: &mut Batch) {
    let era = batch.position.era();
    if era == Era::default() {
        return;
    }
    let peers = list_informed(node, batch);
    let (asked, mut answers) = (node.now(), Answers::default());
    let is_lost = tokio::select! {
        biased;
        () = ask_rounds(node, client, &peers, batch, &mut answers) => false,
        () = past::wait_lost(node, client, era) => true,
    };
    let (count, took) = (peers.len(), node.now().since(asked));
    log::info!(
        "sync: asked {count} nodes for {took} what they have kept from before the store was restored: {answers}"
    );
    if is_lost {
        log::info!("sync: nobody has anything from before era {era} of the store; its copy is used");
    } else if answers.told == 0 {
        log::warn!(
            "sync: no node tells what it has kept from before the store was restored; its copy is used"
        );
    }
}

/// Asks these nodes until one of them tells, at most [`ROUNDS`] times.
async fn ask_rounds(node: &Node, client: &Client, peers: &[Peer], batch: &mut Batch, answers: &mut Answers) {
    let pauses = (0..ROUNDS).map(|round| if round == 0 { Millis(0) } else { Millis(ROUND_PAUSE.0 << round) });
    for pause in pauses.filter(|_| !peers.is_empty()) {
        tokio::time::sleep(pause.duration()).await;
        answers.rounds += 1;
        ask_round(node, client, peers, batch, answers).await;
        if answers.told > 0 {
            return;
        }
    }
}

/// How nodes have answered, over all rounds.
#[derive(Debug, Default)]
struct Answers {
    rounds: u32,
    /// They have told what they have kept.
    told: usize,
    /// They know nothing yet, or nothing current.
    unsure: usize,
    /// They did not answer in time, or with something else.
    failed: usize,
}

impl fmt::Display for Answers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Answers { rounds, told, unsure, failed } = self;
        write!(f, "{rounds} rounds, {told} told, {unsure} have nothing to tell, {failed} no answer")
    }
}

/// What a node has answered.
enum Answer {
    Kept(Vec<RawItem>),
    Unsure,
    Failed,
}

/// Asks each of these nodes once.
async fn ask_round(node: &Node, client: &Client, peers: &[Peer], batch: &mut Batch, answers: &mut Answers) {
    let mut asked = JoinSet::new();
    for peer in peers {
        asked.spawn(read_kept(client.clone(), peer.clone()));
    }
    while let Some(answer) = asked.join_next().await {
        match answer {
            Ok(Answer::Kept(kept)) => {
                answers.told += 1;
                kept.into_iter().for_each(|raw| carry_over(batch, raw));
                record_held(node, batch);
            }
            Ok(Answer::Unsure) => answers.unsure += 1,
            Ok(Answer::Failed) => answers.failed += 1,
            Err(error) => log::error!("sync: asking a node failed: {error}"),
        }
    }
}

/// Lists the nodes to ask, those first that follow the store for their halls.
fn list_informed(node: &Node, batch: &Batch) -> Vec<Peer> {
    let items = batch.items.iter().filter_map(|raw| match decode(raw.clone()) {
        Ok(Change::Own(item)) => Some(item),
        _ => None,
    });
    registration::apply_entries(node, &items.collect::<Vec<_>>());
    let (settings, directory) = (node.settings(), node.directory.lock());
    let (me, hall) = (&settings.node, &settings.hall);
    let local = directory.list_local_readers(me, hall);
    let readers = local.into_iter().chain(directory.list_remote_readers(me, hall));
    let nodes = readers.chain(directory.list_non_readers(me)).filter(|peer| peer.node != *me);
    nodes.take(NODES_ASKED).cloned().collect()
}

/// Returns the configuration and the plans that a node holds, if it tells.
async fn read_kept(client: Client, peer: Peer) -> Answer {
    let query = ChangeQuery { after: None, wait_ms: 0 };
    let reading = async {
        let reply = peer::poll_changes(&client, peer.address, query).await?;
        Ok::<_, PollError>(feed::unpack(&reply.items)?)
    };
    match tokio::time::timeout(ANSWER_TIMEOUT.duration(), reading).await {
        Ok(Ok(items)) => Answer::Kept(items.into_iter().filter(|raw| read_version(raw).is_some()).collect()),
        Ok(Err(error)) => {
            log::info!("sync: {} does not tell what it has kept: {error}", peer.node);
            match error {
                PollError::Call(CallError::Status { .. }) => Answer::Unsure,
                _ => Answer::Failed,
            }
        }
        Err(_) => {
            log::info!("sync: {} does not tell what it has kept within {ANSWER_TIMEOUT}", peer.node);
            Answer::Failed
        }
    }
}

/// Puts an item that is held here into the batch, if the batch has an older version of it or none.
fn carry_over(batch: &mut Batch, held: RawItem) {
    let index = batch.items.iter().position(|raw| raw.key == held.key);
    let stored_version = index.and_then(|index| read_version(&batch.items[index]));
    if stored_version >= read_version(&held) {
        return;
    }
    let kind = if is_catalog(&held) { "catalog" } else { "plan" };
    log::info!("sync: `{}` of {} is kept, the store has an older version or none", held.key, held.position);
    telemetry::count_carried_item(kind);
    match index {
        Some(index) => batch.items[index] = held,
        None => batch.items.push(held),
    }
}

/// Lists the plans that this node has carried over from before `era`, which the store may lack.
pub(crate) fn list_carried_plans(node: &Node, era: Era) -> Vec<(id::Domain, Document)> {
    let former = node.feed.list(|raw| raw.position.era() < era);
    let plans = former.into_iter().filter_map(|raw| match decode(raw) {
        Ok(Change::Own(item)) => decode_plan(&item).ok()?,
        _ => None,
    });
    plans.collect()
}
