//! Events: reports from workers.
//!
//! Events may be late, duplicated or out of order. Each names one attempt of one task; an event
//! about an attempt that no longer holds a worker changes nothing.

use kspan_model::{JobResult, Millis, Resources, TaskId};

use crate::{
    Cell, TaskState,
    job::{JobNo, Slot},
    spec::{Effect, End, StartRefusal},
    state::Inner,
};

/// Delay before the first retry, doubled for each further one.
const INITIAL_BACKOFF: Millis = Millis::from_secs(1);
/// Largest runner index accepted from an inventory; bounds the slots allocated for one service.
const MAX_RUNNER_INDEX: u32 = 1 << 16;
/// Upper bound on the delay before a retry.
const MAX_BACKOFF: Millis = Millis::from_secs(60);

impl Cell {
    /// Records that a worker has started the task.
    pub fn record_start(&mut self, task: TaskId, now: Millis) -> Effect {
        let inner = &mut self.inner;
        let Some(number) = inner.job_of_active_attempt(task) else {
            return Effect::default();
        };
        let slot = &mut inner.jobs.get_mut(number).slots[task.index as usize];
        if slot.state != TaskState::Starting {
            return Effect::default();
        }
        slot.transition_to(TaskState::Running);
        slot.since = now;
        Effect {
            applied: true,
            ..Effect::default()
        }
    }

    /// Records that a worker certainly did not execute the start.
    pub fn record_start_refusal(
        &mut self,
        task: TaskId,
        refusal: StartRefusal,
        now: Millis,
    ) -> Effect {
        let inner = &mut self.inner;
        let Some(number) = inner.job_of_active_attempt(task) else {
            return inner.finish_orphan(task);
        };
        let worker = inner.release_worker(number, task.index, TaskState::Ended);
        if refusal != StartRefusal::TooLate {
            inner.avoid_worker(number, worker);
        }
        inner.retry(number, task.index, INITIAL_BACKOFF, now)
    }

