//! Bound on the memory that accepted jobs take at the owner.
//!
//! A job counts with what it takes when the states of all its tasks differ, from its submission until only its
//! end is kept. Not counted: what its runs take at their runners, the tickets of its steps, and ends that are
//! kept for callers.

use super::{
    Engine,
    job::{Job, Occurrence, Step},
    submit::{Result, SubmitError},
    tasks,
};
use crate::spec::{JobSpec, StepSpec};

/// Bytes that a job takes besides its state: its entries in the tables and indices of jobs.
const JOB_EXTRA_BYTES: usize = 1_024;

/// Bytes that a step takes besides its state: the lists of its tasks and of the runners that have some.
const STEP_EXTRA_BYTES: usize = 192;

/// Bytes that a task takes besides its state: a few failed runs and a short checkpoint, and the part's share
/// in the list of stored parts.
const TASK_EXTRA_BYTES: usize = 160;

/// A new job may take up to this fraction of the memory that is left. Large jobs are refused first, and
/// leave room for the small ones of other callers.
const ROOM_DIVISOR: u64 = 2;

/// Memory that a job takes, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct JobSize {
    /// Without its occurrences.
    base: u64,
    /// For each occurrence that has begun.
    per_occurrence: u64,
}

impl JobSize {
    pub(super) fn new(spec: &JobSpec) -> Self {
        let base = size_of::<Job>() + JOB_EXTRA_BYTES + spec_bytes(spec);
        let steps =
            size_of::<Occurrence>() + spec.steps.len() * (size_of::<Step>() + STEP_EXTRA_BYTES);
        let task = (tasks::MAX_TASK_BYTES + TASK_EXTRA_BYTES) as u64;
        let tasks = spec.tasks_per_occurrence().saturating_mul(task);
        Self {
            base: base as u64,
            per_occurrence: tasks.saturating_add(steps as u64),
        }
    }

    /// Returns the size of a job with that many occurrences.
    fn with_occurrences(self, count: usize) -> u64 {
        let occurrences = self.per_occurrence.saturating_mul(count as u64);
        self.base.saturating_add(occurrences)
    }

    /// Returns the size of an occurrence.
    pub(super) fn per_occurrence(self) -> u64 {
        self.per_occurrence
    }
}

/// Returns the memory that a specification takes, without its own size.
fn spec_bytes(spec: &JobSpec) -> usize {
    let step_bytes = |step: &StepSpec| {
        let names = [&step.label, &step.preferred_rack, &step.image];
        let names = names.into_iter().flatten().map(|name| name.len());
        size_of::<StepSpec>() + size_of_val(&step.depends_on[..]) + names.sum::<usize>()
    };
    spec.text.len() + spec.steps.iter().map(step_bytes).sum::<usize>()
}

impl Job {
    /// Returns the memory that the job may take, in bytes. Room for one occurrence is always counted.
    pub(super) fn max_bytes(&self) -> u64 {
        if self.is_compacted {
            return 0;
        }
        self.size.with_occurrences(self.occurrences.len().max(1))
    }
}

impl Engine {
    /// Returns how much more memory jobs may take, in bytes.
    pub(super) fn free_job_bytes(&self) -> u64 {
        self.cfg.max_job_bytes.saturating_sub(self.job_bytes)
    }

    /// Checks that a new job fits beside those accepted before.
    ///
    /// # Errors
    ///
    /// Returns whether the job would fit if there were no others.
    pub(super) fn check_job_size(&self, spec: &JobSpec) -> Result<()> {
        let bytes = JobSize::new(spec).with_occurrences(1);
        let max = self.cfg.max_job_bytes / ROOM_DIVISOR;
        if bytes > max {
            return Err(SubmitError::TooMuchMemory(bytes, max));
        }
        let room = self.free_job_bytes() / ROOM_DIVISOR;
        if bytes > room {
            return Err(SubmitError::NoRoom(bytes, room));
        }
        Ok(())
    }

    /// Counts again what all jobs may take.
    pub(super) fn recount_job_bytes(&mut self) {
        self.job_bytes = self.jobs.values().map(Job::max_bytes).sum();
    }
}
