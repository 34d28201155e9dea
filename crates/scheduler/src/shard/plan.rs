//! Commands: what placement decides, turned into orders for workers.

use kspan_model::{JobId, Millis, Name, UnixMillis};
use kspan_placement::{Decision, JobKind, PlacedTask, Start, TaskState};

use super::{Phase, Shard};
use crate::{
    commands::{Order, StartOrder},
    worker::HeldTask,
};

/// Most starts decided in one turn, so that a turn stays short.
const PLAN_BUDGET: usize = 512;

/// Longest wait for the runners that stand in for those of leaving workers.
const SURGE_TIMEOUT: Millis = Millis::from_secs(30);

/// Runners started beyond the declared number while workers are drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Surge {
    extra: u32,
    since: Millis,
}

impl Shard {
    pub(super) fn plan(&mut self, now: Millis, unix: UnixMillis) {
        if self.phase == Phase::Active {
            self.drain(now, unix);
        }
        for decision in self.cell.plan(now, &mut self.rng, PLAN_BUDGET) {
            match decision {
                Decision::Start(start) => self.order_start(&start, now),
                Decision::Preempt {
                    task,
                    worker,
                    checkpoint: true,
                } => self.checkpoint(task, &worker, now),
                Decision::Preempt { task, worker, .. } => {
                    self.stop(&PlacedTask { task, worker }, now, unix);
                }
                Decision::Impossible { job, reason } => {
                    self.refuse(job, &reason, now, unix);
                }
            }
        }
    }

    fn order_start(&mut self, start: &Start, now: Millis) {
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
        worker.held.insert(
            start.task,
            HeldTask::starting(start.workload.clone(), start.size),
        );
        worker.queue.push(start.task, Order::Start(order), now);
    }

    /// Moves work away from leaving workers: runners once others stand in for them, and tasks
    /// that can be checkpointed. Other tasks may finish.
    fn drain(&mut self, now: Millis, unix: UnixMillis) {
        let services: Vec<(JobId, u32)> = self
            .jobs
            .iter()
            .filter(|(_, entry)| entry.admitted && entry.declared.is_service())
            .map(|(job, entry)| (*job, entry.declared.spec.tasks))
            .collect();
        for (job, tasks) in services {
            self.drain_service(job, tasks, now, unix);
        }
        self.checkpoint_leaving(now);
    }

    fn drain_service(&mut self, job: JobId, tasks: u32, now: Millis, unix: UnixMillis) {
        let leaving = self.on_leaving_workers(job);
        let Some(surge) = self.surges.get(&job).copied() else {
            if let Ok(extra @ 1..) = u32::try_from(leaving.len()) {
                log::info!("scheduler: job {job} has {extra} runners on leaving workers");
                self.surges.insert(job, Surge { extra, since: now });
                self.resize(job, tasks + extra, now, unix);
            }
            return;
        };
        let is_late = now >= surge.since + SURGE_TIMEOUT;
        let running = self.running(job);
        if leaving.is_empty() {
            if running >= tasks + surge.extra || is_late {
                self.surges.remove(&job);
                self.resize(job, tasks, now, unix);
            }
        } else if running >= tasks || is_late {
            self.stop_each(&leaving, now, unix);
        }
    }

    /// Returns a service's runners that hold leaving workers and were not asked to stop yet.
    fn on_leaving_workers(&self, job: JobId) -> Vec<PlacedTask> {
        let mut found = Vec::new();
        for (name, worker) in self.workers.iter().filter(|(_, w)| w.is_leaving()) {
            let held = worker.held.iter();
            let asked = held.filter(|(task, held)| task.job == job && !held.leaving);
            found.extend(asked.map(|(task, _)| PlacedTask {
                task: *task,
                worker: name.clone(),
            }));
        }
        found
    }

    fn checkpoint_leaving(&mut self, now: Millis) {
        let mut found = Vec::new();
        for (name, worker) in self.workers.iter().filter(|(_, w)| w.is_leaving()) {
            for (task, held) in &worker.held {
                if !held.leaving && held.state == TaskState::Running && self.can_move(task.job) {
                    found.push((*task, name.clone()));
                }
            }
        }
        for (task, worker) in found {
            self.checkpoint(task, &worker, now);
        }
    }

    fn can_move(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|entry| {
            let spec = &entry.declared.spec;
            spec.kind == JobKind::Batch && spec.shape.checkpoint
        })
    }

    /// Returns why a job waits, in one sentence.
    pub(super) fn why_waiting(&self, job: JobId) -> Name {
        if !matches!(self.phase, Phase::Recovering | Phase::Active) {
            return "the shard's workers are being claimed".into();
        }
        let Some(entry) = self.jobs.get(&job) else {
            return "not known".into();
        };
        if let Some(reason) = &entry.impossible {
            return format!("can never run: {reason}").into();
        }
        if let Some(reason) = &entry.held_back {
            return format!("the team holds its quota in other shards: {reason}").into();
        }
        if !entry.admitted {
            return "what an earlier owner started is still being found out".into();
        }
        match self.cell.explain(job) {
            Some(kspan_placement::WaitReason::NotWaiting) | None => Name::default(),
            Some(waiting) => waiting.to_string().into(),
        }
    }
}
