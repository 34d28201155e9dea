//! One engine with runners that answer when they are told to.

#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::BTreeMap;

use kspan_jobs::{
    Engine,
    config::{CellConfig, Policy, Queue},
    engine::{Order, RunnerIx, Settings, Submission},
    id::{JobId, StepId, TaskId},
    record::{DurableState, JobRecord},
    runner::{
        EndKind, EndedTask, Inventory, InventoryOutcome, RunnerEntry, RunningTask, StartOutcome,
    },
    spec::{JobSpec, StepSpec},
};
use kspan_model::{Millis, Name, Resources};

pub(crate) const JOB: JobId = JobId(0xa);
pub(crate) const HOST: &str = "cell.example";
pub(crate) const PATH: &str = "/q/000000000000000a";
pub(crate) const MAX_ATTEMPTS: u32 = 4;

/// What one kind of step has that others haven't.
pub(crate) type Change = fn(&mut StepSpec);

pub(crate) fn settings() -> Settings {
    Settings {
        lease: Millis(6_000),
        lease_margin: Millis(300),
        previous_owner_timeout: Millis(14_000),
        ended_job_retention: Millis(100_000),
        cross_rack_slowdown: 3,
    }
}

pub(crate) fn config() -> CellConfig {
    CellConfig {
        version: 1,
        queues: vec![Queue {
            name: Name::new("q"),
            host: Name::new(HOST),
            prefix: Name::new("/q/"),
            policy: Policy {
                service: Name::new("s"),
                max_attempts: MAX_ATTEMPTS,
                stretch: 2.0,
                ..Policy::default()
            },
        }],
    }
}

pub(crate) fn entry(id: &str) -> RunnerEntry {
    RunnerEntry {
        id: Name::new(id),
        service: Name::new("s"),
        addr: Name::new(id),
        data_centre: Name::new("dc"),
        draining: false,
        capacity: Resources::new(4_000, 4_000, 0),
        labels: vec![Name::new("a"), Name::new("r1")],
        started_unix_ms: 1,
    }
}

pub(crate) fn spec() -> JobSpec {
    JobSpec {
        text: Name::new("run"),
        steps: vec![StepSpec {
            count: 1,
            size: Resources::new(3_000, 1_000, 0),
            estimate: Millis(500),
            ..StepSpec::default()
        }],
        timetable: None,
    }
}

pub(crate) fn task() -> TaskId {
    let step = StepId {
        job: JOB,
        occurrence: 0,
        step: 0,
    };
    step.task(0)
}

pub(crate) fn failed(number: u64, run: u32) -> EndedTask {
    EndedTask {
        number,
        task: task(),
        run,
        how: EndKind::Failed,
        checkpoint: Name::default(),
    }
}

/// A cell whose runners answer when they are told to.
pub(crate) struct Cell {
    pub(crate) engine: Engine,
    pub(crate) now: u64,
    /// Everything that is durable, by key.
    pub(crate) store: BTreeMap<String, Vec<u8>>,
}

impl Cell {
    pub(crate) fn new(runners: &[&str]) -> Self {
        let mut cell = Self {
            engine: Engine::new(settings()),
            now: 10_000,
            store: BTreeMap::new(),
        };
        cell.engine.configure(config());
        for id in runners {
            cell.engine.upsert_runner(Millis(cell.now), entry(id));
        }
        cell.engine.confirm_ownership(Millis(cell.now));
        cell.write();
        cell
    }

    /// Hands the cell to a new owner, which knows the job from its record alone.
    pub(crate) fn take_over(&mut self, spec: JobSpec, runners: &[&str]) {
        let record = JobRecord {
            queue: Name::new("q"),
            policy: config().queues[0].policy.clone(),
            accepted_unix_ms: self.now,
            spec,
        };
        let now = Millis(self.now);
        let kept = DurableState {
            jobs: vec![(JOB, record)],
            ..DurableState::default()
        };
        self.engine = Engine::recover(settings(), now, self.now, kept);
        self.engine.configure(config());
        for id in runners {
            self.engine.upsert_runner(now, entry(id));
        }
        self.engine.confirm_ownership(now);
        self.write();
    }

