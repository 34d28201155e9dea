//! Approval requests for steps that are about to become ready.
//!
//! Load pattern: jobs of several steps, where an approval call takes a large part of the time that a
//! step may wait. A step whose dependencies are running and expected to be done by the time that a call
//! would be answered requests its approvals already then. So does one that waits for the runs of a previous owner, as all of
//! these begin to request them at the same time otherwise.

use kspan_model::Millis;

use super::{Engine, job::Job, urgency::Urgency};
use crate::{config::Policy, id::StepId};

/// Time before the end of a call at which a step may become ready. Tasks end earlier or later than
/// expected, and a call may wait for its host.
const READY_MARGIN: Millis = Millis(500);

/// Time before the end of a wait for a previous owner at which its steps request approvals. A gang may need several calls.
const MAX_VERIFICATION_LEAD: Millis = Millis(1_500);

impl Engine {
    /// Returns whether a step whose tasks wait until `verified_at` for the runs of a previous owner should request
    /// approvals now, which must not end before the wait.
    pub(super) fn is_approval_due(policy: &Policy, verified_at: Millis, now: Millis) -> bool {
        policy.approval.is_some_and(|approval| {
            let lead = MAX_VERIFICATION_LEAD.min(Millis(approval.validity.0 / 2));
            now + lead >= verified_at
        })
    }

    /// Returns the steps of a job that should request approvals before they are ready.
    pub(super) fn upcoming_steps(
        &self,
        job: &Job,
        urgency: Urgency,
        now: Millis,
    ) -> Vec<(Urgency, StepId)> {
        if job.record.policy.approval.is_none() {
            return Vec::new();
        }
        let upcoming = job.upcoming_steps().filter(|(id, open)| {
            let Some((step, _)) = job.step(*id) else {
                return false;
            };
            if step.approvals.has_responses() {
                // One call is enough until the step is ready.
                return false;
            }
            let answered_at = now + Self::approval_time(step, &job.record.policy);
            self.expected_ready(job, *id, open, now) <= answered_at + READY_MARGIN
        });
        upcoming.map(|(id, _)| (urgency, id)).collect()
    }

    /// Returns when the running tasks of the `open` steps that a step depends on are expected to be
    /// done.
    fn expected_ready(&self, job: &Job, id: StepId, open: &[usize], now: Millis) -> Millis {
        let ends = open.iter().filter_map(|&number| {
            let dependency = StepId {
                step: u32::try_from(number).ok()?,
                ..id
            };
            let (step, spec) = job.step(dependency)?;
            let running = step
                .tasks
                .iter()
                .filter(|task| task.state.runner().is_some());
            let latest_start = running.map(|task| task.state_since).max()?;
            Some(latest_start + self.run_times.expected(spec))
        });
        ends.max().unwrap_or(now)
    }
}
