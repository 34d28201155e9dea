//! Scheduled timers.

use std::collections::BTreeSet;

use kspan_model::{JobId, Millis, Name, TaskId};

/// An action to run at a scheduled time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Raise the priority of a job that has waited long enough.
    Promote(JobId),
    /// End a worker's probation.
    EndProbation(Name),
    /// End the backoff of a task.
    Retry(TaskId),
}

/// All scheduled timers, earliest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers {
    timers: BTreeSet<(Millis, Timer)>,
}

impl Timers {
    pub(crate) fn schedule(&mut self, at: Millis, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Removes and returns the next timer due by `now`.
    pub(crate) fn pop_due(&mut self, now: Millis) -> Option<Timer> {
        let (at, _) = self.timers.first()?;
        if *at > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    /// Returns whether the task is in backoff.
    pub(crate) fn has_retry(&self, task: TaskId) -> bool {
        self.timers
            .iter()
            .any(|(_, timer)| *timer == Timer::Retry(task))
    }

    /// Returns when the next timer is due.
    pub(crate) fn next_due(&self) -> Option<Millis> {
        self.timers.first().map(|(at, _)| *at)
    }
}
