//! Things to do at a time.

use std::collections::BTreeSet;

use kspan_model::{Millis, TaskId};

/// What falls due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    /// The backoff of a task that waits for its next attempt is over.
    Retry(TaskId),
}

/// Everything that is to be done later, soonest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers {
    due: BTreeSet<(Millis, Due)>,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Millis, due: Due) {
        self.due.insert((at, due));
    }

    /// Takes the next thing that is due by `now`.
    pub(crate) fn pop(&mut self, now: Millis) -> Option<Due> {
        let (at, _) = self.due.first()?;
        if *at > now {
            return None;
        }
        self.due.pop_first().map(|(_, due)| due)
    }

    /// Returns when the next thing falls due.
    pub(crate) fn next(&self) -> Option<Millis> {
        self.due.first().map(|(at, _)| *at)
    }
}
