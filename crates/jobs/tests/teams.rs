//! Keys, caps and shares of teams.

mod one_cell;

use kspan_jobs::{
    engine::{Event, JobState, Order, RunnerIx, SubmitError},
    record::{self, JobRecord},
    runner::{EndKind, EndedTask},
    spec::JobSpec,
    team::{Access, Team},
};
use kspan_model::{Millis, Name, Resources};
use one_cell::{
    team::{UNLIMITED, config_with, job, path, team},
    *,
};
use serde::Serialize;

/// Guards against access with a key that the configuration in force does not contain.
#[test]
fn key_opens_only_what_the_configuration_in_force_allows() {
    let mut config = config_with(vec![team("one", 1.0, UNLIMITED)]);
    let granted = |team: &str| Access::Granted(Some(Name::new(team)));
    let table = [
        (Some("one-key"), granted("one")),
        (Some("one-key "), Access::UnknownKey),
        (Some("One-key"), Access::UnknownKey),
        (Some("two-key"), Access::UnknownKey),
        (Some(""), Access::UnknownKey),
        (None, Access::UnknownKey),
    ];
    for (key, expected) in table {
        assert_eq!(config.access(&config.queues[0], key), expected, "{key:?}");
    }
    config.queues[0].is_public = true;
    let public = &config.queues[0];
    assert_eq!(config.access(public, None), Access::Granted(None));
    assert_eq!(
        config.access(public, Some("two-key")),
        Access::Granted(None)
    );
    assert_eq!(config.access(public, Some("one-key")), granted("one"));
}

/// Guards against a withdrawn key that still grants access, also if no team has a key any more.
#[test]
fn withdrawn_key_opens_nothing() {
    let without_key = Team {
        keys: Vec::new(),
        ..team("one", 1.0, UNLIMITED)
    };
    for teams in [vec![without_key], Vec::new()] {
        let config = config_with(teams);
        let access = config.access(&config.queues[0], Some("one-key"));
        assert_eq!(access, Access::UnknownKey);
    }
}

/// Guards against required keys where the configuration declares no teams.
#[test]
fn no_key_is_needed_without_declared_teams() {
    let config = config();
    for key in [None, Some("one-key")] {
        let access = config.access(&config.queues[0], key);
        assert_eq!(access, Access::Granted(None), "{key:?}");
    }
}

/// Guards against keys in logs and state dumps.
#[test]
fn debug_format_of_a_team_shows_no_key() {
    let text = format!("{:?}", team("one", 1.0, UNLIMITED));
    assert!(text.contains("KeyDigest(..)"), "{text}");
    assert!(!text.contains("one-key"), "{text}");
}

/// Guards against jobs that are stored and can never start.
#[test]
fn job_larger_than_the_cap_is_rejected_and_not_stored() {
    let cap = Resources::new(2_500, u64::MAX, u64::MAX);
    let mut cell = Cell::with_runners(config_with(vec![team("one", 1.0, cap)]), [entry("w0")]);
    let table = [
        (job(5, 2, false), Ok(())),
        (job(1, 3, false), Err(SubmitError::BeyondCap(0))),
        (job(2, 1, true), Ok(())),
        (job(3, 1, true), Err(SubmitError::BeyondCap(0))),
    ];
    for (number, (spec, expected)) in table.into_iter().enumerate() {
        let path = path(number);
        assert_eq!(
            cell.submit_for_team(&path, spec, "one"),
            expected,
            "row {number}"
        );
        let (_, id) = cell.engine.find_queue(HOST, &path).expect("the queue");
        let is_known = cell.engine.job_state(id.expect("an id")).is_some();
        assert_eq!(is_known, expected.is_ok(), "row {number}");
    }
}

