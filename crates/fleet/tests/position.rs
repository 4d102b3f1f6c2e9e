//! Positions in the history of a store that may come back from an older copy.

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
fn a_revision_is_told_within_its_era_only() {
    let position = Position::new(Era(1), 500);
    assert_eq!(position.revision_in(Era(1)), Some(500));
    assert_eq!(position.revision_in(Era(2)), None);
}

#[test]
fn positions_are_read_as_they_are_shown() {
    let position = Position::new(Era(2), 90);
    assert_eq!(position.to_string(), "2:90");
    assert_eq!("2:90".parse(), Ok(position));
    for wrong in ["", "2", "2:", ":90", "2:90:1", "a:b"] {
        assert!(wrong.parse::<Position>().is_err(), "`{wrong}`");
    }
}
