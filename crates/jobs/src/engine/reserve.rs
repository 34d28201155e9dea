//! Reservation of runners for waiting tasks that smaller ones would otherwise keep waiting.
//!
//! Load patterns: in a full cell, smaller tasks take resources as soon as they are freed, so a task
//! of a long-running step that lost its runner would wait indefinitely; and a gang, or a task that
//! needs most of a runner, never finds enough free resources at one time, although enough are freed
//! within seconds.
//!
//! A task of a long-running step that has waited too long becomes overdue: it precedes all other
//! tasks, and what it needs is reserved on one runner. For gangs and large tasks, the runners that will
//! have room first are reserved from the time at which the last of them is expected to. Until then
//! other tasks may use them, if they are expected to end in time or leave enough room. All
//! reservations are made anew in each scheduling pass, in order of urgency, so none outlives its
//! reason.

use kspan_model::{Millis, Name, Resources};

use super::{Engine, RunnerIx, demand::is_large, job::Step, runner::Runner, task::Task};
use crate::{config::Policy, id::StepId, spec::StepSpec};

/// Waiting time after which a task of a long-running step is overdue.
const OVERDUE_AFTER: Millis = Millis(1_500);

/// At most one in this many runners is reserved for overdue tasks.
const OVERDUE_DIVISOR: usize = 8;

/// No further step gets a reservation once this share of the runners of its service is reserved, so
/// that other work goes on, in percent.
const MAX_RESERVED_PERCENT: usize = 75;

/// Runners of one service that are not known to have ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceRunners {
    /// Component-wise maximum of their capacities.
    largest: Resources,
    count: usize,
}

impl ServiceRunners {
    /// Returns the number of runners.
    pub(super) fn count(&self) -> usize {
        self.count
    }
}

/// Resources of a runner that are kept for waiting tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Reservation {
    /// Step whose tasks may use the resources.
    step: StepId,
    /// Time at which the tasks are expected to start.
    starts_at: Millis,
    /// Reserved resources.
    size: Resources,
}

/// A reservation of a runner, as seen by other steps.
#[derive(Clone, Copy, Debug)]
pub(super) struct OtherReservation {
    /// Capacity that is not reserved.
    pub(super) unreserved: Resources,
    /// Expected end of the tasks that the rest is reserved for.
    pub(super) ends_at: Millis,
}

/// An expected place for one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    at: Millis,
    runner_ix: RunnerIx,
}

impl Task {
    /// Returns whether the task, if it waits, is one of a long-running step and has waited too long.
    pub(super) fn is_overdue(&self, spec: &StepSpec, now: Millis) -> bool {
        spec.long_running && now.saturating_sub(self.state_since) >= OVERDUE_AFTER
    }
}

impl Engine {
    /// Returns whether a task of a long-running step is overdue.
    pub(super) fn is_overdue(&self, step: &Step, spec: &StepSpec, now: Millis) -> bool {
        if !spec.long_running || step.waiting == 0 {
            return false;
        }
        let all_verified = self.unverified_until.is_none();
        let mut waiting = step
            .tasks
            .iter()
            .filter(|task| task.may_start(all_verified, now));
        waiting.any(|task| task.is_overdue(spec, now))
    }

    /// Returns whether runners are reserved for the step while its tasks wait.
    pub(super) fn is_reservable(&self, spec: &StepSpec, policy: &Policy) -> bool {
        let is_gang = spec.gang && spec.count > 1;
        let size = spec.charged_resources();
        !spec.long_running && (is_gang || is_large(size, self.largest_runner(&policy.service)))
    }

    /// Returns the component-wise maximum of the capacities of a service's runners.
    pub(super) fn largest_runner(&self, service: &Name) -> Resources {
        self.services
            .get(service)
            .map_or(Resources::ZERO, |runners| runners.largest)
    }

    /// Returns the number of a service's runners that are not known to have ended.
    pub(super) fn runner_count(&self, service: &Name) -> usize {
        self.services
            .get(service)
            .map_or(0, |runners| runners.count)
    }

    /// Includes the capacity of a runner in the largest of its service.
    pub(super) fn include_in_largest(&mut self, runner_ix: RunnerIx) {
        let runner = &self.runners[runner_ix.0];
        let service = runner.entry.service.clone();
        let runners = self.services.entry(service).or_default();
        runners.largest = runners.largest.component_max(runner.largest_capacity);
    }