/// A cap that is lowered while more is running stops nothing and starts nothing until enough has
/// ended; a gang then starts whole.
#[test]
fn lowered_cap_stops_nothing_and_starts_nothing() {
    let cap = |cores: u64| Resources::new(cores * 1_000, u64::MAX, u64::MAX);
    let mut cell = Cell::with_runners(
        config_with(vec![team("one", 1.0, cap(8))]),
        ["w0", "w1"].map(entry),
    );
    (0..2).for_each(|runner_ix| cell.report_ends(runner_ix, Vec::new()));
    cell.submit_for_team(&path(1), job(6, 1, false), "one")
        .expect("accepted");
    let running = cell.schedule_and_start();
    assert_eq!(running.len(), 6);
    cell.submit_for_team(&path(2), job(2, 1, true), "one")
        .expect("accepted");
    let mut lowered = config_with(vec![team("one", 1.0, cap(3))]);
    lowered.version = 2;
    assert!(cell.engine.configure(lowered));
    for ended in 1..=5_usize {
        cell.advance(100);
        let orders = cell.engine.take_orders();
        assert!(!orders.iter().any(|order| matches!(order, Order::Stop(_))));
        let (runner_ix, task) = running[ended - 1];
        let end = EndedTask {
            task,
            how: EndKind::Done,
            ..failed_end(ended as u64, 1)
        };
        let still_running = running[ended..].iter().filter(|(at, _)| *at == runner_ix);
        let rows = still_running
            .map(|(_, task)| running_row(*task, 1))
            .collect();
        cell.report_inventory(runner_ix, rows, vec![end]);
        // The gang of two fits beside one running task.
        let expected = if ended == 5 { 2 } else { 0 };
        assert_eq!(cell.schedule_and_start().len(), expected, "{ended} ended");
    }
}

/// Guards against a new owner that starts a team's tasks while a runner that has not answered may
/// still run others of the team.
#[test]
fn runs_on_silent_runners_count_after_a_takeover() {
    let cap = Resources::new(4_000, u64::MAX, u64::MAX);
    let config = config_with(vec![team("one", 1.0, cap), team("two", 1.0, UNLIMITED)]);
    let mut cell = Cell::with_runners(config.clone(), ["w0", "w1"].map(entry));
    cell.report_ends(0, Vec::new());
    cell.submit_for_team(&path(1), job(4, 1, false), "one")
        .expect("accepted");
    let running = cell.schedule_and_start();
    assert_eq!(running.len(), 4);
    cell.recover_with(config);
    let now = Millis(cell.now);
    for id in ["w0", "w1"] {
        cell.engine.upsert_runner(now, entry(id));
    }
    cell.engine.confirm_ownership(now);
    cell.commit();
    let index_of = |cell: &Cell, id: &str| {
        let mut live = cell.engine.live_runners();
        live.find(|ix| &**cell.engine.runner(*ix).id == id)
            .expect("a runner")
            .0
    };
    let (silent, answering) = (index_of(&cell, "w0"), index_of(&cell, "w1"));
    cell.report_ends(answering, Vec::new());
    cell.submit_for_team(&path(2), job(4, 1, false), "one")
        .expect("accepted");
    cell.submit_for_team(&path(3), job(1, 1, false), "two")
        .expect("accepted");
    let started = cell.schedule_and_start();
    let jobs: Vec<u64> = started.iter().map(|(_, task)| task.step.job.0).collect();
    assert_eq!(jobs, [3], "only the team without a cap starts");
    // Once the runner has answered, its runs are known, and still count.
    let rows = running
        .iter()
        .map(|(_, task)| running_row(*task, 1))
        .collect();
    cell.report_inventory(silent, rows, Vec::new());
    assert!(cell.schedule_and_start().is_empty());
    let explanation = cell
        .engine
        .explain("0000000000000002".parse().expect("an id"), Millis(cell.now));
    let why = explanation.expect("a known job").steps[0].why.clone();
    assert!(why.contains("team one has reached its cap"), "{why}");
}

