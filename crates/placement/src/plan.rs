//! Planning: which queued tasks start now, and on which workers.

use kspan_model::{JobId, Millis, Name, Priority};
use rand::Rng;

use crate::{
    Cell, commands::PROMOTE_AFTER, preempt::MAX_SEARCHES_PER_PLAN, queue::Candidate,
    spec::Decision, state::Inner, timers::Timer,
};

/// Delay before a job that has found no worker other than those on which it failed may use those
/// again.
pub(crate) const WORKER_AVOIDANCE_DELAY: Millis = Millis::from_secs(5);
/// Waiting time after which capacity is reserved for a task that does not fit.
const RESERVE_AFTER: Millis = Millis::from_secs(30);
/// Minimum time between two attempts to place gangs that did not fit.
const MIN_GANG_RETRY_INTERVAL: Millis = Millis(20);
/// Maximum number of classes that may fail on one freed worker before the next is considered.
const MAX_FAILED_CLASSES_PER_WORKER: usize = 8;
/// Number of best-ranked blocked classes that a sweep unblocks.
const SWEEP_BEST_CLASSES: usize = 48;
/// Number of further blocked classes that a sweep unblocks, in round-robin order.
const SWEEP_ROUND_ROBIN_CLASSES: usize = 16;
/// Interval between two sweeps over blocked classes and draining workers.
pub(crate) const SWEEP_INTERVAL: Millis = Millis(250);

impl Cell {
    /// Decides which tasks to start or preempt now, with at most `budget` starts. A gang is never
    /// split by the budget. Every decision is already applied to the cell when it is returned.
    ///
    /// # Examples
    ///
    /// See the crate's documentation.
    pub fn plan(&mut self, now: Millis, rng: &mut impl Rng, budget: usize) -> Vec<Decision> {
        let inner = &mut self.inner;
        let mut decisions = Vec::new();
        inner.run_timers(now);
        inner.searches_left = MAX_SEARCHES_PER_PLAN;
        inner.recompute_shares();
        if std::mem::take(&mut inner.recheck_feasibility) {
            let found = inner.remove_impossible_jobs();
            let found = found.into_iter();
            decisions.extend(found.map(|(job, reason)| Decision::Impossible { job, reason }));
        }
        inner.restart_partial_gangs(now, &mut decisions);
        inner.sweep(now, rng, &mut decisions);
        let reserved = inner.serve_reservations(now, &mut decisions);
        let mut remaining = budget.saturating_sub(reserved);
        // Classes that did not fit on the freed worker being filled.
        let mut tried = Vec::new();
        while remaining > 0 {
            let next = inner.next_for_freed_workers(now, &mut tried);
            let Some(next) = next.or_else(|| inner.queue.next()) else {
                break;
            };
            if inner.update_stale_rank(next) {
                continue;
            }
            let was_blocked = inner.queue.is_blocked(next.class);
            let started = inner.try_next(next, now, rng, &mut decisions);
            remaining = remaining.saturating_sub(started);
            if was_blocked && started > 0 {
                inner.queue.lower_need_to_class_minimum(next.class);
            } else if was_blocked && !inner.queue.is_parked(next.class, next.team) {
                tried.push(next.class);
            }
        }
        decisions
    }
}

