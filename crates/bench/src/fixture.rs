//! A cell filled to capacity, on which the cost figures are measured.

use kspan_model::{
    JobId, Millis, Name, Priority, Resources, Site, TaskId,
    document::{Policy, Preset, Spread, TaskShape, Team},
};
use kspan_placement::{Cell, Decision, JobKind, JobSpec, WorkerSpec};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// Teams at the design scale.
const TEAMS: u32 = 220;

/// A cell together with the tasks that run on it and the jobs submitted to it.
pub(crate) struct CellFixture {
    pub(crate) cell: Cell,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) running_tasks: Vec<TaskId>,
    pub(crate) submitted_jobs: Vec<JobId>,
    /// Number of the last job that was submitted to the queue.
    pub(crate) last_job_id: u128,
    /// Simulated time.
    pub(crate) now_micros: u64,
}

impl CellFixture {
    pub(crate) fn new(workers: u32) -> Self {
        let mut cell = Cell::new(Policy::new(Preset::WaitingFirst)).with_teams(&teams());
        for number in 0..workers {
            cell.upsert_worker(worker_spec(number, workers));
        }
        Self {
            cell,
            rng: ChaCha8Rng::seed_from_u64(7),
            running_tasks: Vec::new(),
            submitted_jobs: Vec::new(),
            last_job_id: 0,
            now_micros: 1_000_000,
        }
    }

    pub(crate) fn now(&self) -> Millis {
        Millis(self.now_micros / 1_000)
    }

    /// Fills the cell, a fifth of it with services, and leaves `queued` jobs in the queue.
    pub(crate) fn fill(&mut self, queued: u32) {
        let services = self.cell.capacity().cpu_milli / 5 / 4_000 / 32;
        for number in 0..u128::from(services) {
            self.cell.submit(JobSpec {
                kind: JobKind::Service,
                spread: Spread::Rack,
                run_time: Millis::ZERO,
                team: team_name(u32::try_from(number).unwrap_or(0) % TEAMS),
                ..self.job_spec(
                    JobId(1 << 90 | number),
                    32,
                    Resources::new(4_000, 16_384, 0),
                )
            });
        }
        let decisions = self.cell.plan(self.now(), &mut self.rng, usize::MAX);
        std::hint::black_box(decisions);
        // Service tasks stay out of `running_tasks`, so that only batch tasks are ended later.
        loop {
            self.refill_queue(self.queue_target(queued));
            let decisions = self.cell.plan(self.now(), &mut self.rng, usize::MAX);
            if self.record_starts(&decisions) == 0 {
                break;
            }
        }
        self.refill_queue(queued);
        self.cell.plan(self.now(), &mut self.rng, usize::MAX);
    }

    /// Returns a queue length with which the cell fills in a few rounds.
    fn queue_target(&self, queued: u32) -> u32 {
        let workers = u32::try_from(self.cell.counts().workers).unwrap_or(u32::MAX);
        queued.max(workers)
    }

    /// Submits jobs until the queue holds `queued` jobs.
    pub(crate) fn refill_queue(&mut self, queued: u32) {
        while self.cell.queued_jobs() < queued as usize {
            self.last_job_id += 1;
            let id = JobId(self.last_job_id);
            let size = self.random_size();
            let tasks = self.rng.random_range(1..4);
            let team = self.rng.random_range(0..TEAMS);
            let priorities = [Priority::Low, Priority::Normal, Priority::High];
            let spec = JobSpec {
                team: team_name(team),
                priority: *priorities
                    .choose(&mut self.rng)
                    .expect("the list is not empty"),
                ..self.job_spec(id, tasks, size)
            };
            self.cell.submit(spec);
            self.submitted_jobs.push(id);
        }
    }

    fn random_size(&mut self) -> Resources {
        let cores = self.rng.random_range(2..=14);
        let gib = self.rng.random_range(2..=8);
        let accelerators = if self.rng.random_bool(0.25) {
            self.rng.random_range(1..=4)
        } else {
            0
        };
        Resources::new(cores * 1_000, cores * gib * 1_024, accelerators)
    }

    pub(crate) fn job_spec(&self, id: JobId, tasks: u32, size: Resources) -> JobSpec {
        JobSpec {
            id,
            submitted: self.now(),
            ..job_spec(0, tasks, size)
        }
    }

    /// Records the start of each task that the decisions start and returns their number.
    pub(crate) fn record_starts(&mut self, decisions: &[Decision]) -> u64 {
        let mut started = 0;
        for decision in decisions {
            if let Decision::Start(start) = decision {
                self.cell
                    .record_start(start.task, Millis(self.now_micros / 1_000));
                self.running_tasks.push(start.task);
                started += 1;
            }
        }
        started
    }
}

pub(crate) fn job_spec(id: u128, tasks: u32, size: Resources) -> JobSpec {
    JobSpec {
        id: JobId(id),
        workload: Name::new("reconcile"),
        team: team_name(0),
        priority: Priority::Normal,
        kind: JobKind::Batch,
        tasks,
        shape: TaskShape {
            size,
            checkpoint: true,
        },
        run_time: Millis::from_secs(300),
        retries: 2,
        spread: Spread::None,
        submitted: Millis(0),
    }
}

pub(crate) fn worker_spec(number: u32, total: u32) -> WorkerSpec {
    // 17,000 accelerators on 7,600 workers: eight accelerators on 28% of the workers.
    let has_accelerators = u64::from(number) * 100 < u64::from(total) * 28;
    let capacity = if has_accelerators {
        Resources::new(64_000, 524_288, 8)
    } else {
        Resources::new(32_000, 131_072, 0)
    };
    WorkerSpec {
        name: Name::from(format!("worker-{number}")),
        rack: Name::from(format!("rack-{}", number / 8)),
        site: Site::new("Vestland", "vestland-1"),
        capacity,
    }
}

fn team_name(number: u32) -> Name {
    Name::from(format!("team-{number}"))
}

pub(crate) fn teams() -> Vec<Team> {
    let teams = (0..TEAMS).map(|number| Team {
        name: team_name(number),
        quota: Resources::new(2_000_000, 8_388_608, 200),
        weight: f64::from(1 + number % 4),
        borrow: true,
    });
    teams.collect()
}
