//! Queries: read access to a cell.

use kspan_model::{JobId, Millis, Name, Priority, Resources, TaskId};
use serde::Serialize;

use crate::{
    Cell, TaskState, WaitTimes,
    job::NO_WORKER,
    plan::SWEEP_INTERVAL,
    spec::{PlacedTask, WaitReason, WorkerState},
    worker::Worker,
};

/// A team's committed resources and its share.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TeamShare {
    /// The team.
    pub team: Name,
    /// Resources committed to it.
    pub committed: Resources,
    /// Its quota in this shard.
    pub quota: Resources,
    /// Its dominant share of the shard's capacity, divided by its weight.
    pub weighted_share: f64,
    /// Whether it uses its whole quota, so that further tasks borrow.
    pub borrows: bool,
}

/// Numbers of workers, jobs and tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Known workers.
    pub workers: usize,
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Jobs with a pending task.
    pub queued_jobs: usize,
    /// Tasks waiting for a worker.
    pub queued_tasks: usize,
    /// Tasks that hold a worker.
    pub active_tasks: usize,
}

/// A task and its state.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TaskRow {
    /// The task.
    pub task: TaskId,
    /// Its state.
    pub state: TaskState,
    /// The worker that holds it.
    pub worker: Option<Name>,
    /// Resources committed to it while it holds a worker.
    pub size: Resources,
}

/// A worker and what is committed to it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkerRow {
    /// The worker.
    pub name: Name,
    /// Its availability, or "on probation".
    pub state: String,
    /// Total capacity.
    pub capacity: Resources,
    /// Capacity committed to tasks.
    pub committed: Resources,
    /// Capacity held by reservations.
    pub reserved: Resources,
    /// Number of tasks that it holds.
    pub tasks: usize,
}

/// State of a cell, for dumps.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Snapshot {
    /// Numbers of workers, jobs and tasks.
    pub counts: Counts,
    /// Capacity of all workers that are not gone.
    pub capacity: Resources,
    /// Capacity committed to tasks.
    pub committed: Resources,
    /// The teams.
    pub teams: Vec<TeamShare>,
    /// Waiting times by priority, lowest first.
    pub waits: Vec<WaitTimes>,
    /// The workers.
    pub workers: Vec<WorkerRow>,
}

impl Cell {
    /// Returns why a job waits, or `None` if the job is unknown.
    pub fn explain(&self, job: JobId) -> Option<WaitReason> {
        let inner = &self.inner;
        let number = inner.jobs.number(job)?;
        let job = inner.jobs.get(number);
        if let Some(until) = inner.reserved_until(number) {
            return Some(WaitReason::Reserved { until });
        }
        let Some(entry) = job.entry else {
            let delayed = job.slots.iter().any(|slot| slot.state == TaskState::Queued);
            return Some(if delayed {
                WaitReason::Backoff(job.backoff_until)
            } else {
                WaitReason::NotWaiting
            });
        };
        if inner.queue.is_parked(entry.class, job.team) {
            let team = inner.teams.get(job.team);
            return Some(WaitReason::Quota {
                team: team.name.clone(),
                held: team.committed,
                quota: team.quota,
            });
        }
        if inner.queue.is_blocked(entry.class) {
            return Some(WaitReason::Capacity(job.next_need()));
        }
        Some(WaitReason::Turn)
    }

    /// Returns every task of a job; empty if the job is unknown.
    pub fn tasks(&self, job: JobId) -> Vec<TaskRow> {
        let inner = &self.inner;
        let Some(number) = inner.jobs.number(job) else {
            return Vec::new();
        };
        let job = inner.jobs.get(number);
        let rows = (0..).zip(&job.slots).map(|(index, slot)| TaskRow {
            task: job.task(index),
            state: slot.state,
            worker: (slot.worker != NO_WORKER).then(|| inner.workers.get(slot.worker).name.clone()),
            size: slot.size,
        });
        rows.collect()
    }

