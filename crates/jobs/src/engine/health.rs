//! Keeps work away from runners that fail everything they start.
//!
//! Answers the load pattern in which a few runners accept each start, fail it at once, and so
//! draw in all waiting work because they always have room.

use kspan_model::Millis;

/// Failures in a row that make a runner suspect.
const SUSPECT_STREAK: u32 = 2;

/// First time away from work.
const FIRST_PAUSE: Millis = Millis(1_500);

/// Longest time away from work.
const LONGEST_PAUSE: Millis = Millis(12_000);

/// Record of one runner's failures.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    streak: u32,
    pause: Millis,
    paused_until: Millis,
}

impl Health {
    /// Returns whether work may be sent.
    pub(super) fn allows(&self, now: Millis) -> bool {
        now >= self.paused_until
    }

    /// Returns whether the runner failed lately and has done nothing well since.
    pub(super) fn is_suspect(&self) -> bool {
        self.streak > 0
    }

    /// Notes work well done.
    pub(super) fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure, and returns whether the runner is paused for it.
    pub(super) fn failed(&mut self, now: Millis) -> bool {
        self.streak += 1;
        if self.streak < SUSPECT_STREAK || !self.allows(now) {
            return false;
        }
        let doubled = Millis(self.pause.0.saturating_mul(2));
        self.pause = doubled.clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.paused_until = now + self.pause;
        true
    }

    /// Keeps work away for a while, whatever happened before.
    pub(super) fn pause_for(&mut self, now: Millis, span: Millis) {
        self.paused_until = self.paused_until.max(now + span);
    }
}
