//! Regression tests of what counts as a failed attempt. A run of a gang is one attempt, however many of
//! its members fail, whenever their ends are learned and whichever owner learns them.

mod one_cell;

use std::{collections::BTreeMap, hash::BuildHasher};

use kspan_jobs::{
    engine::{Event, FailureCause, JobState, RunnerIx},
    record::{FailedRun, OccurrenceProgress, ProgressRecord, RecordKey, TaskProgress, encode},
    runner::{EndKind, EndedTask, InventoryOutcome, RunningTask},
};
use kspan_model::{Name, Resources};
use one_cell::{
    gang::{GangCell, MEMBERS, RUNNERS, gang_spec, member},
    *,
};
use rustc_hash::FxBuildHasher;

/// Returns the progress of a job whose first task alone has any, as earlier versions recorded that of a gang.
fn progress_of_first_member(run: u32, failures: Vec<FailedRun>) -> ProgressRecord {
    ProgressRecord {
        occurrences: vec![OccurrenceProgress {
            number: 0,
            tasks: vec![TaskProgress {
                run,
                failures,
                ..TaskProgress::default()
            }],
        }],
        has_started: true,
        ..ProgressRecord::default()
    }
}

/// Guards against a gang that is given up after one run, because several of its members failed in it.
#[test]
fn gang_run_is_one_attempt_however_many_members_fail() {
    let table: [&[u32]; 4] = [&[0], &[0, 1], &[1, 3], &[0, 1, 2, 3]];
    for failing in table {
        let mut gang = GangCell::new();
        for run in 1..=MAX_ATTEMPTS {
            gang.start();
            assert!(!gang.has_failed(), "{failing:?} before run {run}");
            gang.end_run(run, failing);
        }
        assert!(gang.has_failed(), "{failing:?}");
    }
}

/// Guards against a failed job whose log doesn't tell which of its runs counted.
#[test]
fn failed_job_names_the_runs_that_counted() {
    let failures = |cell: &mut Cell| {
        let causes = cell.engine.take_events().into_iter();
        let causes = causes.filter_map(|event| match event {
            Event::JobFailed { cause, .. } => Some(cause),
            _ => None,
        });
        causes.collect::<Vec<_>>()
    };
    let mut gang = GangCell::new();
    for run in 1..=MAX_ATTEMPTS {
        gang.start();
        assert_eq!(failures(&mut gang.cell), [], "before run {run}");
        gang.end_run(run, &[1, 3]);
    }
    let expected = FailureCause::Attempts {
        task: member(1),
        runs: (1..=MAX_ATTEMPTS).collect(),
    };
    assert_eq!(failures(&mut gang.cell), [expected]);
}

/// Guards against a run of a gang that counts again with each owner that learns of a member's failure.
#[test]
fn gang_run_is_one_attempt_with_a_new_owner_between_two_ends() {
    let mut gang = GangCell::new();
    for run in 1..=MAX_ATTEMPTS {
        gang.start();
        gang.end(2, run, EndKind::Failed);
        assert_eq!(gang.has_failed(), run == MAX_ATTEMPTS, "run {run}");
        if run == MAX_ATTEMPTS {
            break;
        }
        for index in [0, 1, 3] {
            gang.take_over();
            gang.end(index, run, EndKind::Failed);
            assert!(!gang.has_failed(), "run {run}, member {index}");
        }
        gang.answer_all();
    }
}

/// Guards against a run of a gang that counts again when a member's failure is learned during the next run.
#[test]
fn gang_run_is_one_attempt_if_an_end_is_learned_during_the_next_run() {
    let mut gang = GangCell::new();
    gang.start();
    gang.end(0, 1, EndKind::Failed);
    // The runner of member 3 does not answer until its lease has expired.
    let silent = gang.runners[&3];
    for index in [1, 2] {
        gang.end(index, 1, EndKind::GangBroken);
    }
    for _ in 0..20 {
        let silence = &InventoryOutcome::NoResponse;
        gang.cell.complete_inventory_call(silent, silence);
        gang.cell.advance(500);
        gang.cell.engine.take_orders();
    }
    let late = BTreeMap::from([(3, silent)]);
    let before = std::mem::replace(&mut gang.runners, late);
    for run in 1..=2 {
        gang.end(3, run, EndKind::Failed);
    }
    gang.runners = before;
    assert!(!gang.has_failed(), "2 runs have failed, of {MAX_ATTEMPTS}");
    for run in 3..=MAX_ATTEMPTS {
        gang.end(0, run, EndKind::Failed);
    }
    assert!(gang.has_failed());
}

