//! Gangs: all tasks start together or none does.

use kspan_model::{Millis, Resources};

use crate::{
    feasible::times_fitting,
    job::JobNo,
    queue::Next,
    spec::{Decision, Kind},
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
            self.queue.block(next.class, size);
            return 0;
        };
        let tasks = places.len();
        for worker in places {
            let index = self.take_pending(next.job);
            decisions.push(Decision::Start(self.start(next.job, index, worker, now)));
        }
        tasks
    }

    /// Returns a worker for each task of a gang, or `None` where not all of them have room.
    fn room_for_gang(&self, number: JobNo) -> Option<Vec<WorkerNo>> {
        let job = self.jobs.get(number);
        let size = job.spec.shape.size;
        let wanted = u64::from(job.spec.tasks);
        let mut rooms = self.rooms(size, &job.avoid);
        let total: u64 = rooms.iter().map(|room| room.tasks).sum();
        if total < wanted {
            return None;
        }
        if job.spec.kind == (Kind::Gang { rack_near: true }) {
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

    fn rooms(&self, size: Resources, avoid: &[WorkerNo]) -> Vec<Room> {
        let mut rooms = Vec::new();
        for (number, worker) in self.workers.iter() {
            let free = worker.free();
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
