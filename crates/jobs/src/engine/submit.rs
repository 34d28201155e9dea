//! Callers' commands: submit and cancel.

use kspan_model::Millis;
use quick_error::quick_error;

use super::{Engine, Event, job::Job};
use crate::{
    id::JobId,
    record::{JobRecord, Phase},
    spec::{JobSpec, SpecError},
};

/// Result of a submission.
pub(super) type Result<T> = std::result::Result<T, SubmitError>;

quick_error! {
    /// Why a job was not accepted.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum SubmitError {
        /// No queue takes that path.
        NoQueue {
            display("no such queue")
        }
        /// The job's id is malformed.
        Id {
            display("malformed job id")
        }
        /// The specification can't be carried out.
        Spec(err: SpecError) {
            from()
            display("{err}")
        }
    }
}

/// A caller's submission.
#[derive(Clone, Debug)]
pub struct Submission<'a> {
    /// Host that the caller addressed.
    pub host: &'a str,
    /// Path that the caller addressed.
    pub path: &'a str,
    /// The job.
    pub spec: JobSpec,
}

/// An accepted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submitted {
    /// Id of the job.
    pub job: JobId,
    /// Whether it was known before.
    pub known: bool,
    /// Batch that has to be durable before the caller is told.
    pub batch: u64,
}

/// What became of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job is cancelled or has ended, once the batch is durable.
    Accepted(u64),
    /// There is no such job.
    Unknown,
    /// No queue takes that path.
    NoQueue,
}

impl Engine {
    /// Takes in a job. A job that is known already stays as it is.
    ///
    /// # Errors
    ///
    /// Returns why the job is not accepted; then nothing was kept of it.
    pub fn submit(&mut self, now: Millis, unix_ms: u64, req: Submission<'_>) -> Result<Submitted> {
        let (queue, rest) = self
            .config
            .find(req.host, req.path)
            .ok_or(SubmitError::NoQueue)?;
        let id: JobId = rest.parse().map_err(|_| SubmitError::Id)?;
        if let Some(job) = self.jobs.get(&id) {
            return Ok(Submitted {
                job: id,
                known: true,
                batch: job.spec_batch,
            });
        }
        req.spec.check()?;
        let record = JobRecord {
            queue: queue.name.clone(),
            policy: queue.policy.clone(),
            accepted_unix_ms: unix_ms,
            spec: req.spec,
        };
        let mut job = Job::new(id, record, now);
        job.begin_due(now, unix_ms, true);
        job.spec_batch = self.batches.add_job(id);
        let batch = job.spec_batch;
        self.jobs.insert(id, job);
        self.active.insert(id);
        self.open.insert(id);
        Ok(Submitted {
            job: id,
            known: false,
            batch,
        })
    }

    /// Cancels a job. One that has ended stays as it is.
    pub fn cancel(&mut self, now: Millis, unix_ms: u64, host: &str, path: &str) -> CancelOutcome {
        let Some((_, rest)) = self.config.find(host, path) else {
            return CancelOutcome::NoQueue;
        };
        let Some(id) = rest.parse().ok().filter(|id| self.jobs.contains_key(id)) else {
            return CancelOutcome::Unknown;
        };
        self.end_job(id, Phase::Cancelled, now, unix_ms);
        let batch = self.jobs.get(&id).map_or(0, |job| job.phase_batch);
        CancelOutcome::Accepted(batch)
    }

    /// Ends an active job and stops what still runs for it.
    pub(super) fn end_job(&mut self, id: JobId, phase: Phase, now: Millis, unix_ms: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.phase != Phase::Active {
            return;
        }
        job.phase = phase;
        job.ended_unix_ms = unix_ms;
        job.phase_batch = self.batches.add_progress(id);
        self.active.remove(&id);
        self.open.remove(&id);
        let how = match phase {
            Phase::Completed => "completed",
            Phase::Failed => "failed",
            Phase::Cancelled => "cancelled",
            Phase::Active => "active",
        };
        let elapsed = now.saturating_sub(job.submitted);
        self.notes.push(Event::JobEnded {
            job: id,
            how,
            elapsed,
        });
        self.stop_all(id, now);
    }
}
