//! Restores of the store from a copy that is some seconds old.
//!
//! Everything written since the copy is lost, including leases, and revisions go back and are
//! assigned again. Nodes compared bare revisions. Nodes with a higher revision therefore ignored
//! every node that had read the restored store, took what the copy lacked for removed, and kept
//! acting under a lease that was no longer theirs.

mod common;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use common::process::NodeProcess;
use common::{Fleet, KEY, start_node};
use cottoncrank::Millis;
use cottoncrank_fleet::position::Era;
use cottoncrank_platform::store::{Commit, EraError, Store, StoreError};
use cottoncrank_platform_standin::caller::{CallerRequest, DEFAULT_DEADLINE_MS, send_request};
use cottoncrank_platform_standin::operator::{PLAIN, READ, STREAM, config};
use cottoncrank_platform_standin::runner::{Fault, Membership, Runner};
use cottoncrank_platform_standin::store::{self, Blocked, Endpoint};
use rustix::process::Signal;

/// The approximate time until runners and operators write their items again after a restore.
const REWRITE_DELAY: Millis = Millis(1000);

/// Bound on the time until all nodes apply a configuration that an operator has written.
const APPLY_BOUND: Millis = Millis(4000);

/// The time within which nodes that have all started anew have a decider. In the first era they need a lease at
/// the most, that of the decider which has ended. In a later one they ask each other first, and wait once for
/// those that do not answer. The rest is for processes that start and for calls to the store.
const ELECTION_BOUND: Duration = Duration::from_millis(1600 + 300 + 1000);

/// The time after the election within which members leave a group whose head was silent before. Six probes take
/// longer, so some of them have to be made while the nodes wait.
const SILENCE_BOUND: Duration = Duration::from_millis(1600);

/// How long the lease of a decider lasts after its end, at the most.
const LEASE: Duration = Duration::from_millis(1600 + 200);

/// The time that nodes which may hold later plans have before one that has just started: two leases.
const INFORMED_WAIT: Duration = Duration::from_millis(2 * 1600);

/// The time between two looks at processes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Lists the group and epoch of each open group.
fn list_open_groups(fleet: &Fleet) -> HashSet<(String, u64)> {
    let places = fleet.heads().into_iter().filter_map(Runner::membership);
    places.map(|Membership { group, epoch, .. }| (group, epoch)).collect()
}

/// Makes the runners write their entries again, as they do some time after a restore.
async fn rewrite_entries(fleet: &Fleet) {
    tokio::time::sleep(REWRITE_DELAY.duration()).await;
    for runner in fleet.engines.iter().chain(&fleet.plain) {
        runner.write_entry();
    }
}

/// Asserts that no epoch was assigned to two groups.
fn assert_unique_epochs(fleet: &Fleet) {
    let mut members_by_epoch: HashMap<u64, Vec<String>> = HashMap::new();
    for join in fleet.engines.iter().flat_map(Runner::joins).filter(|join| join.members.len() > 1) {
        let members = members_by_epoch.entry(join.epoch).or_insert_with(|| join.members.clone());
        assert_eq!(*members, join.members, "epoch {} of {}", join.epoch, join.group);
    }
}

/// Restarts a member of a group, and waits until a new group has replaced it.
async fn replace_group(fleet: &Fleet) {
    let before = list_open_groups(fleet);
    fleet.heads()[0].restart();
    let is_replaced = |fleet: &Fleet| {
        let open_groups = list_open_groups(fleet);
        open_groups.len() == 2 && open_groups.difference(&before).count() == 1
    };
    fleet.wait("a new group is open", |fleet| is_replaced(fleet) && fleet.all_know(2)).await;
}

#[tokio::test]
async fn serving_groups_survive_a_restore_and_no_epoch_is_assigned_twice() {
    let fleet = Fleet::serving(3).await;
    let copy = fleet.store.snapshot();
    replace_group(&fleet).await;
    let before = list_open_groups(&fleet);
    fleet.store.restore(&copy);
    rewrite_entries(&fleet).await;
    tokio::time::sleep(Millis(2500).duration()).await;
    assert_eq!(list_open_groups(&fleet), before, "serving groups were stopped");
    // The next groups must have new epochs.
    replace_group(&fleet).await;
    replace_group(&fleet).await;
    assert_unique_epochs(&fleet);
}

