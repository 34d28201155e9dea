//! Replays a trace against a scheduler on a simulated clock and measures waiting and packing.
//!
//! Tasks end after their actual run time, preempted ones after a grace period. Nothing else of a
//! cluster is modelled.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

use kspan_model::{JobId, Millis, Name, Priority, Resources, TaskId, document::Policy};
use kspan_placement::{CancelOutcome, Cell, Decision, End, TaskState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    baseline::{Baseline, Heuristic},
    fluid::{Demand, total_share, upper_bound},
    trace::{Arrival, Trace},
};

/// Simulated time between plans.
const PLAN_INTERVAL: Millis = Millis(100);
/// Simulated time between samples.
const SAMPLE_INTERVAL: Millis = Millis::from_secs(20);
/// Time from the preemption of a task to its end.
const PREEMPTION_GRACE: Millis = Millis(200);
/// Leading fraction of the trace that is not measured, because the cell is still filling.
const WARM_UP_FRACTION: f64 = 0.25;

/// Scheduler under test.
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

    pub(crate) fn baseline(heuristic: Heuristic, trace: &Trace) -> Self {
        Self::Baseline(Baseline::new(heuristic, &trace.workers))
    }
}

/// Measurements of one replay.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplayResult {
    /// Ratio of the committed capacity to the fluid bound, mean over the samples.
    pub(crate) packing: f64,
    /// Ratio of the committed capacity to the capacity of the workers in use, mean over the
    /// samples.
    pub(crate) density: f64,
    /// Fraction of the accelerators that are free while tasks that need accelerators are queued,
    /// on workers where none of those tasks fits; mean over the samples.
    pub(crate) stranded: f64,
    /// Time in seconds and committed fraction of the processors, for each sample.
    pub(crate) committed_over_time: Vec<(f64, f64)>,
    /// Waiting times of first attempts in milliseconds, by priority.
    waits_ms: HashMap<Priority, Vec<u64>>,
}

impl ReplayResult {
    /// Returns the mean waiting time at a priority, in milliseconds.
    pub(crate) fn mean_wait(&self, priority: Priority) -> f64 {
        let waits_ms = self.waits_ms.get(&priority).map_or(&[][..], Vec::as_slice);
        waits_ms.iter().sum::<u64>() as f64 / waits_ms.len() as f64
    }

    /// Returns the committed fraction of the processors, mean over the samples after the warm-up.
    pub(crate) fn mean_committed(&self) -> f64 {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // At most the length.
        let warm_up_samples = (self.committed_over_time.len() as f64 * WARM_UP_FRACTION) as usize;
        let fractions = self
            .committed_over_time
            .iter()
            .skip(warm_up_samples)
            .map(|(_, fraction)| fraction);
        fractions.sum::<f64>() / (self.committed_over_time.len() - warm_up_samples) as f64
    }

    /// Returns a quantile of the waiting times at a priority, in milliseconds, or NaN if there are
    /// none.
    pub(crate) fn wait_quantile(&self, priority: Priority, fraction: f64) -> f64 {
        let mut waits_ms = self.waits_ms.get(&priority).cloned().unwrap_or_default();
        waits_ms.sort_unstable();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // At most the length.
        let position = (waits_ms.len() as f64 * fraction) as usize;
        waits_ms
            .get(position.min(waits_ms.len().saturating_sub(1)))
            .map_or(f64::NAN, |wait| *wait as f64)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    TaskCompleted { task: TaskId, run_id: u32 },
    PreemptionFinished { task: TaskId, checkpoint: bool },
    JobCancelled(JobId),
}

struct RunningTask {
    worker: Name,
    size: Resources,
    started_at: Millis,
    /// Distinguishes this run of the task from an earlier one that ended before its completion
    /// event, which must not end this run.
    run_id: u32,
}

/// State of one replay.
pub(crate) struct Replay<'a> {
    trace: &'a Trace,
    scheduler: Scheduler,
    rng: ChaCha8Rng,
    now: Millis,
    events: BinaryHeap<Reverse<(Millis, Event)>>,
    running: BTreeMap<TaskId, RunningTask>,
    /// Run time that attempts completed before their checkpoint, by job and task index.
    checkpointed_work: HashMap<(JobId, u32), Millis>,
    submitted_jobs: HashMap<JobId, &'a Arrival>,
    demand: Demand,
    queued_demand: Demand,
    capacity: Resources,
    committed: Resources,
    last_run_id: u32,
    samples: u32,
    result: ReplayResult,
}