    /// Returns the jobs that have not ended.
    pub fn jobs(&self) -> impl Iterator<Item = JobId> {
        self.inner.jobs.iter().map(|(_, job)| job.spec.id)
    }

    /// Returns every task that a worker holds.
    pub fn tasks_on(&self, worker: &Name) -> Vec<PlacedTask> {
        let inner = &self.inner;
        let Some(number) = inner.workers.number(worker) else {
            return Vec::new();
        };
        let held = inner.workers.get(number).tasks.iter();
        let placed = held.map(|held| PlacedTask {
            task: inner.jobs.get(held.job).task(held.index),
            worker: worker.clone(),
        });
        placed.collect()
    }

    /// Returns the capacity of all workers that are not gone.
    pub fn capacity(&self) -> Resources {
        self.inner.workers.total
    }

    /// Returns what is committed on all workers together.
    pub fn committed(&self) -> Resources {
        self.inner.workers.committed
    }

    /// Returns the resources committed to a team, or `None` if the team is unknown.
    pub fn team_committed(&self, team: &Name) -> Option<Resources> {
        let number = self.inner.teams.number(team)?;
        Some(self.inner.teams.get(number).committed)
    }

    /// Returns each team's share.
    pub fn shares(&self) -> Vec<TeamShare> {
        let inner = &self.inner;
        let shares = inner.teams.iter().map(|team| TeamShare {
            team: team.name.clone(),
            committed: team.committed,
            quota: team.quota,
            weighted_share: team.weighted_share(inner.workers.total),
            borrows: team.standing.borrows,
        });
        shares.collect()
    }

    /// Returns the numbers of workers, jobs and tasks.
    pub fn counts(&self) -> Counts {
        let inner = &self.inner;
        let jobs = || inner.jobs.iter().map(|(_, job)| job);
        Counts {
            workers: inner.workers.len(),
            jobs: inner.jobs.len(),
            queued_jobs: inner.queue.len(),
            queued_tasks: jobs().map(|job| job.pending.len()).sum(),
            active_tasks: jobs().map(|job| job.active as usize).sum(),
        }
    }

    /// Returns the number of jobs with a pending task.
    pub fn queued_jobs(&self) -> usize {
        self.inner.queue.len()
    }

    /// Returns the waiting times of one priority.
    pub fn wait_times(&self, priority: Priority) -> WaitTimes {
        self.inner.stats.wait_times(priority)
    }

    /// Returns when the cell next needs a plan if no event occurs before.
    pub fn next_plan_at(&self) -> Option<Millis> {
        let inner = &self.inner;
        let waits = inner.queue.any_blocked() || !inner.reservations.is_empty();
        let sweep = waits.then(|| inner.swept_at.saturating_add(SWEEP_INTERVAL));
        let rooms = (!inner.freed_workers.is_empty()).then_some(inner.swept_at);
        let timer = inner.timers.next_due();
        timer.into_iter().chain(sweep).chain(rooms).min()
    }

    /// Returns the state of the cell for a dump.
    pub fn snapshot(&self) -> Snapshot {
        let inner = &self.inner;
        let priorities = [
            Priority::Low,
            Priority::Normal,
            Priority::High,
            Priority::Urgent,
        ];
        let workers = inner.workers.iter().map(|(_, worker)| WorkerRow {
            name: worker.name.clone(),
            state: state_label(worker),
            capacity: worker.capacity,
            committed: worker.committed,
            reserved: worker.reserved,
            tasks: worker.tasks.len() + worker.orphans as usize,
        });
        Snapshot {
            counts: self.counts(),
            capacity: self.capacity(),
            committed: self.committed(),
            teams: self.shares(),
            waits: priorities
                .map(|priority| self.wait_times(priority))
                .to_vec(),
            workers: workers.collect(),
        }
    }
}

fn state_label(worker: &Worker) -> String {
    if worker.state == WorkerState::Available && worker.health.is_on_probation() {
        return "on probation".to_owned();
    }
    worker.state.to_string()
}
