//! Writes of plans that the store does not execute, or whose answers are lost.

mod common;

use cottoncrank_fleet::position::{Era, Position};
use cottoncrank_platform::store::{Commit, Difference, Outcome, Store};
use cottoncrank_platform_standin::store;

#[tokio::test]
async fn a_conflict_names_the_keys_that_differ() {
    let written = store::Store::start().unwrap();
    for key in ["same", "other"] {
        written.put_bytes(&format!("cottoncrank/{key}"), b"value");
    }
    let expect = [("same", Some(1)), ("other", Some(1)), ("missing", Some(7)), ("new", None)];
    let position = |revision| Position::new(Era::default(), revision);
    let expect = expect.map(|(key, revision)| (key.to_owned(), revision.map(position)));
    let commit = Commit { expect: expect.into(), ..Commit::default() };
    let outcome = Store::new(written.address()).commit(&commit).await.unwrap();
    let Outcome::Conflict(differences) = outcome else { panic!("{outcome:?}") };
    let lines: Vec<String> = differences.iter().map(Difference::to_string).collect();
    assert_eq!(lines, ["`other` is at 0:2, expected 0:1", "`missing` is at none, expected 0:7"]);
    let found = differences[0].found.as_ref().unwrap();
    assert_eq!(found.value.as_ref(), b"value");
}
