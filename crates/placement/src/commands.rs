//! Commands: changes requested by operators, the host list and the log.

use kspan_model::{
    JobId, JobResult, Millis, Name, Priority, Resources, TaskId,
    document::{Policy, Team},
};

use crate::{
    Cell, TaskState,
    health::Health,
    job::{Job, JobNo, Slot},
    spec::{
        AdoptOutcome, CancelOutcome, InventoryEntry, JobDone, JobKind, JobSpec, PlacedTask,
        ResizeOutcome, SubmitOutcome, WorkerSpec, WorkerState,
    },
    state::{Inner, Orphan},
    timers::Timer,
    worker::Worker,
};

/// Waiting time after which low and normal priority jobs rise by one priority, to prevent
/// starvation.
pub(crate) const PROMOTE_AFTER: Millis = Millis::from_secs(600);

impl Cell {
    /// Replaces the placement policy. Jobs already queued keep their position; later ones follow
    /// the new policy.
    pub fn set_policy(&mut self, policy: Policy) {
        self.inner.policy = policy;
    }

    /// Replaces the teams. The quotas are this shard's part of the quotas declared for all shards.
    pub fn set_teams(&mut self, teams: &[Team]) {
        self.inner.teams.declare(teams);
        for team in self.inner.teams.numbers() {
            self.inner.update_standing(team);
            self.inner.unpark(team);
        }
        self.inner.recheck_feasibility = true;
    }

    /// Replaces the workers that the operators declare for this shard, as capacities and counts.
    ///
    /// A job is impossible only if neither the declared nor the known workers can ever hold it.
    /// While there are no workers of either kind, no job is rejected for its size.
    pub fn set_fleet(&mut self, fleet: &[(Resources, u32)]) {
        self.inner.fleet = fleet.to_vec();
        self.inner.recheck_feasibility = true;
    }

    /// Adds a worker or updates its capacity. A worker in state [`WorkerState::Gone`] becomes
    /// available; any other state is kept.
    pub fn upsert_worker(&mut self, spec: WorkerSpec) {
        let inner = &mut self.inner;
        let Some(number) = inner.workers.number(&spec.name) else {
            let rack = inner.workers.rack_or_add(&spec.rack);
            let number = inner.workers.insert(Worker {
                name: spec.name,
                rack,
                capacity: spec.capacity,
                committed: Resources::ZERO,
                reserved: Resources::ZERO,
                reserved_from: Millis::MAX,
                usage: Resources::ZERO,
                state: WorkerState::Available,
                tasks: smallvec::SmallVec::new(),
                orphans: 0,
                health: Health::default(),
            });
            inner.record_freed_room(number);
            return;
        };
        let worker = inner.workers.get(number);
        let (before, state) = (worker.capacity, worker.state);
        if before != spec.capacity {
            inner.workers.set_capacity(number, spec.capacity);
        }
        if state == WorkerState::Gone {
            inner.workers.set_state(number, WorkerState::Available);
        }
        inner.record_freed_room(number);
    }

    /// Sets the availability of a worker. Does nothing for an unknown worker.
    pub fn set_worker_state(&mut self, name: &Name, state: WorkerState) {
        let inner = &mut self.inner;
        let Some(number) = inner.workers.number(name) else {
            return;
        };
        if inner.workers.get(number).state == state {
            return;
        }
        inner.workers.set_state(number, state);
        if state != WorkerState::Available {
            inner.drop_reservations_on(number);
        }
        inner.record_freed_room(number);
        inner.remove_if_gone(number);
    }

    /// Removes a worker once nothing is committed on it. Its tasks stay committed until each of
    /// them has ended.
    pub fn remove_worker(&mut self, name: &Name) {
        self.set_worker_state(name, WorkerState::Gone);
    }

