//! Monotonic, boot-time and wall clocks of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use kspan_model::Millis;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Difference between the boot-time and the monotonic clock above which the host counts as having
/// been suspended.
const MIN_SUSPENSION: Millis = Millis(400);

/// Clocks of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

/// A reading of the monotonic clock and of the boot-time clock, which also counts suspended time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    monotonic: Millis,
    boot: Millis,
}

impl Clock {
    /// Creates the clocks and starts the monotonic one.
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the monotonic time since the start, plus one second.
    pub(crate) fn now(&self) -> Millis {
        let elapsed = self.start.elapsed().as_millis();
        // One second is added so that durations can be subtracted from the first times.
        Millis(
            u64::try_from(elapsed)
                .unwrap_or(u64::MAX)
                .saturating_add(1_000),
        )
    }

    /// Returns the wall-clock time in milliseconds since 1970. It may jump.
    #[expect(
        clippy::unused_self,
        reason = "all time sources are reached through the clock"
    )]
    pub(crate) fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
    }

    /// Reads the monotonic and the boot-time clock.
    pub(crate) fn reading(&self) -> ClockReading {
        let boot = clock_gettime(ClockId::Boottime);
        let ms = boot
            .tv_sec
            .saturating_mul(1_000)
            .saturating_add(boot.tv_nsec / 1_000_000);
        ClockReading {
            monotonic: self.now(),
            boot: Millis(u64::try_from(ms).unwrap_or(0)),
        }
    }
}

impl ClockReading {
    /// Returns the monotonic time.
    pub(crate) fn monotonic(&self) -> Millis {
        self.monotonic
    }

    /// Returns the reading of a time from which the host has been suspended for `suspended`.
    #[cfg(test)]
    pub(crate) fn before_suspension(self, suspended: Millis) -> Self {
        Self {
            boot: self.boot.saturating_sub(suspended),
            ..self
        }
    }

    /// Returns the reading of an earlier time.
    #[cfg(test)]
    pub(crate) fn before(self, ago: Millis) -> Self {
        Self {
            monotonic: self.monotonic.saturating_sub(ago),
            boot: self.boot.saturating_sub(ago),
        }
    }

    /// Returns the time between `earlier` and this reading, including time for which the host was
    /// suspended.
    pub(crate) fn since(&self, earlier: &Self) -> Millis {
        let monotonic = self.monotonic.saturating_sub(earlier.monotonic);
        monotonic.max(self.boot.saturating_sub(earlier.boot))
    }

    /// Returns whether the host was suspended between `earlier` and this reading.
    pub(crate) fn was_suspended_since(&self, earlier: &Self) -> bool {
        let monotonic = self.monotonic.saturating_sub(earlier.monotonic);
        let boot = self.boot.saturating_sub(earlier.boot);
        boot.saturating_sub(monotonic) > MIN_SUSPENSION
    }
}
