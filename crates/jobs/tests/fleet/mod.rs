//! A cell whose runners run what they are told, and crash under some tasks.

use std::collections::BTreeMap;

use kspan_jobs::{
    engine::{JobState, Order, RunnerIx},
    id::{JobId, TaskId},
    runner::{
        EndKind, EndedTask, Inventory, InventoryOutcome, OrderOutcome, RunnerEntry, RunningTask,
        StartOutcome,
    },
};
use kspan_model::{Millis, Name, Resources};

use crate::one_cell::{Cell, config, end_row, entry};

/// Time for which a crashed runner is away, in milliseconds.
pub(crate) const RESTART_MS: u64 = 3_000;

/// Period of the inventories and scheduling passes, in milliseconds.
pub(crate) const STEP_MS: u64 = 100;

/// A run on a simulated runner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) number: u32,
    pub(crate) since: u64,
}

/// A runner that may crash.
#[derive(Clone, Debug)]
pub(crate) struct FleetRunner {
    pub(crate) ix: usize,
    pub(crate) incarnation: u32,
    pub(crate) back_at: Option<u64>,
    pub(crate) is_cut_off: bool,
    pub(crate) runs: BTreeMap<TaskId, Run>,
    pub(crate) ended: Vec<EndedTask>,
    pub(crate) next_end: u64,
}

/// A cell whose runners run what they are told, and crash under some tasks.
pub(crate) struct Fleet {
    pub(crate) cell: Cell,
    pub(crate) runners: Vec<FleetRunner>,
    /// Run time after which a task crashes its runner.
    pub(crate) crash_after: BTreeMap<TaskId, u64>,
    /// Run time of the other tasks.
    pub(crate) run_time: u64,
    pub(crate) starts: BTreeMap<TaskId, usize>,
    /// Numbers of the runners on which tasks started, in order.
    pub(crate) places: Vec<(TaskId, usize)>,
    pub(crate) crashes: usize,
    pub(crate) next_ix: usize,
    pub(crate) is_store_down: bool,
    /// Number of the next starts whose runner has just crashed when the order comes.
    pub(crate) starts_too_late: usize,
}

impl Fleet {
    pub(crate) fn new(count: usize) -> Self {
        let entries = (0..count).map(|number| incarnation_entry(number, 1));
        let cell = Cell::with_runners(config(), entries);
        let runner = |ix| FleetRunner {
            ix,
            incarnation: 1,
            back_at: None,
            is_cut_off: false,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
        };
        Self {
            cell,
            runners: (0..count).map(runner).collect(),
            crash_after: BTreeMap::new(),
            run_time: 1_000,
            starts: BTreeMap::new(),
            places: Vec::new(),
            crashes: 0,
            next_ix: count,
            is_store_down: false,
            starts_too_late: 0,
        }
    }

    pub(crate) fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    /// Advances by one period, in which each runner is polled once.
    pub(crate) fn step(&mut self) {
        self.cell.advance(STEP_MS);
        for number in 0..self.runners.len() {
            self.restart_if_due(number);
            self.advance_runs(number);
            self.poll(number);
        }
        self.commit();
        let now = Millis(self.cell.now);
        self.cell.engine.schedule(now);
        for order in self.cell.engine.take_orders() {
            match order {
                Order::Start(order) => {
                    if self.cell.engine.begin_start(&order) {
                        self.start(order.runner_ix, order.task, order.run);
                    }
                }
                Order::Stop(order) => self.stop(order.runner_ix, order.task, order.run),
                Order::RequestApprovals(_) => unreachable!("no queue needs approvals"),
                Order::Throttle(_) => unreachable!("no task is best-effort"),
            }
        }
        self.commit();
    }

    pub(crate) fn commit(&mut self) {
        if !self.is_store_down {
            self.cell.commit();
        }
    }

    pub(crate) fn number_of(&self, runner_ix: RunnerIx) -> Option<usize> {
        self.runners
            .iter()
            .position(|runner| runner.ix == runner_ix.0)
    }

    pub(crate) fn start(&mut self, runner_ix: RunnerIx, task: TaskId, number: u32) {
        let now = self.cell.now;
        *self.starts.entry(task).or_default() += 1;
        let at = self.number_of(runner_ix).expect("orders name live runners");
        if self.starts_too_late > 0 {
            self.starts_too_late -= 1;
            self.crash(at);
        }
        let runner = &mut self.runners[at];
        let is_up = runner.back_at.is_none() && !runner.is_cut_off;
        let outcome = if is_up {
            runner.runs.insert(task, Run { number, since: now });
            self.places.push((task, at));
            StartOutcome::Started(Millis(now))
        } else {
            StartOutcome::InDoubt
        };
        let engine = &mut self.cell.engine;
        engine.record_start_outcome(Millis(now), runner_ix, task, number, outcome);
    }

