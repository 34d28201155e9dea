//! Decides which connection is closed where an interface has no room for another one.

use rustc_hash::FxHashMap;
use tokio::time::{Duration, Instant};

use super::limits::{Interface, Limits};

/// Time without progress from which a connection counts as idle rather than between two steps.
const IDLE_TIME: Duration = Duration::from_secs(1);

/// Time for which a connection stays open after a refusal, so that its client can read it.
pub(super) const REFUSAL_LINGER: Duration = Duration::from_secs(1);

/// Identifies a connection.
pub(super) type Id = u64;

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No complete head of a request has arrived.
    New,
    /// A request's body arrives.
    Receiving,
    /// A request is being executed.
    Executing,
    /// The last request has been answered.
    Idle,
    /// A request was refused, and the connection is about to be closed.
    Refused,
}

#[derive(Debug)]
struct Connection {
    interface: Interface,
    phase: Phase,
    since: Instant,
}

impl Connection {
    /// Returns the order in which connections are closed; `None` if this one must not be.
    fn order(&self, now: Instant) -> Option<(u8, Instant)> {
        let is_old = now.duration_since(self.since) >= IDLE_TIME;
        let rank = match (self.phase, is_old) {
            (Phase::Refused, _) => 0,
            (Phase::New, true) => 1,
            (Phase::Receiving, true) => 2,
            (Phase::Idle, true) => 3,
            (Phase::New, false) => 4,
            (Phase::Receiving, false) => 5,
            (Phase::Idle, false) => 6,
            (Phase::Executing, _) => return None,
        };
        Some((rank, self.since))
    }
}

/// Open connections of all interfaces.
#[derive(Debug)]
pub(super) struct Connections {
    limits: [usize; Interface::ALL.len()],
    open: [usize; Interface::ALL.len()],
    connections: FxHashMap<Id, Connection>,
    next_id: Id,
}

impl Connections {
    /// Creates a table without connections.
    pub(super) fn new(limits: impl Fn(Interface) -> Limits) -> Self {
        Self {
            limits: Interface::ALL.map(|interface| limits(interface).connections),
            open: [0; Interface::ALL.len()],
            connections: FxHashMap::default(),
            next_id: 0,
        }
    }

    /// Adds a connection. Returns its id and the connection that must be closed for it, if any;
    /// `None` if there is no room because all others have requests in execution.
    pub(super) fn open(&mut self, interface: Interface, now: Instant) -> Option<(Id, Option<Id>)> {
        let mut victim = None;
        if self.open[interface as usize] >= self.limits[interface as usize] {
            victim = Some(self.choose_victim(interface, now)?);
        }
        if let Some(victim) = victim {
            self.close(victim);
        }
        let id = self.next_id;
        self.next_id += 1;
        let connection = Connection {
            interface,
            phase: Phase::New,
            since: now,
        };
        self.connections.insert(id, connection);
        self.open[interface as usize] += 1;
        Some((id, victim))
    }

    fn choose_victim(&self, interface: Interface, now: Instant) -> Option<Id> {
        let of_interface = self
            .connections
            .iter()
            .filter(|(_, one)| one.interface == interface);
        let candidates = of_interface.filter_map(|(id, one)| Some((one.order(now)?, *id)));
        candidates.min().map(|(_, id)| id)
    }

    /// Records a connection's phase. A refusal is final.
    pub(super) fn set_phase(&mut self, id: Id, phase: Phase, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id)
            && connection.phase != Phase::Refused
        {
            connection.phase = phase;
            connection.since = now;
        }
    }

    /// Removes the connections whose refusal their clients had time to read, and returns them.
    pub(super) fn close_refused(&mut self, now: Instant) -> Vec<Id> {
        let is_over = |connection: &Connection| {
            connection.phase == Phase::Refused
                && now.duration_since(connection.since) >= REFUSAL_LINGER
        };
        let over = self.connections.iter().filter(|(_, one)| is_over(one));
        let over: Vec<_> = over.map(|(id, _)| *id).collect();
        for id in &over {
            self.close(*id);
        }
        over
    }

    /// Removes a connection; removing it twice has no effect.
    pub(super) fn close(&mut self, id: Id) {
        if let Some(connection) = self.connections.remove(&id) {
            self.open[connection.interface as usize] -= 1;
        }
    }

    /// Returns the number of an interface's open connections.
    pub(super) fn open_count(&self, interface: Interface) -> usize {
        self.open[interface as usize]
    }
}
