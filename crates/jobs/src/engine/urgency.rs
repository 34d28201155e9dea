//! The order of waiting work, by what its callers can still gain.
//!
//! Answers the load pattern in which more work waits than runs: within a priority, jobs that can
//! still meet their objective go first, the one whose objective ends soonest at the head. Jobs
//! past hope go last, the longest waiting first, so that nothing starves.

use kspan_model::Millis;

use super::{Engine, job::Job, job::Occurrence};

/// Rank of a job among waiting ones; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    /// False where a task of a long-running step has waited for too long, which goes first.
    can_wait: bool,
    priority: u32,
    is_past_hope: bool,
    due: Millis,
}

impl Urgency {
    /// Returns the rank of a step of the job, which may be overdue.
    pub(super) fn or_overdue(self, is_overdue: bool) -> Self {
        Self {
            can_wait: !is_overdue,
            ..self
        }
    }

    /// Returns whether a task of a long-running step has waited for too long.
    pub(super) fn is_overdue(&self) -> bool {
        !self.can_wait
    }
}

impl Engine {
    /// Ranks a job.
    pub(super) fn urgency(&self, job: &Job, now: Millis) -> Urgency {
        let policy = &job.record.policy;
        let whole = self.chain(job, None);
        let left = job
            .occurrences
            .first()
            .map_or(whole, |occ| self.chain(job, Some(occ)));
        let due = job.submitted + stretched(whole, policy.stretch) + policy.slack;
        Urgency {
            can_wait: true,
            priority: policy.priority,
            is_past_hope: now + left > due,
            due,
        }
    }

    /// Returns the expected time of the longest chain of steps that are not done.
    fn chain(&self, job: &Job, occurrence: Option<&Occurrence>) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(job.record.spec.steps.len());
        for (number, step) in job.record.spec.steps.iter().enumerate() {
            let before = step.depends_on.iter().map(|&on| ends[on as usize]).max();
            let done = occurrence.is_some_and(|occ| occ.steps[number].is_done());
            let own = if done {
                Millis::ZERO
            } else {
                self.run_times.expect(step)
            };
            ends.push(before.unwrap_or_default() + own);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "objectives are seconds to hours"
)]
fn stretched(chain: Millis, stretch: f64) -> Millis {
    Millis((chain.0 as f64 * stretch.max(0.0)) as u64)
}
