//! What has to be written, in which order, and how an owner takes over from what was.
//!
//! One batch is open and collects what changes; the program cuts it, writes it, and reports it
//! durable. Nothing is told to a caller or acknowledged to a runner before its batch is.

use kspan_model::{Millis, Name};
use rustc_hash::FxHashSet;

use super::{Engine, Settings, job::Job};
use crate::{
    id::JobId,
    record::{self, DurableState, Phase, Record, RecordKey},
};

/// Records that are written together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Number of the batch.
    pub number: u64,
    /// Records, in the order to be written.
    pub records: Vec<Record>,
}

/// Changes that are not durable yet.
#[derive(Clone, Debug)]
pub(super) struct Batches {
    open: u64,
    durable: u64,
    jobs: Vec<JobId>,
    progress: FxHashSet<JobId>,
    dropped: Vec<JobId>,
    runners: FxHashSet<Name>,
    /// Whether an end waits for the open batch that changes no record.
    acks_only: bool,
}

impl Default for Batches {
    fn default() -> Self {
        Self {
            open: 1,
            durable: 0,
            jobs: Vec::new(),
            progress: FxHashSet::default(),
            dropped: Vec::new(),
            runners: FxHashSet::default(),
            acks_only: false,
        }
    }
}

impl Batches {
    /// Returns the newest batch that is durable with all before it.
    pub(super) fn durable(&self) -> u64 {
        self.durable
    }

    /// Adds a job's specification; returns the batch that carries it.
    pub(super) fn add_job(&mut self, id: JobId) -> u64 {
        self.jobs.push(id);
        self.open
    }

    /// Adds a job's progress; returns the batch that carries it.
    pub(super) fn add_progress(&mut self, id: JobId) -> u64 {
        self.progress.insert(id);
        self.open
    }

    /// Adds a runner that came or whose life has ended; returns the batch that carries it.
    pub(super) fn add_runner(&mut self, id: Name) -> u64 {
        self.runners.insert(id);
        self.open
    }

    /// Adds an end that changes no record; returns the batch it is acknowledged with.
    pub(super) fn add_end(&mut self) -> u64 {
        self.acks_only = true;
        self.open
    }

    fn has_open(&self) -> bool {
        self.acks_only
            || !self.jobs.is_empty()
            || !self.progress.is_empty()
            || !self.dropped.is_empty()
            || !self.runners.is_empty()
    }
}

impl Engine {
    /// Returns whether something waits to be written.
    pub fn has_pending_batch(&self) -> bool {
        self.batches.has_open()
    }

    /// Returns the newest durable batch.
    pub fn durable_batch(&self) -> u64 {
        self.batches.durable()
    }

    /// Cuts the open batch. Batches are to be written one after the other.
    pub fn take_batch(&mut self) -> Option<Batch> {
        if !self.batches.has_open() {
            return None;
        }
        let number = self.batches.open;
        self.batches.open += 1;
        self.batches.acks_only = false;
        let mut records = Vec::new();
        for id in std::mem::take(&mut self.batches.runners) {
            let runner = self
                .by_id
                .get(&id)
                .map(|runner_ix| &self.runners[runner_ix.0]);
            let alive = runner.filter(|runner| !runner.dead);
            records.push(Record {
                key: RecordKey::Runner(id),
                value: alive.map(|runner| record::encode(&runner.entry)),
            });
        }
        for id in std::mem::take(&mut self.batches.jobs) {
            let job = self.jobs.get(&id);
            records.extend(job.map(|job| Record {
                key: RecordKey::Job(id),
                value: Some(record::encode(&job.record)),
            }));
        }
        for id in std::mem::take(&mut self.batches.progress) {
            let job = self.jobs.get(&id);
            records.extend(job.map(|job| Record {
                key: RecordKey::Progress(id),
                value: Some(record::encode(&job.progress())),
            }));
        }
        for id in std::mem::take(&mut self.batches.dropped) {
            let keys = [RecordKey::Progress(id), RecordKey::Job(id)];
            records.extend(keys.map(|key| Record { key, value: None }));
        }
        Some(Batch { number, records })
    }

    /// Notes that a batch and all before it are durable.
    pub fn mark_durable(&mut self, number: u64) {
        self.batches.durable = self.batches.durable.max(number);
    }

    /// Creates an engine that takes over what earlier owners made durable. Runs that they ordered
    /// may be alive: tasks wait until every runner has answered or time has proved them gone. A
    /// runner counts as missing until the host list shows it; it is to be held all the same.
    ///
    /// This is a constructor because an inventory that is read before the jobs are known would
    /// show every run as unwanted and of unknown size.
    pub fn recover(cfg: Settings, now: Millis, unix_ms: u64, kept: DurableState) -> Self {
        let mut engine = Self::new(cfg);
        for entry in kept.runners {
            engine.recover_runner(now, entry);
        }
        for (id, record) in kept.jobs {
            let age = Millis(unix_ms.saturating_sub(record.accepted_unix_ms));
            let mut job = Job::new(id, record, now.saturating_sub(age));
            if let Some(progress) = kept.progress.get(&id) {
                job.restore(progress, now);
            }
            if job.phase == Phase::Active {
                engine.active.insert(id);
                engine.open.insert(id);
                job.begin_due(now, unix_ms, false);
                job.mark_unaccounted();
            }
            engine.jobs.insert(id, job);
        }
        engine.unaccounted_until = Some(now + cfg.previous_owner_timeout);
        engine
    }

    /// Withdraws a job whose batch was not cut yet, so that it certainly is not kept. Returns
    /// whether it was.
    pub fn withdraw(&mut self, id: JobId) -> bool {
        let Some(at) = self.batches.jobs.iter().position(|open| *open == id) else {
            return false;
        };
        self.batches.jobs.swap_remove(at);
        self.batches.progress.remove(&id);
        self.active.remove(&id);
        self.open.remove(&id);
        self.jobs.remove(&id);
        true
    }

    /// Drops jobs whose state has been shown for long enough.
    pub(super) fn drop_old(&mut self, unix_ms: u64) {
        let keep = self.cfg.ended_job_retention.0;
        let old = self.jobs.iter().filter(|(_, job)| {
            job.phase != Phase::Active && job.ended_unix_ms.saturating_add(keep) < unix_ms
        });
        let old: Vec<JobId> = old.map(|(id, _)| *id).collect();
        for id in old {
            self.jobs.remove(&id);
            self.batches.dropped.push(id);
        }
    }

    /// Returns whether runs of an earlier owner can no longer be alive out of reach.
    pub(super) fn is_accounted(&mut self, now: Millis) -> bool {
        let Some(until) = self.unaccounted_until else {
            return true;
        };
        let all_answered = self
            .runners
            .iter()
            .all(|runner| runner.held || runner.dead || runner.has_left(now));
        if now < until && !all_answered {
            return false;
        }
        self.unaccounted_until = None;
        true
    }
}
