//! Read-only queries of the engine's state.

use kspan_model::{Fence, Millis, Name, NodeId, TaskId};
use serde::Serialize;

use super::Engine;
use crate::ledger::TAKEOVER_WAIT;

/// State of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServiceDump {
    /// The service.
    pub service: Name,
    /// Queued requests.
    pub queued: usize,
    /// Requests in flight.
    pub in_flight: u32,
    /// Slots that this router can use.
    pub free_slots: u32,
    /// Mean service time in milliseconds.
    pub latency_ms: u64,
    /// Total number of dispatches.
    pub dispatched: u64,
    /// Total number of refused requests.
    pub refused: u64,
    /// Total number of retries.
    pub retries: u64,
    /// Total number of hedges.
    pub hedges: u64,
    /// Total number of borrowed slots.
    pub borrowed: u64,
    /// Total number of lent slots.
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
    /// Requests of this router in flight at the runner.
    pub in_flight: u32,
    /// Slots lent to other routers.
    pub lent: u32,
    /// Slots that may be in use without being accounted for.
    pub uncertain: u32,
    /// Slots borrowed from the runner's home.
    pub borrowed: u32,
    /// Whether the runner accepts no new requests.
    pub leaving: bool,
    /// Whether the runner is ejected.
    pub ejected: bool,
}

impl Engine {
    /// Returns the state of every service.
    pub fn dump(&self, now: Millis) -> Vec<ServiceDump> {
        let indices = 0..self.services.len();
        indices.map(|index| self.dump_service(index, now)).collect()
    }

    /// Returns whether this router can use the slots of the runners that it is home to: it may act
    /// on the newest view, and all loans of previous homes have expired.
    pub fn is_takeover_complete(&self, now: Millis) -> bool {
        let usable_from = self.activated_at.saturating_add(TAKEOVER_WAIT);
        let activated = self.view.number > 0 && self.authority.activated >= self.view.number;
        self.authority.may_act && activated && now >= usable_from
    }

    /// Returns whether a runner table with this fencing token and version is newer than the known
    /// one of the shard.
    pub fn is_table_newer(&self, shard: &Name, fence: Fence, version: u64) -> bool {
        let known = self.table_versions.get(shard);
        known.is_none_or(|known| *known < (fence, version))
    }

    /// Returns the number of queued requests and of requests in flight.
    pub fn load(&self) -> (usize, usize) {
        let queued = self
            .services
            .iter()
            .map(|service| service.queue.len())
            .sum();
        (queued, self.in_flight.len())
    }

    /// Returns the number of this router's requests in flight at `task`, or `None` if it knows no
    /// such runner.
    pub fn in_flight_at(&self, task: TaskId) -> Option<u32> {
        let index = *self.runner_index.get(&task)?;
        let runner = self.runners[index as usize].as_ref()?;
        Some(runner.in_flight)
    }

    /// Returns the home of a runner in the newest view that this router knows.
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
