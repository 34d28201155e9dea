//! Cost of the decisions: time and memory at the size that decides the design.

use std::time::Instant;

use hdrhistogram::Histogram;
use kspan_model::{JobId, Millis, Resources, TaskId, document::Policy};
use kspan_placement::{Cell, End, InventoryEntry, JobKind, JobSpec, TaskState, WorkerSpec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    Comparison, Figure,
    filled::{Bench, job, teams, worker},
};

/// Workers of the size that decides the design.
const WORKERS: u32 = 7_600;
/// Running tasks of that size.
const RUNNING: u32 = 32_000;
/// Data centres of that size, each with an owner of its own.
const DATA_CENTRES: u32 = 14;
/// Jobs of one day of that size.
const JOBS_A_DAY: u32 = 110_000;
/// Jobs that wait while placements are measured.
const QUEUED: u32 = 30_000;
/// Placements that are measured.
const PLACEMENTS: u32 = 60_000;
/// Time between two ends at 3,100 starts a second, in microseconds.
const MICROS_PER_START: u64 = 322;
/// Gangs that are measured.
const GANGS: u128 = 9;

/// Returns every figure of cost, and the mean cost of a placement by number of workers.
pub(crate) fn figures() -> (Vec<Figure>, Vec<(f64, f64)>) {
    let memory = memory();
    let costs = [760, 2_400, WORKERS].map(|workers| (workers, placements(workers)));
    let (small, large) = (&costs[0].1, &costs[2].1);
    let first_fit = first_fit_cost();
    let figures = vec![
        at_most("placement.mean", large.mean_us, "us", 20.0)
            .with_baseline("a first-fit scan", first_fit),
        at_most("placement.p99", large.p99_us, "us", 200.0),
        at_least("placement.per-second", 1e6 / large.mean_us, "1/s", 50_000.0),
        at_most(
            "placement.growth-760-to-7600",
            large.mean_us / small.mean_us,
            "x",
            1.5,
        ),
        at_most("gang.256-tasks", gang_ms(), "ms", 5.0),
        at_most("cancel.10000-queued", cancel_ms(), "ms", 20.0),
        at_most("rebuild.7600-workers", rebuild_ms(), "ms", 250.0),
        at_most("memory.shard-of-14", memory, "MiB", 64.0),
    ];
    let curve = costs
        .iter()
        .map(|(workers, cost)| (f64::from(*workers), cost.mean_us));
    (figures, curve.collect())
}

fn at_most(name: &str, measured: f64, unit: &'static str, target: f64) -> Figure {
    Figure::new(name, measured, unit, Comparison::AtMost, target)
}

fn at_least(name: &str, measured: f64, unit: &'static str, target: f64) -> Figure {
    Figure::new(name, measured, unit, Comparison::AtLeast, target)
}

struct Cost {
    mean_us: f64,
    p99_us: f64,
}

/// Measures placements with a full queue: each time one task ends, and a plan follows.
fn placements(workers: u32) -> Cost {
    let mut bench = Bench::new(workers);
    bench.fill(QUEUED);
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are allowed");
    let (mut nanos, mut starts) = (0, 0);
    while starts < u64::from(PLACEMENTS) {
        let picked = bench.rng.random_range(0..bench.running.len());
        let task = bench.running.swap_remove(picked);
        bench.micros += MICROS_PER_START;
        let now = Millis(bench.micros / 1_000);
        let begin = Instant::now();
        bench.cell.record_end(task, End::Succeeded, now);
        let decisions = bench.cell.plan(now, &mut bench.rng, 1_000);
        let spent = nanos_since(begin);
        let started = bench.keep(&decisions);
        nanos += spent;
        starts += started;
        histogram
            .record(spent / started.max(1))
            .expect("the histogram grows");
        bench.refill(QUEUED);
    }
    Cost {
        mean_us: nanos as f64 / starts as f64 / 1e3,
        p99_us: histogram.value_at_quantile(0.99) as f64 / 1e3,
    }
}

/// Measures the mean cost of a scan for the first worker with room, nine in ten being full.
fn first_fit_cost() -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let free: Vec<Resources> = (0..WORKERS)
        .map(|_| {
            let cores = if rng.random_bool(0.9) { 0 } else { 16 };
            Resources::new(cores * 1_000, 4_096, 0)
        })
        .collect();
    let rounds = 2_000;
    let begin = Instant::now();
    let mut found = 0;
    for round in 0..rounds {
        let need = Resources::new(8_000, 8_192 * u64::from(round % 2 == 0), 0);
        let fits = |room: &&Resources| need.fits_in(**room);
        found += usize::from(std::hint::black_box(&free).iter().find(fits).is_some());
    }
    std::hint::black_box(found);
    nanos_since(begin) as f64 / 1e3 / f64::from(rounds)
}