    pub(crate) fn stop(&mut self, runner_ix: RunnerIx, task: TaskId, number: u32) {
        let now = Millis(self.cell.now);
        let Some(at) = self.number_of(runner_ix) else {
            return;
        };
        let runner = &mut self.runners[at];
        if runner.back_at.is_some() || runner.is_cut_off {
            return;
        }
        if runner
            .runs
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            runner.end(task, EndKind::Stopped);
        }
        let outcome = OrderOutcome::Done;
        let engine = &mut self.cell.engine;
        engine.record_stop_outcome(runner_ix, task, number, outcome, now);
    }

    pub(crate) fn advance_runs(&mut self, number: usize) {
        let (now, run_time) = (self.cell.now, self.run_time);
        let runner = &mut self.runners[number];
        let is_due = |task: &TaskId, run: &Run| {
            let crash_after = self.crash_after.get(task);
            crash_after.is_some_and(|after| now >= run.since + after)
        };
        if runner.runs.iter().any(|(task, run)| is_due(task, run)) {
            return self.crash(number);
        }
        let done: Vec<TaskId> = runner
            .runs
            .iter()
            .filter(|(task, run)| {
                !self.crash_after.contains_key(task) && now >= run.since + run_time
            })
            .map(|(task, _)| *task)
            .collect();
        for task in done {
            runner.end(task, EndKind::Done);
        }
    }

    pub(crate) fn crash(&mut self, number: usize) {
        self.crashes += 1;
        let runner = &mut self.runners[number];
        runner.runs.clear();
        runner.ended.clear();
        runner.back_at = Some(self.cell.now + RESTART_MS);
    }

    pub(crate) fn restart_if_due(&mut self, number: usize) {
        let now = self.cell.now;
        if self.runners[number].back_at.is_none_or(|at| now < at) {
            return;
        }
        let runner = &mut self.runners[number];
        runner.back_at = None;
        runner.incarnation += 1;
        runner.next_end = 1;
        let entry = incarnation_entry(number, runner.incarnation);
        let old_ix = runner.ix;
        self.complete_call(old_ix, &InventoryOutcome::OtherIncarnation);
        self.cell.engine.upsert_runner(Millis(now), entry);
        self.cell.engine.confirm_ownership(Millis(now));
        self.runners[number].ix = self.next_ix;
        self.next_ix += 1;
        self.cell.commit();
    }

    pub(crate) fn complete_call(&mut self, ix: usize, outcome: &InventoryOutcome) {
        if !self.cell.engine.is_dead(RunnerIx(ix)) {
            self.cell.complete_inventory_call(ix, outcome);
        }
    }

    pub(crate) fn poll(&mut self, number: usize) {
        let runner = &self.runners[number];
        let ix = runner.ix;
        if runner.back_at.is_some() || runner.is_cut_off {
            return self.complete_call(ix, &InventoryOutcome::NoResponse);
        }
        let running = runner.runs.iter().map(|(task, run)| RunningTask {
            task: *task,
            run: run.number,
            checkpoint: Name::default(),
            percent: u32::try_from((self.cell.now - run.since) / 100).expect("a run is short"),
            load: 0,
        });
        let (running, ended) = (running.collect(), runner.ended.clone());
        let is_alive = !self.cell.engine.is_dead(RunnerIx(ix));
        if is_alive {
            self.report(ix, runner.incarnation, running, ended);
        }
    }

    pub(crate) fn report(
        &mut self,
        ix: usize,
        incarnation: u32,
        running: Vec<RunningTask>,
        ended: Vec<EndedTask>,
    ) {
        let outcome = InventoryOutcome::Inventory(Inventory {
            clock: Millis(self.cell.now),
            started_unix_ms: u64::from(incarnation),
            running,
            ended,
            has_more_ends: false,
            skipped_rows: 0,
        });
        self.cell.complete_inventory_call(ix, &outcome);
    }

    /// Replaces the owner by one that knows the durable records only.
    pub(crate) fn replace_owner(&mut self) {
        self.cell.recover();
        let known: Vec<RunnerIx> = self.cell.engine.live_runners().collect();
        let number_of = |entry: &RunnerEntry| -> usize {
            entry
                .addr
                .parse()
                .expect("addresses are the runners' numbers")
        };
        for runner_ix in &known {
            let number = number_of(self.cell.engine.runner(*runner_ix));
            self.runners[number].ix = runner_ix.0;
        }
        self.next_ix = known.len();
        let now = Millis(self.cell.now);
        for number in 0..self.runners.len() {
            let runner = &self.runners[number];
            if runner.back_at.is_none() && !runner.is_cut_off {
                let entry = incarnation_entry(number, runner.incarnation);
                self.cell.engine.upsert_runner(now, entry);
            }
        }
    }

    pub(crate) fn state(&self, job: u64) -> Option<JobState> {
        self.cell.engine.job_state(JobId(job))
    }

    /// Returns the highest number of starts of any task that crashes its runners.
    pub(crate) fn most_crashing_starts(&self) -> usize {
        let starts = self
            .crash_after
            .keys()
            .filter_map(|task| self.starts.get(task));
        starts.copied().max().unwrap_or(0)
    }
}

impl FleetRunner {
    pub(crate) fn end(&mut self, task: TaskId, how: EndKind) {
        let run = self.runs.remove(&task).expect("the run is present");
        let end = end_row(self.next_end, task, run.number, how);
        self.ended.push(end);
        self.next_end += 1;
    }
}

pub(crate) fn incarnation_entry(number: usize, incarnation: u32) -> RunnerEntry {
    RunnerEntry {
        addr: Name::new(&number.to_string()),
        capacity: Resources::new(16_000, 64_000, 0),
        started_unix_ms: u64::from(incarnation),
        ..entry(&format!("w{number}-{incarnation}"))
    }
}
