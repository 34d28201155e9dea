//! Detection of an owner that has too little processor time, for example on a slow host.
//!
//! An owner whose timers are late several times in a row requests a takeover, but only after it has
//! owned the cell for a multiple of the time that its own takeover took: the load may be the cause, and
//! a takeover interrupts scheduling.

use kspan_model::Millis;

/// Delay of a timer above which the process counts as overloaded. Scheduling passes delay timers by a
/// fraction of it.
const MAX_TIMER_DELAY: Millis = Millis(50);

/// Number of consecutive delayed timers after which the owner hands over.
const MAX_DELAYED_TIMERS: u32 = 6;

/// Minimum time between a takeover and the next handover.
const MIN_OWNERSHIP: Millis = Millis(3_000);

/// Minimum time between a takeover and the next handover, as a multiple of the time until the state of
/// all runners was known.
const MIN_OWNERSHIP_FACTOR: u64 = 8;

/// Timer delays of an owner.
#[derive(Clone, Copy, Debug)]
pub(super) struct LagMonitor {
    since: Millis,
    /// Time until the state of all runners was known.
    settled_after: Option<Millis>,
    delayed_timers: u32,
}

impl LagMonitor {
    /// Creates the state of an owner that claimed the cell at `since`.
    pub(super) fn new(since: Millis) -> Self {
        Self {
            since,
            settled_after: None,
            delayed_timers: 0,
        }
    }

    /// Counts from `now` on again, after a takeover was requested.
    pub(super) fn restart(&mut self, now: Millis) {
        self.since = now;
        self.delayed_timers = 0;
    }

    /// Records that the state of all runners is known.
    pub(super) fn record_settled(&mut self, now: Millis) {
        let after = now.saturating_sub(self.since);
        self.settled_after.get_or_insert(after);
    }

    /// Records the delay of a timer. Returns whether the owner should hand over.
    pub(super) fn record_timer(&mut self, delay: Millis, now: Millis) -> bool {
        self.delayed_timers = if delay > MAX_TIMER_DELAY {
            self.delayed_timers + 1
        } else {
            0
        };
        let Some(settled_after) = self.settled_after else {
            return false;
        };
        let min_ownership = MIN_OWNERSHIP.max(Millis(settled_after.0 * MIN_OWNERSHIP_FACTOR));
        self.delayed_timers >= MAX_DELAYED_TIMERS && now >= self.since + min_ownership
    }
}

#[cfg(test)]
mod tests;