#[tokio::test]
async fn callers_are_served_during_a_restore() {
    let fleet = Fleet::serving(3).await;
    let copy = fleet.store.snapshot();
    replace_group(&fleet).await;
    fleet.store.restore(&copy);
    let mut turns = tokio::time::interval(Millis(50).duration());
    for turn in 0..60 {
        turns.tick().await;
        if turn == 20 {
            rewrite_entries(&fleet).await;
        }
        let node = fleet.nodes[turn % 3].callers;
        let answer = send_request(node, STREAM, &format!("r-{turn}"), KEY).await.unwrap();
        assert_eq!((answer.status, answer.complete), (200, true), "{turn}: {answer:?}");
    }
}

/// Lists the epochs of all groups that engines have joined.
fn list_epochs(fleet: &Fleet) -> HashSet<u64> {
    let joins = fleet.engines.iter().flat_map(Runner::joins);
    joins.filter(|join| join.members.len() > 1).map(|join| join.epoch).collect()
}

/// A node that had just started decided after a restore. It knew neither the plans nor the groups of the
/// former era, and issued their names and epochs to other members.
#[tokio::test]
async fn a_decider_that_knows_nothing_of_the_former_era_issues_no_epoch_of_it_again() {
    let mut fleet = Fleet::unconfigured(1).await;
    let copy = fleet.store.snapshot();
    fleet.store.configure(&config(1, &[KEY]));
    fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
    let before = list_epochs(&fleet);
    drop(fleet.nodes.remove(0));
    fleet.store.restore(&copy);
    fleet.store.configure(&config(1, &[KEY]));
    fleet.engines[0].crash();
    fleet.engines[0].expire_entry();
    // The entries of the others do not tell of their groups yet.
    fleet.add_node().await;
    fleet.wait("a group is formed", |fleet| list_epochs(fleet) != before).await;
    let new: Vec<u64> = list_epochs(&fleet).difference(&before).copied().collect();
    assert!(new.iter().all(|epoch| before.iter().all(|old| epoch > old)), "{new:?} after {before:?}");
    assert_unique_epochs(&fleet);
}

#[tokio::test]
async fn groups_are_kept_until_missing_runner_entries_are_rewritten() {
    let fleet = Fleet::unconfigured(2).await;
    let copy = fleet.store.snapshot();
    fleet.store.configure(&config(1, &[KEY]));
    fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
    let before = list_open_groups(&fleet);
    // The copy contains neither the plans nor what the runners reported about their groups.
    fleet.store.restore(&copy);
    rewrite_entries(&fleet).await;
    fleet.store.configure(&config(1, &[KEY]));
    tokio::time::sleep(Millis(3000).duration()).await;
    assert_eq!(list_open_groups(&fleet), before, "serving groups were stopped");
    assert!(fleet.all_know(2));
    assert_unique_epochs(&fleet);
}

#[tokio::test]
async fn a_configuration_is_never_reverted_and_the_next_one_applies_within_the_bound() {
    let mut fleet = Fleet::serving(3).await;
    let copy = fleet.store.snapshot();
    fleet.store.configure(&config(2, &["key-2"]));
    let has_version = |fleet: &Fleet, version: u64| {
        let is_applied = move |node: &cottoncrank_node::state::Node| {
            node.catalog.lock().as_ref().is_some_and(|catalog| catalog.version >= version)
        };
        fleet.nodes.iter().all(|running| is_applied(&running.node))
    };
    fleet.wait("version 2 is in force", |fleet| has_version(fleet, 2)).await;
    fleet.store.restore(&copy);
    tokio::time::sleep(REWRITE_DELAY.duration()).await;
    for running in &fleet.nodes {
        assert_eq!(
            send_request(running.callers, READ, "r1", KEY).await.unwrap().status,
            401,
            "the key was revoked"
        );
    }
    // A node that starts now receives the newer configuration from the other nodes.
    fleet.add_node().await;
    fleet.wait("the new node has read the store", |fleet| fleet.nodes[3].node.is_synced()).await;
    let answer = send_request(fleet.nodes[3].callers, READ, "r2", KEY).await.unwrap();
    assert_ne!(answer.status, 200, "a revoked key is accepted again");
    rewrite_entries(&fleet).await;
    fleet.store.configure(&config(2, &["key-2"]));
    let deadline = fleet.nodes[0].node.now() + APPLY_BOUND;
    fleet.store.configure(&config(3, &["key-3"]));
    fleet.wait("version 3 is in force", |fleet| has_version(fleet, 3)).await;
    assert!(fleet.nodes[0].node.now() <= deadline, "version 3 was applied after the bound");
}

