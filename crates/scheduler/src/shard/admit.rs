//! Admission of the services and submissions in the log to placement.

use std::sync::Arc;

use kspan_fold::State;
use kspan_model::{
    JobEnd, JobId, JobResult, Millis, Name, Resources, Submission, UnixMillis, document::Document,
};
use kspan_placement::{CancelOutcome, ImpossibleReason, PlacedTask, ResizeOutcome, SubmitOutcome};

use super::{JobEntry, Phase, Shard, quota, tasks::PlacementEvent};
use crate::{
    specs::{self, DeclaredJob},
    timing::MAX_CLOCK_SKEW,
};

/// Timeout of the wait for the runners that replace those of a changed service.
const REPLACE_TIMEOUT: Millis = Millis::from_secs(30);

/// Delay before the admission of a job whose team uses its quota in other shards is retried.
const QUOTA_RETRY_DELAY: Millis = Millis::from_secs(1);

impl Shard {
    /// Applies new log state.
    pub fn set_log_state(&mut self, log_state: Arc<State>, now: Millis, unix: UnixMillis) {
        let before = std::mem::replace(&mut self.log_state, log_state);
        let log_state = Arc::clone(&self.log_state);
        let Some(document) = &log_state.document else {
            return;
        };
        if before.document_version != log_state.document_version || before.document.is_none() {
            self.set_document(document, now, unix);
        }
        if before.drains != log_state.drains {
            self.sync_worker_states();
        }
        if before.document.is_some()
            && Arc::ptr_eq(&before.submissions, &log_state.submissions)
            && Arc::ptr_eq(&before.cancels, &log_state.cancels)
        {
            return;
        }
        self.forget_recorded_jobs(now);
        self.remove_ended_jobs(now, unix);
        for submission in log_state.submissions.values() {
            if submission.shard == self.site.data_centre {
                self.register_submission(document, submission, now, unix);
            }
        }
        self.cancel_jobs(now, unix);
    }

    fn set_document(&mut self, document: &Document, now: Millis, unix: UnixMillis) {
        self.cell.set_policy(document.policy);
        self.cell.set_teams(&quota::remaining_quotas(
            &document.teams,
            &self.usage_elsewhere,
        ));
        self.cell.set_fleet(&declared_fleet_share(document));
        let wanted = specs::service_jobs(document, &self.site.data_centre, now);
        self.schedule_undeclared_services(&wanted, now);
        for declared in wanted {
            self.declare_service(declared, now, unix);
        }
    }

    fn declare_service(&mut self, declared: DeclaredJob, now: Millis, unix: UnixMillis) {
        let id = declared.spec.id;
        let tasks = declared.spec.tasks;
        let Some(entry) = self.jobs.get_mut(&id) else {
            self.jobs.insert(id, JobEntry::new(declared, false));
            return;
        };
        entry.stop_by = None;
        let before = std::mem::replace(&mut entry.declared, declared).spec.tasks;
        if entry.admitted && before != tasks {
            log::info!("scheduler: resizing job {id} from {before} to {tasks} runners");
            self.resize_service(id, tasks, now, unix);
        }
    }

    /// Changes a service's number of runners.
    pub(super) fn resize_service(&mut self, job: JobId, tasks: u32, now: Millis, unix: UnixMillis) {
        if let ResizeOutcome::Changed(stopped) = self.cell.resize(job, tasks, now) {
            self.stop_tasks(&stopped, now, unix);
        }
    }

    /// Schedules the removal of services that are no longer declared. A service whose workload has
    /// a new job keeps its runners until the new ones run.
    fn schedule_undeclared_services(&mut self, wanted: &[DeclaredJob], now: Millis) {
        for (id, entry) in &mut self.jobs {
            let stays = wanted.iter().any(|declared| declared.spec.id == *id);
            if stays || !entry.declared.is_service() || entry.stop_by.is_some() {
                continue;
            }
            let name = &entry.declared.spec.workload;
            let is_replaced = wanted
                .iter()
                .any(|declared| declared.spec.workload == *name);
            entry.stop_by = Some(if is_replaced {
                now + REPLACE_TIMEOUT
            } else {
                now
            });
        }
    }

