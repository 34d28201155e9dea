//! Scheduling order of waiting steps.
//!
//! When more work waits than can run, jobs within a priority that can still meet their objective
//! come first, the one whose objective ends soonest at the head. Jobs that can no longer meet it
//! come last, also ordered by the end of their objective, so that the longest waiting precede and
//! none starves.
//!
//! Load pattern: a backlog that outlasts a disturbance. Jobs that would end so late that their
//! callers no longer have any use for the result rank after all others, whatever their priority;
//! they would otherwise hold back jobs that can still be useful.

use kspan_model::Millis;

use super::{
    Engine,
    job::{Job, Occurrence},
    share::ShareUnit,
};

/// Multiple of its objective within which the result of a job is of use to its caller.
const USEFUL_OBJECTIVES: u64 = 3;

/// Rank of a waiting step; the smallest is scheduled first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    /// False if a task of a long-running step is overdue, which ranks it first.
    is_not_overdue: bool,
    /// Whether the job's team submitted more than it is entitled to.
    exceeds_rate: bool,
    /// Whether the job would end too late to be of any use.
    is_useless: bool,
    priority: u32,
    /// Whether the step's waiting tasks have failed repeatedly.
    fails_repeatedly: bool,
    /// Whether the job's team uses its whole share of the cell.
    is_over_share: bool,
    misses_objective: bool,
    due: Millis,
}

impl Urgency {
    /// Returns the rank with the overdue state of a step.
    pub(super) fn with_overdue(self, is_overdue: bool) -> Self {
        Self {
            is_not_overdue: !is_overdue,
            ..self
        }
    }

    /// Returns the rank of a step whose waiting tasks have failed repeatedly, or have not.
    pub(super) fn with_repeated_failures(self, fails_repeatedly: bool) -> Self {
        Self {
            fails_repeatedly,
            ..self
        }
    }

    /// Returns whether the job can no longer meet its objective.
    pub(super) fn misses_objective(&self) -> bool {
        self.misses_objective
    }

    /// Returns whether a task of a long-running step is overdue.
    pub(super) fn is_overdue(&self) -> bool {
        !self.is_not_overdue
    }
}

impl Engine {
    /// Returns the rank of a job, regardless of the state of its steps.
    pub(super) fn urgency(&self, job: &Job, share_unit: ShareUnit, now: Millis) -> Urgency {
        let policy = &job.record.policy;
        let remaining = self.remaining_path(job);
        let (objective, began) = self.objective(job);
        let due = began + objective;
        let latest_useful = began + objective.saturating_mul(USEFUL_OBJECTIVES);
        Urgency {
            is_not_overdue: true,
            exceeds_rate: job.record.exceeds_rate,
            is_useless: !job.record.spec.is_long_running() && now + remaining > latest_useful,
            priority: policy.priority,
            fails_repeatedly: false,
            is_over_share: job
                .team
                .is_some_and(|team| self.is_over_share(team, share_unit)),
            misses_objective: now + remaining > due,
            due,
        }
    }

    /// Returns a job's objective for its completion time, and the time from which it counts.
    fn objective(&self, job: &Job) -> (Millis, Millis) {
        let policy = &job.record.policy;
        let total = self.critical_path(job, None);
        let objective = stretched(total, policy.stretch) + policy.slack;
        (objective, job.oldest_occurrence_began())
    }

    /// Returns by how much the job's remaining steps may be delayed without missing its objective.
    pub(super) fn slack(&self, job: &Job, now: Millis) -> Millis {
        let expected_end = now + self.remaining_path(job);
        let (objective, began) = self.objective(job);
        (began + objective).saturating_sub(expected_end)
    }

    /// Returns the expected duration of the critical path through the steps of the oldest occurrence
    /// that are not completed.
    fn remaining_path(&self, job: &Job) -> Millis {
        self.critical_path(job, job.occurrences.first())
    }

    /// Returns the expected duration of the critical path through the steps that are not completed;
    /// through all steps if `occurrence` is `None`.
    fn critical_path(&self, job: &Job, occurrence: Option<&Occurrence>) -> Millis {
        let mut step_ends: Vec<Millis> = Vec::with_capacity(job.record.spec.steps.len());
        for (number, step) in job.record.spec.steps.iter().enumerate() {
            let ready_at = step
                .depends_on
                .iter()
                .map(|&dependency| step_ends[dependency as usize])
                .max();
            let is_done = occurrence.is_some_and(|occ| occ.steps[number].is_done());
            let duration = if is_done {
                Millis::ZERO
            } else {
                self.run_times.expected(step)
            };
            step_ends.push(ready_at.unwrap_or_default() + duration);
        }
        step_ends.into_iter().max().unwrap_or_default()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "objectives are seconds to hours"
)]
fn stretched(duration: Millis, stretch: f64) -> Millis {
    Millis((duration.0 as f64 * stretch.max(0.0)) as u64)
}
