//! Makes, serves and drops reservations.
//!
//! A reservation names the workers on which its tasks will start, because the tasks running there
//! end earliest or are being preempted. It expires, and a job whose reservation expired makes no
//! other for a while, so that no job hoards capacity. Tasks that end before the reservation is
//! needed, or can be checkpointed, may be backfilled into it.

use kspan_model::{Millis, Resources};
use rustc_hash::FxHashMap;

use crate::{
    TaskState, job::JobNo, reservation::Reservation, spec::Decision, state::Inner, worker::WorkerNo,
};

/// Lower bound on the lifetime of a reservation.
pub(crate) const MIN_LIFETIME: Millis = Millis::from_secs(30);
/// Upper bound on the lifetime of a reservation.
pub(crate) const MAX_LIFETIME: Millis = Millis::from_secs(3_600);
/// Delay before a job may make another reservation after one has expired.
const RESERVATION_RETRY_DELAY: Millis = Millis::from_secs(30);
/// Interval at which placement of a gang with a reservation is attempted on all workers.
const GANG_RETRY_INTERVAL: Millis = Millis(250);

impl Inner {
    /// Adds a reservation. Its tasks must already be removed from `pending`.
    pub(crate) fn reserve(&mut self, reservation: Reservation) {
        for planned in &reservation.tasks {
            let job = self.jobs.get_mut(reservation.job);
            job.slots[planned.index as usize].transition_to(TaskState::Reserved);
            job.reserved += 1;
            let worker = self.workers.get_mut(planned.worker);
            worker.reserved_from = worker.reserved_from.min(reservation.ready_at);
            self.workers.reserve(planned.worker, reservation.size);
        }
        self.reservations.push(reservation);
    }

    /// Starts the tasks whose capacity is free, preempts backfilled tasks in the way of others, and
    /// drops expired reservations. Returns the number of tasks started.
    pub(crate) fn serve_reservations(
        &mut self,
        now: Millis,
        decisions: &mut Vec<Decision>,
    ) -> usize {
        let mut started = 0;
        let mut position = 0;
        while position < self.reservations.len() {
            if self.has_room(&self.reservations[position]) {
                let reservation = self.remove_reservation(position);
                started += self.start_reserved(&reservation, now, decisions);
            } else if self.reservations[position].until <= now {
                let reservation = self.remove_reservation(position);
                self.expire_reservation(&reservation, now);
            } else if let Some(places) = self.place_reserved_gang(position, now) {
                let mut reservation = self.remove_reservation(position);
                for (planned, worker) in reservation.tasks.iter_mut().zip(places) {
                    planned.worker = worker;
                }
                started += self.start_reserved(&reservation, now, decisions);
            } else {
                self.preempt_backfill(position, now, decisions);
                position += 1;
            }
        }
        started
    }

    /// Drops every reservation of a job; its tasks are pending again.
    pub(crate) fn drop_reservations(&mut self, number: JobNo) {
        if self.jobs.get(number).reserved > 0 {
            self.drop_reservations_where(|reservation| reservation.job == number);
        }
    }

    /// Drops every reservation on a worker; the tasks are pending again.
    pub(crate) fn drop_reservations_on(&mut self, worker: WorkerNo) {
        self.drop_reservations_where(|reservation| {
            let mut tasks = reservation.tasks.iter();
            tasks.any(|planned| planned.worker == worker)
        });
    }

    fn drop_reservations_where(&mut self, is_dropped: impl Fn(&Reservation) -> bool) {
        let mut position = 0;
        while position < self.reservations.len() {
            if !is_dropped(&self.reservations[position]) {
                position += 1;
                continue;
            }
            let reservation = self.remove_reservation(position);
            self.requeue_tasks(&reservation);
        }
    }

    pub(crate) fn reserved_until(&self, number: JobNo) -> Option<Millis> {
        let of_job = self.reservations.iter().filter(|entry| entry.job == number);
        of_job.map(|reservation| reservation.until).min()
    }

    /// Returns the capacity reserved for a job on each worker.
    pub(crate) fn reserved_for(&self, number: JobNo) -> FxHashMap<WorkerNo, Resources> {
        let mut reserved: FxHashMap<WorkerNo, Resources> = FxHashMap::default();
        if self.jobs.get(number).reserved == 0 {
            return reserved;
        }
        for reservation in self.reservations.iter().filter(|entry| entry.job == number) {
            for planned in &reservation.tasks {
                let sum = reserved.entry(planned.worker).or_default();
                *sum = sum.saturating_add(reservation.size);
            }
        }
        reserved
    }

    fn has_room(&self, reservation: &Reservation) -> bool {
        let need = reservation
            .size
            .saturating_mul(reservation.tasks.len() as u64);
        let team = self.jobs.get(reservation.job).team;
        if !self.teams.get(team).admits(need) {
            return false;
        }
        let mut position = 0;
        while position < reservation.tasks.len() {
            let worker = reservation.tasks[position].worker;
            let count = count_on_same_worker(reservation, position);
            let entry = self.workers.get(worker);
            let need = reservation.size.saturating_mul(count as u64);
            if !need.fits_in(entry.uncommitted()) || !entry.accepts_tasks() {
                return false;
            }
            position += count;
        }
        true
    }

