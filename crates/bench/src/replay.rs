//! Replays a trace against a scheduler and measures waiting and packing.
//!
//! Tasks end after their real run time, pre-empted ones after a grace. Nothing else of a cluster
//! is modelled.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

use kspan_model::{JobId, Millis, Name, Priority, Resources, TaskId, document::Policy};
use kspan_placement::{CancelOutcome, Cell, Decision, End, TaskState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    baseline::{Baseline, Choice},
    fluid::{Demand, upper_bound, value},
    trace::{Arrival, Trace},
};

/// Time between plans.
const TICK: Millis = Millis(100);
/// Time between samples.
const SAMPLE: Millis = Millis::from_secs(20);
/// Time that a pre-empted task takes to go.
const GRACE: Millis = Millis(200);
/// Part of the trace that is not measured, while the cell fills.
const WARM_UP: f64 = 0.25;

/// The scheduler under measurement.
pub(crate) enum Scheduler {
    Cell(Box<Cell>),
    Baseline(Baseline),
}

impl Scheduler {
    pub(crate) fn cell(policy: Policy, trace: &Trace) -> Self {
        let mut cell = Cell::new(policy).with_teams(&trace.teams);
        for worker in &trace.workers {
            cell.upsert_worker(worker.clone());
        }
        Self::Cell(Box::new(cell))
    }

    pub(crate) fn baseline(choice: Choice, trace: &Trace) -> Self {
        Self::Baseline(Baseline::new(choice, &trace.workers))
    }
}

/// What a replay measured.
#[derive(Clone, Debug, Default)]
pub(crate) struct Measured {
    /// Committed value against the fluid bound, mean over the samples.
    pub(crate) packing: f64,
    /// Committed value against the capacity of the workers in use, mean over the samples.
    pub(crate) density: f64,
    /// Part of the accelerators that are free while a task waits that wants some, on workers
    /// where no such task fits.
    pub(crate) stranded: f64,
    /// Committed part of the processors at each sample.
    pub(crate) over_time: Vec<(f64, f64)>,
    /// Waiting times of the first attempts, by priority, in milliseconds.
    waits: HashMap<Priority, Vec<u64>>,
}

impl Measured {
    /// Returns the mean waiting time of a priority, in milliseconds.
    pub(crate) fn mean_wait(&self, priority: Priority) -> f64 {
        let waits = self.waits.get(&priority).map_or(&[][..], Vec::as_slice);
        waits.iter().sum::<u64>() as f64 / waits.len() as f64
    }

    /// Returns the committed part of the processors, mean over the samples after the warm-up.
    pub(crate) fn mean_committed(&self) -> f64 {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Part of the length.
        let warm = (self.over_time.len() as f64 * WARM_UP) as usize;
        let parts = self.over_time.iter().skip(warm).map(|(_, part)| part);
        parts.sum::<f64>() / (self.over_time.len() - warm) as f64
    }

    /// Returns a quantile of the waiting times of a priority, in milliseconds.
    pub(crate) fn wait_quantile(&self, priority: Priority, part: f64) -> f64 {
        let mut waits = self.waits.get(&priority).cloned().unwrap_or_default();
        waits.sort_unstable();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // A part of the length.
        let position = (waits.len() as f64 * part) as usize;
        waits
            .get(position.min(waits.len().saturating_sub(1)))
            .map_or(f64::NAN, |wait| *wait as f64)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Ends { task: TaskId, run: u32 },
    Goes { task: TaskId, checkpoint: bool },
    Cancel(JobId),
}

struct Running {
    worker: Name,
    size: Resources,
    since: Millis,
    /// Tells the run of a task that ended early from the one that its end was planned for.
    run: u32,
}

pub(crate) struct Replay<'a> {
    trace: &'a Trace,
    scheduler: Scheduler,
    rng: ChaCha8Rng,
    now: Millis,
    events: BinaryHeap<Reverse<(Millis, Happens)>>,
    running: BTreeMap<TaskId, Running>,
    /// Work done by attempts that were checkpointed.
    done: HashMap<(JobId, u32), Millis>,
    arrived: HashMap<JobId, &'a Arrival>,
    demand: Demand,
    waiting: Demand,
    capacity: Resources,
    committed: Resources,
    runs: u32,
    samples: u32,
    measured: Measured,
}

