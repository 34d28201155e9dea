//! What the schedulers tell about the cell.

use kspan_model::{JobId, Name, Resources, Role};
use ntex::http::Method;
use serde::{Deserialize, Serialize};

use crate::{
    cell::CellClient,
    error::{Error, Result},
};

/// Body of a scheduler's `GET /v1/cell`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellReport {
    /// Document version in force at the scheduler that answered.
    pub document: u64,
    /// The shards.
    pub shards: Vec<ShardReport>,
}

/// One shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReport {
    /// The shard: a data centre.
    pub shard: Name,
    /// Whether its owner answered.
    pub answered: bool,
    /// Whether the owner knows all that runs.
    pub recovered: bool,
    /// Its workers.
    pub workers: Vec<WorkerReport>,
    /// Its open jobs, services included.
    pub jobs: Vec<JobReport>,
    /// Jobs that are not listed.
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
    /// What it has.
    pub capacity: Resources,
    /// What is committed.
    pub committed: Resources,
    /// Tasks that it holds.
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
    /// Its tasks by state; none where the owner did not answer.
    #[serde(default)]
    pub tasks: Option<TaskCounts>,
    /// Why tasks wait; empty where none does.
    #[serde(default)]
    pub waits: Name,
}

/// Numbers of tasks by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Wait for a worker.
    pub queued: u32,
    /// Have been sent to a worker.
    pub starting: u32,
    /// Run.
    pub running: u32,
    /// Were asked to stop.
    pub stopping: u32,
    /// Have ended.
    pub ended: u32,
}

/// One job with the shard that runs it, for a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct JobRow {
    /// The job.
    pub job: JobReport,
    /// Its shard.
    pub shard: Name,
}

impl CellReport {
    /// Returns every job with its shard, by workload.
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

    /// Returns the shards whose owners did not answer or have not recovered yet.
    pub fn incomplete_shards(&self) -> Vec<&Name> {
        let missing = self
            .shards
            .iter()
            .filter(|shard| !shard.answered || !shard.recovered);
        missing.map(|shard| &shard.shard).collect()
    }
}

impl CellClient {
    /// Asks one scheduler after another about the cell, until one answers.
    ///
    /// # Errors
    ///
    /// Returns the last error where none answered.
    pub async fn fetch_report(&self) -> Result<CellReport> {
        let mut failed = Error::NoMember("scheduler");
        for member in self.members(Role::Scheduler) {
            let name = member.node.name.to_string();
            match self.request(member.http, Method::GET, "/v1/cell").await {
                Ok(answer) => match serde_json::from_value(answer.body) {
                    Ok(report) => return Ok(report),
                    Err(err) => failed = Error::Process(name, err.to_string()),
                },
                Err(err) => failed = err,
            }
        }
        Err(failed)
    }
}