    fn register_submission(
        &mut self,
        document: &Document,
        submission: &Submission,
        now: Millis,
        unix: UnixMillis,
    ) {
        let job = submission.job;
        if self.jobs.contains_key(&job) || self.unrecorded_ends.contains_key(&job) {
            return;
        }
        let is_owned = matches!(self.phase, Phase::Recovering | Phase::Active);
        let known_unstarted =
            is_owned && submission.accepted > self.claimed_at_unix.after(MAX_CLOCK_SKEW);
        if let Some(declared) = specs::submitted_job(document, submission, now, unix) {
            self.jobs
                .insert(job, JobEntry::new(declared, known_unstarted));
            return;
        }
        let reason = format!("workload {} is no longer declared", submission.workload);
        let end = JobEnd {
            job,
            result: JobResult::Impossible,
            reason: reason.into(),
            ended: unix,
        };
        self.unrecorded_ends.insert(job, end);
    }

    /// Orders workers to forget the tasks of jobs whose ends are recorded in the log.
    fn forget_recorded_jobs(&mut self, now: Millis) {
        let open = &self.log_state.submissions;
        let workers = &mut self.workers;
        self.unrecorded_ends.retain(|job, _| {
            let is_open = open.contains_key(job);
            if !is_open {
                for worker in workers.values_mut() {
                    worker.forget_job(*job, now);
                }
            }
            is_open
        });
    }