    /// Records that the reply to a start was lost, which leaves the task in doubt. The capacity
    /// stays committed until the worker's inventory or the expiry of the lease resolves it.
    pub fn record_unresolved_start(&mut self, task: TaskId) -> Effect {
        Effect {
            applied: self.inner.job_of_active_attempt(task).is_some(),
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
        if let Some(number) = inner.job_of_active_attempt(task) {
            return inner.end_active_attempt(number, task, end, now);
        }
        let orphan = inner.finish_orphan(task);
        if orphan.applied {
            return orphan;
        }
        inner.add_slots_up_to(task);
        if inner.record_used_attempt(task) {
            return Effect {
                applied: true,
                ..Effect::default()
            };
        }
        match inner.end_unseen_attempt(task) {
            Some(number) => inner.handle_end(number, task.index, end, true, now),
            None => Effect::default(),
        }
    }

    /// Records the usage of a task, as measured some seconds ago.
    pub fn record_usage(&mut self, task: TaskId, used: Resources) -> Effect {
        let inner = &mut self.inner;
        let Some(number) = inner.job_of_active_attempt(task) else {
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
    /// Returns the job of a task if exactly this attempt holds a worker.
    pub(crate) fn job_of_active_attempt(&self, task: TaskId) -> Option<JobNo> {
        let number = self.jobs.number(task.job)?;
        self.jobs.get(number).active_slot(task).map(|_| number)
    }

    fn end_active_attempt(&mut self, number: JobNo, task: TaskId, end: End, now: Millis) -> Effect {
        let slot = &self.jobs.get(number).slots[task.index as usize];
        let was_stopping = matches!(slot.state, TaskState::Stopping | TaskState::Checkpointing);
        let next = match end {
            End::Lost => TaskState::Lost,
            _ => TaskState::Ended,
        };
        let worker = slot.worker;
        let mut exempt = was_stopping;
        if !was_stopping && matches!(end, End::Succeeded | End::Failed) {
            exempt = self.record_outcome(number, task, worker, end == End::Failed, now);
        }
        if end == End::Succeeded {
            let elapsed =
                now.saturating_sub(self.jobs.get(number).slots[task.index as usize].since);
            self.estimates
                .observe_run(&self.jobs.get(number).spec, elapsed);
        }
        self.release_worker(number, task.index, next);
        if end == End::Failed && !was_stopping {
            self.avoid_worker(number, worker);
        }
        self.handle_end(number, task.index, end, exempt, now)
    }

    /// Adds slots up to the index of a runner that a previous owner of the shard started while its
    /// service had more runners.
    fn add_slots_up_to(&mut self, task: TaskId) {
        let Some(number) = self.jobs.number(task.job) else {
            return;
        };
        let job = self.jobs.get_mut(number);
        if !job.is_service() || task.index > MAX_RUNNER_INDEX {
            return;
        }
        while job.slots.len() <= task.index as usize {
            let slot = Slot::new(job.spec.shape.size, job.spec.submitted);
            job.slots.push(slot);
        }
    }

    /// Records a later attempt, used by a previous owner of the shard, of a task that has ended
    /// here as well, so that its number is not reused. Returns whether the attempt was later.
    fn record_used_attempt(&mut self, task: TaskId) -> bool {
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

    /// Marks a queued task as ended if its end was found in an inventory: a previous owner of the
    /// shard started the attempt.
    fn end_unseen_attempt(&mut self, task: TaskId) -> Option<JobNo> {
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
        slot.transition_to(TaskState::Ended);
        job.started = true;
        self.dequeue_adopted(number, task);
        Some(number)
    }

    /// Decides what follows the end of a task whose capacity is already released. `exempt` says that
    /// a failure does not count against the job.
    fn handle_end(
        &mut self,
        number: JobNo,
        index: u32,
        end: End,
        exempt: bool,
        now: Millis,
    ) -> Effect {
        let job = self.jobs.get(number);
        if job.ending.is_some() {
            return self.continue_ending(number);
        }
        match end {
            End::Succeeded if !job.is_service() && !job.restarting => {
                self.finish_task(number, index)
            }
            End::Succeeded => self.retry(number, index, INITIAL_BACKOFF, now),
            End::Failed if !exempt && !job.restarting => self.fail_task(number, index, now),
            End::Failed if !job.restarting => self.retry(number, index, INITIAL_BACKOFF, now),
            End::Failed | End::Stopped | End::Checkpointed | End::LeaseLapsed | End::Lost => {
                self.retry(number, index, Millis::ZERO, now)
            }
        }
    }

    /// Ends a job that is ending once its last task has ended.
    fn continue_ending(&mut self, number: JobNo) -> Effect {
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
            done: is_done.then(|| self.finish_job(number, JobResult::Succeeded)),
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
        self.retry(number, index, backoff_after(failures), now)
    }

    /// Queues a new attempt of a task, or of its whole gang.
    fn retry(&mut self, number: JobNo, index: u32, backoff: Millis, now: Millis) -> Effect {
        let job = self.jobs.get(number);
        if job.ending.is_some() {
            return self.continue_ending(number);
        }
        if job.is_gang() {
            return self.restart_gang(number, backoff, now);
        }
        if index >= job.spec.tasks {
            // The service has been reduced below this index.
            return Effect {
                applied: true,
                ..Effect::default()
            };
        }
        self.queue_new_attempt(number, index, now);
        self.enqueue_after(number, index, backoff, now);
        Effect {
            applied: true,
            retry: Some(self.jobs.get(number).task(index)),
            ..Effect::default()
        }
    }

    /// Stops the running tasks of a gang, and queues the whole gang once they have ended.
    pub(crate) fn restart_gang(&mut self, number: JobNo, backoff: Millis, now: Millis) -> Effect {
        let job = self.jobs.get_mut(number);
        job.restarting = true;
        job.backoff_until = job.backoff_until.max(now.saturating_add(backoff));
        job.pending.clear();
        self.dequeue(number);
        let stop = self.stop_all_tasks(number);
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
                self.queue_new_attempt(number, index, now);
            }
        }
        let job = self.jobs.get_mut(number);
        job.restarting = false;
        job.finished = 0;
        let backoff = job.backoff_until.saturating_sub(now);
        self.enqueue_after(number, 0, backoff, now);
        Some(self.jobs.get(number).task(0))
    }

    fn avoid_worker(&mut self, number: JobNo, worker: u32) {
        if self.workers.at(worker as usize).is_none() {
            return;
        }
        let avoid = &mut self.jobs.get_mut(number).avoid;
        if !avoid.contains(&worker) {
            avoid.push(worker);
            self.jobs.get_mut(number).failed_workers += 1;
        }
    }

    /// Releases the capacity of an orphaned task that has ended.
    fn finish_orphan(&mut self, task: TaskId) -> Effect {
        let applied = self.remove_orphan(task);
        let number = self.jobs.number(task.job);
        if applied && number.is_some_and(|number| task.index >= self.jobs.get(number).spec.tasks) {
            self.add_slots_up_to(task);
            self.end_unseen_attempt(task);
        }
        Effect {
            applied,
            done: number.and_then(|number| self.finish_if_idle(number)),
            ..Effect::default()
        }
    }

    fn remove_orphan(&mut self, task: TaskId) -> bool {
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
        self.remove_if_gone(orphan.worker);
        true
    }
}

fn backoff_after(failures: u32) -> Millis {
    let doublings = failures.saturating_sub(1).min(16);
    Millis(INITIAL_BACKOFF.0 << doublings).min(MAX_BACKOFF)
}