/// Guards against records that hold a failure of each member of one run, as earlier versions wrote them.
#[test]
fn stored_failures_of_one_gang_run_are_one_attempt() {
    let failed = |run, incarnation| FailedRun { run, incarnation };
    // Recorded failures, and the number of further failed runs after which the job fails.
    let table: [(&[FailedRun], u32); 3] = [
        (&[failed(1, 11), failed(1, 12), failed(1, 13)], 3),
        (&[failed(1, 11), failed(2, 12), failed(2, 13)], 2),
        (&[failed(1, 11), failed(2, 11), failed(3, 11)], 1),
    ];
    for (failures, further) in table {
        let mut gang = GangCell::new();
        let latest = failures.last().map_or(0, |failed| failed.run);
        let progress = progress_of_first_member(latest, failures.to_vec());
        let key = RecordKey::Progress(JOB).to_string();
        gang.cell.store.insert(key, encode(&progress));
        gang.take_over();
        gang.answer_all();
        for run in 1..=further {
            assert!(!gang.has_failed(), "{failures:?} before run {run}");
            gang.start();
            gang.end_run(latest + run, &[1, 2]);
        }
        assert!(gang.has_failed(), "{failures:?}");
    }
}

/// Guards against a run of a gang that counts again after an upgrade: the record of the earlier version has
/// the failure of another member at the first one, whose own failure is reported to the new owner.
#[test]
fn gang_run_is_one_attempt_if_its_failures_are_learned_before_and_after_an_upgrade() {
    // The members whose failures the earlier version recorded, and those whose failures the new owner learns.
    let table: [(&[u32], &[u32]); 4] = [
        (&[2], &[0]),
        (&[2, 3], &[0]),
        (&[2], &[0, 1, 2, 3]),
        (&[2, 3, 0], &[3, 0]),
    ];
    for (recorded, reported) in table {
        let mut gang = GangCell::new();
        gang.start();
        let failures = recorded.iter().map(|index| FailedRun {
            run: 1,
            incarnation: FxBuildHasher.hash_one(RUNNERS[gang.runners[index]]),
        });
        let progress = progress_of_first_member(1, failures.collect());
        let key = RecordKey::Progress(JOB).to_string();
        gang.cell.store.insert(key, encode(&progress));
        gang.take_over();
        for index in reported {
            gang.end(*index, 1, EndKind::Failed);
        }
        gang.answer_all();
        for run in 2..=MAX_ATTEMPTS {
            assert!(!gang.has_failed(), "{recorded:?} before run {run}");
            gang.start();
            gang.end_run(run, &[1, 2]);
        }
        assert!(gang.has_failed(), "{recorded:?}");
    }
}

/// Guards against a lost member that makes its gang's run count as more than one attempt.
#[test]
fn gang_run_with_a_failed_and_a_lost_member_is_one_attempt() {
    let lost: [(&str, InventoryOutcome); 2] = [
        ("crashed", InventoryOutcome::OtherIncarnation),
        ("silent", InventoryOutcome::NoResponse),
    ];
    for (name, outcome) in lost {
        for is_failure_first in [true, false] {
            let mut gang = GangCell::new();
            gang.start();
            if is_failure_first {
                gang.end(0, 1, EndKind::Failed);
            }
            let runner_ix = gang.runners[&1];
            gang.cell.complete_inventory_call(runner_ix, &outcome);
            gang.cell.advance(100);
            if !is_failure_first {
                gang.end(0, 1, EndKind::Failed);
            }
            for index in [2, 3] {
                gang.end(index, 1, EndKind::Failed);
            }
            let case = format!("{name}, failure first: {is_failure_first}");
            assert!(!gang.has_failed(), "{case}");
            // Two more runs fail, and the last one allowed is the fourth.
            for run in 2..MAX_ATTEMPTS {
                gang.end(0, run, EndKind::Failed);
                assert!(!gang.has_failed(), "{case}, run {run}");
            }
            gang.end(0, MAX_ATTEMPTS, EndKind::Failed);
            assert!(gang.has_failed(), "{case}");
        }
    }
}

