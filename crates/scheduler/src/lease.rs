//! What an owner may conclude about one worker's leases from its exchanges with it.
//!
//! The book-keeping is pessimistic in both directions: the control lease is held for less time
//! than was asked for, and the tasks' leases last for longer. An exchange whose answer was lost
//! may have renewed the tasks' leases, now or a little later.
//!
//! A worker that has failed to answer a few exchanges is only probed: a probe renews nothing, so
//! that the leases of a worker that can hear but not answer come to their end.

use kspan_model::Millis;

use crate::timing::{
    CONTROL_LEASE, MAX_DELIVERY_DELAY, SILENT_AFTER_FAILURES, TASK_LEASE, guaranteed_for,
    lapsed_after,
};

/// What an exchange is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Asks for or renews the leases, and carries commands.
    Renew,
    /// Asks only whether the worker answers.
    Probe,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InFlightExchange {
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
/// lease.record_sent(Millis(0), Purpose::Renew);
/// lease.record_granted(Millis(10));
/// assert!(lease.is_control_lease_held(Millis(1_900)));
/// assert!(!lease.is_control_lease_held(Millis(2_000)));
/// ```
#[derive(Clone, Debug)]
pub struct WorkerLease {
    in_flight: Option<InFlightExchange>,
    control_held_until: Millis,
    last_possible_renewal: Millis,
    failures: u32,
    last_exchange: Option<Millis>,
}

impl WorkerLease {
    /// Creates the book of a worker of which nothing is known but that nobody else renews its
    /// leases after `renewed_by`.
    pub const fn new(last_possible_renewal: Millis) -> Self {
        Self {
            in_flight: None,
            control_held_until: Millis::ZERO,
            last_possible_renewal,
            failures: 0,
            last_exchange: None,
        }
    }

    /// Notes that an exchange was sent.
    pub fn record_sent(&mut self, now: Millis, purpose: Purpose) {
        self.in_flight = Some(InFlightExchange { sent: now, purpose });
        self.last_exchange = Some(now);
    }

    /// Notes that the exchange in flight was granted.
    pub fn record_granted(&mut self, now: Millis) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        self.failures = 0;
        if in_flight.purpose == Purpose::Renew {
            self.control_held_until = in_flight.sent + guaranteed_for(CONTROL_LEASE);
            self.last_possible_renewal = self.last_possible_renewal.max(now);
        }
    }

    /// Notes that the worker answered but refused.
    pub fn record_refused(&mut self) {
        let in_flight = self.in_flight.take();
        self.failures = 0;
        if in_flight.is_some_and(|in_flight| in_flight.purpose == Purpose::Renew) {
            self.control_held_until = Millis::ZERO;
        }
    }

    /// Notes that no answer came. `ambiguous` tells that the worker may have got the exchange.
    pub fn record_failed(&mut self, now: Millis, in_doubt: bool) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        self.failures = self.failures.saturating_add(1);
        if in_doubt && in_flight.purpose == Purpose::Renew {
            self.last_possible_renewal = self.last_possible_renewal.max(now + MAX_DELIVERY_DELAY);
        }
    }

    /// Notes that this process was paused, so that silence has to be seen anew.
    pub fn reset_failures(&mut self) {
        self.failures = 0;
    }

    /// Moves the last instant at which somebody else may have renewed the tasks' leases.
    pub fn extend_possible_renewal(&mut self, until: Millis) {
        self.last_possible_renewal = self.last_possible_renewal.max(until);
    }

    /// Returns whether the worker obeys this owner for certain.
    pub fn is_control_lease_held(&self, now: Millis) -> bool {
        now < self.control_held_until
    }

    /// Returns whether an exchange waits for its answer.
    pub const fn has_exchange_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns what the exchange in flight is for.
    pub fn purpose_in_flight(&self) -> Option<Purpose> {
        self.in_flight.map(|in_flight| in_flight.purpose)
    }

    /// Returns whether the worker has failed to answer several times in a row.
    pub const fn is_silent(&self) -> bool {
        self.failures >= SILENT_AFTER_FAILURES
    }

    /// Returns whether no task that the worker held can be running any more.
    pub fn have_task_leases_lapsed(&self, now: Millis) -> bool {
        let renewing = self
            .in_flight
            .is_some_and(|in_flight| in_flight.purpose == Purpose::Renew);
        self.is_silent()
            && !renewing
            && now >= self.last_possible_renewal + lapsed_after(TASK_LEASE)
    }

    /// Returns what the next exchange should be for.
    pub const fn next_purpose(&self) -> Purpose {
        if self.is_silent() {
            Purpose::Probe
        } else {
            Purpose::Renew
        }
    }

    /// Returns whether an exchange is due, `period` after the one before.
    pub fn is_due(&self, now: Millis, period: Millis) -> bool {
        !self.has_exchange_in_flight() && self.last_exchange.is_none_or(|last| now >= last + period)
    }
}
