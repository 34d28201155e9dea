//! Gang scheduling: all tasks of a gang start together or none does.

use kspan_model::{Millis, Resources};

use crate::{
    job::JobNo,
    plan::WORKER_AVOIDANCE_DELAY,
    queue::Candidate,
    spec::{Decision, JobKind},
    state::Inner,
    worker::{RackNo, WorkerNo},
};

/// A worker with free capacity for tasks of a gang.
#[derive(Clone, Copy, Debug)]
struct WorkerRoom {
    worker: WorkerNo,
    rack: RackNo,
    tasks: u64,
}

impl Inner {
    /// Starts a gang if all of it fits, and returns the number of tasks started.
    pub(crate) fn try_start_gang(
        &mut self,
        next: Candidate,
        now: Millis,
        decisions: &mut Vec<Decision>,
    ) -> usize {
        let Some(places) = self.place_gang(next.job) else {
            let size = self.jobs.get(next.job).spec.shape.size;
            if !self.jobs.get(next.job).avoid.is_empty() {
                self.postpone_gang(next.job, now);
            } else if !self.reserve_earliest(next.job, now) {
                self.queue.block(next.class, size);
            }
            return 0;
        };
        let tasks = places.len();
        for worker in places {
            let index = self.pop_pending(next.job);
            decisions.push(Decision::Start(
                self.start_task(next.job, index, worker, now),
            ));
        }
        tasks
    }

    /// Delays a gang that avoids some workers and clears the list, so that the next attempt may use
    /// every worker.
    fn postpone_gang(&mut self, number: JobNo, now: Millis) {
        self.dequeue(number);
        let job = self.jobs.get_mut(number);
        job.pending.clear();
        job.avoid.clear();
        self.enqueue_after(number, 0, WORKER_AVOIDANCE_DELAY, now);
    }

    /// Restarts the gangs of which only a part was adopted from a previous owner of the shard.
    pub(crate) fn restart_partial_gangs(&mut self, now: Millis, decisions: &mut Vec<Decision>) {
        for id in std::mem::take(&mut self.adopted_gangs) {
            if let Some(number) = self.jobs.number(id) {
                self.restart_if_partial(number, now, decisions);
            }
        }
    }

    fn restart_if_partial(&mut self, number: JobNo, now: Millis, decisions: &mut Vec<Decision>) {
        let job = self.jobs.get(number);
        let waiting = job.queued_tasks();
        let is_whole = waiting == 0 || waiting == job.spec.tasks as usize;
        if is_whole || job.restarting || job.ending.is_some() {
            return;
        }
        let effect = self.restart_gang(number, Millis::ZERO, now);
        let stops = effect.stop.into_iter().map(|placed| Decision::Preempt {
            task: placed.task,
            worker: placed.worker,
            checkpoint: false,
        });
        decisions.extend(stops);
    }

    /// Returns a worker for each task of a gang, or `None` if not all of them fit.
    pub(crate) fn place_gang(&self, number: JobNo) -> Option<Vec<WorkerNo>> {
        let job = self.jobs.get(number);
        let size = job.spec.shape.size;
        let wanted = u64::from(job.spec.tasks);
        let mut rooms = self.workers_with_room(number, size, &job.avoid);
        let total: u64 = rooms.iter().map(|room| room.tasks).sum();
        if total < wanted {
            return None;
        }
        if job.spec.kind == (JobKind::Gang { rack_near: true }) {
            sort_by_rack(&mut rooms, wanted, self.workers.racks());
        } else {
            // Filling the workers with the least room first keeps the large ones free.
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

    fn workers_with_room(
        &self,
        job: JobNo,
        size: Resources,
        avoid: &[WorkerNo],
    ) -> Vec<WorkerRoom> {
        let own = self.reserved_for(job);
        let mut rooms = Vec::new();
        for (number, worker) in self.workers.iter() {
            let mut free = worker.free();
            if let Some(&own) = own.get(&number) {
                let others = worker.reserved.saturating_sub(own);
                let taken = worker.committed.saturating_add(others);
                free = worker.capacity.saturating_sub(taken);
            }
            if !size.fits_in(free) || !worker.accepts_tasks() || avoid.contains(&number) {
                continue;
            }
            rooms.push(WorkerRoom {
                worker: number,
                rack: worker.rack,
                tasks: size.count_in(free),
            });
        }
        rooms
    }
}

/// Sorts by rack so that the gang spans few racks: first the rack with the least room that still
/// holds the whole gang, otherwise the racks with the most room.
fn sort_by_rack(rooms: &mut [WorkerRoom], wanted: u64, racks: usize) {
    let mut room_in_rack = vec![0_u64; racks];
    for room in rooms.iter() {
        let sum = &mut room_in_rack[room.rack as usize];
        *sum = sum.saturating_add(room.tasks);
    }
    let sort_key = |room: &WorkerRoom| {
        let sum = room_in_rack[room.rack as usize];
        // Racks that hold the whole gang go first, the one with the least room before the others.
        let order = if sum >= wanted { sum } else { u64::MAX - sum };
        (order, room.rack, std::cmp::Reverse(room.tasks))
    };
    rooms.sort_unstable_by_key(sort_key);
}
