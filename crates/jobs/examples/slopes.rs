//! Measures the cost of the engine's decisions as the cell grows: a takeover by number of jobs, and
//! the start and end of a task by number of runners and of waiting jobs. `docs/CAPACITY.md` has the
//! results.
//!
//! `cargo run --release -p kspan-jobs --example slopes`

use std::{hint::black_box, time::Instant};

use kspan_jobs::{
    Engine,
    config::{ApprovalPolicy, CellConfig, Policy, Queue},
    engine::{Order, RunnerIx, Settings, Submission},
    id::JobId,
    record::{self, DurableState, JobRecord, RecordKey},
    runner::{EndKind, EndedTask, Inventory, InventoryOutcome, RunnerEntry, StartOutcome},
    spec::{JobSpec, StepSpec},
};
use kspan_model::{Millis, Name, Resources};

const HOST: &str = "cell.example";
const RUNNER_CORES: u64 = 32;
const STARTS: u64 = 3_000;
const PASSES: u32 = 200;

fn settings() -> Settings {
    Settings {
        lease: Millis(6_000),
        max_lease: Millis(10_000),
        lease_margin: Millis(300),
        previous_owner_timeout: Millis(14_000),
        max_record_bytes: 262_144,
        max_job_bytes: 1_000_000_000,
        ended_job_retention: Millis(150_000),
        cross_rack_slowdown: 3,
        gang_wait: Millis(3_000),
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
                max_attempts: 3,
                stretch: 2.0,
                ..Policy::default()
            },
            ..Queue::default()
        }],
        ..CellConfig::default()
    }
}

fn spec(count: u32) -> JobSpec {
    spec_of_cores(count, 1)
}

fn spec_of_cores(count: u32, cores: u64) -> JobSpec {
    let step = StepSpec {
        count,
        size: Resources::new(cores * 1_000, cores * 1_000, 0),
        estimate: Millis(500),
        ..StepSpec::default()
    };
    JobSpec {
        text: Name::new(
            "a text of a few hundred bytes is what callers send as a rule "
                .repeat(5)
                .as_str(),
        ),
        steps: vec![step],
        timetable: None,
    }
}

fn list_runners(engine: &mut Engine, runners: usize, now: Millis) {
    for number in 0..runners {
        let entry = RunnerEntry {
            id: Name::new(&format!("w{number}")),
            service: Name::new("s"),
            addr: Name::new("10.0.0.1:80"),
            data_centre: Name::new("dc"),
            draining: false,
            capacity: Resources::new(RUNNER_CORES * 1_000, 131_072, 0),
            labels: vec![Name::new("a"), Name::new(&format!("r{}", number / 8))],
            started_unix_ms: 1,
        };
        engine.upsert_runner(now, entry);
    }
    engine.confirm_ownership(now);
}

fn report_ends(engine: &mut Engine, runner_ix: usize, now: Millis, ended: Vec<EndedTask>) {
    let call = engine.next_inventory_call(RunnerIx(runner_ix), now);
    let inventory = Inventory {
        clock: now,
        started_unix_ms: 1,
        running: Vec::new(),
        ended,
        has_more_ends: false,
        skipped_rows: 0,
    };
    engine.record_inventory(
        now,
        now.0,
        RunnerIx(runner_ix),
        call.sequence,
        &InventoryOutcome::Inventory(inventory),
    );
}

/// Returns the resident memory of the process in kilobytes.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    kb.and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

fn measure_takeover(jobs: u64) {
    let encoded: Vec<_> = (0..jobs)
        .map(|id| {
            let record = JobRecord {
                queue: Name::new("q"),
                policy: config().queues[0].policy.clone(),
                accepted_unix_ms: 1_000,
                spec: spec(8),
                ..JobRecord::default()
            };
            (JobId(id), record::encode(&record))
        })
        .collect();
    let before = resident_kb();
    let began = Instant::now();
    let mut state = DurableState::default();
    for (id, value) in &encoded {
        let key = RecordKey::Job(*id).to_string();
        state.add(&key, value).expect("the record decodes");
    }
    let now = Millis(10_000);
    let mut engine = Engine::recover(settings(), now, 10_000, state);
    engine.configure(config());
    list_runners(&mut engine, 50, now);
    (0..50).for_each(|runner_ix| report_ends(&mut engine, runner_ix, now, Vec::new()));
    engine.schedule(now);
    let elapsed = began.elapsed();
    let growth_kb = resident_kb().saturating_sub(before);
    println!("takeover, {jobs} jobs of 8 tasks: {elapsed:?}, {growth_kb} kB");
    black_box(engine);
}

