//! Commands: stopping tasks, losing them, and ending jobs.

use kspan_model::{JobEnd, JobId, JobResult, Millis, Name, TaskId, UnixMillis};
use kspan_placement::{Effect, End, PlacedTask, StartRefusal, TaskState};

use super::Shard;
use crate::{
    commands::{Order, Withdrawn},
    times::RUNNER_STOP_DELAY,
    worker::Worker,
};

/// Time that a task of an unknown job gets to stop.
const ORPHAN_STOP: Millis = Millis::from_secs(10);

/// Something that placement is still to be told, noted while a worker is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Note {
    /// A task has ended.
    Ended(TaskId, End),
    /// A start was certainly not carried out.
    Refused(TaskId, StartRefusal),
}

impl Shard {
    /// Tells placement what was noted, and carries out what follows.
    pub(super) fn tell(&mut self, notes: Vec<Note>, now: Millis, unix: UnixMillis) {
        for note in notes {
            let effect = match note {
                Note::Ended(task, end) => self.cell.record_end(task, end, now),
                Note::Refused(task, refusal) => self.cell.record_start_refusal(task, refusal, now),
            };
            self.apply(effect, now, unix);
        }
    }

    pub(super) fn apply(&mut self, effect: Effect, now: Millis, unix: UnixMillis) {
        for placed in effect.stop {
            self.stop(&placed, now, unix);
        }
        if let Some(done) = effect.done {
            self.end_job(done.job, done.result, done.reason, unix);
        }
    }

    /// Asks a task to end within its grace. A runner is first marked as leaving, so that routers
    /// have stopped sending to it before its worker stops it.
    pub(super) fn stop(&mut self, placed: &PlacedTask, now: Millis, unix: UnixMillis) {
        let entry = self.jobs.get(&placed.task.job);
        let grace = entry.map_or(ORPHAN_STOP, |entry| entry.declared.grace);
        let Some(worker) = self.workers.get_mut(&placed.worker) else {
            return;
        };
        if worker.queue.withdraw_start(placed.task) == Withdrawn::NeverSent {
            worker.held.remove(&placed.task);
            self.tell(vec![Note::Ended(placed.task, End::Stopped)], now, unix);
            return;
        }
        let not_before = begin_leaving(worker, placed.task, now);
        let order = Order::Stop { grace };
        worker.queue.push(placed.task, order, not_before);
    }

    /// Asks a task to write a checkpoint and end.
    pub(super) fn checkpoint(&mut self, task: TaskId, worker: &Name, now: Millis) {
        if let Some(worker) = self.workers.get_mut(worker) {
            let not_before = begin_leaving(worker, task, now);
            worker.queue.push(task, Order::Checkpoint, not_before);
        }
    }

    /// Keeps the end of a job until the log has it.
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
        log::info!("scheduler: job {job} {result}");
        let end = JobEnd {
            job,
            result,
            reason,
            ended: unix,
        };
        self.ends.insert(job, end);
    }

    /// Gives up the tasks of workers on which nothing can be running any more.
    pub(super) fn lose_lapsed_workers(&mut self, now: Millis, unix: UnixMillis) {
        let mut notes = Vec::new();
        for (name, worker) in &mut self.workers {
            let is_news = !worker.resolved || !worker.held.is_empty();
            if is_news && worker.lease.have_tasks_lapsed(now) {
                log::warn!(
                    "scheduler: worker {name} is silent and its leases have lapsed, {} tasks lost",
                    worker.held.len()
                );
                notes.extend(lose_all(worker));
                worker.resolved = true;
            }
        }
        if !notes.is_empty() {
            self.tell(notes, now, unix);
            self.follow_standing();
        }
    }
}

/// Marks a task as leaving and returns when its worker may be told.
fn begin_leaving(worker: &mut Worker, task: TaskId, now: Millis) -> Millis {
    let Some(held) = worker.held.get_mut(&task) else {
        return now;
    };
    let was_leaving = std::mem::replace(&mut held.leaving, true);
    if held.endpoint.is_some() && !was_leaving && held.state == TaskState::Running {
        now + RUNNER_STOP_DELAY
    } else {
        now
    }
}

/// Forgets everything that a worker held and notes it as lost.
pub(super) fn lose_all(worker: &mut Worker) -> Vec<Note> {
    worker.queue.clear();
    worker.version = 0;
    worker.ended.clear();
    std::mem::take(&mut worker.held)
        .into_keys()
        .map(|task| Note::Ended(task, End::Lost))
        .collect()
}
