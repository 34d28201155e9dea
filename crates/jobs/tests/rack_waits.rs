//! Single decisions to wait for a rack, or not to.

mod one_cell;
mod rack_replay;

use kspan_jobs::{
    Engine,
    config::ApprovalPolicy,
    engine::{LocalityRule, Order, Settings, WaitEnd},
    id::JobId,
    spec::StepSpec,
};
use kspan_model::{Millis, Name};
use one_cell::*;
use rack_replay::*;

/// Returns a replay of two racks in which tasks occupy the first one for `busy_ms`, and `work` is
/// submitted thereafter.
fn behind_busy_rack(busy_ms: u64, work: StepSpec) -> Replay {
    let busy = near(0, step(WHOLE_RACK, WHOLE, busy_ms));
    let arrivals = vec![arrival(0, "high", busy), arrival(100, "q", work)];
    let mut replay = Replay::new(scenario(2, arrivals), LocalityRule::Predicted);
    replay.pass();
    replay.pass();
    replay
}

fn running_in(replay: &Replay, job: u64) -> Vec<usize> {
    let of_job = replay
        .running
        .iter()
        .filter(|run| run.task.step.job.0 == job);
    of_job.map(|run| run.runner_ix / RUNNERS_PER_RACK).collect()
}

/// A task waits as long as the wait is expected to cost less than a run elsewhere, and no longer.
#[test]
fn task_waits_only_where_the_rack_has_room_soon() {
    // Run time of the work ahead, and whether a task that takes 1 s in its rack and 3 s elsewhere
    // waits for it.
    let table = [(600, true), (1_200, true), (2_500, false), (60_000, false)];
    for (busy_ms, waits) in table {
        let replay = behind_busy_rack(busy_ms, near(0, step(1, HALF, 1_000)));
        let racks = running_in(&replay, 1);
        assert_eq!(racks.is_empty(), waits, "{busy_ms} ms: {racks:?}");
        let outcome = replay.run();
        assert_eq!(outcome.begun_waits, usize::from(waits), "{busy_ms} ms");
        assert_eq!(
            outcome.ended(WaitEnd::Local),
            usize::from(waits),
            "{busy_ms} ms"
        );
        for (predicted, waited) in outcome.predictions {
            assert!(predicted.abs_diff(waited) <= 200, "{predicted}, {waited}");
        }
    }
}

/// An operator sees which rack a task waits for and until when.
#[test]
fn explanation_names_the_rack_and_the_end_of_the_wait() {
    let replay = behind_busy_rack(1_000, near(0, step(1, HALF, 1_000)));
    let now = Millis(replay.cell.now);
    let explanation = replay.cell.engine.explain(JobId(1), now);
    let why = &explanation.expect("the job is known").steps[0].why;
    assert!(why.starts_with("1 wait for room in rack r0, "), "{why}");
    assert!(why.contains(" ms at the latest"), "{why}");
}

/// Guards against tasks that wait for a rack that no longer answers.
#[test]
fn wait_ends_when_the_rack_is_lost() {
    let mut replay = behind_busy_rack(1_000, near(0, step(1, HALF, 1_000)));
    assert!(running_in(&replay, 1).is_empty());
    replay.scenario.fault = Some((0, 0, Fault::Lost));
    replay.pass();
    replay.pass();
    assert_eq!(running_in(&replay, 1), [1]);
    assert_eq!(replay.outcome.ended(WaitEnd::PredictionWorsened), 1);
}

/// A gang larger than every rack must not wait for one.
#[test]
fn gang_larger_than_a_rack_starts_across_racks() {
    let work = arrival(0, "q", gang(5, WHOLE, 2_000));
    let mut replay = Replay::new(scenario(2, vec![work]), LocalityRule::Predicted);
    replay.pass();
    assert_eq!(running_in(&replay, 0).len(), 5);
    assert_eq!(replay.outcome.begun_waits, 0);
}

