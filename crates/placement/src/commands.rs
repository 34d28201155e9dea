//! Commands: what operators, the host list and the log ask of a cell.

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
    timers::Due,
    worker::Worker,
};

/// Wait after which low and normal work rises by one priority, so that none starves.
pub(crate) const PROMOTED_AFTER: Millis = Millis::from_secs(600);

impl Cell {
    /// Replaces the placement policy. Jobs that wait keep their place; later ones follow the new
    /// policy.
    pub fn set_policy(&mut self, policy: Policy) {
        self.inner.policy = policy;
    }

    /// Replaces the teams. The quotas are this shard's part of the cell's quotas.
    pub fn set_teams(&mut self, teams: &[Team]) {
        self.inner.teams.declare(teams);
        for team in self.inner.teams.numbers() {
            self.inner.restand(team);
            self.inner.unpark(team);
        }
        self.inner.recheck = true;
    }

    /// Replaces the workers that the operators declare for this shard, as capacities and counts.
    ///
    /// A job is impossible only if neither these nor the known workers can ever hold it. With
    /// neither of them known no job is called impossible for its size.
    pub fn set_fleet(&mut self, fleet: &[(Resources, u32)]) {
        self.inner.fleet = fleet.to_vec();
        self.inner.recheck = true;
    }

    /// Adds a worker, or brings its capacity up to date. A worker that was gone is available
    /// again; another state is kept.
    pub fn upsert_worker(&mut self, spec: WorkerSpec) {
        let inner = &mut self.inner;
        let Some(number) = inner.workers.number(&spec.name) else {
            let rack = inner.workers.rack(&spec.rack);
            let number = inner.workers.insert(Worker {
                name: spec.name,
                rack,
                capacity: spec.capacity,
                committed: Resources::ZERO,
                reserved: Resources::ZERO,
                needed_at: Millis::MAX,
                usage: Resources::ZERO,
                state: WorkerState::Available,
                tasks: smallvec::SmallVec::new(),
                orphans: 0,
                health: Health::default(),
            });
            inner.offer_room(number);
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
        inner.offer_room(number);
    }

    /// Sets whether a worker may take new tasks. Does nothing for a worker that is not known.
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
        inner.offer_room(number);
        inner.forget_if_gone(number);
    }

    /// Forgets a worker as soon as nothing is committed to it. Its tasks stay committed until
    /// each of them has ended.
    pub fn remove_worker(&mut self, name: &Name) {
        self.set_worker_state(name, WorkerState::Gone);
    }

    /// Takes a job in, or tells at once why it can never run.
    pub fn submit(&mut self, spec: JobSpec) -> SubmitOutcome {
        let inner = &mut self.inner;
        if inner.jobs.number(spec.id).is_some() {
            return SubmitOutcome::AlreadyKnown;
        }
        if let Some(reason) = inner.why_impossible(&spec) {
            return SubmitOutcome::Impossible(reason);
        }
        let team = inner.teams.number_or_add(&spec.team);
        let id = spec.id;
        if spec.priority < Priority::High {
            let due = spec.submitted.saturating_add(PROMOTED_AFTER);
            inner.timers.set(due, Due::Age(id));
        }
        inner
            .per_accelerator
            .observe(spec.shape.size, spec.submitted);
        let number = inner.jobs.insert(Job::new(spec, team));
        for orphan in inner.orphans.remove(&id).unwrap_or_default() {
            inner.release_orphan(&orphan);
            inner.adopt(number, orphan);
        }
        inner.enqueue(number);
        SubmitOutcome::Queued
    }

