//! Outlier ejection and slow start of one runner.
//!
//! A runner is ejected because of its own consecutive failures. The caller bounds how many runners
//! of a service are ejected at once with [`may_eject`]: when all of them fail, the runners are not
//! the cause.

use kspan_model::Millis;

/// Consecutive failures after which a runner is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;

/// Duration of the first ejection. Each consecutive one lasts twice as long.
const BASE_EJECTION_TIME: Millis = Millis(1_000);

/// Maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// Time over which the share of a new or returning runner grows to one.
const SLOW_START_TIME: Millis = Millis(5_000);

/// Share of work that a new runner starts with.
const MIN_SLOW_START_SHARE: f64 = 0.1;

/// Maximum fraction of a service's runners that are ejected at once.
const MAX_EJECTED_FRACTION: f64 = 0.5;

/// Health of one runner as observed by one router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Millis,
    ramp_start: Millis,
}

impl Health {
    /// Creates the health of a runner that was added at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            ramp_start: now,
            ..Self::default()
        }
    }

    /// Records an answered request, which ends any sequence of failures and ejections.
    pub const fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_ejections = 0;
    }

    /// Records a failed request. Returns whether the runner reached the ejection threshold.
    pub const fn record_failure(&mut self) -> bool {
        self.consecutive_failures += 1;
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Ejects the runner for a time that doubles with each consecutive ejection.
    pub fn eject(&mut self, now: Millis) {
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        let duration = Millis(BASE_EJECTION_TIME.0 << doublings);
        self.ejected_until = now.saturating_add(duration);
        self.ramp_start = self.ejected_until;
        self.consecutive_ejections += 1;
        self.consecutive_failures = 0;
    }

    /// Returns whether the runner is ejected.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Returns the share of work that the runner may get during slow start, from a tenth
    /// to one.
    pub fn slow_start_share(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.ramp_start).0 as f64 / SLOW_START_TIME.0 as f64;
        age.clamp(MIN_SLOW_START_SHARE, 1.0)
    }
}

/// Returns whether one more of `total` runners may be ejected when `ejected` of them already are.
pub fn may_eject(ejected: usize, total: usize) -> bool {
    (ejected + 1) as f64 <= total as f64 * MAX_EJECTED_FRACTION
}
