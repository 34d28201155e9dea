//! Quotas, shares, pre-emption and waves of cancellations.

mod common;

use common::{batch, cell, cores, plan, starts, team, worker};
use kspan_model::{
    JobId, Millis, Name, Priority,
    document::{Policy, Preset, TaskShape},
};
use kspan_placement::{Cell, Decision, End, JobSpec, WaitReason};

fn of_team(name: &str, spec: JobSpec) -> JobSpec {
    JobSpec {
        team: Name::new(name),
        ..spec
    }
}

fn checkpointed(spec: JobSpec) -> JobSpec {
    let size = spec.shape.size;
    JobSpec {
        shape: TaskShape {
            size,
            checkpoint: true,
        },
        ..spec
    }
}

fn two_teams(workers: u32, borrow: bool) -> Cell {
    let quota = cores(u64::from(workers) * 2);
    let teams = [team("a", quota, borrow), team("b", quota, borrow)];
    let mut cell = Cell::new(Policy::new(Preset::WaitingFirst)).with_teams(&teams);
    for number in 0..workers {
        cell.upsert_worker(worker(number, cores(4)));
    }
    cell
}

#[test]
fn a_team_without_borrowing_stays_within_its_quota_and_is_told_so() {
    let mut cell = two_teams(4, false);
    cell.submit(of_team("a", batch(1, 4, cores(4))));
    assert_eq!(starts(&plan(&mut cell, 1)).len(), 2);
    assert!(matches!(
        cell.explain(JobId(1)),
        Some(WaitReason::Quota { .. })
    ));
}

#[test]
fn teams_share_what_is_contended() {
    let mut cell = two_teams(8, true);
    cell.submit(of_team("a", batch(1, 100, cores(1))));
    cell.submit(of_team("b", batch(2, 100, cores(1))));
    plan(&mut cell, 1);
    for share in cell.shares() {
        let part = share.committed.cpu_milli as f64 / 32_000.0;
        assert!((0.4..=0.6).contains(&part), "{share:?}");
    }
}

#[test]
fn a_team_takes_back_what_another_borrows() {
    let mut cell = two_teams(4, true);
    cell.submit(checkpointed(of_team("a", batch(1, 4, cores(4)))));
    for start in starts(&plan(&mut cell, 1)) {
        cell.record_start(start.task, Millis(1));
    }
    cell.submit(of_team("b", batch(2, 2, cores(4))));
    assert!(
        plan(&mut cell, 9_000).is_empty(),
        "the borrower has some grace"
    );
    let decisions = plan(&mut cell, 11_000);
    let preempted: Vec<_> = decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Preempt {
                task, checkpoint, ..
            } => Some((*task, *checkpoint)),
            _ => None,
        })
        .collect();
    assert_eq!(
        preempted.len(),
        2,
        "the borrower keeps its quota: {decisions:?}"
    );
    for (task, checkpoint) in preempted {
        assert!(checkpoint);
        cell.record_end(task, End::Checkpointed, Millis(11_100));
    }
    let begun = starts(&plan(&mut cell, 11_200));
    assert_eq!(begun.len(), 2);
    assert!(begun.iter().all(|start| start.task.job == JobId(2)));
}

#[test]
fn urgent_work_takes_the_place_of_work_that_can_be_checkpointed() {
    let mut cell = cell(2, cores(4));
    cell.submit(batch(1, 1, cores(4)));
    cell.submit(checkpointed(batch(2, 1, cores(4))));
    for start in starts(&plan(&mut cell, 1)) {
        cell.record_start(start.task, Millis(1));
    }
    cell.submit(JobSpec {
        priority: Priority::Urgent,
        submitted: Millis(100),
        ..batch(3, 1, cores(2))
    });
    let decisions = plan(&mut cell, 400);
    let Some(Decision::Preempt {
        task, checkpoint, ..
    }) = decisions.first()
    else {
        panic!("something makes room: {decisions:?}");
    };
    assert_eq!((task.job, *checkpoint), (JobId(2), true));
    cell.record_end(*task, End::Checkpointed, Millis(500));
    let begun = starts(&plan(&mut cell, 510));
    assert_eq!(begun[0].task.job, JobId(3));
}

#[test]
fn a_wave_of_cancellations_costs_no_other_team_its_turn() {
    let order = |wave: bool| {
        let mut cell = two_teams(4, true);
        for number in 0..400 {
            cell.submit(of_team("b", batch(100_000 + number, 1, cores(2))));
        }
        if wave {
            for number in 0..10_000 {
                cell.submit(of_team("a", batch(number, 1, cores(2))));
            }
            for number in 0..10_000 {
                cell.cancel(JobId(number));
            }
        }
        let begun = starts(&plan(&mut cell, 1));
        begun.iter().map(|start| start.task.job).collect::<Vec<_>>()
    };
    assert_eq!(order(true), order(false));
}

#[test]
fn waiting_work_rises_until_it_runs_before_a_flood_of_higher_priority() {
    let mut cell = cell(1, cores(4));
    cell.submit(JobSpec {
        priority: Priority::Low,
        ..batch(1, 1, cores(4))
    });
    let mut low_ran = false;
    for round in 0..100_u64 {
        let now = round * 30_000;
        cell.submit(JobSpec {
            priority: Priority::High,
            submitted: Millis(now),
            run_time: Millis(1_000),
            ..batch(10 + u128::from(round), 2, cores(4))
        });
        for start in starts(&plan(&mut cell, now)) {
            low_ran |= start.task.job == JobId(1);
            cell.record_end(start.task, End::Succeeded, Millis(now + 10));
        }
    }
    assert!(low_ran);
}
