//! What is learned of each workload from usage and run times.
//!
//! Declared sizes and run times are often far off, and usage reports lag. Estimates choose between
//! workers, order lines and judge whether a task ends before a reservation. They never change
//! what is committed.

use kspan_model::{Millis, Name, Resources};
use rustc_hash::FxHashMap;

use crate::spec::JobSpec;

/// Weight of the newest observation.
const NEWEST: f64 = 0.1;
/// Observations before an estimate counts.
const LEAST_OBSERVATIONS: u32 = 5;
/// Deviations above the mean that a careful estimate allows for.
const CAREFUL_DEVIATIONS: f64 = 3.0;
/// Workloads remembered.
const REMEMBERED: usize = 4_096;

/// Mean and mean deviation of a ratio of actual to declared.
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
        self.mean += NEWEST * error;
        self.deviation += NEWEST * (error.abs() - self.deviation);
        self.observations = self.observations.saturating_add(1);
    }

    fn likely(self) -> f64 {
        if self.observations < LEAST_OBSERVATIONS {
            return 1.0;
        }
        self.mean
    }

    fn careful(self) -> f64 {
        if self.observations < LEAST_OBSERVATIONS {
            return 1.0;
        }
        self.mean + CAREFUL_DEVIATIONS * self.deviation
    }
}

#[derive(Clone, Copy, Debug)]
struct Learned {
    run_time: Ratio,
    cpu: Ratio,
    memory: Ratio,
}

/// Estimates of every workload.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimates {
    learned: FxHashMap<Name, Learned>,
}

impl Estimates {
    /// Learns from a task that ended well after running for `ran`.
    pub(crate) fn observe_run(&mut self, spec: &JobSpec, ran: Millis) {
        if spec.run_time == Millis::ZERO {
            return;
        }
        let ratio = ran.0 as f64 / spec.run_time.0 as f64;
        if let Some(learned) = self.entry(&spec.workload) {
            learned.run_time.observe(ratio);
        }
    }

    /// Learns from a report of what a task used some seconds ago.
    pub(crate) fn observe_usage(&mut self, workload: &Name, used: Resources, size: Resources) {
        let Some(learned) = self.entry(workload) else {
            return;
        };
        if size.cpu_milli > 0 {
            learned
                .cpu
                .observe(used.cpu_milli as f64 / size.cpu_milli as f64);
        }
        if size.memory_mib > 0 {
            let ratio = used.memory_mib as f64 / size.memory_mib as f64;
            learned.memory.observe(ratio);
        }
    }

    /// Returns the likely run time of a task; zero where it has no end.
    pub(crate) fn run_time(&self, spec: &JobSpec) -> Millis {
        self.scaled(spec, Ratio::likely)
    }

    /// Returns a run time that a task will hardly exceed; zero where it has no end.
    pub(crate) fn careful_run_time(&self, spec: &JobSpec) -> Millis {
        self.scaled(spec, Ratio::careful)
    }

    /// Returns what a task is likely to use of its size.
    pub(crate) fn usage(&self, spec: &JobSpec) -> Resources {
        let size = spec.shape.size;
        let Some(learned) = self.learned.get(&spec.workload) else {
            return size;
        };
        Resources {
            cpu_milli: scale(size.cpu_milli, learned.cpu.likely()),
            memory_mib: scale(size.memory_mib, learned.memory.likely()),
            accelerators: size.accelerators,
        }
    }

    fn scaled(&self, spec: &JobSpec, factor: impl Fn(Ratio) -> f64) -> Millis {
        let Some(learned) = self.learned.get(&spec.workload) else {
            return spec.run_time;
        };
        Millis(scale(spec.run_time.0, factor(learned.run_time)))
    }

    fn entry(&mut self, workload: &Name) -> Option<&mut Learned> {
        if !self.learned.contains_key(workload) {
            if self.learned.len() >= REMEMBERED {
                return None;
            }
            let unknown = Learned {
                run_time: Ratio::UNKNOWN,
                cpu: Ratio::UNKNOWN,
                memory: Ratio::UNKNOWN,
            };
            self.learned.insert(workload.clone(), unknown);
        }
        self.learned.get_mut(workload)
    }
}

/// What work that wants accelerators wants besides, for each accelerator.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PerAccelerator {
    cpu_milli: f64,
    memory_mib: f64,
    /// When such work was submitted last.
    last: Option<Millis>,
}

/// Time after which work that wants accelerators is no longer expected.
const EXPECTED_FOR: Millis = Millis::from_secs(1_800);

impl PerAccelerator {
    /// Learns from a task that is submitted.
    pub(crate) fn observe(&mut self, size: Resources, now: Millis) {
        if size.accelerators == 0 {
            return;
        }
        let count = size.accelerators as f64;
        let (cpu, memory) = (
            size.cpu_milli as f64 / count,
            size.memory_mib as f64 / count,
        );
        if self.last.is_none() {
            (self.cpu_milli, self.memory_mib) = (cpu, memory);
        }
        self.cpu_milli += NEWEST * (cpu - self.cpu_milli);
        self.memory_mib += NEWEST * (memory - self.memory_mib);
        self.last = Some(now);
    }

    /// Returns what should stay free beside so many free accelerators, so that work which wants
    /// them still fits.
    pub(crate) fn beside(self, accelerators: u64, now: Millis) -> Resources {
        let is_expected = self
            .last
            .is_some_and(|last| now <= last.saturating_add(EXPECTED_FOR));
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
