//! Cost of the placement decisions: time and memory at the scale that the design targets.

use std::time::Instant;

use hdrhistogram::Histogram;
use kspan_model::{JobId, Millis, Resources, TaskId, document::Policy};
use kspan_placement::{Cell, End, InventoryEntry, JobKind, JobSpec, TaskState, WorkerSpec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    Comparison, Figure,
    fixture::{CellFixture, job_spec, teams, worker_spec},
};

/// Workers at the design scale.
const WORKERS: u32 = 7_600;
/// Running tasks at the design scale.
const RUNNING_TASKS: u32 = 32_000;
/// Data centres at the design scale, each of which is a shard with its own owner.
const DATA_CENTRES: u32 = 14;
/// Jobs submitted per day at the design scale.
const JOBS_PER_DAY: u32 = 110_000;
/// Jobs that are kept queued while placements are measured.
const QUEUED_JOBS: u32 = 30_000;
/// Minimum number of placements that are measured.
const MEASURED_PLACEMENTS: u32 = 60_000;
/// Simulated time between two task ends, in microseconds; corresponds to 3,100 starts per second.
const MICROS_BETWEEN_ENDS: u64 = 322;
/// Number of gangs whose placement is measured.
const MEASURED_GANGS: u128 = 9;

/// Returns the cost figures, and the mean cost of a placement in microseconds by number of workers.
pub(crate) fn figures() -> (Vec<Figure>, Vec<(f64, f64)>) {
    let memory_mib = measure_shard_memory_mib();
    let costs = [760, 2_400, WORKERS].map(|workers| (workers, measure_placements(workers)));
    let (small, large) = (&costs[0].1, &costs[2].1);
    let first_fit = measure_first_fit_us();
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
        at_most("gang.256-tasks", measure_gang_ms(), "ms", 5.0),
        at_most("cancel.10000-queued", measure_cancellation_ms(), "ms", 20.0),
        at_most("rebuild.7600-workers", measure_rebuild_ms(), "ms", 250.0),
        at_most("memory.shard-of-14", memory_mib, "MiB", 64.0),
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

struct PlacementCost {
    mean_us: f64,
    p99_us: f64,
}

/// Measures placements in a full cell with a full queue: repeatedly ends one task and runs a plan.
fn measure_placements(workers: u32) -> PlacementCost {
    let mut fixture = CellFixture::new(workers);
    fixture.fill(QUEUED_JOBS);
    let mut histogram = Histogram::<u64>::new(3).expect("three significant digits are valid");
    let (mut nanos, mut starts) = (0, 0);
    while starts < u64::from(MEASURED_PLACEMENTS) {
        let index = fixture.rng.random_range(0..fixture.running_tasks.len());
        let task = fixture.running_tasks.swap_remove(index);
        fixture.now_micros += MICROS_BETWEEN_ENDS;
        let now = Millis(fixture.now_micros / 1_000);
        let begin = Instant::now();
        fixture.cell.record_end(task, End::Succeeded, now);
        let decisions = fixture.cell.plan(now, &mut fixture.rng, 1_000);
        let elapsed = nanos_since(begin);
        let started = fixture.record_starts(&decisions);
        nanos += elapsed;
        starts += started;
        histogram
            .record(elapsed / started.max(1))
            .expect("the histogram resizes automatically");
        fixture.refill_queue(QUEUED_JOBS);
    }
    PlacementCost {
        mean_us: nanos as f64 / starts as f64 / 1e3,
        p99_us: histogram.value_at_quantile(0.99) as f64 / 1e3,
    }
}

/// Measures the mean time, in microseconds, of a linear scan for the first worker with room, where
/// 90% of the workers are full.
fn measure_first_fit_us() -> f64 {
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
        let requested = Resources::new(8_000, 8_192 * u64::from(round % 2 == 0), 0);
        let fits = |room: &&Resources| requested.fits_in(**room);
        found += usize::from(std::hint::black_box(&free).iter().find(fits).is_some());
    }
    std::hint::black_box(found);
    nanos_since(begin) as f64 / 1e3 / f64::from(rounds)
}

