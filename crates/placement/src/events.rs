//! Events: what workers report.
//!
//! Any event may come late, twice or out of order. Each names one attempt of one task; an event
//! about an attempt that no longer holds a worker changes nothing.

use kspan_model::{JobResult, Millis, Resources, TaskId};

use crate::{
    Cell, TaskState,
    job::{JobNo, Slot},
    spec::{Effect, End, StartRefusal},
    state::Inner,
};

/// Wait before the first retry; each further one doubles it.
const FIRST_BACKOFF: Millis = Millis::from_secs(1);
/// Runners of one service beyond which an index is not believed.
const MOST_RUNNERS: u32 = 1 << 16;
/// Longest wait before a retry.
const LONGEST_BACKOFF: Millis = Millis::from_secs(60);

impl Cell {
    /// Records that a worker runs the task.
    pub fn record_start(&mut self, task: TaskId, now: Millis) -> Effect {
        let inner = &mut self.inner;
        let Some(number) = inner.current(task) else {
            return Effect::default();
        };
        let slot = &mut inner.jobs.get_mut(number).slots[task.index as usize];
        if slot.state != TaskState::Starting {
            return Effect::default();
        }
        slot.become_state(TaskState::Running);
        slot.since = now;
        Effect {
            applied: true,
            ..Effect::default()
        }
    }

    /// Records that a worker certainly did not carry out the start.
    pub fn record_start_refusal(
        &mut self,
        task: TaskId,
        refusal: StartRefusal,
        now: Millis,
    ) -> Effect {
        let inner = &mut self.inner;
        let Some(number) = inner.current(task) else {
            return inner.settle_orphan(task);
        };
        let worker = inner.vacate(number, task.index, TaskState::Ended);
        if refusal != StartRefusal::TooLate {
            inner.avoid(number, worker);
        }
        inner.repeat(number, task.index, FIRST_BACKOFF, now)
    }

    /// Records that the answer to a start was lost. The capacity stays committed until the
    /// worker's inventory or the lapse of the lease tells what became of the task.
    pub fn record_unresolved_start(&mut self, task: TaskId) -> Effect {
        Effect {
            applied: self.inner.current(task).is_some(),
            ..Effect::default()
        }
    }

    /// Records how a task ended.
    ///
    /// # Examples
    ///
    /// ```
    /// use kspan_model::{JobId, Millis, TaskId, document::Policy};
    /// use kspan_placement::{Cell, End};
    ///
    /// let mut cell = Cell::new(Policy::default());
    /// let effect = cell.record_end(TaskId::new(JobId(7), 0, 0), End::Succeeded, Millis(1));
    /// assert!(!effect.applied); // The cell knows no such task.
    /// ```
    pub fn record_end(&mut self, task: TaskId, end: End, now: Millis) -> Effect {
        let inner = &mut self.inner;
        if let Some(number) = inner.current(task) {
            return inner.end_current(number, task, end, now);
        }
        let orphan = inner.settle_orphan(task);
        if orphan.applied {
            return orphan;
        }
        inner.cover_index(task);
        if inner.use_up(task) {
            return Effect {
                applied: true,
                ..Effect::default()
            };
        }
        match inner.take_unseen(task) {
            Some(number) => inner.conclude(number, task.index, end, true, now),
            None => Effect::default(),
        }
    }

    /// Records what a task used some seconds ago.
    pub fn record_usage(&mut self, task: TaskId, used: Resources) -> Effect {
        let inner = &mut self.inner;
        let Some(number) = inner.current(task) else {
            return Effect::default();
        };
        let slot = &mut inner.jobs.get_mut(number).slots[task.index as usize];
        let before = std::mem::replace(&mut slot.usage, used);
        let worker = inner.workers.get_mut(slot.worker);
        worker.usage = worker.usage.saturating_sub(before).saturating_add(used);
        let size = slot.size;
        let workload = inner.jobs.get(number).spec.workload.clone();
        inner.estimates.observe_usage(&workload, used, size);
        Effect {
            applied: true,
            ..Effect::default()
        }
    }
}

impl Inner {
    /// Returns the job of a task if this very attempt holds a worker.
    pub(crate) fn current(&self, task: TaskId) -> Option<JobNo> {
        let number = self.jobs.number(task.job)?;
        self.jobs.get(number).current(task).map(|_| number)
    }

