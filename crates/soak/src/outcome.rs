//! How the requests of a run ended.

use std::collections::BTreeMap;
use std::fmt;

use crate::load::Call;

/// How many requests ended in each way, by kind of request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    counts: BTreeMap<(&'static str, String), usize>,
}

impl Outcome {
    /// Counts all requests.
    pub fn count(calls: &[Call]) -> Outcome {
        let mut outcome = Outcome::default();
        for call in calls {
            *outcome.counts.entry((call.kind.path(), name_end(call))).or_default() += 1;
        }
        outcome
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut last = "";
        for ((path, end), count) in &self.counts {
            if *path != last {
                write!(out, "{}{path}:", if last.is_empty() { "" } else { "; " })?;
                last = path;
            }
            write!(out, " {count} {end}")?;
        }
        Ok(())
    }
}

fn name_end(call: &Call) -> String {
    match &call.answer {
        None if call.whole.is_none() => "not connected".to_owned(),
        None => "given up by their caller".to_owned(),
        Some(answer) if answer.status == 0 => "without an answer".to_owned(),
        Some(answer) if answer.status == 200 && answer.complete => "served".to_owned(),
        Some(answer) if answer.status == 200 => "broken off".to_owned(),
        Some(answer) => answer.status.to_string(),
    }
}
