//! What is logged when loads that callers need may not begin.

mod instant;

use cottoncrank::Millis;
use cottoncrank_fleet::decide::Step;
use instant::{World, at_rest};

/// Loses all members that hold a model, and lets empty runners come.
fn lose_all(world: &mut World) {
    for domain in 0..6 {
        for number in 0..10 {
            let lost = instant::runner(domain, number).id;
            world.replaced.insert(lost.clone());
            world.crash(&lost);
            world.roster.insert(instant::runner(domain, 100 + number));
        }
    }
}

fn tells_beginning(note: &str) -> bool {
    note.starts_with("loads that callers need are held back")
}

#[test]
fn loads_that_wait_are_told_once_and_their_end_as_well() {
    let mut world = at_rest(6);
    world.serving = true;
    world.hang_loads = true;
    let mut notes = Vec::new();
    let follow = |world: &mut World, notes: &mut Vec<(Millis, String)>, rounds: usize| {
        for _ in 0..rounds {
            let step = world.step();
            notes.extend(step.notes.iter().map(|note| (world.now, note.clone())));
            world.execute(&step);
            world.now = world.now + Millis(200);
        }
    };
    follow(&mut world, &mut notes, 5);
    assert_eq!(notes, [], "nothing waits");
    lose_all(&mut world);
    follow(&mut world, &mut notes, 100);
    let begun = notes.iter().filter(|(_, note)| tells_beginning(note));
    let ended = notes.iter().filter(|(_, note)| note.starts_with("loads are no longer held back, after"));
    let (begun, ended) = (begun.count(), ended.count());
    assert!(begun >= 1 && ended + 1 >= begun && ended <= begun, "{notes:?}");
    assert!(begun <= 20, "once a second at the most: {notes:?}");
}

/// The lines of a step are logged once its plans are written. That of a step that was not written was lost: the
/// next step took it for told.
#[test]
fn loads_that_wait_are_told_by_the_next_step_if_the_first_one_was_not_written() {
    let mut world = at_rest(6);
    world.hang_loads = true;
    lose_all(&mut world);
    for _ in 0..100 {
        let lost = world.propose();
        let step = world.step();
        let told = |step: &Step| step.notes.iter().any(|note| tells_beginning(note));
        assert_eq!(told(&lost), told(&step), "{:?} {:?}", lost.notes, step.notes);
        if told(&step) {
            return;
        }
        world.execute(&step);
        world.now = world.now + Millis(200);
    }
    panic!("nothing waits");
}
