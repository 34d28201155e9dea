//! Commands: what the log says is to run, brought to placement.

use std::sync::Arc;

use kspan_fold::State;
use kspan_model::{
    JobEnd, JobId, JobResult, Millis, Name, Resources, Submission, UnixMillis, document::Document,
};
use kspan_placement::{CancelOutcome, ImpossibleReason, PlacedTask, ResizeOutcome, SubmitOutcome};

use super::{JobEntry, Phase, Shard, quota, tasks::Note};
use crate::{
    specs::{self, Declared},
    times::CLOCK_SKEW,
};

/// Longest wait for the runners that replace those of a changed service.
const REPLACE_TIMEOUT: Millis = Millis::from_secs(30);

/// Wait before a job is tried again whose team holds its quota in other shards.
const QUOTA_RETRY: Millis = Millis::from_secs(1);

impl Shard {
    /// Takes in what is in force.
    pub fn set_fold(&mut self, fold: Arc<State>, now: Millis, unix: UnixMillis) {
        let before = std::mem::replace(&mut self.fold, fold);
        let fold = Arc::clone(&self.fold);
        let Some(document) = &fold.document else {
            return;
        };
        if before.document_version != fold.document_version || before.document.is_none() {
            self.set_document(document, now, unix);
        }
        if before.drains != fold.drains {
            self.follow_standing();
        }
        if before.document.is_some()
            && Arc::ptr_eq(&before.submissions, &fold.submissions)
            && Arc::ptr_eq(&before.cancels, &fold.cancels)
        {
            return;
        }
        self.forget_recorded(now);
        self.retire_ended(now, unix);
        for submission in fold.submissions.values() {
            if submission.shard == self.site.data_centre {
                self.take_in(document, submission, now, unix);
            }
        }
        self.cancel_jobs(now, unix);
    }

    fn set_document(&mut self, document: &Document, now: Millis, unix: UnixMillis) {
        self.cell.set_policy(document.policy);
        self.cell
            .set_teams(&quota::left_here(&document.teams, &self.held_elsewhere));
        self.cell.set_fleet(&fleet_part(document));
        let wanted = specs::services(document, &self.site.data_centre, now);
        self.retire_services(&wanted, now);
        for declared in wanted {
            self.declare_service(declared, now, unix);
        }
    }

    fn declare_service(&mut self, declared: Declared, now: Millis, unix: UnixMillis) {
        let id = declared.spec.id;
        let tasks = declared.spec.tasks;
        let Some(entry) = self.jobs.get_mut(&id) else {
            self.jobs.insert(id, JobEntry::new(declared, false));
            return;
        };
        entry.retire_at = None;
        let before = std::mem::replace(&mut entry.declared, declared).spec.tasks;
        if entry.admitted && before != tasks {
            log::info!("scheduler: job {id} goes from {before} to {tasks} runners");
            self.resize(id, tasks, now, unix);
        }
    }

    /// Changes a service's number of runners.
    pub(super) fn resize(&mut self, job: JobId, tasks: u32, now: Millis, unix: UnixMillis) {
        if let ResizeOutcome::Changed(stopped) = self.cell.resize(job, tasks, now) {
            self.stop_each(&stopped, now, unix);
        }
    }

    /// Marks services that are no longer declared. One whose runners are to be replaced waits for
    /// those that replace them.
    fn retire_services(&mut self, wanted: &[Declared], now: Millis) {
        for (id, entry) in &mut self.jobs {
            let stays = wanted.iter().any(|declared| declared.spec.id == *id);
            if stays || !entry.declared.is_service() || entry.retire_at.is_some() {
                continue;
            }
            let name = &entry.declared.spec.workload;
            let is_replaced = wanted
                .iter()
                .any(|declared| declared.spec.workload == *name);
            entry.retire_at = Some(if is_replaced {
                now + REPLACE_TIMEOUT
            } else {
                now
            });
        }
    }

    fn take_in(
        &mut self,
        document: &Document,
        submission: &Submission,
        now: Millis,
        unix: UnixMillis,
    ) {
        let job = submission.job;
        if self.jobs.contains_key(&job) || self.ends.contains_key(&job) {
            return;
        }
        let is_owned = matches!(self.phase, Phase::Recovering | Phase::Active);
        let fresh = is_owned && submission.accepted > self.claimed_unix.after(CLOCK_SKEW);
        if let Some(declared) = specs::submitted(document, submission, now, unix) {
            self.jobs.insert(job, JobEntry::new(declared, fresh));
            return;
        }
        let reason = format!("workload {} is no longer declared", submission.workload);
        let end = JobEnd {
            job,
            result: JobResult::Impossible,
            reason: reason.into(),
            ended: unix,
        };
        self.ends.insert(job, end);
    }

    /// Lets workers forget the tasks of jobs whose ends the log has.
    fn forget_recorded(&mut self, now: Millis) {
        let open = &self.fold.submissions;
        let workers = &mut self.workers;
        self.ends.retain(|job, _| {
            let is_open = open.contains_key(job);
            if !is_open {
                for worker in workers.values_mut() {
                    worker.forget_job(*job, now);
                }
            }
            is_open
        });
    }

