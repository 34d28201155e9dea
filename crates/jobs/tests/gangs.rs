//! Regression tests for runs of gangs that can't become whole: the owner stops the rest as soon as it knows, and
//! stops none that may still become whole. One test or case for each way in which a member's run isn't there.

mod one_cell;

use std::collections::BTreeSet;

use kspan_jobs::runner::{EndKind, InventoryOutcome, Refusal, StartOutcome};
use kspan_model::Millis;
use one_cell::{
    gang::{GangCell, MEMBERS, RUNNERS, gang_spec},
    *,
};

/// Index of the member that is not there.
const LAST: u32 = MEMBERS - 1;

/// Time between two ticks after which the ownership has to be confirmed, in milliseconds.
const LONG_GAP_MS: u64 = 700;

/// Returns the indexes of all other members.
fn others() -> BTreeSet<u32> {
    (0..LAST).collect()
}

/// Returns whether all other members are among those.
fn are_others_in(stopped: &BTreeSet<u32>) -> bool {
    others().is_subset(stopped)
}

/// Checks that a whole gang is not stopped for longer than its members would wait for another.
fn assert_goes_on(gang: &mut GangCell) {
    let all: Vec<u32> = (0..MEMBERS).collect();
    for _ in 0..50 {
        assert!(gang.stopped().is_empty());
        gang.list(&all, 1);
        gang.cell.advance(100);
    }
}

/// Guards against members that wait in vain for one whose start did not succeed.
#[test]
fn gang_is_stopped_when_a_member_does_not_start() {
    let table = [
        StartOutcome::InDoubt,
        StartOutcome::Withdrawn,
        StartOutcome::OtherIncarnation,
        StartOutcome::Refused(Refusal::DeadlinePassed),
        StartOutcome::Refused(Refusal::NoCapacity),
        StartOutcome::Refused(Refusal::InvalidTicket),
        StartOutcome::Refused(Refusal::Unhealthy),
        StartOutcome::Refused(Refusal::Malformed),
    ];
    for outcome in table {
        let mut gang = GangCell::new();
        let last = gang.start_but_last();
        assert!(gang.stopped().is_empty(), "{outcome:?}");
        gang.record_start(&last, outcome);
        assert!(are_others_in(&gang.stopped()), "{outcome:?}");
    }
}

/// Guards against the same while no scheduling pass decides anything, because the ownership has not been confirmed
/// since a gap between ticks.
#[test]
fn gang_is_stopped_while_the_ownership_is_not_confirmed() {
    let mut gang = GangCell::new();
    let last = gang.start_but_last();
    gang.cell.now += LONG_GAP_MS;
    gang.tick();
    gang.record_start(&last, StartOutcome::InDoubt);
    gang.cell.now += 100;
    gang.tick();
    assert!(are_others_in(&gang.stopped()));
}

/// Guards against the same where the outcome leaves it to the inventory.
#[test]
fn gang_is_stopped_when_a_stale_start_is_not_listed() {
    let mut gang = GangCell::new();
    let last = gang.start_but_last();
    gang.record_start(&last, StartOutcome::Refused(Refusal::StaleRun));
    assert!(gang.stopped().is_empty(), "the run may have started");
    gang.cell.report_ends(last.runner_ix.0, Vec::new());
    assert!(are_others_in(&gang.stopped()));
}

/// Guards against members that wait in vain for one whose run has ended or is lost.
#[test]
fn gang_is_stopped_when_the_run_of_a_member_is_over() {
    let ends = [
        EndKind::Failed,
        EndKind::Stopped,
        EndKind::LeaseExpired,
        EndKind::GangBroken,
        EndKind::GangIncomplete,
    ];
    for how in ends {
        let mut gang = GangCell::new();
        gang.start();
        gang.end(LAST, 1, how);
        assert!(are_others_in(&gang.stopped()), "{how:?}");
    }
    let mut gang = GangCell::new();
    gang.start();
    gang.cell.report_ends(gang.runners[&LAST], Vec::new());
    assert!(are_others_in(&gang.stopped()), "not listed");
    let mut gang = GangCell::new();
    gang.start();
    let ended = InventoryOutcome::OtherIncarnation;
    let runner_ix = gang.runners[&LAST];
    gang.cell.complete_inventory_call(runner_ix, &ended);
    assert!(are_others_in(&gang.stopped()), "runner ended");
}

/// Guards against members that wait for one on a runner whose lease has expired.
#[test]
fn gang_is_stopped_when_the_lease_of_a_member_has_expired() {
    let mut gang = GangCell::new();
    gang.start();
    let all: Vec<u32> = (0..LAST).collect();
    let silent = gang.runners[&LAST];
    for waited in (0..20_000).step_by(500) {
        gang.cell
            .complete_inventory_call(silent, &InventoryOutcome::NoResponse);
        gang.list(&all, 1);
        gang.cell.advance(500);
        if are_others_in(&gang.stopped()) {
            assert!(waited > 5_000, "the run may be there after {waited} ms");
            return;
        }
    }
    panic!("the rest of the gang is not stopped within 20 s");
}