    fn end_current(&mut self, number: JobNo, task: TaskId, end: End, now: Millis) -> Effect {
        let slot = &self.jobs.get(number).slots[task.index as usize];
        let was_asked = matches!(slot.state, TaskState::Stopping | TaskState::Checkpointing);
        let next = match end {
            End::Lost => TaskState::Lost,
            _ => TaskState::Ended,
        };
        let worker = slot.worker;
        let mut forgiven = was_asked;
        if !was_asked && matches!(end, End::Succeeded | End::Failed) {
            forgiven = self.judge(number, task, worker, end == End::Failed, now);
        }
        if end == End::Succeeded {
            let ran = now.saturating_sub(self.jobs.get(number).slots[task.index as usize].since);
            self.estimates.observe_run(&self.jobs.get(number).spec, ran);
        }
        self.vacate(number, task.index, next);
        if end == End::Failed && !was_asked {
            self.avoid(number, worker);
        }
        self.conclude(number, task.index, end, forgiven, now)
    }

    /// Makes a place for a runner that an earlier owner of the shard started when its service had
    /// more of them.
    fn cover_index(&mut self, task: TaskId) {
        let Some(number) = self.jobs.number(task.job) else {
            return;
        };
        let job = self.jobs.get_mut(number);
        if !job.is_service() || task.index > MOST_RUNNERS {
            return;
        }
        while job.slots.len() <= task.index as usize {
            let slot = Slot::new(job.spec.shape.size, job.spec.submitted);
            job.slots.push(slot);
        }
    }

    /// Remembers that an earlier owner of the shard used a later attempt of a task that has ended
    /// here too, so that its number is not used again. Returns whether that is so.
    fn use_up(&mut self, task: TaskId) -> bool {
        let Some(number) = self.jobs.number(task.job) else {
            return false;
        };
        let slots = &mut self.jobs.get_mut(number).slots;
        let Some(slot) = slots.get_mut(task.index as usize) else {
            return false;
        };
        let is_over = matches!(slot.state, TaskState::Ended | TaskState::Lost);
        if !is_over || slot.attempt >= task.attempt {
            return false;
        }
        slot.attempt = task.attempt;
        true
    }

    /// Takes a waiting task out of the queue whose end was found in an inventory: the attempt was
    /// started by an earlier owner of the shard.
    fn take_unseen(&mut self, task: TaskId) -> Option<JobNo> {
        let number = self.jobs.number(task.job)?;
        if self.jobs.get(number).reserved > 0 {
            self.drop_reservations(number);
        }
        let job = self.jobs.get_mut(number);
        let slot = job.slots.get_mut(task.index as usize)?;
        if slot.state != TaskState::Queued || slot.attempt > task.attempt {
            return None;
        }
        slot.attempt = task.attempt;
        slot.become_state(TaskState::Ended);
        job.started = true;
        if job.is_gang() {
            self.gangs_found.insert(task.job);
        }
        let job = self.jobs.get_mut(number);
        job.pending.retain(|index| *index != task.index);
        if job.pending.is_empty() {
            self.dequeue(number);
        }
        Some(number)
    }

    /// Decides what follows the end of a task that holds nothing any more.
    fn conclude(
        &mut self,
        number: JobNo,
        index: u32,
        end: End,
        forgiven: bool,
        now: Millis,
    ) -> Effect {
        let job = self.jobs.get(number);
        if job.ending.is_some() {
            return self.wind_up(number);
        }
        match end {
            End::Succeeded if !job.is_service() && !job.restarting => {
                self.finish_task(number, index)
            }
            End::Succeeded => self.repeat(number, index, FIRST_BACKOFF, now),
            End::Failed if !forgiven && !job.restarting => self.fail_task(number, index, now),
            End::Failed if !job.restarting => self.repeat(number, index, FIRST_BACKOFF, now),
            End::Failed | End::Stopped | End::Checkpointed | End::LeaseLapsed | End::Lost => {
                self.repeat(number, index, Millis::ZERO, now)
            }
        }
    }

    /// Goes on with a job that only waits for its tasks to end.
    fn wind_up(&mut self, number: JobNo) -> Effect {
        Effect {
            applied: true,
            done: self.finish_if_idle(number),
            ..Effect::default()
        }
    }