    /// Stops jobs that the log calls ended although they are open here.
    fn retire_ended(&mut self, now: Millis, unix: UnixMillis) {
        let ended: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(job, entry)| {
                !entry.declared.is_service() && !self.fold.submissions.contains_key(job)
            })
            .map(|(job, _)| *job)
            .collect();
        for job in ended {
            self.retire(job, now, unix);
        }
    }

    /// Stops a job of which no end is to be recorded.
    pub(super) fn retire(&mut self, job: JobId, now: Millis, unix: UnixMillis) {
        if let CancelOutcome::Running(placed) = self.cell.cancel(job) {
            self.stop_each(&placed, now, unix);
        }
        self.jobs.remove(&job);
        self.surges.remove(&job);
    }

    fn cancel_jobs(&mut self, now: Millis, unix: UnixMillis) {
        let fold = Arc::clone(&self.fold);
        for job in fold.cancels.iter() {
            self.cancel(*job, now, unix);
        }
    }

    /// Cancels a job. `not run` is said only where no owner can have started any of it.
    fn cancel(&mut self, job: JobId, now: Millis, unix: UnixMillis) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let is_active = self.phase == Phase::Active;
        let waits_for_recovery = !entry.admitted && !entry.fresh && !is_active;
        if entry.cancelling || waits_for_recovery || entry.declared.is_service() {
            return;
        }
        entry.cancelling = true;
        let fresh = entry.fresh;
        match self.cell.cancel(job) {
            CancelOutcome::Running(placed) => {
                self.stop_each(&placed, now, unix);
                if self.cell.tasks(job).is_empty() {
                    let reason = Name::new("cancelled");
                    self.end_job(job, JobResult::Cancelled, reason, unix);
                }
            }
            CancelOutcome::NotRun | CancelOutcome::Unknown if fresh => {
                let reason = Name::new("cancelled before any start was sent");
                self.end_job(job, JobResult::CancelledNotRun, reason, unix);
            }
            CancelOutcome::NotRun | CancelOutcome::Unknown => {
                let reason = Name::new("cancelled; an earlier owner may have started it");
                self.end_job(job, JobResult::Cancelled, reason, unix);
            }
        }
    }

    /// Brings jobs to placement. Until the shard has recovered, only those that no earlier owner
    /// can have started.
    pub(super) fn admit_jobs(&mut self, now: Millis, unix: UnixMillis) {
        let is_active = self.phase == Phase::Active;
        let waiting: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, entry)| !entry.admitted && (is_active || entry.fresh))
            .filter(|(_, entry)| entry.try_after <= now)
            .map(|(job, _)| *job)
            .collect();
        for job in waiting {
            self.admit(job, now, unix);
        }
        if is_active {
            self.sweep(now, unix);
        }
    }

    fn admit(&mut self, job: JobId, now: Millis, unix: UnixMillis) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        match self.cell.submit(entry.declared.spec.clone()) {
            SubmitOutcome::Queued | SubmitOutcome::AlreadyKnown => {
                entry.admitted = true;
                entry.impossible = None;
                entry.held_back = None;
                self.replay_ends(job, now, unix);
                if self.fold.cancels.contains(&job) {
                    self.cancel(job, now, unix);
                }
            }
            SubmitOutcome::Impossible(reason) => {
                self.refuse(job, &reason, now, unix);
            }
        }
    }

    /// Notes that a job can never run. A service is tried again later, because workers may join,
    /// and so is a job whose team holds its quota in other shards.
    pub(super) fn refuse(
        &mut self,
        job: JobId,
        reason: &ImpossibleReason,
        now: Millis,
        unix: UnixMillis,
    ) {
        let held_elsewhere = quota::is_held_elsewhere(&self.fold, reason);
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let reason = Name::from(reason.to_string());
        if held_elsewhere {
            entry.admitted = false;
            entry.held_back = Some(reason);
            entry.try_after = now + QUOTA_RETRY;
            return;
        }
        if !entry.declared.is_service() {
            self.end_job(job, JobResult::Impossible, reason, unix);
            return;
        }
        if entry.impossible.as_ref() != Some(&reason) {
            let name = &entry.declared.spec.workload;
            log::warn!("scheduler: service {name} can't run here: {reason}");
        }
        entry.admitted = false;
        entry.impossible = Some(reason);
        entry.try_after = now + REPLACE_TIMEOUT;
    }

    /// Tells placement of tasks that ended before their job was known, oldest attempts first.
    fn replay_ends(&mut self, job: JobId, now: Millis, unix: UnixMillis) {
        let workers = self.workers.values();
        let mut ended: Vec<_> = workers
            .flat_map(|worker| &worker.ended)
            .filter(|(task, _)| task.job == job)
            .map(|(task, ended)| (task.attempt, task.index, *task, ended.end))
            .collect();
        ended.sort_by_key(|(attempt, index, ..)| (*attempt, *index));
        let notes = ended
            .into_iter()
            .map(|(_, _, task, end)| Note::Ended(task, end))
            .collect();
        self.tell(notes, now, unix);
    }

    /// Returns how many tasks of a job run and are to stay.
    pub(super) fn running(&self, job: JobId) -> u32 {
        let workers = self.workers.values().filter(|worker| !worker.is_leaving());
        let staying = workers
            .flat_map(|worker| &worker.held)
            .filter(|(task, held)| task.job == job && !held.leaving && held.is_running());
        u32::try_from(staying.count()).unwrap_or(u32::MAX)
    }

    pub(super) fn stop_each(&mut self, placed: &[PlacedTask], now: Millis, unix: UnixMillis) {
        for placed in placed {
            self.stop(placed, now, unix);
        }
    }
}

impl JobEntry {
    fn new(declared: Declared, fresh: bool) -> Self {
        Self {
            declared,
            admitted: false,
            fresh,
            cancelling: false,
            impossible: None,
            held_back: None,
            retire_at: None,
            try_after: Millis::ZERO,
        }
    }
}

/// Returns a data centre's part of the declared workers.
fn fleet_part(document: &Document) -> Vec<(Resources, u32)> {
    let shards = u32::try_from(document.data_centres().count().max(1)).unwrap_or(u32::MAX);
    let groups = document.fleet.workers.iter();
    groups
        .map(|group| (group.capacity, group.count.div_ceil(shards)))
        .collect()
}