/// Guards against a start beyond the allowed attempts where two owners gave runs the same number: a member
/// that failed twice has failed in two runs.
#[test]
fn gang_runs_of_two_owners_with_the_same_number_are_two_attempts() {
    let mut gang = GangCell::new();
    for runner_ix in 0..RUNNERS.len() - 1 {
        gang.runners = BTreeMap::from([(0, runner_ix)]);
        gang.end(0, 1, EndKind::Failed);
        assert!(!gang.has_failed(), "{} runs", runner_ix + 1);
    }
    gang.runners = BTreeMap::from([(0, RUNNERS.len() - 1)]);
    gang.end(0, 1, EndKind::Failed);
    assert!(gang.has_failed());
}

/// Guards against a failure that is lost with the owner, because the record with it is not written again.
#[test]
fn failed_member_of_a_large_gang_counts_with_the_next_owner() {
    let count = 2_000;
    let mut wide = entry("w0");
    wide.capacity = Resources::new(1_000_000, 1_000_000, 0);
    let mut cell = Cell::with_runners(config(), [wide]);
    let mut spec = gang_spec();
    spec.steps[0].count = count;
    spec.steps[0].size = Resources::new(1, 1, 0);
    cell.submit_spec(PATH, spec);
    for run in 1..=MAX_ATTEMPTS {
        let end = EndedTask {
            task: member(count - run),
            ..failed_end(1, run)
        };
        cell.report_ends(0, vec![end]);
        cell.commit();
        let state = cell.engine.job_state(JOB);
        let has_failed = state == Some(JobState::Failed);
        assert_eq!(has_failed, run == MAX_ATTEMPTS, "run {run}");
        cell.recover();
        cell.commit();
    }
}

/// Guards against a job that fails although its task is done, because earlier runs are learned to have failed.
#[test]
fn failures_learned_after_a_task_is_done_do_not_fail_its_job() {
    for is_gang in [false, true] {
        let mut cell = Cell::new(&RUNNERS);
        let mut spec = gang_spec();
        spec.steps[0].gang = is_gang;
        let mut later = spec.steps[0].clone();
        later.depends_on = vec![0];
        spec.steps.push(later);
        cell.submit_spec(PATH, spec);
        for index in 0..MEMBERS {
            let done = EndedTask {
                how: EndKind::Done,
                task: member(index),
                ..failed_end(u64::from(index) + 1, 9)
            };
            cell.report_ends(0, vec![done]);
        }
        let failures = (1..=MAX_ATTEMPTS).map(|run| failed_end(u64::from(run), run));
        cell.report_ends(1, failures.collect());
        cell.commit();
        let state = cell.engine.job_state(JOB);
        assert_ne!(state, Some(JobState::Failed), "gang: {is_gang}");
    }
}

/// Guards against a member's run that is taken for another one after its runner reported it.
#[test]
fn adopted_gang_run_that_fails_is_one_attempt() {
    let mut gang = GangCell::new();
    gang.start();
    gang.take_over();
    for index in 0..MEMBERS {
        let running = RunningTask {
            task: member(index),
            run: 1,
            checkpoint: Name::default(),
            percent: 10,
            load: 0,
        };
        let runner_ix = gang.runners[&index];
        gang.cell
            .report_inventory(runner_ix, vec![running], Vec::new());
    }
    gang.end_run(1, &[0, 1, 2, 3]);
    assert!(!gang.has_failed());
    assert_eq!(gang.cell.engine.used(RunnerIx(0)), Resources::ZERO);
}
