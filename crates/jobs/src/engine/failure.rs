//! Failed jobs and the causes of their failure.

use derive_more::Display;
use kspan_model::Millis;

use super::{Engine, Event};
use crate::{
    id::{JobId, TaskId},
    record::Phase,
};

/// Cause of a job's failure.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FailureCause {
    /// A task, or the gang that it belongs to, has failed as often as its queue allows.
    #[display("attempts")]
    Attempts {
        /// Task whose end was the last one.
        task: TaskId,
        /// Numbers of the failed runs, each as often as it counted.
        runs: Vec<u32>,
    },
    /// A task crashes the runners that start it.
    #[display("crashes")]
    Crashes {
        /// The task.
        task: TaskId,
    },
    /// The store does not accept the job's progress.
    #[display("progress not storable")]
    ProgressNotStorable,
}

impl Engine {
    /// Fails an active job.
    pub(super) fn fail_job(&mut self, id: JobId, cause: FailureCause, now: Millis, unix_ms: u64) {
        let job = self.jobs.get(&id);
        if job.is_some_and(|job| job.phase == Phase::Active) {
            self.events.push(Event::JobFailed { job: id, cause });
            self.end_job(id, Phase::Failed, now, unix_ms);
        }
    }
}
