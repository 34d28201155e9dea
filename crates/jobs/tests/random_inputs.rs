//! Random values that callers, runners and the store choose, in and out of range: no sequence of them makes the
//! engine panic, and no altered record its recovery.

mod one_cell;

use kspan_jobs::{
    engine::{Order, RunnerIx, Submission},
    id::{JobId, StepId, TaskId},
    record::{
        self, DurableState, JobRecord, OccurrenceProgress, PartRecord, ProgressRecord, TaskProgress,
    },
    runner::{
        EndKind, Inventory, InventoryOutcome, OrderOutcome, Refusal, RunningTask, StartOutcome,
    },
    spec::{JobSpec, StepSpec, Timetable},
};
use kspan_model::{Millis, Name, Resources};
use one_cell::*;
use proptest::{prelude::*, test_runner::RngSeed};

fn seeded(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20_261_205),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Values at and near the bounds, and ordinary ones.
fn any_u64() -> impl Strategy<Value = u64> {
    prop_oneof![
        4 => 0..5_000_u64,
        1 => Just(u64::MAX),
        1 => u64::MAX - 3_000..u64::MAX,
        1 => any::<u64>(),
        1 => (0..64_u32).prop_map(|bit| 1 << bit),
    ]
}

fn any_u32() -> impl Strategy<Value = u32> {
    prop_oneof![4 => 0..4_u32, 1 => Just(u32::MAX), 1 => Just(u32::MAX - 1), 1 => any::<u32>()]
}

fn any_resources() -> impl Strategy<Value = Resources> {
    (any_u64(), any_u64(), any_u64())
        .prop_map(|(cpu, memory, gpus)| Resources::new(cpu, memory, gpus))
}

fn any_step() -> impl Strategy<Value = StepSpec> {
    let flags = any::<[bool; 6]>();
    let numbers = (1..4_u32, any_u64(), any_u64(), any_u32());
    (numbers, any_resources(), flags).prop_map(|(numbers, size, flags)| {
        let (count, estimate, target, limit) = numbers;
        let [
            gang,
            same_rack,
            saves_progress,
            long_running,
            best_effort,
            has_image,
        ] = flags;
        StepSpec {
            count,
            size,
            estimate: Millis(estimate),
            gang,
            same_rack,
            saves_progress,
            long_running,
            best_effort,
            image: has_image.then(|| Name::new("image")),
            preferred_rack: same_rack.then(|| Name::new("r1")),
            tail_latency_target: Some(Millis(target)).filter(|target| target.0 > 0),
            max_per_runner: Some(limit).filter(|limit| *limit > 0),
            max_unavailable: limit,
            ..StepSpec::default()
        }
    })
}

fn any_job() -> impl Strategy<Value = JobSpec> {
    let timetable = prop_oneof![
        Just(None),
        (any_u32(), any_u64(), any_u64()).prop_map(|(times, first_unix_ms, period)| Some(
            Timetable {
                times: times.max(1),
                first_unix_ms,
                period: Millis(period),
            }
        )),
    ];
    let steps = prop::collection::vec(any_step(), 1..4);
    (steps, timetable, any::<bool>()).prop_map(|(mut steps, timetable, chained)| {
        for number in 1..u32::try_from(steps.len()).expect("few steps") {
            if chained {
                steps[number as usize].depends_on = vec![number - 1];
            }
        }
        JobSpec {
            text: Name::new("run"),
            steps,
            timetable,
        }
    })
}

fn any_task() -> impl Strategy<Value = TaskId> {
    (any_u32(), any_u32(), any_u32(), 0..3_u64).prop_map(|(occurrence, step, index, job)| {
        let step = StepId {
            job: JobId(JOB.0 + job),
            occurrence,
            step,
        };
        step.task(index)
    })
}

fn any_inventory() -> impl Strategy<Value = Inventory> {
    let running = (any_task(), any_u32(), any_u32()).prop_map(|(task, run, percent)| RunningTask {
        percent,
        ..running_row(task, run)
    });
    let how = prop::sample::select(vec![
        EndKind::Done,
        EndKind::Failed,
        EndKind::Stopped,
        EndKind::LeaseExpired,
        EndKind::GangBroken,
        EndKind::GangIncomplete,
    ]);
    let ended = (any_u64(), any_task(), any_u32(), how)
        .prop_map(|(number, task, run, how)| end_row(number, task, run, how));
    let rows = (
        prop::collection::vec(running, 0..4),
        prop::collection::vec(ended, 0..4),
    );
    (any_u64(), prop_oneof![Just(0), Just(1), any_u64()], rows).prop_map(
        |(clock, started_unix_ms, (running, ended))| Inventory {
            clock: Millis(clock),
            started_unix_ms,
            running,
            ended,
            has_more_ends: false,
            skipped_rows: 0,
        },
    )
}

