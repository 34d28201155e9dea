//! One task on a worker: its times, its state and what it really uses.

use std::net::SocketAddr;

use kspan_contract::protocol::worker::{Size, Start, Task, TaskState};
use kspan_model::Resources;

use super::state::Ground;
use crate::{clock::Micros, http::ServerHandle, standin::runner::Runner, token::mix};

/// Time that a task takes to be set up.
const SET_UP: Micros = Micros::from_millis(100);

/// How far usage reports are behind.
const USAGE_LAG: Micros = Micros::from_millis(3_000);

/// Time that a runner goes on after it was asked to stop, so that routers can learn of it.
const LINGER: Micros = Micros::from_millis(500);

/// Time after which a task on a worker that fails everything fails.
const FAIL_AFTER: Micros = Micros::from_millis(200);

pub(super) struct Entry {
    pub(super) start: Start,
    pub(super) state: TaskState,
    pub(super) usage_cpu_limit: Option<u64>,
    pub(super) started: Micros,
    pub(super) run_for: Option<Micros>,
    pub(super) lease_until: Micros,
    pub(super) stop: Option<Stop>,
    pub(super) ended: Option<Micros>,
    pub(super) runner: Option<Runner>,
    pub(super) serving: Option<ServerHandle>,
    pub(super) version: u64,
    pub(super) record: usize,
}

#[derive(Clone, Copy)]
pub(super) struct Stop {
    pub(super) asked: Micros,
    pub(super) force_at: Micros,
}

impl Entry {
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
            let lingered = now.since(stop.asked) >= LINGER;
            return (now >= stop.force_at || idle && lingered).then_some(TaskState::Stopped);
        }
        let ran = now.since(self.started);
        if self
            .run_for
            .is_some_and(|run_for| ran >= Micros(run_for.0 + SET_UP.0))
        {
            return Some(TaskState::Succeeded);
        }
        let ready = self.runner.is_none() || self.serving.is_some();
        let set_up = self.state == TaskState::Starting && ran >= SET_UP && ready;
        set_up.then_some(TaskState::Running)
    }

    fn endpoint(&self) -> Option<SocketAddr> {
        self.serving.as_ref().map(|serving| serving.address)
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

    /// Tasks use from a third of what they declared to half as much again.
    fn usage(&self, now: Micros) -> Size {
        if self.state.is_ended() || now.since(self.started) < USAGE_LAG {
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

/// Returns how long a task really runs; none for a runner, which runs until it is stopped.
///
/// Most tasks run about as long as declared, some much shorter, a few several times longer.
pub(super) fn true_run_time(start: &Start, ground: &Ground, fails: bool) -> Option<Micros> {
    if fails {
        return Some(FAIL_AFTER);
    }
    if start.run_time_ms == 0 {
        return None;
    }
    let permille = match mix(hash_text(&start.task) ^ ground.seed) % 1_000 {
        0..150 => 300,
        draw @ 150..950 => 600 + draw * 6 / 10,
        _ => 3_000,
    };
    let longest = u64::try_from(ground.longest_run.as_micros()).unwrap_or(u64::MAX);
    let wanted = start.run_time_ms.saturating_mul(permille);
    Some(Micros(
        wanted.min(longest.saturating_mul(permille.min(1_500)) / 1_000),
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
