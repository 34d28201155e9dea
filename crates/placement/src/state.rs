//! The cell's state and the operations shared by commands and events.
//!
//! The operations keep the accounting consistent: a task's state, its worker's commitments, its
//! team's share, the index of free capacity and the queue always change together here.

use std::collections::BTreeSet;

use kspan_model::{JobId, JobResult, Millis, Name, Resources, document::Policy};
use rustc_hash::FxHashMap;

use crate::{
    TaskState,
    estimate::{AcceleratorDemand, Estimates},
    health::FailureRate,
    job::{Job, JobNo, Jobs, NO_WORKER},
    queue::Queue,
    reservation::Reservation,
    spec::{Effect, InventoryEntry, JobDone, PlacedTask, Start},
    stats::Stats,
    team::Teams,
    timers::{Timer, Timers},
    worker::{TaskRef, WorkerNo, Workers},
};

/// A task found on a worker whose job is not known yet, or whose job does not run it any more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Orphan {
    pub(crate) worker: WorkerNo,
    pub(crate) found: InventoryEntry,
}

/// The state of one shard.
#[derive(Clone, Debug)]
pub(crate) struct Inner {
    pub(crate) policy: Policy,
    pub(crate) workers: Workers,
    pub(crate) jobs: Jobs,
    pub(crate) teams: Teams,
    pub(crate) queue: Queue,
    pub(crate) orphans: FxHashMap<JobId, Vec<Orphan>>,
    pub(crate) timers: Timers,
    pub(crate) stats: Stats,
    pub(crate) estimates: Estimates,
    pub(crate) failure_rate: FailureRate,
    pub(crate) reservations: Vec<Reservation>,
    /// Preemption searches left in the current plan.
    pub(crate) searches_left: usize,
    /// Earliest time of the next search for victims, by `PreemptCause`.
    pub(crate) next_search_at: [Millis; 2],
    /// Workers that have gained free capacity since the last plan.
    pub(crate) freed_workers: Vec<WorkerNo>,
    /// Whether capacity was freed since gangs were last tried.
    pub(crate) gang_room_freed: bool,
    pub(crate) gangs_tried_at: Millis,
    pub(crate) swept_at: Millis,
    /// Gangs with tasks that a previous owner of the shard started.
    pub(crate) adopted_gangs: BTreeSet<JobId>,
    /// CPU and memory that tasks with accelerators need per accelerator.
    pub(crate) accelerator_demand: AcceleratorDemand,
    /// Total capacity that shares are measured against; updated by each plan.
    pub(crate) share_capacity: Resources,
    /// Workers declared by the operators, as capacities and counts.
    pub(crate) fleet: Vec<(Resources, u32)>,
    /// Whether queued jobs may have become impossible.
    pub(crate) recheck_feasibility: bool,
}

impl Inner {
    pub(crate) fn new(policy: Policy) -> Self {
        Self {
            policy,
            workers: Workers::new(),
            jobs: Jobs::default(),
            teams: Teams::default(),
            queue: Queue::default(),
            orphans: FxHashMap::default(),
            timers: Timers::default(),
            stats: Stats::default(),
            estimates: Estimates::default(),
            failure_rate: FailureRate::default(),
            reservations: Vec::new(),
            searches_left: 0,
            next_search_at: [Millis::ZERO; 2],
            freed_workers: Vec::new(),
            gang_room_freed: false,
            gangs_tried_at: Millis::ZERO,
            swept_at: Millis::ZERO,
            adopted_gangs: BTreeSet::new(),
            accelerator_demand: AcceleratorDemand::default(),
            share_capacity: Resources::ZERO,
            fleet: Vec::new(),
            recheck_feasibility: false,
        }
    }