/// Guards against a revoked key that is honoured again at a node that starts after the store came back from an
/// older copy, and is the only one of its hall.
#[tokio::test]
async fn a_node_that_starts_alone_in_its_hall_after_a_restore_keeps_a_revoked_key_revoked() {
    for delay in [Millis(0), REWRITE_DELAY] {
        let fleet = Fleet::serving(3).await;
        let copy = fleet.store.snapshot();
        fleet.store.configure(&config(2, &["key-2"]));
        fleet.wait("version 2 is in force", |fleet| fleet.know_version(2)).await;
        fleet.store.restore(&copy);
        // The other nodes may not know yet that it came back.
        tokio::time::sleep(delay.duration()).await;
        let started = start_node(fleet.store.address(), 7, "hall-z").await;
        fleet.wait("the new node is ready", |_| started.node.is_ready()).await;
        for turn in 0..20 {
            let answer = send_request(started.callers, READ, &format!("r-{turn}"), KEY).await.unwrap();
            assert_eq!(answer.status, 401, "after {delay}, turn {turn}: a revoked key is accepted again");
            let answer = send_request(started.callers, READ, &format!("s-{turn}"), "key-2").await.unwrap();
            assert_eq!(answer.status, 200, "after {delay}, turn {turn}: {answer:?}");
            tokio::time::sleep(Millis(50).duration()).await;
        }
    }
}

#[tokio::test]
async fn deadly_requests_stay_refused_after_a_restore() {
    let fleet = Fleet::serving(2).await;
    let copy = fleet.store.snapshot();
    let send = async |name: &str, turn: usize| {
        let request = format!("{name}-{turn}");
        let node = fleet.nodes[turn % 2].callers;
        let question = CallerRequest {
            path: READ,
            request: &request,
            key: KEY,
            deadline_ms: DEFAULT_DEADLINE_MS,
            body: "a deadly body",
            prompt: "",
        };
        question.send(node).await.unwrap()
    };
    for turn in 0..200 {
        if send("d", turn).await.status == 400 {
            break;
        }
        tokio::time::sleep(Millis(100).duration()).await;
    }
    let count_stored = |fleet: &Fleet| fleet.store.list("cottoncrank/suspects/").len();
    fleet.wait("the store holds the suspect", |fleet| count_stored(fleet) == 1).await;
    fleet.store.restore(&copy);
    rewrite_entries(&fleet).await;
    fleet.wait("the store holds the suspect again", |fleet| count_stored(fleet) == 1).await;
    for turn in 0..4 {
        assert_eq!(send("e", turn).await.status, 400);
    }
}

#[tokio::test]
async fn nodes_rewrite_their_entries_after_a_restore_and_only_one_decides() {
    let fleet = Fleet::unconfigured(3).await;
    let copy = fleet.store.snapshot();
    fleet.store.configure(&config(1, &[KEY]));
    fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
    fleet.store.restore(&copy);
    rewrite_entries(&fleet).await;
    fleet.store.configure(&config(1, &[KEY]));
    let count_entries = |fleet: &Fleet| fleet.store.list("cottoncrank/node/").len();
    fleet.wait("the store holds the entries of all nodes", |fleet| count_entries(fleet) == 3).await;
    let count_deciders =
        |fleet: &Fleet| fleet.nodes.iter().filter(|running| running.node.is_deciding()).count();
    for _ in 0..150 {
        assert!(count_deciders(&fleet) <= 1, "two nodes decide");
        tokio::time::sleep(Millis(20).duration()).await;
    }
    assert_eq!(count_deciders(&fleet), 1, "nobody decides");
}