/// Replays a whole trace. Jobs that are not urgent are left out while `commit_at_most` of the
/// processors are committed.
pub(crate) fn replay(
    trace: &Trace,
    scheduler: Scheduler,
    duration: Millis,
    commit_at_most: Option<f64>,
) -> Measured {
    let capacity = trace.workers.iter().fold(Resources::ZERO, |sum, worker| {
        sum.saturating_add(worker.capacity)
    });
    let mut replay = Replay {
        trace,
        scheduler,
        rng: ChaCha8Rng::seed_from_u64(5),
        now: Millis::ZERO,
        events: BinaryHeap::new(),
        running: BTreeMap::new(),
        done: HashMap::new(),
        arrived: HashMap::new(),
        demand: Demand::new(),
        waiting: Demand::new(),
        capacity,
        committed: Resources::ZERO,
        runs: 0,
        samples: 0,
        measured: Measured::default(),
    };
    replay.run(duration, commit_at_most);
    replay.measured
}

impl<'a> Replay<'a> {
    fn run(&mut self, duration: Millis, commit_at_most: Option<f64>) {
        let mut arrivals = self.trace.arrivals.iter().peekable();
        let warm = duration.0 as f64 * WARM_UP;
        let mut next_sample = SAMPLE;
        while self.now < duration {
            self.now += TICK;
            while let Some(Reverse((at, _))) = self.events.peek()
                && *at <= self.now
            {
                let Some(Reverse((_, event))) = self.events.pop() else {
                    break;
                };
                self.happen(event);
            }
            while let Some(arrival) = arrivals.next_if(|next| next.spec.submitted <= self.now) {
                let part = self.committed.cpu_milli as f64 / self.capacity.cpu_milli as f64;
                let is_urgent = arrival.spec.priority == Priority::Urgent;
                if is_urgent || commit_at_most.is_none_or(|most| part < most) {
                    self.submit(arrival);
                }
            }
            self.plan();
            if self.now >= next_sample {
                next_sample += SAMPLE;
                self.sample(self.now.0 as f64 >= warm);
            }
        }
        let samples = f64::from(self.samples.max(1));
        self.measured.packing /= samples;
        self.measured.density /= samples;
        self.measured.stranded /= samples;
    }

    fn submit(&mut self, arrival: &'a Arrival) {
        let spec = &arrival.spec;
        match &mut self.scheduler {
            Scheduler::Cell(cell) => {
                cell.submit(spec.clone());
            }
            Scheduler::Baseline(baseline) => baseline.submit(spec.clone()),
        }
        add(&mut self.demand, spec.shape.size, u64::from(spec.tasks));
        add(&mut self.waiting, spec.shape.size, u64::from(spec.tasks));
        self.arrived.insert(spec.id, arrival);
        if let Some(at) = arrival.cancelled {
            self.events.push(Reverse((at, Happens::Cancel(spec.id))));
        }
    }

    fn happen(&mut self, event: Happens) {
        match event {
            Happens::Ends { task, run } => {
                if self
                    .running
                    .get(&task)
                    .is_some_and(|running| running.run == run)
                {
                    self.end(task, End::Succeeded);
                }
            }
            Happens::Goes { task, checkpoint } => {
                if !self.running.contains_key(&task) {
                    return;
                }
                if checkpoint {
                    let ran = self.now - self.running[&task].since;
                    let done = self.done.entry((task.job, task.index)).or_default();
                    *done += ran;
                }
                let end = if checkpoint {
                    End::Checkpointed
                } else {
                    End::Stopped
                };
                self.end(task, end);
            }
            Happens::Cancel(job) => self.cancel(job),
        }
    }

    fn end(&mut self, task: TaskId, end: End) {
        let Some(running) = self.running.remove(&task) else {
            return;
        };
        self.committed = self.committed.saturating_sub(running.size);
        match &mut self.scheduler {
            Scheduler::Cell(cell) => {
                let effect = cell.record_end(task, end, self.now);
                match effect.retry {
                    Some(_) => add(&mut self.waiting, running.size, 1),
                    None => take(&mut self.demand, running.size, 1),
                }
            }
            Scheduler::Baseline(baseline) => {
                baseline.ended(task);
                take(&mut self.demand, running.size, 1);
            }
        }
    }

