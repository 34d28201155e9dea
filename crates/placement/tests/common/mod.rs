//! Builders shared by the tests.
#![allow(dead_code)] // Each test file uses a part of them.

use kspan_model::{
    JobId, Millis, Name, Priority, Resources, Site,
    document::{Policy, Preset, Spread, TaskShape, Team},
};
use kspan_placement::{Cell, Decision, JobKind, JobSpec, Start, WorkerSpec};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub(crate) fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(4)
}

pub(crate) fn cores(cores: u64) -> Resources {
    Resources::new(cores * 1_000, cores * 4_096, 0)
}

pub(crate) fn accelerated(cores: u64, accelerators: u64) -> Resources {
    Resources::new(cores * 1_000, cores * 4_096, accelerators)
}

pub(crate) fn team(name: &str, quota: Resources, borrow: bool) -> Team {
    Team {
        name: Name::new(name),
        quota,
        weight: 1.0,
        borrow,
    }
}

pub(crate) fn worker(number: u32, capacity: Resources) -> WorkerSpec {
    WorkerSpec {
        name: Name::from(format!("worker-{number}")),
        rack: Name::from(format!("rack-{}", number / 8)),
        site: Site::new("Vestland", "vestland-1"),
        capacity,
    }
}

/// Returns a cell of equal workers with one team `a` that may borrow.
pub(crate) fn cell(workers: u32, capacity: Resources) -> Cell {
    let teams = [team("a", Resources::new(1 << 40, 1 << 40, 1 << 40), true)];
    let mut cell = Cell::new(Policy::new(Preset::WaitingFirst)).with_teams(&teams);
    for number in 0..workers {
        cell.upsert_worker(worker(number, capacity));
    }
    cell
}

pub(crate) fn batch(id: u128, tasks: u32, size: Resources) -> JobSpec {
    JobSpec {
        id: JobId(id),
        workload: Name::new("reconcile"),
        team: Name::new("a"),
        priority: Priority::Normal,
        kind: JobKind::Batch,
        tasks,
        shape: TaskShape {
            size,
            checkpoint: false,
        },
        run_time: Millis::from_secs(60),
        retries: 2,
        spread: Spread::None,
        submitted: Millis(0),
    }
}

pub(crate) fn gang(id: u128, tasks: u32, size: Resources, rack_near: bool) -> JobSpec {
    JobSpec {
        kind: JobKind::Gang { rack_near },
        ..batch(id, tasks, size)
    }
}

pub(crate) fn service(id: u128, tasks: u32, size: Resources) -> JobSpec {
    JobSpec {
        kind: JobKind::Service,
        run_time: Millis::ZERO,
        spread: Spread::Rack,
        ..batch(id, tasks, size)
    }
}

pub(crate) fn starts(decisions: &[Decision]) -> Vec<Start> {
    let starts = decisions.iter().filter_map(|decision| match decision {
        Decision::Start(start) => Some(start.clone()),
        _ => None,
    });
    starts.collect()
}

pub(crate) fn plan(cell: &mut Cell, now: u64) -> Vec<Decision> {
    cell.plan(Millis(now), &mut rng(), 10_000)
}
