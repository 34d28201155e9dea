//! Commands of callers: submission and cancellation of jobs.

use kspan_model::{Millis, Name};
use quick_error::quick_error;

use super::{Engine, Event, job::Job, parts::MAX_ATTEMPTS};
use crate::{
    config::Policy,
    id::JobId,
    record::{self, JobRecord, Phase, RecordKey},
    spec::{JobSpec, SpecError},
};

/// Result of a submission.
pub(super) type Result<T> = std::result::Result<T, SubmitError>;

quick_error! {
    /// Reason why a submission was rejected.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum SubmitError {
        /// No queue serves that host and path.
        NoQueue {
            display("no queue serves this host and path")
        }
        /// The path does not end in a valid job id.
        InvalidId {
            display("invalid job id: expected 16 lower-case hexadecimal digits")
        }
        /// No runner of the service can ever take a task of the step.
        Unservable(step: usize, lacking: &'static str) {
            display("step {step}: the service has no runners {lacking}")
        }
        /// A task of the step, or its whole gang, is larger than the cap of the team.
        BeyondCap(step: usize) {
            display("step {step}: a task, or the whole gang, exceeds the cap of the team")
        }
        /// The job's record would be larger than the store accepts.
        TooLarge(bytes: usize, max: usize) {
            display("job too large: {bytes} bytes as stored, at most {max} are accepted")
        }
        /// The job would take more memory than any job may.
        TooMuchMemory(bytes: u64, max: u64) {
            display("job too large: its steps and tasks take {bytes} bytes, at most {max} are accepted")
        }
        /// The job would take more memory than is left beside the jobs accepted before.
        NoRoom(bytes: u64, room: u64) {
            display(
                "no room: the job's steps and tasks take {bytes} bytes, {room} are left for it beside jobs \
                 accepted before"
            )
        }
        /// The specification is invalid.
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
    /// Job specification.
    pub spec: JobSpec,
    /// Team of the caller.
    pub team: Option<Name>,
}

/// Result of a successful submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submitted {
    /// Id of the job.
    pub job: JobId,
    /// Whether the job had been accepted before.
    pub known: bool,
    /// Batch that must be durable before the submission is acknowledged.
    pub batch: u64,
}

/// Outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job is cancelled or had ended; final once this batch is durable.
    Accepted(u64),
    /// There is no job of that id.
    Unknown,
    /// No queue serves that host and path.
    NoQueue,
}

impl Engine {
    /// Accepts a job. A job that is already known stays unchanged, so submission is idempotent.
    ///
    /// # Errors
    ///
    /// Returns the reason for the rejection; nothing of the job is then stored.
    pub fn submit(&mut self, now: Millis, unix_ms: u64, req: Submission<'_>) -> Result<Submitted> {
        let (queue, rest) = self
            .config
            .find(req.host, req.path)
            .ok_or(SubmitError::NoQueue)?;
        let id: JobId = rest.parse().map_err(|_| SubmitError::InvalidId)?;
        if let Some(job) = self.jobs.get(&id) {
            return Ok(Submitted {
                job: id,
                known: true,
                batch: job.spec_batch,
            });
        }
        req.spec.validate()?;
        self.check_servable(&req.spec, &queue.policy, now)?;
        let team = req.team.as_ref().and_then(|name| self.config.team(name));
        if let Some(step) = team.and_then(|team| Self::step_beyond_cap(team.cap, &req.spec.steps)) {
            return Err(SubmitError::BeyondCap(step));
        }
        self.check_job_size(&req.spec)?;
        let exceeds_rate = team.is_some_and(|team| self.submission_rates.exceeds_rate(team, now));
        let policy = Policy {
            max_attempts: queue.policy.max_attempts.min(MAX_ATTEMPTS),
            ..queue.policy.clone()
        };
        let record = JobRecord {
            queue: queue.name.clone(),
            policy,
            accepted_unix_ms: unix_ms,
            spec: req.spec,
            team: req.team,
            exceeds_rate,
        };
        let (bytes, max) = (
            record::encode(&record).len(),
            self.max_value_bytes(&RecordKey::Job(id)),
        );
        if bytes > max {
            return Err(SubmitError::TooLarge(bytes, max));
        }
        let mut job = Job::new(id, record, now);
        job.split_progress(self.cfg.max_record_bytes);
        self.assign_team(&mut job);
        let free_bytes = self.free_job_bytes().saturating_sub(job.max_bytes());
        job.begin_due_occurrences(now, unix_ms, true, free_bytes);
        self.job_bytes += job.max_bytes();
        self.record_demand(&job);
        job.spec_batch = self.batches.add_job(id);
        let batch = job.spec_batch;
        self.jobs.insert(id, job);
        self.active.insert(id);
        self.schedulable.insert(id);
        Ok(Submitted {
            job: id,
            known: false,
            batch,
        })
    }

    /// Sets the team that the runs of an active job are charged to.
    pub(super) fn assign_team(&mut self, job: &mut Job) {
        let Some(name) = &job.record.team else {
            return;
        };
        let team = self.teams.index(name, &self.config);
        job.team = Some(team);
        if job.phase == Phase::Active {
            self.teams.add_active_job(team);
        }
    }

    /// Records the large tasks that a job demands.
    pub(super) fn record_demand(&mut self, job: &Job) {
        let service = &job.record.policy.service;
        let largest = self.largest_runner(service);
        for spec in &job.record.spec.steps {
            self.demand.record(service, spec, largest);
        }
    }

    /// Cancels a job. A job that has ended stays unchanged.
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

    /// Ends an active job and stops its remaining runs.
    pub(super) fn end_job(&mut self, id: JobId, phase: Phase, now: Millis, unix_ms: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.phase != Phase::Active {
            return;
        }
        job.phase = phase;
        job.ended_unix_ms = unix_ms;
        job.ended_at = Some(now);
        if let Some(team) = job.team {
            self.teams.remove_active_job(team);
        }
        job.phase_batch = self.batches.add_progress(id);
        self.active.remove(&id);
        self.schedulable.remove(&id);
        let how = match phase {
            Phase::Completed => "completed",
            Phase::Failed => "failed",
            Phase::Cancelled => "cancelled",
            Phase::Active => "active",
        };
        let elapsed = now.saturating_sub(job.submitted);
        self.events.push(Event::JobEnded {
            job: id,
            how,
            elapsed,
        });
        self.stop_job_runs(id, now);
    }
}
