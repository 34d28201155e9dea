//! Things to do at a time.

use std::collections::BTreeSet;

use kspan_model::{JobId, Millis, Name, TaskId};

/// What falls due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    /// A job has waited so long that its priority rises.
    Age(JobId),
    /// A worker's probation is over.
    Trial(Name),
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

    /// Returns whether the task waits for its backoff to end.
    pub(crate) fn has_retry(&self, task: TaskId) -> bool {
        self.due.iter().any(|(_, due)| *due == Due::Retry(task))
    }

    /// Returns when the next thing falls due.
    pub(crate) fn next(&self) -> Option<Millis> {
        self.due.first().map(|(at, _)| *at)
    }
}
