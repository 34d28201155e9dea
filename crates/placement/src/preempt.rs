//! Preemption: urgent jobs preempt tasks of low and normal priority, and teams within their quota
//! reclaim what others borrow.
//!
//! Tasks that can be checkpointed are preempted first, then those that lose the least work. The
//! capacity is reserved for the task that caused the preemption until the victims have ended.
//! Services and gangs are not preempted.

use kspan_model::{Millis, Priority, Resources};
use rand::Rng;
use smallvec::SmallVec;

use crate::{
    TaskState,
    job::JobNo,
    openings::EXPECTED_STOP_TIME,
    queue::Candidate,
    reservation::{PlannedTask, Reservation},
    reserve::MIN_LIFETIME,
    spec::Decision,
    state::Inner,
    team::Team,
    worker::{TaskRef, Worker, WorkerNo},
};

/// Maximum number of workers scored for one preemption.
const MAX_SCORED_WORKERS: usize = 64;
/// Maximum number of workers visited for one preemption, including those that are too small.
const MAX_VISITED_WORKERS: usize = 1_024;
/// Maximum number of searches for victims in one plan.
pub(crate) const MAX_SEARCHES_PER_PLAN: usize = 64;
/// Delay before the next search for urgent work after one that found no victims.
const URGENT_SEARCH_DELAY: Millis = Millis(20);
/// Delay before the next search for work within its team's quota after one that found no victims.
const RECLAIM_SEARCH_DELAY: Millis = Millis(250);
/// Fraction of its quota below which a team reclaims borrowed capacity early.
const LOW_QUOTA_SHARE: f64 = 0.5;
/// Waiting time before a job of a team far below its quota reclaims borrowed capacity. Shorter
/// waits preempt tasks for capacity that would soon have become free, and fragment it.
const RECLAIM_AFTER_LOW_SHARE: Millis = Millis::from_secs(10);
/// Waiting time before a job of any other team within its quota reclaims borrowed capacity.
const RECLAIM_AFTER: Millis = Millis::from_secs(60);
/// Cost of a victim that cannot be checkpointed, in addition to its run time in milliseconds.
const LOST_WORK_COST: u64 = 10_000;
/// Upper bound on the run time included in a victim's cost.
const MAX_LOST_RUN_TIME: Millis = Millis::from_secs(3_600);
/// Cost of a victim of at least normal priority, in addition to the other costs.
const NORMAL_PRIORITY_COST: u64 = 1_000;

/// Reason for a preemption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PreemptCause {
    Urgent,
    Reclaim,
}

type Victims = SmallVec<[TaskRef; 4]>;

impl Inner {
    /// Preempts tasks for the next task of a job that does not fit, if the job is entitled to it,
    /// and reserves the capacity. Returns whether it did.
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
        let is_delayed = now < self.next_search_at[cause as usize];
        if is_delayed || (cause == PreemptCause::Reclaim && !self.teams.any_borrowing()) {
            return false;
        }
        self.searches_left -= 1;
        let Some((worker, victims)) = self.find_victims(next.job, cause, now, rng) else {
            let delay = match cause {
                PreemptCause::Urgent => URGENT_SEARCH_DELAY,
                PreemptCause::Reclaim => RECLAIM_SEARCH_DELAY,
            };
            self.next_search_at[cause as usize] = now.saturating_add(delay);
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

    /// Marks a task as checkpointing or stopping and returns the decision, or `None` if it is
    /// already ending.
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
                    let number = WorkerNo::try_from(slot).expect("workers fit in 32-bit numbers");
                    best = Some((cost, number, victims));
                }
            }
            if scored >= MAX_SCORED_WORKERS {
                break;
            }
        }
        best.map(|(_, worker, victims)| (worker, victims))
    }

    /// Returns the cheapest set of tasks to preempt on a worker, with its cost.
    fn victims_on(
        &self,
        worker: &Worker,
        need: Resources,
        cause: PreemptCause,
        now: Millis,
    ) -> Option<(u64, Victims)> {
        // Ending tasks do not count: the worker's reservations account for their capacity.
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

    /// Returns the cost of preempting a task, or `None` if it may not be preempted.
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
                // The team must still use its whole quota without the task.
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
        RECLAIM_AFTER_LOW_SHARE
    } else {
        RECLAIM_AFTER
    }
}

fn has_room(worker: &Worker, remaining: Resources, need: Resources) -> bool {
    let taken = remaining.saturating_add(worker.reserved);
    taken.saturating_add(need).fits_in(worker.capacity)
}
