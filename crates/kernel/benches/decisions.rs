//! The recurring decisions of a controller at the size of one hall of the target
//! fleet: 350 nodes in 5 halls, and 120 runners and 4 groups of 28 in the hall's one
//! fabric domain.

use std::hint::black_box;

use cottoncrank::Millis;
use cottoncrank::config::{self, Entry, Fence, Key as Name, Kind};
use cottoncrank::decide::{Input, decide_change};
use cottoncrank::domain::{Document, Group, Phase, Placement};
use cottoncrank::engine::{Role, Stage};
use cottoncrank::evidence::gather_evidence;
use cottoncrank::id::{self, Generation, Incarnation, Proposal, Revision};
use cottoncrank::member::{list_live, list_members, pick_watchers};
use cottoncrank::row::{self, Body, Key};
use cottoncrank::table::{Scope, Table};
use cottoncrank::view::derive_view;
use criterion::{Criterion, criterion_group, criterion_main};

const NODES: usize = 350;
const HALLS: usize = 5;
const RUNNERS: usize = 120;
const GROUPS: usize = 4;
const SIZE: usize = 28;
const NOW: Millis = Millis(1_000_000);

struct Hall {
    config: config::Document,
    document: Document,
    table: Table,
    name: id::Hall,
    domain: id::Domain,
    runners: Vec<id::Runner>,
}

fn build() -> Hall {
    let (name, domain): (id::Hall, id::Domain) = ("hall-0".parse().unwrap(), "domain-0".parse().unwrap());
    let mut config = config::Document::default();
    let mut put = |key, entry| config = config.change(key, Some(entry), Proposal(0)).unwrap();
    put(Name::new(Kind::Domain, &domain), Entry::Domain { hall: name.clone() });
    let address = "127.0.0.1:1".parse().unwrap();
    let runners: Vec<id::Runner> = (0..RUNNERS).map(|n| format!("runner-0-{n}").parse().unwrap()).collect();
    for runner in &runners {
        let entry = Entry::Runner { domain: domain.clone(), address, fence: Fence::Checked, drained: false };
        put(Name::new(Kind::Runner, runner), entry);
    }
    let mut document = Document { generation: Generation(GROUPS as u64), ..Document::default() };
    for n in 0..GROUPS {
        let model: id::Model = "m".parse().unwrap();
        let id: id::Group = format!("group-{n}").parse().unwrap();
        let entry = Entry::Group {
            domain: domain.clone(),
            model: model.clone(),
            size: SIZE as u16,
            accounts: vec![],
        };
        put(Name::new(Kind::Group, &id), entry);
        let place = |runner: &id::Runner| Placement { runner: runner.clone(), incarnation: Incarnation(1) };
        let members = runners[n * SIZE..(n + 1) * SIZE].iter().map(place).collect();
        let group = Group { generation: Generation(n as u64 + 1), model, members, phase: Phase::Serve };
        document.groups.insert(id, group);
    }
    let mut hall = Hall { config, document, table: Table::default(), name, domain, runners };
    fill(&mut hall);
    hall
}

fn fill(hall: &mut Hall) {
    for n in 0..NODES {
        let node = row::Node {
            hall: format!("hall-{}", n % HALLS).parse().unwrap(),
            peer: "127.0.0.1:1".parse().unwrap(),
            entry: "127.0.0.1:2".parse().unwrap(),
            incarnation: Incarnation(1),
            revision: Revision(7),
            leaving: false,
        };
        hall.table.write(Key::Node(format!("node-{n}").parse().unwrap()), Body::Node(node), NOW);
    }
    for (id, group) in &hall.document.groups {
        let body = row::Group { domain: hall.domain.clone(), group: group.clone() };
        hall.table.write(Key::Group(id.clone()), Body::Group(Some(body)), NOW);
    }
    let members = list_members(&hall.table, NOW);
    let live = list_live(&members, &hall.name);
    for (n, runner) in hall.runners.iter().enumerate() {
        let role = hall.document.find_group(runner).map(|(id, group)| Role {
            group: id.clone(),
            generation: group.generation,
            rank: (n % SIZE) as u16,
        });
        let seen = row::Observation {
            answers: true,
            incarnation: Incarnation(1),
            fence: Generation(4),
            stage: if role.is_some() { Stage::Ready } else { Stage::Idle },
            role,
            warm: None,
        };
        for by in pick_watchers(runner, &live) {
            let key = Key::Seen { runner: runner.clone(), by: by.clone() };
            hall.table.write(key, Body::Seen(seen.clone()), NOW);
        }
    }
}

fn decisions(criterion: &mut Criterion) {
    let hall = build();
    let members = list_members(&hall.table, NOW);
    criterion.bench_function("list 350 members", |b| b.iter(|| list_members(black_box(&hall.table), NOW)));
    let view = || derive_view(&hall.config, &hall.table, &members, &hall.name, NOW);
    assert!(view().groups.iter().all(|g| g.condition == cottoncrank::view::Condition::Open));
    criterion.bench_function("derive the view of 4 groups of 28", |b| b.iter(|| black_box(view())));
    let decider: id::Node = "node-0".parse().unwrap();
    let decide = || {
        let groups = hall.document.groups.keys();
        let evidence = gather_evidence(&hall.table, &members, &hall.name, hall.runners.iter(), groups);
        decide_change(&Input {
            config: &hall.config,
            domain: &hall.domain,
            document: &hall.document,
            evidence: &evidence,
            nodes: (70, 70),
            decider: &decider,
            now: NOW,
            proposal: Proposal(1),
        })
    };
    criterion.bench_function("decide for a domain of 120 runners", |b| b.iter(|| black_box(decide())));
    criterion.bench_function("compare a whole table", |b| {
        b.iter(|| black_box(hall.table.list_missing(&[1; 32], &[], usize::MAX, 0)).len());
    });
    criterion.bench_function("one checksum", |b| b.iter(|| black_box(hall.table.total(Scope::Hall))));
}

criterion_group!(benches, decisions);
criterion_main!(benches);
