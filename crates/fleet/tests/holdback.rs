//! What is logged when loads that callers need may not begin.

mod instant;

use cottoncrank::Millis;
use instant::{World, at_rest};

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
    // All members that hold a model are lost, and empty runners come.
    for domain in 0..6 {
        for number in 0..10 {
            let lost = instant::runner(domain, number).id;
            world.replaced.insert(lost.clone());
            world.crash(&lost);
            world.roster.insert(instant::runner(domain, 100 + number));
        }
    }
    follow(&mut world, &mut notes, 100);
    let begun = notes.iter().filter(|(_, note)| note.starts_with("loads that callers need are held back"));
    let ended = notes.iter().filter(|(_, note)| note.starts_with("loads are no longer held back, after"));
    let (begun, ended) = (begun.count(), ended.count());
    assert!(begun >= 1 && ended + 1 >= begun && ended <= begun, "{notes:?}");
    assert!(begun <= 20, "once a second at the most: {notes:?}");
}
