//! Messages between schedulers and routers, and between schedulers.
//!
//! The owner of a shard publishes its runners to routers: the full table on every change, and
//! periodically only the table's version, so that a router that missed a table can request it.
//! Owners publish their free capacity to all schedulers. Any scheduler can query an owner for the
//! status of a job or of a shard.

use std::net::SocketAddr;

use kspan_model::{Fence, JobId, Name, Resources, Site, TaskId};
use serde::{Deserialize, Serialize};

/// A message about tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// All runners of one shard. Sent to every router on change.
    RunnerTable(RunnerTable),
    /// The version of a shard's runner table. Sent to every router periodically.
    RunnerTableVersion(RunnerTableVersion),
    /// Requests the full table from the sender of a [`RunnerTableVersion`].
    RunnerTableRequest {
        /// The shard.
        shard: Name,
    },
    /// Free capacity and usage of a shard. Sent to every scheduler periodically.
    Summary(ShardSummary),
    /// Queries the owner of a shard.
    StatusQuery(StatusQuery),
    /// Answers a [`StatusQuery`].
    StatusReply(StatusReply),
}

/// All runners of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerTable {
    /// The shard, named after its data centre.
    pub shard: Name,
    /// Fencing token of the shard's owner. Messages with a lower token than the last accepted one
    /// are ignored.
    pub fence: Fence,
    /// Version of the table, increasing under one fencing token.
    pub version: u64,
    /// Region and data centre of the shard.
    pub site: Site,
    /// The runners.
    pub runners: Vec<Runner>,
}

/// The version of a shard's runner table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerTableVersion {
    /// The shard.
    pub shard: Name,
    /// Fencing token of the shard's owner. Messages with a lower token than the last accepted one
    /// are ignored.
    pub fence: Fence,
    /// Version of the latest table.
    pub version: u64,
}

/// A runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Task id of the runner.
    pub task: TaskId,
    /// Service that it belongs to.
    pub service: Name,
    /// Worker that it runs on.
    pub worker: Name,
    /// Address on which it accepts requests.
    pub endpoint: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Whether it is draining and accepts no new requests.
    pub leaving: bool,
}

/// Free capacity of a shard and resources held by its teams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSummary {
    /// The shard.
    pub shard: Name,
    /// Fencing token of the shard's owner. Messages with a lower token than the last accepted one
    /// are ignored.
    pub fence: Fence,
    /// Uncommitted resources of all workers that accept tasks.
    pub free: Resources,
    /// Capacity of all workers that accept tasks.
    pub capacity: Resources,
    /// Number of tasks waiting for a worker.
    pub waiting: u32,
    /// Resources held by each team.
    pub teams: Vec<TeamUsage>,
}

/// Resources held by a team in a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// The team.
    pub team: Name,
    /// Resources committed to its tasks.
    pub held: Resources,
}

/// A status query to the owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusQuery {
    /// Sequence number, repeated in the reply.
    pub seq: u64,
    /// The object whose status is requested.
    pub target: StatusTarget,
}

/// Object of a status query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusTarget {
    /// A job.
    Job(JobId),
    /// A shard.
    Shard(Name),
}

/// Answers a [`StatusQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Sequence number of the query.
    pub seq: u64,
    /// The status, if the receiver of the query has it.
    pub result: StatusResult,
}

/// Result of a status query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusResult {
    /// The replying scheduler does not own the shard, or the shard has no such job.
    NotFound,
    /// Status of a job.
    Job(JobStatus),
    /// Status of a shard.
    Shard(ShardStatus),
}

/// Status of an open job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// Workload that declares the job.
    pub workload: Name,
    /// Shard that runs the job.
    pub shard: Name,
    /// Number of tasks by state.
    pub tasks: TaskCounts,
    /// Reason why tasks wait, in one sentence; empty if no task waits.
    pub waits: Name,
    /// Whether the job is being cancelled.
    pub cancelling: bool,
}

/// Number of tasks by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Tasks waiting for a worker.
    pub queued: u32,
    /// Tasks whose start was sent to a worker and is not yet acknowledged.
    pub starting: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks with a stop or checkpoint in progress.
    pub stopping: u32,
    /// Tasks that have ended.
    pub ended: u32,
}

/// Status of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: Name,
    /// Fencing token of the shard's owner.
    pub fence: Fence,
    /// Whether the owner has recovered the inventories of its workers.
    pub recovered: bool,
    /// Workers of the shard.
    pub workers: Vec<WorkerStatus>,
    /// The first [`MAX_JOBS_IN_STATUS`] jobs of the shard, services included.
    pub jobs: Vec<JobStatus>,
    /// Number of jobs omitted from `jobs`.
    pub jobs_left_out: u32,
}

/// Maximum number of jobs in a [`ShardStatus`], so that its encoding fits into a frame.
pub const MAX_JOBS_IN_STATUS: usize = 1_000;

/// Status of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The worker.
    pub worker: Name,
    /// Rack of the worker.
    pub rack: Name,
    /// State of the worker, in one word.
    pub state: Name,
    /// Total resources.
    pub capacity: Resources,
    /// Resources committed to tasks.
    pub committed: Resources,
    /// Number of tasks on the worker.
    pub tasks: u32,
}
