//! Regression tests for approvals that are requested and can't be used.

mod one_cell;

use kspan_jobs::{
    config::{ApprovalPolicy, CellConfig},
    engine::{ApprovalUse, Event, Order, RunnerIx},
    id::TaskId,
    runner::{EndKind, InventoryOutcome, RunnerEntry, StartOutcome},
    spec::{JobSpec, StepSpec},
};
use kspan_model::{Millis, Name, Resources};
use one_cell::*;

/// Validity of a ticket, in milliseconds; shorter than the time for which suspected tasks are kept apart.
const VALIDITY_MS: u64 = 400;

/// Number of tasks of the job, all on the runner that crashes.
const TASKS: u32 = 3;

/// Runners that come after the crash.
const LATER_RUNNERS: [RunnerIx; 2] = [RunnerIx(1), RunnerIx(2)];

fn config() -> CellConfig {
    let mut config = one_cell::config();
    config.queues[0].policy.approval = Some(ApprovalPolicy {
        base_ms: 10.0,
        per_runner_ms: 1.0,
        validity: Millis(VALIDITY_MS),
    });
    config
}

fn job() -> JobSpec {
    let mut job = spec();
    job.steps[0] = StepSpec {
        count: TASKS,
        size: Resources::new(1_000, 1_000, 0),
        ..job.steps[0].clone()
    };
    job
}

/// Returns a runner with room for all of the tasks, which are small on it.
fn large_runner(id: &str) -> RunnerEntry {
    RunnerEntry {
        capacity: Resources::new(8_000, 8_000, 0),
        ..entry(id)
    }
}

/// A cell whose requests for approvals are granted at once.
struct Driver {
    cell: Cell,
    /// Runners that each request has named.
    requests: Vec<Vec<RunnerIx>>,
    started: Vec<(RunnerIx, TaskId, u32)>,
}

impl Driver {
    /// Runs scheduling passes until none gives orders any more.
    fn schedule(&mut self) {
        loop {
            self.cell.commit();
            let now = Millis(self.cell.now);
            self.cell.engine.schedule(now);
            let orders = self.cell.engine.take_orders();
            if orders.is_empty() {
                return;
            }
            orders.into_iter().for_each(|order| self.execute(order));
        }
    }

    fn execute(&mut self, order: Order) {
        let now = Millis(self.cell.now);
        let engine = &mut self.cell.engine;
        match order {
            Order::RequestApprovals(req) => {
                let ticket = |runner_ix: &RunnerIx| {
                    (engine.runner(*runner_ix).id.clone(), Name::new("ticket"))
                };
                let rows: Vec<_> = req.runners.iter().map(ticket).collect();
                engine.record_approvals(now, &req, Some((&rows, Millis(VALIDITY_MS))));
                self.requests.push(req.runners);
            }
            Order::Start(order) => {
                assert!(engine.begin_start(&order));
                let (runner_ix, task, run) = (order.runner_ix, order.task, order.run);
                let started = StartOutcome::Started(now);
                engine.record_start_outcome(now, runner_ix, task, run, started);
                self.started.push((runner_ix, task, run));
            }
            Order::Stop(_) | Order::Throttle(_) => {}
        }
    }

    /// Reports what a runner has.
    fn report(&mut self, runner_ix: RunnerIx) {
        let here = self.started.iter().filter(|(at, ..)| *at == runner_ix);
        let running = here.map(|(_, task, run)| running_row(*task, *run));
        let running = running.collect();
        self.cell.report_inventory(runner_ix.0, running, Vec::new());
    }

    /// Lets time pass while all of the later runners answer.
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.cell.advance(100);
            LATER_RUNNERS
                .into_iter()
                .for_each(|runner_ix| self.report(runner_ix));
            self.schedule();
        }
    }
}

/// Returns a cell of one runner, which has all tasks of a job.
fn cell_with_running_job() -> Driver {
    let mut cell = Cell::with_runners(config(), [large_runner("w0")]);
    cell.engine.set_approval_hosts(&[Name::new("h1")]);
    cell.report_ends(0, Vec::new());
    cell.submit_spec(PATH, job());
    let mut driver = Driver {
        cell,
        requests: Vec::new(),
        started: Vec::new(),
    };
    driver.schedule();
    assert_eq!(driver.started.len(), TASKS as usize);
    driver
}

/// Returns a cell in which the runner of all tasks has crashed, and fewer runners than tasks have come.
fn cell_after_crash() -> Driver {
    let mut driver = cell_with_running_job();
    let ended = InventoryOutcome::OtherIncarnation;
    driver.cell.complete_inventory_call(0, &ended);
    driver.started.clear();
    for id in ["w1", "w2"] {
        let now = Millis(driver.cell.now);
        driver.cell.engine.upsert_runner(now, large_runner(id));
    }
    driver.cell.commit();
    driver.pass(500);
    driver
}

/// Guards against a step of suspected tasks that requests approvals for runners on which none of them may start: they
/// have room, and a run that is kept from others.
#[test]
fn suspected_tasks_request_no_approval_that_they_can_not_use() {
    let mut driver = cell_after_crash();
    assert_eq!(driver.started.len(), LATER_RUNNERS.len());
    driver.requests.clear();
    driver.pass(500);
    assert_eq!(driver.requests, Vec::<Vec<RunnerIx>>::new());
    // One of the runs ends, and the last task may start in its place.
    let (runner_ix, task, run) = driver.started.remove(0);
    let end = end_row(1, task, run, EndKind::Done);
    driver.cell.report_ends(runner_ix.0, vec![end]);
    driver.pass(100);
    assert_eq!(driver.requests, [vec![runner_ix]]);
    driver.pass(200);
    assert_eq!(
        driver.started.last().map(|started| started.0),
        Some(runner_ix)
    );
}

/// Guards against figures on approvals that count one that serves several tasks as several.
#[test]
fn approval_counts_as_used_once() {
    let mut driver = cell_with_running_job();
    let events = driver.cell.engine.take_events();
    let uses = events.into_iter().filter_map(|event| match event {
        Event::StartOrdered { approval, .. } => Some(approval),
        _ => None,
    });
    let uses: Vec<_> = uses.collect();
    assert_eq!(
        uses,
        [ApprovalUse::First, ApprovalUse::Again, ApprovalUse::Again]
    );
}