/// Guards against members that wait for one whose order is not answered, or waits behind others.
#[test]
fn gang_is_stopped_before_its_members_have_waited_too_long() {
    let mut gang = GangCell::new();
    gang.start_but_last();
    let all: Vec<u32> = (0..LAST).collect();
    for waited in (0..GANG_WAIT.0).step_by(100) {
        if are_others_in(&gang.stopped()) {
            assert!(waited > GANG_WAIT.0 / 2, "stopped after {waited} ms");
            return;
        }
        gang.list(&all, 1);
        gang.cell.advance(100);
    }
    panic!("members have waited for {} ms", GANG_WAIT.0);
}

/// Guards against a gang that is stopped although its last member starts late, but in time.
#[test]
fn gang_whose_last_member_starts_late_goes_on() {
    let mut gang = GangCell::new();
    let last = gang.start_but_last();
    gang.cell.advance(GANG_WAIT.0 / 2);
    gang.record_start(&last, StartOutcome::Started(Millis(gang.cell.now)));
    assert_goes_on(&mut gang);
}

/// Guards against a whole gang that is stopped because the answer to one of its start orders was lost.
#[test]
fn gang_goes_on_if_a_member_without_an_answer_is_listed() {
    let mut gang = GangCell::new();
    let last = gang.start_but_last();
    gang.list(&[LAST], 1);
    gang.record_start(&last, StartOutcome::InDoubt);
    assert_goes_on(&mut gang);
}

/// Guards against members that a new owner adopts and that wait for one that the former owner did not start.
#[test]
fn gang_adopted_in_part_is_stopped_once_the_rest_is_known_to_be_nowhere() {
    let mut gang = GangCell::new();
    gang.start();
    gang.take_over();
    let adopted: Vec<u32> = (0..LAST).collect();
    gang.list(&adopted, 1);
    assert!(
        gang.stopped().is_empty(),
        "the runner of the last member has not answered"
    );
    let last_runner = gang.runners[&LAST];
    gang.cell.report_ends(last_runner, Vec::new());
    assert!(are_others_in(&gang.stopped()));
}

/// Guards against a whole gang that a new owner stops while it learns where its members are.
#[test]
fn gang_adopted_as_a_whole_goes_on() {
    let mut gang = GangCell::new();
    gang.start();
    gang.take_over();
    for index in 0..MEMBERS {
        gang.list(&[index], 1);
        assert!(gang.stopped().is_empty(), "member {index}");
        gang.cell.advance(500);
    }
    assert_goes_on(&mut gang);
}

/// Guards against members that wait in vain for others which a silent runner may have: their owner was lost while the
/// gang started, and the next one adopts some of them without knowing for how long they have waited.
#[test]
fn gang_adopted_in_part_is_stopped_in_time_while_a_runner_is_silent() {
    let gaps_ms = [0, 500, 1_000, 1_500, 2_000];
    let rows = [(0, ""), (40, "resumed")];
    for (gap_ms, (percent, checkpoint)) in gaps_ms
        .into_iter()
        .flat_map(|gap_ms| rows.map(|row| (gap_ms, row)))
    {
        let mut gang = GangCell::new();
        gang.order();
        let started = gang.cell.now;
        gang.cell.now += gap_ms;
        gang.take_over();
        let (silent, without_run) = (gang.runners[&LAST], gang.runners[&2]);
        let is_stopped = loop {
            gang.list_with_progress(&[0, 1], 1, percent, checkpoint);
            gang.cell.report_ends(without_run, Vec::new());
            gang.cell
                .complete_inventory_call(silent, &InventoryOutcome::NoResponse);
            if gang.stopped() == BTreeSet::from([0, 1]) {
                break true;
            }
            if gang.cell.now >= started + GANG_WAIT.0 {
                break false;
            }
            gang.cell.advance(100);
        };
        let waited = gang.cell.now - started;
        assert!(
            is_stopped && waited < GANG_WAIT.0,
            "{percent}%: owner after {gap_ms} ms, members have waited for {waited} ms"
        );
    }
}

/// Guards against the same while the runners that may have the others have not been called yet.
#[test]
fn gang_adopted_in_part_is_stopped_in_time_before_all_runners_are_called() {
    let mut gang = GangCell::new();
    gang.order();
    gang.take_over();
    for waited in (0..GANG_WAIT.0).step_by(100) {
        if gang.stopped() == BTreeSet::from([0, 1]) {
            assert!(waited > GANG_WAIT.0 / 2, "stopped after {waited} ms");
            return;
        }
        gang.list(&[0, 1], 1);
        gang.cell.advance(100);
    }
    panic!("members have waited for {} ms", GANG_WAIT.0);
}