    /// Includes a runner that was added in those of its service.
    pub(super) fn include_in_service(&mut self, runner_ix: RunnerIx) {
        self.include_in_largest(runner_ix);
        let service = &self.runners[runner_ix.0].entry.service;
        if let Some(runners) = self.services.get_mut(service) {
            runners.count += 1;
        }
    }

    /// Computes the largest capacity and the number of runners of each service anew, from the
    /// runners that are not known to have ended.
    pub(super) fn recompute_services(&mut self) {
        self.services.clear();
        for ix in 0..self.runners.len() {
            if !self.runners[ix].dead {
                self.include_in_service(RunnerIx(ix));
            }
        }
    }

    /// Returns whether so many runners of a service are reserved that no further step may reserve
    /// any.
    pub(super) fn is_reservation_limit_reached(&self, service: &Name) -> bool {
        let count = self.runner_count(service);
        let of_service = self
            .reserved
            .keys()
            .filter(|runner_ix| self.runners[runner_ix.0].entry.service == *service);
        of_service.count() * 100 >= count * MAX_RESERVED_PERCENT
    }

    /// Returns whether a runner could take a task of the step if it were empty, regardless of
    /// approvals.
    pub(super) fn could_accept_when_empty(
        &self,
        runner: &Runner,
        spec: &StepSpec,
        policy: &Policy,
        now: Millis,
    ) -> bool {
        spec.charged_resources().fits_in(runner.entry.capacity)
            && self.accepts(runner, spec, policy, now)
    }

    /// Returns the resources of a runner that a task of the step may use now: all free ones, less
    /// those reserved for other steps at a time when the task would still run.
    pub(super) fn usable_resources(
        &self,
        runner_ix: RunnerIx,
        id: StepId,
        spec: &StepSpec,
        now: Millis,
    ) -> Resources {
        let runner = &self.runners[runner_ix.0];
        let reservation = self.reserved.get(&runner_ix);
        let Some(reservation) = reservation.filter(|reservation| reservation.step != id) else {
            return runner.free();
        };
        let expected_end = self.run_times.expected_end(spec, now);
        if expected_end.is_some_and(|end| end <= reservation.starts_at) {
            return runner.free();
        }
        let free_later = runner.free_at(reservation.starts_at);
        let unreserved = free_later.saturating_sub(reservation.size);
        runner.free().component_min(unreserved)
    }

    /// Reserves the runner expected to fit an overdue step first: of those that could take one of
    /// its tasks when empty, the one with the most free processors.
    pub(super) fn reserve_for_overdue(&mut self, id: StepId, now: Millis) {
        if self.reserved.len() >= self.runners.len().div_ceil(OVERDUE_DIVISOR) {
            return;
        }
        let usable = self.reservable_runners(id, now);
        let max_free = usable
            .into_iter()
            .max_by_key(|runner_ix| self.runners[runner_ix.0].free().cpu_milli);
        let Some(runner_ix) = max_free else {
            return;
        };
        let Some((step, spec)) = self.jobs.get(&id.job).and_then(|job| job.step(id)) else {
            return;
        };
        let tasks = step.remaining_on(runner_ix, spec).min(spec.count);
        let tasks = u64::from(tasks).min(step.waiting as u64);
        let reservation = Reservation {
            step: id,
            starts_at: Millis::ZERO,
            size: spec.charged_resources().saturating_mul(tasks),
        };
        self.reserved.insert(runner_ix, reservation);
    }