    fn place_reserved_gang(&mut self, position: usize, now: Millis) -> Option<Vec<WorkerNo>> {
        let reservation = &self.reservations[position];
        let job = self.jobs.get(reservation.job);
        let is_admitted = self.teams.get(job.team).admits(job.next_need());
        if !job.is_gang()
            || !is_admitted
            || now
                < reservation
                    .last_tried_at
                    .saturating_add(GANG_RETRY_INTERVAL)
        {
            return None;
        }
        let number = reservation.job;
        self.reservations[position].last_tried_at = now;
        self.place_gang(number)
    }

    fn remove_reservation(&mut self, position: usize) -> Reservation {
        let reservation = self.reservations.swap_remove(position);
        for planned in &reservation.tasks {
            self.jobs.get_mut(reservation.job).reserved -= 1;
            self.workers.unreserve(planned.worker, reservation.size);
        }
        let mut last = None;
        for planned in &reservation.tasks {
            if last.replace(planned.worker) != Some(planned.worker) {
                self.recompute_reserved_from(planned.worker);
                self.record_freed_room(planned.worker);
            }
        }
        reservation
    }

    /// Recomputes when the reserved capacity of a worker is first needed.
    fn recompute_reserved_from(&mut self, worker: WorkerNo) {
        if self.workers.get(worker).reserved.is_zero() {
            self.workers.get_mut(worker).reserved_from = Millis::MAX;
            return;
        }
        let on_worker = self.reservations.iter().filter(|reservation| {
            let mut tasks = reservation.tasks.iter();
            tasks.any(|planned| planned.worker == worker)
        });
        let first = on_worker.map(|reservation| reservation.ready_at).min();
        self.workers.get_mut(worker).reserved_from = first.unwrap_or(Millis::MAX);
    }

    fn start_reserved(
        &mut self,
        reservation: &Reservation,
        now: Millis,
        decisions: &mut Vec<Decision>,
    ) -> usize {
        for planned in &reservation.tasks {
            let start = self.start_task(reservation.job, planned.index, planned.worker, now);
            decisions.push(Decision::Start(start));
        }
        reservation.tasks.len()
    }

    fn expire_reservation(&mut self, reservation: &Reservation, now: Millis) {
        let job = self.jobs.get_mut(reservation.job);
        job.no_reservation_before = now.saturating_add(RESERVATION_RETRY_DELAY);
        self.requeue_tasks(reservation);
    }

    fn requeue_tasks(&mut self, reservation: &Reservation) {
        let job = self.jobs.get_mut(reservation.job);
        for planned in reservation.tasks.iter().rev() {
            job.slots[planned.index as usize].transition_to(TaskState::Queued);
            job.pending.push(planned.index);
        }
        self.enqueue(reservation.job);
    }

    /// Preempts backfilled tasks once they are all that stands in the way, or the reservation is
    /// due.
    fn preempt_backfill(&mut self, position: usize, now: Millis, decisions: &mut Vec<Decision>) {
        let reservation = &self.reservations[position];
        let is_due = reservation.ready_at <= now;
        let (size, created) = (reservation.size, reservation.created);
        let mut victims = Vec::new();
        let mut first = 0;
        while first < reservation.tasks.len() {
            let worker = reservation.tasks[first].worker;
            let count = count_on_same_worker(reservation, first);
            first += count;
            let need = size.saturating_mul(count as u64);
            let covered = self.backfill_victims(worker, need, created, &mut victims);
            if !covered && !is_due {
                return;
            }
        }
        for (job, index) in victims {
            decisions.extend(self.preempt(job, index));
        }
    }

    /// Collects backfilled tasks to preempt so that `need` fits. Returns whether they, together
    /// with the tasks that are already ending, free enough.
    fn backfill_victims(
        &self,
        worker: WorkerNo,
        need: Resources,
        created: Millis,
        victims: &mut Vec<(JobNo, u32)>,
    ) -> bool {
        let entry = self.workers.get(worker);
        let mut freeing = entry.uncommitted();
        for held in &entry.tasks {
            let slot = &self.jobs.get(held.job).slots[held.index as usize];
            if slot.is_vacating() {
                freeing = freeing.saturating_add(slot.size);
            }
        }
        for held in &entry.tasks {
            if need.fits_in(freeing) {
                break;
            }
            let job = self.jobs.get(held.job);
            let slot = &job.slots[held.index as usize];
            let is_backfilled =
                job.spec.shape.checkpoint && !job.is_gang() && slot.since >= created;
            if is_backfilled && slot.state == TaskState::Running {
                victims.push((held.job, held.index));
                freeing = freeing.saturating_add(slot.size);
            }
        }
        need.fits_in(freeing)
    }
}

/// Returns how many consecutive tasks from `first` are planned on the same worker.
fn count_on_same_worker(reservation: &Reservation, first: usize) -> usize {
    let worker = reservation.tasks[first].worker;
    let rest = reservation.tasks[first..].iter();
    rest.take_while(|planned| planned.worker == worker).count()
}
