//! Bodies of callers' HTTP.

use kspan_model::{JobId, JobResult, Name, UnixMillis};
use kspan_wire::message::tasks::{JobStatus, ShardStatus, TaskCounts, WorkerStatus};
use serde::{Deserialize, Serialize};

/// A request to run a declared batch or gang workload once.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SubmitRequest {
    /// Name of the workload.
    pub workload: String,
    /// The caller's key: the same key of the same team is the same job.
    pub key: String,
    /// The team; where given, it must be the workload's.
    #[serde(default)]
    pub team: Option<String>,
}

/// Answer to an accepted submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct SubmitResponse {
    /// The job.
    pub job: JobId,
    /// The shard that runs it.
    pub shard: Name,
}

/// Why something was not done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct ErrorBody {
    /// What is certain: `not accepted`, or `unknown` where the log's answer was lost.
    pub outcome: &'static str,
    /// Why, and what to do.
    pub error: String,
}

/// What is known of a job.
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
    /// Tasks by state; none where the shard's owner did not answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tasks: Option<Counts>,
    /// Why tasks wait, in one sentence.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub waits: Option<Name>,
    /// How it ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result: Option<JobResult>,
    /// Why it ended so; empty on success.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<Name>,
    /// When it ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ended: Option<UnixMillis>,
}

/// Numbers of tasks by state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Counts {
    /// Wait for a worker.
    pub queued: u32,
    /// Have been sent to a worker.
    pub starting: u32,
    /// Run.
    pub running: u32,
    /// Asked to stop.
    pub stopping: u32,
    /// Have ended.
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

/// Why a job waits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Explanation {
    /// The job.
    pub job: JobId,
    /// Its state.
    pub state: &'static str,
    /// In one sentence.
    pub explanation: String,
}

/// The whole cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct CellView {
    /// Name of the cell.
    pub cell: Name,
    /// Document version in force at the host that answers.
    pub document: u64,
    /// The shards.
    pub shards: Vec<ShardView>,
}

/// One shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct ShardView {
    /// The shard.
    pub shard: Name,
    /// Whether its owner answered.
    pub answered: bool,
    /// Token of its owner.
    pub fence: String,
    /// Whether the owner knows all that runs.
    pub recovered: bool,
    /// Its workers.
    pub workers: Vec<WorkerView>,
    /// Its jobs, services included.
    pub jobs: Vec<JobView>,
    /// Jobs that are not listed.
    pub jobs_left_out: u32,
}

/// One worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct WorkerView {
    /// The worker.
    pub worker: Name,
    /// Its rack.
    pub rack: Name,
    /// Its state.
    pub state: Name,
    /// What it has.
    pub capacity: kspan_model::Resources,
    /// What is committed.
    pub committed: kspan_model::Resources,
    /// Tasks that it holds.
    pub tasks: u32,
}

impl JobView {
    /// Creates the view of an open job from what its owner says.
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

    /// Creates the view of a shard from what its owner says.
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