impl Inner {
    fn run_timers(&mut self, now: Millis) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Retry(task) => self.end_backoff(task),
                Timer::EndProbation(name) => self.end_probation(&name),
                Timer::Promote(job) => self.promote(job, now),
            }
        }
    }

    /// Returns the best blocked job that may fit on a freed worker, if it ranks before every job
    /// that is not blocked.
    fn next_for_freed_workers(&mut self, now: Millis, tried: &mut Vec<u32>) -> Option<Candidate> {
        while let Some(&worker) = self.freed_workers.last() {
            let entry = self.workers.at(worker as usize);
            let fitting = entry
                .filter(|entry| entry.accepts_tasks())
                .and_then(|entry| {
                    let room = entry.uncommitted();
                    let unaccelerated = room.saturating_sub(self.accelerator_headroom(room, now));
                    self.queue.best_fitting(room, unaccelerated, tried)
                });
            let may_try_more = tried.len() < MAX_FAILED_CLASSES_PER_WORKER;
            if fitting.is_some() && may_try_more {
                return fitting;
            }
            if self.queue.next().is_some() {
                return None;
            }
            self.freed_workers.pop();
            tried.clear();
        }
        None
    }

    /// Tries to place the candidate and returns the number of tasks started.
    fn try_next(
        &mut self,
        next: Candidate,
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
            return self.try_start_gang(next, now, decisions);
        }
        let found = self.choose_worker(next.job, now, rng);
        let Some(worker) = found.or_else(|| self.choose_backfill_worker(next.job, now)) else {
            self.handle_no_room(next, now, rng, decisions);
            return 0;
        };
        let index = self.pop_pending(next.job);
        decisions.push(Decision::Start(
            self.start_task(next.job, index, worker, now),
        ));
        1
    }

    /// Handles a job that does not fit: preempts tasks for it, postpones it, reserves capacity for it
    /// or blocks its class.
    fn handle_no_room(
        &mut self,
        next: Candidate,
        now: Millis,
        rng: &mut impl Rng,
        decisions: &mut Vec<Decision>,
    ) {
        if self.preempt_for(next, now, rng, decisions) {
            return;
        }
        let job = self.jobs.get(next.job);
        if !job.avoid.is_empty() {
            self.postpone(next.job, now);
            return;
        }
        let size = job.spec.shape.size;
        let waited = now.saturating_sub(job.spec.submitted);
        if waited >= RESERVE_AFTER && self.reserve_earliest(next.job, now) {
            return;
        }
        self.queue.block(next.class, size);
    }

    /// Unblocks gangs after capacity was freed, and some blocked classes even if no event has freed
    /// capacity, and moves tasks off draining workers.
    fn sweep(&mut self, now: Millis, rng: &mut impl Rng, decisions: &mut Vec<Decision>) {
        let gangs_due = now >= self.gangs_tried_at.saturating_add(MIN_GANG_RETRY_INTERVAL);
        if gangs_due && std::mem::take(&mut self.gang_room_freed) {
            self.gangs_tried_at = now;
            self.queue.unblock_gangs();
        }
        if now < self.swept_at.saturating_add(SWEEP_INTERVAL) {
            return;
        }
        self.swept_at = now;
        self.rank_changed_teams();
        self.queue
            .unblock_some(SWEEP_BEST_CLASSES, SWEEP_ROUND_ROBIN_CLASSES);
        self.drain_workers(now, rng, decisions);
    }

    fn end_probation(&mut self, name: &Name) {
        let Some(number) = self.workers.number(name) else {
            return;
        };
        self.workers.get_mut(number).health.begin_trial();
        self.workers.reindex(number);
        self.record_freed_room(number);
    }

    /// Raises the priority of a job that is still queued.
    fn promote(&mut self, id: JobId, now: Millis) {
        let Some(number) = self.jobs.number(id) else {
            return;
        };
        let job = self.jobs.get(number);
        if job.priority() >= Priority::High {
            return;
        }
        self.timers
            .schedule(now.saturating_add(PROMOTE_AFTER), Timer::Promote(id));
        if job.entry.is_none() || job.started {
            return;
        }
        self.dequeue(number);
        self.jobs.get_mut(number).promoted += 1;
        self.enqueue(number);
    }

    /// Delays a job that avoids some workers, so that it does not hold up its class, and clears the
    /// list, so that the next attempt may use every worker.
    fn postpone(&mut self, number: u32, now: Millis) {
        let index = self.pop_pending(number);
        self.jobs.get_mut(number).avoid.clear();
        self.enqueue_after(number, index, WORKER_AVOIDANCE_DELAY, now);
    }

    /// Removes the next pending index of a queued job and returns it.
    pub(crate) fn pop_pending(&mut self, number: u32) -> u32 {
        let job = self.jobs.get_mut(number);
        let index = job.pending.pop().expect("a queued job has pending tasks");
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
        let is_wanted = task.index < job.spec.tasks && !job.pending.contains(&task.index);
        let slot = &job.slots[task.index as usize];
        let waits = slot.state == crate::TaskState::Queued && slot.attempt == task.attempt;
        if is_wanted && waits {
            self.enqueue_task(number, task.index);
        }
    }
}
