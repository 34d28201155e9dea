//! Baselines: first fit, best fit and random choice with one queue in order of arrival.
//!
//! They skip what does not fit, know neither teams nor gangs' racks, and look at every worker.

use std::collections::{HashMap, VecDeque};

use kspan_model::{JobId, Name, Resources, TaskId};
use kspan_placement::{JobKind, JobSpec, WorkerSpec};
use rand::Rng;

/// Jobs at the head of the queue that one plan looks at.
const DEPTH: usize = 400;

/// How a baseline chooses among the workers with room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    FirstFit,
    BestFit,
    Random,
}

struct Waiting {
    spec: JobSpec,
    next: u32,
}

/// A baseline scheduler.
pub(crate) struct Baseline {
    choice: Choice,
    workers: Vec<(Name, Resources, Resources)>,
    queue: VecDeque<Waiting>,
    held: HashMap<TaskId, (usize, Resources)>,
    /// Sizes for which nothing was found since capacity came back last.
    full_for: Vec<Resources>,
}

impl Baseline {
    pub(crate) fn new(choice: Choice, workers: &[WorkerSpec]) -> Self {
        let workers = workers.iter();
        Self {
            choice,
            workers: workers
                .map(|worker| (worker.name.clone(), worker.capacity, worker.capacity))
                .collect(),
            queue: VecDeque::new(),
            held: HashMap::new(),
            full_for: Vec::new(),
        }
    }

    pub(crate) fn submit(&mut self, spec: JobSpec) {
        self.queue.push_back(Waiting { spec, next: 0 });
    }

    /// Returns how many tasks of a job wait.
    pub(crate) fn queued(&self, job: JobId) -> u64 {
        let waiting = self.queue.iter().filter(|waiting| waiting.spec.id == job);
        waiting
            .map(|waiting| u64::from(waiting.spec.tasks - waiting.next))
            .sum()
    }

    pub(crate) fn cancel(&mut self, job: JobId) {
        self.queue.retain(|waiting| waiting.spec.id != job);
    }

    pub(crate) fn ended(&mut self, task: TaskId) {
        if let Some((worker, size)) = self.held.remove(&task) {
            let free = &mut self.workers[worker].2;
            *free = free.saturating_add(size);
            let free = *free;
            self.full_for.retain(|size| !size.fits_in(free));
        }
    }

    pub(crate) fn plan(&mut self, rng: &mut impl Rng) -> Vec<(TaskId, Name)> {
        let mut started = Vec::new();
        // A plan looks at the head of the queue only, as backfilling schedulers do.
        let depth = self.queue.len().min(DEPTH);
        let head: Vec<Waiting> = self.queue.drain(..depth).collect();
        let mut left = Vec::new();
        for mut waiting in head {
            if let JobKind::Gang { .. } = waiting.spec.kind {
                self.start_gang(&mut waiting, rng, &mut started);
            } else {
                while waiting.next < waiting.spec.tasks
                    && self.start_one(&mut waiting, rng, &mut started)
                {}
            }
            if waiting.next < waiting.spec.tasks {
                left.push(waiting);
            }
        }
        for waiting in left.into_iter().rev() {
            self.queue.push_front(waiting);
        }
        started
    }

    fn start_gang(
        &mut self,
        waiting: &mut Waiting,
        rng: &mut impl Rng,
        started: &mut Vec<(TaskId, Name)>,
    ) {
        let before = started.len();
        while waiting.next < waiting.spec.tasks && self.start_one(waiting, rng, started) {}
        if waiting.next == waiting.spec.tasks {
            return;
        }
        waiting.next = 0;
        for (task, _) in started.drain(before..) {
            let (worker, size) = self.held.remove(&task).expect("it was placed just now");
            let free = &mut self.workers[worker].2;
            *free = free.saturating_add(size);
        }
        self.full_for.push(waiting.spec.shape.size);
    }

    fn start_one(
        &mut self,
        waiting: &mut Waiting,
        rng: &mut impl Rng,
        started: &mut Vec<(TaskId, Name)>,
    ) -> bool {
        let size = waiting.spec.shape.size;
        if self.full_for.contains(&size) {
            return false;
        }
        let Some(worker) = self.choose(size, rng) else {
            self.full_for.push(size);
            return false;
        };
        let entry = &mut self.workers[worker];
        entry.2 = entry.2.saturating_sub(size);
        let task = TaskId::new(waiting.spec.id, waiting.next, 0);
        started.push((task, entry.0.clone()));
        self.held.insert(task, (worker, size));
        waiting.next += 1;
        true
    }

    fn choose(&self, size: Resources, rng: &mut impl Rng) -> Option<usize> {
        let mut fitting = (0..self.workers.len()).filter(|&at| size.fits_in(self.workers[at].2));
        match self.choice {
            Choice::FirstFit => fitting.next(),
            Choice::BestFit => fitting.min_by_key(|&at| {
                let (_, capacity, free) = &self.workers[at];
                let left = free.saturating_sub(size);
                left.cpu_milli * 1_000 / capacity.cpu_milli.max(1)
                    + left.memory_mib * 1_000 / capacity.memory_mib.max(1)
            }),
            Choice::Random => {
                let all: Vec<usize> = fitting.collect();
                (!all.is_empty()).then(|| all[rng.random_range(0..all.len())])
            }
        }
    }
}