#[tokio::test]
async fn callers_are_served_after_two_restores_in_a_row() {
    let fleet = Fleet::serving(3).await;
    let oldest = fleet.store.snapshot();
    replace_group(&fleet).await;
    let older = fleet.store.snapshot();
    replace_group(&fleet).await;
    fleet.store.restore(&older);
    tokio::time::sleep(Millis(700).duration()).await;
    fleet.store.restore(&oldest);
    rewrite_entries(&fleet).await;
    for turn in 0..30 {
        let node = fleet.nodes[turn % 3].callers;
        let answer = send_request(node, STREAM, &format!("r-{turn}"), KEY).await.unwrap();
        assert_eq!((answer.status, answer.complete), (200, true), "{turn}: {answer:?}");
    }
    replace_group(&fleet).await;
    assert_unique_epochs(&fleet);
}

#[tokio::test]
async fn a_node_that_starts_after_a_restore_serves_in_the_new_era() {
    let fleet = Fleet::serving(1).await;
    let copy = fleet.store.snapshot();
    replace_group(&fleet).await;
    fleet.store.restore(&copy);
    rewrite_entries(&fleet).await;
    let new_node = start_node(fleet.store.address(), 7, "hall-a").await;
    fleet
        .wait("the new node serves", |_| new_node.node.is_ready() && common::count_heads(&new_node.node) == 2)
        .await;
    let answer = send_request(new_node.callers, STREAM, "r1", KEY).await.unwrap();
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
}

#[tokio::test]
async fn items_missing_from_the_copy_and_not_rewritten_are_dropped() {
    let fleet = Fleet::serving(3).await;
    let copy = fleet.store.snapshot();
    let lost = Runner::start(&fleet.store, "p-lost", PLAIN, "hall-a", None).unwrap();
    let id = lost.id().parse().unwrap();
    let count_knowing =
        |fleet: &Fleet| fleet.nodes.iter().filter(|n| n.node.roster.lock().get(&id).is_some()).count();
    fleet.wait("all nodes know the runner", |fleet| count_knowing(fleet) == 3).await;
    lost.crash();
    fleet.store.restore(&copy);
    // The revision counter passes the nodes' revisions before their next poll.
    for number in 0..50 {
        fleet.store.put_bytes("op/other", format!("{number}").as_bytes());
    }
    fleet.wait("no node knows the runner", |fleet| count_knowing(fleet) == 0).await;
}

#[tokio::test]
async fn answers_and_leases_of_an_earlier_era_are_rejected() {
    let store = store::Store::start().unwrap();
    let client = Store::new(store.address());
    let lease = client.open_lease(Millis(5000)).await.unwrap();
    client.renew_lease(lease).await.unwrap();
    let read = client.read_all().await.unwrap().batch;
    store.restore(&store.snapshot());
    // The number of the lease exists in the copy too, and may be assigned to another client.
    let watched = client.watch(read.position, Millis(0)).await;
    assert!(matches!(watched, Err(StoreError::Restored(era)) if era > read.position.era()), "{watched:?}");
    assert!(matches!(client.renew_lease(lease).await, Err(StoreError::LeaseExpired)));
    let expect = vec![("a".to_owned(), Some(read.position))];
    let commit = client.commit(&Commit { expect, ..Commit::default() }).await;
    assert!(matches!(commit, Err(StoreError::Restored(_))), "{commit:?}");
    // Another node has seen a later era, so this answer counts as delayed and outdated.
    client.raise_era(Era(9));
    let outdated = client.read_all().await;
    assert!(matches!(outdated, Err(StoreError::Era(EraError::Outdated { .. }))), "{outdated:?}");
}

