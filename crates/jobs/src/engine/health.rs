//! Backoff for runners that fail every task they start.
//!
//! A runner that accepts each start and fails it immediately always has free resources, so it would
//! attract all waiting tasks. It is paused for exponentially growing periods instead.

use kspan_model::Millis;

/// Number of consecutive failures after which a runner is paused.
const FAILURES_BEFORE_PAUSE: u32 = 2;

/// Initial pause.
const MIN_PAUSE: Millis = Millis(1_500);

/// Maximum pause.
const MAX_PAUSE: Millis = Millis(12_000);

/// Failure record of a runner.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    consecutive_failures: u32,
    pause: Millis,
    paused_until: Millis,
}

impl Health {
    /// Returns whether work may be sent to the runner.
    pub(super) fn is_available(&self, now: Millis) -> bool {
        now >= self.paused_until
    }

    /// Returns the time at which the latest pause ends.
    pub(super) fn paused_until(&self) -> Millis {
        self.paused_until
    }

    /// Ends the pause. The next one after a failure is longer, as if it had not been cut short.
    pub(super) fn end_pause(&mut self) {
        self.paused_until = Millis::ZERO;
    }

    /// Returns whether the runner has failed since its latest success.
    pub(super) fn is_suspect(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Records a success, which resets the failure record.
    pub(super) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure and returns whether it pauses the runner.
    pub(super) fn record_failure(&mut self, now: Millis) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_BEFORE_PAUSE || !self.is_available(now) {
            return false;
        }
        let doubled = Millis(self.pause.0.saturating_mul(2));
        self.pause = doubled.clamp(MIN_PAUSE, MAX_PAUSE);
        self.paused_until = now + self.pause;
        true
    }

    /// Pauses the runner for at least `duration`.
    pub(super) fn pause_for(&mut self, now: Millis, duration: Millis) {
        self.paused_until = self.paused_until.max(now + duration);
    }
}