    /// Reserves the runners that will have room first for the waiting tasks of a gang or of a step
    /// of large tasks. Reserves nothing for a gang if its members never fit at the same time.
    pub(super) fn reserve_for_large(&mut self, id: StepId, now: Millis) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let Some((step, spec)) = job.step(id) else {
            return;
        };
        if self.is_reservation_limit_reached(&job.record.policy.service) {
            return;
        }
        let (needed, is_gang) = (step.waiting, spec.gang);
        let size = spec.charged_resources();
        let mut slots = self.expected_slots(id, now);
        if let Some(rack) = self.awaited_rack(id) {
            slots.retain(|slot| self.runners[slot.runner_ix.0].has_label(rack));
        }
        slots.sort_unstable();
        slots.truncate(needed);
        if is_gang && slots.len() < needed {
            return;
        }
        let Some(starts_at) = slots.last().map(|slot| slot.at) else {
            return;
        };
        for slot in slots {
            // Large tasks that are no gang start as soon as each fits.
            let starts_at = if is_gang { starts_at } else { slot.at };
            let reservation = self.reserved.entry(slot.runner_ix).or_insert(Reservation {
                step: id,
                starts_at,
                size: Resources::ZERO,
            });
            reservation.size = reservation.size.saturating_add(size);
        }
    }

    /// Returns the duration of an approval call for the waiting tasks of a step; zero if it needs no
    /// approvals.
    pub(super) fn approval_time(step: &Step, policy: &Policy) -> Millis {
        let approval = policy.approval;
        let length = approval.map(|approval| approval.call_time(step.waiting));
        length.unwrap_or_default()
    }

    /// Returns the expected places for tasks of a step on runners that are not reserved.
    fn expected_slots(&self, id: StepId, now: Millis) -> Vec<Slot> {
        let Some(job) = self.jobs.get(&id.job) else {
            return Vec::new();
        };
        let Some((step, spec)) = job.step(id) else {
            return Vec::new();
        };
        let size = spec.charged_resources();
        let waiting = u32::try_from(step.waiting).unwrap_or(u32::MAX);
        let policy = &job.record.policy;
        let call_time = Self::approval_time(step, policy);
        let starts_at = |runner_ix: RunnerIx, room_at: Millis| match policy.approval {
            Some(_) => step
                .approvals
                .earliest_start(runner_ix, room_at, call_time, now),
            None => room_at,
        };
        let mut slots = Vec::new();
        for runner_ix in self.reservable_runners(id, now) {
            let max = step.remaining_on(runner_ix, spec).min(waiting);
            let times = self.runners[runner_ix.0].slot_times(size, max, now);
            slots.extend(times.into_iter().map(|room_at| Slot {
                at: starts_at(runner_ix, room_at),
                runner_ix,
            }));
        }
        slots
    }

    /// Returns the runners without a reservation that could take a task of the step when empty and,
    /// where approvals are needed, have been approved for it.
    fn reservable_runners(&self, id: StepId, now: Millis) -> Vec<RunnerIx> {
        let Some(job) = self.jobs.get(&id.job) else {
            return Vec::new();
        };
        let Some((step, spec)) = job.step(id) else {
            return Vec::new();
        };
        let policy = &job.record.policy;
        let is_usable = |runner_ix: &RunnerIx| {
            let runner = &self.runners[runner_ix.0];
            !self.is_reserved(*runner_ix)
                && step.remaining_on(*runner_ix, spec) > 0
                && self.could_accept_when_empty(runner, spec, policy, now)
        };
        if policy.approval.is_some() {
            return step
                .approvals
                .approved_runners()
                .filter(is_usable)
                .collect();
        }
        (0..self.runners.len())
            .map(RunnerIx)
            .filter(is_usable)
            .collect()
    }

    /// Returns the latest time at which reserved runners of the step are expected to have room;
    /// `None` if none is reserved.
    pub(super) fn reserved_start(&self, id: StepId) -> Option<Millis> {
        let reservations = self.reserved.values();
        let of_step = reservations.filter(|reservation| reservation.step == id);
        of_step.map(|reservation| reservation.starts_at).max()
    }

    /// Returns what a reservation for another step means for a runner.
    pub(super) fn reservation_of_other(
        &self,
        runner_ix: RunnerIx,
        id: Option<StepId>,
    ) -> Option<OtherReservation> {
        let reservation = self.reserved.get(&runner_ix)?;
        if Some(reservation.step) == id {
            return None;
        }
        let job = self.jobs.get(&reservation.step.job)?;
        let (_, spec) = job.step(reservation.step)?;
        let capacity = self.runners[runner_ix.0].entry.capacity;
        Some(OtherReservation {
            unreserved: capacity.saturating_sub(reservation.size),
            ends_at: reservation.starts_at + self.run_times.expected(spec),
        })
    }

    /// Returns whether the runner is reserved.
    pub(super) fn is_reserved(&self, runner_ix: RunnerIx) -> bool {
        self.reserved.contains_key(&runner_ix)
    }

    /// Returns whether the runner is reserved for another step.
    pub(super) fn is_reserved_for_other(&self, runner_ix: RunnerIx, id: StepId) -> bool {
        let reservation = self.reserved.get(&runner_ix);
        reservation.is_some_and(|reservation| reservation.step != id)
    }

    /// Returns the runners reserved for the step, in index order.
    pub(super) fn reserved_for(&self, id: StepId) -> impl Iterator<Item = RunnerIx> {
        let of_step = self
            .reserved
            .iter()
            .filter(|(_, reservation)| reservation.step == id);
        let mut runners: Vec<_> = of_step.map(|(runner_ix, _)| *runner_ix).collect();
        runners.sort_unstable();
        runners.into_iter()
    }
}