    /// Hands the cell to a new owner, which reads what is durable. The host list shows nothing yet.
    pub(crate) fn recover(&mut self) {
        let mut kept = DurableState::default();
        for (key, value) in &self.store {
            kept.add(key, value).expect("a record");
        }
        let now = Millis(self.now);
        self.engine = Engine::recover(settings(), now, self.now, kept);
        self.engine.configure(config());
        self.engine.confirm_ownership(now);
    }

    pub(crate) fn hold(&mut self, runner_ix: usize, ended: Vec<EndedTask>) {
        self.hold_lists(runner_ix, Vec::new(), ended);
    }

    /// Lets a runner list the first run of the task.
    pub(crate) fn hold_running(&mut self, runner_ix: usize) {
        self.hold_at(runner_ix, 10);
    }

    /// Lets a runner list the first run of the task, with so much of its work done.
    pub(crate) fn hold_at(&mut self, runner_ix: usize, percent: u32) {
        self.hold_run_at(runner_ix, 1, percent);
    }

    pub(crate) fn hold_run_at(&mut self, runner_ix: usize, run: u32, percent: u32) {
        let running = RunningTask {
            task: task(),
            run,
            checkpoint: Name::default(),
            percent,
        };
        self.hold_lists(runner_ix, vec![running], Vec::new());
    }

    pub(crate) fn hold_lists(
        &mut self,
        runner_ix: usize,
        running: Vec<RunningTask>,
        ended: Vec<EndedTask>,
    ) {
        let outcome = InventoryOutcome::Inventory(Inventory {
            clock: Millis(self.now),
            started_unix_ms: 1,
            running,
            ended,
        });
        self.hold_as(runner_ix, &outcome);
    }

    /// Lets an inventory call to a runner end in some way.
    pub(crate) fn hold_as(&mut self, runner_ix: usize, outcome: &InventoryOutcome) {
        let (now, runner_ix) = (Millis(self.now), RunnerIx(runner_ix));
        let order = self.engine.next_inventory_call(runner_ix, now);
        self.engine
            .record_inventory(now, self.now, runner_ix, order.sequence, outcome);
    }

    pub(crate) fn submit(&mut self) {
        self.submit_as(PATH, spec());
    }

    pub(crate) fn submit_as(&mut self, path: &str, spec: JobSpec) {
        let req = Submission {
            host: HOST,
            path,
            spec,
        };
        let submitted = self.engine.submit(Millis(self.now), self.now, req);
        assert!(submitted.is_ok());
        self.write();
    }

    pub(crate) fn write(&mut self) {
        let Some(batch) = self.engine.take_batch() else {
            return;
        };
        for record in batch.records {
            let key = record.key.to_string();
            match record.value {
                Some(value) => drop(self.store.insert(key, value)),
                None => drop(self.store.remove(&key)),
            }
        }
        self.engine.mark_durable(batch.number);
    }

    pub(crate) fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now += 100;
            self.engine.confirm_ownership(Millis(self.now));
            self.engine.tick(Millis(self.now), self.now);
        }
    }

    /// Decides, and lets every start that is ordered succeed.
    pub(crate) fn start_all(&mut self) -> Vec<(usize, TaskId)> {
        let now = Millis(self.now);
        self.engine.schedule(now);
        let mut started = Vec::new();
        for order in self.engine.take_orders() {
            if let Order::Start(order) = order {
                let (runner_ix, task, run) = (order.runner_ix, order.task, order.run);
                let outcome = StartOutcome::Started(now);
                self.engine
                    .record_start_outcome(now, runner_ix, task, run, outcome);
                started.push((runner_ix.0, task));
            }
        }
        started
    }

    /// Decides, and returns the runners that a task was ordered to start on.
    pub(crate) fn starts(&mut self) -> Vec<usize> {
        self.engine.schedule(Millis(self.now));
        let orders = self.engine.take_orders();
        let starts = orders.iter().filter_map(|order| match order {
            Order::Start(order) => Some(order.runner_ix.0),
            _ => None,
        });
        starts.collect()
    }
}
