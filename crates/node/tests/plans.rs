//! The encoded form of plans, which builds before and after this one read.

use std::collections::BTreeMap;

use cottoncrank::id;
use cottoncrank_fleet::plan::{Document, Group, State};
use cottoncrank_fleet::position::Position;
use cottoncrank_fleet::runner::{Epoch, Incarnation, Place};
use cottoncrank_node::plans::{decode_plan, encode_plan};
use cottoncrank_platform::item::Item;
use serde::{Deserialize, Serialize};

/// A plan as builds that know no places read and write it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldDocument {
    top: Epoch,
    groups: Vec<OldGroup>,
    #[serde(default)]
    version: u64,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldGroup {
    name: String,
    epoch: Epoch,
    service: String,
    model: String,
    members: Vec<String>,
    state: State,
    #[serde(default)]
    still: bool,
    #[serde(default)]
    lives: Vec<Option<Incarnation>>,
}

fn document() -> Document {
    let place = |port| Place { address: ([10, 0, 0, 1], port).into(), hall: "hall-a".parse().unwrap() };
    let group = Group {
        name: "g3".parse().unwrap(),
        epoch: Epoch(3),
        service: "llm".parse().unwrap(),
        model: "large".parse().unwrap(),
        members: vec!["r1".parse().unwrap(), "r2".parse().unwrap()],
        state: State::Lost,
        still: true,
        lives: vec![Some(Incarnation(7)), None],
    };
    Document {
        top: Epoch(4),
        groups: vec![group],
        version: 9,
        places: [("r1".parse().unwrap(), place(80)), ("r2".parse().unwrap(), place(81))].into(),
        served: false,
    }
}

fn old_document() -> OldDocument {
    let group = OldGroup {
        name: "g3".to_owned(),
        epoch: Epoch(3),
        service: "llm".to_owned(),
        model: "large".to_owned(),
        members: vec!["r1".to_owned(), "r2".to_owned()],
        state: State::Lost,
        still: true,
        lives: vec![Some(Incarnation(7)), None],
    };
    OldDocument { top: Epoch(4), groups: vec![group], version: 9 }
}

fn decode(value: Vec<u8>) -> Option<Document> {
    let key = "plan/d0".to_owned();
    let item = Item { key, value: value.into(), leased: false, position: Position::default() };
    decode_plan(&item).ok()?.map(|(_, document)| document)
}

#[test]
fn a_plan_keeps_the_places_of_its_members() {
    let (key, value) = encode_plan(&"d0".parse().unwrap(), &document()).unwrap();
    assert_eq!(key, "plan/d0");
    assert_eq!(decode(value), Some(document()));
}

#[test]
fn a_plan_with_places_is_read_by_builds_that_know_none() {
    let (_, value) = encode_plan(&"d0".parse().unwrap(), &document()).unwrap();
    assert_eq!(rmp_serde::from_slice::<OldDocument>(&value).unwrap(), old_document());
}

#[test]
fn a_plan_of_builds_that_know_no_places_is_read() {
    let value = rmp_serde::to_vec(&old_document()).unwrap();
    assert_eq!(decode(value), Some(Document { places: Default::default(), ..document() }));
}

#[test]
fn a_plan_whose_places_are_unreadable_is_read_without_them() {
    let mut value = rmp_serde::to_vec(&old_document()).unwrap();
    value.extend([0xc1, 0xff]);
    assert_eq!(decode(value), Some(Document { places: Default::default(), ..document() }));
    let (_, mut value) = encode_plan(&"d0".parse().unwrap(), &document()).unwrap();
    value.truncate(value.len() - 1);
    assert_eq!(decode(value), Some(Document { places: Default::default(), ..document() }));
}

/// What a build reads that knows places and nothing behind them.
#[test]
fn a_plan_tells_of_callers_behind_its_places() {
    for places in [document().places, Default::default()] {
        let told = Document { places: places.clone(), served: true, ..document() };
        let (_, value) = encode_plan(&"d0".parse().unwrap(), &told).unwrap();
        assert_eq!(decode(value.clone()), Some(told));
        let mut rest = &value[..];
        assert_eq!(rmp_serde::from_read::<_, OldDocument>(&mut rest).unwrap(), old_document());
        assert_eq!(rmp_serde::from_read::<_, BTreeMap<id::Runner, Place>>(&mut rest).unwrap(), places);
        // The mark is one byte. Without it, the rest is read as before.
        let cut = value[..value.len() - 1].to_vec();
        assert_eq!(decode(cut), Some(Document { places, ..document() }));
    }
}