/// Guards against a cap that is exceeded after a takeover: the runs of a cancelled job were not counted
/// on a runner that had not answered, once only the end of the job was kept.
#[test]
fn runs_of_a_cancelled_job_on_a_silent_runner_count_until_it_answers() {
    let cap = Resources::new(4_000, u64::MAX, u64::MAX);
    let config = config_with(vec![team("one", 1.0, cap)]);
    let mut cell = Cell::with_runners(config.clone(), ["w0", "w1"].map(entry));
    cell.report_ends(0, Vec::new());
    cell.submit_for_team(&path(1), job(4, 1, false), "one")
        .expect("accepted");
    let running = cell.schedule_and_start();
    assert_eq!(running.len(), 4);
    cell.engine
        .cancel(Millis(cell.now), cell.now, HOST, &path(1));
    cell.commit();
    cell.recover_with(config);
    let now = Millis(cell.now);
    for id in ["w0", "w1"] {
        cell.engine.upsert_runner(now, entry(id));
    }
    cell.engine.confirm_ownership(now);
    cell.commit();
    let live: Vec<RunnerIx> = cell.engine.live_runners().collect();
    let is_silent = |ix: &RunnerIx| &**cell.engine.runner(*ix).id == "w0";
    let (silent, answering): (Vec<RunnerIx>, Vec<RunnerIx>) = live.into_iter().partition(is_silent);
    cell.report_ends(answering[0].0, Vec::new());
    for _ in 0..3 {
        cell.advance(3_000);
        cell.commit();
        cell.report_ends(answering[0].0, Vec::new());
    }
    cell.submit_for_team(&path(2), job(1, 1, false), "one")
        .expect("accepted");
    assert!(cell.schedule_and_start().is_empty());
    // The runs are listed and being stopped; they still count.
    let rows = running
        .iter()
        .map(|(_, task)| running_row(*task, 1))
        .collect();
    cell.report_inventory(silent[0].0, rows, Vec::new());
    assert!(cell.schedule_and_start().is_empty());
    let ends = (1..).zip(&running).map(|(number, (_, task))| EndedTask {
        task: *task,
        how: EndKind::Stopped,
        ..failed_end(number, 1)
    });
    let ends = ends.collect();
    cell.report_inventory(silent[0].0, Vec::new(), ends);
    assert_eq!(cell.schedule_and_start().len(), 1);
}

/// Guards against reports of a cap that change with the room in the cell instead of the team's use.
#[test]
fn reached_cap_is_reported_once_also_while_the_cell_is_full() {
    let cap = Resources::new(2_000, u64::MAX, u64::MAX);
    let teams = vec![team("one", 1.0, cap), team("two", 1.0, UNLIMITED)];
    let mut cell = Cell::with_runners(config_with(teams), [entry("w0")]);
    cell.report_ends(0, Vec::new());
    cell.submit_for_team(&path(1), job(4, 1, false), "one")
        .expect("accepted");
    let mut running = cell.schedule_and_start();
    cell.submit_for_team(&path(2), job(6, 1, false), "two")
        .expect("accepted");
    for ended in 1..=3_u64 {
        running.extend(cell.schedule_and_start());
        cell.advance(100);
        // Tasks of the other team end and fill the cell again.
        let at = running
            .iter()
            .position(|(_, task)| task.step.job.0 == 2)
            .expect("a task of the other team");
        let (_, task) = running.remove(at);
        let end = EndedTask {
            task,
            how: EndKind::Done,
            ..failed_end(ended, 1)
        };
        let rows = running
            .iter()
            .map(|(_, task)| running_row(*task, 1))
            .collect();
        cell.report_inventory(0, rows, vec![end]);
    }
    let events = cell.engine.take_events();
    let changes = events
        .iter()
        .filter(|event| matches!(event, Event::CapChanged { .. }));
    assert_eq!(changes.count(), 1);
}

/// Load pattern: one team submits far more than it is entitled to. The others are served as if it
/// did not, and its excess uses what they leave.
#[test]
fn submissions_beyond_the_entitled_rate_wait_behind_all_others() {
    let teams = vec![team("hot", 1.0, UNLIMITED), team("calm", 1.0, UNLIMITED)];
    let mut cell = Cell::with_runners(config_with(teams), [entry("w0")]);
    cell.report_ends(0, Vec::new());
    for number in 1..=20 {
        cell.submit_for_team(&path(number), job(1, 1, false), "hot")
            .expect("accepted");
    }
    cell.submit_for_team(&path(100), job(1, 1, false), "calm")
        .expect("accepted");
    let started = cell.schedule_and_start();
    let jobs: Vec<u64> = started.iter().map(|(_, task)| task.step.job.0).collect();
    assert!(jobs.contains(&100), "{jobs:?}");
    assert_eq!(jobs.len(), 4, "the excess uses the rest: {jobs:?}");
    // The entitlement returns with time.
    cell.advance(3_000);
    cell.submit_for_team(&path(200), job(1, 1, false), "hot")
        .expect("accepted");
    let explain = |cell: &Cell, id: &str| {
        let id = id.parse().expect("an id");
        let explanation = cell.engine.explain(id, Millis(cell.now));
        explanation.expect("a known job").exceeds_rate
    };
    assert!(explain(&cell, "0000000000000014"));
    assert!(!explain(&cell, "00000000000000c8"));
}