fn gang_ms() -> f64 {
    let mut bench = Bench::new(WORKERS);
    bench.fill(0);
    for job in std::mem::take(&mut bench.submitted) {
        if bench
            .cell
            .tasks(job)
            .iter()
            .any(|row| row.state == TaskState::Queued)
        {
            bench.cell.cancel(job);
        }
    }
    let mut worst: f64 = 0.0;
    for number in 0..GANGS {
        // Room for the gang, spread over the cell.
        let size = Resources::new(2_000, 4_096, 0);
        for _ in 0..2_000 {
            let picked = bench.rng.random_range(0..bench.running.len());
            let task = bench.running.swap_remove(picked);
            bench.cell.record_end(task, End::Succeeded, bench.now());
        }
        bench.cell.submit(JobSpec {
            kind: JobKind::Gang {
                rack_near: number % 2 == 0,
            },
            ..bench.job(JobId(1 << 100 | number), 256, size)
        });
        bench.micros += 1_000_000;
        let begin = Instant::now();
        let decisions = bench.cell.plan(bench.now(), &mut bench.rng, 1);
        let spent = nanos_since(begin) as f64 / 1e6;
        let started = bench.keep(&decisions);
        // A gang that was not placed was not measured either.
        worst = worst.max(if started >= 256 { spent } else { f64::NAN });
        if started < 256 {
            return f64::NAN;
        }
    }
    worst
}

fn cancel_ms() -> f64 {
    let mut bench = Bench::new(WORKERS);
    bench.fill(QUEUED);
    let waiting: Vec<JobId> = bench
        .submitted
        .iter()
        .copied()
        .filter(|job| {
            bench
                .cell
                .tasks(*job)
                .iter()
                .all(|row| row.worker.is_none())
        })
        .take(10_000)
        .collect();
    if waiting.len() < 10_000 {
        return f64::NAN;
    }
    let begin = Instant::now();
    for job in waiting {
        bench.cell.cancel(job);
    }
    bench.cell.plan(bench.now(), &mut bench.rng, 1_000);
    nanos_since(begin) as f64 / 1e6
}

fn rebuild_ms() -> f64 {
    let teams = teams();
    let specs: Vec<WorkerSpec> = (0..WORKERS).map(|number| worker(number, WORKERS)).collect();
    let size = Resources::new(2_000, 4_096, 0);
    let jobs: Vec<JobSpec> = (0..RUNNING / 4)
        .map(|number| job(number.into(), 4, size))
        .collect();
    let found: Vec<(usize, InventoryEntry)> = (0..RUNNING)
        .map(|number| {
            let task = TaskId::new(JobId((number / 4).into()), number % 4, 1);
            let found = InventoryEntry {
                task,
                size,
                state: TaskState::Running,
                started: Millis(0),
            };
            (number as usize % specs.len(), found)
        })
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let begin = Instant::now();
    let mut cell = Cell::new(Policy::default()).with_teams(&teams);
    for spec in &specs {
        cell.upsert_worker(spec.clone());
    }
    for (worker, found) in &found {
        cell.adopt(&specs[*worker].name, *found);
    }
    for job in jobs {
        cell.submit(job);
    }
    cell.plan(Millis(1), &mut rng, 1_000);
    let spent = nanos_since(begin) as f64 / 1e6;
    let complete = cell.counts().active_tasks == RUNNING as usize;
    if complete { spent } else { f64::NAN }
}

/// Measures what one owner of a data centre keeps: its workers, their tasks, and a queue of its
/// part of a whole day's jobs.
fn memory() -> f64 {
    let before = resident_mib();
    let mut bench = Bench::new(WORKERS / DATA_CENTRES);
    bench.fill(JOBS_A_DAY / DATA_CENTRES);
    let after = resident_mib();
    std::hint::black_box(&bench.cell);
    after - before
}

/// Returns the resident memory of the process; not a number where it cannot be read.
fn resident_mib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.map_or(f64::NAN, |kib| kib / 1_024.0)
}

fn nanos_since(begin: Instant) -> u64 {
    u64::try_from(begin.elapsed().as_nanos()).unwrap_or(u64::MAX)
}
