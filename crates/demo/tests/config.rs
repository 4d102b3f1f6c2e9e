//! The configuration under failure: accepted once, in force everywhere, never back.

mod common;

use common::{ask, one_hall, run_on};
use cottoncrank::Millis;
use cottoncrank::config::{self, Document};
use cottoncrank::id::{Proposal, Revision};
use cottoncrank_controller::operate::execute;
use cottoncrank_demo::fleet::{Fleet, Plan};
use cottoncrank_standin::store::Fault;

const LONG: Millis = Millis(30_000);

/// Tries of a request until a node has to serve again.
const TRIES: usize = 400;

fn stored(fleet: &Fleet) -> Document {
    rmp_serde::from_slice(&fleet.outside.store.value(config::KEY).unwrap().bytes).unwrap()
}

fn revisions(fleet: &Fleet) -> Vec<Revision> {
    let controllers = fleet.nodes.iter().filter_map(|node| node.controller.as_ref());
    controllers.map(|controller| controller.state().config.lock().revision).collect()
}

#[test]
fn of_two_racing_operators_one_wins_and_the_other_is_told() {
    run_on(one_hall(), async |fleet, _| {
        let now = stored(&fleet).revision;
        let states: Vec<_> =
            fleet.nodes.iter().map(|node| node.controller.as_ref().unwrap().state().clone()).collect();
        let line = |name: &str| format!("create account {name} token {name} if revision {now}");
        let (one, two) = (line("one"), line("two"));
        let (one, two) = tokio::join!(execute(&states[0], &one), execute(&states[1], &two));
        assert_ne!(one.ok, two.ok, "{one:?} {two:?}");
        let lost = if one.ok { two } else { one };
        let told = lost.table.rows.concat().join(" ");
        assert!(told.contains(&format!("at revision {}, not {now}", now.next())), "{told}");
        assert_eq!(stored(&fleet).revision, now.next());
    });
}

#[test]
fn a_revision_learned_during_the_read_does_not_make_the_store_look_old() {
    run_on(one_hall(), async |fleet, _| {
        let old = stored(&fleet);
        let state = fleet.nodes[0].controller.as_ref().unwrap().state().clone();
        fleet.outside.store.hold_reads();
        let line = format!("create account mine token mine if revision {}", old.revision);
        let change = tokio::spawn({
            let state = state.clone();
            async move { execute(&state, &line).await }
        });
        fleet.outside.store.wait_held().await;
        // Another operator's change stands and reaches this node before the answer does.
        let entry = config::Entry::Account { token: "other".into(), share: 1, limit: 1 };
        let key = config::Key::new(config::Kind::Account, "other");
        let new = old.change(key, Some(entry), Proposal(77)).unwrap();
        fleet.outside.store.restore(config::KEY, rmp_serde::to_vec(&new).unwrap());
        state.adopt(new.delta(Revision(0)), "a test");
        fleet.outside.store.release_reads();
        let reply = change.await.unwrap();
        let told = reply.table.rows.concat().join(" ");
        assert!(!reply.ok, "{reply:?}");
        assert!(told.contains(&format!("at revision {}, not {}", new.revision, old.revision)), "{told}");
    });
}

/// An operator's first change was refused because the store was slow once.
#[test]
fn a_change_is_made_although_the_store_does_not_answer_its_first_read() {
    run_on(one_hall(), async |fleet, _| {
        let now = stored(&fleet).revision;
        let state = fleet.nodes[0].controller.as_ref().unwrap().state().clone();
        fleet.outside.store.hold_reads();
        let change = tokio::spawn(async move { execute(&state, "create account slow token slow").await });
        fleet.outside.store.wait_held().await;
        // Longer than the timeout of a call to the store.
        tokio::time::sleep(Millis(2300).duration()).await;
        fleet.outside.store.release_reads();
        let reply = change.await.unwrap();
        assert!(reply.ok, "{reply:?}");
        assert_eq!(stored(&fleet).revision, now.next(), "it was made once");
    });
}

