//! Quotas, shares, preemption, promotion and bulk cancellation.

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
fn team_without_borrowing_stays_within_quota_and_explains_it() {
    let mut cell = two_teams(4, false);
    cell.submit(of_team("a", batch(1, 4, cores(4))));
    assert_eq!(starts(&plan(&mut cell, 1)).len(), 2);
    assert!(matches!(
        cell.explain(JobId(1)),
        Some(WaitReason::Quota { .. })
    ));
}

#[test]
fn teams_share_contended_capacity_evenly() {
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
fn team_within_quota_reclaims_borrowed_capacity() {
    let mut cell = two_teams(4, true);
    cell.submit(checkpointed(of_team("a", batch(1, 4, cores(4)))));
    for start in starts(&plan(&mut cell, 1)) {
        cell.record_start(start.task, Millis(1));
    }
    cell.submit(of_team("b", batch(2, 2, cores(4))));
    assert!(
        plan(&mut cell, 9_000).is_empty(),
        "nothing is reclaimed before the waiting time is over"
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
    let started = starts(&plan(&mut cell, 11_200));
    assert_eq!(started.len(), 2);
    assert!(started.iter().all(|start| start.task.job == JobId(2)));
}

#[test]
fn urgent_task_preempts_checkpointable_task() {
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
        panic!("expected a preemption: {decisions:?}");
    };
    assert_eq!((task.job, *checkpoint), (JobId(2), true));
    cell.record_end(*task, End::Checkpointed, Millis(500));
    let started = starts(&plan(&mut cell, 510));
    assert_eq!(started[0].task.job, JobId(3));
}

#[test]
fn bulk_cancellation_does_not_change_start_order_of_other_team() {
    let order = |bulk_cancel: bool| {
        let mut cell = two_teams(4, true);
        for number in 0..400 {
            cell.submit(of_team("b", batch(100_000 + number, 1, cores(2))));
        }
        if bulk_cancel {
            for number in 0..10_000 {
                cell.submit(of_team("a", batch(number, 1, cores(2))));
            }
            for number in 0..10_000 {
                cell.cancel(JobId(number));
            }
        }
        let started = starts(&plan(&mut cell, 1));
        started
            .iter()
            .map(|start| start.task.job)
            .collect::<Vec<_>>()
    };
    assert_eq!(order(true), order(false));
}

#[test]
fn low_priority_job_is_promoted_past_a_flood_of_higher_priority() {
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
