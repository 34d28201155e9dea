//! Seeded traces of arrivals: heavy tails, bursts, cancel waves, declared run times that are off.
//!
//! The parameters are data; the same parameters give the same trace on every machine.

use kspan_model::{
    JobId, Millis, Name, Priority, Resources, Site,
    document::{Spread, TaskShape, Team},
};
use kspan_placement::{JobKind, JobSpec, WorkerSpec};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

/// Text of the parameters of every trace.
const TRACES: &str = include_str!("../data/traces.yaml");
/// Largest factor between a drawn run time and its median.
const LONGEST_TAIL: f64 = 30.0;
/// MiB in a GiB.
const GIB: u64 = 1_024;

/// The traces of the bench.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Traces {
    pub(crate) mixed: Parameters,
    pub(crate) bursty: Parameters,
    pub(crate) urgent: Parameters,
}

impl Traces {
    pub(crate) fn embedded() -> Self {
        serde_norway::from_str(TRACES).expect("the embedded parameters are valid")
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
    /// Jobs that are not urgent arrive only while less than this part is committed.
    #[serde(default)]
    pub(crate) commit_at_most: Option<f64>,
    workers: Vec<Workers>,
    bursts: Bursts,
    cancel_waves: CancelWaves,
    classes: Vec<Class>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Workers {
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
    /// Part of the jobs of the last minute that a wave cancels.
    part: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ClassKind {
    #[default]
    Batch,
    Service,
    Gang,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Class {
    name: String,
    rate: f64,
    #[serde(default)]
    kind: ClassKind,
    cores: Vec<u64>,
    gib_per_core: u64,
    #[serde(default)]
    accelerators: Vec<u64>,
    tasks: u32,
    run_time_s: u64,
    sigma: f64,
    declared_sigma: f64,
    #[serde(default)]
    checkpoint: bool,
    #[serde(default)]
    rack_near: bool,
    #[serde(default)]
    priority: Priority,
}

/// A job that arrives.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) spec: JobSpec,
    /// How long each task really runs.
    pub(crate) runs: Millis,
    /// When the job is cancelled, if it is.
    pub(crate) cancelled: Option<Millis>,
}

/// A whole trace.
#[derive(Clone, Debug)]
pub(crate) struct Trace {
    pub(crate) workers: Vec<WorkerSpec>,
    pub(crate) teams: Vec<Team>,
    pub(crate) arrivals: Vec<Arrival>,
}

impl Parameters {
    /// Returns the same trace on a number of workers changed by a factor.
    pub(crate) fn scaled(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    pub(crate) fn generate(&self) -> Trace {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut workers = self.workers();
        // Names say nothing about capacity, so neither does the order.
        workers.shuffle(&mut rng);
        let capacity = workers.iter().fold(Resources::ZERO, |sum, worker| {
            sum.saturating_add(worker.capacity)
        });
        let teams = self.teams(capacity);
        let mut arrivals = self.arrivals(capacity, &mut rng);
        self.cancel(&mut arrivals, &mut rng);
        Trace {
            workers,
            teams,
            arrivals,
        }
    }

    fn workers(&self) -> Vec<WorkerSpec> {
        let mut workers = Vec::new();
        for (group, kind) in self.workers.iter().enumerate() {
            workers.extend((0..kind.count).map(|number| WorkerSpec {
                name: Name::from(format!("worker-{group}-{number}")),
                rack: Name::from(format!("rack-{group}-{}", number / kind.per_rack)),
                site: Site::new("Vestland", "vestland-1"),
                capacity: Resources::new(
                    kind.cores * 1_000,
                    kind.memory_gib * GIB,
                    kind.accelerators,
                ),
            }));
        }
        workers
    }

    fn teams(&self, capacity: Resources) -> Vec<Team> {
        let part = u64::from(self.teams);
        let quota = Resources::new(
            capacity.cpu_milli / part,
            capacity.memory_mib / part,
            capacity.accelerators / part,
        );
        let teams = (0..self.teams).map(|number| Team {
            name: team_name(number),
            quota,
            weight: 1.0,
            borrow: self.borrow,
        });
        teams.collect()
    }

    /// Returns the factor on the rates that brings the most wanted resource to `load`.
    fn rate_factor(&self, capacity: Resources) -> f64 {
        let mut offered = [0.0; 3];
        for class in &self.classes {
            let per_job = class.rate * f64::from(class.tasks) * class.mean_run_s();
            let cores = mean(&class.cores);
            offered[0] += per_job * cores * 1_000.0;
            offered[1] += per_job * cores * (class.gib_per_core * GIB) as f64;
            offered[2] += per_job * mean(&class.accelerators);
        }
        let wanted = [
            offered[0] / capacity.cpu_milli.max(1) as f64,
            offered[1] / capacity.memory_mib.max(1) as f64,
            offered[2] / capacity.accelerators.max(1) as f64,
        ];
        let most = wanted.into_iter().fold(0.0, f64::max);
        self.load / most / self.mean_burst_factor()
    }

    fn mean_burst_factor(&self) -> f64 {
        let part = self.bursts.length_s as f64 / self.bursts.every_s as f64;
        1.0 + part * (self.bursts.factor - 1.0)
    }

    fn arrivals(&self, capacity: Resources, rng: &mut ChaCha8Rng) -> Vec<Arrival> {
        let factor = self.rate_factor(capacity);
        let mut arrivals = Vec::new();
        let mut id = 1;
        for class in &self.classes {
            let mut at = 0.0;
            loop {
                let rate = class.rate * factor * self.burst_at(at);
                at += -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
                if at >= self.duration_s as f64 {
                    break;
                }
                arrivals.push(self.arrival(class, id, seconds(at), rng));
                id += 1;
            }
        }
        arrivals.sort_by_key(|arrival| (arrival.spec.submitted, arrival.spec.id));
        arrivals
    }

    fn burst_at(&self, at: f64) -> f64 {
        let phase = at % self.bursts.every_s as f64;
        if phase < self.bursts.length_s as f64 {
            self.bursts.factor
        } else {
            1.0
        }
    }

    fn arrival(&self, class: &Class, id: u128, at: Millis, rng: &mut ChaCha8Rng) -> Arrival {
        let cores = pick(&class.cores, rng);
        let size = Resources::new(
            cores * 1_000,
            cores * class.gib_per_core * GIB,
            pick(&class.accelerators, rng),
        );
        let tail = (normal(rng) * class.sigma).exp().min(LONGEST_TAIL);
        let runs = class.run_time_s as f64 * tail;
        let off = (normal(rng) * class.declared_sigma).exp();
        let is_service = class.kind == ClassKind::Service;
        let spec = JobSpec {
            id: JobId(id),
            workload: Name::new(&class.name),
            team: team_name(rng.random_range(0..self.teams)),
            priority: class.priority,
            // Services of a trace end, so that the mix stays the same over time.
            kind: match class.kind {
                ClassKind::Gang => JobKind::Gang {
                    rack_near: class.rack_near,
                },
                ClassKind::Batch | ClassKind::Service => JobKind::Batch,
            },
            tasks: rng.random_range(1..=class.tasks * 2 - 1),
            shape: TaskShape {
                size,
                checkpoint: class.checkpoint,
            },
            run_time: seconds(runs * off),
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
            runs: seconds(runs),
            cancelled: None,
        }
    }

    fn cancel(&self, arrivals: &mut [Arrival], rng: &mut ChaCha8Rng) {
        let every = Millis::from_secs(self.cancel_waves.every_s);
        for arrival in arrivals {
            let wave = Millis((arrival.spec.submitted.0 / every.0 + 1) * every.0);
            let is_recent = wave - arrival.spec.submitted <= Millis::from_secs(60);
            if is_recent && rng.random_bool(self.cancel_waves.part) {
                arrival.cancelled = Some(wave);
            }
        }
    }
}

impl Class {
    fn mean_run_s(&self) -> f64 {
        self.run_time_s as f64 * (self.sigma * self.sigma / 2.0).exp()
    }
}

fn team_name(number: u32) -> Name {
    Name::from(format!("team-{number}"))
}

fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len().max(1) as f64
}

fn pick(values: &[u64], rng: &mut ChaCha8Rng) -> u64 {
    match values.len() {
        0 => 0,
        len => values[rng.random_range(0..len)],
    }
}

fn seconds(span: f64) -> Millis {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Never negative.
    let millis = (span * 1_000.0) as u64;
    Millis(millis.max(1))
}

/// Returns a value of the standard normal distribution, by the method of Box and Muller.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * rng.random::<f64>().max(f64::MIN_POSITIVE).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
