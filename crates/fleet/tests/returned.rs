//! What a decider does that begins with an empty memory after all nodes were lost, while many runners
//! have started again empty, in a simulated fleet with realistic delays.

mod world;

use std::collections::{BTreeMap, BTreeSet, HashSet};

use cottoncrank::{Millis, id};
use cottoncrank_fleet::runner::{Epoch, Phase};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use world::{TICK, World, engine, model};

/// Three heartbeats.
const ENTRY_LAPSE: Millis = Millis(3600);

/// Which runners start again empty, under other ids.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Emptied {
    /// A member of each group, and others up to half of all.
    Half,
    /// All but one member of each group, and no spare runner.
    MostOfEachGroup,
    /// Every runner.
    All,
}

/// The times of one formation of a group, since the return.
#[derive(Clone, Debug, Default)]
struct Times {
    model: String,
    /// Whether each member held the model when the group was decided.
    warm: usize,
    decided: Option<Millis>,
    joined: Option<Millis>,
    open: Option<Millis>,
}

fn start(seed: u64) -> World {
    let models = vec![model("large", 4, 0.5, 16_000, 1600), model("small", 2, 0.5, 12_000, 1100)];
    let mut world = World::new(engine(models, 5.0, 7), 6, 10, 2, seed);
    world.run(Millis(14_000));
    world.serving = true;
    world.run(Millis(20_000));
    world
}

/// Empties runners, ends all deciders, and lets one begin after `away`.
fn lose_all_nodes(world: &mut World, emptied: Emptied, away: Millis, seed: u64) {
    exchange(world, emptied, seed);
    world.deciding = false;
    world.run(away);
    world.replace_decider();
    world.deciding = true;
    world.load_starts.clear();
}

/// Starts runners again empty, under other ids.
fn exchange(world: &mut World, emptied: Emptied, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let groups: Vec<_> = world.plans.values().flat_map(|plan| plan.groups.clone()).collect();
    let living = world.list_living();
    let mut chosen: HashSet<id::Runner> = HashSet::new();
    for group in &groups {
        let mut members = group.members.clone();
        members.shuffle(&mut rng);
        let count = match emptied {
            Emptied::Half => 1,
            Emptied::MostOfEachGroup => members.len() - 1,
            Emptied::All => members.len(),
        };
        chosen.extend(members.into_iter().take(count));
    }
    let mut others: Vec<_> = living.iter().map(|(id, _)| id).filter(|id| !chosen.contains(*id)).collect();
    others.shuffle(&mut rng);
    let more = match emptied {
        Emptied::Half => (living.len() / 2).saturating_sub(chosen.len()),
        Emptied::MostOfEachGroup => 0,
        Emptied::All => others.len(),
    };
    let more: Vec<id::Runner> = others.into_iter().take(more).cloned().collect();
    chosen.extend(more);
    let mut chosen: Vec<id::Runner> = chosen.into_iter().collect();
    chosen.sort();
    for id in &chosen {
        world.exchange(id);
    }
}

/// The same, with entries that stand for as long as those of runners that end.
fn lose_all_nodes_with_entries(world: &mut World, emptied: Emptied, away: Millis, seed: u64) {
    world.entry_lapse = ENTRY_LAPSE;
    lose_all_nodes(world, emptied, away, seed);
}

/// Runs the fleet for `span`, and returns the times of the groups that were decided in it.
fn follow(world: &mut World, span: Millis) -> BTreeMap<Epoch, Times> {
    let began = world.now;
    let known: HashSet<Epoch> =
        world.plans.values().flat_map(|plan| &plan.groups).map(|group| group.epoch).collect();
    let mut rows: BTreeMap<Epoch, Times> = BTreeMap::new();
    while world.now < began + span {
        world.run(TICK);
        let since = Some(world.now.since(began));
        for group in world.plans.values().flat_map(|plan| &plan.groups) {
            if known.contains(&group.epoch) {
                continue;
            }
            let row = rows.entry(group.epoch).or_insert_with(|| Times {
                model: group.model.to_string(),
                warm: group.members.iter().filter(|id| world.list_held(id).contains(&group.model)).count(),
                decided: since,
                ..Times::default()
            });
            let phases = world.list_phases(group);
            if phases.len() == group.members.len() {
                row.joined = row.joined.or(since);
            }
            if phases.contains(&Phase::Open) {
                row.open = row.open.or(since);
            }
        }
    }
    rows
}