    /// Queues a job, or rejects it with the reason why it can never run.
    pub fn submit(&mut self, spec: JobSpec) -> SubmitOutcome {
        let inner = &mut self.inner;
        if inner.jobs.number(spec.id).is_some() {
            return SubmitOutcome::AlreadyKnown;
        }
        if let Some(reason) = inner.impossible_reason(&spec) {
            return SubmitOutcome::Impossible(reason);
        }
        let team = inner.teams.number_or_add(&spec.team);
        let id = spec.id;
        if spec.priority < Priority::High {
            let due = spec.submitted.saturating_add(PROMOTE_AFTER);
            inner.timers.schedule(due, Timer::Promote(id));
        }
        inner
            .accelerator_demand
            .observe(spec.shape.size, spec.submitted);
        let number = inner.jobs.insert(Job::new(spec, team));
        for orphan in inner.orphans.remove(&id).unwrap_or_default() {
            inner.release_orphan(&orphan);
            inner.adopt(number, orphan);
        }
        inner.enqueue(number);
        SubmitOutcome::Queued
    }

    /// Changes the number of runners of a service.
    pub fn resize(&mut self, job: JobId, tasks: u32, now: Millis) -> ResizeOutcome {
        let inner = &mut self.inner;
        let Some(number) = inner.jobs.number(job) else {
            return ResizeOutcome::Unknown;
        };
        if inner.jobs.get(number).spec.kind != JobKind::Service {
            return ResizeOutcome::Unknown;
        }
        let before = std::mem::replace(&mut inner.jobs.get_mut(number).spec.tasks, tasks);
        if tasks >= before {
            inner.add_runners(number, before, now);
            return ResizeOutcome::Changed(Vec::new());
        }
        ResizeOutcome::Changed(inner.remove_runners(number, tasks))
    }

    /// Cancels a job in any state.
    pub fn cancel(&mut self, job: JobId) -> CancelOutcome {
        let inner = &mut self.inner;
        let Some(number) = inner.jobs.number(job) else {
            return CancelOutcome::Unknown;
        };
        let has_orphans = inner.orphans.contains_key(&job);
        if !inner.jobs.get(number).started && !has_orphans {
            inner.remove_job(number);
            return CancelOutcome::NotRun;
        }
        let effect = inner.end_job(number, JobResult::Cancelled, "cancelled");
        CancelOutcome::Running(effect.stop)
    }

    /// Commits the capacity of a task in a worker's inventory, regardless of its team's quota.
    pub fn adopt(&mut self, worker: &Name, found: InventoryEntry) -> AdoptOutcome {
        let inner = &mut self.inner;
        let Some(worker) = inner.workers.number(worker) else {
            return AdoptOutcome::UnknownWorker;
        };
        let orphan = Orphan { worker, found };
        match inner.jobs.number(found.task.job) {
            Some(number) => inner.adopt(number, orphan),
            None => inner.record_orphan(orphan, AdoptOutcome::Orphaned),
        }
    }
}

impl Inner {
    fn adopt(&mut self, number: JobNo, orphan: Orphan) -> AdoptOutcome {
        let Orphan { worker, found } = orphan;
        let task = found.task;
        self.jobs.get_mut(number).started = true;
        if self.jobs.get(number).reserved > 0 {
            self.drop_reservations(number);
        }
        let job = self.jobs.get_mut(number);
        if job
            .active_slot(task)
            .is_some_and(|slot| slot.worker == worker)
        {
            self.update_adopted_state(number, task, found.state);
            return AdoptOutcome::AlreadyKnown;
        }
        let is_wanted = task.index < job.spec.tasks && job.ending.is_none() && !job.restarting;
        let slot = job.slots.get_mut(task.index as usize);
        let adoptable = slot.filter(|slot| {
            let waits = slot.state == TaskState::Queued;
            is_wanted && waits && slot.attempt <= task.attempt
        });
        let Some(slot) = adoptable else {
            return self.record_orphan(orphan, AdoptOutcome::Superseded);
        };
        slot.attempt = task.attempt;
        self.dequeue_adopted(number, task);
        let since = found.started;
        self.assign_worker(number, task.index, worker, found.size, found.state, since);
        AdoptOutcome::Adopted
    }

