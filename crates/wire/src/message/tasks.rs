//! Messages between schedulers and routers, and among schedulers.
//!
//! The owner of a shard tells routers its runners: the whole table when it changes, and once a
//! period only its version, so that a router that missed a table can ask for it. Owners tell all
//! schedulers what they have free. Any scheduler can ask an owner about a job or a whole shard.

use std::net::SocketAddr;

use kspan_model::{Fence, JobId, Name, Resources, Site, TaskId};
use serde::{Deserialize, Serialize};

/// A message about tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The runners of one shard, whole. Sent to every router on change.
    RunnerTable(RunnerTable),
    /// The version of a shard's runner table, sent to every router once a period.
    RunnerTableVersion(RunnerTableVersion),
    /// A router asks the sender of a [`RunnerTableVersion`] for the whole table.
    RunnerTableRequest {
        /// The shard.
        shard: Name,
    },
    /// What a shard has free and what its teams hold, sent to every scheduler once a period.
    Summary(ShardSummary),
    /// A scheduler asks the owner of a shard.
    StatusQuery(StatusQuery),
    /// Answers a [`StatusQuery`].
    StatusReply(StatusReply),
}

/// Every runner of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerTable {
    /// The shard: a data centre.
    pub shard: Name,
    /// Token of the shard's owner. A lower one than the last accepted is ignored.
    pub fence: Fence,
    /// Counts up under one token.
    pub version: u64,
    /// Where the shard stands.
    pub site: Site,
    /// The runners.
    pub runners: Vec<Runner>,
}

/// The version of a shard's runner table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerTableVersion {
    /// The shard.
    pub shard: Name,
    /// Token of the shard's owner. A lower one than the last accepted is ignored.
    pub fence: Fence,
    /// Version of the newest table.
    pub version: u64,
}

/// One runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Its task.
    pub task: TaskId,
    /// Its service.
    pub service: Name,
    /// The worker that it runs on.
    pub worker: Name,
    /// Where it answers requests.
    pub endpoint: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it is leaving: it takes no new work.
    pub leaving: bool,
}

/// What a shard has free and what its teams hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSummary {
    /// The shard.
    pub shard: Name,
    /// Token of the shard's owner. A lower one than the last accepted is ignored.
    pub fence: Fence,
    /// Not committed, over all workers that take tasks.
    pub free: Resources,
    /// Capacity of all workers that take tasks.
    pub capacity: Resources,
    /// Tasks that wait for a worker.
    pub waiting: u32,
    /// What each team holds.
    pub teams: Vec<TeamUsage>,
}

/// What a team holds in a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// The team.
    pub team: Name,
    /// What its tasks are committed.
    pub held: Resources,
}

/// A question to the owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusQuery {
    /// Matches the answer.
    pub seq: u64,
    /// What is asked.
    pub target: StatusTarget,
}

/// What a question is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusTarget {
    /// One job.
    Job(JobId),
    /// A whole shard.
    Shard(Name),
}

/// Answers a [`StatusQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Number of the question.
    pub seq: u64,
    /// What the owner knows.
    pub result: StatusResult,
}

/// What an owner knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusResult {
    /// The sender does not own the shard, or does not know the job.
    NotFound,
    /// The state of a job.
    Job(JobStatus),
    /// The state of a shard.
    Shard(ShardStatus),
}

/// The state of an open job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// The workload.
    pub workload: Name,
    /// The shard.
    pub shard: Name,
    /// Tasks by state.
    pub tasks: TaskCounts,
    /// Why tasks wait, in one sentence; empty where none does.
    pub waits: Name,
    /// Whether it is being cancelled.
    pub cancelling: bool,
}

/// Numbers of tasks by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Wait for a worker.
    pub queued: u32,
    /// Have been sent to a worker, without an answer yet.
    pub starting: u32,
    /// Run.
    pub running: u32,
    /// Asked to stop or to checkpoint.
    pub stopping: u32,
    /// Have ended.
    pub ended: u32,
}

/// The state of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: Name,
    /// Token of its owner.
    pub fence: Fence,
    /// Whether the owner knows what runs on its workers.
    pub recovered: bool,
    /// Its workers.
    pub workers: Vec<WorkerStatus>,
    /// Its jobs, services included; the first [`MAX_JOBS_IN_STATUS`] of them.
    pub jobs: Vec<JobStatus>,
    /// Jobs that are not listed.
    pub jobs_left_out: u32,
}

/// Most jobs that are listed in a [`ShardStatus`], so that it fits in a frame.
pub const MAX_JOBS_IN_STATUS: usize = 1_000;

/// The state of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The worker.
    pub worker: Name,
    /// Its rack.
    pub rack: Name,
    /// Its state in one word.
    pub state: Name,
    /// What it has.
    pub capacity: Resources,
    /// What is committed.
    pub committed: Resources,
    /// Tasks that it holds.
    pub tasks: u32,
}
