//! The bounds that a shift sets to targets, and the names of the groups that it forms.

use cottoncrank::id;

use crate::catalog::Model;

/// The first letter of the names of groups that no shift formed.
const USUAL_PREFIX: char = 'g';

/// The first letter of the names of groups that a shift formed. It is part of the name because the plans
/// hold the names, so a new decider knows these groups, and earlier builds can read them.
const BORROWED_PREFIX: char = 'b';

/// The bounds that a shift sets for the targets of two models.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bounds {
    /// The model that lends, and the groups that it keeps at most.
    pub(super) ceiling: Option<(id::Model, usize)>,
    /// The model that borrows, and the groups that it gets at least.
    pub(super) floor: Option<(id::Model, usize)>,
}

impl Bounds {
    /// Returns the target of a model within the bounds.
    pub(crate) fn clamp(&self, model: &Model, groups: usize) -> usize {
        let ceiling = self.ceiling.as_ref().filter(|(name, _)| *name == model.name);
        let floor = self.floor.as_ref().filter(|(name, _)| *name == model.name);
        let groups = ceiling.map_or(groups, |(_, keeps)| groups.min(*keeps));
        floor.map_or(groups, |(_, wants)| groups.max(*wants))
    }

    /// Whether a model lends groups.
    pub(crate) fn is_lender(&self, model: &Model) -> bool {
        self.ceiling.as_ref().is_some_and(|(name, _)| *name == model.name)
    }

    /// Returns the first letter of the names of new groups of a model.
    pub(crate) fn find_prefix(&self, model: &Model) -> char {
        let is_borrower = self.floor.as_ref().is_some_and(|(name, _)| *name == model.name);
        if is_borrower { BORROWED_PREFIX } else { USUAL_PREFIX }
    }

    /// Returns the bounds for loads from the weight store. They have no floor, because nothing is loaded
    /// for a shift.
    pub(crate) fn without_floor(&self) -> Bounds {
        Bounds { ceiling: self.ceiling.clone(), floor: None }
    }
}

/// Whether a shift formed a group.
pub(super) fn is_borrowed(group: &id::Group) -> bool {
    group.as_str().starts_with(BORROWED_PREFIX)
}
