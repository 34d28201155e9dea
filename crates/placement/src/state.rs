//! The cell's whole state and the steps that every command and event is made of.
//!
//! The steps keep the books in agreement: a task's state, its worker's commitments, its team's
//! share, the index of free capacity and the queue always change together here.

use std::collections::BTreeSet;

use kspan_model::{JobId, JobResult, Millis, Name, Resources, document::Policy};
use rustc_hash::FxHashMap;

use crate::{
    TaskState,
    estimate::{Estimates, PerAccelerator},
    health::FailureRate,
    job::{Job, JobNo, Jobs, NO_WORKER},
    queue::Queue,
    reserve::Reservation,
    spec::{Effect, InventoryEntry, JobDone, PlacedTask, Start},
    stats::Stats,
    team::Teams,
    timers::{Due, Timers},
    worker::{Held, WorkerNo, Workers},
};

/// A task that was found on a worker before its job was known, or that its job no longer wants.
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
    /// Pre-empting searches left in the plan under way.
    pub(crate) searches_left: usize,
    /// When a search for victims is made again, for urgent work and for reclaim.
    pub(crate) no_search_before: [Millis; 2],
    /// Workers whose room has grown since the last plan.
    pub(crate) rooms: Vec<WorkerNo>,
    /// Whether room has come since gangs were tried last.
    pub(crate) room_for_gangs: bool,
    pub(crate) gangs_tried: Millis,
    pub(crate) swept: Millis,
    /// Gangs of which tasks were found that an earlier owner started.
    pub(crate) gangs_found: BTreeSet<JobId>,
    /// What work that wants accelerators wants besides, for each of them.
    pub(crate) per_accelerator: PerAccelerator,
    /// Capacity that shares are measured against; follows the workers at each plan.
    pub(crate) measure: Resources,
    /// Workers that the operators expect, besides those that are known.
    pub(crate) fleet: Vec<(Resources, u32)>,
    /// Whether queued jobs may have become impossible.
    pub(crate) recheck: bool,
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
            no_search_before: [Millis::ZERO; 2],
            rooms: Vec::new(),
            room_for_gangs: false,
            gangs_tried: Millis::ZERO,
            swept: Millis::ZERO,
            gangs_found: BTreeSet::new(),
            per_accelerator: PerAccelerator::default(),
            measure: Resources::ZERO,
            fleet: Vec::new(),
            recheck: false,
        }
    }

    /// Gives a waiting task its worker. The task must not stand in `pending` any more.
    pub(crate) fn occupy(
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
        slot.become_state(state);
        slot.worker = worker;
        slot.size = size;
        slot.since = since;
        slot.usage = Resources::ZERO;
        job.active += 1;
        job.started = true;
        if job.is_spread() {
            *job.racks.entry(rack).or_insert(0) += 1;
        }
        let team = job.team;
        let held = Held { job: number, index };
        self.workers.get_mut(worker).tasks.push(held);
        self.workers.commit(worker, size);
        self.charge(team, size);
    }

    /// Takes a task off its worker and gives its capacity back.
    pub(crate) fn vacate(&mut self, number: JobNo, index: u32, state: TaskState) -> WorkerNo {
        let job = self.jobs.get_mut(number);
        let is_spread = job.is_spread();
        let slot = &mut job.slots[index as usize];
        slot.become_state(state);
        let worker = std::mem::replace(&mut slot.worker, NO_WORKER);
        let size = slot.size;
        let usage = std::mem::take(&mut slot.usage);
        job.active -= 1;
        let team = job.team;
        let entry = self.workers.get_mut(worker);
        let rack = entry.rack;
        entry.usage = entry.usage.saturating_sub(usage);
        let held = Held { job: number, index };
        if let Some(position) = entry.tasks.iter().position(|task| *task == held) {
            entry.tasks.swap_remove(position);
        }
        if is_spread {
            let racks = &mut self.jobs.get_mut(number).racks;
            if let Some(count) = racks.get_mut(&rack) {
                *count -= 1;
                if *count == 0 {
                    racks.remove(&rack);
                }
            }
        }
        self.workers.release(worker, size);
        self.refund(team, size);
        self.offer_room(worker);
        self.forget_if_gone(worker);
        worker
    }

    /// Lets the classes that may fit on a worker be tried in the next plan.
    pub(crate) fn offer_room(&mut self, worker: WorkerNo) {
        let Some(entry) = self.workers.at(worker as usize) else {
            return;
        };
        if entry.takes_tasks() {
            self.rooms.push(worker);
            self.room_for_gangs = true;
        }
    }

    pub(crate) fn forget_if_gone(&mut self, worker: WorkerNo) {
        let entry = self.workers.get(worker);
        let is_gone = entry.state == crate::spec::WorkerState::Gone;
        if is_gone && entry.is_empty() {
            self.workers.remove(worker);
            self.forget_worker(worker);
        }
    }

    /// Drops a removed worker's number wherever it is kept, because numbers are used again.
    fn forget_worker(&mut self, worker: WorkerNo) {
        let numbers: Vec<JobNo> = self.jobs.iter().map(|(number, _)| number).collect();
        for number in numbers {
            let job = self.jobs.get_mut(number);
            job.avoid.retain(|avoided| *avoided != worker);
        }
    }

    /// Starts a waiting task on a worker with room for it.
    pub(crate) fn start(
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
        self.occupy(number, index, worker, size, TaskState::Starting, now);
        let job = self.jobs.get(number);
        Start {
            task: job.task(index),
            worker: self.workers.get(worker).name.clone(),
            workload: job.spec.workload.clone(),
            size,
        }
    }

    /// Puts an ended or lost task back to wait as a new attempt.
    pub(crate) fn renew(&mut self, number: JobNo, index: u32, now: Millis) {
        let job = self.jobs.get_mut(number);
        let slot = &mut job.slots[index as usize];
        slot.become_state(TaskState::Queued);
        slot.attempt += 1;
        slot.since = now;
        slot.finished = false;
    }

    /// Lets a waiting task be started: at once, or when its backoff is over.
    pub(crate) fn wait(&mut self, number: JobNo, index: u32, backoff: Millis, now: Millis) {
        if backoff == Millis::ZERO {
            self.line_up(number, index);
            return;
        }
        let job = self.jobs.get_mut(number);
        let until = now.saturating_add(backoff);
        job.backoff_until = until;
        let task = job.task(index);
        self.timers.set(until, Due::Retry(task));
    }

    /// Queues a task, or the whole gang that it belongs to.
    pub(crate) fn line_up(&mut self, number: JobNo, index: u32) {
        let job = self.jobs.get_mut(number);
        if job.is_gang() {
            if job.waiting() < job.spec.tasks as usize {
                return; // It is mended first.
            }
            job.pending = (0..job.spec.tasks).rev().collect();
        } else {
            job.pending.push(index);
        }
        self.enqueue(number);
    }

    /// Marks every task that holds a worker as stopping and lists those that were not before.
    pub(crate) fn stop_all(&mut self, number: JobNo) -> Vec<PlacedTask> {
        let job = self.jobs.get(number);
        let count = u32::try_from(job.slots.len()).expect("tasks are numbered in 32 bits");
        let mut stopped = self.orphans_of(job.spec.id);
        for index in 0..count {
            stopped.extend(self.stop_one(number, index));
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

    /// Marks one task as stopping, if it holds a worker and is not being stopped already.
    pub(crate) fn stop_one(&mut self, number: JobNo, index: u32) -> Option<PlacedTask> {
        let job = self.jobs.get_mut(number);
        let slot = &mut job.slots[index as usize];
        if !slot.state.holds_worker() || slot.state == TaskState::Stopping {
            return None;
        }
        slot.become_state(TaskState::Stopping);
        let worker = slot.worker;
        Some(PlacedTask {
            task: job.task(index),
            worker: self.workers.get(worker).name.clone(),
        })
    }

    /// Lets a job end with a result as soon as no task of it holds a worker.
    pub(crate) fn end_job(&mut self, number: JobNo, result: JobResult, reason: &str) -> Effect {
        self.drop_reservations(number);
        self.dequeue(number);
        let job = self.jobs.get_mut(number);
        job.pending.clear();
        job.ending = Some((result, Name::new(reason)));
        let stop = self.stop_all(number);
        Effect {
            applied: true,
            stop,
            done: self.finish_if_idle(number),
            ..Effect::default()
        }
    }

    /// Forgets a job that is to end once no task of it holds a worker.
    pub(crate) fn finish_if_idle(&mut self, number: JobNo) -> Option<JobDone> {
        let job = self.jobs.get(number);
        if job.active > 0 || self.orphans.contains_key(&job.spec.id) {
            return None;
        }
        let (result, reason) = job.ending.clone()?;
        let job = self.forget_job(number);
        Some(JobDone {
            job: job.spec.id,
            result,
            reason,
        })
    }

    pub(crate) fn forget_job(&mut self, number: JobNo) -> Job {
        self.drop_reservations(number);
        self.dequeue(number);
        self.jobs.remove(number)
    }
}