/// Replays a trace for `duration`. Jobs that are not urgent are dropped on arrival while the
/// committed fraction of the processors is `commit_at_most` or more.
pub(crate) fn replay(
    trace: &Trace,
    scheduler: Scheduler,
    duration: Millis,
    commit_at_most: Option<f64>,
) -> ReplayResult {
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
        checkpointed_work: HashMap::new(),
        submitted_jobs: HashMap::new(),
        demand: Demand::new(),
        queued_demand: Demand::new(),
        capacity,
        committed: Resources::ZERO,
        last_run_id: 0,
        samples: 0,
        result: ReplayResult::default(),
    };
    replay.run(duration, commit_at_most);
    replay.result
}

impl<'a> Replay<'a> {
    fn run(&mut self, duration: Millis, commit_at_most: Option<f64>) {
        let mut arrivals = self.trace.arrivals.iter().peekable();
        let warm_up_ms = duration.0 as f64 * WARM_UP_FRACTION;
        let mut next_sample = SAMPLE_INTERVAL;
        while self.now < duration {
            self.now += PLAN_INTERVAL;
            while let Some(Reverse((at, _))) = self.events.peek()
                && *at <= self.now
            {
                let Some(Reverse((_, event))) = self.events.pop() else {
                    break;
                };
                self.handle_event(event);
            }
            while let Some(arrival) = arrivals.next_if(|next| next.spec.submitted <= self.now) {
                let fraction = self.committed.cpu_milli as f64 / self.capacity.cpu_milli as f64;
                let is_urgent = arrival.spec.priority == Priority::Urgent;
                if is_urgent || commit_at_most.is_none_or(|limit| fraction < limit) {
                    self.submit_job(arrival);
                }
            }
            self.plan();
            if self.now >= next_sample {
                next_sample += SAMPLE_INTERVAL;
                self.record_sample(self.now.0 as f64 >= warm_up_ms);
            }
        }
        let samples = f64::from(self.samples.max(1));
        self.result.packing /= samples;
        self.result.density /= samples;
        self.result.stranded /= samples;
    }

    fn submit_job(&mut self, arrival: &'a Arrival) {
        let spec = &arrival.spec;
        match &mut self.scheduler {
            Scheduler::Cell(cell) => {
                cell.submit(spec.clone());
            }
            Scheduler::Baseline(baseline) => baseline.submit(spec.clone()),
        }
        add_demand(&mut self.demand, spec.shape.size, u64::from(spec.tasks));
        add_demand(
            &mut self.queued_demand,
            spec.shape.size,
            u64::from(spec.tasks),
        );
        self.submitted_jobs.insert(spec.id, arrival);
        if let Some(at) = arrival.cancelled_at {
            self.events
                .push(Reverse((at, Event::JobCancelled(spec.id))));
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::TaskCompleted { task, run_id } => {
                if self
                    .running
                    .get(&task)
                    .is_some_and(|running| running.run_id == run_id)
                {
                    self.end_task(task, End::Succeeded);
                }
            }
            Event::PreemptionFinished { task, checkpoint } => {
                if !self.running.contains_key(&task) {
                    return;
                }
                if checkpoint {
                    let ran = self.now - self.running[&task].started_at;
                    let checkpointed_work = self
                        .checkpointed_work
                        .entry((task.job, task.index))
                        .or_default();
                    *checkpointed_work += ran;
                }
                let end = if checkpoint {
                    End::Checkpointed
                } else {
                    End::Stopped
                };
                self.end_task(task, end);
            }
            Event::JobCancelled(job) => self.cancel_job(job),
        }
    }

    fn end_task(&mut self, task: TaskId, end: End) {
        let Some(running) = self.running.remove(&task) else {
            return;
        };
        self.committed = self.committed.saturating_sub(running.size);
        match &mut self.scheduler {
            Scheduler::Cell(cell) => {
                let effect = cell.record_end(task, end, self.now);
                match effect.retry {
                    Some(_) => add_demand(&mut self.queued_demand, running.size, 1),
                    None => subtract_demand(&mut self.demand, running.size, 1),
                }
            }
            Scheduler::Baseline(baseline) => {
                baseline.record_end(task);
                subtract_demand(&mut self.demand, running.size, 1);
            }
        }
    }

