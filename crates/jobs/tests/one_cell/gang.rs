//! A cell with a gang, whose members start and end as a test says.

use std::collections::{BTreeMap, BTreeSet};

use kspan_jobs::{
    engine::{JobState, Order, StartOrder},
    id::TaskId,
    runner::{EndKind, RunningTask, StartOutcome},
    spec::JobSpec,
};
use kspan_model::Millis;

use super::*;

/// Number of members of the gang, and of runners.
pub(crate) const MEMBERS: u32 = 4;

pub(crate) const RUNNERS: [&str; MEMBERS as usize] = ["w0", "w1", "w2", "w3"];

/// Returns a gang that has one member on each runner.
pub(crate) fn gang_spec() -> JobSpec {
    let mut spec = spec();
    spec.steps[0].count = MEMBERS;
    spec.steps[0].gang = true;
    spec
}

pub(crate) fn member(index: u32) -> TaskId {
    task().step.task(index)
}

/// A cell with a gang, whose members end as a test says.
pub(crate) struct GangCell {
    pub(crate) cell: Cell,
    /// Number of the latest end of each runner.
    end_numbers: BTreeMap<usize, u64>,
    /// Runner of each member in its latest run.
    pub(crate) runners: BTreeMap<u32, usize>,
}

impl GangCell {
    pub(crate) fn new() -> Self {
        Self::with_spec(gang_spec())
    }

    pub(crate) fn with_spec(spec: JobSpec) -> Self {
        let mut cell = Cell::new(&RUNNERS);
        cell.submit_spec(PATH, spec);
        let mut gang = Self {
            cell,
            end_numbers: BTreeMap::new(),
            runners: BTreeMap::new(),
        };
        gang.answer_all();
        gang
    }

    /// Completes an inventory call of each runner, without any run.
    pub(crate) fn answer_all(&mut self) {
        for runner_ix in 0..RUNNERS.len() {
            self.cell.report_ends(runner_ix, Vec::new());
        }
    }

    /// Waits until all members start together.
    pub(crate) fn start(&mut self) {
        for _ in 0..30 {
            self.cell.advance(1_000);
            let started = self.cell.schedule_and_start();
            if !started.is_empty() {
                let placed = started.iter().map(|(at, task)| (task.index, *at));
                self.runners = placed.collect();
                assert_eq!(self.runners.len(), MEMBERS as usize);
                return;
            }
            self.answer_all();
        }
        panic!("the gang does not start within 30 s");
    }

    /// Reports the end of a member on its runner.
    pub(crate) fn end(&mut self, index: u32, run: u32, how: EndKind) {
        let runner_ix = self.runners[&index];
        let number = self.end_numbers.entry(runner_ix).or_default();
        *number += 1;
        let end = end_row(*number, member(index), run, how);
        self.cell.report_ends(runner_ix, vec![end]);
        self.cell.commit();
    }

    /// Lets a run end, in which the members of the given indexes fail.
    pub(crate) fn end_run(&mut self, run: u32, failing: &[u32]) {
        for index in 0..MEMBERS {
            let how = if failing.contains(&index) {
                EndKind::Failed
            } else {
                EndKind::GangBroken
            };
            self.end(index, run, how);
        }
    }

    /// Replaces the owner by one that has the durable records, and whose runners have not answered.
    pub(crate) fn take_over(&mut self) {
        self.cell.recover();
        for id in RUNNERS {
            self.cell
                .engine
                .upsert_runner(Millis(self.cell.now), entry(id));
        }
        self.cell.commit();
    }

    pub(crate) fn has_failed(&self) -> bool {
        self.cell.engine.job_state(JOB) == Some(JobState::Failed)
    }

    /// Waits until all members are ordered to start together, and returns the orders.
    pub(crate) fn order(&mut self) -> Vec<StartOrder> {
        for _ in 0..30 {
            self.cell.advance(100);
            self.cell.engine.schedule(Millis(self.cell.now));
            let orders = self.cell.engine.take_orders();
            let starts = orders.into_iter().filter_map(|order| match order {
                Order::Start(order) => Some(order),
                _ => None,
            });
            let starts: Vec<StartOrder> = starts.collect();
            if !starts.is_empty() {
                assert_eq!(starts.len(), MEMBERS as usize);
                let placed = starts
                    .iter()
                    .map(|order| (order.task.index, order.runner_ix.0));
                self.runners = placed.collect();
                for order in &starts {
                    assert!(self.cell.engine.begin_start(order));
                }
                return starts;
            }
            self.answer_all();
        }
        panic!("the gang does not start within 3 s");
    }

    /// Orders the members to start, and confirms the starts of all but the last one. Returns its order.
    pub(crate) fn start_but_last(&mut self) -> StartOrder {
        let mut orders = self.order();
        let last = orders.pop().expect("a gang has members");
        for order in &orders {
            self.record_start(order, StartOutcome::Started(Millis(self.cell.now)));
        }
        last
    }

    /// Records the outcome of a start order.
    pub(crate) fn record_start(&mut self, order: &StartOrder, outcome: StartOutcome) {
        let now = Millis(self.cell.now);
        let (runner_ix, task, run) = (order.runner_ix, order.task, order.run);
        let engine = &mut self.cell.engine;
        engine.record_start_outcome(now, runner_ix, task, run, outcome);
    }

    /// Reports the given members as running where they were started.
    pub(crate) fn list(&mut self, indexes: &[u32], run: u32) {
        self.list_with_progress(indexes, run, 0, "");
    }

    /// Reports the given members with their progress and checkpoint as running where they were started.
    pub(crate) fn list_with_progress(
        &mut self,
        indexes: &[u32],
        run: u32,
        percent: u32,
        checkpoint: &str,
    ) {
        for index in indexes {
            let running = RunningTask {
                percent,
                checkpoint: Name::new(checkpoint),
                ..running_row(member(*index), run)
            };
            let runner_ix = self.runners[index];
            self.cell
                .report_inventory(runner_ix, vec![running], Vec::new());
        }
    }

    /// Ticks without confirming the ownership.
    pub(crate) fn tick(&mut self) {
        let now = self.cell.now;
        self.cell.engine.tick(Millis(now), now);
    }

    /// Runs a scheduling pass, and returns the indexes of the members that are being stopped.
    pub(crate) fn stopped(&mut self) -> BTreeSet<u32> {
        self.cell.engine.schedule(Millis(self.cell.now));
        let orders = self.cell.engine.take_orders();
        let stops = orders.iter().filter_map(|order| match order {
            Order::Stop(order) => Some(order.task.index),
            _ => None,
        });
        stops.collect()
    }
}