fn measure_starts(runners: usize, waiting: u64) {
    let mut now = Millis(10_000);
    let mut engine = Engine::new(settings());
    engine.configure(config());
    list_runners(&mut engine, runners, now);
    (0..runners).for_each(|runner_ix| report_ends(&mut engine, runner_ix, now, Vec::new()));
    commit(&mut engine);
    let submit = |engine: &mut Engine, id: u64, now: Millis| {
        let path = format!("/q/{}", JobId(id));
        let req = Submission {
            host: HOST,
            path: &path,
            spec: spec(1),
            team: None,
        };
        engine.submit(now, now.0, req).expect("the job is valid");
    };
    // The first jobs take all resources, so that the following ones wait.
    let capacity = runners as u64 * 32;
    (0..capacity + waiting).for_each(|id| submit(&mut engine, id, now));
    commit(&mut engine);
    let mut running = Vec::new();
    schedule_and_start(&mut engine, now, &mut running);
    let mut ends = vec![0; runners];
    let began = Instant::now();
    for number in 0..STARTS {
        now += Millis(1);
        let (runner_ix, task, run) = running.remove(0);
        ends[runner_ix] += 1;
        let ended = EndedTask {
            number: ends[runner_ix],
            task,
            run,
            how: EndKind::Done,
            checkpoint: Name::default(),
        };
        report_ends(&mut engine, runner_ix, now, vec![ended]);
        submit(&mut engine, capacity + waiting + number, now);
        commit(&mut engine);
        schedule_and_start(&mut engine, now, &mut running);
    }
    let each = began.elapsed() / u32::try_from(STARTS).expect("few starts");
    println!("submit, start and end, {runners} runners, {waiting} jobs waiting: {each:?}");
}

/// Measures one scheduling pass over `waiting` jobs of 16 tasks that need approvals. The runners
/// have room for `free_cores`, and each task needs `cores`.
fn measure_scheduling_pass(runners: usize, waiting: u64, free_cores: u64, cores: u64) {
    let mut now = Millis(10_000);
    let mut engine = Engine::new(settings());
    let mut config = config();
    let mut fill = config.queues[0].clone();
    fill.name = Name::new("fill");
    fill.prefix = Name::new("/fill/");
    config.queues.push(fill);
    config.queues[0].policy.approval = Some(ApprovalPolicy {
        base_ms: 20.0,
        per_runner_ms: 0.3,
        validity: Millis(2_500),
    });
    engine.configure(config);
    engine.set_approval_hosts(&[Name::new("h1")]);
    list_runners(&mut engine, runners, now);
    (0..runners).for_each(|runner_ix| report_ends(&mut engine, runner_ix, now, Vec::new()));
    let submit = |engine: &mut Engine, id: u64, queue: &str, spec: JobSpec| {
        let path = format!("/{queue}/{}", JobId(id));
        let req = Submission {
            host: HOST,
            path: &path,
            spec,
            team: None,
        };
        engine.submit(now, now.0, req).expect("the job is valid");
    };
    for id in 0..runners as u64 {
        submit(
            &mut engine,
            id,
            "fill",
            spec_of_cores(1, RUNNER_CORES - free_cores),
        );
    }
    commit(&mut engine);
    schedule_and_start(&mut engine, now, &mut Vec::new());
    for id in 0..waiting {
        submit(
            &mut engine,
            runners as u64 + id,
            "q",
            spec_of_cores(16, cores),
        );
    }
    commit(&mut engine);
    engine.schedule(now);
    let began = Instant::now();
    for _ in 0..PASSES {
        // Steps without a candidate or a host are tried again after up to 100 ms.
        now += Millis(20);
        engine.confirm_ownership(now);
        engine.schedule(now);
    }
    let each = began.elapsed() / PASSES;
    println!(
        "one scheduling pass, {runners} runners with {free_cores} free cores, {waiting} jobs of \
         {cores} cores a task waiting for approvals: {each:?}"
    );
}

