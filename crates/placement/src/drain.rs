//! Moving tasks off draining workers.
//!
//! Runners are moved a few at a time and only while another worker has capacity for them, tasks
//! that can be checkpointed are moved at once, and all others may finish where they run.

use kspan_model::Millis;
use rand::Rng;

use crate::{
    TaskState,
    spec::{Decision, WorkerState},
    state::Inner,
    worker::TaskRef,
};

/// One in this many runners of a service, and at least one, may be moving at the same time.
const RUNNERS_PER_CONCURRENT_MOVE: usize = 10;

impl Inner {
    /// Preempts the tasks that should leave draining workers now.
    pub(crate) fn drain_workers(
        &mut self,
        now: Millis,
        rng: &mut impl Rng,
        decisions: &mut Vec<Decision>,
    ) {
        let workers = self.workers.iter();
        let draining = workers.filter(|(_, worker)| worker.state == WorkerState::Draining);
        let held: Vec<TaskRef> = draining
            .flat_map(|(_, worker)| worker.tasks.clone())
            .collect();
        for held in held {
            if self.may_be_moved(held, now, rng) {
                decisions.extend(self.preempt(held.job, held.index));
            }
        }
    }

    fn may_be_moved(&self, held: TaskRef, now: Millis, rng: &mut impl Rng) -> bool {
        let job = self.jobs.get(held.job);
        if job.slots[held.index as usize].state != TaskState::Running {
            return false;
        }
        if !job.is_service() {
            return job.spec.shape.checkpoint && !job.is_gang();
        }
        let moving = job.slots.iter().filter(|slot| slot.is_vacating()).count();
        let max_moving = (job.spec.tasks as usize / RUNNERS_PER_CONCURRENT_MOVE).max(1);
        // A pending runner already needs the capacity that a further one would use.
        moving < max_moving
            && job.pending.is_empty()
            && self.choose_worker(held.job, now, rng).is_some()
    }
}