/// A gang that fits across racks but in none of them waits for one only while that pays off.
#[test]
fn gang_is_split_only_if_waiting_for_a_rack_takes_longer() {
    // Run time of the work in the way, and whether the gang waits.
    for (busy_ms, waits) in [(1_000, true), (60_000, false)] {
        // One task on each rack leaves two runners in each.
        let ahead = |rack| arrival(0, "high", near(rack, step(1, WHOLE, busy_ms)));
        let work = arrival(100, "q", gang(3, WHOLE, 2_000));
        let arrivals = vec![ahead(0), ahead(1), work];
        let mut replay = Replay::new(scenario(2, arrivals), LocalityRule::Predicted);
        replay.pass();
        replay.pass();
        let started = running_in(&replay, 2).len();
        assert_eq!(started, if waits { 0 } else { 3 }, "{busy_ms} ms");
        assert_eq!(replay.outcome.begun_waits, usize::from(waits));
        let outcome = replay.run();
        assert_eq!(outcome.ended(WaitEnd::Local), usize::from(waits));
    }
}

/// Runners that are not approved do not shorten the wait for a rack.
#[test]
fn only_approved_runners_count() {
    // Approved runners, and whether the task waits for the first rack.
    let table: [(&[&str], bool); 2] = [(&["w0", "w3"], true), (&["w3"], false)];
    for (approved, waits) in table {
        let mut config = queues();
        for queue in &mut config.queues {
            queue.policy.approval = (queue.name == Name::new("q")).then_some(ApprovalPolicy {
                base_ms: 10.0,
                per_runner_ms: 0.0,
                validity: Millis(60_000),
            });
        }
        let busy = near(0, step(WHOLE_RACK, WHOLE, 1_000));
        let arrivals = vec![
            arrival(0, "high", busy),
            arrival(100, "q", near(0, step(1, WHOLE, 1_000))),
        ];
        let mut replay =
            Replay::with_config(config, scenario(2, arrivals), LocalityRule::Predicted);
        replay.cell.engine.set_approval_hosts(&[Name::new("h")]);
        replay.pass();
        replay.submit_due();
        let now = Millis(replay.cell.now);
        replay.cell.engine.schedule(now);
        let orders = replay.cell.engine.take_orders();
        let request = orders.into_iter().find_map(|order| match order {
            Order::RequestApprovals(request) => Some(request),
            _ => None,
        });
        let request = request.expect("the step needs approvals");
        let rows: Vec<_> = approved
            .iter()
            .map(|id| (Name::new(id), Name::new("ticket")))
            .collect();
        let response = Some((&*rows, Millis(60_000)));
        replay.cell.engine.record_approvals(now, &request, response);
        replay.pass();
        let racks = running_in(&replay, 1);
        assert_eq!(racks.is_empty(), waits, "{approved:?}: {racks:?}");
    }
}

/// Where runs take no longer in another rack, no task waits.
#[test]
fn cell_without_slowdown_never_waits() {
    for work in [near(0, step(1, HALF, 1_000)), gang(5, HALF, 1_000)] {
        let busy = near(0, step(WHOLE_RACK, WHOLE, 600));
        let arrivals = vec![arrival(0, "high", busy), arrival(100, "q", work)];
        let mut replay = Replay::new(scenario(2, arrivals), LocalityRule::Predicted);
        let mut engine = Engine::new(Settings {
            cross_rack_slowdown: 1,
            gang_wait: Millis(3_000),
            ..settings()
        });
        let now = Millis(replay.cell.now);
        engine.configure(queues());
        for entry in racks(2) {
            engine.upsert_runner(now, entry);
        }
        engine.confirm_ownership(now);
        replay.cell.engine = engine;
        replay.cell.commit();
        (0..2 * RUNNERS_PER_RACK).for_each(|ix| replay.cell.report_ends(ix, Vec::new()));
        replay.pass();
        replay.pass();
        assert!(!running_in(&replay, 1).is_empty());
        assert_eq!(replay.outcome.begun_waits, 0);
    }
}

/// Guards against a long-running task that waits for its full rack while another one is empty, for as long as
/// its estimate makes a run elsewhere seem to cost.
#[test]
fn long_running_task_waits_for_its_rack_for_a_moment_only() {
    for work in [step(1, HALF, 30_000), gang(2, HALF, 30_000)] {
        let lasting = StepSpec {
            long_running: true,
            ..near(0, work)
        };
        let count = lasting.count as usize;
        let mut replay = behind_busy_rack(40_000, lasting);
        assert!(running_in(&replay, 1).is_empty());
        (0..30).for_each(|_| replay.pass());
        assert_eq!(running_in(&replay, 1), vec![1; count]);
    }
}
