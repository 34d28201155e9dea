//! Request and response bodies of the callers' HTTP API.

use kspan_model::{JobId, JobResult, Name, UnixMillis};
use kspan_wire::message::tasks::{JobStatus, ShardStatus, TaskCounts, WorkerStatus};
use serde::{Deserialize, Serialize};

/// A request to run a declared batch or gang workload once.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SubmitRequest {
    /// Name of the workload.
    pub workload: String,
    /// The caller's idempotency key: the same key of the same team identifies the same job.
    pub key: String,
    /// The team; if given, it must be the workload's.
    #[serde(default)]
    pub team: Option<String>,
}

/// Response to an accepted submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct SubmitResponse {
    /// The job.
    pub job: JobId,
    /// The shard that runs it.
    pub shard: Name,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct ErrorBody {
    /// Outcome of the request: `not accepted`, or `unknown` if an append was not acknowledged or
    /// the requested state is not known.
    pub outcome: &'static str,
    /// Cause of the error and what the caller can do.
    pub error: String,
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct JobView {
    /// The job.
    pub job: JobId,
    /// `open`, `cancelling` or `ended`.
    pub state: &'static str,
    /// The workload, while the job is open.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub workload: Option<Name>,
    /// The shard, while the job is open.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shard: Option<Name>,
    /// Tasks by state; absent if the shard's owner did not answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tasks: Option<Counts>,
    /// Why tasks wait, in one sentence.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub waits: Option<Name>,
    /// How it ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result: Option<JobResult>,
    /// Reason of the result; empty on success.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<Name>,
    /// When it ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ended: Option<UnixMillis>,
}

/// Numbers of tasks by state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Counts {
    /// Waiting for a worker.
    pub queued: u32,
    /// Sent to a worker.
    pub starting: u32,
    /// Running.
    pub running: u32,
    /// Stopping.
    pub stopping: u32,
    /// Ended.
    pub ended: u32,
}

impl From<TaskCounts> for Counts {
    fn from(counts: TaskCounts) -> Self {
        Self {
            queued: counts.queued,
            starting: counts.starting,
            running: counts.running,
            stopping: counts.stopping,
            ended: counts.ended,
        }
    }
}

/// Explanation of a job's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Explanation {
    /// The job.
    pub job: JobId,
    /// Its state.
    pub state: &'static str,
    /// The explanation, in one sentence.
    pub explanation: String,
}

/// State of the whole cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct CellView {
    /// Name of the cell.
    pub cell: Name,
    /// Document version in force on the answering host.
    pub document: u64,
    /// The shards.
    pub shards: Vec<ShardView>,
}

/// State of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct ShardView {
    /// The shard.
    pub shard: Name,
    /// Whether its owner answered.
    pub answered: bool,
    /// Token of its owner.
    pub fence: String,
    /// Whether the owner knows every task that may be running.
    pub recovered: bool,
    /// Its workers.
    pub workers: Vec<WorkerView>,
    /// Its jobs, services included.
    pub jobs: Vec<JobView>,
    /// Number of jobs that are not listed.
    pub jobs_left_out: u32,
}

/// State of one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct WorkerView {
    /// The worker.
    pub worker: Name,
    /// Its rack.
    pub rack: Name,
    /// Its state.
    pub state: Name,
    /// Its capacity.
    pub capacity: kspan_model::Resources,
    /// Resources committed to tasks.
    pub committed: kspan_model::Resources,
    /// Number of tasks that occupy it.
    pub tasks: u32,
}

impl JobView {
    /// Creates the view of an open job from its owner's status.
    pub(crate) fn from_status(status: JobStatus) -> Self {
        Self {
            job: status.job,
            state: if status.cancelling {
                "cancelling"
            } else {
                "open"
            },
            workload: Some(status.workload),
            shard: Some(status.shard),
            tasks: Some(status.tasks.into()),
            waits: (!status.waits.is_empty()).then_some(status.waits),
            result: None,
            reason: None,
            ended: None,
        }
    }
}

impl From<WorkerStatus> for WorkerView {
    fn from(status: WorkerStatus) -> Self {
        Self {
            worker: status.worker,
            rack: status.rack,
            state: status.state,
            capacity: status.capacity,
            committed: status.committed,
            tasks: status.tasks,
        }
    }
}

impl ShardView {
    /// Creates the view of a shard whose owner did not answer.
    pub(crate) fn unanswered(shard: Name) -> Self {
        Self {
            shard,
            answered: false,
            fence: String::new(),
            recovered: false,
            workers: Vec::new(),
            jobs: Vec::new(),
            jobs_left_out: 0,
        }
    }

    /// Creates the view of a shard from its owner's status.
    pub(crate) fn from_status(status: ShardStatus) -> Self {
        Self {
            shard: status.shard,
            answered: true,
            fence: status.fence.to_string(),
            recovered: status.recovered,
            workers: status.workers.into_iter().map(Into::into).collect(),
            jobs: status.jobs.into_iter().map(JobView::from_status).collect(),
            jobs_left_out: status.jobs_left_out,
        }
    }
}
