//! Test harness with one engine, whose runners answer only on request of the test.

#![allow(dead_code, reason = "each test file uses only a part")]

pub(crate) mod gang;
pub(crate) mod team;

use std::collections::BTreeMap;

use kspan_jobs::{
    Engine,
    config::{CellConfig, Policy, Queue},
    engine::{Order, RunnerIx, Settings, Submission, SubmitError, Submitted},
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

/// How long runners let a member of a gang wait for the others.
pub(crate) const GANG_WAIT: Millis = Millis(3_000);

/// Change to a step that a test case applies.
pub(crate) type StepChange = fn(&mut StepSpec);

pub(crate) fn settings() -> Settings {
    Settings {
        lease: Millis(6_000),
        max_lease: Millis(10_000),
        lease_margin: Millis(300),
        previous_owner_timeout: Millis(14_000),
        max_record_bytes: 262_144,
        max_job_bytes: 1_000_000_000,
        ended_job_retention: Millis(100_000),
        cross_rack_slowdown: 3,
        gang_wait: GANG_WAIT,
    }
}

/// Returns a queue that serves paths below `/name/`.
pub(crate) fn queue(name: &str) -> Queue {
    Queue {
        name: Name::new(name),
        host: Name::new(HOST),
        prefix: Name::new(&format!("/{name}/")),
        policy: Policy {
            service: Name::new("s"),
            max_attempts: MAX_ATTEMPTS,
            stretch: 2.0,
            ..Policy::default()
        },
        ..Queue::default()
    }
}

pub(crate) fn config() -> CellConfig {
    CellConfig {
        version: 1,
        queues: vec![queue("q")],
        ..CellConfig::default()
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

pub(crate) fn failed_end(number: u64, run: u32) -> EndedTask {
    end_row(number, task(), run, EndKind::Failed)
}

/// Returns the row of an inventory that lists a run.
pub(crate) fn running_row(task: TaskId, run: u32) -> RunningTask {
    RunningTask {
        task,
        run,
        checkpoint: Name::default(),
        percent: 10,
        load: 0,
    }
}

/// Returns the row of an inventory that lists the end of a run.
pub(crate) fn end_row(number: u64, task: TaskId, run: u32, how: EndKind) -> EndedTask {
    EndedTask {
        number,
        task,
        run,
        how,
        checkpoint: Name::default(),
    }
}

/// A cell whose runners answer only on request of the test.
pub(crate) struct Cell {
    pub(crate) engine: Engine,
    pub(crate) now: u64,
    /// Durable records, by key.
    pub(crate) store: BTreeMap<String, Vec<u8>>,
}

impl Cell {
    pub(crate) fn new(runners: &[&str]) -> Self {
        let runners = runners.iter().map(|id| entry(id));
        Self::with_runners(config(), runners)
    }

    pub(crate) fn with_runners(
        config: CellConfig,
        runners: impl IntoIterator<Item = RunnerEntry>,
    ) -> Self {
        let mut cell = Self {
            engine: Engine::new(settings()),
            now: 10_000,
            store: BTreeMap::new(),
        };
        cell.engine.configure(config);
        for entry in runners {
            cell.engine.upsert_runner(Millis(cell.now), entry);
        }
        cell.engine.confirm_ownership(Millis(cell.now));
        cell.commit();
        cell
    }

    /// Replaces the owner by a new one that has restored only the job's specification.
    pub(crate) fn take_over(&mut self, spec: JobSpec, runners: &[&str]) {
        let record = JobRecord {
            queue: Name::new("q"),
            policy: config().queues[0].policy.clone(),
            accepted_unix_ms: self.now,
            spec,
            ..JobRecord::default()
        };
        let now = Millis(self.now);
        let state = DurableState {
            jobs: vec![(JOB, record)],
            ..DurableState::default()
        };
        self.engine = Engine::recover(settings(), now, self.now, state);
        self.engine.configure(config());
        for id in runners {
            self.engine.upsert_runner(now, entry(id));
        }
        self.engine.confirm_ownership(now);
        self.commit();
    }

    /// Creates a cell of two runners, of which the first one alone has answered and was ordered to start the task.
    pub(crate) fn with_start(is_answered: bool) -> Self {
        let mut cell = Self::new(&["w0", "w1"]);
        cell.report_ends(0, Vec::new());
        cell.submit();
        assert_eq!(cell.schedule_and_send(is_answered), [0]);
        cell
    }

    /// Replaces the owner by a new one that restores all durable records. The host list is still
    /// empty.
    pub(crate) fn recover(&mut self) {
        self.recover_with(config());
    }

    /// Does the same with a configuration.
    pub(crate) fn recover_with(&mut self, config: CellConfig) {
        let mut state = DurableState::default();
        for (key, value) in &self.store {
            state.add(key, value).expect("stored records decode");
        }
        let now = Millis(self.now);
        self.engine = Engine::recover(settings(), now, self.now, state);
        self.engine.configure(config);
        self.engine.confirm_ownership(now);
    }

    pub(crate) fn report_ends(&mut self, runner_ix: usize, ended: Vec<EndedTask>) {
        self.report_inventory(runner_ix, Vec::new(), ended);
    }

    /// Reports the first run of the task as running.
    pub(crate) fn report_running(&mut self, runner_ix: usize) {
        self.report_progress(runner_ix, 10);
    }

    /// Reports the first run of the task with the given progress.
    pub(crate) fn report_progress(&mut self, runner_ix: usize, percent: u32) {
        self.report_run_progress(runner_ix, 1, percent);
    }

    pub(crate) fn report_run_progress(&mut self, runner_ix: usize, run: u32, percent: u32) {
        let running = RunningTask {
            task: task(),
            run,
            checkpoint: Name::default(),
            percent,
            load: 0,
        };
        self.report_inventory(runner_ix, vec![running], Vec::new());
    }

    pub(crate) fn report_inventory(
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
            has_more_ends: false,
            skipped_rows: 0,
        });
        self.complete_inventory_call(runner_ix, &outcome);
    }

    /// Sends an inventory call to a runner and completes it with `outcome`.
    pub(crate) fn complete_inventory_call(&mut self, runner_ix: usize, outcome: &InventoryOutcome) {
        let (now, runner_ix) = (Millis(self.now), RunnerIx(runner_ix));
        let call = self.engine.next_inventory_call(runner_ix, now);
        self.engine
            .record_inventory(now, self.now, runner_ix, call.sequence, outcome);
    }

    pub(crate) fn submit(&mut self) {
        self.submit_spec(PATH, spec());
    }

    pub(crate) fn submit_spec(&mut self, path: &str, spec: JobSpec) {
        let submitted = self.try_submit(path, spec, None);
        assert!(submitted.is_ok());
        self.commit();
    }

    /// Submits a job for a team, and commits it if it is accepted.
    pub(crate) fn submit_for_team(
        &mut self,
        path: &str,
        spec: JobSpec,
        team: &str,
    ) -> Result<(), SubmitError> {
        self.try_submit(path, spec, Some(Name::new(team)))?;
        self.commit();
        Ok(())
    }

    pub(crate) fn try_submit(
        &mut self,
        path: &str,
        spec: JobSpec,
        team: Option<Name>,
    ) -> Result<Submitted, SubmitError> {
        let req = Submission {
            host: HOST,
            path,
            spec,
            team,
        };
        self.engine.submit(Millis(self.now), self.now, req)
    }

    pub(crate) fn commit(&mut self) {
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

    pub(crate) fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now += 100;
            self.engine.confirm_ownership(Millis(self.now));
            self.engine.tick(Millis(self.now), self.now);
        }
    }

    /// Runs a scheduling pass and confirms every ordered start.
    pub(crate) fn schedule_and_start(&mut self) -> Vec<(usize, TaskId)> {
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

    /// Runs a scheduling pass and sends the ordered starts, which are answered or not. Returns their
    /// runners.
    pub(crate) fn schedule_and_send(&mut self, are_answered: bool) -> Vec<usize> {
        let now = Millis(self.now);
        self.engine.schedule(now);
        let mut runners = Vec::new();
        for order in self.engine.take_orders() {
            if let Order::Start(order) = order {
                assert!(self.engine.begin_start(&order));
                let (runner_ix, task, run) = (order.runner_ix, order.task, order.run);
                if are_answered {
                    let started = StartOutcome::Started(now);
                    self.engine
                        .record_start_outcome(now, runner_ix, task, run, started);
                }
                runners.push(runner_ix.0);
            }
        }
        runners
    }

    /// Returns the runner of the next start within two seconds. After a crash of its runner a task waits for
    /// the record of the crash.
    pub(crate) fn next_start(&mut self) -> Option<usize> {
        (0..20).find_map(|_| {
            self.advance(100);
            self.commit();
            self.schedule().first().copied()
        })
    }

    /// Runs a scheduling pass and returns the runners of the ordered starts.
    pub(crate) fn schedule(&mut self) -> Vec<usize> {
        self.engine.schedule(Millis(self.now));
        let orders = self.engine.take_orders();
        let starts = orders.iter().filter_map(|order| match order {
            Order::Start(order) => Some(order.runner_ix.0),
            _ => None,
        });
        starts.collect()
    }
}