    fn cancel(&mut self, job: JobId) {
        let Some(arrival) = self.arrived.get(&job) else {
            return;
        };
        let size = arrival.spec.shape.size;
        let tasks = self.running.keys().filter(|task| task.job == job);
        let running: Vec<TaskId> = tasks.copied().collect();
        match &mut self.scheduler {
            Scheduler::Cell(cell) => {
                let before = queued(cell, job);
                if cell.cancel(job) != CancelOutcome::Unknown {
                    take(&mut self.waiting, size, before);
                    take(&mut self.demand, size, before);
                }
            }
            Scheduler::Baseline(baseline) => {
                let before = baseline.queued(job);
                baseline.cancel(job);
                take(&mut self.waiting, size, before);
                take(&mut self.demand, size, before);
            }
        }
        for task in running {
            self.end(task, End::Stopped);
        }
    }

    fn plan(&mut self) {
        let started = match &mut self.scheduler {
            Scheduler::Baseline(baseline) => baseline.plan(&mut self.rng),
            Scheduler::Cell(cell) => {
                let decisions = cell.plan(self.now, &mut self.rng, usize::MAX);
                let mut started = Vec::new();
                for decision in decisions {
                    match decision {
                        Decision::Start(start) => {
                            cell.record_start(start.task, self.now);
                            started.push((start.task, start.worker));
                        }
                        Decision::Preempt {
                            task, checkpoint, ..
                        } => {
                            let goes = Happens::Goes { task, checkpoint };
                            self.events.push(Reverse((self.now + GRACE, goes)));
                        }
                        Decision::Impossible { .. } => {}
                    }
                }
                started
            }
        };
        for (task, worker) in started {
            self.start(task, worker);
        }
    }

    fn start(&mut self, task: TaskId, worker: Name) {
        let arrival = self.arrived[&task.job];
        let size = arrival.spec.shape.size;
        if task.attempt == 0 {
            let waited = self.now.saturating_sub(arrival.spec.submitted);
            let waits = self.measured.waits.entry(arrival.spec.priority);
            waits.or_default().push(waited.0);
        }
        self.runs += 1;
        let done = self.done.get(&(task.job, task.index)).copied();
        let left = arrival.runs.saturating_sub(done.unwrap_or_default());
        let ends = Happens::Ends {
            task,
            run: self.runs,
        };
        self.events
            .push(Reverse((self.now + left.max(Millis(1)), ends)));
        self.committed = self.committed.saturating_add(size);
        take(&mut self.waiting, size, 1);
        let running = Running {
            worker,
            size,
            since: self.now,
            run: self.runs,
        };
        self.running.insert(task, running);
    }

    fn sample(&mut self, counts: bool) {
        let at = self.now.0 as f64 / 1_000.0;
        let part = self.committed.cpu_milli as f64 / self.capacity.cpu_milli as f64;
        self.measured.over_time.push((at, part));
        if !counts {
            return;
        }
        self.samples += 1;
        let committed = value(self.committed, self.capacity);
        self.measured.packing += committed / upper_bound(&self.demand, self.capacity);
        let mut free: HashMap<&Name, Resources> = HashMap::new();
        for running in self.running.values() {
            let used = free.entry(&running.worker).or_default();
            *used = used.saturating_add(running.size);
        }
        let mut in_use = Resources::ZERO;
        let mut stranded = 0;
        for worker in &self.trace.workers {
            let used = free.get(&worker.name).copied().unwrap_or_default();
            if !used.is_zero() {
                in_use = in_use.saturating_add(worker.capacity);
            }
            let left = worker.capacity.saturating_sub(used);
            let wanted = || self.waiting.keys().filter(|size| size.accelerators > 0);
            if wanted().next().is_some() && !wanted().any(|size| size.fits_in(left)) {
                stranded += left.accelerators;
            }
        }
        self.measured.density += committed / value(in_use, self.capacity).max(f64::MIN_POSITIVE);
        self.measured.stranded += stranded as f64 / self.capacity.accelerators.max(1) as f64;
    }
}

fn queued(cell: &Cell, job: JobId) -> u64 {
    let tasks = cell.tasks(job);
    tasks.iter().filter(|row| row.worker.is_none()).count() as u64
        - tasks
            .iter()
            .filter(|row| row.state == TaskState::Ended)
            .count() as u64
}

fn add(demand: &mut Demand, size: Resources, count: u64) {
    *demand.entry(size).or_default() += count;
}

fn take(demand: &mut Demand, size: Resources, count: u64) {
    let Some(left) = demand.get_mut(&size) else {
        return;
    };
    *left = left.saturating_sub(count);
    if *left == 0 {
        demand.remove(&size);
    }
}
