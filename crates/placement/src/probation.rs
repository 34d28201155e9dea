//! Effects of task outcomes on jobs and workers.

use kspan_model::{Millis, TaskId};

use crate::{
    health::{Outcome, Verdict},
    job::JobNo,
    state::Inner,
    timers::Timer,
    worker::WorkerNo,
};

/// Number of failed workers from which on a job's failures no longer count against workers.
const MAX_FAILED_WORKERS: u32 = 2;
/// Ratio of successes to failures above which a job's failures always count against workers.
const MIN_SUCCESSES_PER_FAILURE: u32 = 2;
/// Maximum number of failures of one task that are not counted against its job.
const MAX_EXEMPT_FAILURES: u32 = 8;

impl Inner {
    /// Records an outcome on the worker. Returns whether a failure does not count against the job.
    pub(crate) fn record_outcome(
        &mut self,
        number: JobNo,
        task: TaskId,
        worker: WorkerNo,
        failed: bool,
        now: Millis,
    ) -> bool {
        self.failure_rate.record(failed);
        let job = self.jobs.get(number);
        let mostly_succeeds = job.finished > MIN_SUCCESSES_PER_FAILURE * job.failures;
        let is_evidence = job.failed_workers < MAX_FAILED_WORKERS || mostly_succeeds;
        let may_exempt = job.slots[task.index as usize].exempt_failures < MAX_EXEMPT_FAILURES;
        let job_has_successes = job.finished > 0;
        let health = &mut self.workers.get_mut(worker).health;
        let is_suspect = failed && may_exempt && is_evidence && health.is_suspect(task);
        let outcome = Outcome {
            task,
            failed,
            is_evidence,
            job_has_successes,
            charged: failed && !is_suspect,
        };
        let verdict = health.record(outcome, self.failure_rate.get());
        let mut exempt = is_suspect;
        match verdict {
            Verdict::Unchanged => {}
            Verdict::Cleared => {
                self.workers.reindex(worker);
                self.record_freed_room(worker);
            }
            Verdict::Probation {
                duration,
                charged_failures,
            } => {
                self.workers.reindex(worker);
                let name = self.workers.get(worker).name.clone();
                self.timers
                    .schedule(now.saturating_add(duration), Timer::EndProbation(name));
                self.refund_failures(&charged_failures, task);
                exempt |= may_exempt && is_evidence;
            }
        }
        if exempt {
            self.jobs.get_mut(number).slots[task.index as usize].exempt_failures += 1;
        }
        exempt
    }

    /// Removes failures caused by a worker on probation from their jobs' counts. The current
    /// failure has not been counted yet.
    fn refund_failures(&mut self, charged: &[TaskId], current_failure: TaskId) {
        for task in charged.iter().filter(|task| **task != current_failure) {
            let Some(number) = self.jobs.number(task.job) else {
                continue;
            };
            let job = self.jobs.get_mut(number);
            job.failures = job.failures.saturating_sub(1);
            if let Some(slot) = job.slots.get_mut(task.index as usize) {
                slot.failures = slot.failures.saturating_sub(1);
            }
        }
    }
}
