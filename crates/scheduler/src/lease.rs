//! Tracks what an owner may conclude about one worker's leases from its exchanges with it.
//!
//! The accounting is pessimistic in both directions: the control lease is assumed to end earlier
//! than requested, and the task leases later. An exchange whose reply was lost may have renewed
//! the task leases, at once or after a delivery delay.
//!
//! A worker that has failed to reply to several exchanges is only probed. A probe renews nothing, so
//! the leases of a worker that receives exchanges but cannot reply expire.

use kspan_model::Millis;

use crate::timing::{
    CONTROL_LEASE, MAX_DELIVERY_DELAY, SILENT_AFTER_FAILURES, TASK_LEASE, expired_after,
    guaranteed_for,
};

/// Purpose of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Requests or renews the leases, and carries commands.
    Renew,
    /// Checks only whether the worker replies.
    Probe,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InFlightExchange {
    sent: Millis,
    purpose: Purpose,
}

/// The leases of one worker, as its owner tracks them.
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
    /// Time until which the control lease is certainly held.
    control_held_until: Millis,
    /// Last instant at which any owner may have renewed the task leases.
    last_possible_renewal: Millis,
    /// Consecutive failed exchanges.
    failures: u32,
    last_exchange: Option<Millis>,
}

impl WorkerLease {
    /// Creates the state of a worker about which nothing is known except that no other owner renews
    /// its leases after `last_possible_renewal`.
    pub const fn new(last_possible_renewal: Millis) -> Self {
        Self {
            in_flight: None,
            control_held_until: Millis::ZERO,
            last_possible_renewal,
            failures: 0,
            last_exchange: None,
        }
    }

    /// Records that an exchange was sent.
    pub fn record_sent(&mut self, now: Millis, purpose: Purpose) {
        self.in_flight = Some(InFlightExchange { sent: now, purpose });
        self.last_exchange = Some(now);
    }

    /// Records that the exchange in flight was granted, which extends the leases if it was a
    /// renewal.
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

    /// Records that the worker refused the exchange in flight; a refused renewal ends the
    /// control lease.
    pub fn record_refused(&mut self) {
        let in_flight = self.in_flight.take();
        self.failures = 0;
        if in_flight.is_some_and(|in_flight| in_flight.purpose == Purpose::Renew) {
            self.control_held_until = Millis::ZERO;
        }
    }

    /// Records that the exchange in flight failed. `in_doubt` says that the worker may have
    /// received it, so that a renewal may have extended the task leases.
    pub fn record_failed(&mut self, now: Millis, in_doubt: bool) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        self.failures = self.failures.saturating_add(1);
        if in_doubt && in_flight.purpose == Purpose::Renew {
            self.last_possible_renewal = self.last_possible_renewal.max(now + MAX_DELIVERY_DELAY);
        }
    }

    /// Extends the last instant at which another owner may have renewed the task leases.
    pub fn extend_possible_renewal(&mut self, until: Millis) {
        self.last_possible_renewal = self.last_possible_renewal.max(until);
    }

    /// Returns whether the worker certainly accepts commands only from this owner.
    pub fn is_control_lease_held(&self, now: Millis) -> bool {
        now < self.control_held_until
    }

    /// Returns whether an exchange is in flight.
    pub const fn has_exchange_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns the purpose of the exchange in flight.
    pub fn purpose_in_flight(&self) -> Option<Purpose> {
        self.in_flight.map(|in_flight| in_flight.purpose)
    }

    /// Returns whether the worker has failed [`SILENT_AFTER_FAILURES`] exchanges in a row.
    pub const fn is_silent(&self) -> bool {
        self.failures >= SILENT_AFTER_FAILURES
    }

    /// Returns whether all task leases have certainly expired, so that no task can be running
    /// there.
    pub fn have_task_leases_expired(&self, now: Millis) -> bool {
        let renewing = self
            .in_flight
            .is_some_and(|in_flight| in_flight.purpose == Purpose::Renew);
        self.is_silent()
            && !renewing
            && now >= self.last_possible_renewal + expired_after(TASK_LEASE)
    }

    /// Returns the purpose of the next exchange.
    pub const fn next_purpose(&self) -> Purpose {
        if self.is_silent() {
            Purpose::Probe
        } else {
            Purpose::Renew
        }
    }

    /// Returns whether an exchange is due, which is `interval` after the previous one was sent.
    pub fn is_due(&self, now: Millis, interval: Millis) -> bool {
        !self.has_exchange_in_flight()
            && self.last_exchange.is_none_or(|last| now >= last + interval)
    }
}
