//! The labels of halls in metrics. An entry may name any hall, and a label stays for as long as the process runs.

use std::collections::BTreeSet;

use cottoncrank::id;
use parking_lot::Mutex;

/// The halls that get a label of their own, far more than a fleet has.
const MAX_HALLS: usize = 64;

/// The label of all other halls. A name has no blank, so it is that of no hall.
const OTHERS: &str = "all others";

static LABELLED: Mutex<BTreeSet<id::Hall>> = Mutex::new(BTreeSet::new());

/// Returns the label of a hall.
pub(crate) fn find(hall: &id::Hall) -> String {
    let mut labelled = LABELLED.lock();
    if !labelled.contains(hall) {
        if labelled.len() >= MAX_HALLS {
            return OTHERS.to_owned();
        }
        labelled.insert(hall.clone());
    }
    hall.to_string()
}
