//! The plan: which waiting tasks start now, and where.

use kspan_model::Millis;
use rand::Rng;

use crate::{Cell, queue::Next, spec::Decision, state::Inner, timers::Due};

/// How long a job waits for another worker than those on which it failed.
const AVOIDANCE: Millis = Millis::from_secs(5);

impl Cell {
    /// Decides what is to be done now, at most `budget` starts. A gang is never split by the
    /// budget. Every decision is in force in the cell when it is returned.
    ///
    /// # Examples
    ///
    /// See the crate's documentation.
    pub fn plan(&mut self, now: Millis, rng: &mut impl Rng, budget: usize) -> Vec<Decision> {
        let inner = &mut self.inner;
        let mut decisions = Vec::new();
        inner.run_timers(now);
        inner.measure_shares();
        if std::mem::take(&mut inner.recheck) {
            let found = inner.take_impossible();
            let found = found.into_iter();
            decisions.extend(found.map(|(job, reason)| Decision::Impossible { job, reason }));
        }
        let mut left = budget;
        while left > 0 {
            let Some(next) = inner.queue.next() else {
                break;
            };
            let started = inner.try_next(next, now, rng, &mut decisions);
            left = left.saturating_sub(started);
        }
        decisions
    }
}

impl Inner {
    fn run_timers(&mut self, now: Millis) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Retry(task) => self.end_backoff(task),
            }
        }
    }

    /// Tries the next job of the queue and returns how many tasks were started.
    fn try_next(
        &mut self,
        next: Next,
        now: Millis,
        rng: &mut impl Rng,
        decisions: &mut Vec<Decision>,
    ) -> usize {
        let job = self.jobs.get(next.job);
        let need = job.next_need();
        if !self.teams.get(next.team).admits(need) {
            self.queue.park(next.class, next.team);
            self.teams.get_mut(next.team).parked.push(next.class);
            return 0;
        }
        if job.is_gang() {
            return self.try_gang(next, now, decisions);
        }
        let size = job.spec.shape.size;
        let Some(worker) = self.choose(next.job, rng) else {
            if self.jobs.get(next.job).avoid.is_empty() {
                self.queue.block(next.class, size);
            } else {
                self.put_off(next.job, now);
            }
            return 0;
        };
        let index = self.take_pending(next.job);
        decisions.push(Decision::Start(self.start(next.job, index, worker, now)));
        1
    }

    /// Puts a job off that avoids some workers, so that it does not hold up its class. It avoids
    /// nothing any more when it is tried again.
    fn put_off(&mut self, number: u32, now: Millis) {
        let index = self.take_pending(number);
        self.jobs.get_mut(number).avoid.clear();
        self.wait(number, index, AVOIDANCE, now);
    }

    /// Takes the next waiting index of a queued job.
    pub(crate) fn take_pending(&mut self, number: u32) -> u32 {
        let job = self.jobs.get_mut(number);
        let index = job.pending.pop().expect("a queued job has waiting tasks");
        if job.pending.is_empty() {
            self.dequeue(number);
        }
        index
    }

    fn end_backoff(&mut self, task: kspan_model::TaskId) {
        let Some(number) = self.jobs.number(task.job) else {
            return;
        };
        let job = self.jobs.get_mut(number);
        let wanted = task.index < job.spec.tasks && !job.pending.contains(&task.index);
        let slot = &job.slots[task.index as usize];
        let waits = slot.state == crate::TaskState::Queued && slot.attempt == task.attempt;
        if wanted && waits {
            job.pending.push(task.index);
            self.enqueue(number);
        }
    }
}
