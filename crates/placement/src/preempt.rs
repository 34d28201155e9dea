//! Pre-emption: urgent work takes the place of low and normal work, and teams within their quota
//! take back what others borrow.
//!
//! Tasks that can be checkpointed go first, then those that lose the least. The room is held
//! back for the task that asked for it until the tasks there have ended. Services stay put.

use kspan_model::{Millis, Priority, Resources};
use rand::Rng;
use smallvec::SmallVec;

use crate::{
    TaskState,
    job::JobNo,
    queue::Candidate,
    reserve::{MIN_LIFETIME, PlannedTask, Reservation},
    spec::Decision,
    state::Inner,
    team::Team,
    worker::{TaskRef, Worker, WorkerNo},
};

/// Workers that are scored for one pre-emption.
const MAX_SCORED_WORKERS: usize = 64;
/// Workers that are looked at for one pre-emption, those that are too small included.
const MAX_VISITED_WORKERS: usize = 1_024;
/// Pre-empting searches in one plan.
pub(crate) const MAX_SEARCHES_PER_PLAN: usize = 64;
/// Time without a search for urgent work after one that found nothing.
const URGENT_SEARCH_PAUSE: Millis = Millis(20);
/// Time without a search for work within its quota after one that found nothing.
const RECLAIM_SEARCH_PAUSE: Millis = Millis(250);
/// Part of its quota below which a team takes back soon what others borrow.
const LOW_QUOTA_SHARE: f64 = 0.5;
/// How long a job of a poor team waits before it takes back what others borrow. Shorter waits
/// pre-empt for what the next ends would have freed, and leave holes.
const RECLAIM_AFTER_LOW: Millis = Millis::from_secs(10);
/// How long a job of another team within its quota waits for that.
const RECLAIM_AFTER: Millis = Millis::from_secs(60);
/// Expected time until a pre-empted task has gone.
const EXPECTED_STOP_TIME: Millis = Millis(500);
/// Cost of a victim that cannot be checkpointed, before the time it has run.
const LOST_WORK_COST: u64 = 10_000;
/// Run time beyond which a victim costs no more.
const MAX_LOST_RUN_TIME: Millis = Millis::from_secs(3_600);
/// Cost of normal work over low work.
const NORMAL_PRIORITY_COST: u64 = 1_000;

/// Why tasks may be pre-empted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PreemptCause {
    Urgent,
    Reclaim,
}

type Victims = SmallVec<[TaskRef; 4]>;

impl Inner {
    /// Makes room for the next task of a job that found none, if it may. Returns whether room is
    /// on its way.
    pub(crate) fn preempt_for(
        &mut self,
        next: Candidate,
        now: Millis,
        rng: &mut impl Rng,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let job = self.jobs.get(next.job);
        let size = job.spec.shape.size;
        let team = self.teams.get(next.team);
        if !team.is_within_quota(size) || self.searches_left == 0 {
            return false;
        }
        let cause = if job.spec.priority == Priority::Urgent {
            PreemptCause::Urgent
        } else if now >= job.spec.submitted.saturating_add(reclaim_after(team)) {
            PreemptCause::Reclaim
        } else {
            return false;
        };
        let is_paused = now < self.next_search_at[cause as usize];
        if is_paused || (cause == PreemptCause::Reclaim && !self.teams.any_borrowing()) {
            return false;
        }
        self.searches_left -= 1;
        let Some((worker, victims)) = self.find_victims(next.job, cause, now, rng) else {
            let pause = match cause {
                PreemptCause::Urgent => URGENT_SEARCH_PAUSE,
                PreemptCause::Reclaim => RECLAIM_SEARCH_PAUSE,
            };
            self.next_search_at[cause as usize] = now.saturating_add(pause);
            return false;
        };
        for held in victims {
            decisions.extend(self.preempt(held.job, held.index));
        }
        let index = self.pop_pending(next.job);
        self.reserve(Reservation {
            job: next.job,
            size,
            tasks: vec![PlannedTask { index, worker }],
            created: now,
            ready_at: now.saturating_add(EXPECTED_STOP_TIME),
            until: now.saturating_add(MIN_LIFETIME),
            last_tried_at: now,
        });
        true
    }