/// Guards against a gang at work that a new owner stops because the runner of a member does not answer.
#[test]
fn gang_at_work_goes_on_while_a_runner_is_silent() {
    // Progress in the first row and in the later ones, in percent, and the checkpoint.
    let rows = [(0, 1, ""), (40, 41, "resumed"), (1, 1, "")];
    for (adopted_at, later, checkpoint) in rows {
        let mut gang = GangCell::new();
        gang.start();
        gang.take_over();
        let silent = gang.runners[&LAST];
        let adopted: Vec<u32> = (0..LAST).collect();
        let mut percent = adopted_at;
        for _ in 0..GANG_WAIT.0 / 100 {
            gang.list_with_progress(&adopted, 1, percent, checkpoint);
            gang.cell
                .complete_inventory_call(silent, &InventoryOutcome::NoResponse);
            assert!(gang.stopped().is_empty(), "{adopted_at}%, then {later}%");
            gang.cell.advance(100);
            percent = later;
        }
        gang.list_with_progress(&[LAST], 1, percent, checkpoint);
        assert_goes_on(&mut gang);
    }
}

/// Guards against the same where the members are long-running, and report no progress.
#[test]
fn long_running_gang_goes_on_while_a_runner_is_silent() {
    let mut spec = gang_spec();
    spec.steps[0].long_running = true;
    let mut gang = GangCell::with_spec(spec);
    gang.start();
    gang.take_over();
    let silent = gang.runners[&LAST];
    let adopted: Vec<u32> = (0..LAST).collect();
    for _ in 0..GANG_WAIT.0 / 100 {
        gang.list(&adopted, 1);
        gang.cell
            .complete_inventory_call(silent, &InventoryOutcome::NoResponse);
        assert!(gang.stopped().is_empty());
        gang.cell.advance(100);
    }
    gang.list(&[LAST], 1);
    assert_goes_on(&mut gang);
}

/// Guards against members that wait, after a takeover, for one whose end a runner lists while others have not
/// answered.
#[test]
fn gang_adopted_in_part_is_stopped_when_the_rest_has_ended() {
    let mut gang = GangCell::new();
    gang.start();
    gang.take_over();
    gang.list(&[0, 1], 1);
    assert!(gang.stopped().is_empty());
    gang.end(LAST, 1, EndKind::LeaseExpired);
    assert_eq!(gang.stopped(), BTreeSet::from([0, 1]));
}

/// Guards against members that wait for each other in different runs, which two takeovers can leave.
#[test]
fn gang_adopted_in_different_runs_is_stopped() {
    let mut gang = GangCell::new();
    gang.start();
    gang.take_over();
    gang.list(&[0, 1], 2);
    gang.list(&[2], 1);
    assert_eq!(gang.stopped(), BTreeSet::from([0, 1, 2]));
}

/// Guards against a member that gets as few attempts as a single task, which can start elsewhere, or whose order is
/// sent for longer than the others wait.
#[test]
fn start_of_a_member_is_sent_for_a_part_of_the_time_that_others_wait() {
    let mut gang = GangCell::new();
    for order in gang.order() {
        assert!(order.is_persistent);
        assert_eq!(order.valid_for, Millis(GANG_WAIT.0 / 2));
    }
}

/// Guards against members of a later run that wait for each other, or work, although an earlier run is done: its end
/// was learned after its runner had been silent.
#[test]
fn later_run_is_stopped_when_an_earlier_one_is_done() {
    let mut gang = GangCell::new();
    gang.start();
    let first = gang.runners.clone();
    for index in 0..MEMBERS {
        gang.cell.report_ends(first[&index], Vec::new());
    }
    gang.start_but_last();
    gang.runners = first;
    gang.end(0, 1, EndKind::Done);
    assert!(are_others_in(&gang.stopped()));
}

/// Guards against members that are stopped although one of them has reported that the run is done.
#[test]
fn members_of_a_run_that_is_done_are_not_stopped() {
    let mut gang = GangCell::new();
    gang.start();
    gang.end(0, 1, EndKind::Done);
    assert!(gang.stopped().is_empty());
}

/// Guards against a second run of a member beside one that was stopped with its gang.
#[test]
fn gang_starts_again_once_all_members_are_gone() {
    let mut gang = GangCell::new();
    let last = gang.start_but_last();
    gang.record_start(&last, StartOutcome::InDoubt);
    let stopped = gang.stopped();
    assert_eq!(stopped.len(), MEMBERS as usize);
    for index in 0..LAST {
        gang.cell.advance(300);
        assert!(gang.cell.schedule().is_empty(), "member {index} may run");
        gang.end(index, 1, EndKind::Stopped);
    }
    gang.cell.advance(300);
    assert!(gang.cell.schedule().is_empty(), "the last one may run");
    gang.end(LAST, 1, EndKind::Stopped);
    gang.cell.advance(300);
    assert_eq!(gang.cell.schedule().len(), RUNNERS.len());
}
