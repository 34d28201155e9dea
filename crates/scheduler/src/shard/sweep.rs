//! Commands: the periodic search for tasks and services that are no longer wanted.

use std::collections::BTreeMap;

use kspan_model::{JobId, Millis, Name, UnixMillis};
use kspan_placement::Cell;

use super::{JobEntry, Shard};
use crate::{commands::Order, times::ORPHAN_GRACE, worker::Worker};

/// Period of the search.
const SWEEP_PERIOD: Millis = Millis(250);

impl Shard {
    /// Stops and forgets what is no longer wanted.
    pub(super) fn sweep(&mut self, now: Millis, unix: UnixMillis) {
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_PERIOD;
            self.retire_replaced(now, unix);
            self.stop_orphans(now);
        }
    }

    fn retire_replaced(&mut self, now: Millis, unix: UnixMillis) {
        let due: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(job, entry)| {
                entry
                    .retire_at
                    .is_some_and(|at| now >= at || self.is_replaced(**job, entry))
            })
            .map(|(job, _)| *job)
            .collect();
        for job in due {
            log::info!("scheduler: job {job} is no longer declared, stopping its runners");
            self.retire(job, now, unix);
        }
    }

    fn is_replaced(&self, job: JobId, entry: &JobEntry) -> bool {
        self.jobs.iter().any(|(other, new)| {
            *other != job
                && new.declared.spec.workload == entry.declared.spec.workload
                && new.retire_at.is_none()
                && self.running(*other) >= new.declared.spec.tasks
        })
    }

    /// Stops tasks that placement does not know, once the log has had time to name their jobs,
    /// and lets workers forget ended ones of jobs that nobody knows.
    fn stop_orphans(&mut self, now: Millis) {
        let mut seen = BTreeMap::new();
        for (name, worker) in &mut self.workers {
            let jobs = worker.held.keys().chain(worker.ended.keys());
            let strangers: Vec<JobId> = jobs
                .map(|task| task.job)
                .filter(|job| !self.jobs.contains_key(job) && !self.ends.contains_key(job))
                .collect();
            for job in strangers {
                let since = *self.orphans_since.get(&job).unwrap_or(&now);
                seen.insert(job, since);
                if now >= since + ORPHAN_GRACE {
                    worker.stop_job(job, now);
                    worker.forget_job(job, now);
                }
            }
            forget_runners(worker, &self.jobs, now);
            stop_superseded(worker, name, &self.cell, &self.jobs, now);
        }
        self.orphans_since = seen;
    }
}

/// Lets a worker forget runners that have ended; nothing is kept of them.
fn forget_runners(worker: &mut Worker, jobs: &BTreeMap<JobId, JobEntry>, now: Millis) {
    let ended: Vec<JobId> = worker
        .ended
        .keys()
        .map(|task| task.job)
        .filter(|job| {
            jobs.get(job)
                .is_some_and(|entry| entry.declared.is_service())
        })
        .collect();
    for job in ended {
        worker.forget_job(job, now);
    }
}

/// Stops tasks whose job runs their index elsewhere or no longer wants it.
fn stop_superseded(
    worker: &mut Worker,
    name: &Name,
    cell: &Cell,
    jobs: &BTreeMap<JobId, JobEntry>,
    now: Millis,
) {
    let current = cell.tasks_on(name);
    for (task, held) in &mut worker.held {
        let is_known = jobs.get(&task.job).is_some_and(|entry| entry.admitted);
        let is_current = || current.iter().any(|placed| placed.task == *task);
        if is_known && !held.leaving && !is_current() {
            held.leaving = true;
            let grace = Millis::ZERO;
            worker.queue.push(*task, Order::Stop { grace }, now);
        }
    }
}
