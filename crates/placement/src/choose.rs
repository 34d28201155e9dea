//! Worker selection for one task.
//!
//! A bounded number of candidates is scored, so that the cost is independent of the number of
//! workers. The score is a sum weighted by the policy.

use kspan_model::{Millis, Priority, Resources};
use rand::Rng;

use crate::{
    index::Visit,
    job::{Job, JobNo},
    state::Inner,
    worker::{Worker, WorkerNo},
};

/// Maximum number of workers scored for one task.
const MAX_SCORED: usize = 32;
/// Maximum number of workers scored in one grid cell of the index before moving to the next.
const MAX_SCORED_PER_GRID_CELL: usize = 6;
/// Number of workers visited for one task, including those without free capacity, after which a
/// search ends. [`Inner::choose_worker`] goes on until it has found at least one candidate.
const MAX_VISITED: usize = 256;

/// Fraction of a worker's CPU in use above which other workers are preferred.
const CPU_UTILIZATION_TARGET: f64 = 0.8;

/// Fragmentation weight at or above which other work may not use the CPU and memory needed beside
/// free accelerators.
const STRICT_FRAGMENTATION_WEIGHT: f64 = 0.5;

#[derive(Clone, Copy)]
struct BestCandidate {
    worker: WorkerNo,
    cost: f64,
}

impl Inner {
    /// Returns the best worker with free capacity for the job's next task.
    pub(crate) fn choose_worker(
        &self,
        number: JobNo,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Option<WorkerNo> {
        let job = self.jobs.get(number);
        let need = job.spec.shape.size;
        let respects_headroom = job.spec.priority < Priority::Urgent;
        let used = self.estimates.usage(&job.spec);
        let mut best: Option<BestCandidate> = None;
        let (mut scored, mut visited, mut scored_in_cell) = (0, 0, 0);
        let mut last_cell = None;
        let offset = rng.random_range(0..1_usize << 16);
        self.workers.index.search(need, offset, |cell, number| {
            if last_cell != Some(cell) {
                last_cell = Some(cell);
                scored_in_cell = 0;
            }
            visited += 1;
            let worker = self.workers.get(number);
            let may_hold = need.fits_in(worker.free())
                && !(respects_headroom && self.would_strand_accelerators(worker, need, now));
            if may_hold && !job.avoid.contains(&number) {
                let cost = self.cost(job, worker, need, used);
                if best.is_none_or(|best| cost < best.cost) {
                    best = Some(BestCandidate {
                        worker: number,
                        cost,
                    });
                }
                scored += 1;
                scored_in_cell += 1;
            }
            if scored >= MAX_SCORED || (visited >= MAX_VISITED && best.is_some()) {
                Visit::Stop
            } else if scored_in_cell >= MAX_SCORED_PER_GRID_CELL {
                Visit::NextCell
            } else {
                Visit::Next
            }
        });
        best.map(|best| best.worker)
    }

    /// Returns a worker on which the job's next task may use reserved capacity: it is expected to
    /// end before the reservation needs the capacity, or can be checkpointed then.
    pub(crate) fn choose_backfill_worker(&self, number: JobNo, now: Millis) -> Option<WorkerNo> {
        if self.reservations.is_empty() {
            return None;
        }
        let job = self.jobs.get(number);
        let need = job.spec.shape.size;
        let ends = match self.estimates.conservative_run_time(&job.spec) {
            Millis::ZERO => Millis::MAX,
            run_time => now.saturating_add(run_time),
        };
        let checkpoint = job.spec.shape.checkpoint && !job.is_service();
        let mut found = None;
        let mut visited = 0;
        self.workers.backfill.search(need, 0, |_, number| {
            visited += 1;
            let worker = self.workers.get(number);
            let in_time = checkpoint || ends <= worker.reserved_from;
            let has_room = need.fits_in(worker.uncommitted());
            if in_time && has_room && !job.avoid.contains(&number) {
                found = Some(number);
            }
            if found.is_some() || visited >= MAX_VISITED {
                Visit::Stop
            } else {
                Visit::Next
            }
        });
        found
    }

    /// Returns whether a task without accelerators would use the CPU and memory needed beside the
    /// worker's free accelerators, if the policy protects them.
    fn would_strand_accelerators(&self, worker: &Worker, need: Resources, now: Millis) -> bool {
        if need.accelerators > 0 {
            return false;
        }
        let free = worker.free();
        !need
            .saturating_add(self.accelerator_headroom(free, now))
            .fits_in(free)
    }

    /// Returns the part of `room` that is kept for tasks with accelerators.
    pub(crate) fn accelerator_headroom(&self, room: Resources, now: Millis) -> Resources {
        let protects_accelerators =
            self.policy.weights.fragmentation >= STRICT_FRAGMENTATION_WEIGHT;
        if !protects_accelerators || room.accelerators == 0 {
            return Resources::ZERO;
        }
        self.accelerator_demand.headroom(room.accelerators, now)
    }

    /// Returns the cost of a worker for the job's next task; lower is better.
    fn cost(&self, job: &Job, worker: &Worker, need: Resources, used: Resources) -> f64 {
        let weights = self.policy.weights;
        let after = worker.free().saturating_sub(need);
        let cpu = ratio(after.cpu_milli, worker.capacity.cpu_milli);
        let memory = ratio(after.memory_mib, worker.capacity.memory_mib);
        let mut cost = weights.packing * (0.5 * (cpu + memory) + (cpu - memory).abs());
        if worker.capacity.accelerators > 0 {
            let stranded = ratio(after.accelerators, worker.capacity.accelerators);
            cost += weights.fragmentation * (stranded + f64::from(need.accelerators == 0));
        }
        let busy = worker.usage.saturating_add(used).cpu_milli;
        let excess = ratio(busy, worker.capacity.cpu_milli) - CPU_UTILIZATION_TARGET;
        cost += weights.waiting * excess.max(0.0);
        if job.is_spread() {
            let tasks_in_rack = job.tasks_per_rack.get(&worker.rack).copied().unwrap_or(0);
            cost += weights.spread * f64::from(tasks_in_rack);
        }
        cost
    }
}

fn ratio(part: u64, total: u64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    part as f64 / total as f64
}