#[test]
fn a_change_whose_answer_was_lost_is_recognised_and_made_once() {
    run_on(one_hall(), async |fleet, _| {
        let now = stored(&fleet).revision;
        fleet.outside.store.set_fault(Fault { lose: 1, ..Fault::default() });
        let reply = fleet.command("create account more token more").await.unwrap();
        assert!(reply.table.rows[0][0].contains(&format!("revision {}", now.next())), "{reply:?}");
        assert_eq!(stored(&fleet).revision, now.next(), "it was made once");
    });
}

#[test]
fn a_refused_change_says_why_and_changes_nothing() {
    let cases = [
        ("create group g domain none model m size 2", "needs domain none"),
        ("create group g domain domain-0 model m size 0", "size of at least 1"),
        ("create account other token secret", "token of account other is taken"),
        ("delete domain domain-0", "still used by"),
        ("delete group none", "there is no group none"),
        ("create account demo token x", "exists already"),
        ("create acount x", "`acount` is no kind of entry"),
        ("create account x token y\ncreate group g domain none model m size 2", "needs domain none"),
        ("create account x token y\nshow groups", "is no change"),
    ];
    run_on(one_hall(), async |fleet, _| {
        let before = stored(&fleet);
        for (line, reason) in cases {
            let refused = fleet.command(line).await.unwrap_err().to_string();
            assert!(refused.contains(reason), "{line}: {refused}");
        }
        assert_eq!(stored(&fleet), before);
        let plan = fleet.command("plan delete group group-0").await.unwrap();
        assert_eq!(plan.table.rows[0][2], "-");
        assert_eq!(stored(&fleet), before, "a plan changes nothing");
    });
}

#[test]
fn without_the_store_changes_are_not_accepted_and_new_nodes_learn_from_peers() {
    run_on(Plan { nodes: 3, ..one_hall() }, async |mut fleet, client| {
        let now = stored(&fleet).revision;
        fleet.outside.store.set_fault(Fault { down: true, ..Fault::default() });
        let refused = fleet.command("create account more token more").await.unwrap_err().to_string();
        assert!(refused.contains("nothing was changed"), "{refused}");
        fleet.kill_controller(2);
        fleet.revive_controller(2).unwrap();
        fleet.wait("it has the configuration", LONG, || revisions(&fleet) == [now; 3]).await.unwrap();
        fleet.wait_met().await.unwrap();
        // Until its controller knows the groups again the entry refuses, and says so.
        for _ in 0..TRIES {
            let streamed = ask(&fleet, &client, 2, "x", 3, false).await;
            if streamed.whole {
                return;
            }
            assert_eq!(streamed.outcome.as_deref(), Some("not run"));
            tokio::time::sleep(Millis(50).duration()).await;
        }
        let view = fleet.nodes[2].entry.as_ref().unwrap().state().view();
        let controller = fleet.nodes[2].controller.as_ref().unwrap().state().view.borrow().clone();
        panic!("node 2 does not serve again: its entry has {view:?}, its controller {controller:?}");
    });
}

#[test]
fn a_store_that_went_back_takes_no_node_back() {
    run_on(one_hall(), async |fleet, _| {
        let old = stored(&fleet);
        fleet.command("create account more token more").await.unwrap();
        let now = stored(&fleet).revision;
        fleet.outside.store.restore(config::KEY, rmp_serde::to_vec(&old).unwrap());
        let refused = fleet.command("create account again token again").await.unwrap_err().to_string();
        assert!(
            refused.contains(&format!("the store is at revision {}, this node at {now}", old.revision)),
            "{refused}"
        );
        assert_eq!(revisions(&fleet), [now; 2]);
    });
}

#[test]
fn a_cut_hall_takes_the_newer_configuration_when_it_is_back() {
    run_on(Plan::default(), async |fleet, _| {
        fleet.cut_hall(0);
        let outside = fleet.nodes[2].controller.as_ref().unwrap().state().clone();
        let reply = execute(&outside, "create account more token more").await;
        assert!(reply.ok, "{reply:?}");
        let now = stored(&fleet).revision;
        assert!(revisions(&fleet)[..2].iter().all(|revision| *revision < now), "the cut hall cannot know");
        let told = reply.table.rows.concat().join(" ");
        assert!(told.contains("not heard from") || told.contains("out of reach"), "{told}");
        fleet.heal();
        fleet.wait("it is in force everywhere", LONG, || revisions(&fleet) == [now; 4]).await.unwrap();
    });
}
