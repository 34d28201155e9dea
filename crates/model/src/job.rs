//! Submitted jobs and their results.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{JobId, Name, UnixMillis};

/// A caller's accepted request to run a declared batch or gang workload once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The job, derived from the team and the caller's idempotency key.
    pub job: JobId,
    /// Name of the declared batch or gang workload.
    pub workload: Name,
    /// The shard that runs the job, named after its data centre.
    pub shard: Name,
    /// When the job was accepted.
    pub accepted: UnixMillis,
}

/// The final result of a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobResult {
    /// Every task succeeded.
    #[display("succeeded")]
    Succeeded,
    /// A task failed more often than its workload allows.
    #[display("failed")]
    Failed,
    /// Cancelled before any task was started.
    #[display("cancelled-not-run")]
    CancelledNotRun,
    /// Cancelled after some task was started.
    #[display("cancelled")]
    Cancelled,
    /// No worker has enough capacity for a task, or the team's quota can never admit the job.
    #[display("impossible")]
    Impossible,
}

/// The end of a job, as recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobEnd {
    /// The job.
    pub job: JobId,
    /// Final result.
    pub result: JobResult,
    /// Reason in one sentence; empty on success.
    pub reason: Name,
    /// When it ended.
    pub ended: UnixMillis,
}
