//! Bounds what clients hold in the process: bytes of their messages, and connections.
//!
//! [`ledger`] and [`connections`] decide; this module carries the decisions out. What is reserved
//! is held by a guard and returned when the guard is dropped.

mod connections;
mod ledger;
mod limits;
#[cfg(test)]
pub(crate) mod tests;

use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
};

use quick_error::quick_error;
use rustc_hash::FxHashMap;
use tokio::{
    sync::Notify,
    time::{Duration, Instant},
};

pub(crate) use self::limits::{Interface, Limits, max_job_bytes};
use self::{
    connections::{Connections, Phase},
    ledger::{Growth, Ledger},
};
use crate::{clock::Clock, log_limit::LogLimit, telemetry};

/// Result of a reservation.
pub(crate) type Result<T> = std::result::Result<T, Refusal>;

/// Interval at which stalled messages and refused connections are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

quick_error! {
    /// Reason why a client's message is not read to its end or not executed.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Refusal {
        /// The interface's share of the memory is full.
        Full {
            display("the memory for requests is full")
        }
        /// The message made no progress, or not enough.
        Stalled {
            display("the request did not arrive in time")
        }
    }
}

impl Refusal {
    /// Returns the reason's name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Stalled => "stalled",
        }
    }
}

/// Signal that a message is evicted.
#[derive(Debug, Default)]
struct EvictionSignal {
    why: Cell<Option<Refusal>>,
    notify: Notify,
}

/// What all clients of the process hold.
pub(crate) struct Admission {
    ledger: RefCell<Ledger>,
    connections: RefCell<Connections>,
    /// Signals of the messages that may be evicted.
    signals: RefCell<FxHashMap<u64, Rc<EvictionSignal>>>,
    /// Functions that close connections.
    closers: RefCell<FxHashMap<u64, Box<dyn Fn()>>>,
    clock: Clock,
    log_limit: Rc<LogLimit>,
}

impl Admission {
    /// Creates the state of a process without clients.
    pub(crate) fn new(
        limits: impl Fn(Interface) -> Limits,
        clock: Clock,
        log_limit: Rc<LogLimit>,
    ) -> Rc<Self> {
        Rc::new(Self {
            ledger: RefCell::new(Ledger::new(&limits)),
            connections: RefCell::new(Connections::new(&limits)),
            signals: RefCell::default(),
            closers: RefCell::default(),
            clock,
            log_limit,
        })
    }

    /// Opens a reservation of zero bytes for a message.
    pub(crate) fn open_message(self: &Rc<Self>, interface: Interface) -> MemoryReservation {
        MemoryReservation {
            admission: Rc::clone(self),
            id: self.ledger.borrow_mut().open(interface, Instant::now()),
            signal: OnceCell::new(),
        }
    }

    /// Adds a connection, which `close` closes where another one needs its room. Returns `None` if
    /// there is no room.
    pub(crate) fn open_connection(
        self: &Rc<Self>,
        interface: Interface,
        close: impl Fn() + 'static,
    ) -> Option<ConnectionGuard> {
        let opened = self
            .connections
            .borrow_mut()
            .open(interface, Instant::now());
        let Some((id, victim)) = opened else {
            self.report(interface, "no room for a connection");
            return None;
        };
        if let Some(victim) = victim {
            self.report(interface, "connection closed for another");
            self.close_connection(victim);
        }
        self.closers.borrow_mut().insert(id, Box::new(close));
        Some(ConnectionGuard {
            admission: Rc::clone(self),
            id,
        })
    }

    /// Counts a refusal and logs it.
    pub(crate) fn report(&self, interface: Interface, why: &'static str) {
        telemetry::record_refusal(interface.name(), why);
        if self.log_limit.allows("refused client", self.clock.now()) {
            let bytes = self.ledger.borrow().used(interface);
            let connections = self.connections.borrow().open_count(interface);
            tracing::warn!(
                interface = interface.name(),
                why,
                bytes,
                connections,
                "client refused"
            );
        }
    }

