//! Submitted jobs and how they end.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{JobId, Name, UnixMillis};

/// A caller's accepted request to run a declared batch or gang workload once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The job; the same for the same team and caller's key.
    pub job: JobId,
    /// Name of the declared batch or gang workload.
    pub workload: Name,
    /// The data centre whose shard runs the job.
    pub shard: Name,
    /// When the job was accepted.
    pub accepted: UnixMillis,
}

/// How a job came to its end.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobResult {
    /// Every task ended well.
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
    /// No worker can ever hold it, or its quota never lets it start.
    #[display("impossible")]
    Impossible,
}

/// The end of a job, as kept in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobEnd {
    /// The job.
    pub job: JobId,
    /// How it ended.
    pub result: JobResult,
    /// Why, in one sentence; empty on success.
    pub reason: Name,
    /// When it ended.
    pub ended: UnixMillis,
}
