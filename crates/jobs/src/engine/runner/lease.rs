//! The lease of a runner, as far as the owner knows the runner's clock.

use kspan_model::Millis;

use super::Runner;
use crate::engine::{LeaseView, Settings};

/// Minimum rate of a runner's clock relative to the owner's, in thousandths.
const MIN_CLOCK_RATE_PERMILLE: u64 = 970;

/// Maximum difference between the clock readings of responses that overtake each other.
const MAX_RESPONSE_DELAY: Millis = Millis(1_500);

/// A reading of the runner's clock, and the owner's time when it arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    clock: Millis,
    at: Millis,
}

/// Returns how long a duration on the owner's clock takes at least on a runner's.
fn shortest_duration(elapsed: Millis) -> Millis {
    Millis(elapsed.saturating_mul(MIN_CLOCK_RATE_PERMILLE).0 / 1_000)
}

impl ClockReading {
    /// Returns the lowest value that the runner's clock can have now, if it is slow.
    fn min_clock(self, now: Millis) -> Millis {
        self.clock + shortest_duration(now.saturating_sub(self.at))
    }

    /// Returns whether a reading that arrives at `now` can't be one of the same clock. The owner's clock may be
    /// the slower one, by as much as a runner's.
    fn is_of_another_clock(self, clock: Millis, now: Millis) -> bool {
        let latest = self.clock + longest_duration(now.saturating_sub(self.at));
        clock + MAX_RESPONSE_DELAY < self.min_clock(now) || clock > latest + MAX_RESPONSE_DELAY
    }
}

/// Returns for how long a lease that is granted now can last at most, even if the runner's clock is
/// slow.
pub(in crate::engine) fn longest_remaining_lease(cfg: &Settings) -> Millis {
    longest_duration(cfg.lease + cfg.lease_margin)
}

/// Returns the same for a lease that is granted by a deadline on the clock of another incarnation.
pub(in crate::engine) fn longest_inherited_lease(cfg: &Settings) -> Millis {
    longest_duration(cfg.max_lease + cfg.lease_margin)
}

/// Returns how long a duration on a runner's clock takes at most.
fn longest_duration(on_clock: Millis) -> Millis {
    let scaled = on_clock.saturating_mul(1_000).0;
    Millis(scaled.div_ceil(MIN_CLOCK_RATE_PERMILLE))
}

impl Runner {
    /// Records a reading of the runner's clock in the answer to an order. It doesn't tell the incarnation,
    /// but a clock that went back, or went ahead faster than the owner's, is that of another one.
    pub(in crate::engine) fn record_clock(&mut self, clock: Millis, now: Millis) {
        let is_of_another = |reading: ClockReading| reading.is_of_another_clock(clock, now);
        if self.reading.is_some_and(is_of_another) {
            self.shows_restart = true;
        } else {
            self.update_reading(clock, now);
        }
    }

    /// Returns whether a reading is one of the known incarnation's clock. The clock of a later one is lower, if it
    /// began at zero after the latest inventory, or a coincidence is unlikely.
    pub(in crate::engine) fn is_own_clock(&self, clock: Millis, now: Millis) -> bool {
        let Some(reading) = self.reading else {
            return false;
        };
        let unheard = now.saturating_sub(self.heard_at.unwrap_or_default());
        let is_too_high = clock > longest_duration(unheard) + MAX_RESPONSE_DELAY;
        is_too_high && !reading.is_of_another_clock(clock, now)
    }

    /// Updates the reading of the clock, unless a later response has overtaken this one.
    pub(in crate::engine) fn update_reading(&mut self, clock: Millis, now: Millis) {
        if self.reading.is_none_or(|reading| clock >= reading.clock) {
            self.reading = Some(ClockReading { clock, at: now });
        }
    }

    /// Returns the deadline on the runner's clock for an order sent now, and records that the lease
    /// extends to it. Returns `None` while the runner's clock is unknown.
    pub(in crate::engine) fn extend_lease(
        &mut self,
        cfg: &Settings,
        now: Millis,
    ) -> Option<Millis> {
        let reading = self.reading?;
        let estimate = reading.clock + now.saturating_sub(reading.at);
        let deadline = estimate + cfg.lease;
        self.latest_deadline = self.latest_deadline.max(deadline);
        Some(deadline)
    }

    /// Extends the assumed lease to the longest that a previous owner can have granted. After its
    /// first response under a new fencing token, the runner executes no further order of a previous
    /// owner.
    pub(in crate::engine) fn assume_longest_lease(&mut self, clock: Millis, cfg: &Settings) {
        let deadline = clock + cfg.lease + cfg.lease_margin;
        self.latest_deadline = self.latest_deadline.max(deadline);
    }

    /// Extends the assumed lease to the longest that the runner grants. Deadlines on the clock of the
    /// incarnation before it exceed any on its own clock.
    pub(in crate::engine) fn assume_inherited_lease(
        &mut self,
        clock: Millis,
        cfg: &Settings,
        now: Millis,
    ) {
        let deadline = clock + cfg.max_lease + cfg.lease_margin;
        self.latest_deadline = self.latest_deadline.max(deadline);
        self.inherited_lease_until = Some(now + longest_inherited_lease(cfg));
    }

    /// Returns whether the lease may be one that was granted by a deadline on the clock of the incarnation
    /// before.
    pub(in crate::engine) fn may_inherit_lease(&self) -> bool {
        self.inherited_lease_until.is_some()
            || self.unconfirmed_entry.is_some()
            || self.shows_restart
    }

    /// Returns whether the lease has expired even if the runner's clock is slow.
    pub(in crate::engine) fn has_lease_expired(&self, cfg: &Settings, now: Millis) -> bool {
        self.reading
            .is_some_and(|reading| reading.min_clock(now) > self.latest_deadline + cfg.lease_margin)
    }

    /// Returns the time at which the lease has expired even if the runner's clock is slow; `None` if no reading of
    /// the clock is known.
    pub(in crate::engine) fn lease_end(&self, cfg: &Settings) -> Option<Millis> {
        let reading = self.reading?;
        let left = (self.latest_deadline + cfg.lease_margin).saturating_sub(reading.clock);
        Some(reading.at + longest_duration(left))
    }

    /// Returns what the owner assumes of the lease; `None` if no reading of the runner's clock is known.
    pub(in crate::engine) fn lease_view(&self, cfg: &Settings, now: Millis) -> Option<LeaseView> {
        let reading = self.reading?;
        let attempts = self.runs.values();
        let latest_attempt = attempts.filter_map(|placed| placed.delivery.latest_attempt());
        Some(LeaseView {
            deadline: self.latest_deadline,
            clock: reading.clock,
            reading_age: now.saturating_sub(reading.at),
            min_clock: reading.min_clock(now),
            margin: cfg.lease_margin,
            silent: self.silent_since.map(|since| now.saturating_sub(since)),
            latest_order_age: latest_attempt.max().map(|at| now.saturating_sub(at)),
            may_be_inherited: self.may_inherit_lease(),
        })
    }
}