/// Guards against members that hold a model and wait for those that load one: after the return of all nodes, with
/// half of the runners empty, both models have a group before any load could end.
#[test]
fn both_models_have_a_group_of_members_that_hold_them_before_any_load_ends() {
    for seed in 0..3 {
        let mut world = start(seed);
        lose_all_nodes(&mut world, Emptied::Half, Millis(1000), seed);
        let rows = follow(&mut world, Millis(12_000));
        for model in ["large", "small"] {
            let is_open = |row: &Times| row.model == model && row.open.is_some();
            assert!(rows.values().any(is_open), "seed {seed}, {model}: {rows:?}");
        }
    }
}

/// All groups had lost a member, so that no model had a group in the step that retired them. In that step a
/// group of each was formed of members that had to load it, a planning interval before the others, which
/// hold it, had left their groups; it opened up to 36 s later or never, and slowed the loads of others.
#[test]
fn a_model_without_groups_is_not_loaded_while_those_that_hold_it_leave_theirs() {
    for emptied in [Emptied::Half, Emptied::MostOfEachGroup] {
        for seed in 0..6 {
            let mut world = start(seed);
            lose_all_nodes(&mut world, emptied, Millis(1000), seed);
            let rows = follow(&mut world, Millis(5000));
            let is_small = |row: &&Times| row.model == "small";
            assert!(rows.values().any(|row| is_small(&row)), "{emptied:?}, seed {seed}: {rows:?}");
            // One member of each large group does not make another, so that one may be loaded.
            for row in rows.values().filter(|row| emptied == Emptied::Half || is_small(row)) {
                let size = if is_small(&row) { 2 } else { 4 };
                assert_eq!(row.warm, size, "{emptied:?}, seed {seed}: {row:?}");
            }
        }
    }
}

/// A decider that had just begun had not looked at anyone: it took all groups for whole, and ordered loads
/// in reserve. When the losses were known, the loads of the first groups ran beside these at half the
/// speed: a group of two opened 27 s after it was decided, where a load takes 12 s.
#[test]
fn loads_of_the_first_groups_run_at_full_speed() {
    for model in ["small", "large"] {
        for seed in 0..3 {
            let mut world = start(seed);
            // The loads that the former decider ordered end first: nobody else knows of them.
            for _ in 0..60 {
                if world.count_running_loads() == 0 {
                    break;
                }
                world.run(Millis(1000));
            }
            assert_eq!(world.count_running_loads(), 0);
            lose_all_nodes(&mut world, Emptied::All, Millis(1000), seed);
            let rows = follow(&mut world, Millis(20_000));
            let first = rows.values().find(|row| row.model == model).unwrap();
            // A load, and a second for the orders to join and to open, the entries and the opening.
            let load = Millis(if model == "small" { 12_000 } else { 16_000 });
            let bound = first.decided.unwrap() + load + Millis(1000);
            assert!(first.open.is_some_and(|open| open <= bound), "seed {seed}: {first:?}");
        }
    }
}

/// Returns the most loads that began within one window of the ceiling.
fn find_most_in_window(starts: &[Millis]) -> usize {
    let count =
        |from: &Millis| starts.iter().filter(|at| **at >= *from && **at < *from + Millis(5000)).count();
    starts.iter().map(count).max().unwrap_or(0)
}

