//! The periodic sweep of tasks and services that are no longer needed.

use std::collections::BTreeMap;

use kspan_model::{JobId, Millis, Name, UnixMillis};
use kspan_placement::Cell;

use super::{JobEntry, Shard};
use crate::{commands::Order, timing::ORPHAN_GRACE, worker::Worker};

/// Interval between sweeps.
const SWEEP_INTERVAL: Millis = Millis(250);

impl Shard {
    /// Stops and forgets tasks that are no longer needed, once per interval.
    pub(super) fn run_sweep(&mut self, now: Millis, unix: UnixMillis) {
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.remove_undeclared_services(now, unix);
            self.stop_unknown_tasks(now);
        }
    }

    fn remove_undeclared_services(&mut self, now: Millis, unix: UnixMillis) {
        let due: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(job, entry)| {
                entry
                    .stop_by
                    .is_some_and(|at| now >= at || self.is_replacement_running(**job, entry))
            })
            .map(|(job, _)| *job)
            .collect();
        for job in due {
            log::info!("scheduler: job {job} is no longer declared; stopping its runners");
            self.remove_job(job, now, unix);
        }
    }

    fn is_replacement_running(&self, job: JobId, entry: &JobEntry) -> bool {
        self.jobs.iter().any(|(other, new)| {
            *other != job
                && new.declared.spec.workload == entry.declared.spec.workload
                && new.stop_by.is_none()
                && self.count_running_tasks(*other) >= new.declared.spec.tasks
        })
    }

    /// Stops tasks of jobs that stay unknown for [`ORPHAN_GRACE`], by when the log should have
    /// delivered their submissions, and orders workers to forget ended ones.
    fn stop_unknown_tasks(&mut self, now: Millis) {
        let mut still_unknown = BTreeMap::new();
        for (name, worker) in &mut self.workers {
            let jobs = worker.active_tasks.keys().chain(worker.ended_tasks.keys());
            let unknown_jobs: Vec<JobId> = jobs
                .map(|task| task.job)
                .filter(|job| {
                    !self.jobs.contains_key(job) && !self.unrecorded_ends.contains_key(job)
                })
                .collect();
            for job in unknown_jobs {
                let since = *self.unknown_since.get(&job).unwrap_or(&now);
                still_unknown.insert(job, since);
                if now >= since + ORPHAN_GRACE {
                    worker.stop_job(job, now);
                    worker.forget_job(job, now);
                }
            }
            forget_ended_runners(worker, &self.jobs, now);
            stop_superseded_tasks(worker, name, &self.cell, &self.jobs, now);
        }
        self.unknown_since = still_unknown;
    }
}

/// Orders a worker to forget ended runners; no record of them is kept.
fn forget_ended_runners(worker: &mut Worker, jobs: &BTreeMap<JobId, JobEntry>, now: Millis) {
    let ended: Vec<JobId> = worker
        .ended_tasks
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

/// Stops tasks that placement has started elsewhere or no longer needs.
fn stop_superseded_tasks(
    worker: &mut Worker,
    name: &Name,
    cell: &Cell,
    jobs: &BTreeMap<JobId, JobEntry>,
    now: Millis,
) {
    let current = cell.tasks_on(name);
    for (task, active) in &mut worker.active_tasks {
        let is_known = jobs.get(&task.job).is_some_and(|entry| entry.admitted);
        let is_current = || current.iter().any(|placed| placed.task == *task);
        if is_known && !active.end_requested && !is_current() {
            active.end_requested = true;
            let grace = Millis::ZERO;
            worker.queue.push(*task, Order::Stop { grace }, now);
        }
    }
}
