//! Read access to a shard's state.

use kspan_model::{Fence, JobEnd, JobId, Name, Resources, Site};
use kspan_placement::TaskState;
use kspan_wire::message::tasks::{
    JobStatus, MAX_JOBS_IN_STATUS, ShardStatus, ShardSummary, TaskCounts, TeamUsage, WorkerStatus,
};
use serde::Serialize;

use super::{Phase, Shard};

/// A shard's state for `/dump`.
#[derive(Clone, Debug, Serialize)]
pub struct ShardDump {
    /// The shard.
    pub shard: Name,
    /// Current fencing token.
    pub fence: String,
    /// Phase of the claim.
    pub phase: String,
    /// Number of open jobs.
    pub jobs: usize,
    /// Number of job ends that are not recorded in the log yet.
    pub unrecorded_ends: usize,
    /// Version of the runner table.
    pub runners_version: u64,
    /// The workers.
    pub workers: Vec<WorkerDump>,
    /// State of placement.
    pub placement: kspan_placement::Snapshot,
}

/// A worker's state for `/dump`.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerDump {
    /// The worker.
    pub worker: Name,
    /// Its state.
    pub state: String,
    /// Whether its tasks are known.
    pub resolved: bool,
    /// Whether it is silent.
    pub silent: bool,
    /// Tasks that occupy it.
    pub held: Vec<String>,
    /// Number of ended tasks that its inventory still lists.
    pub ended: usize,
}

impl Shard {
    /// Returns the shard's region and data centre.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Returns the current fencing token.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the token with which the claim began; exchange keys carry it.
    pub fn claim_token(&self) -> Fence {
        self.claim_token
    }

    /// Returns the phase of the claim.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the job ends that are not recorded in the log yet.
    pub fn unrecorded_ends(&self) -> impl Iterator<Item = &JobEnd> {
        self.unrecorded_ends.values()
    }

    /// Returns the state of an open job.
    pub fn job_status(&self, job: JobId) -> Option<JobStatus> {
        let entry = self.jobs.get(&job)?;
        let mut tasks = TaskCounts::default();
        for row in self.cell.tasks(job) {
            match row.state {
                TaskState::Queued | TaskState::Reserved | TaskState::Lost => tasks.queued += 1,
                TaskState::Starting => tasks.starting += 1,
                TaskState::Running => tasks.running += 1,
                TaskState::Checkpointing | TaskState::Stopping => tasks.stopping += 1,
                TaskState::Ended => tasks.ended += 1,
            }
        }
        Some(JobStatus {
            job,
            workload: entry.declared.spec.workload.clone(),
            shard: self.site.data_centre.clone(),
            tasks,
            waits: self.waiting_reason(job),
            cancelling: entry.cancelling || self.log_state.cancels.contains(&job),
        })
    }

    /// Returns the state of the whole shard.
    pub fn status(&self) -> ShardStatus {
        let listed = self.jobs.keys().take(MAX_JOBS_IN_STATUS);
        let left_out = self.jobs.len().saturating_sub(MAX_JOBS_IN_STATUS);
        let snapshot = self.cell.snapshot();
        let workers = snapshot.workers.into_iter().map(|row| WorkerStatus {
            rack: self.rack_of(&row.name),
            worker: row.name,
            state: row.state.into(),
            capacity: row.capacity,
            committed: row.committed,
            tasks: u32::try_from(row.tasks).unwrap_or(u32::MAX),
        });
        ShardStatus {
            shard: self.site.data_centre.clone(),
            fence: self.fence,
            recovered: self.phase == Phase::Active,
            workers: workers.collect(),
            jobs: listed.filter_map(|job| self.job_status(*job)).collect(),
            jobs_left_out: u32::try_from(left_out).unwrap_or(u32::MAX),
        }
    }

    fn rack_of(&self, worker: &Name) -> Name {
        self.workers
            .get(worker)
            .map(|worker| worker.rack.clone())
            .unwrap_or_default()
    }

    /// Returns the shard's free resources and usage, or `None` before the shard has recovered.
    pub fn summary(&self) -> Option<ShardSummary> {
        if self.phase != Phase::Active {
            return None;
        }
        let mut free = Resources::ZERO;
        let mut capacity = Resources::ZERO;
        for row in self.cell.snapshot().workers {
            let takes_tasks = self
                .workers
                .get(&row.name)
                .is_some_and(|worker| worker.state() == kspan_placement::WorkerState::Available);
            if takes_tasks {
                free = free.saturating_add(row.capacity.saturating_sub(row.committed));
                capacity = capacity.saturating_add(row.capacity);
            }
        }
        let teams = self.cell.shares().into_iter().map(|share| TeamUsage {
            team: share.team,
            held: share.committed,
        });
        Some(ShardSummary {
            shard: self.site.data_centre.clone(),
            fence: self.fence,
            free,
            capacity,
            waiting: u32::try_from(self.cell.counts().queued_tasks).unwrap_or(u32::MAX),
            teams: teams.filter(|team| !team.held.is_zero()).collect(),
        })
    }

    /// Returns the state for `/dump`.
    pub fn dump(&self) -> ShardDump {
        let workers = self.workers.iter().map(|(name, worker)| WorkerDump {
            worker: name.clone(),
            state: worker.state().to_string(),
            resolved: worker.resolved,
            silent: worker.lease.is_silent(),
            held: worker
                .active_tasks
                .iter()
                .map(|(task, held)| format!("{task} {} {}", held.workload, held.state))
                .collect(),
            ended: worker.ended_tasks.len(),
        });
        ShardDump {
            shard: self.site.data_centre.clone(),
            fence: self.fence.to_string(),
            phase: format!("{:?}", self.phase),
            jobs: self.jobs.len(),
            unrecorded_ends: self.unrecorded_ends.len(),
            runners_version: self.runners_version().map_or(0, |version| version.version),
            workers: workers.collect(),
            placement: self.cell.snapshot(),
        }
    }
}