/// In a full cell, room that becomes free goes to the team below its share, whatever the others had
/// submitted before; a team alone uses the whole cell.
#[test]
fn team_below_its_share_goes_first_in_a_full_cell() {
    let teams = vec![team("one", 30.0, UNLIMITED), team("two", 10.0, UNLIMITED)];
    let mut cell = Cell::with_runners(config_with(teams), [entry("w0"), entry("w1")]);
    (0..2).for_each(|runner_ix| cell.report_ends(runner_ix, Vec::new()));
    let mut long = job(1, 1, false);
    // No job becomes late during the test, which would change the order.
    long.steps[0].estimate = Millis(60_000);
    for number in 1..=40 {
        cell.submit_for_team(&path(number), long.clone(), "one")
            .expect("accepted");
    }
    let mut running = cell.schedule_and_start();
    assert_eq!(
        running.len(),
        8,
        "the team uses the whole cell while it is alone"
    );
    for number in 101..=140 {
        cell.submit_for_team(&path(number), long.clone(), "two")
            .expect("accepted");
    }
    let mut ended = [0, 0];
    for _ in 0..25 {
        cell.advance(100);
        let (runner_ix, task) = running.remove(0);
        ended[runner_ix] += 1;
        let rows = running.iter().filter(|(at, _)| *at == runner_ix);
        let rows = rows.map(|(_, task)| running_row(*task, 1)).collect();
        let end = EndedTask {
            task,
            how: EndKind::Done,
            ..failed_end(ended[runner_ix], 1)
        };
        cell.report_inventory(runner_ix, rows, vec![end]);
        running.extend(cell.schedule_and_start());
    }
    let of_two = running.iter().filter(|(_, task)| task.step.job.0 > 100);
    // A quarter of eight cores.
    assert_eq!(of_two.count(), 2, "of {}", running.len());
}

/// Guards against the loss of jobs that were recorded by a version that knew no teams.
#[test]
fn job_record_without_a_team_is_decoded() {
    #[derive(Serialize)]
    struct OldRecord {
        queue: Name,
        policy: kspan_jobs::config::Policy,
        accepted_unix_ms: u64,
        spec: JobSpec,
    }
    let old = OldRecord {
        queue: Name::new("q"),
        policy: config().queues[0].policy.clone(),
        accepted_unix_ms: 7,
        spec: job(2, 1, false),
    };
    let decoded = JobRecord::decode(&record::encode(&old)).expect("an old record");
    assert_eq!((decoded.accepted_unix_ms, &decoded.team), (7, &None));
    let new = JobRecord {
        team: Some(Name::new("one")),
        exceeds_rate: true,
        ..decoded
    };
    let encoded = record::encode(&new);
    assert_eq!(JobRecord::decode(&encoded), Ok(new));
    assert!(JobRecord::decode(&encoded[..encoded.len() - 1]).is_err());
}

/// Guards against forgetting the team of an ended job, whose state would then be shown to others.
#[test]
fn team_of_an_ended_job_survives_a_takeover() {
    let config = config_with(vec![team("one", 1.0, UNLIMITED)]);
    let mut cell = Cell::with_runners(config.clone(), [entry("w0")]);
    cell.report_ends(0, Vec::new());
    cell.submit_for_team(PATH, job(1, 1, false), "one")
        .expect("accepted");
    cell.engine.cancel(Millis(cell.now), cell.now, HOST, PATH);
    cell.commit();
    for _ in 0..2 {
        cell.recover_with(config.clone());
        assert_eq!(cell.engine.team_of(JOB), Some(&Name::new("one")));
        assert_eq!(cell.engine.job_state(JOB), Some(JobState::Cancelled));
        cell.advance(4_000);
        cell.commit();
    }
}
