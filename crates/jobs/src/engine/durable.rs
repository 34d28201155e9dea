//! Batches of records to be written, and recovery from durable records.
//!
//! One open batch collects changes. The caller takes it, writes it, and reports it durable. Nothing
//! is acknowledged to a caller or a runner before its batch is durable.

use kspan_model::{Millis, Name};
use rustc_hash::{FxHashMap, FxHashSet};

use super::{
    Engine, Event, FailureCause, Settings,
    job::Job,
    parts::ChangedTasks,
    runner::{longest_inherited_lease, longest_remaining_lease},
};
use crate::{
    id::{JobId, TaskId},
    record::{self, DurableState, PartKey, Phase, Record, RecordKey},
};

/// Time after the end of a job at which its records are replaced by a short one. Runs that were being
/// stopped at its end are usually gone by then. While runs of a previous owner may exist, no job is
/// compacted, because the sizes of its runs would be unknown.
const COMPACTION_DELAY: Millis = Millis(3_000);

/// Size of the length of a key within a record, in bytes.
const KEY_LENGTH_BYTES: usize = 1;

/// Records that are written together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Batch number.
    pub number: u64,
    /// Records in write order.
    pub records: Vec<Record>,
}

/// Changes that have not been written, and the durability of earlier batches.
#[derive(Clone, Debug)]
pub(super) struct Batches {
    open_number: u64,
    durable: u64,
    jobs: Vec<JobId>,
    progress: FxHashMap<JobId, ChangedTasks>,
    removed: Vec<JobId>,
    /// Jobs of which only the end is kept from now on.
    compacted: Vec<JobId>,
    /// Parts of the progress of jobs that are no longer known.
    orphaned_parts: Vec<PartKey>,
    runners: FxHashSet<Name>,
    /// Runners with a run whose start came into doubt.
    doubts: FxHashSet<Name>,
    /// Whether the open batch carries an end that changes no record.
    has_unrecorded_end: bool,
}

impl Default for Batches {
    fn default() -> Self {
        Self {
            open_number: 1,
            durable: 0,
            jobs: Vec::new(),
            progress: FxHashMap::default(),
            removed: Vec::new(),
            compacted: Vec::new(),
            orphaned_parts: Vec::new(),
            runners: FxHashSet::default(),
            doubts: FxHashSet::default(),
            has_unrecorded_end: false,
        }
    }
}

impl Batches {
    /// Returns the latest batch that is durable with all batches before it.
    pub(super) fn durable(&self) -> u64 {
        self.durable
    }

    /// Adds a job's specification; returns the batch that includes it.
    pub(super) fn add_job(&mut self, id: JobId) -> u64 {
        self.jobs.push(id);
        self.open_number
    }

    /// Adds the progress of a job and of all its tasks; returns the batch that includes it.
    pub(super) fn add_progress(&mut self, id: JobId) -> u64 {
        self.progress.insert(id, ChangedTasks::All);
        self.open_number
    }

    /// Adds the progress of a job and of one task; returns the batch that includes it.
    pub(super) fn add_task_progress(&mut self, task: TaskId) -> u64 {
        self.progress.entry(task.step.job).or_default().insert(task);
        self.open_number
    }

    /// Adds a runner that is new, is draining, has another capacity or has ended; returns the batch that includes it.
    pub(super) fn add_runner(&mut self, id: Name) -> u64 {
        self.runners.insert(id);
        self.open_number
    }

    /// Adds the doubts about starts on a runner.
    pub(super) fn add_doubts(&mut self, id: Name) {
        self.doubts.insert(id);
    }

    /// Adds an end that may change no record; returns the batch after which it may be acknowledged.
    pub(super) fn add_end(&mut self) -> u64 {
        self.has_unrecorded_end = true;
        self.open_number
    }

    fn is_pending(&self) -> bool {
        self.has_unrecorded_end
            || !self.jobs.is_empty()
            || !self.progress.is_empty()
            || !self.removed.is_empty()
            || !self.compacted.is_empty()
            || !self.orphaned_parts.is_empty()
            || !self.runners.is_empty()
            || !self.doubts.is_empty()
    }
}

