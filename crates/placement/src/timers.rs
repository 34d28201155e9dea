//! Things to do at a time.

use std::collections::BTreeSet;

use kspan_model::{JobId, Millis, Name, TaskId};

/// What falls timer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A job has waited so long that its priority rises.
    Promote(JobId),
    /// A worker's probation is over.
    EndProbation(Name),
    /// The backoff of a task that waits for its next attempt is over.
    Retry(TaskId),
}

/// Everything that is to be done later, soonest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers {
    timers: BTreeSet<(Millis, Timer)>,
}

impl Timers {
    pub(crate) fn schedule(&mut self, at: Millis, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Takes the next thing that is timer by `now`.
    pub(crate) fn pop_due(&mut self, now: Millis) -> Option<Timer> {
        let (at, _) = self.timers.first()?;
        if *at > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    /// Returns whether the task waits for its backoff to end.
    pub(crate) fn has_retry(&self, task: TaskId) -> bool {
        self.timers
            .iter()
            .any(|(_, timer)| *timer == Timer::Retry(task))
    }

    /// Returns when the next thing falls timer.
    pub(crate) fn next_due(&self) -> Option<Millis> {
        self.timers.first().map(|(at, _)| *at)
    }
}
