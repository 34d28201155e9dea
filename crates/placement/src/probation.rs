//! What follows for jobs and workers from an outcome.

use kspan_model::{Millis, TaskId};

use crate::{
    health::{Outcome, Verdict},
    job::JobNo,
    state::Inner,
    timers::Due,
    worker::WorkerNo,
};

/// Workers on which a job must fail before its failures say nothing about a worker.
const FAILS_EVERYWHERE: u32 = 2;
/// Successes for each failure that make a job's failures evidence all the same.
const SUCCESSES_PER_FAILURE: u32 = 2;
/// Failures of one task that are forgiven at most.
const MOST_FORGIVEN: u32 = 8;

impl Inner {
    /// Records an outcome against the worker. Returns whether a failure is not to count against
    /// the job.
    pub(crate) fn judge(
        &mut self,
        number: JobNo,
        task: TaskId,
        worker: WorkerNo,
        failed: bool,
        now: Millis,
    ) -> bool {
        self.failure_rate.record(failed);
        let job = self.jobs.get(number);
        let succeeds = job.finished > SUCCESSES_PER_FAILURE * job.failures;
        let is_evidence = job.failed_workers < FAILS_EVERYWHERE || succeeds;
        let may_forgive = job.slots[task.index as usize].forgiven < MOST_FORGIVEN;
        let job_does_well = job.finished > 0;
        let health = &mut self.workers.get_mut(worker).health;
        let is_suspect = failed && may_forgive && is_evidence && health.is_suspect(task);
        let outcome = Outcome {
            task,
            failed,
            is_evidence,
            job_does_well,
            charged: failed && !is_suspect,
        };
        let verdict = health.record(outcome, self.failure_rate.get());
        let mut forgiven = is_suspect;
        match verdict {
            Verdict::Unchanged => {}
            Verdict::Cleared => {
                self.workers.refresh(worker);
                self.offer_room(worker);
            }
            Verdict::Probation { span, take_back } => {
                self.workers.refresh(worker);
                let name = self.workers.get(worker).name.clone();
                self.timers.set(now.saturating_add(span), Due::Trial(name));
                self.take_back(&take_back, task);
                forgiven |= may_forgive && is_evidence;
            }
        }
        if forgiven {
            self.jobs.get_mut(number).slots[task.index as usize].forgiven += 1;
        }
        forgiven
    }

    /// Takes back failures that a condemned worker caused. The failure under judgement has not
    /// been counted yet.
    fn take_back(&mut self, charged: &[TaskId], under_judgement: TaskId) {
        for task in charged.iter().filter(|task| **task != under_judgement) {
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
