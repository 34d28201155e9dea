//! The plan: which waiting tasks start now, and where.

use kspan_model::{JobId, Millis, Name, Priority};
use rand::Rng;

use crate::{
    Cell, commands::PROMOTED_AFTER, preempt::SEARCHES_PER_PLAN, queue::Next, spec::Decision,
    state::Inner, timers::Due,
};

/// How long a job waits for another worker than those on which it failed.
pub(crate) const AVOIDANCE: Millis = Millis::from_secs(5);
/// Wait after which room is held back for a task that finds none.
const RESERVED_AFTER: Millis = Millis::from_secs(30);
/// Shortest time between two tries of a gang that found no room.
const GANG_INTERVAL: Millis = Millis(20);
/// Classes that may fail on a room before it is left.
const TRIED_FOR_A_ROOM: usize = 8;
/// Best classes set aside that a sweep takes back.
const SWEPT_BEST: usize = 48;
/// Further classes set aside that a sweep takes back, in turn.
const SWEPT_IN_TURN: usize = 16;
/// Interval at which everything that waits is tried again.
pub(crate) const SWEEP_INTERVAL: Millis = Millis(250);

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
        inner.searches_left = SEARCHES_PER_PLAN;
        inner.measure_shares();
        if std::mem::take(&mut inner.recheck) {
            let found = inner.take_impossible();
            let found = found.into_iter();
            decisions.extend(found.map(|(job, reason)| Decision::Impossible { job, reason }));
        }
        inner.mend_gangs(now, &mut decisions);
        inner.sweep(now, rng, &mut decisions);
        let reserved = inner.serve_reservations(now, &mut decisions);
        let mut left = budget.saturating_sub(reserved);
        // Classes that failed on the room that is being filled.
        let mut tried = Vec::new();
        while left > 0 {
            let next = inner.next_for_rooms(now, &mut tried);
            let Some(next) = next.or_else(|| inner.queue.next()) else {
                break;
            };
            if inner.is_overtaken(next) {
                continue;
            }
            let was_blocked = inner.queue.is_blocked(next.class);
            let started = inner.try_next(next, now, rng, &mut decisions);
            left = left.saturating_sub(started);
            if was_blocked && started > 0 {
                inner.queue.expect_any_size(next.class);
            } else if was_blocked && !inner.queue.is_parked(next.class, next.team) {
                tried.push(next.class);
            }
        }
        decisions
    }
}

impl Inner {
    fn run_timers(&mut self, now: Millis) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Retry(task) => self.end_backoff(task),
                Due::Trial(name) => self.end_probation(&name),
                Due::Age(job) => self.promote(job, now),
            }
        }
    }

    /// Returns the best job set aside that may fit where room has come free, if it goes before
    /// everything that is not set aside.
    fn next_for_rooms(&mut self, now: Millis, tried: &mut Vec<u32>) -> Option<Next> {
        while let Some(&worker) = self.rooms.last() {
            let entry = self.workers.at(worker as usize);
            let fitting = entry.filter(|entry| entry.takes_tasks()).and_then(|entry| {
                let room = entry.uncommitted();
                let plain = room.saturating_sub(self.kept_beside(room, now));
                self.queue.best_fitting(room, plain, tried)
            });
            let is_worth_more = tried.len() < TRIED_FOR_A_ROOM;
            if fitting.is_some() && is_worth_more {
                return fitting;
            }
            if self.queue.next().is_some() {
                return None;
            }
            self.rooms.pop();
            tried.clear();
        }
        None
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
        let found = self.choose(next.job, now, rng);
        let Some(worker) = found.or_else(|| self.choose_backfill(next.job, now)) else {
            self.hold_up(next, now, rng, decisions);
            return 0;
        };
        let index = self.take_pending(next.job);
        decisions.push(Decision::Start(self.start(next.job, index, worker, now)));
        1
    }

    /// Decides what becomes of a job that found no room.
    fn hold_up(
        &mut self,
        next: Next,
        now: Millis,
        rng: &mut impl Rng,
        decisions: &mut Vec<Decision>,
    ) {
        if self.make_room(next, now, rng, decisions) {
            return;
        }
        let job = self.jobs.get(next.job);
        if !job.avoid.is_empty() {
            self.put_off(next.job, now);
            return;
        }
        let size = job.spec.shape.size;
        let waited = now.saturating_sub(job.spec.submitted);
        if waited >= RESERVED_AFTER && self.reserve_soonest(next.job, now) {
            return;
        }
        self.queue.block(next.class, size);
    }

    /// Looks again at what no event brings up: classes set aside, gangs, draining workers.
    fn sweep(&mut self, now: Millis, rng: &mut impl Rng, decisions: &mut Vec<Decision>) {
        let gangs_due = now >= self.gangs_tried.saturating_add(GANG_INTERVAL);
        if gangs_due && std::mem::take(&mut self.room_for_gangs) {
            self.gangs_tried = now;
            self.queue.unblock_gangs();
        }
        if now < self.swept.saturating_add(SWEEP_INTERVAL) {
            return;
        }
        self.swept = now;
        self.rank_changed_teams();
        self.queue.unblock_some(SWEPT_BEST, SWEPT_IN_TURN);
        self.evacuate(now, rng, decisions);
    }

    fn end_probation(&mut self, name: &Name) {
        let Some(number) = self.workers.number(name) else {
            return;
        };
        self.workers.get_mut(number).health.begin_trial();
        self.workers.refresh(number);
        self.offer_room(number);
    }

    /// Raises the priority of a job that still waits.
    fn promote(&mut self, id: JobId, now: Millis) {
        let Some(number) = self.jobs.number(id) else {
            return;
        };
        let job = self.jobs.get(number);
        if job.priority() >= Priority::High {
            return;
        }
        self.timers
            .set(now.saturating_add(PROMOTED_AFTER), Due::Age(id));
        if job.entry.is_none() || job.started {
            return;
        }
        self.dequeue(number);
        self.jobs.get_mut(number).promoted += 1;
        self.enqueue(number);
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
            self.line_up(number, task.index);
        }
    }
}
