//! What a router has seen of one runner: failures, ejection and slow start.
//!
//! Ejection is by a runner's own recent failures, and the caller bounds how many runners of a
//! service are ejected at once: when all fail, the fault is not the runner's.

use kspan_model::Millis;

/// Failures in a row that eject a runner.
const EJECT_AFTER: u32 = 5;

/// First ejection; each further one in a row lasts twice as long.
const EJECT_BASE: Millis = Millis(1_000);

/// Most doublings of an ejection.
const EJECT_MAX_DOUBLINGS: u32 = 5;

/// How long a new or returning runner is given a growing share.
const SLOW_START: Millis = Millis(5_000);

/// Share that a new runner starts with.
const SLOW_START_FLOOR: f64 = 0.1;

/// Fraction of a service's runners that may be ejected at once.
const MAX_EJECTED: f64 = 0.5;

/// Health of one runner as seen by one router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
    since: Millis,
}

impl Health {
    /// Creates the health of a runner that is first seen at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            since: now,
            ..Self::default()
        }
    }

    /// Counts a good answer.
    pub const fn succeed(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Counts a failure. Returns whether the runner ought to be ejected.
    pub const fn fail(&mut self) -> bool {
        self.failures += 1;
        self.failures >= EJECT_AFTER
    }

    /// Ejects the runner for a time that doubles with each ejection in a row.
    pub fn eject(&mut self, now: Millis) {
        let doublings = self.ejections.min(EJECT_MAX_DOUBLINGS);
        let span = Millis(EJECT_BASE.0 << doublings);
        self.ejected_until = now.saturating_add(span);
        self.since = self.ejected_until;
        self.ejections += 1;
        self.failures = 0;
    }

    /// Returns whether the runner is ejected.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Returns the share of work that the runner is ready for, from a tenth to one.
    pub fn readiness(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.since).0 as f64 / SLOW_START.0 as f64;
        age.clamp(SLOW_START_FLOOR, 1.0)
    }
}

/// Returns whether one more of `total` runners may be ejected when `ejected` are already.
pub fn may_eject(ejected: usize, total: usize) -> bool {
    (ejected + 1) as f64 <= total as f64 * MAX_EJECTED
}
