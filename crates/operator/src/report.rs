//! Reports of the schedulers on the cell's shards, workers and jobs.

use kspan_model::{JobId, Name, Resources, Role};
use ntex::http::Method;
use serde::{Deserialize, Serialize};

use crate::{
    cell::CellClient,
    error::{Error, Result},
};

/// Response body of `GET /v1/cell` at a scheduler.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellReport {
    /// Document version in force at the scheduler that sent the report.
    pub document: u64,
    /// The shards.
    pub shards: Vec<ShardReport>,
}

/// One shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReport {
    /// Name of the shard, which is that of its data centre.
    pub shard: Name,
    /// Whether its owner replied to the scheduler that sent the report.
    pub answered: bool,
    /// Whether the owner has recovered the state of all running tasks.
    pub recovered: bool,
    /// Its workers.
    pub workers: Vec<WorkerReport>,
    /// Its open jobs, services included.
    pub jobs: Vec<JobReport>,
    /// Number of open jobs omitted from `jobs`.
    pub jobs_left_out: u32,
}

/// One worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Its name.
    pub worker: Name,
    /// Its rack.
    pub rack: Name,
    /// Its state.
    pub state: Name,
    /// Total resources.
    pub capacity: Resources,
    /// Resources committed to tasks.
    pub committed: Resources,
    /// Number of tasks assigned to the worker.
    pub tasks: u32,
}

/// One open job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReport {
    /// Its id.
    pub job: JobId,
    /// `open` or `cancelling`.
    pub state: Name,
    /// Its workload.
    #[serde(default)]
    pub workload: Name,
    /// Its tasks by state; `None` if the owner did not reply.
    #[serde(default)]
    pub tasks: Option<TaskCounts>,
    /// Reason why tasks are pending; empty if none is.
    #[serde(default)]
    pub waits: Name,
}

/// Numbers of tasks by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Waiting for a worker.
    pub queued: u32,
    /// Sent to a worker, but not running yet.
    pub starting: u32,
    /// Running.
    pub running: u32,
    /// Ordered to stop, but not ended yet.
    pub stopping: u32,
    /// Ended.
    pub ended: u32,
}

/// One job with the shard that runs it, as a table row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct JobRow {
    /// The job.
    pub job: JobReport,
    /// Its shard.
    pub shard: Name,
}

impl CellReport {
    /// Returns every job with its shard, sorted by workload and shard.
    pub fn job_rows(&self) -> Vec<JobRow> {
        let rows = self.shards.iter().flat_map(|shard| {
            let jobs = shard.jobs.iter().cloned();
            jobs.map(|job| JobRow {
                job,
                shard: shard.shard.clone(),
            })
        });
        let mut rows: Vec<JobRow> = rows.collect();
        rows.sort_by(|a, b| (&a.job.workload, &a.shard).cmp(&(&b.job.workload, &b.shard)));
        rows
    }

    /// Returns the shards whose owner did not reply or has not recovered yet.
    pub fn incomplete_shards(&self) -> Vec<&Name> {
        let incomplete = self
            .shards
            .iter()
            .filter(|shard| !shard.answered || !shard.recovered);
        incomplete.map(|shard| &shard.shard).collect()
    }
}

impl CellClient {
    /// Requests a report from the schedulers in turn and returns the first one received.
    ///
    /// # Errors
    ///
    /// Returns the last error if no scheduler sent a valid report.
    pub async fn fetch_report(&self) -> Result<CellReport> {
        let mut last_error = Error::NoMember("scheduler");
        for member in self.members(Role::Scheduler) {
            let name = member.node.name.to_string();
            match self.request(member.http, Method::GET, "/v1/cell").await {
                Ok(response) => match serde_json::from_value(response.body) {
                    Ok(report) => return Ok(report),
                    Err(err) => last_error = Error::Process(name, err.to_string()),
                },
                Err(err) => last_error = err,
            }
        }
        Err(last_error)
    }
}