#[derive(Clone, Debug)]
enum Input {
    Submit(u64, JobSpec),
    Cancel(u64),
    List(usize, Resources, bool),
    Unlist(usize),
    Inventory(usize, Inventory),
    NoResponse(usize),
    /// Schedules, and completes each order with one of the outcomes.
    Schedule(u8, u64),
    Advance(u64),
    Recover,
}

fn any_input() -> impl Strategy<Value = Input> {
    prop_oneof![
        3 => (0..3_u64, any_job()).prop_map(|(job, spec)| Input::Submit(job, spec)),
        1 => (0..3_u64).prop_map(Input::Cancel),
        1 => (0..3_usize, any_resources(), any::<bool>())
            .prop_map(|(runner, capacity, draining)| Input::List(runner, capacity, draining)),
        1 => (0..3_usize).prop_map(Input::Unlist),
        5 => (0..3_usize, any_inventory()).prop_map(|(runner, rows)| Input::Inventory(runner, rows)),
        1 => (0..3_usize).prop_map(Input::NoResponse),
        5 => (any::<u8>(), any_u64()).prop_map(|(outcome, value)| Input::Schedule(outcome, value)),
        2 => prop_oneof![0..2_000_u64, 0..20_000_u64].prop_map(Input::Advance),
        1 => Just(Input::Recover),
    ]
}

fn apply(cell: &mut Cell, input: Input) {
    let now = Millis(cell.now);
    let path = |job: u64| format!("/q/{:016x}", JOB.0 + job);
    let known = |cell: &Cell, runner: usize| cell.engine.live_runners().nth(runner);
    match input {
        Input::Submit(job, spec) => {
            let path = path(job);
            let req = Submission {
                host: HOST,
                path: &path,
                spec,
                team: None,
            };
            // A rejection is a valid outcome.
            let _ = cell.engine.submit(now, cell.now, req);
        }
        Input::Cancel(job) => drop(cell.engine.cancel(now, cell.now, HOST, &path(job))),
        Input::List(runner, capacity, draining) => {
            let entry = kspan_jobs::runner::RunnerEntry {
                capacity,
                draining,
                ..entry(&format!("w{runner}"))
            };
            cell.engine.upsert_runner(now, entry);
        }
        Input::Unlist(runner) => {
            let id = Name::new(&format!("w{runner}"));
            cell.engine.unlist_runner(now, &id);
        }
        Input::Inventory(runner, inventory) => {
            if let Some(RunnerIx(runner_ix)) = known(cell, runner) {
                let outcome = InventoryOutcome::Inventory(inventory);
                cell.complete_inventory_call(runner_ix, &outcome);
            }
        }
        Input::NoResponse(runner) => {
            if let Some(RunnerIx(runner_ix)) = known(cell, runner) {
                cell.complete_inventory_call(runner_ix, &InventoryOutcome::NoResponse);
            }
        }
        Input::Schedule(outcome, value) => {
            cell.engine.confirm_ownership(now);
            cell.engine.schedule(now);
            for order in cell.engine.take_orders() {
                complete_order(cell, order, outcome, value);
            }
        }
        Input::Advance(ms) => cell.advance(ms),
        Input::Recover => cell.recover(),
    }
    // Leaves some batches open for a while, so that records of several changes share one.
    if !cell.now.is_multiple_of(3) {
        cell.commit();
    }
    drop(cell.engine.take_events());
    for job in 0..3 {
        let _ = cell.engine.explain(JobId(JOB.0 + job), now);
    }
}

fn order_outcome(choice: u8) -> OrderOutcome {
    match choice % 4 {
        0 => OrderOutcome::Done,
        1 => OrderOutcome::InDoubt,
        2 => OrderOutcome::Refused,
        _ => OrderOutcome::OtherIncarnation,
    }
}