/// Measures the slowest placement of a gang of 256 tasks, in milliseconds. Returns NaN if a gang is
/// not placed.
fn measure_gang_ms() -> f64 {
    let mut fixture = CellFixture::new(WORKERS);
    fixture.fill(0);
    for job in std::mem::take(&mut fixture.submitted_jobs) {
        if fixture
            .cell
            .tasks(job)
            .iter()
            .any(|row| row.state == TaskState::Queued)
        {
            fixture.cell.cancel(job);
        }
    }
    let mut slowest: f64 = 0.0;
    for number in 0..MEASURED_GANGS {
        // Frees capacity for the gang across the whole cell.
        let size = Resources::new(2_000, 4_096, 0);
        for _ in 0..2_000 {
            let index = fixture.rng.random_range(0..fixture.running_tasks.len());
            let task = fixture.running_tasks.swap_remove(index);
            fixture.cell.record_end(task, End::Succeeded, fixture.now());
        }
        fixture.cell.submit(JobSpec {
            kind: JobKind::Gang {
                rack_near: number % 2 == 0,
            },
            ..fixture.job_spec(JobId(1 << 100 | number), 256, size)
        });
        fixture.now_micros += 1_000_000;
        let begin = Instant::now();
        let decisions = fixture.cell.plan(fixture.now(), &mut fixture.rng, 1);
        let elapsed = nanos_since(begin) as f64 / 1e6;
        let started = fixture.record_starts(&decisions);
        // A gang that was not placed gives no measurement.
        slowest = slowest.max(if started >= 256 { elapsed } else { f64::NAN });
        if started < 256 {
            return f64::NAN;
        }
    }
    slowest
}

/// Measures the cancellation of 10,000 queued jobs and the plan that follows, in milliseconds.
fn measure_cancellation_ms() -> f64 {
    let mut fixture = CellFixture::new(WORKERS);
    fixture.fill(QUEUED_JOBS);
    let queued: Vec<JobId> = fixture
        .submitted_jobs
        .iter()
        .copied()
        .filter(|job| {
            fixture
                .cell
                .tasks(*job)
                .iter()
                .all(|row| row.worker.is_none())
        })
        .take(10_000)
        .collect();
    if queued.len() < 10_000 {
        return f64::NAN;
    }
    let begin = Instant::now();
    for job in queued {
        fixture.cell.cancel(job);
    }
    fixture.cell.plan(fixture.now(), &mut fixture.rng, 1_000);
    nanos_since(begin) as f64 / 1e6
}

/// Measures the time, in milliseconds, in which an owner rebuilds its state from inventories and
/// jobs and computes the first plan. Returns NaN if not every running task was adopted.
fn measure_rebuild_ms() -> f64 {
    let teams = teams();
    let specs: Vec<WorkerSpec> = (0..WORKERS)
        .map(|number| worker_spec(number, WORKERS))
        .collect();
    let size = Resources::new(2_000, 4_096, 0);
    let jobs: Vec<JobSpec> = (0..RUNNING_TASKS / 4)
        .map(|number| job_spec(number.into(), 4, size))
        .collect();
    let inventory: Vec<(usize, InventoryEntry)> = (0..RUNNING_TASKS)
        .map(|number| {
            let task = TaskId::new(JobId((number / 4).into()), number % 4, 1);
            let entry = InventoryEntry {
                task,
                size,
                state: TaskState::Running,
                started: Millis(0),
            };
            (number as usize % specs.len(), entry)
        })
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let begin = Instant::now();
    let mut cell = Cell::new(Policy::default()).with_teams(&teams);
    for spec in &specs {
        cell.upsert_worker(spec.clone());
    }
    for (worker, entry) in &inventory {
        cell.adopt(&specs[*worker].name, *entry);
    }
    for job in jobs {
        cell.submit(job);
    }
    cell.plan(Millis(1), &mut rng, 1_000);
    let elapsed = nanos_since(begin) as f64 / 1e6;
    let complete = cell.counts().active_tasks == RUNNING_TASKS as usize;
    if complete { elapsed } else { f64::NAN }
}

/// Measures the memory, in MiB, of the state of one shard: its workers, their tasks, and a queue
/// that holds its share of a whole day's jobs.
fn measure_shard_memory_mib() -> f64 {
    let before = resident_mib();
    let mut fixture = CellFixture::new(WORKERS / DATA_CENTRES);
    fixture.fill(JOBS_PER_DAY / DATA_CENTRES);
    let after = resident_mib();
    std::hint::black_box(&fixture.cell);
    after - before
}

/// Returns the resident memory of the process in MiB, or NaN if it cannot be read.
fn resident_mib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.map_or(f64::NAN, |kib| kib / 1_024.0)
}

fn nanos_since(begin: Instant) -> u64 {
    u64::try_from(begin.elapsed().as_nanos()).unwrap_or(u64::MAX)
}
