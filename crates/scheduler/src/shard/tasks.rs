//! Stopping tasks, expiring lost ones, and ending jobs.

use kspan_model::{JobEnd, JobId, JobResult, Millis, Name, TaskId, UnixMillis};
use kspan_placement::{Effect, End, PlacedTask, StartRefusal, TaskState};

use super::Shard;
use crate::{
    commands::{Order, Withdrawal},
    timing::RUNNER_STOP_DELAY,
    worker::Worker,
};

/// Grace period of a task of an unknown job.
const ORPHAN_STOP_GRACE: Millis = Millis::from_secs(10);

/// An event for placement, collected while a worker's state is borrowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlacementEvent {
    /// A task has ended.
    Ended(TaskId, End),
    /// A start was certainly not executed.
    Refused(TaskId, StartRefusal),
}

impl Shard {
    /// Passes collected events to placement and applies their effects.
    pub(super) fn apply_placement_events(
        &mut self,
        events: Vec<PlacementEvent>,
        now: Millis,
        unix: UnixMillis,
    ) {
        for event in events {
            let effect = match event {
                PlacementEvent::Ended(task, end) => self.cell.record_end(task, end, now),
                PlacementEvent::Refused(task, refusal) => {
                    self.cell.record_start_refusal(task, refusal, now)
                }
            };
            self.apply_effect(effect, now, unix);
        }
    }

    pub(super) fn apply_effect(&mut self, effect: Effect, now: Millis, unix: UnixMillis) {
        for placed in effect.stop {
            self.stop_task(&placed, now, unix);
        }
        if let Some(done) = effect.done {
            self.end_job(done.job, done.result, done.reason, unix);
        }
    }

    /// Orders a task to stop within its grace period. A runner is first marked as leaving, so that
    /// routers have stopped sending requests to it before its worker stops it.
    pub(super) fn stop_task(&mut self, placed: &PlacedTask, now: Millis, unix: UnixMillis) {
        let entry = self.jobs.get(&placed.task.job);
        let grace = entry.map_or(ORPHAN_STOP_GRACE, |entry| entry.declared.grace);
        let Some(worker) = self.workers.get_mut(&placed.worker) else {
            return;
        };
        if worker.queue.withdraw_start(placed.task) == Withdrawal::NeverSent {
            worker.active_tasks.remove(&placed.task);
            self.apply_placement_events(
                vec![PlacementEvent::Ended(placed.task, End::Stopped)],
                now,
                unix,
            );
            return;
        }
        let not_before = mark_ending(worker, placed.task, now);
        let order = Order::Stop { grace };
        worker.queue.push(placed.task, order, not_before);
    }

    /// Orders a task to write a checkpoint and end.
    pub(super) fn checkpoint_task(&mut self, task: TaskId, worker: &Name, now: Millis) {
        if let Some(worker) = self.workers.get_mut(worker) {
            let not_before = mark_ending(worker, task, now);
            worker.queue.push(task, Order::Checkpoint, not_before);
        }
    }

    /// Closes a job and keeps its end until the log has recorded it.
    pub(super) fn end_job(
        &mut self,
        job: JobId,
        result: JobResult,
        reason: Name,
        unix: UnixMillis,
    ) {
        let Some(entry) = self.jobs.remove(&job) else {
            return;
        };
        if entry.declared.is_service() {
            return;
        }
        log::info!("scheduler: job {job} ended: {result}");
        let end = JobEnd {
            job,
            result,
            reason,
            ended: unix,
        };
        self.unrecorded_ends.insert(job, end);
    }

    /// Reports the tasks of workers as lost whose task leases have certainly expired.
    pub(super) fn expire_silent_workers(&mut self, now: Millis, unix: UnixMillis) {
        let mut events = Vec::new();
        for (name, worker) in &mut self.workers {
            let has_unsettled_tasks = !worker.resolved || !worker.active_tasks.is_empty();
            if has_unsettled_tasks && worker.lease.have_task_leases_expired(now) {
                log::warn!(
                    "scheduler: worker {name} is silent and its leases have expired; {} tasks lost",
                    worker.active_tasks.len()
                );
                events.extend(take_lost_tasks(worker));
                worker.resolved = true;
            }
        }
        if !events.is_empty() {
            self.apply_placement_events(events, now, unix);
            self.sync_worker_states();
        }
    }
}

/// Marks a task as ending and returns the earliest time at which its worker may be sent the order.
fn mark_ending(worker: &mut Worker, task: TaskId, now: Millis) -> Millis {
    let Some(active) = worker.active_tasks.get_mut(&task) else {
        return now;
    };
    let was_ending = std::mem::replace(&mut active.end_requested, true);
    if active.endpoint.is_some() && !was_ending && active.state == TaskState::Running {
        now + RUNNER_STOP_DELAY
    } else {
        now
    }
}

/// Removes all tasks and orders of a worker and returns the tasks as lost.
pub(super) fn take_lost_tasks(worker: &mut Worker) -> Vec<PlacementEvent> {
    worker.queue.clear();
    worker.inventory_version = 0;
    worker.ended_tasks.clear();
    std::mem::take(&mut worker.active_tasks)
        .into_keys()
        .map(|task| PlacementEvent::Ended(task, End::Lost))
        .collect()
}
