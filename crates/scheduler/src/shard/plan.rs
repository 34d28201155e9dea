//! Conversion of placement decisions to orders for workers.

use kspan_model::{JobId, Millis, Name, UnixMillis};
use kspan_placement::{Decision, JobKind, PlacedTask, Start, TaskState};

use super::{Phase, Shard};
use crate::{
    commands::{Order, StartOrder},
    worker::ActiveTask,
};

/// Maximum starts decided in one turn, which bounds a turn's duration.
const MAX_STARTS_PER_TURN: usize = 512;

/// Timeout of the wait for the runners that replace those on leaving workers.
const SURGE_TIMEOUT: Millis = Millis::from_secs(30);

/// Runners started beyond the declared number while workers are being drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Surge {
    extra: u32,
    since: Millis,
}

impl Shard {
    pub(super) fn run_placement(&mut self, now: Millis, unix: UnixMillis) {
        if self.phase == Phase::Active {
            self.drain_workers(now, unix);
        }
        for decision in self.cell.plan(now, &mut self.rng, MAX_STARTS_PER_TURN) {
            match decision {
                Decision::Start(start) => self.queue_start(&start, now),
                Decision::Preempt {
                    task,
                    worker,
                    checkpoint: true,
                } => self.checkpoint_task(task, &worker, now),
                Decision::Preempt { task, worker, .. } => {
                    self.stop_task(&PlacedTask { task, worker }, now, unix);
                }
                Decision::Impossible { job, reason } => {
                    self.reject_job(job, &reason, now, unix);
                }
            }
        }
    }

    fn queue_start(&mut self, start: &Start, now: Millis) {
        let (Some(worker), Some(entry)) = (
            self.workers.get_mut(&start.worker),
            self.jobs.get(&start.task.job),
        ) else {
            return;
        };
        let declared = &entry.declared;
        let order = StartOrder {
            workload: start.workload.clone(),
            size: start.size,
            run_time: declared.spec.run_time,
            slots: declared.slots,
            connections: declared.connections,
        };
        log::debug!("scheduler: starting {} on {}", start.task, start.worker);
        worker.active_tasks.insert(
            start.task,
            ActiveTask::starting(start.workload.clone(), start.size),
        );
        worker.queue.push(start.task, Order::Start(order), now);
    }

    /// Drains leaving workers: stops runners once their replacements run, and checkpoints tasks
    /// that support it. Other tasks may finish.
    fn drain_workers(&mut self, now: Millis, unix: UnixMillis) {
        let services: Vec<(JobId, u32)> = self
            .jobs
            .iter()
            .filter(|(_, entry)| entry.admitted && entry.declared.is_service())
            .map(|(job, entry)| (*job, entry.declared.spec.tasks))
            .collect();
        for (job, tasks) in services {
            self.drain_service_runners(job, tasks, now, unix);
        }
        self.checkpoint_tasks_on_leaving_workers(now);
    }

    fn drain_service_runners(&mut self, job: JobId, tasks: u32, now: Millis, unix: UnixMillis) {
        let leaving = self.runners_on_leaving_workers(job);
        let Some(surge) = self.surges.get(&job).copied() else {
            if let Ok(extra @ 1..) = u32::try_from(leaving.len()) {
                log::info!("scheduler: replacing {extra} runners of job {job} on leaving workers");
                self.surges.insert(job, Surge { extra, since: now });
                self.resize_service(job, tasks + extra, now, unix);
            }
            return;
        };
        let is_late = now >= surge.since + SURGE_TIMEOUT;
        let running = self.count_running_tasks(job);
        if leaving.is_empty() {
            if running >= tasks + surge.extra || is_late {
                self.surges.remove(&job);
                self.resize_service(job, tasks, now, unix);
            }
        } else if running >= tasks || is_late {
            self.stop_tasks(&leaving, now, unix);
        }
    }

    /// Returns a service's runners on leaving workers that have not been ordered to end.
    fn runners_on_leaving_workers(&self, job: JobId) -> Vec<PlacedTask> {
        let mut found = Vec::new();
        for (name, worker) in self.workers.iter().filter(|(_, w)| w.is_leaving()) {
            let active = worker.active_tasks.iter();
            let remaining =
                active.filter(|(task, active)| task.job == job && !active.end_requested);
            found.extend(remaining.map(|(task, _)| PlacedTask {
                task: *task,
                worker: name.clone(),
            }));
        }
        found
    }

    fn checkpoint_tasks_on_leaving_workers(&mut self, now: Millis) {
        let mut found = Vec::new();
        for (name, worker) in self.workers.iter().filter(|(_, w)| w.is_leaving()) {
            for (task, active) in &worker.active_tasks {
                if !active.end_requested
                    && active.state == TaskState::Running
                    && self.is_checkpointable(task.job)
                {
                    found.push((*task, name.clone()));
                }
            }
        }
        for (task, worker) in found {
            self.checkpoint_task(task, &worker, now);
        }
    }

    fn is_checkpointable(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|entry| {
            let spec = &entry.declared.spec;
            spec.kind == JobKind::Batch && spec.shape.checkpoint
        })
    }

    /// Returns why a job is waiting, in one sentence; empty if it is not.
    pub(super) fn waiting_reason(&self, job: JobId) -> Name {
        if !matches!(self.phase, Phase::Recovering | Phase::Active) {
            return "the shard's workers are being claimed".into();
        }
        let Some(entry) = self.jobs.get(&job) else {
            return "the job is not known to the shard's owner".into();
        };
        if let Some(reason) = &entry.impossible {
            return format!("can never run: {reason}").into();
        }
        if let Some(reason) = &entry.quota_block {
            return format!("the team uses its quota in other shards: {reason}").into();
        }
        if !entry.admitted {
            return "the shard is still recovering tasks started by an earlier owner".into();
        }
        match self.cell.explain(job) {
            Some(kspan_placement::WaitReason::NotWaiting) | None => Name::default(),
            Some(waiting) => waiting.to_string().into(),
        }
    }
}
