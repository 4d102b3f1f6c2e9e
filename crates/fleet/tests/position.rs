//! Positions in the history of a store that may be restored from an older copy.

use cottoncrank_fleet::position::{Era, Position};

#[test]
fn any_position_of_a_later_era_is_later() {
    let (before, after) = (Position::new(Era(1), 500), Position::new(Era(2), 90));
    assert!(after > before);
    assert!(Position::new(Era(1), 501) > before);
    assert_eq!(before.max(after), after);
    assert!(Position::default() < Position::new(Era(0), 1));
}

#[test]
fn a_revision_is_returned_only_for_its_own_era() {
    let position = Position::new(Era(1), 500);
    assert_eq!(position.revision_in(Era(1)), Some(500));
    assert_eq!(position.revision_in(Era(2)), None);
}

#[test]
fn a_displayed_position_parses_to_the_same_position() {
    let position = Position::new(Era(2), 90);
    assert_eq!(position.to_string(), "2:90");
    assert_eq!("2:90".parse(), Ok(position));
    for invalid in ["", "2", "2:", ":90", "2:90:1", "a:b"] {
        assert!(invalid.parse::<Position>().is_err(), "`{invalid}`");
    }
}