fn complete_order(cell: &mut Cell, order: Order, outcome: u8, value: u64) {
    let now = Millis(cell.now);
    match order {
        Order::Start(order) => {
            let outcomes = [
                StartOutcome::Started(Millis(value)),
                StartOutcome::InDoubt,
                StartOutcome::Refused(Refusal::StaleRun),
                StartOutcome::Refused(Refusal::InvalidTicket),
                StartOutcome::Refused(Refusal::NoCapacity),
                StartOutcome::OtherIncarnation,
            ];
            let outcome = outcomes[usize::from(outcome) % outcomes.len()];
            let (runner_ix, task, run) = (order.runner_ix, order.task, order.run);
            cell.engine
                .record_start_outcome(now, runner_ix, task, run, outcome);
        }
        Order::Stop(order) => {
            let outcome = order_outcome(outcome);
            let (runner_ix, task, run) = (order.runner_ix, order.task, order.run);
            cell.engine
                .record_stop_outcome(runner_ix, task, run, outcome, now);
        }
        Order::Throttle(order) => {
            let outcome = order_outcome(outcome);
            cell.engine.record_throttle_outcome(&order, outcome, now);
        }
        Order::RequestApprovals(order) => {
            let rows = [
                (Name::new("w0"), Name::new("t")),
                (Name::new("?"), Name::new("t")),
            ];
            let rows: &[(Name, Name)] = &rows;
            let response = (!outcome.is_multiple_of(3)).then_some((rows, Millis(value)));
            cell.engine.record_approvals(now, &order, response);
        }
    }
}

proptest! {
    #![proptest_config(seeded(1_500))]

    /// Guards against a panic of the engine, which ends the owner's process: with the checks for
    /// overflow of this build, any sum that a value out of range makes wrap around panics too.
    #[test]
    fn no_sequence_of_values_out_of_range_makes_the_engine_panic(
        inputs in prop::collection::vec(any_input(), 1..40),
        needs_approval in any::<bool>(),
    ) {
        let mut config = config();
        if needs_approval {
            config.queues[0].policy.approval = Some(kspan_jobs::config::ApprovalPolicy {
                base_ms: 1.0e300,
                per_runner_ms: -1.0e300,
                validity: Millis::MAX,
            });
        }
        let runners = ["w0", "w1", "w2"].map(entry);
        let mut cell = Cell::with_runners(config, runners);
        cell.engine.set_approval_hosts(&[Name::new("h")]);
        for runner_ix in 0..3 {
            cell.report_ends(runner_ix, Vec::new());
        }
        for input in inputs {
            apply(&mut cell, input);
        }
    }

    /// Guards against a stored record that ends each owner's process while it recovers.
    #[test]
    fn truncated_and_altered_records_decode_or_are_rejected(
        job in any_job(),
        saved in (any_u32(), any_task(), any_u32(), any::<bool>(), any_u32()),
        cut in any::<prop::sample::Index>(),
        flips in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        key in prop::sample::select(vec![
            "j000000000000000a", "p000000000000000a", "rw0", "x", "", "j", "j00", "\u{e9}",
            "t000000000000000a.10.0", "t000000000000000a.10", "t000000000000000a.0.ffffffffffffffff",
        ]),
    ) {
        let (number, task, run, done, occurrences_done) = saved;
        let record = JobRecord {
            queue: Name::new("q"),
            policy: config().queues[0].policy.clone(),
            accepted_unix_ms: 1,
            spec: job,
            ..JobRecord::default()
        };
        let progress = ProgressRecord {
            occurrences_done,
            occurrences: vec![OccurrenceProgress {
                number,
                tasks: vec![TaskProgress {
                    step: task.step.step,
                    index: task.index,
                    done,
                    run,
                    ..TaskProgress::default()
                }],
            }],
            ..ProgressRecord::default()
        };
        let part = PartRecord {
            occurrences: progress.occurrences.clone(),
            ..PartRecord::default()
        };
        let mut state = DurableState::default();
        for (key, value) in [
            ("j000000000000000a", record::encode(&record)),
            ("p000000000000000a", record::encode(&progress)),
            ("rw0", record::encode(&entry("w0"))),
            ("t000000000000000a.10.0", record::encode(&part)),
        ] {
            prop_assert!(state.add(key, &value).is_ok());
            let mut altered = value[..cut.index(value.len() + 1)].to_vec();
            for (at, byte) in &flips {
                if !altered.is_empty() {
                    let at = at.index(altered.len());
                    altered[at] ^= byte;
                }
            }
            // An altered record may still be valid.
            let _ = state.add(key, &altered);
        }
        let _ = state.add(key, &record::encode(&progress));
        let now = Millis(10_000);
        let mut engine = kspan_jobs::Engine::recover(settings(), now, 10_000, state);
        engine.configure(config());
        engine.confirm_ownership(now);
        engine.tick(now, u64::MAX);
        engine.schedule(now);
        engine.take_batch();
    }
}