    /// Removes jobs that have ended according to the log but are still open here.
    fn remove_ended_jobs(&mut self, now: Millis, unix: UnixMillis) {
        let ended: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(job, entry)| {
                !entry.declared.is_service() && !self.log_state.submissions.contains_key(job)
            })
            .map(|(job, _)| *job)
            .collect();
        for job in ended {
            self.remove_job(job, now, unix);
        }
    }

    /// Stops and removes a job without recording an end.
    pub(super) fn remove_job(&mut self, job: JobId, now: Millis, unix: UnixMillis) {
        if let CancelOutcome::Running(placed) = self.cell.cancel(job) {
            self.stop_tasks(&placed, now, unix);
        }
        self.jobs.remove(&job);
        self.surges.remove(&job);
    }

    fn cancel_jobs(&mut self, now: Millis, unix: UnixMillis) {
        let log_state = Arc::clone(&self.log_state);
        for job in log_state.cancels.iter() {
            self.cancel_job(*job, now, unix);
        }
    }

    /// Cancels a job. The result is `cancelled-not-run` only if no owner can have started any of
    /// its tasks.
    fn cancel_job(&mut self, job: JobId, now: Millis, unix: UnixMillis) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let is_active = self.phase == Phase::Active;
        let waits_for_recovery = !entry.admitted && !entry.known_unstarted && !is_active;
        if entry.cancelling || waits_for_recovery || entry.declared.is_service() {
            return;
        }
        entry.cancelling = true;
        let known_unstarted = entry.known_unstarted;
        match self.cell.cancel(job) {
            CancelOutcome::Running(placed) => {
                self.stop_tasks(&placed, now, unix);
                if self.cell.tasks(job).is_empty() {
                    let reason = Name::new("cancelled");
                    self.end_job(job, JobResult::Cancelled, reason, unix);
                }
            }
            CancelOutcome::NotRun | CancelOutcome::Unknown if known_unstarted => {
                let reason = Name::new("cancelled before any start was sent");
                self.end_job(job, JobResult::CancelledNotRun, reason, unix);
            }
            CancelOutcome::NotRun | CancelOutcome::Unknown => {
                let reason = Name::new("cancelled; an earlier owner may have started it");
                self.end_job(job, JobResult::Cancelled, reason, unix);
            }
        }
    }

    /// Submits jobs to placement. Until the shard has recovered, only those that no previous owner
    /// can have started are submitted.
    pub(super) fn admit_jobs(&mut self, now: Millis, unix: UnixMillis) {
        let is_active = self.phase == Phase::Active;
        let waiting: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, entry)| !entry.admitted && (is_active || entry.known_unstarted))
            .filter(|(_, entry)| entry.retry_at <= now)
            .map(|(job, _)| *job)
            .collect();
        for job in waiting {
            self.admit_job(job, now, unix);
        }
        if is_active {
            self.run_sweep(now, unix);
        }
    }

    fn admit_job(&mut self, job: JobId, now: Millis, unix: UnixMillis) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        match self.cell.submit(entry.declared.spec.clone()) {
            SubmitOutcome::Queued | SubmitOutcome::AlreadyKnown => {
                entry.admitted = true;
                entry.impossible = None;
                entry.quota_block = None;
                self.replay_ends(job, now, unix);
                if self.log_state.cancels.contains(&job) {
                    self.cancel_job(job, now, unix);
                }
            }
            SubmitOutcome::Impossible(reason) => {
                self.reject_job(job, &reason, now, unix);
            }
        }
    }

    /// Handles a job that placement rejects. A service is retried later, because workers may join,
    /// and so is a job whose team uses its quota in other shards; any other job ends as impossible.
    pub(super) fn reject_job(
        &mut self,
        job: JobId,
        reason: &ImpossibleReason,
        now: Millis,
        unix: UnixMillis,
    ) {
        let blocked_elsewhere = quota::is_blocked_by_other_shards(&self.log_state, reason);
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let reason = Name::from(reason.to_string());
        if blocked_elsewhere {
            entry.admitted = false;
            entry.quota_block = Some(reason);
            entry.retry_at = now + QUOTA_RETRY_DELAY;
            return;
        }
        if !entry.declared.is_service() {
            self.end_job(job, JobResult::Impossible, reason, unix);
            return;
        }
        if entry.impossible.as_ref() != Some(&reason) {
            let name = &entry.declared.spec.workload;
            log::warn!("scheduler: service {name} can't run in this shard: {reason}");
        }
        entry.admitted = false;
        entry.impossible = Some(reason);
        entry.retry_at = now + REPLACE_TIMEOUT;
    }

    /// Reports to placement the tasks that ended before their job was admitted, oldest attempts
    /// first.
    fn replay_ends(&mut self, job: JobId, now: Millis, unix: UnixMillis) {
        let workers = self.workers.values();
        let mut ended: Vec<_> = workers
            .flat_map(|worker| &worker.ended_tasks)
            .filter(|(task, _)| task.job == job)
            .map(|(task, ended)| (task.attempt, task.index, *task, ended.end))
            .collect();
        ended.sort_by_key(|(attempt, index, ..)| (*attempt, *index));
        let events = ended
            .into_iter()
            .map(|(_, _, task, end)| PlacementEvent::Ended(task, end))
            .collect();
        self.apply_placement_events(events, now, unix);
    }

    /// Returns how many tasks of a job run and have not been ordered to end, on workers that are
    /// not leaving.
    pub(super) fn count_running_tasks(&self, job: JobId) -> u32 {
        let workers = self.workers.values().filter(|worker| !worker.is_leaving());
        let staying = workers
            .flat_map(|worker| &worker.active_tasks)
            .filter(|(task, active)| {
                task.job == job && !active.end_requested && active.is_running()
            });
        u32::try_from(staying.count()).unwrap_or(u32::MAX)
    }

    pub(super) fn stop_tasks(&mut self, placed: &[PlacedTask], now: Millis, unix: UnixMillis) {
        for placed in placed {
            self.stop_task(placed, now, unix);
        }
    }
}

impl JobEntry {
    fn new(declared: DeclaredJob, known_unstarted: bool) -> Self {
        Self {
            declared,
            admitted: false,
            known_unstarted,
            cancelling: false,
            impossible: None,
            quota_block: None,
            stop_by: None,
            retry_at: Millis::ZERO,
        }
    }
}

/// Returns one data centre's share of the declared workers.
fn declared_fleet_share(document: &Document) -> Vec<(Resources, u32)> {
    let shards = u32::try_from(document.data_centres().count().max(1)).unwrap_or(u32::MAX);
    let groups = document.fleet.workers.iter();
    groups
        .map(|group| (group.capacity, group.count.div_ceil(shards)))
        .collect()
}
