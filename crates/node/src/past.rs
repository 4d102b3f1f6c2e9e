//! Asks the other nodes whether they hold anything that the store has lost. They tell by a small answer,
//! also before they have read the store. Nodes of earlier builds, and those that are gone, do not tell.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::past::find_campaign_time;
use cottoncrank_fleet::position::Era;
use cottoncrank_net::client::{CallError, Client};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

use crate::peer;
use crate::state::Node;

/// How long an answer is waited for. Nodes answer within some 10 ms.
const ANSWER_TIMEOUT: Millis = Millis(300);

/// The pause before those are asked again that have not said that they hold nothing. It doubles each time.
const FIRST_PAUSE: Millis = Millis(40);
const MAX_PAUSE: Millis = Millis(320);

/// Asks a node whether it holds anything from before a store era.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Query {
    /// The node that is asked. Another one may have its address by now.
    pub node: id::Node,
    /// The store era.
    pub era: Era,
}

/// The answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// The node that answers.
    pub node: id::Node,
    /// Whether it holds nothing from before that era, and has heard of no node that may.
    pub empty: bool,
}

/// Answers another node.
pub(crate) fn answer_query(node: &Node, query: &Query) -> Reply {
    let empty = node.past.lock().is_empty(query.era, find_known_era(node));
    Reply { node: node.settings().node.clone(), empty }
}

/// Returns the era of what this node has read of the store. One that was only refused has read nothing, though a
/// refusal names the era.
fn find_known_era(node: &Node) -> Option<Era> {
    let position = *node.feed.subscribe().borrow();
    position.map(|position| position.era()).or(node.store.answered_era())
}

/// Whether nobody holds anything from before `era`, as far as this node can tell.
fn is_lost(node: &Node, era: Era) -> bool {
    let (settings, directory) = (node.settings(), node.directory.lock());
    let past = node.past.lock();
    node.store.era() == era && past.is_lost(era, find_known_era(node), &settings.node, &directory)
}

/// Returns once all other nodes have said that they hold nothing from before `era`, and this one does not
/// either.
pub(crate) async fn wait_lost(node: &Node, client: &Client, era: Era) {
    let mut pause = FIRST_PAUSE;
    loop {
        ask_unknown(node, client, era).await;
        if is_lost(node, era) {
            return;
        }
        tokio::time::sleep(pause.duration()).await;
        pause = Millis(2 * pause.0).min(MAX_PAUSE);
    }
}

/// Asks those once that have not said that they hold nothing.
async fn ask_unknown(node: &Node, client: &Client, era: Era) {
    let peers = {
        let directory = node.directory.lock();
        node.past.lock().list_unknown(era, &node.settings().node, &directory)
    };
    let mut asked = JoinSet::new();
    for peer in peers {
        asked.spawn(ask(client.clone(), peer, era));
    }
    while let Some(answer) = asked.join_next().await {
        let Ok(Ok(reply)) = answer else { continue };
        if reply.empty && node.past.lock().record_empty(era, &reply.node) {
            log::info!("sync: {} has nothing from before era {era} of the store", reply.node);
        }
    }
}

/// Asks a node. The answer of any other node at its address does not count.
async fn ask(client: Client, peer: Peer, era: Era) -> Result<Reply, CallError> {
    let query = Query { node: peer.node.clone(), era };
    let mut reply = peer::query_past(&client, &peer, &query, ANSWER_TIMEOUT).await?;
    reply.empty &= reply.node == peer.node;
    Ok(reply)
}

/// Waits until this node, which has just started, may campaign in an era after the first one. Returns whether
/// that is early, as nobody has anything that others have to come first for.
pub(crate) async fn wait_campaign(node: &Node, era: Era, lease: Millis) -> bool {
    let free = node.now();
    let synced = node.synced_at().unwrap_or(free);
    let end = find_campaign_time(free, synced, lease, false);
    let early = async {
        loop {
            wait_lost(node, &node.client, era).await;
            node.wait_until(find_campaign_time(free, synced, lease, true)).await;
            // They may have heard of a node meanwhile that the store's copy does not name.
            node.past.lock().restart(era);
            ask_unknown(node, &node.client, era).await;
            if is_lost(node, era) {
                return;
            }
        }
    };
    tokio::select! {
        () = early => {
            let waited = node.now().since(free);
            log::info!("decider: waited {waited} only, nobody has anything from before era {era}");
            true
        }
        () = node.wait_until(end) => false,
    }
}
