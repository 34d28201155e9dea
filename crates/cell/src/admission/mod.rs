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
    cell::{Cell, RefCell},
    rc::Rc,
};

use quick_error::quick_error;
use rustc_hash::FxHashMap;
use tokio::{
    sync::Notify,
    time::{Duration, Instant},
};

pub(crate) use self::limits::{Door, Limits};
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

/// Signal that a message is given up.
#[derive(Debug, Default)]
struct GiveUp {
    why: Cell<Option<Refusal>>,
    notify: Notify,
}

/// What all clients of the process hold.
pub(crate) struct Admission {
    ledger: RefCell<Ledger>,
    connections: RefCell<Connections>,
    /// Signals of the messages that may be given up.
    give_ups: RefCell<FxHashMap<u64, Rc<GiveUp>>>,
    /// Functions that close connections.
    closers: RefCell<FxHashMap<u64, Box<dyn Fn()>>>,
    clock: Clock,
    log_limit: Rc<LogLimit>,
}

impl Admission {
    /// Creates the state of a process without clients.
    pub(crate) fn new(
        limits: impl Fn(Door) -> Limits,
        clock: Clock,
        log_limit: Rc<LogLimit>,
    ) -> Rc<Self> {
        Rc::new(Self {
            ledger: RefCell::new(Ledger::new(&limits)),
            connections: RefCell::new(Connections::new(&limits)),
            give_ups: RefCell::default(),
            closers: RefCell::default(),
            clock,
            log_limit,
        })
    }

    /// Opens a reservation of zero bytes for a message.
    pub(crate) fn open_message(self: &Rc<Self>, door: Door) -> Reservation {
        let id = self.ledger.borrow_mut().open(door, Instant::now());
        let give_up = Rc::new(GiveUp::default());
        self.give_ups.borrow_mut().insert(id, Rc::clone(&give_up));
        Reservation {
            admission: Rc::clone(self),
            id,
            give_up,
        }
    }

    /// Adds a connection, which `close` closes where another one needs its room. Returns `None` if
    /// there is no room.
    pub(crate) fn open_connection(
        self: &Rc<Self>,
        door: Door,
        close: impl Fn() + 'static,
    ) -> Option<ConnectionGuard> {
        let opened = self.connections.borrow_mut().open(door, Instant::now());
        let Some((id, victim)) = opened else {
            self.report(door, "no room for a connection");
            return None;
        };
        if let Some(victim) = victim {
            self.report(door, "connection closed for another");
            self.close_connection(victim);
        }
        self.closers.borrow_mut().insert(id, Box::new(close));
        Some(ConnectionGuard {
            admission: Rc::clone(self),
            id,
        })
    }

    /// Counts a refusal and logs it.
    pub(crate) fn report(&self, door: Door, why: &'static str) {
        telemetry::record_refusal(door.name(), why);
        if self.log_limit.allows("refused client", self.clock.now()) {
            let bytes = self.ledger.borrow().used(door);
            let connections = self.connections.borrow().open_count(door);
            tracing::warn!(
                interface = door.name(),
                why,
                bytes,
                connections,
                "client refused"
            );
        }
    }

    /// Gives up stalled messages and closes refused connections until the process exits.
    pub(crate) async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.close_stalled(Instant::now());
        }
    }

    /// Gives up the messages that have stalled, and closes the connections that were refused.
    fn close_stalled(&self, now: Instant) {
        let stalled = self.ledger.borrow_mut().close_stalled(now);
        self.give_up(stalled, Refusal::Stalled);
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

    fn give_up(&self, ids: Vec<u64>, why: Refusal) {
        for id in ids {
            let give_up = self.give_ups.borrow_mut().remove(&id);
            if let Some(give_up) = give_up {
                give_up.why.set(Some(why));
                give_up.notify.notify_one();
            }
        }
    }
}

/// Bytes reserved for a message, returned when this is dropped.
pub(crate) struct Reservation {
    admission: Rc<Admission>,
    id: u64,
    give_up: Rc<GiveUp>,
}

impl Reservation {
    /// Changes the number of bytes reserved.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room, or if the message was given up.
    pub(crate) fn resize(&self, bytes: usize) -> Result<()> {
        if let Some(why) = self.give_up.why.get() {
            return Err(why);
        }
        let growth = self.admission.ledger.borrow_mut().resize(self.id, bytes);
        match growth {
            Growth::Granted(victims) => {
                self.admission.give_up(victims, Refusal::Full);
                Ok(())
            }
            Growth::Refused => Err(Refusal::Full),
        }
    }

    /// Records that bytes of the message have arrived.
    pub(crate) fn record_progress(&self) {
        let mut ledger = self.admission.ledger.borrow_mut();
        ledger.record_progress(self.id, Instant::now());
    }

    /// Records that the message has arrived completely; it isn't given up any more.
    ///
    /// # Errors
    ///
    /// Returns an error if the message was given up.
    pub(crate) fn record_end(&self) -> Result<()> {
        if let Some(why) = self.give_up.why.get() {
            return Err(why);
        }
        self.admission.ledger.borrow_mut().record_end(self.id);
        self.admission.give_ups.borrow_mut().remove(&self.id);
        Ok(())
    }

    /// Waits until the message is given up; returns the reason.
    pub(crate) async fn given_up(&self) -> Refusal {
        loop {
            if let Some(why) = self.give_up.why.get() {
                return why;
            }
            self.give_up.notify.notified().await;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.admission.ledger.borrow_mut().close(self.id);
        self.admission.give_ups.borrow_mut().remove(&self.id);
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
