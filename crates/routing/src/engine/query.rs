//! What an engine tells about itself.

use kspan_model::{Fence, Millis, Name, NodeId, TaskId};
use serde::Serialize;

use super::Engine;
use crate::ledger::TAKEOVER_WAIT;

/// State of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServiceDump {
    /// The service.
    pub service: Name,
    /// Requests that wait.
    pub queued: usize,
    /// Requests dispatched and not answered.
    pub in_flight: u32,
    /// Slots that this router could use now.
    pub free_slots: u32,
    /// Mean time of an answer, in milliseconds.
    pub latency_ms: u64,
    /// Dispatches so far.
    pub dispatched: u64,
    /// Requests refused so far.
    pub refused: u64,
    /// Retries so far.
    pub retries: u64,
    /// Hedges so far.
    pub hedges: u64,
    /// Slots borrowed so far.
    pub borrowed: u64,
    /// Slots lent so far.
    pub lent: u64,
    /// The runners.
    pub runners: Vec<RunnerDump>,
}

/// State of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RunnerDump {
    /// The runner.
    pub task: String,
    /// Its home.
    pub home: Option<String>,
    /// Slots of this router's requests.
    pub in_flight: u32,
    /// Slots lent to others.
    pub lent: u32,
    /// Slots that may be in use though nobody accounts for them.
    pub uncertain: u32,
    /// Slots borrowed from its home.
    pub borrowed: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it is ejected.
    pub ejected: bool,
}

impl Engine {
    /// Returns the state of every service.
    pub fn dump(&self, now: Millis) -> Vec<ServiceDump> {
        let indices = 0..self.services.len();
        indices.map(|index| self.dump_service(index, now)).collect()
    }

    /// Returns whether this router can spend the slots of runners that it is home to: it may act
    /// on the newest view, and loans of earlier homes have lapsed.
    pub fn is_takeover_complete(&self, now: Millis) -> bool {
        let settled = self.activated_at.saturating_add(TAKEOVER_WAIT);
        let activated = self.view.number > 0 && self.authority.activated >= self.view.number;
        self.authority.may_act && activated && now >= settled
    }

    /// Returns whether a shard's runner table of that version is newer than the one known.
    pub fn is_table_newer(&self, shard: &Name, fence: Fence, version: u64) -> bool {
        let known = self.shards.get(shard);
        known.is_none_or(|known| *known < (fence, version))
    }

    /// Returns how many requests wait, and how many are dispatched.
    pub fn load(&self) -> (usize, usize) {
        let queued = self
            .services
            .iter()
            .map(|service| service.queue.len())
            .sum();
        (queued, self.in_flight.len())
    }

    /// Returns how many slots of `task` this router accounts for: its own uses, its loans and
    /// the uncertain ones as a home, or the borrowed ones. None when it knows no such runner.
    pub fn slots_held(&self, task: TaskId) -> Option<u32> {
        let index = *self.runner_index.get(&task)?;
        let runner = self.runners[index as usize].as_ref()?;
        Some(runner.in_flight)
    }

    /// Returns the home of a runner in the view that this router knows.
    pub fn home_of(&self, task: TaskId) -> Option<&NodeId> {
        let index = *self.runner_index.get(&task)?;
        self.runners[index as usize].as_ref()?.home.as_ref()
    }

    fn dump_service(&self, index: usize, now: Millis) -> ServiceDump {
        let service = &self.services[index];
        let runners = service.runners.iter();
        let runners = runners.filter_map(|&number| self.dump_runner(number, now));
        ServiceDump {
            service: service.name.clone(),
            queued: service.queue.len(),
            in_flight: service.in_flight,
            free_slots: service.free,
            latency_ms: service.mean_latency().0,
            dispatched: service.counters.dispatched,
            refused: service.counters.refused,
            retries: service.counters.retries,
            hedges: service.counters.hedges,
            borrowed: service.counters.borrowed,
            lent: service.counters.lent,
            runners: runners.collect(),
        }
    }

    fn dump_runner(&self, number: u32, now: Millis) -> Option<RunnerDump> {
        let runner = self.runners[number as usize].as_ref()?;
        let ledger = runner.ledger.as_ref();
        Some(RunnerDump {
            task: runner.task.to_string(),
            home: runner.home.as_ref().map(ToString::to_string),
            in_flight: runner.in_flight,
            lent: ledger.map_or(0, crate::ledger::Ledger::lent),
            uncertain: ledger.map_or(0, crate::ledger::Ledger::uncertain),
            borrowed: runner.loans.iter().map(|loan| loan.slots).sum(),
            leaving: runner.is_leaving(),
            ejected: runner.health.is_ejected(now),
        })
    }
}
