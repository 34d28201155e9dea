//! Where and when tasks that find no room now will find it, by the estimated ends of what runs.

use kspan_model::{Millis, Resources};
use rustc_hash::FxHashMap;

use crate::{
    TaskState,
    feasible::times_fitting,
    job::JobNo,
    reserve::{LONGEST, Planned, Reservation, SHORTEST},
    spec::JobKind,
    state::Inner,
    worker::{RackNo, Worker, WorkerNo},
};

/// Reservations for waiting jobs at once.
const MOST_RESERVATIONS: usize = 8;
/// Part of the whole capacity that one more reservation may bring the reserved capacity to.
const MOST_RESERVED: f64 = 0.5;
/// Expected time until a task that was told to go has gone.
const LEAVING_TIME: Millis = Millis(500);
/// A reservation lives this many times as long as its capacity is expected to take.
const LIFE_FACTOR: u64 = 2;

/// Room for one more task.
#[derive(Clone, Copy, Debug)]
struct Opening {
    at: Millis,
    worker: WorkerNo,
    rack: RackNo,
}

impl Inner {
    /// Holds capacity back for the next task of a job, or for the whole gang, where it is
    /// expected soonest. Returns whether it did.
    pub(crate) fn reserve_soonest(&mut self, number: JobNo, now: Millis) -> bool {
        let job = self.jobs.get(number);
        if now < job.no_reservation_before || !self.may_reserve(number) {
            return false;
        }
        let size = job.spec.shape.size;
        let wanted = if job.is_gang() { job.spec.tasks } else { 1 } as usize;
        let near = job.spec.kind == (JobKind::Gang { rack_near: true });
        let openings = self.openings(number, size, wanted, now);
        let Some(chosen) = choose_openings(openings, wanted, near) else {
            return false;
        };
        let ready_at = chosen.iter().map(|opening| opening.at).max().unwrap_or(now);
        let span = ready_at.saturating_sub(now);
        if span > LONGEST {
            return false;
        }
        let life = Millis(span.0 * LIFE_FACTOR).max(SHORTEST).min(LONGEST);
        let mut workers: Vec<WorkerNo> = chosen.iter().map(|opening| opening.worker).collect();
        workers.sort_unstable();
        let tasks = workers.into_iter().map(|worker| Planned {
            index: self.take_pending(number),
            worker,
        });
        let tasks = tasks.collect();
        self.reserve(Reservation {
            job: number,
            size,
            tasks,
            made: now,
            ready_at,
            until: now.saturating_add(life),
            tried: now,
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
                sum.saturating_add(entry.size.times(entry.tasks.len() as u64))
            });
        let all = reserved.saturating_add(self.jobs.get(number).next_need());
        let part = all.dominant_share(self.workers.total);
        self.reservations.len() < MOST_RESERVATIONS && part <= MOST_RESERVED
    }

    /// Returns when and where there will be room for a task, at most `wanted` times a worker.
    fn openings(&self, number: JobNo, size: Resources, wanted: usize, now: Millis) -> Vec<Opening> {
        let avoid = &self.jobs.get(number).avoid;
        let mut openings = Vec::new();
        let mut ends = Vec::new();
        for (worker, entry) in self.workers.iter() {
            if size.fits_in(entry.capacity) && entry.takes_tasks() && !avoid.contains(&worker) {
                self.ends_on(entry, now, &mut ends);
                open(worker, entry, &ends, size, wanted, now, &mut openings);
            }
        }
        openings
    }

    /// Collects when each task on a worker is expected to end, soonest first.
    fn ends_on(&self, worker: &Worker, now: Millis, ends: &mut Vec<(Millis, Resources)>) {
        ends.clear();
        for held in &worker.tasks {
            let job = self.jobs.get(held.job);
            let slot = &job.slots[held.index as usize];
            let at = match slot.state {
                TaskState::Checkpointing | TaskState::Stopping => now.saturating_add(LEAVING_TIME),
                _ => match self.estimates.careful_run_time(&job.spec) {
                    Millis::ZERO => continue,
                    run_time => slot.since.saturating_add(run_time).max(now),
                },
            };
            ends.push((at, slot.size));
        }
        ends.sort_unstable_by_key(|(at, _)| *at);
    }
}

fn open(
    worker: WorkerNo,
    entry: &Worker,
    ends: &[(Millis, Resources)],
    size: Resources,
    wanted: usize,
    now: Millis,
    openings: &mut Vec<Opening>,
) {
    let mut taken = entry.committed.saturating_add(entry.reserved);
    let mut open = 0;
    let mut push_new = |at: Millis, taken: Resources| {
        let Some(room) = entry.capacity.checked_sub(taken) else {
            return;
        };
        let most = wanted as u64;
        let fitting = times_fitting(size, room).min(most);
        while open < fitting {
            open += 1;
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

/// Chooses the soonest openings: within the rack that has enough of them first where the tasks
/// are to be near each other and some rack can hold all, or else anywhere.
fn choose_openings(mut openings: Vec<Opening>, wanted: usize, near: bool) -> Option<Vec<Opening>> {
    if openings.len() < wanted || wanted == 0 {
        return None;
    }
    openings.sort_unstable_by_key(|opening| (opening.at, opening.worker));
    if near && let Some(rack) = soonest_rack(&openings, wanted) {
        openings.retain(|opening| opening.rack == rack);
    }
    openings.truncate(wanted);
    Some(openings)
}

/// Returns the rack that has enough openings first. The openings are in order of time.
fn soonest_rack(openings: &[Opening], wanted: usize) -> Option<RackNo> {
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
