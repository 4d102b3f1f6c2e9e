//! The counts of serving and idle runners that the decider logs.

use std::collections::BTreeSet;

use cottoncrank::Millis;
use cottoncrank_fleet::catalog::{Engine, Model, Service, Speed};
use cottoncrank_fleet::census::{self, Census};
use cottoncrank_fleet::plan::{Document, Group, Plans, State};
use cottoncrank_fleet::position::Era;
use cottoncrank_fleet::pressure::Pressure;
use cottoncrank_fleet::probe::Probes;
use cottoncrank_fleet::roster::Roster;
use cottoncrank_fleet::runner::{Epoch, Membership, Phase, Runner};
use cottoncrank_fleet::settings::Ceiling;
use cottoncrank_fleet::snapshot::Snapshot;

fn engine() -> Engine {
    let (load, warm) = (Millis(12_000), Millis(1100));
    let model = Model {
        name: "m".parse().unwrap(),
        size: 2,
        share: 1.0,
        load_time: load,
        warm_load_time: warm,
        pace: 1.0,
    };
    Engine { models: vec![model], loads_per_second: 5.0, loads_at_once: 7, speed: Speed::default() }
}

fn runner(number: usize, membership: Option<(u64, usize, Phase)>) -> Runner {
    Runner {
        id: format!("r{number}").parse().unwrap(),
        service: "llm".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        hall: "hall-a".parse().unwrap(),
        domain: Some("d0".parse().unwrap()),
        slots: 10,
        draining: false,
        models: Vec::new(),
        release: None,
        orders: None,
        served: None,
        cold_left: None,
        incarnation: None,
        staged: Vec::new(),
        membership: membership.map(|(group, rank, phase)| Membership {
            group: format!("g{group}").parse().unwrap(),
            epoch: Epoch(group),
            rank,
            phase,
        }),
    }
}

fn group(number: u64, members: [usize; 2], state: State) -> Group {
    Group {
        name: format!("g{number}").parse().unwrap(),
        epoch: Epoch(number),
        service: "llm".parse().unwrap(),
        model: "m".parse().unwrap(),
        members: members.iter().map(|member| format!("r{member}").parse().unwrap()).collect(),
        state,
        still: false,
        lives: Vec::new(),
    }
}

fn count(roster: &Roster, plans: &Plans) -> Census {
    let service = Service { id: "llm".parse().unwrap(), engine: Some(engine()), cold_start: None };
    let snapshot = Snapshot {
        service: &service,
        roster,
        plans,
        era: Era::default(),
        closed: &BTreeSet::new(),
        probes: &Probes::default(),
        serving: true,
        ceiling: &Ceiling { window: Millis(5000), overshoot: 1.1 },
        stall: Millis(4000),
        in_flight: None,
        rejecting: &BTreeSet::new(),
        pressure: &Pressure::default(),
        now: Millis(1_000_000),
    };
    census::count(&snapshot, &engine())
}

#[test]
fn every_runner_is_counted_in_exactly_one_state() {
    let mut roster = Roster::default();
    roster.insert(runner(0, Some((1, 0, Phase::Open))));
    roster.insert(runner(1, Some((1, 1, Phase::Ready))));
    roster.insert(runner(2, Some((2, 0, Phase::Joining))));
    roster.insert(runner(3, None));
    roster.insert(runner(4, Some((3, 0, Phase::Closing))));
    roster.insert(runner(5, Some((3, 1, Phase::Ready))));
    roster.insert(Runner { staged: vec!["m".parse().unwrap()], ..runner(6, None) });
    roster.insert(runner(7, None));
    roster.insert(Runner { draining: true, ..runner(8, None) });
    let groups = vec![
        group(1, [0, 1], State::Active),
        group(2, [2, 3], State::Active),
        group(3, [4, 5], State::Closing),
    ];
    let plans = Plans::from([(
        "d0".parse().unwrap(),
        Document { top: Epoch(3), groups, version: 1, ..Document::default() },
    )]);
    let census = count(&roster, &plans);
    assert_eq!((census.runners, census.serving, census.held, census.free, census.unfit), (9, 2, 4, 2, 1));
    let row = &census.rows[0];
    assert_eq!((row.open, row.forming, row.retired, row.holders), (1, 1, 1, 1));
    let text = census.to_string();
    let wanted = "9 runners: 2 serving, 4 in groups that do not serve, 2 free, 1 unfit; \
                  m: 1 open, 1 forming, 1 retired, 1 free runners hold the model";
    assert_eq!(text, wanted);
}
