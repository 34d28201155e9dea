//! Reservations at the earliest time when capacity is expected, from the estimated ends of running
//! tasks.

use kspan_model::{Millis, Resources};
use rustc_hash::FxHashMap;

use crate::{
    TaskState,
    job::JobNo,
    reservation::{PlannedTask, Reservation},
    reserve::{MAX_LIFETIME, MIN_LIFETIME},
    spec::JobKind,
    state::Inner,
    worker::{RackNo, Worker, WorkerNo},
};

/// Maximum number of reservations at the same time.
const MAX_RESERVATIONS: usize = 8;
/// Fraction of the total capacity up to which further reservations are made.
const MAX_RESERVED_SHARE: f64 = 0.5;
/// Expected time until a stopping, preempted or checkpointing task has ended.
pub(crate) const EXPECTED_STOP_TIME: Millis = Millis(500);
/// Ratio of a reservation's lifetime to the expected time until its capacity is free.
const LIFETIME_FACTOR: u64 = 2;

/// Capacity for one more task, expected at a time.
#[derive(Clone, Copy, Debug)]
struct Opening {
    at: Millis,
    worker: WorkerNo,
    rack: RackNo,
}

impl Inner {
    /// Reserves capacity for the next task of a job, or for a whole gang, where it is expected
    /// earliest. Returns whether a reservation was made.
    pub(crate) fn reserve_earliest(&mut self, number: JobNo, now: Millis) -> bool {
        let job = self.jobs.get(number);
        if now < job.no_reservation_before || !self.may_reserve(number) {
            return false;
        }
        let size = job.spec.shape.size;
        let wanted = if job.is_gang() { job.spec.tasks } else { 1 } as usize;
        let same_rack = job.spec.kind == (JobKind::Gang { rack_near: true });
        let openings = self.openings(number, size, wanted, now);
        let Some(chosen) = choose_openings(openings, wanted, same_rack) else {
            return false;
        };
        let ready_at = chosen.iter().map(|opening| opening.at).max().unwrap_or(now);
        let span = ready_at.saturating_sub(now);
        if span > MAX_LIFETIME {
            return false;
        }
        let lifetime = Millis(span.0 * LIFETIME_FACTOR)
            .max(MIN_LIFETIME)
            .min(MAX_LIFETIME);
        let mut workers: Vec<WorkerNo> = chosen.iter().map(|opening| opening.worker).collect();
        workers.sort_unstable();
        let tasks = workers.into_iter().map(|worker| PlannedTask {
            index: self.pop_pending(number),
            worker,
        });
        let tasks = tasks.collect();
        self.reserve(Reservation {
            job: number,
            size,
            tasks,
            created: now,
            ready_at,
            until: now.saturating_add(lifetime),
            last_tried_at: now,
        });
        true
    }

    fn may_reserve(&self, number: JobNo) -> bool {
        if self.reservations.is_empty() {
            return true;
        }
        let reserved = self
            .reservations
            .iter()
            .fold(Resources::ZERO, |sum, entry| {
                sum.saturating_add(entry.size.saturating_mul(entry.tasks.len() as u64))
            });
        let all = reserved.saturating_add(self.jobs.get(number).next_need());
        let share = all.dominant_share(self.workers.total);
        self.reservations.len() < MAX_RESERVATIONS && share <= MAX_RESERVED_SHARE
    }

    /// Returns when and where capacity for a task is expected, at most `wanted` openings per
    /// worker.
    fn openings(&self, number: JobNo, size: Resources, wanted: usize, now: Millis) -> Vec<Opening> {
        let avoid = &self.jobs.get(number).avoid;
        let mut openings = Vec::new();
        let mut ends = Vec::new();
        for (worker, entry) in self.workers.iter() {
            if size.fits_in(entry.capacity) && entry.accepts_tasks() && !avoid.contains(&worker) {
                self.ends_on(entry, now, &mut ends);
                push_openings(worker, entry, &ends, size, wanted, now, &mut openings);
            }
        }
        openings
    }

    /// Collects the expected ends of the tasks on a worker, earliest first.
    fn ends_on(&self, worker: &Worker, now: Millis, ends: &mut Vec<(Millis, Resources)>) {
        ends.clear();
        for held in &worker.tasks {
            let job = self.jobs.get(held.job);
            let slot = &job.slots[held.index as usize];
            let at = match slot.state {
                TaskState::Checkpointing | TaskState::Stopping => {
                    now.saturating_add(EXPECTED_STOP_TIME)
                }
                _ => match self.estimates.conservative_run_time(&job.spec) {
                    Millis::ZERO => continue,
                    run_time => slot.since.saturating_add(run_time).max(now),
                },
            };
            ends.push((at, slot.size));
        }
        ends.sort_unstable_by_key(|(at, _)| *at);
    }
}

fn push_openings(
    worker: WorkerNo,
    entry: &Worker,
    ends: &[(Millis, Resources)],
    size: Resources,
    wanted: usize,
    now: Millis,
    openings: &mut Vec<Opening>,
) {
    let mut taken = entry.committed.saturating_add(entry.reserved);
    let mut pushed = 0;
    let mut push_new = |at: Millis, taken: Resources| {
        let Some(room) = entry.capacity.checked_sub(taken) else {
            return;
        };
        let max_tasks = wanted as u64;
        let fitting = size.count_in(room).min(max_tasks);
        while pushed < fitting {
            pushed += 1;
            openings.push(Opening {
                at,
                worker,
                rack: entry.rack,
            });
        }
    };
    push_new(now, taken);
    for &(at, released) in ends {
        taken = taken.saturating_sub(released);
        push_new(at, taken);
    }
}

/// Chooses the earliest openings. With `same_rack` they all come from the rack that first has
/// enough of them, if there is one.
fn choose_openings(
    mut openings: Vec<Opening>,
    wanted: usize,
    same_rack: bool,
) -> Option<Vec<Opening>> {
    if openings.len() < wanted || wanted == 0 {
        return None;
    }
    openings.sort_unstable_by_key(|opening| (opening.at, opening.worker));
    if same_rack && let Some(rack) = earliest_rack(&openings, wanted) {
        openings.retain(|opening| opening.rack == rack);
    }
    openings.truncate(wanted);
    Some(openings)
}

/// Returns the rack that first has enough openings. The openings must be sorted by time.
fn earliest_rack(openings: &[Opening], wanted: usize) -> Option<RackNo> {
    let mut counts: FxHashMap<RackNo, usize> = FxHashMap::default();
    for opening in openings {
        let count = counts.entry(opening.rack).or_insert(0);
        *count += 1;
        if *count == wanted {
            return Some(opening.rack);
        }
    }
    None
}
