//! The volume of the log is bounded, and failures are left out last.

use cottoncrank::Millis;
use cottoncrank_node::log::Quota;
use log::Level;

#[test]
fn a_flood_is_bounded_in_each_second_and_leaves_warnings_their_room() {
    let mut quota = Quota::default();
    let now = Millis(5000);
    let notices = (0..10_000).filter(|_| quota.allows(Level::Info, now)).count();
    assert!((100..1000).contains(&notices), "{notices}");
    let warnings = (0..10_000).filter(|_| quota.allows(Level::Warn, now)).count();
    assert!((100..1000).contains(&warnings), "{warnings}");
    assert!(!quota.allows(Level::Info, now + Millis(999)));
    assert!(quota.allows(Level::Info, now + Millis(1000)));
}
