//! Synthetic traces of job arrivals, generated from a seed: heavy-tailed run times, bursts, waves
//! of cancellations, and declared run times that differ from the actual ones.
//!
//! The parameters are read from data; equal parameters give equal traces on every machine.

use kspan_model::{
    JobId, Millis, Name, Priority, Resources, Site,
    document::{Spread, TaskShape, Team},
};
use kspan_placement::{JobKind, JobSpec, WorkerSpec};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

/// Parameters of every trace, as YAML.
const TRACE_PARAMETERS: &str = include_str!("../data/traces.yaml");
/// Maximum ratio of a drawn run time to its median.
const MAX_RUN_TIME_RATIO: f64 = 30.0;
const MIB_PER_GIB: u64 = 1_024;

/// Parameters of the traces that the benchmarks replay.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Traces {
    pub(crate) mixed: Parameters,
    pub(crate) bursty: Parameters,
    pub(crate) urgent: Parameters,
}

impl Traces {
    pub(crate) fn embedded() -> Self {
        serde_norway::from_str(TRACE_PARAMETERS).expect("the embedded parameters are valid")
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Parameters {
    pub(crate) seed: u64,
    pub(crate) duration_s: u64,
    pub(crate) load: f64,
    teams: u32,
    borrow: bool,
    /// Jobs that are not urgent arrive only while less than this fraction of the processors is
    /// committed.
    #[serde(default)]
    pub(crate) commit_at_most: Option<f64>,
    workers: Vec<WorkerGroup>,
    bursts: Bursts,
    cancel_waves: CancelWaves,
    classes: Vec<JobClass>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkerGroup {
    count: u32,
    cores: u64,
    memory_gib: u64,
    accelerators: u64,
    per_rack: u32,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Bursts {
    every_s: u64,
    length_s: u64,
    factor: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CancelWaves {
    every_s: u64,
    /// Probability with which a wave cancels each job of the last minute.
    part: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum JobClassKind {
    #[default]
    Batch,
    Service,
    Gang,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobClass {
    name: String,
    rate: f64,
    #[serde(default)]
    kind: JobClassKind,
    cores: Vec<u64>,
    gib_per_core: u64,
    #[serde(default)]
    accelerators: Vec<u64>,
    tasks: u32,
    run_time_s: u64,
    /// Standard deviation of the logarithm of the run time.
    sigma: f64,
    /// Standard deviation of the logarithm of the ratio of declared to actual run time.
    declared_sigma: f64,
    #[serde(default)]
    checkpoint: bool,
    #[serde(default)]
    rack_near: bool,
    #[serde(default)]
    priority: Priority,
}

/// Arrival of one job.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) spec: JobSpec,
    /// Actual run time of each task, which may differ from the declared one.
    pub(crate) actual_run_time: Millis,
    /// Time at which the job is cancelled, if it is.
    pub(crate) cancelled_at: Option<Millis>,
}

/// Workers, teams and job arrivals of one trace, in order of arrival.
#[derive(Clone, Debug)]
pub(crate) struct Trace {
    pub(crate) workers: Vec<WorkerSpec>,
    pub(crate) teams: Vec<Team>,
    pub(crate) arrivals: Vec<Arrival>,
}

impl Parameters {
    /// Returns the parameters with another offered load.
    pub(crate) fn with_load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    pub(crate) fn generate(&self) -> Trace {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut workers = self.build_workers();
        // In a fleet, neither names nor order depend on capacity, so the workers are shuffled.
        workers.shuffle(&mut rng);
        let capacity = workers.iter().fold(Resources::ZERO, |sum, worker| {
            sum.saturating_add(worker.capacity)
        });
        let teams = self.build_teams(capacity);
        let mut arrivals = self.draw_arrivals(capacity, &mut rng);
        self.schedule_cancellations(&mut arrivals, &mut rng);
        Trace {
            workers,
            teams,
            arrivals,
        }
    }

    fn build_workers(&self) -> Vec<WorkerSpec> {
        let mut workers = Vec::new();
        for (group, spec) in self.workers.iter().enumerate() {
            workers.extend((0..spec.count).map(|number| WorkerSpec {
                name: Name::from(format!("worker-{group}-{number}")),
                rack: Name::from(format!("rack-{group}-{}", number / spec.per_rack)),
                site: Site::new("Vestland", "vestland-1"),
                capacity: Resources::new(
                    spec.cores * 1_000,
                    spec.memory_gib * MIB_PER_GIB,
                    spec.accelerators,
                ),
            }));
        }
        workers
    }

    fn build_teams(&self, capacity: Resources) -> Vec<Team> {
        let team_count = u64::from(self.teams);
        let quota = Resources::new(
            capacity.cpu_milli / team_count,
            capacity.memory_mib / team_count,
            capacity.accelerators / team_count,
        );
        let teams = (0..self.teams).map(|number| Team {
            name: team_name(number),
            quota,
            weight: 1.0,
            borrow: self.borrow,
        });
        teams.collect()
    }

    /// Returns the factor on the arrival rates at which the resource in greatest relative
    /// demand is offered at `load` times its capacity.
    fn rate_factor(&self, capacity: Resources) -> f64 {
        let mut offered = [0.0; 3];
        for class in &self.classes {
            let per_job = class.rate * f64::from(class.tasks) * class.mean_run_time_s();
            let cores = mean(&class.cores);
            offered[0] += per_job * cores * 1_000.0;
            offered[1] += per_job * cores * (class.gib_per_core * MIB_PER_GIB) as f64;
            offered[2] += per_job * mean(&class.accelerators);
        }
        let relative_demand = [
            offered[0] / capacity.cpu_milli.max(1) as f64,
            offered[1] / capacity.memory_mib.max(1) as f64,
            offered[2] / capacity.accelerators.max(1) as f64,
        ];
        let max_demand = relative_demand.into_iter().fold(0.0, f64::max);
        self.load / max_demand / self.mean_burst_factor()
    }

    fn mean_burst_factor(&self) -> f64 {
        let burst_fraction = self.bursts.length_s as f64 / self.bursts.every_s as f64;
        1.0 + burst_fraction * (self.bursts.factor - 1.0)
    }

    fn draw_arrivals(&self, capacity: Resources, rng: &mut ChaCha8Rng) -> Vec<Arrival> {
        let factor = self.rate_factor(capacity);
        let mut arrivals = Vec::new();
        let mut id = 1;
        for class in &self.classes {
            let mut at = 0.0;
            loop {
                let rate = class.rate * factor * self.burst_factor_at(at);
                at += -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
                if at >= self.duration_s as f64 {
                    break;
                }
                arrivals.push(self.draw_arrival(class, id, millis_from_seconds(at), rng));
                id += 1;
            }
        }
        arrivals.sort_by_key(|arrival| (arrival.spec.submitted, arrival.spec.id));
        arrivals
    }

    fn burst_factor_at(&self, at: f64) -> f64 {
        let phase = at % self.bursts.every_s as f64;
        if phase < self.bursts.length_s as f64 {
            self.bursts.factor
        } else {
            1.0
        }
    }

    fn draw_arrival(
        &self,
        class: &JobClass,
        id: u128,
        at: Millis,
        rng: &mut ChaCha8Rng,
    ) -> Arrival {
        let cores = pick_or_zero(&class.cores, rng);
        let size = Resources::new(
            cores * 1_000,
            cores * class.gib_per_core * MIB_PER_GIB,
            pick_or_zero(&class.accelerators, rng),
        );
        let run_time_ratio = (standard_normal(rng) * class.sigma)
            .exp()
            .min(MAX_RUN_TIME_RATIO);
        let run_time_s = class.run_time_s as f64 * run_time_ratio;
        let declared_ratio = (standard_normal(rng) * class.declared_sigma).exp();
        let is_service = class.kind == JobClassKind::Service;
        let spec = JobSpec {
            id: JobId(id),
            workload: Name::new(&class.name),
            team: team_name(rng.random_range(0..self.teams)),
            priority: class.priority,
            // Services are replayed as batch jobs, which end, so that the mix of classes stays
            // constant over time.
            kind: match class.kind {
                JobClassKind::Gang => JobKind::Gang {
                    rack_near: class.rack_near,
                },
                JobClassKind::Batch | JobClassKind::Service => JobKind::Batch,
            },
            tasks: rng.random_range(1..=class.tasks * 2 - 1),
            shape: TaskShape {
                size,
                checkpoint: class.checkpoint,
            },
            run_time: millis_from_seconds(run_time_s * declared_ratio),
            retries: 3,
            spread: if is_service {
                Spread::Rack
            } else {
                Spread::None
            },
            submitted: at,
        };
        Arrival {
            spec,
            actual_run_time: millis_from_seconds(run_time_s),
            cancelled_at: None,
        }
    }

    fn schedule_cancellations(&self, arrivals: &mut [Arrival], rng: &mut ChaCha8Rng) {
        let interval = Millis::from_secs(self.cancel_waves.every_s);
        for arrival in arrivals {
            let wave_at = Millis((arrival.spec.submitted.0 / interval.0 + 1) * interval.0);
            let is_recent = wave_at - arrival.spec.submitted <= Millis::from_secs(60);
            if is_recent && rng.random_bool(self.cancel_waves.part) {
                arrival.cancelled_at = Some(wave_at);
            }
        }
    }
}

impl JobClass {
    fn mean_run_time_s(&self) -> f64 {
        self.run_time_s as f64 * (self.sigma * self.sigma / 2.0).exp()
    }
}

fn team_name(number: u32) -> Name {
    Name::from(format!("team-{number}"))
}

fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len().max(1) as f64
}

fn pick_or_zero(values: &[u64], rng: &mut ChaCha8Rng) -> u64 {
    match values.len() {
        0 => 0,
        len => values[rng.random_range(0..len)],
    }
}

fn millis_from_seconds(seconds: f64) -> Millis {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Never negative.
    let millis = (seconds * 1_000.0) as u64;
    Millis(millis.max(1))
}

/// Draws a value from the standard normal distribution with the Box-Muller transform.
fn standard_normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * rng.random::<f64>().max(f64::MIN_POSITIVE).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
