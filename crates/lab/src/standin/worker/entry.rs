//! A task on a worker: its timing, state and actual resource usage.

use std::{net::SocketAddr, time::Duration};

use kspan_contract::protocol::worker::{Size, Start, Task, TaskState};
use kspan_model::Resources;

use crate::{clock::Micros, http::ServerHandle, standin::runner::Runner, token::mix};

/// Minimum time from a task's start until it runs.
const SET_UP_TIME: Micros = Micros::from_millis(100);

/// Time after a task's start during which its reported usage is zero.
const USAGE_DELAY: Micros = Micros::from_millis(3_000);

/// Minimum time that a stopping runner keeps serving, so that routers notice that it is draining.
const MIN_STOP_TIME: Micros = Micros::from_millis(500);

/// Run time of a task on a worker that fails every task.
const FAILING_RUN_TIME: Micros = Micros::from_millis(200);

/// Parameters of the tasks' actual run times.
#[derive(Clone, Copy, Debug)]
pub struct RunTimeModel {
    /// Seed of the run times.
    pub seed: u64,
    /// Maximum nominal run time of a task, so that tasks end within short experiments.
    pub max_run_time: Duration,
}

impl Default for RunTimeModel {
    fn default() -> Self {
        Self {
            seed: 1,
            max_run_time: Duration::from_secs(4),
        }
    }
}

pub(super) struct TaskEntry {
    pub(super) start: Start,
    pub(super) state: TaskState,
    pub(super) usage_cpu_limit: Option<u64>,
    pub(super) started: Micros,
    pub(super) run_for: Option<Micros>,
    pub(super) lease_until: Micros,
    pub(super) stop: Option<Stop>,
    pub(super) ended: Option<Micros>,
    pub(super) runner: Option<Runner>,
    pub(super) server: Option<ServerHandle>,
    pub(super) version: u64,
    pub(super) record_index: usize,
}

#[derive(Clone, Copy)]
pub(super) struct Stop {
    pub(super) requested_at: Micros,
    pub(super) force_at: Micros,
}

impl TaskEntry {
    pub(super) fn next_state(&self, now: Micros) -> Option<TaskState> {
        if self.state.is_ended() {
            return None;
        }
        if now >= self.lease_until {
            return Some(TaskState::LeaseLapsed);
        }
        if let Some(stop) = self.stop {
            let idle = self
                .runner
                .as_ref()
                .is_none_or(|runner| runner.in_use() == 0);
            let is_drain_time_over = now.since(stop.requested_at) >= MIN_STOP_TIME;
            return (now >= stop.force_at || idle && is_drain_time_over)
                .then_some(TaskState::Stopped);
        }
        let elapsed = now.since(self.started);
        if self
            .run_for
            .is_some_and(|run_for| elapsed >= Micros(run_for.0 + SET_UP_TIME.0))
        {
            return Some(TaskState::Succeeded);
        }
        let is_listening = self.runner.is_none() || self.server.is_some();
        let is_set_up = self.state == TaskState::Starting && elapsed >= SET_UP_TIME && is_listening;
        is_set_up.then_some(TaskState::Running)
    }

    fn endpoint(&self) -> Option<SocketAddr> {
        self.server.as_ref().map(|server| server.address)
    }

    pub(super) fn describe(&self, now: Micros) -> Task {
        let until = self.ended.unwrap_or(now);
        Task {
            task: self.start.task.clone(),
            workload: self.start.workload.clone(),
            state: self.state,
            size: self.start.size,
            usage: self.usage(now),
            endpoint: self.endpoint(),
            ran_ms: until.since(self.started).as_millis(),
        }
    }

    /// Returns the reported usage: from 30 % to 150 % of the declared size, depending on the task.
    fn usage(&self, now: Micros) -> Size {
        if self.state.is_ended() || now.since(self.started) < USAGE_DELAY {
            return Size::default();
        }
        let permille = 300 + hash_text(&self.start.task) % 1_200;
        let declared = self.start.size;
        let limit = self.usage_cpu_limit.unwrap_or(u64::MAX);
        Size {
            cpu_milli: (declared.cpu_milli * permille / 1_000).min(limit),
            memory_mib: declared.memory_mib * permille / 1_000,
            accelerators: declared.accelerators,
        }
    }
}

/// Returns a task's actual run time, or `None` for a runner, which runs until it is stopped.
///
/// Most tasks run about as long as declared, some much shorter, a few several times longer.
pub(super) fn actual_run_time(
    start: &Start,
    run_time_model: &RunTimeModel,
    fails: bool,
) -> Option<Micros> {
    if fails {
        return Some(FAILING_RUN_TIME);
    }
    if start.run_time_ms == 0 {
        return None;
    }
    let permille = match mix(hash_text(&start.task) ^ run_time_model.seed) % 1_000 {
        0..150 => 300,
        draw @ 150..950 => 600 + draw * 6 / 10,
        _ => 3_000,
    };
    let max_run_us = u64::try_from(run_time_model.max_run_time.as_micros()).unwrap_or(u64::MAX);
    let run_us = start.run_time_ms.saturating_mul(permille);
    Some(Micros(
        run_us.min(max_run_us.saturating_mul(permille.min(1_500)) / 1_000),
    ))
}

fn hash_text(text: &str) -> u64 {
    text.bytes()
        .fold(0, |hash, byte| mix(hash ^ u64::from(byte)))
}

pub(super) fn resources(size: Size) -> Resources {
    Resources::new(size.cpu_milli, size.memory_mib, size.accelerators)
}

pub(super) fn size(resources: Resources) -> Size {
    Size {
        cpu_milli: resources.cpu_milli,
        memory_mib: resources.memory_mib,
        accelerators: resources.accelerators,
    }
}