#[tokio::test]
async fn a_node_that_starts_during_a_restore_does_not_decide_before_informed_nodes() {
    let mut fleet = Fleet::unconfigured(0).await;
    let copy = fleet.store.snapshot();
    let doors = [Endpoint::open(&fleet.store).unwrap(), Endpoint::open(&fleet.store).unwrap()];
    for (number, door) in doors.iter().enumerate() {
        fleet.nodes.push(start_node(door.address(), number, "hall-a").await);
    }
    fleet.store.configure(&config(1, &[KEY]));
    fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
    let before = list_open_groups(&fleet);
    // The decider is lost as well, and the store rejects the other node for a moment. The store has
    // no plan, and no other node can send it to the node that starts.
    let deciding = fleet.nodes.iter().position(|running| running.node.is_deciding()).unwrap();
    fleet.nodes.remove(deciding);
    let door = &doors[1 - deciding];
    door.set_blocked(Blocked::All);
    fleet.store.restore(&copy);
    fleet.store.configure(&config(1, &[KEY]));
    for runner in fleet.engines.iter().chain(&fleet.plain) {
        runner.write_entry();
    }
    fleet.nodes.push(start_node(fleet.store.address(), 7, "hall-a").await);
    let has_decider = |fleet: &Fleet| fleet.nodes.iter().any(|running| running.node.is_deciding());
    let mut polls_with_decider = 0;
    for poll in 0.. {
        if poll == 20 {
            door.set_blocked(Blocked::Nothing);
        }
        assert_eq!(list_open_groups(&fleet), before, "serving groups were stopped");
        polls_with_decider += usize::from(has_decider(&fleet));
        if polls_with_decider > 30 {
            break;
        }
        assert!(poll < 400, "nobody decides");
        tokio::time::sleep(Millis(50).duration()).await;
    }
    assert_unique_epochs(&fleet);
}

/// The fleet's nodes as processes that can be killed.
struct Boxes {
    fleet: Fleet,
    nodes: Vec<NodeProcess>,
}

impl Boxes {
    /// Starts nodes of a configured fleet, and returns once they are ready and two groups are open.
    async fn serving(count: usize) -> Boxes {
        let fleet = Fleet::unconfigured(0).await;
        fleet.store.configure(&config(1, &[KEY]));
        let mut nodes: Vec<_> =
            (0..count).map(|number| NodeProcess::lay(fleet.store.address(), number)).collect();
        nodes.iter_mut().for_each(NodeProcess::spawn);
        for node in &mut nodes {
            node.wait_ready().await;
        }
        let boxes = Boxes { fleet, nodes };
        boxes.wait("two open groups", |boxes| boxes.fleet.heads().len() == 2).await;
        boxes.wait("the entries of all nodes", |boxes| boxes.count_entries() == count).await;
        boxes
    }

    fn count_entries(&self) -> usize {
        self.fleet.store.list("cottoncrank/node/").len()
    }

    /// How often any node has become the decider.
    fn count_terms(&self) -> usize {
        let count = |node: &NodeProcess| node.read_log().matches("this node is the decider since").count();
        self.nodes.iter().map(count).sum()
    }

    fn read_logs(&self) -> String {
        self.nodes.iter().map(NodeProcess::read_log).collect::<Vec<_>>().join("\n---\n")
    }

