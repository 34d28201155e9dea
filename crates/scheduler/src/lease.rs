//! What an owner may conclude about one worker's leases from its exchanges with it.
//!
//! The book-keeping is pessimistic in both directions: the control lease is held for less time
//! than was asked for, and the tasks' leases last for longer. An exchange whose answer was lost
//! may have renewed the tasks' leases, now or a little later.
//!
//! A worker that has failed to answer a few exchanges is only probed: a probe renews nothing, so
//! that the leases of a worker that can hear but not answer come to their end.

use kspan_model::Millis;

use crate::times::{CONTROL_LEASE, DELIVERY_BOUND, SILENT_AFTER, TASK_LEASE, hold, lapse};

/// What an exchange is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Asks for or renews the leases, and carries commands.
    Renew,
    /// Asks only whether the worker answers.
    Probe,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Flight {
    sent: Millis,
    purpose: Purpose,
}

/// The leases of one worker, as its owner sees them.
///
/// # Examples
///
/// ```
/// use kspan_model::Millis;
/// use kspan_scheduler::lease::{Purpose, WorkerLease};
///
/// let mut lease = WorkerLease::new(Millis(0));
/// lease.sent(Millis(0), Purpose::Renew);
/// lease.granted(Millis(10));
/// assert!(lease.is_controlled(Millis(1_900)));
/// assert!(!lease.is_controlled(Millis(2_000)));
/// ```
#[derive(Clone, Debug)]
pub struct WorkerLease {
    flight: Option<Flight>,
    controlled_until: Millis,
    renewed_by: Millis,
    failures: u32,
    last_exchange: Option<Millis>,
}

impl WorkerLease {
    /// Creates the book of a worker of which nothing is known but that nobody else renews its
    /// leases after `renewed_by`.
    pub const fn new(renewed_by: Millis) -> Self {
        Self {
            flight: None,
            controlled_until: Millis::ZERO,
            renewed_by,
            failures: 0,
            last_exchange: None,
        }
    }

    /// Notes that an exchange was sent.
    pub fn sent(&mut self, now: Millis, purpose: Purpose) {
        self.flight = Some(Flight { sent: now, purpose });
        self.last_exchange = Some(now);
    }

    /// Notes that the exchange in flight was granted.
    pub fn granted(&mut self, now: Millis) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        self.failures = 0;
        if flight.purpose == Purpose::Renew {
            self.controlled_until = flight.sent + hold(CONTROL_LEASE);
            self.renewed_by = self.renewed_by.max(now);
        }
    }

    /// Notes that the worker answered but refused.
    pub fn refused(&mut self) {
        let flight = self.flight.take();
        self.failures = 0;
        if flight.is_some_and(|flight| flight.purpose == Purpose::Renew) {
            self.controlled_until = Millis::ZERO;
        }
    }

    /// Notes that no answer came. `ambiguous` tells that the worker may have got the exchange.
    pub fn failed(&mut self, now: Millis, ambiguous: bool) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        self.failures = self.failures.saturating_add(1);
        if ambiguous && flight.purpose == Purpose::Renew {
            self.renewed_by = self.renewed_by.max(now + DELIVERY_BOUND);
        }
    }

    /// Notes that this process was paused, so that silence has to be seen anew.
    pub fn resumed(&mut self) {
        self.failures = 0;
    }

    /// Moves the last instant at which somebody else may have renewed the tasks' leases.
    pub fn renewed_by_others(&mut self, until: Millis) {
        self.renewed_by = self.renewed_by.max(until);
    }

    /// Returns whether the worker obeys this owner for certain.
    pub fn is_controlled(&self, now: Millis) -> bool {
        now < self.controlled_until
    }

    /// Returns whether an exchange waits for its answer.
    pub const fn in_flight(&self) -> bool {
        self.flight.is_some()
    }

    /// Returns what the exchange in flight is for.
    pub fn purpose_in_flight(&self) -> Option<Purpose> {
        self.flight.map(|flight| flight.purpose)
    }

    /// Returns whether the worker has failed to answer several times in a row.
    pub const fn is_silent(&self) -> bool {
        self.failures >= SILENT_AFTER
    }

    /// Returns whether no task that the worker held can be running any more.
    pub fn have_tasks_lapsed(&self, now: Millis) -> bool {
        let renewing = self
            .flight
            .is_some_and(|flight| flight.purpose == Purpose::Renew);
        self.is_silent() && !renewing && now >= self.renewed_by + lapse(TASK_LEASE)
    }

    /// Returns what the next exchange should be for.
    pub const fn purpose(&self) -> Purpose {
        if self.is_silent() {
            Purpose::Probe
        } else {
            Purpose::Renew
        }
    }

    /// Returns whether an exchange is due, `period` after the one before.
    pub fn is_due(&self, now: Millis, period: Millis) -> bool {
        !self.in_flight() && self.last_exchange.is_none_or(|last| now >= last + period)
    }
}
