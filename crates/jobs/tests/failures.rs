//! Failures that were found on whole days, each replayed with a few calls.

use std::collections::BTreeMap;

use kspan_jobs::{
    Engine,
    config::{CellConfig, Policy, Queue},
    engine::{JobState, Order, RunnerIx, Settings, Submission},
    id::{JobId, StepId, TaskId},
    record::{JobRecord, Kept},
    runner::{EndKind, EndedTask, HoldOutcome, Inventory, RunnerEntry, RunningTask, StartOutcome},
    spec::{JobSpec, StepSpec, Timetable},
};
use kspan_model::{Millis, Name, Resources};

const JOB: JobId = JobId(0xa);
const HOST: &str = "cell.example";
const PATH: &str = "/q/000000000000000a";
const MAX_ATTEMPTS: u32 = 4;

/// What one kind of step has that others haven't.
type Change = fn(&mut StepSpec);

fn settings() -> Settings {
    Settings {
        lease: Millis(6_000),
        lapse_margin: Millis(300),
        earlier_owner: Millis(14_000),
        keep_ended: Millis(100_000),
        spread_factor: 3,
    }
}

fn config() -> CellConfig {
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

fn entry(id: &str) -> RunnerEntry {
    RunnerEntry {
        id: Name::new(id),
        service: Name::new("s"),
        addr: Name::new(id),
        data_centre: Name::new("dc"),
        draining: false,
        capacity: Resources::new(4_000, 4_000, 0),
        labels: vec![Name::new("a"), Name::new("r1")],
        born: 1,
    }
}

fn spec() -> JobSpec {
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

fn task() -> TaskId {
    let step = StepId {
        job: JOB,
        occurrence: 0,
        step: 0,
    };
    step.task(0)
}

fn failed(number: u64, run: u32) -> EndedTask {
    EndedTask {
        number,
        task: task(),
        run,
        how: EndKind::Failed,
        checkpoint: Name::default(),
    }
}

/// A cell whose runners answer when they are told to.
struct Cell {
    engine: Engine,
    now: u64,
    /// Everything that is durable, by key.
    store: BTreeMap<String, Vec<u8>>,
}

impl Cell {
    fn new(runners: &[&str]) -> Self {
        let mut cell = Self {
            engine: Engine::new(settings()),
            now: 10_000,
            store: BTreeMap::new(),
        };
        cell.engine.configure(config());
        for id in runners {
            cell.engine.put_runner(Millis(cell.now), entry(id));
        }
        cell.engine.confirm(Millis(cell.now));
        cell.write();
        cell
    }

    /// Hands the cell to a new owner, which knows the job from its record alone.
    fn take_over(&mut self, spec: JobSpec, runners: &[&str]) {
        let record = JobRecord {
            queue: Name::new("q"),
            policy: config().queues[0].policy.clone(),
            accepted_unix_ms: self.now,
            spec,
        };
        let now = Millis(self.now);
        let kept = Kept {
            jobs: vec![(JOB, record)],
            ..Kept::default()
        };
        self.engine = Engine::recovered(settings(), now, self.now, kept);
        self.engine.configure(config());
        for id in runners {
            self.engine.put_runner(now, entry(id));
        }
        self.engine.confirm(now);
        self.write();
    }

    /// Hands the cell to a new owner, which reads what is durable. The host list shows nothing yet.
    fn recover(&mut self) {
        let mut kept = Kept::default();
        for (key, value) in &self.store {
            kept.add(key, value).expect("a record");
        }
        let now = Millis(self.now);
        self.engine = Engine::recovered(settings(), now, self.now, kept);
        self.engine.configure(config());
        self.engine.confirm(now);
    }

    fn hold(&mut self, on: usize, ended: Vec<EndedTask>) {
        self.hold_lists(on, Vec::new(), ended);
    }

    /// Lets a runner list the first run of the task.
    fn hold_running(&mut self, on: usize) {
        self.hold_at(on, 10);
    }

    /// Lets a runner list the first run of the task, with so much of its work done.
    fn hold_at(&mut self, on: usize, percent: u32) {
        self.hold_run_at(on, 1, percent);
    }

    fn hold_run_at(&mut self, on: usize, run: u32, percent: u32) {
        let running = RunningTask {
            task: task(),
            run,
            checkpoint: Name::default(),
            percent,
        };
        self.hold_lists(on, vec![running], Vec::new());
    }

    fn hold_lists(&mut self, on: usize, running: Vec<RunningTask>, ended: Vec<EndedTask>) {
        let now = Millis(self.now);
        let order = self.engine.hold_order(RunnerIx(on), now);
        let inventory = Inventory {
            clock: now,
            born: 1,
            running,
            ended,
        };
        let outcome = HoldOutcome::Inventory(inventory);
        self.engine
            .held(now, self.now, RunnerIx(on), order.event, &outcome);
    }

    fn submit(&mut self) {
        self.submit_as(PATH, spec());
    }

    fn submit_as(&mut self, path: &str, spec: JobSpec) {
        let req = Submission {
            host: HOST,
            path,
            spec,
        };
        let submitted = self.engine.submit(Millis(self.now), self.now, req);
        assert!(submitted.is_ok());
        self.write();
    }

    fn write(&mut self) {
        let Some(batch) = self.engine.cut_batch() else {
            return;
        };
        for record in batch.records {
            let key = record.key.to_string();
            match record.value {
                Some(value) => drop(self.store.insert(key, value)),
                None => drop(self.store.remove(&key)),
            }
        }
        self.engine.committed(batch.number);
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now += 100;
            self.engine.confirm(Millis(self.now));
            self.engine.tick(Millis(self.now), self.now);
        }
    }

    /// Decides, and lets every start that is ordered succeed.
    fn start_all(&mut self) -> Vec<(usize, TaskId)> {
        let now = Millis(self.now);
        self.engine.schedule(now);
        let mut started = Vec::new();
        for order in self.engine.take_orders() {
            if let Order::Start(order) = order {
                let (on, task, run) = (order.on, order.task, order.run);
                let outcome = StartOutcome::Started(now);
                self.engine.start_ended(now, on, task, run, outcome);
                started.push((on.0, task));
            }
        }
        started
    }

    /// Decides, and returns the runners that a task was ordered to start on.
    fn starts(&mut self) -> Vec<usize> {
        self.engine.schedule(Millis(self.now));
        let orders = self.engine.take_orders();
        let starts = orders.iter().filter_map(|order| match order {
            Order::Start(order) => Some(order.on.0),
            _ => None,
        });
        starts.collect()
    }
}

#[test]
fn failures_count_in_whatever_order_they_are_seen() {
    // Runs 1 to 4 have failed on four runners; each order of their inventories ends the job.
    let table = [[1, 2, 3, 4], [4, 3, 2, 1], [2, 4, 1, 3]];
    for order in table {
        let mut cell = Cell::new(&["w0", "w1", "w2", "w3"]);
        cell.submit();
        for (on, run) in order.into_iter().enumerate() {
            cell.hold(on, vec![failed(1, run)]);
        }
        cell.write();
        assert_eq!(cell.engine.state(JOB), Some(JobState::Failed), "{order:?}");
        assert!(cell.starts().is_empty());
    }
}

#[test]
fn a_failure_that_is_listed_again_counts_once() {
    let mut cell = Cell::new(&["w0"]);
    cell.submit();
    for _ in 0..2 * MAX_ATTEMPTS {
        cell.hold(0, vec![failed(1, 1)]);
    }
    cell.write();
    assert_ne!(cell.engine.state(JOB), Some(JobState::Failed));
}

#[test]
fn tasks_of_a_runner_that_is_gone_start_elsewhere_after_its_lease() {
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.hold(0, Vec::new());
    cell.submit();
    assert_eq!(cell.starts(), [0]);
    let now = Millis(cell.now);
    let started = StartOutcome::Started(now);
    cell.engine
        .start_ended(now, RunnerIx(0), task(), 1, started);
    cell.hold(1, Vec::new());
    let mut restarted_after = None;
    for waited in (0..20_000_u64).step_by(500) {
        let order = cell.engine.hold_order(RunnerIx(0), Millis(cell.now));
        let unreached = HoldOutcome::Unreached;
        cell.engine.held(
            Millis(cell.now),
            cell.now,
            RunnerIx(0),
            order.event,
            &unreached,
        );
        cell.hold(1, Vec::new());
        cell.pass(500);
        if cell.starts() == [1] {
            restarted_after = Some(waited);
            break;
        }
    }
    // The lease, the drift of the runner's clock, the margin and a call's time.
    let restarted_after = restarted_after.expect("the task starts again");
    assert!(
        (6_000..8_000).contains(&restarted_after),
        "{restarted_after}"
    );
}

#[test]
fn a_lease_given_by_an_earlier_owner_is_waited_for() {
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.submit();
    let records = cell.engine.cut_batch();
    assert!(records.is_none(), "the job is durable");
    // A new owner knows the job and holds both runners once; then one is silent.
    let now = Millis(cell.now);
    cell.take_over(spec(), &["w0", "w1"]);
    cell.hold_running(0);
    cell.hold(1, Vec::new());
    for _ in 0..10 {
        let order = cell.engine.hold_order(RunnerIx(0), Millis(cell.now));
        let unreached = HoldOutcome::Unreached;
        cell.engine.held(
            Millis(cell.now),
            cell.now,
            RunnerIx(0),
            order.event,
            &unreached,
        );
        cell.pass(500);
        assert!(cell.starts().is_empty(), "after {} ms", cell.now - now.0);
    }
}

#[test]
fn a_runner_that_has_just_started_waits_for_a_proof_of_ownership() {
    let mut cell = Cell::new(&[]);
    cell.submit();
    cell.now += 1_000;
    cell.engine.put_runner(Millis(cell.now), entry("w0"));
    cell.write();
    cell.hold(0, Vec::new());
    assert!(cell.starts().is_empty());
    cell.engine.confirm(Millis(cell.now));
    assert_eq!(cell.starts(), [0]);
}

#[test]
fn an_owner_that_stood_still_starts_nothing_unconfirmed() {
    let mut cell = Cell::new(&["w0"]);
    cell.hold(0, Vec::new());
    cell.pass(300);
    cell.submit();
    cell.now += 4_000;
    cell.engine.tick(Millis(cell.now), cell.now);
    assert!(cell.starts().is_empty());
    cell.engine.confirm(Millis(cell.now));
    assert_eq!(cell.starts(), [0]);
}

#[test]
fn runners_wait_for_a_shorter_time_while_answers_are_lost() {
    let mut cell = Cell::new(&["w0", "w1"]);
    let wait = |cell: &mut Cell| cell.engine.hold_order(RunnerIx(1), Millis(cell.now)).wait;
    assert_eq!(wait(&mut cell), Millis::ZERO, "its clock is not known yet");
    cell.hold(1, Vec::new());
    let calm = wait(&mut cell);
    let order = cell.engine.hold_order(RunnerIx(0), Millis(cell.now));
    let lost = HoldOutcome::Unreached;
    cell.engine
        .held(Millis(cell.now), cell.now, RunnerIx(0), order.event, &lost);
    // An end hidden by a lost answer is seen within the time that a short job may take longer.
    assert!(wait(&mut cell) <= Millis(400));
    cell.pass(3_000);
    assert_eq!(wait(&mut cell), calm);
}

#[test]
fn filling_and_serving_tasks_never_share_a_runner() {
    let filling = |step: &mut StepSpec| step.fills = true;
    let serving = |step: &mut StepSpec| step.tail_target = Some(Millis(80));
    let table: [(Change, Change, usize); 4] = [
        (filling, serving, 1),
        (serving, filling, 1),
        (serving, serving, 2),
        (filling, filling, 2),
    ];
    for (first, second, expected) in table {
        let mut cell = Cell::new(&["w0"]);
        cell.hold(0, Vec::new());
        for (path, change) in [(PATH, first), ("/q/000000000000000b", second)] {
            let mut spec = spec();
            spec.steps[0].size.cpu_milli = 1_000;
            change(&mut spec.steps[0]);
            cell.submit_as(path, spec);
        }
        assert_eq!(cell.starts().len(), expected);
    }
}

#[test]
fn a_new_owner_moves_what_it_can_from_a_runner_that_leaves() {
    let mut cell = Cell::new(&[]);
    let mut spec = spec();
    spec.steps[0].long_running = true;
    cell.submit_as(PATH, spec);
    let now = Millis(cell.now);
    let mut leaving = entry("w0");
    leaving.draining = true;
    cell.engine.put_runner(now, leaving);
    cell.engine.confirm(now);
    cell.hold_running(0);
    let orders = cell.engine.take_orders();
    let stops = orders
        .iter()
        .filter(|order| matches!(order, Order::Stop(stop) if stop.task == task()));
    assert_eq!(stops.count(), 1, "{orders:?}");
}

#[test]
fn a_task_that_stands_still_is_stopped_and_starts_elsewhere() {
    // Kind of step, expected time, progress each 400 ms, and whether it is stopped within 4 s.
    let table: [(Change, u64, [u32; 2], bool); 6] = [
        (|_| {}, 500, [10, 10], true),
        (|_| {}, 500, [10, 11], false),
        (|_| {}, 60_000, [10, 10], false),
        (|step| step.saves_progress = true, 500, [10, 10], true),
        (|step| step.gang = true, 500, [0, 0], false),
        (|step| step.long_running = true, 500, [100, 100], false),
    ];
    for (row, (change, expected_ms, progress, stopped)) in table.into_iter().enumerate() {
        let mut cell = Cell::new(&["w0", "w1"]);
        (0..2).for_each(|on| cell.hold(on, Vec::new()));
        let mut spec = spec();
        spec.steps[0].estimate = Millis(expected_ms);
        change(&mut spec.steps[0]);
        cell.submit_as(PATH, spec);
        let on = cell.starts()[0];
        let started = StartOutcome::Started(Millis(cell.now));
        cell.engine
            .start_ended(Millis(cell.now), RunnerIx(on), task(), 1, started);
        let mut stops = Vec::new();
        for look in 0..10 {
            cell.pass(400);
            cell.hold_at(on, progress[0] + (progress[1] - progress[0]) * look);
            let orders = cell.engine.take_orders();
            stops.extend(
                orders
                    .into_iter()
                    .filter(|order| matches!(order, Order::Stop(_))),
            );
            if !stops.is_empty() {
                break;
            }
        }
        assert_eq!(!stops.is_empty(), stopped, "row {row}");
        if !stopped {
            continue;
        }
        // It starts again only when its end is listed, and not where it stood still.
        assert!(cell.starts().is_empty(), "row {row}");
        let end = EndedTask {
            how: EndKind::Stopped,
            ..failed(1, 1)
        };
        cell.hold(on, vec![end]);
        assert_eq!(cell.starts(), [1 - on], "row {row}");
    }
}

#[test]
fn occurrences_that_only_an_earlier_owner_has_begun_are_taken_over() {
    // By the new owner's clock the second occurrence is due in a second; the runner w0 has had it.
    let seen = |occurrence| StepId {
        job: JOB,
        occurrence,
        step: 0,
    };
    let end = |occurrence| EndedTask {
        number: u64::from(occurrence) + 1,
        task: seen(occurrence).task(0),
        run: 1,
        how: EndKind::Done,
        checkpoint: Name::default(),
    };
    let running = |occurrence| RunningTask {
        task: seen(occurrence).task(0),
        run: 1,
        checkpoint: Name::default(),
        percent: 10,
    };
    let table: [(Vec<RunningTask>, Vec<EndedTask>); 3] = [
        (Vec::new(), vec![end(0), end(1)]),
        (vec![running(1)], vec![end(0)]),
        (vec![running(0), running(1)], Vec::new()),
    ];
    for (row, (running, ended)) in table.into_iter().enumerate() {
        let mut cell = Cell::new(&[]);
        let mut spec = spec();
        spec.steps[0].size = Resources::new(1_000, 1_000, 0);
        spec.timetable = Some(Timetable {
            times: 2,
            first_unix_ms: cell.now,
            period: Millis(1_000),
        });
        cell.take_over(spec, &["w0", "w1"]);
        cell.hold_lists(0, running, ended);
        cell.hold(1, Vec::new());
        cell.pass(2_000);
        assert!(cell.starts().is_empty(), "row {row}");
        let orders = cell.engine.take_orders();
        assert!(orders.is_empty(), "row {row}: {orders:?}");
    }
}

#[test]
fn an_occurrence_that_falls_due_waits_for_runners_out_of_reach() {
    let mut cell = Cell::new(&[]);
    let mut spec = spec();
    spec.timetable = Some(Timetable {
        times: 2,
        first_unix_ms: cell.now + 500,
        period: Millis(1_000),
    });
    cell.take_over(spec, &["w0", "w1"]);
    cell.hold(0, Vec::new());
    // An earlier owner, by a clock ahead of this one, may have begun it on w1.
    cell.pass(1_000);
    assert!(cell.starts().is_empty());
    cell.hold(1, Vec::new());
    assert_eq!(cell.starts(), [0]);
}

#[test]
fn a_task_that_is_slower_than_expected_is_not_taken_for_one_that_stands_still() {
    // Time that a percent of the work takes, against an expected 5 ms, and stops in 60 s.
    let table = [(400, 0), (2_000, 1), (10_000, 4)];
    for (percent_ms, most) in table {
        let mut cell = Cell::new(&["w0"]);
        cell.hold(0, Vec::new());
        cell.submit();
        let mut stops = 0;
        let mut began = cell.now;
        cell.start_all();
        for _ in 0..150 {
            cell.pass(400);
            let percent = u32::try_from((cell.now - began) / percent_ms).expect("a short test");
            let run = u32::try_from(stops + 1).expect("few stops");
            cell.hold_run_at(0, run, percent);
            let orders = cell.engine.take_orders();
            if orders.iter().any(|order| matches!(order, Order::Stop(_))) {
                stops += 1;
                let end = EndedTask {
                    how: EndKind::Stopped,
                    ..failed(stops, run)
                };
                cell.hold(0, vec![end]);
                cell.pass(20_000);
                cell.hold(0, Vec::new());
                began = cell.now;
                assert_eq!(cell.start_all().len(), 1);
            }
        }
        assert!(stops <= most, "{percent_ms} ms a percent: {stops} stops");
    }
}

#[test]
fn a_long_running_task_gets_room_in_a_cell_that_small_tasks_keep_full() {
    let mut cell = Cell::new(&["w0", "w1"]);
    (0..2).for_each(|on| cell.hold(on, Vec::new()));
    let mut small = spec();
    small.steps[0].count = 100;
    small.steps[0].size = Resources::new(1_000, 1_000, 0);
    cell.submit_as("/q/0000000000000001", small);
    let mut running = cell.start_all();
    assert_eq!(running.len(), 8, "both runners are full");

    // It needs three of a runner's four processors, which come free one by one.
    let mut lasting = spec();
    lasting.steps[0].long_running = true;
    cell.submit_as(PATH, lasting);
    let mut ends = [0, 0];
    for round in 0..12 {
        cell.pass(300);
        let (on, task) = running.remove(0);
        ends[on] += 1;
        let end = EndedTask {
            number: ends[on],
            task,
            how: EndKind::Done,
            ..failed(0, 1)
        };
        let there = running.iter().filter(|(at, _)| *at == on);
        let rows = there.map(|(_, task)| RunningTask {
            task: *task,
            run: 1,
            checkpoint: Name::default(),
            percent: round,
        });
        let rows = rows.collect();
        cell.hold_lists(on, rows, vec![end]);
        cell.write();
        running.extend(cell.start_all());
    }
    let started = running.iter().any(|(_, started)| *started == task());
    assert!(started, "after {} ms: {running:?}", 12 * 300);
    // Small tasks went on meanwhile, on the runner that was not kept free.
    assert!(running.iter().filter(|(on, _)| *on == 0).count() > 0);
    assert!(running.iter().filter(|(on, _)| *on == 1).count() > 0);
}

#[test]
fn a_runner_gets_work_only_once_later_owners_will_know_it() {
    let mut cell = Cell::new(&[]);
    cell.submit();
    cell.engine.put_runner(Millis(cell.now), entry("w0"));
    cell.engine.confirm(Millis(cell.now));
    cell.hold(0, Vec::new());
    assert!(cell.starts().is_empty());
    cell.write();
    assert_eq!(cell.starts(), [0]);
}

#[test]
fn a_takeover_waits_for_runners_that_the_host_list_has_forgotten() {
    // The list lapses while the store is away; runners are back in it some time after it.
    let mut cell = Cell::new(&["w0", "w1"]);
    (0..2).for_each(|on| cell.hold(on, Vec::new()));
    cell.submit();
    let on = cell.start_all()[0].0;
    cell.recover();
    let ids: Vec<Name> = cell
        .engine
        .living_runners()
        .map(|on| cell.engine.runner(on).id.clone())
        .collect();
    let busy = ids.iter().position(|id| id.to_string() == format!("w{on}"));
    let busy = busy.expect("the new owner knows the runner");
    let now = Millis(cell.now);
    assert_eq!(cell.engine.put_runner(now, entry(&ids[1 - busy])), None);
    cell.hold(1 - busy, Vec::new());
    cell.pass(1_000);
    assert!(cell.starts().is_empty(), "the task may run where it was");
    let end = EndedTask {
        how: EndKind::Done,
        ..failed(1, 1)
    };
    cell.hold(busy, vec![end]);
    cell.write();
    assert_eq!(cell.engine.state(JOB), Some(JobState::Completed));
    assert!(cell.starts().is_empty());
}

#[test]
fn a_runner_whose_life_has_ended_is_not_waited_for() {
    let mut cell = Cell::new(&["w0", "w1"]);
    (0..2).for_each(|on| cell.hold(on, Vec::new()));
    cell.submit();
    let order = cell.engine.hold_order(RunnerIx(0), Millis(cell.now));
    let (now, other) = (Millis(cell.now), HoldOutcome::OtherLife);
    cell.engine
        .held(now, cell.now, RunnerIx(0), order.event, &other);
    cell.write();
    cell.recover();
    assert_eq!(cell.engine.living_runners().count(), 1);
}