    /// Waits until `holds` returns true, and returns how long that took.
    async fn wait(&self, what: &str, holds: impl Fn(&Boxes) -> bool) -> Duration {
        let began = Instant::now();
        while !holds(self) {
            assert!(began.elapsed() < Duration::from_secs(30), "no {what}:\n{}", self.read_logs());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        began.elapsed()
    }

    /// Restores the store from an older copy, and returns once there is a decider again.
    async fn restore_store(&self, copy: &store::Snapshot) {
        let terms = self.count_terms();
        self.fleet.store.restore(copy);
        rewrite_entries(&self.fleet).await;
        self.fleet.store.configure(&config(1, &[KEY]));
        self.wait("decider after the restore", |boxes| boxes.count_terms() > terms).await;
        self.wait("entries after the restore", |boxes| boxes.count_entries() == boxes.nodes.len()).await;
    }

    /// Ends all processes at once.
    async fn kill(&mut self) {
        self.nodes.iter().for_each(|node| node.signal(Signal::KILL));
        for node in &mut self.nodes {
            node.wait_end().await;
        }
    }
}

/// Kills all nodes at once and starts them again, after the store came back from `copy` where there is one.
/// Asserts that all serve, that no group was stopped, and that
/// there is a decider within [`ELECTION_BOUND`].
async fn assert_elected_in_time(mut boxes: Boxes, copy: Option<&store::Snapshot>) {
    let groups = list_open_groups(&boxes.fleet);
    let terms = boxes.count_terms();
    boxes.kill().await;
    if let Some(copy) = copy {
        boxes.fleet.store.restore(copy);
        boxes.fleet.store.configure(&config(1, &[KEY]));
    }
    let began = Instant::now();
    boxes.nodes.iter_mut().for_each(NodeProcess::spawn);
    if copy.is_some() {
        rewrite_entries(&boxes.fleet).await;
    }
    boxes.wait("decider", |boxes| boxes.count_terms() > terms).await;
    let elected = began.elapsed();
    // Whoever decides looks at the groups at once.
    tokio::time::sleep(Millis(500).duration()).await;
    for node in &mut boxes.nodes {
        node.wait_ready().await;
        let answer = send_request(node.settings.callers, STREAM, "r1", KEY).await.unwrap();
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    }
    assert_eq!(list_open_groups(&boxes.fleet), groups, "serving groups were stopped");
    assert!(
        elected <= ELECTION_BOUND,
        "a decider after {elected:?}, more than {ELECTION_BOUND:?}:\n{}",
        boxes.read_logs()
    );
}

/// Guards against nodes that all have lost what they knew, and wait for each other's copies all the same.
#[tokio::test]
async fn nodes_that_all_start_anew_after_a_restore_wait_for_no_copies_that_nobody_has() {
    let boxes = Boxes::serving(3).await;
    boxes.restore_store(&boxes.fleet.store.snapshot()).await;
    assert_elected_in_time(boxes, None).await;
}

/// The same where the store comes back from an older copy just then, and runners alone know of the last groups.
#[tokio::test]
async fn nodes_that_all_start_anew_during_a_restore_wait_for_no_copies_that_nobody_has() {
    let boxes = Boxes::serving(3).await;
    let copy = boxes.fleet.store.snapshot();
    let before = list_open_groups(&boxes.fleet);
    boxes.fleet.heads()[0].restart();
    let is_replaced = |boxes: &Boxes| {
        let open_groups = list_open_groups(&boxes.fleet);
        open_groups.len() == 2 && open_groups.difference(&before).count() == 1
    };
    boxes.wait("new group", is_replaced).await;
    assert_elected_in_time(boxes, Some(&copy)).await;
}

/// Guards against a node that counts as one which may hold something, as the store refused its calls before it was
/// restored: others wait for it, and it rests.
#[tokio::test]
async fn a_node_that_was_only_refused_before_a_restore_is_not_waited_for() {
    let mut boxes = Boxes::serving(2).await;
    let door = Endpoint::open(&boxes.fleet.store).unwrap();
    let mut refused = NodeProcess::lay(door.address(), 2);
    refused.spawn();
    refused.wait_ready().await;
    boxes.nodes.push(refused);
    boxes.wait("the entries of all nodes", |boxes| boxes.count_entries() == 3).await;
    let (copy, terms) = (boxes.fleet.store.snapshot(), boxes.count_terms());
    boxes.kill().await;
    boxes.fleet.store.set_fault(store::Fault::Busy);
    let refusals = boxes.fleet.store.calls().refused;
    boxes.nodes[2].spawn();
    boxes.wait("refusal", |boxes| boxes.fleet.store.calls().refused > refusals).await;
    door.set_blocked(Blocked::All);
    boxes.fleet.store.restore(&copy);
    boxes.fleet.store.set_fault(store::Fault::None);
    boxes.fleet.store.configure(&config(1, &[KEY]));
    let began = Instant::now();
    boxes.nodes[..2].iter_mut().for_each(NodeProcess::spawn);
    rewrite_entries(&boxes.fleet).await;
    boxes.wait("decider", |boxes| boxes.count_terms() > terms).await;
    let elected = began.elapsed();
    assert!(elected <= ELECTION_BOUND, "a decider after {elected:?}:\n{}", boxes.read_logs());
}

#[tokio::test]
async fn nodes_that_all_start_anew_in_the_first_era_have_a_decider_after_a_lease() {
    assert_elected_in_time(Boxes::serving(3).await, None).await;
}

/// Guards against nodes that begin to look for silent members only once one of them is the decider, after a wait
/// in which they could have found them.
#[tokio::test]
async fn a_head_that_is_silent_when_all_nodes_start_anew_is_found_soon_after_the_election() {
    let mut boxes = Boxes::serving(3).await;
    let copy = boxes.fleet.store.snapshot();
    let (terms, groups) = (boxes.count_terms(), list_open_groups(&boxes.fleet));
    boxes.kill().await;
    let heads = boxes.fleet.heads();
    heads[0].set_fault(Fault::Unresponsive);
    let epoch = heads[0].membership().unwrap().epoch;
    let count_members = |boxes: &Boxes| {
        let places = boxes.fleet.engines.iter().filter_map(Runner::membership);
        places.filter(|place| place.epoch == epoch).count()
    };
    let members = count_members(&boxes);
    // The lease of the former decider, which the copy has too, is over before the nodes are back.
    tokio::time::sleep(LEASE).await;
    boxes.fleet.store.restore(&copy);
    boxes.fleet.store.configure(&config(1, &[KEY]));
    boxes.nodes.iter_mut().for_each(NodeProcess::spawn);
    rewrite_entries(&boxes.fleet).await;
    boxes.wait("decider", |boxes| boxes.count_terms() > terms).await;
    let found = boxes.wait("member that leaves", |boxes| count_members(boxes) < members).await;
    assert!(found <= SILENCE_BOUND, "{found:?} after the election:\n{}", boxes.read_logs());
    let kept = groups.iter().filter(|(_, other)| *other != epoch).cloned().collect::<HashSet<_>>();
    assert!(list_open_groups(&boxes.fleet).is_superset(&kept), "a group without fault was stopped");
}

/// Restores the store from this copy, starts these nodes anew, and asserts that none of them is the decider
/// before [`INFORMED_WAIT`] is over.
async fn assert_wait_kept(boxes: &mut Boxes, copy: &store::Snapshot, started: &[usize]) {
    let terms = boxes.count_terms();
    for number in started {
        boxes.nodes[*number].signal(Signal::KILL);
    }
    for number in started {
        boxes.nodes[*number].wait_end().await;
    }
    boxes.fleet.store.restore(copy);
    boxes.fleet.store.configure(&config(1, &[KEY]));
    let began = Instant::now();
    for number in started {
        boxes.nodes[*number].spawn();
    }
    boxes.wait("decider", |boxes| boxes.count_terms() > terms).await;
    let elected = began.elapsed();
    assert!(elected >= INFORMED_WAIT, "a decider after {elected:?}:\n{}", boxes.read_logs());
}

/// Guards against nodes that start and decide before one that the store's copy names, holds later plans, and
/// is silent for a while.
#[tokio::test]
async fn nodes_that_start_after_a_restore_wait_for_a_silent_one_that_may_have_copies() {
    let mut boxes = Boxes::serving(3).await;
    let copy = boxes.fleet.store.snapshot();
    boxes.nodes[2].signal(Signal::STOP);
    assert_wait_kept(&mut boxes, &copy, &[0, 1]).await;
}

/// Guards against nodes that start and decide before one that lives and holds later plans, but whose entry the
/// store's copy lacks.
#[tokio::test]
async fn nodes_that_start_after_a_restore_wait_for_one_that_the_copy_does_not_name() {
    let mut boxes = Boxes::serving(2).await;
    let copy = boxes.fleet.store.snapshot();
    let door = Endpoint::open(&boxes.fleet.store).unwrap();
    boxes.nodes.push(NodeProcess::start(door.address(), 2).await);
    boxes.wait("the entry of the new node", |boxes| boxes.count_entries() == 3).await;
    // It cannot learn of the restore by itself, and asks the others.
    door.set_blocked(Blocked::All);
    assert_wait_kept(&mut boxes, &copy, &[0, 1]).await;
}