    /// Places a queued task on a worker. The task must already be removed from `pending`.
    pub(crate) fn assign_worker(
        &mut self,
        number: JobNo,
        index: u32,
        worker: WorkerNo,
        size: Resources,
        state: TaskState,
        since: Millis,
    ) {
        let rack = self.workers.get(worker).rack;
        let job = self.jobs.get_mut(number);
        let slot = &mut job.slots[index as usize];
        slot.transition_to(state);
        slot.worker = worker;
        slot.size = size;
        slot.since = since;
        slot.usage = Resources::ZERO;
        job.active += 1;
        job.started = true;
        if job.is_spread() {
            *job.tasks_per_rack.entry(rack).or_insert(0) += 1;
        }
        let team = job.team;
        let held = TaskRef { job: number, index };
        self.workers.get_mut(worker).tasks.push(held);
        self.workers.commit(worker, size);
        self.charge(team, size);
    }

    /// Takes a task off its worker and releases its capacity.
    pub(crate) fn release_worker(
        &mut self,
        number: JobNo,
        index: u32,
        state: TaskState,
    ) -> WorkerNo {
        let job = self.jobs.get_mut(number);
        let is_spread = job.is_spread();
        let slot = &mut job.slots[index as usize];
        slot.transition_to(state);
        let worker = std::mem::replace(&mut slot.worker, NO_WORKER);
        let size = slot.size;
        let usage = std::mem::take(&mut slot.usage);
        job.active -= 1;
        let team = job.team;
        let entry = self.workers.get_mut(worker);
        let rack = entry.rack;
        entry.usage = entry.usage.saturating_sub(usage);
        let held = TaskRef { job: number, index };
        if let Some(position) = entry.tasks.iter().position(|task| *task == held) {
            entry.tasks.swap_remove(position);
        }
        if is_spread {
            let racks = &mut self.jobs.get_mut(number).tasks_per_rack;
            if let Some(count) = racks.get_mut(&rack) {
                *count -= 1;
                if *count == 0 {
                    racks.remove(&rack);
                }
            }
        }
        self.workers.release(worker, size);
        self.refund(team, size);
        self.record_freed_room(worker);
        self.remove_if_gone(worker);
        worker
    }

    /// Records a worker with free capacity, so that the next plan tries the blocked classes that
    /// may fit.
    pub(crate) fn record_freed_room(&mut self, worker: WorkerNo) {
        let Some(entry) = self.workers.at(worker as usize) else {
            return;
        };
        if entry.accepts_tasks() {
            self.freed_workers.push(worker);
            self.gang_room_freed = true;
        }
    }

    pub(crate) fn remove_if_gone(&mut self, worker: WorkerNo) {
        let entry = self.workers.get(worker);
        let is_gone = entry.state == crate::spec::WorkerState::Gone;
        if is_gone && entry.is_empty() {
            self.workers.remove(worker);
            self.remove_worker_references(worker);
        }
    }

    /// Removes a worker's number from every job, because numbers are reused.
    fn remove_worker_references(&mut self, worker: WorkerNo) {
        let numbers: Vec<JobNo> = self.jobs.iter().map(|(number, _)| number).collect();
        for number in numbers {
            let job = self.jobs.get_mut(number);
            job.avoid.retain(|avoided| *avoided != worker);
        }
    }

    /// Starts a queued task on a worker that has room for it.
    pub(crate) fn start_task(
        &mut self,
        number: JobNo,
        index: u32,
        worker: WorkerNo,
        now: Millis,
    ) -> Start {
        let job = self.jobs.get(number);
        let size = job.spec.shape.size;
        let since = job.slots[index as usize].since;
        let waited = now.saturating_sub(since);
        self.stats.record_wait(&job.spec, waited);
        self.assign_worker(number, index, worker, size, TaskState::Starting, now);
        let job = self.jobs.get(number);
        Start {
            task: job.task(index),
            worker: self.workers.get(worker).name.clone(),
            workload: job.spec.workload.clone(),
            size,
        }
    }

