//! Gangs: all tasks start together or none does.

use kspan_model::{Millis, Resources};

use crate::{
    feasible::times_fitting,
    job::JobNo,
    plan::AVOIDANCE,
    queue::Next,
    spec::{Decision, JobKind},
    state::Inner,
    worker::{RackNo, WorkerNo},
};

/// A worker with room for tasks of a gang.
#[derive(Clone, Copy, Debug)]
struct Room {
    worker: WorkerNo,
    rack: RackNo,
    tasks: u64,
}

impl Inner {
    /// Starts a gang if there is room for all of it, and returns how many tasks were started.
    pub(crate) fn try_gang(
        &mut self,
        next: Next,
        now: Millis,
        decisions: &mut Vec<Decision>,
    ) -> usize {
        let Some(places) = self.room_for_gang(next.job) else {
            let size = self.jobs.get(next.job).spec.shape.size;
            if !self.jobs.get(next.job).avoid.is_empty() {
                self.put_gang_off(next.job, now);
            } else if !self.reserve_soonest(next.job, now) {
                self.queue.block(next.class, size);
            }
            return 0;
        };
        let tasks = places.len();
        for worker in places {
            let index = self.take_pending(next.job);
            decisions.push(Decision::Start(self.start(next.job, index, worker, now)));
        }
        tasks
    }

    /// Puts a gang off that avoids some workers; it avoids nothing when it is tried again.
    fn put_gang_off(&mut self, number: JobNo, now: Millis) {
        self.dequeue(number);
        let job = self.jobs.get_mut(number);
        job.pending.clear();
        job.avoid.clear();
        self.wait(number, 0, AVOIDANCE, now);
    }

    /// Restarts the gangs of which an earlier owner of the shard left only a part.
    pub(crate) fn mend_gangs(&mut self, now: Millis, decisions: &mut Vec<Decision>) {
        for id in std::mem::take(&mut self.gangs_found) {
            if let Some(number) = self.jobs.number(id) {
                self.mend_gang(number, now, decisions);
            }
        }
    }

    fn mend_gang(&mut self, number: JobNo, now: Millis, decisions: &mut Vec<Decision>) {
        let job = self.jobs.get(number);
        let waiting = job.waiting();
        let is_whole = waiting == 0 || waiting == job.spec.tasks as usize;
        if is_whole || job.restarting || job.ending.is_some() {
            return;
        }
        let effect = self.repeat_gang(number, Millis::ZERO, now);
        let stops = effect.stop.into_iter().map(|placed| Decision::Preempt {
            task: placed.task,
            worker: placed.worker,
            checkpoint: false,
        });
        decisions.extend(stops);
    }

    /// Returns a worker for each task of a gang, or `None` where not all of them have room.
    pub(crate) fn room_for_gang(&self, number: JobNo) -> Option<Vec<WorkerNo>> {
        let job = self.jobs.get(number);
        let size = job.spec.shape.size;
        let wanted = u64::from(job.spec.tasks);
        let mut rooms = self.rooms(number, size, &job.avoid);
        let total: u64 = rooms.iter().map(|room| room.tasks).sum();
        if total < wanted {
            return None;
        }
        if job.spec.kind == (JobKind::Gang { rack_near: true }) {
            sort_by_rack(&mut rooms, wanted, self.workers.racks());
        } else {
            // The tightest workers first leaves the roomy ones whole.
            rooms.sort_unstable_by_key(|room| (room.tasks, room.worker));
        }
        let mut places = Vec::with_capacity(job.spec.tasks as usize);
        for room in rooms {
            let left = wanted - places.len() as u64;
            let taken = room.tasks.min(left);
            places.extend((0..taken).map(|_| room.worker));
            if taken == left {
                break;
            }
        }
        Some(places)
    }

    fn rooms(&self, job: JobNo, size: Resources, avoid: &[WorkerNo]) -> Vec<Room> {
        let own = self.reserved_for(job);
        let mut rooms = Vec::new();
        for (number, worker) in self.workers.iter() {
            let mut free = worker.free();
            if let Some(&own) = own.get(&number) {
                let others = worker.reserved.saturating_sub(own);
                let taken = worker.committed.saturating_add(others);
                free = worker.capacity.saturating_sub(taken);
            }
            if !size.fits_in(free) || !worker.takes_tasks() || avoid.contains(&number) {
                continue;
            }
            rooms.push(Room {
                worker: number,
                rack: worker.rack,
                tasks: times_fitting(size, free),
            });
        }
        rooms
    }
}

/// Orders rooms so that the fewest racks come first: the tightest rack that holds the whole
/// gang, or else the roomiest racks.
fn sort_by_rack(rooms: &mut [Room], wanted: u64, racks: usize) {
    let mut in_rack = vec![0_u64; racks];
    for room in rooms.iter() {
        let sum = &mut in_rack[room.rack as usize];
        *sum = sum.saturating_add(room.tasks);
    }
    let order = |room: &Room| {
        let sum = in_rack[room.rack as usize];
        // Racks that hold the whole gang go first, the tightest of them foremost.
        let rest = if sum >= wanted { sum } else { u64::MAX - sum };
        (rest, room.rack, std::cmp::Reverse(room.tasks))
    };
    rooms.sort_unstable_by_key(order);
}