    /// Evicts stalled messages and closes refused connections until the process exits.
    pub(crate) async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.close_stalled(Instant::now());
        }
    }

    /// Evicts the messages that have stalled, and closes the connections that were refused.
    fn close_stalled(&self, now: Instant) {
        let stalled = self.ledger.borrow_mut().close_stalled(now);
        self.evict(stalled, Refusal::Stalled);
        let refused = self.connections.borrow_mut().close_refused(now);
        for id in refused {
            self.close_connection(id);
        }
    }

    fn close_connection(&self, id: u64) {
        let close = self.closers.borrow_mut().remove(&id);
        if let Some(close) = close {
            close();
        }
    }

    fn evict(&self, ids: Vec<u64>, why: Refusal) {
        for id in ids {
            let signal = self.signals.borrow_mut().remove(&id);
            if let Some(signal) = signal {
                signal.why.set(Some(why));
                signal.notify.notify_one();
            }
        }
    }
}

/// Bytes reserved for a message, returned when this is dropped.
pub(crate) struct MemoryReservation {
    admission: Rc<Admission>,
    id: u64,
    /// Signal that the message is evicted, created when its reader waits for the first time: most
    /// messages arrive at once.
    signal: OnceCell<Rc<EvictionSignal>>,
}

impl MemoryReservation {
    /// Changes the number of bytes reserved.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room, or if the message was evicted.
    pub(crate) fn resize(&self, bytes: usize) -> Result<()> {
        let growth = self.admission.ledger.borrow_mut().resize(self.id, bytes);
        match growth {
            Growth::Granted(victims) => {
                self.admission.evict(victims, Refusal::Full);
                Ok(())
            }
            Growth::Refused => Err(Refusal::Full),
            Growth::Evicted => Err(self.eviction_reason()),
        }
    }

    /// Records that the message has arrived completely; it isn't evicted any more.
    ///
    /// # Errors
    ///
    /// Returns an error if the message was evicted.
    pub(crate) fn record_end(&self) -> Result<()> {
        if !self.admission.ledger.borrow_mut().record_end(self.id) {
            return Err(self.eviction_reason());
        }
        Ok(())
    }

    /// Records that all bytes that have arrived are read, and waits until the message is evicted;
    /// returns the reason.
    pub(crate) async fn evicted(&self) -> Refusal {
        if !self.record_progress() {
            return self.eviction_reason();
        }
        let signal = self.signal.get_or_init(|| {
            let signal = Rc::new(EvictionSignal::default());
            let mut signals = self.admission.signals.borrow_mut();
            signals.insert(self.id, Rc::clone(&signal));
            signal
        });
        loop {
            if let Some(why) = signal.why.get() {
                return why;
            }
            signal.notify.notified().await;
        }
    }

    fn record_progress(&self) -> bool {
        let mut ledger = self.admission.ledger.borrow_mut();
        ledger.record_progress(self.id, Instant::now())
    }

    /// Returns why the message was evicted. One whose reader hasn't waited for bytes has waited for
    /// room until it counted as stalled.
    fn eviction_reason(&self) -> Refusal {
        let why = self.signal.get().and_then(|signal| signal.why.get());
        why.unwrap_or(Refusal::Stalled)
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.admission.ledger.borrow_mut().close(self.id);
        if self.signal.get().is_some() {
            self.admission.signals.borrow_mut().remove(&self.id);
        }
    }
}

/// An open connection, removed when this is dropped.
pub(crate) struct ConnectionGuard {
    admission: Rc<Admission>,
    id: u64,
}

impl ConnectionGuard {
    /// Records that the body of a request arrives.
    pub(crate) fn record_arrival(&self) {
        self.set_phase(Phase::Receiving);
    }

    /// Records that a request is executed.
    pub(crate) fn record_execution(&self) {
        self.set_phase(Phase::Executing);
    }

    /// Records that the last request was answered.
    pub(crate) fn record_answer(&self) {
        self.set_phase(Phase::Idle);
    }

    /// Records that a request was refused; the connection is closed soon.
    pub(crate) fn record_refusal(&self) {
        self.set_phase(Phase::Refused);
    }

    fn set_phase(&self, phase: Phase) {
        let mut connections = self.admission.connections.borrow_mut();
        connections.set_phase(self.id, phase, Instant::now());
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.admission.connections.borrow_mut().close(self.id);
        self.admission.closers.borrow_mut().remove(&self.id);
    }
}