    fn cancel_job(&mut self, job: JobId) {
        let Some(arrival) = self.submitted_jobs.get(&job) else {
            return;
        };
        let size = arrival.spec.shape.size;
        let tasks = self.running.keys().filter(|task| task.job == job);
        let running: Vec<TaskId> = tasks.copied().collect();
        match &mut self.scheduler {
            Scheduler::Cell(cell) => {
                let queued_before = queued_tasks(cell, job);
                if cell.cancel(job) != CancelOutcome::Unknown {
                    subtract_demand(&mut self.queued_demand, size, queued_before);
                    subtract_demand(&mut self.demand, size, queued_before);
                }
            }
            Scheduler::Baseline(baseline) => {
                let queued_before = baseline.queued_tasks(job);
                baseline.cancel(job);
                subtract_demand(&mut self.queued_demand, size, queued_before);
                subtract_demand(&mut self.demand, size, queued_before);
            }
        }
        for task in running {
            self.end_task(task, End::Stopped);
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
                            let finished = Event::PreemptionFinished { task, checkpoint };
                            self.events
                                .push(Reverse((self.now + PREEMPTION_GRACE, finished)));
                        }
                        Decision::Impossible { .. } => {}
                    }
                }
                started
            }
        };
        for (task, worker) in started {
            self.start_task(task, worker);
        }
    }

    fn start_task(&mut self, task: TaskId, worker: Name) {
        let arrival = self.submitted_jobs[&task.job];
        let size = arrival.spec.shape.size;
        if task.attempt == 0 {
            let waited = self.now.saturating_sub(arrival.spec.submitted);
            let waits_ms = self.result.waits_ms.entry(arrival.spec.priority);
            waits_ms.or_default().push(waited.0);
        }
        self.last_run_id += 1;
        let checkpointed_work = self.checkpointed_work.get(&(task.job, task.index)).copied();
        let remaining = arrival
            .actual_run_time
            .saturating_sub(checkpointed_work.unwrap_or_default());
        let completion = Event::TaskCompleted {
            task,
            run_id: self.last_run_id,
        };
        self.events
            .push(Reverse((self.now + remaining.max(Millis(1)), completion)));
        self.committed = self.committed.saturating_add(size);
        subtract_demand(&mut self.queued_demand, size, 1);
        let running = RunningTask {
            worker,
            size,
            started_at: self.now,
            run_id: self.last_run_id,
        };
        self.running.insert(task, running);
    }

    fn record_sample(&mut self, after_warm_up: bool) {
        let at = self.now.0 as f64 / 1_000.0;
        let fraction = self.committed.cpu_milli as f64 / self.capacity.cpu_milli as f64;
        self.result.committed_over_time.push((at, fraction));
        if !after_warm_up {
            return;
        }
        self.samples += 1;
        let committed = total_share(self.committed, self.capacity);
        self.result.packing += committed / upper_bound(&self.demand, self.capacity);
        let mut used_by_worker: HashMap<&Name, Resources> = HashMap::new();
        for running in self.running.values() {
            let used = used_by_worker.entry(&running.worker).or_default();
            *used = used.saturating_add(running.size);
        }
        let mut in_use = Resources::ZERO;
        let mut stranded = 0;
        for worker in &self.trace.workers {
            let used = used_by_worker
                .get(&worker.name)
                .copied()
                .unwrap_or_default();
            if !used.is_zero() {
                in_use = in_use.saturating_add(worker.capacity);
            }
            let free = worker.capacity.saturating_sub(used);
            let accelerator_demand = || {
                self.queued_demand
                    .keys()
                    .filter(|size| size.accelerators > 0)
            };
            if accelerator_demand().next().is_some()
                && !accelerator_demand().any(|size| size.fits_in(free))
            {
                stranded += free.accelerators;
            }
        }
        self.result.density +=
            committed / total_share(in_use, self.capacity).max(f64::MIN_POSITIVE);
        self.result.stranded += stranded as f64 / self.capacity.accelerators.max(1) as f64;
    }
}

fn queued_tasks(cell: &Cell, job: JobId) -> u64 {
    let tasks = cell.tasks(job);
    tasks.iter().filter(|row| row.worker.is_none()).count() as u64
        - tasks
            .iter()
            .filter(|row| row.state == TaskState::Ended)
            .count() as u64
}

fn add_demand(demand: &mut Demand, size: Resources, count: u64) {
    *demand.entry(size).or_default() += count;
}

fn subtract_demand(demand: &mut Demand, size: Resources, count: u64) {
    let Some(remaining) = demand.get_mut(&size) else {
        return;
    };
    *remaining = remaining.saturating_sub(count);
    if *remaining == 0 {
        demand.remove(&size);
    }
}