    /// Changes the number of a service's tasks.
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
            inner.grow(number, before, now);
            return ResizeOutcome::Changed(Vec::new());
        }
        ResizeOutcome::Changed(inner.shrink(number, tasks))
    }

    /// Cancels a job in whatever state it is.
    pub fn cancel(&mut self, job: JobId) -> CancelOutcome {
        let inner = &mut self.inner;
        let Some(number) = inner.jobs.number(job) else {
            return CancelOutcome::Unknown;
        };
        let has_orphans = inner.orphans.contains_key(&job);
        if !inner.jobs.get(number).started && !has_orphans {
            inner.forget_job(number);
            return CancelOutcome::NotRun;
        }
        let effect = inner.end_job(number, JobResult::Cancelled, "cancelled");
        CancelOutcome::Running(effect.stop)
    }

    /// Commits the capacity of a task that a worker's inventory lists, whatever its team's quota.
    pub fn adopt(&mut self, worker: &Name, found: InventoryEntry) -> AdoptOutcome {
        let inner = &mut self.inner;
        let Some(worker) = inner.workers.number(worker) else {
            return AdoptOutcome::UnknownWorker;
        };
        let orphan = Orphan { worker, found };
        match inner.jobs.number(found.task.job) {
            Some(number) => inner.adopt(number, orphan),
            None => inner.keep_orphan(orphan, AdoptOutcome::Orphaned),
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
        if job.current(task).is_some_and(|slot| slot.worker == worker) {
            self.catch_up(number, task, found.state);
            return AdoptOutcome::AlreadyKnown;
        }
        let wanted = task.index < job.spec.tasks && job.ending.is_none() && !job.restarting;
        let slot = job.slots.get_mut(task.index as usize);
        let takes = slot.filter(|slot| {
            let waits = slot.state == TaskState::Queued;
            wanted && waits && slot.attempt <= task.attempt
        });
        let Some(slot) = takes else {
            return self.keep_orphan(orphan, AdoptOutcome::Superseded);
        };
        slot.attempt = task.attempt;
        if job.is_gang() {
            self.gangs_found.insert(task.job);
        }
        let job = self.jobs.get_mut(number);
        job.pending.retain(|index| *index != task.index);
        if job.pending.is_empty() {
            self.dequeue(number);
        }
        let since = found.started;
        self.occupy(number, task.index, worker, found.size, found.state, since);
        AdoptOutcome::Adopted
    }

    /// Follows a state that an inventory reports for a task that is known on the worker.
    fn catch_up(&mut self, number: JobNo, task: TaskId, state: TaskState) {
        let slot = &mut self.jobs.get_mut(number).slots[task.index as usize];
        if slot.state == TaskState::Starting && state == TaskState::Running {
            slot.become_state(TaskState::Running);
        }
    }

    fn keep_orphan(&mut self, orphan: Orphan, answer: AdoptOutcome) -> AdoptOutcome {
        let kept = self.orphans.entry(orphan.found.task.job).or_default();
        let is_known = kept
            .iter()
            .any(|known| known.found.task == orphan.found.task && known.worker == orphan.worker);
        if is_known {
            return answer;
        }
        kept.push(orphan);
        self.workers.get_mut(orphan.worker).orphans += 1;
        self.workers.commit(orphan.worker, orphan.found.size);
        answer
    }

    pub(crate) fn release_orphan(&mut self, orphan: &Orphan) {
        self.workers.get_mut(orphan.worker).orphans -= 1;
        self.workers.release(orphan.worker, orphan.found.size);
        self.offer_room(orphan.worker);
    }

    fn grow(&mut self, number: JobNo, before: u32, now: Millis) {
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
                    slot.become_state(TaskState::Queued);
                    slot.attempt += 1;
                    slot.since = now;
                    job.pending.push(index);
                }
                // Still stopping: its end finds the index wanted again and renews it.
                _ => {}
            }
        }
        self.enqueue(number);
    }

    fn shrink(&mut self, number: JobNo, tasks: u32) -> Vec<PlacedTask> {
        self.drop_reservations(number);
        let job = self.jobs.get_mut(number);
        job.pending.retain(|index| *index < tasks);
        let count = u32::try_from(job.slots.len()).expect("tasks are numbered in 32 bits");
        if job.pending.is_empty() {
            self.dequeue(number);
        }
        (tasks..count)
            .filter_map(|index| self.stop_one(number, index))
            .collect()
    }

    /// Forgets every queued job that can no longer ever run.
    pub(crate) fn take_impossible(&mut self) -> Vec<(JobId, crate::spec::ImpossibleReason)> {
        let queued: Vec<JobNo> = self.queue.jobs().collect();
        let mut found = Vec::new();
        for number in queued {
            let job = self.jobs.get(number);
            if job.started {
                continue;
            }
            let Some(reason) = self.why_impossible(&job.spec) else {
                continue;
            };
            found.push((job.spec.id, reason));
            self.forget_job(number);
        }
        found
    }

    /// Answers the end of a job that holds nothing any more.
    pub(crate) fn done(&mut self, number: JobNo, result: JobResult) -> JobDone {
        let job = self.forget_job(number);
        JobDone {
            job: job.spec.id,
            result,
            reason: Name::default(),
        }
    }
}
