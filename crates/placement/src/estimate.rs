//! Estimates of usage and run time per workload.
//!
//! Declared sizes and run times are often far off, and usage reports lag. Estimates rank workers,
//! order the queue and predict whether a task ends before a reservation. They never change what is
//! committed.

use kspan_model::{Millis, Name, Resources};
use rustc_hash::FxHashMap;

use crate::spec::JobSpec;

/// Weight of the newest observation in an exponentially weighted moving average.
const EWMA_WEIGHT: f64 = 0.1;
/// Minimum number of observations before an estimate is used.
const MIN_OBSERVATIONS: u32 = 5;
/// Number of mean deviations above the mean in a conservative estimate.
const CONSERVATIVE_DEVIATIONS: f64 = 3.0;
/// Maximum number of workloads with estimates.
const MAX_WORKLOADS: usize = 4_096;

/// Moving mean and mean deviation of the ratio of actual to declared values.
#[derive(Clone, Copy, Debug)]
struct Ratio {
    mean: f64,
    deviation: f64,
    observations: u32,
}

impl Ratio {
    const UNKNOWN: Self = Self {
        mean: 1.0,
        deviation: 0.0,
        observations: 0,
    };

    fn observe(&mut self, ratio: f64) {
        if self.observations == 0 {
            self.mean = ratio;
        }
        let error = ratio - self.mean;
        self.mean += EWMA_WEIGHT * error;
        self.deviation += EWMA_WEIGHT * (error.abs() - self.deviation);
        self.observations = self.observations.saturating_add(1);
    }

    fn expected(self) -> f64 {
        if self.observations < MIN_OBSERVATIONS {
            return 1.0;
        }
        self.mean
    }

    fn conservative(self) -> f64 {
        if self.observations < MIN_OBSERVATIONS {
            return 1.0;
        }
        self.mean + CONSERVATIVE_DEVIATIONS * self.deviation
    }
}

#[derive(Clone, Copy, Debug)]
struct WorkloadRatios {
    run_time: Ratio,
    cpu: Ratio,
    memory: Ratio,
}

/// Estimates of all workloads.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimates {
    by_workload: FxHashMap<Name, WorkloadRatios>,
}

impl Estimates {
    /// Updates the run time estimate from a task that succeeded after running for `elapsed`.
    pub(crate) fn observe_run(&mut self, spec: &JobSpec, elapsed: Millis) {
        if spec.run_time == Millis::ZERO {
            return;
        }
        let ratio = elapsed.0 as f64 / spec.run_time.0 as f64;
        if let Some(ratios) = self.entry(&spec.workload) {
            ratios.run_time.observe(ratio);
        }
    }

    /// Updates the usage estimates from a report, which lags by some seconds.
    pub(crate) fn observe_usage(&mut self, workload: &Name, used: Resources, size: Resources) {
        let Some(ratios) = self.entry(workload) else {
            return;
        };
        if size.cpu_milli > 0 {
            ratios
                .cpu
                .observe(used.cpu_milli as f64 / size.cpu_milli as f64);
        }
        if size.memory_mib > 0 {
            let ratio = used.memory_mib as f64 / size.memory_mib as f64;
            ratios.memory.observe(ratio);
        }
    }

    /// Returns the expected run time of a task; zero if it is unbounded.
    pub(crate) fn run_time(&self, spec: &JobSpec) -> Millis {
        self.scaled_run_time(spec, Ratio::expected)
    }

    /// Returns an upper estimate of a task's run time; zero if it is unbounded.
    pub(crate) fn conservative_run_time(&self, spec: &JobSpec) -> Millis {
        self.scaled_run_time(spec, Ratio::conservative)
    }

    /// Returns the expected usage of a task.
    pub(crate) fn usage(&self, spec: &JobSpec) -> Resources {
        let size = spec.shape.size;
        let Some(ratios) = self.by_workload.get(&spec.workload) else {
            return size;
        };
        Resources {
            cpu_milli: scale(size.cpu_milli, ratios.cpu.expected()),
            memory_mib: scale(size.memory_mib, ratios.memory.expected()),
            accelerators: size.accelerators,
        }
    }

    fn scaled_run_time(&self, spec: &JobSpec, factor: impl Fn(Ratio) -> f64) -> Millis {
        let Some(ratios) = self.by_workload.get(&spec.workload) else {
            return spec.run_time;
        };
        Millis(scale(spec.run_time.0, factor(ratios.run_time)))
    }

    fn entry(&mut self, workload: &Name) -> Option<&mut WorkloadRatios> {
        if !self.by_workload.contains_key(workload) {
            if self.by_workload.len() >= MAX_WORKLOADS {
                return None;
            }
            let unknown = WorkloadRatios {
                run_time: Ratio::UNKNOWN,
                cpu: Ratio::UNKNOWN,
                memory: Ratio::UNKNOWN,
            };
            self.by_workload.insert(workload.clone(), unknown);
        }
        self.by_workload.get_mut(workload)
    }
}

/// CPU and memory that tasks with accelerators need per accelerator.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AcceleratorDemand {
    cpu_milli: f64,
    memory_mib: f64,
    /// When such a task was last submitted.
    last_seen: Option<Millis>,
}

/// Time after the last submission for which further tasks with accelerators are expected.
const DEMAND_TTL: Millis = Millis::from_secs(1_800);

impl AcceleratorDemand {
    /// Updates the demand from a submitted task.
    pub(crate) fn observe(&mut self, size: Resources, now: Millis) {
        if size.accelerators == 0 {
            return;
        }
        let count = size.accelerators as f64;
        let (cpu, memory) = (
            size.cpu_milli as f64 / count,
            size.memory_mib as f64 / count,
        );
        if self.last_seen.is_none() {
            (self.cpu_milli, self.memory_mib) = (cpu, memory);
        }
        self.cpu_milli += EWMA_WEIGHT * (cpu - self.cpu_milli);
        self.memory_mib += EWMA_WEIGHT * (memory - self.memory_mib);
        self.last_seen = Some(now);
    }

    /// Returns the CPU and memory to keep free beside this many free accelerators, so that tasks
    /// which use them still fit.
    pub(crate) fn headroom(self, accelerators: u64, now: Millis) -> Resources {
        let is_expected = self
            .last_seen
            .is_some_and(|last_seen| now <= last_seen.saturating_add(DEMAND_TTL));
        if !is_expected {
            return Resources::ZERO;
        }
        Resources {
            cpu_milli: scale(accelerators, self.cpu_milli),
            memory_mib: scale(accelerators, self.memory_mib),
            accelerators: 0,
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Saturates; never negative.
fn scale(amount: u64, factor: f64) -> u64 {
    (amount as f64 * factor) as u64
}