    fn finish_task(&mut self, number: JobNo, index: u32) -> Effect {
        let job = self.jobs.get_mut(number);
        job.slots[index as usize].finished = true;
        job.finished += 1;
        let is_done = job.finished == job.spec.tasks;
        Effect {
            applied: true,
            done: is_done.then(|| self.done(number, JobResult::Succeeded)),
            ..Effect::default()
        }
    }

    fn fail_task(&mut self, number: JobNo, index: u32, now: Millis) -> Effect {
        let job = self.jobs.get_mut(number);
        let slot = &mut job.slots[index as usize];
        slot.failures += 1;
        job.failures += 1;
        let failures = if job.is_gang() {
            job.failures
        } else {
            job.slots[index as usize].failures
        };
        if failures > job.spec.retries && !job.is_service() {
            let reason = format!("task {index} failed {failures} times");
            return self.end_job(number, JobResult::Failed, &reason);
        }
        self.repeat(number, index, backoff(failures), now)
    }

    /// Lets a task, or the whole of its gang, run again.
    fn repeat(&mut self, number: JobNo, index: u32, backoff: Millis, now: Millis) -> Effect {
        let job = self.jobs.get(number);
        if job.ending.is_some() {
            return self.wind_up(number);
        }
        if job.is_gang() {
            return self.repeat_gang(number, backoff, now);
        }
        if index >= job.spec.tasks {
            // A runner beyond the number that is wanted now.
            return Effect {
                applied: true,
                ..Effect::default()
            };
        }
        self.renew(number, index, now);
        self.wait(number, index, backoff, now);
        Effect {
            applied: true,
            retry: Some(self.jobs.get(number).task(index)),
            ..Effect::default()
        }
    }

    /// Stops what still runs of a gang, and queues it whole once all of it has ended.
    pub(crate) fn repeat_gang(&mut self, number: JobNo, backoff: Millis, now: Millis) -> Effect {
        let job = self.jobs.get_mut(number);
        job.restarting = true;
        job.backoff_until = job.backoff_until.max(now.saturating_add(backoff));
        job.pending.clear();
        self.dequeue(number);
        let stop = self.stop_all(number);
        let retry = self.requeue_gang(number, now);
        Effect {
            applied: true,
            stop,
            retry,
            ..Effect::default()
        }
    }

    fn requeue_gang(&mut self, number: JobNo, now: Millis) -> Option<TaskId> {
        if self.jobs.get(number).active > 0 {
            return None;
        }
        let tasks = self.jobs.get(number).spec.tasks;
        for index in 0..tasks {
            if self.jobs.get(number).slots[index as usize].state != TaskState::Queued {
                self.renew(number, index, now);
            }
        }
        let job = self.jobs.get_mut(number);
        job.restarting = false;
        job.finished = 0;
        let backoff = job.backoff_until.saturating_sub(now);
        self.wait(number, 0, backoff, now);
        Some(self.jobs.get(number).task(0))
    }

    fn avoid(&mut self, number: JobNo, worker: u32) {
        if self.workers.at(worker as usize).is_none() {
            return;
        }
        let avoid = &mut self.jobs.get_mut(number).avoid;
        if !avoid.contains(&worker) {
            avoid.push(worker);
            self.jobs.get_mut(number).failed_workers += 1;
        }
    }

    /// Releases a task that its job did not take over.
    fn settle_orphan(&mut self, task: TaskId) -> Effect {
        let applied = self.end_orphan(task);
        let number = self.jobs.number(task.job);
        if applied && number.is_some_and(|number| task.index >= self.jobs.get(number).spec.tasks) {
            self.cover_index(task);
            self.take_unseen(task);
        }
        Effect {
            applied,
            done: number.and_then(|number| self.finish_if_idle(number)),
            ..Effect::default()
        }
    }

    fn end_orphan(&mut self, task: TaskId) -> bool {
        let Some(kept) = self.orphans.get_mut(&task.job) else {
            return false;
        };
        let Some(position) = kept.iter().position(|orphan| orphan.found.task == task) else {
            return false;
        };
        let orphan = kept.swap_remove(position);
        if kept.is_empty() {
            self.orphans.remove(&task.job);
        }
        self.release_orphan(&orphan);
        self.forget_if_gone(orphan.worker);
        true
    }
}

fn backoff(failures: u32) -> Millis {
    let doublings = failures.saturating_sub(1).min(16);
    Millis(FIRST_BACKOFF.0 << doublings).min(LONGEST_BACKOFF)
}