    /// Marks a task as going and returns the decision.
    pub(crate) fn preempt(&mut self, number: JobNo, index: u32) -> Option<Decision> {
        let job = self.jobs.get_mut(number);
        let checkpoint = job.spec.shape.checkpoint;
        let slot = &mut job.slots[index as usize];
        if slot.is_vacating() || !slot.state.holds_worker() {
            return None;
        }
        slot.transition_to(if checkpoint {
            TaskState::Checkpointing
        } else {
            TaskState::Stopping
        });
        let worker = slot.worker;
        Some(Decision::Preempt {
            task: job.task(index),
            worker: self.workers.get(worker).name.clone(),
            checkpoint,
        })
    }

    fn find_victims(
        &self,
        number: JobNo,
        cause: PreemptCause,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Option<(WorkerNo, Victims)> {
        let job = self.jobs.get(number);
        let need = job.spec.shape.size;
        let slots = self.workers.slot_count();
        let start = rng.random_range(0..slots.max(1));
        let mut best: Option<(u64, WorkerNo, Victims)> = None;
        let mut scored = 0;
        for offset in 0..slots.min(MAX_VISITED_WORKERS) {
            let slot = (start + offset) % slots;
            let Some(worker) = self.workers.at(slot) else {
                continue;
            };
            if !need.fits_in(worker.capacity) || !worker.accepts_tasks() {
                continue;
            }
            if let Some((cost, victims)) = self.victims_on(worker, need, cause, now) {
                scored += 1;
                if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                    let number = WorkerNo::try_from(slot).expect("numbered in 32 bits");
                    best = Some((cost, number, victims));
                }
            }
            if scored >= MAX_SCORED_WORKERS {
                break;
            }
        }
        best.map(|(_, worker, victims)| (worker, victims))
    }

    /// Returns the cheapest tasks whose going makes room on a worker, and their cost.
    fn victims_on(
        &self,
        worker: &Worker,
        need: Resources,
        cause: PreemptCause,
        now: Millis,
    ) -> Option<(u64, Victims)> {
        // What is going already is spoken for by the reservations on the worker.
        let mut remaining = worker.committed;
        let mut candidates: SmallVec<[(u64, TaskRef, Resources); 8]> = SmallVec::new();
        for &held in &worker.tasks {
            let slot = &self.jobs.get(held.job).slots[held.index as usize];
            if slot.is_vacating() {
                remaining = remaining.saturating_sub(slot.size);
            } else if let Some(cost) = self.victim_cost(held, cause, now) {
                candidates.push((cost, held, slot.size));
            }
        }
        candidates.sort_unstable_by_key(|(cost, ..)| *cost);
        let mut victims = Victims::new();
        let mut total = 0;
        for (cost, held, size) in candidates {
            if has_room(worker, remaining, need) {
                break;
            }
            remaining = remaining.saturating_sub(size);
            total += cost;
            victims.push(held);
        }
        let is_enough = has_room(worker, remaining, need);
        is_enough.then_some((total, victims))
    }

    /// Returns what it costs to pre-empt a task, or `None` where it may not be.
    fn victim_cost(&self, held: TaskRef, cause: PreemptCause, now: Millis) -> Option<u64> {
        let job = self.jobs.get(held.job);
        let slot = &job.slots[held.index as usize];
        if job.is_service() || job.is_gang() || slot.state != TaskState::Running {
            return None;
        }
        let may_preempt = match cause {
            PreemptCause::Urgent => job.spec.priority <= Priority::Normal,
            PreemptCause::Reclaim => {
                let team = self.teams.get(job.team);
                // The team must hold its quota even without the task.
                let rest = team.committed.saturating_sub(slot.size);
                job.spec.priority <= Priority::High && rest.dominant_share(team.quota) >= 1.0
            }
        };
        if !may_preempt {
            return None;
        }
        let mut cost = 1;
        if job.spec.priority >= Priority::Normal {
            cost += NORMAL_PRIORITY_COST;
        }
        if !job.spec.shape.checkpoint {
            let ran = now.saturating_sub(slot.since).min(MAX_LOST_RUN_TIME);
            cost += LOST_WORK_COST + ran.0;
        }
        Some(cost)
    }
}

fn reclaim_after(team: &Team) -> Millis {
    if team.committed.dominant_share(team.quota) < LOW_QUOTA_SHARE {
        RECLAIM_AFTER_LOW
    } else {
        RECLAIM_AFTER
    }
}

fn has_room(worker: &Worker, remaining: Resources, need: Resources) -> bool {
    let taken = remaining.saturating_add(worker.reserved);
    taken.saturating_add(need).fits_in(worker.capacity)
}
