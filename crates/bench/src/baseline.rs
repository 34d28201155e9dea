//! Baseline schedulers: first fit, best fit and random choice, each with one FIFO queue.
//!
//! They skip jobs that do not fit, ignore teams and the rack constraints of gangs, and scan every
//! worker for each task.

use std::collections::{HashMap, VecDeque};

use kspan_model::{JobId, Name, Resources, TaskId};
use kspan_placement::{JobKind, JobSpec, WorkerSpec};
use rand::Rng;

/// Maximum number of jobs, from the head of the queue, that one plan considers.
const MAX_JOBS_PER_PLAN: usize = 400;

/// Rule by which a baseline chooses among the workers that have room for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heuristic {
    FirstFit,
    BestFit,
    Random,
}

struct QueuedJob {
    spec: JobSpec,
    next_task: u32,
}

/// A baseline scheduler.
pub(crate) struct Baseline {
    heuristic: Heuristic,
    /// Name, capacity and free capacity of each worker.
    workers: Vec<(Name, Resources, Resources)>,
    queue: VecDeque<QueuedJob>,
    allocations: HashMap<TaskId, (usize, Resources)>,
    /// Sizes that fitted no worker and that no capacity released since then can hold.
    unplaceable_sizes: Vec<Resources>,
}

impl Baseline {
    pub(crate) fn new(heuristic: Heuristic, workers: &[WorkerSpec]) -> Self {
        let workers = workers.iter();
        Self {
            heuristic,
            workers: workers
                .map(|worker| (worker.name.clone(), worker.capacity, worker.capacity))
                .collect(),
            queue: VecDeque::new(),
            allocations: HashMap::new(),
            unplaceable_sizes: Vec::new(),
        }
    }

    pub(crate) fn submit(&mut self, spec: JobSpec) {
        self.queue.push_back(QueuedJob { spec, next_task: 0 });
    }

    /// Returns the number of queued tasks of a job.
    pub(crate) fn queued_tasks(&self, job: JobId) -> u64 {
        let queued = self.queue.iter().filter(|queued| queued.spec.id == job);
        queued
            .map(|queued| u64::from(queued.spec.tasks - queued.next_task))
            .sum()
    }

    pub(crate) fn cancel(&mut self, job: JobId) {
        self.queue.retain(|queued| queued.spec.id != job);
    }

    pub(crate) fn record_end(&mut self, task: TaskId) {
        if let Some((worker, size)) = self.allocations.remove(&task) {
            let free = &mut self.workers[worker].2;
            *free = free.saturating_add(size);
            let free = *free;
            self.unplaceable_sizes.retain(|size| !size.fits_in(free));
        }
    }

    pub(crate) fn plan(&mut self, rng: &mut impl Rng) -> Vec<(TaskId, Name)> {
        let mut started = Vec::new();
        // Like a backfilling scheduler, a plan considers only the head of the queue.
        let head_len = self.queue.len().min(MAX_JOBS_PER_PLAN);
        let head: Vec<QueuedJob> = self.queue.drain(..head_len).collect();
        let mut remaining = Vec::new();
        for mut queued in head {
            if let JobKind::Gang { .. } = queued.spec.kind {
                self.start_gang(&mut queued, rng, &mut started);
            } else {
                while queued.next_task < queued.spec.tasks
                    && self.start_task(&mut queued, rng, &mut started)
                {}
            }
            if queued.next_task < queued.spec.tasks {
                remaining.push(queued);
            }
        }
        for queued in remaining.into_iter().rev() {
            self.queue.push_front(queued);
        }
        started
    }

    fn start_gang(
        &mut self,
        queued: &mut QueuedJob,
        rng: &mut impl Rng,
        started: &mut Vec<(TaskId, Name)>,
    ) {
        let started_before = started.len();
        while queued.next_task < queued.spec.tasks && self.start_task(queued, rng, started) {}
        if queued.next_task == queued.spec.tasks {
            return;
        }
        queued.next_task = 0;
        for (task, _) in started.drain(started_before..) {
            let (worker, size) = self
                .allocations
                .remove(&task)
                .expect("the task was allocated above");
            let free = &mut self.workers[worker].2;
            *free = free.saturating_add(size);
        }
        self.unplaceable_sizes.push(queued.spec.shape.size);
    }

    fn start_task(
        &mut self,
        queued: &mut QueuedJob,
        rng: &mut impl Rng,
        started: &mut Vec<(TaskId, Name)>,
    ) -> bool {
        let size = queued.spec.shape.size;
        if self.unplaceable_sizes.contains(&size) {
            return false;
        }
        let Some(worker) = self.choose_worker(size, rng) else {
            self.unplaceable_sizes.push(size);
            return false;
        };
        let entry = &mut self.workers[worker];
        entry.2 = entry.2.saturating_sub(size);
        let task = TaskId::new(queued.spec.id, queued.next_task, 0);
        started.push((task, entry.0.clone()));
        self.allocations.insert(task, (worker, size));
        queued.next_task += 1;
        true
    }

    fn choose_worker(&self, size: Resources, rng: &mut impl Rng) -> Option<usize> {
        let mut fitting =
            (0..self.workers.len()).filter(|&index| size.fits_in(self.workers[index].2));
        match self.heuristic {
            Heuristic::FirstFit => fitting.next(),
            Heuristic::BestFit => fitting.min_by_key(|&index| {
                let (_, capacity, free) = &self.workers[index];
                let remaining = free.saturating_sub(size);
                remaining.cpu_milli * 1_000 / capacity.cpu_milli.max(1)
                    + remaining.memory_mib * 1_000 / capacity.memory_mib.max(1)
            }),
            Heuristic::Random => {
                let candidates: Vec<usize> = fitting.collect();
                (!candidates.is_empty()).then(|| candidates[rng.random_range(0..candidates.len())])
            }
        }
    }
}
