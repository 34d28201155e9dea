//! The choice of a worker for one task.
//!
//! A bounded number of candidates is scored, so that the cost does not follow the number of
//! workers. The score is a weighted sum; the weights are the policy's.

use kspan_model::{Millis, Priority, Resources};
use rand::Rng;

use crate::{
    index::Visit,
    job::{Job, JobNo},
    state::Inner,
    worker::{Worker, WorkerNo},
};

/// Workers scored for one task.
const CANDIDATES: usize = 32;
/// Workers scored from one cell of the index before the next cell is looked at.
const PER_CELL: usize = 6;
/// Workers looked at for one task, those without room included.
const LOOKED_AT: usize = 256;

/// Part of a worker's processors that may be in use before another worker is preferred.
const COOL: f64 = 0.8;

/// Weight of fragmentation from which on accelerators are kept usable strictly.
const STRICT_FRAGMENTATION: f64 = 0.5;

#[derive(Clone, Copy)]
struct Best {
    worker: WorkerNo,
    cost: f64,
}

impl Inner {
    /// Returns the best worker with room for the job's next task.
    pub(crate) fn choose(
        &self,
        number: JobNo,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Option<WorkerNo> {
        let job = self.jobs.get(number);
        let need = job.spec.shape.size;
        let minds = job.spec.priority < Priority::Urgent;
        let used = self.estimates.usage(&job.spec);
        let mut best: Option<Best> = None;
        let (mut scored, mut looked_at, mut in_cell) = (0, 0, 0);
        let mut last_cell = None;
        let turn = rng.random_range(0..1_usize << 16);
        self.workers.index.search(need, turn, |cell, number| {
            if last_cell != Some(cell) {
                last_cell = Some(cell);
                in_cell = 0;
            }
            looked_at += 1;
            let worker = self.workers.get(number);
            let keeps = need.fits_in(worker.free()) && !(minds && self.strands(worker, need, now));
            if keeps && !job.avoid.contains(&number) {
                let cost = self.cost(job, worker, need, used);
                if best.is_none_or(|best| cost < best.cost) {
                    best = Some(Best {
                        worker: number,
                        cost,
                    });
                }
                scored += 1;
                in_cell += 1;
            }
            if scored >= CANDIDATES || (looked_at >= LOOKED_AT && best.is_some()) {
                Visit::Stop
            } else if in_cell >= PER_CELL {
                Visit::NextCell
            } else {
                Visit::Next
            }
        });
        best.map(|best| best.worker)
    }

    /// Returns a worker whose reserved capacity the job's next task may use meanwhile: it ends
    /// before that is needed, or can be checkpointed then.
    pub(crate) fn choose_backfill(&self, number: JobNo, now: Millis) -> Option<WorkerNo> {
        if self.reservations.is_empty() {
            return None;
        }
        let job = self.jobs.get(number);
        let need = job.spec.shape.size;
        let ends = match self.estimates.careful_run_time(&job.spec) {
            Millis::ZERO => Millis::MAX,
            run_time => now.saturating_add(run_time),
        };
        let checkpoint = job.spec.shape.checkpoint && !job.is_service();
        let mut found = None;
        let mut looked_at = 0;
        self.workers.backfill.search(need, 0, |_, number| {
            looked_at += 1;
            let worker = self.workers.get(number);
            let in_time = checkpoint || ends <= worker.needed_at;
            let has_room = need.fits_in(worker.uncommitted());
            if in_time && has_room && !job.avoid.contains(&number) {
                found = Some(number);
            }
            if found.is_some() || looked_at >= LOOKED_AT {
                Visit::Stop
            } else {
                Visit::Next
            }
        });
        found
    }

    /// Returns whether a task without accelerators would take what the worker's free accelerators
    /// need beside them, where the policy minds that.
    fn strands(&self, worker: &Worker, need: Resources, now: Millis) -> bool {
        if need.accelerators > 0 {
            return false;
        }
        let free = worker.free();
        !need
            .saturating_add(self.kept_beside(free, now))
            .fits_in(free)
    }

    /// Returns what of a room only work that wants accelerators may take.
    pub(crate) fn kept_beside(&self, room: Resources, now: Millis) -> Resources {
        let minds = self.policy.weights.fragmentation >= STRICT_FRAGMENTATION;
        if !minds || room.accelerators == 0 {
            return Resources::ZERO;
        }
        self.per_accelerator.beside(room.accelerators, now)
    }

    /// Returns the cost of a worker for the job's next task; less is better.
    fn cost(&self, job: &Job, worker: &Worker, need: Resources, used: Resources) -> f64 {
        let weights = self.policy.weights;
        let after = worker.free().saturating_sub(need);
        let cpu = part(after.cpu_milli, worker.capacity.cpu_milli);
        let memory = part(after.memory_mib, worker.capacity.memory_mib);
        let mut cost = weights.packing * (0.5 * (cpu + memory) + (cpu - memory).abs());
        if worker.capacity.accelerators > 0 {
            let stranded = part(after.accelerators, worker.capacity.accelerators);
            cost += weights.fragmentation * (stranded + f64::from(need.accelerators == 0));
        }
        let busy = worker.usage.saturating_add(used).cpu_milli;
        let heat = part(busy, worker.capacity.cpu_milli) - COOL;
        cost += weights.waiting * heat.max(0.0);
        if job.is_spread() {
            let near = job.racks.get(&worker.rack).copied().unwrap_or(0);
            cost += weights.spread * f64::from(near);
        }
        cost
    }
}

fn part(amount: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    amount as f64 / whole as f64
}