impl Engine {
    /// Returns whether changes are pending.
    pub fn has_pending_batch(&self) -> bool {
        self.batches.is_pending()
    }

    /// Returns the latest durable batch.
    pub fn durable_batch(&self) -> u64 {
        self.batches.durable()
    }

    /// Returns how many bytes the value of a record may have.
    pub(super) fn max_value_bytes(&self, key: &RecordKey) -> usize {
        let key = key.to_string().len() + KEY_LENGTH_BYTES;
        self.cfg.max_record_bytes.saturating_sub(key)
    }

    /// Closes and returns the open batch; `None` if it is empty. Batches must be written one after
    /// the other.
    pub fn take_batch(&mut self) -> Option<Batch> {
        if !self.batches.is_pending() {
            return None;
        }
        let number = self.batches.open_number;
        self.batches.open_number += 1;
        self.batches.has_unrecorded_end = false;
        let mut records = Vec::new();
        for id in std::mem::take(&mut self.batches.runners) {
            records.extend(self.restart_record(&id));
            let record = self.runner_record(&id);
            let key = RecordKey::Runner(id);
            let value = record.map(|record| record.encode_within(self.max_value_bytes(&key)));
            records.push(Record { key, value });
        }
        let doubted = std::mem::take(&mut self.batches.doubts);
        records.extend(self.doubt_records(doubted));
        for id in std::mem::take(&mut self.batches.jobs) {
            let job = self.jobs.get(&id);
            records.extend(job.map(|job| Record {
                key: RecordKey::Job(id),
                value: Some(record::encode(&job.record)),
            }));
        }
        for (id, changed) in std::mem::take(&mut self.batches.progress) {
            let job = self.jobs.get_mut(&id);
            records.extend(
                job.into_iter()
                    .flat_map(|job| job.progress_records(&changed)),
            );
        }
        records.extend(removed(std::mem::take(&mut self.batches.orphaned_parts)));
        for id in std::mem::take(&mut self.batches.removed) {
            records.extend(job_records_removed(id));
            records.push(Record {
                key: RecordKey::Ended(id),
                value: None,
            });
        }
        for id in std::mem::take(&mut self.batches.compacted) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            records.push(Record {
                key: RecordKey::Ended(id),
                value: Some(record::encode(&job.ended_record())),
            });
            records.extend(job_records_removed(id));
        }
        Some(Batch { number, records })
    }

    /// Records that a batch and all before it are durable.
    pub fn mark_durable(&mut self, number: u64) {
        self.batches.durable = self.batches.durable.max(number);
    }

    /// Creates an engine from the state that previous owners made durable. Runs that they ordered
    /// may be alive: tasks wait until every runner has answered, or until enough time has passed
    /// that none can be alive. A runner counts as missing until the host list contains it; the
    /// caller must send it inventory calls nevertheless.
    ///
    /// Recovery is a constructor because an inventory applied before the jobs are known would show
    /// every run as an orphan of unknown size.
    pub fn recover(cfg: Settings, now: Millis, unix_ms: u64, state: DurableState) -> Self {
        let mut engine = Self::new(cfg);
        engine.recorded_restarts = state.restarts.keys().cloned().collect();
        for record in state.runners {
            engine.recover_runner(now, record, &state.restarts);
        }
        for (id, end) in state.ended {
            engine.jobs.insert(id, Job::ended(id, end, now));
        }
        for (id, record) in state.jobs {
            if engine.jobs.contains_key(&id) {
                // The job has ended; its specification was not deleted yet.
                continue;
            }
            let age = Millis(unix_ms.saturating_sub(record.accepted_unix_ms));
            let mut job = Job::new(id, record, now.saturating_sub(age));
            job.split_progress(cfg.max_record_bytes);
            engine.admission.name_service(&job.record.policy.service);
            if let Some(progress) = state.progress.get(&id) {
                let parts = state.parts.get(&id).map_or(&[][..], Vec::as_slice);
                job.restore(progress, parts, now);
            }
            if job.phase == Phase::Active {
                engine.active.insert(id);
                engine.schedulable.insert(id);
                let free_bytes = engine.free_job_bytes().saturating_sub(job.max_bytes());
                job.begin_due_occurrences(now, unix_ms, false, free_bytes);
                job.mark_unverified();
            } else {
                let since_end = unix_ms.saturating_sub(job.ended_unix_ms);
                job.ended_at = Some(now.saturating_sub(Millis(since_end)));
            }
            engine.register_crash_records(&job);
            engine.assign_team(&mut job);
            engine.job_bytes += job.max_bytes();
            engine.jobs.insert(id, job);
        }
        engine.complete_restored_jobs(now, unix_ms);
        for (id, parts) in state.parts {
            let keys = parts.into_iter().map(|(key, _)| key);
            match engine.jobs.get_mut(&id) {
                Some(job) => job.parts.add_stored(keys),
                None => engine.batches.orphaned_parts.extend(keys),
            }
        }
        engine.recovered_at = now;
        engine.unverified_until = Some(now + cfg.previous_owner_timeout);
        engine.restore_doubts(state.doubts, now);
        engine
    }

    /// Counts the waits for previous owners from the time at which the store refused their appends, rather than from the
    /// recovery, which read what they had written.
    pub fn record_previous_owners_fenced(&mut self, fenced_at: Millis) {
        self.recovered_at = self.recovered_at.min(fenced_at);
        let end = fenced_at + self.cfg.previous_owner_timeout;
        self.unverified_until = self.unverified_until.map(|until| until.min(end));
        let latest_order = end.saturating_sub(self.cfg.lease);
        self.record_latest_former_order(latest_order);
    }

    /// Completes the jobs all of whose tasks are done. The parts of their progress say so, and the record
    /// of the job was not written any more.
    fn complete_restored_jobs(&mut self, now: Millis, unix_ms: u64) {
        let active = self.active.iter();
        let finished = active.filter(|id| {
            let job = self.jobs.get_mut(id);
            job.is_some_and(Job::remove_done_occurrences)
        });
        let finished: Vec<JobId> = finished.copied().collect();
        for id in finished {
            self.end_job(id, Phase::Completed, now, unix_ms);
        }
    }

    /// Withdraws a job whose batch has not been taken yet, so that the job is certain not to be
    /// stored. Returns whether it was withdrawn.
    pub fn withdraw(&mut self, id: JobId) -> bool {
        let Some(at) = self.batches.jobs.iter().position(|pending| *pending == id) else {
            return false;
        };
        self.batches.jobs.swap_remove(at);
        self.remove_unstored_job(id);
        true
    }

    /// Removes a job that is not stored, and whose tasks therefore have not started.
    fn remove_unstored_job(&mut self, id: JobId) {
        self.batches.progress.remove(&id);
        self.active.remove(&id);
        self.schedulable.remove(&id);
        let withdrawn = self.jobs.remove(&id);
        let bytes = withdrawn.as_ref().map_or(0, Job::max_bytes);
        self.job_bytes = self.job_bytes.saturating_sub(bytes);
        let team = withdrawn
            .filter(|job| job.phase == Phase::Active)
            .and_then(|job| job.team);
        if let Some(team) = team {
            self.teams.remove_active_job(team);
        }
    }

    /// Gives up what a record was to keep, as the store will never accept it, and returns the record to be
    /// written in its place. A job whose specification can't be stored is withdrawn, and one whose progress
    /// can't be stored fails; both must happen before the batch counts as durable.
    pub fn give_up_record(&mut self, key: &RecordKey, now: Millis, unix_ms: u64) -> Option<Record> {
        match key {
            RecordKey::Job(id) => {
                self.remove_unstored_job(*id);
                None
            }
            RecordKey::Progress(id) | RecordKey::Part(PartKey { job: id, .. }) => {
                self.active.get(id)?;
                self.fail_job(*id, FailureCause::ProgressNotStorable, now, unix_ms);
                // The record of a job that has ended has no tasks.
                self.jobs.get(id).map(Job::progress_record)
            }
            RecordKey::Runner(id) => {
                let record = self.runner_record(id)?;
                let entry_alone = record
                    .tasks
                    .is_some()
                    .then(|| record::encode(&record.entry));
                entry_alone.map(|value| Record {
                    key: key.clone(),
                    value: Some(value),
                })
            }
            RecordKey::Ended(_) | RecordKey::Restart(_) | RecordKey::Doubts(_) => None,
        }
    }

    /// Replaces the records of jobs that ended some time ago, and have no runs left, by their ends. A
    /// takeover reads all records before it starts tasks, so fewer make it faster.
    pub(super) fn compact_ended_jobs(&mut self, now: Millis) {
        if self.unverified_until.is_some() {
            return;
        }
        let durable = self.batches.durable();
        for job in self.jobs.values_mut() {
            let is_due = job
                .ended_at
                .is_some_and(|ended_at| now >= ended_at + COMPACTION_DELAY);
            if is_due && !job.is_compacted && job.phase_batch <= durable && job.has_no_runs() {
                job.compact();
                self.batches.compacted.push(job.id);
                self.batches.orphaned_parts.extend(job.parts.take_stored());
            }
        }
    }

    /// Removes ended jobs whose retention period is over.
    pub(super) fn remove_expired_jobs(&mut self, unix_ms: u64) {
        let keep = self.cfg.ended_job_retention.0;
        let old = self.jobs.iter().filter(|(_, job)| {
            job.phase != Phase::Active && job.ended_unix_ms.saturating_add(keep) < unix_ms
        });
        let old: Vec<JobId> = old.map(|(id, _)| *id).collect();
        for id in old {
            let job = self.jobs.remove(&id);
            let parts = job.into_iter().flat_map(|mut job| job.parts.take_stored());
            self.batches.orphaned_parts.extend(parts);
            self.batches.removed.push(id);
        }
    }

    /// Records that no previous owner gives orders from a time on, which may be later. What runs on runners that this owner
    /// does not reach ends with the longest lease that was granted before.
    pub fn record_previous_owners_ended(&mut self, from: Millis) {
        self.record_latest_former_order(from);
        let end = from + longest_remaining_lease(&self.cfg);
        if self.unverified_until.is_some_and(|until| end < until) {
            self.unverified_until = Some(end);
            self.is_wait_shortened = true;
        }
    }

    /// Returns whether no unverified run of a previous owner can be alive.
    pub(super) fn are_all_runs_verified(&mut self, now: Millis) -> bool {
        let Some(until) = self.unverified_until else {
            return true;
        };
        let excess =
            longest_inherited_lease(&self.cfg).saturating_sub(longest_remaining_lease(&self.cfg));
        let mut silent_runners = 0;
        for runner in self.runners.iter().filter(|runner| runner.is_unaccounted()) {
            let excess = if runner.may_inherit_lease() {
                excess
            } else {
                Millis::ZERO
            };
            if now < until + excess {
                return false;
            }
            silent_runners += 1;
        }
        let is_any_unaccounted = silent_runners > 0;
        self.unverified_until = None;
        self.end_unverified_leases(now);
        if is_any_unaccounted {
            self.events
                .push(Event::TakeoverWaitEnded { silent_runners });
        }
        if is_any_unaccounted && self.is_wait_shortened {
            // The crash of such a runner may show only after the tasks have started elsewhere.
            self.mark_unverified_tasks_unaccounted();
        }
        true
    }
}

/// Returns the records that delete parts.
pub(super) fn removed(parts: impl IntoIterator<Item = PartKey>) -> impl Iterator<Item = Record> {
    parts.into_iter().map(|key| Record {
        key: RecordKey::Part(key),
        value: None,
    })
}

/// Returns the records that delete the specification and the progress of a job. The specification
/// goes first: without its progress, an ended job would run again if only a part is written.
fn job_records_removed(id: JobId) -> [Record; 2] {
    [RecordKey::Job(id), RecordKey::Progress(id)].map(|key| Record { key, value: None })
}