    /// Queues an ended or lost task as a new attempt.
    pub(crate) fn queue_new_attempt(&mut self, number: JobNo, index: u32, now: Millis) {
        let job = self.jobs.get_mut(number);
        let slot = &mut job.slots[index as usize];
        slot.transition_to(TaskState::Queued);
        slot.attempt += 1;
        slot.since = now;
        slot.finished = false;
    }

    /// Makes a queued task pending, at once or after a backoff.
    pub(crate) fn enqueue_after(
        &mut self,
        number: JobNo,
        index: u32,
        backoff: Millis,
        now: Millis,
    ) {
        if backoff == Millis::ZERO {
            self.enqueue_task(number, index);
            return;
        }
        let job = self.jobs.get_mut(number);
        let until = now.saturating_add(backoff);
        job.backoff_until = until;
        let task = job.task(index);
        self.timers.schedule(until, Timer::Retry(task));
    }

    /// Makes a task, or the whole gang that it belongs to, pending.
    pub(crate) fn enqueue_task(&mut self, number: JobNo, index: u32) {
        let job = self.jobs.get_mut(number);
        if job.is_gang() {
            if job.queued_tasks() < job.spec.tasks as usize {
                return; // A partial gang is restarted first.
            }
            job.pending = (0..job.spec.tasks).rev().collect();
        } else {
            job.pending.push(index);
        }
        self.enqueue(number);
    }

    /// Marks every task that holds a worker as stopping and returns those that were not stopping
    /// before, with the job's orphaned tasks.
    pub(crate) fn stop_all_tasks(&mut self, number: JobNo) -> Vec<PlacedTask> {
        let job = self.jobs.get(number);
        let count = u32::try_from(job.slots.len()).expect("tasks fit in 32-bit numbers");
        let mut stopped = self.orphans_of(job.spec.id);
        for index in 0..count {
            stopped.extend(self.stop_task(number, index));
        }
        stopped
    }

    fn orphans_of(&self, job: JobId) -> Vec<PlacedTask> {
        let orphans = self.orphans.get(&job).into_iter().flatten();
        let placed = orphans.map(|orphan| PlacedTask {
            task: orphan.found.task,
            worker: self.workers.get(orphan.worker).name.clone(),
        });
        placed.collect()
    }

    /// Marks a task as stopping, if it holds a worker and is not already stopping.
    pub(crate) fn stop_task(&mut self, number: JobNo, index: u32) -> Option<PlacedTask> {
        let job = self.jobs.get_mut(number);
        let slot = &mut job.slots[index as usize];
        if !slot.state.holds_worker() || slot.state == TaskState::Stopping {
            return None;
        }
        slot.transition_to(TaskState::Stopping);
        let worker = slot.worker;
        Some(PlacedTask {
            task: job.task(index),
            worker: self.workers.get(worker).name.clone(),
        })
    }

    /// Sets the result of a job, which ends once none of its tasks holds a worker.
    pub(crate) fn end_job(&mut self, number: JobNo, result: JobResult, reason: &str) -> Effect {
        self.drop_reservations(number);
        self.dequeue(number);
        let job = self.jobs.get_mut(number);
        job.pending.clear();
        job.ending = Some((result, Name::new(reason)));
        let stop = self.stop_all_tasks(number);
        Effect {
            applied: true,
            stop,
            done: self.finish_if_idle(number),
            ..Effect::default()
        }
    }

    /// Removes an ending job if none of its tasks holds a worker.
    pub(crate) fn finish_if_idle(&mut self, number: JobNo) -> Option<JobDone> {
        let job = self.jobs.get(number);
        if job.active > 0 || self.orphans.contains_key(&job.spec.id) {
            return None;
        }
        let (result, reason) = job.ending.clone()?;
        let job = self.remove_job(number);
        Some(JobDone {
            job: job.spec.id,
            result,
            reason,
        })
    }

    pub(crate) fn remove_job(&mut self, number: JobNo) -> Job {
        self.drop_reservations(number);
        self.dequeue(number);
        self.jobs.remove(number)
    }
}