/// Deciders that end one after the other know nothing of each other's loads. One that had not had a request of a
/// caller since its start took loads for fast, and began 25 at once beside seven of its predecessor.
#[test]
fn successive_deciders_keep_the_ceiling_of_loads() {
    for sees_callers in [true, false] {
        for seed in 0..3 {
            let mut world = start(seed);
            lose_all_nodes(&mut world, Emptied::All, Millis(1000), seed);
            world.run(Millis(3000));
            // The next node has not had a request yet when it becomes the decider.
            world.deciding = false;
            world.run(Millis(500));
            world.replace_decider();
            world.deciding = true;
            world.sees_callers = sees_callers;
            world.run(Millis(5000));
            // Five a second for 5 s, a tenth beyond, and three.
            let most = find_most_in_window(&world.load_starts);
            assert!(most <= 30, "sees callers {sees_callers}, seed {seed}: {most}");
        }
    }
}

/// Runners that had been in no group ended with the nodes, and their entries stood for three heartbeats more. Each
/// was chosen for a group, found to have ended as a member, and chosen again once nobody probed it any more.
#[test]
fn a_runner_that_was_seen_to_have_ended_joins_no_other_group() {
    for seed in 0..6 {
        let mut world = start(seed);
        lose_all_nodes_with_entries(&mut world, Emptied::Half, Millis(400), seed);
        let planned = list_planned_ended(&mut world, Millis(6000));
        let again: Vec<_> = planned.iter().filter(|(_, epochs)| epochs.len() > 1).collect();
        assert!(again.is_empty(), "seed {seed}: {again:?}");
    }
}

/// The same where they end once the decider has looked at all, so that it finds them as members only.
#[test]
fn a_runner_that_ends_later_and_was_seen_so_joins_no_other_group() {
    let mut tried = 0;
    for seed in 0..6 {
        let mut world = start(seed);
        world.entry_lapse = ENTRY_LAPSE;
        exchange(&mut world, Emptied::Half, seed);
        let planned = list_planned_ended(&mut world, Millis(6000));
        let again: Vec<_> = planned.iter().filter(|(_, epochs)| epochs.len() > 1).collect();
        assert!(again.is_empty(), "seed {seed}: {again:?}");
        tried += planned.len();
    }
    assert!(tried > 0, "no group had one that had ended");
}

/// Entries of runners that have ended tell nothing: with them, as many runners serve before the first load ends as
/// where they are gone at once.
#[test]
fn entries_of_runners_that_ended_keep_no_group_closed() {
    for seed in 0..6 {
        let count_serving = |lapse: Millis| {
            let mut world = start(seed);
            world.entry_lapse = lapse;
            lose_all_nodes(&mut world, Emptied::Half, Millis(400), seed);
            world.run(Millis(12_000));
            4 * world.count_open("large") + 2 * world.count_open("small")
        };
        let (with, without) = (count_serving(ENTRY_LAPSE), count_serving(TICK));
        assert!(with >= without, "seed {seed}: {with} of {without}");
    }
}

/// Runs the fleet for `span`, and returns in which new groups runners were planned that had ended.
fn list_planned_ended(world: &mut World, span: Millis) -> BTreeMap<id::Runner, BTreeSet<Epoch>> {
    let began = world.now;
    let known: HashSet<Epoch> =
        world.plans.values().flat_map(|plan| &plan.groups).map(|group| group.epoch).collect();
    let mut planned: BTreeMap<id::Runner, BTreeSet<Epoch>> = BTreeMap::new();
    while world.now < began + span {
        world.run(TICK);
        let living: HashSet<id::Runner> = world.list_living().into_iter().map(|(id, _)| id).collect();
        let groups = world.plans.values().flat_map(|plan| &plan.groups);
        for group in groups.filter(|group| !known.contains(&group.epoch)) {
            for member in group.members.iter().filter(|member| !living.contains(*member)) {
                planned.entry(member.clone()).or_default().insert(group.epoch);
            }
        }
    }
    planned
}