    /// Dequeues a task that a previous owner of the shard started, and records its gang as adopted.
    pub(crate) fn dequeue_adopted(&mut self, number: JobNo, task: TaskId) {
        let job = self.jobs.get_mut(number);
        if job.is_gang() {
            self.adopted_gangs.insert(task.job);
        }
        job.pending.retain(|index| *index != task.index);
        if job.pending.is_empty() {
            self.dequeue(number);
        }
    }

    /// Updates the state of a task already recorded on the worker from its inventory.
    fn update_adopted_state(&mut self, number: JobNo, task: TaskId, state: TaskState) {
        let slot = &mut self.jobs.get_mut(number).slots[task.index as usize];
        if slot.state == TaskState::Starting && state == TaskState::Running {
            slot.transition_to(TaskState::Running);
        }
    }

    fn record_orphan(&mut self, orphan: Orphan, outcome: AdoptOutcome) -> AdoptOutcome {
        let kept = self.orphans.entry(orphan.found.task.job).or_default();
        let is_known = kept
            .iter()
            .any(|known| known.found.task == orphan.found.task && known.worker == orphan.worker);
        if is_known {
            return outcome;
        }
        kept.push(orphan);
        self.workers.get_mut(orphan.worker).orphans += 1;
        self.workers.commit(orphan.worker, orphan.found.size);
        outcome
    }

    pub(crate) fn release_orphan(&mut self, orphan: &Orphan) {
        self.workers.get_mut(orphan.worker).orphans -= 1;
        self.workers.release(orphan.worker, orphan.found.size);
        self.record_freed_room(orphan.worker);
    }

    fn add_runners(&mut self, number: JobNo, before: u32, now: Millis) {
        let job = self.jobs.get_mut(number);
        let size = job.spec.shape.size;
        for index in before..job.spec.tasks {
            let Some(slot) = job.slots.get_mut(index as usize) else {
                job.slots.push(Slot::new(size, now));
                job.pending.push(index);
                continue;
            };
            match slot.state {
                TaskState::Queued => job.pending.push(index),
                TaskState::Ended | TaskState::Lost => {
                    slot.transition_to(TaskState::Queued);
                    slot.attempt += 1;
                    slot.since = now;
                    job.pending.push(index);
                }
                // Still stopping: when it ends, its index is within the job again and gets a new
                // attempt.
                _ => {}
            }
        }
        self.enqueue(number);
    }

    fn remove_runners(&mut self, number: JobNo, tasks: u32) -> Vec<PlacedTask> {
        self.drop_reservations(number);
        let job = self.jobs.get_mut(number);
        job.pending.retain(|index| *index < tasks);
        let count = u32::try_from(job.slots.len()).expect("tasks fit in 32-bit numbers");
        if job.pending.is_empty() {
            self.dequeue(number);
        }
        (tasks..count)
            .filter_map(|index| self.stop_task(number, index))
            .collect()
    }

    /// Removes every queued job that has become impossible.
    pub(crate) fn remove_impossible_jobs(&mut self) -> Vec<(JobId, crate::spec::ImpossibleReason)> {
        let queued: Vec<JobNo> = self.queue.jobs().collect();
        let mut found = Vec::new();
        for number in queued {
            let job = self.jobs.get(number);
            if job.started {
                continue;
            }
            let Some(reason) = self.impossible_reason(&job.spec) else {
                continue;
            };
            found.push((job.spec.id, reason));
            self.remove_job(number);
        }
        found
    }

    /// Removes a job without active tasks and returns its end.
    pub(crate) fn finish_job(&mut self, number: JobNo, result: JobResult) -> JobDone {
        let job = self.remove_job(number);
        JobDone {
            job: job.spec.id,
            result,
            reason: Name::default(),
        }
    }
}