/// Measures one scheduling pass over `waiting` jobs whose tasks prefer one of the racks, all of which
/// are full, while a runner in no such rack has room; or over gangs that share any rack.
fn measure_locality(runners: usize, waiting: u64, is_gang: bool) {
    let mut now = Millis(10_000);
    let mut engine = Engine::new(settings());
    engine.configure(config());
    list_runners(&mut engine, runners, now);
    (0..runners).for_each(|runner_ix| report_ends(&mut engine, runner_ix, now, Vec::new()));
    let submit = |engine: &mut Engine, id: u64, spec: JobSpec| {
        let path = format!("/q/{}", JobId(id));
        let req = Submission {
            host: HOST,
            path: &path,
            spec,
            team: None,
        };
        engine.submit(now, now.0, req).expect("the job is valid");
    };
    for id in 0..runners as u64 {
        submit(&mut engine, id, spec_of_cores(1, RUNNER_CORES));
    }
    commit(&mut engine);
    schedule_and_start(&mut engine, now, &mut Vec::new());
    let spare = RunnerEntry {
        labels: vec![Name::new("a"), Name::new("spare")],
        ..engine.runner(RunnerIx(0)).clone()
    };
    let spare = RunnerEntry {
        id: Name::new("spare"),
        ..spare
    };
    engine.upsert_runner(now, spare);
    engine.confirm_ownership(now);
    report_ends(&mut engine, runners, now, Vec::new());
    for number in 0..waiting {
        let mut spec = spec_of_cores(4, if is_gang { 20 } else { 2 });
        let rack = number % (runners as u64 / 8);
        spec.steps[0].gang = is_gang;
        spec.steps[0].same_rack = is_gang;
        spec.steps[0].preferred_rack = (!is_gang).then(|| Name::new(&format!("r{rack}")));
        submit(&mut engine, runners as u64 + number, spec);
    }
    commit(&mut engine);
    engine.schedule(now);
    let began = Instant::now();
    for _ in 0..PASSES {
        now += Millis(1);
        engine.confirm_ownership(now);
        engine.schedule(now);
    }
    let each = began.elapsed() / PASSES;
    let what = if is_gang { "gangs" } else { "jobs" };
    println!(
        "one scheduling pass, {runners} full runners and an empty one, {waiting} {what} waiting for \
         their racks: {each:?}"
    );
}

fn commit(engine: &mut Engine) {
    while let Some(batch) = engine.take_batch() {
        engine.mark_durable(batch.number);
    }
}

fn schedule_and_start(
    engine: &mut Engine,
    now: Millis,
    running: &mut Vec<(usize, kspan_jobs::id::TaskId, u32)>,
) {
    engine.schedule(now);
    engine.take_events();
    for order in engine.take_orders() {
        if let Order::Start(order) = order {
            engine.record_start_outcome(
                now,
                order.runner_ix,
                order.task,
                order.run,
                StartOutcome::Started(now),
            );
            running.push((order.runner_ix.0, order.task, order.run));
        }
    }
}

fn main() {
    for jobs in [1_000, 10_000, 50_000] {
        measure_takeover(jobs);
    }
    for runners in [50, 350, 550] {
        measure_starts(runners, 10);
    }
    for waiting in [100, 1_000] {
        measure_starts(50, waiting);
    }
    for runners in [50, 350, 3_000] {
        measure_scheduling_pass(runners, 300, 8, 2);
        measure_scheduling_pass(runners, 300, 1, 2);
        measure_scheduling_pass(runners, 300, 1, 9);
    }
    for runners in [350, 3_000] {
        measure_locality(runners, 300, false);
        measure_locality(runners, 300, true);
    }
}
