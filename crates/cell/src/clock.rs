//! The process's clocks.

use std::time::{SystemTime, UNIX_EPOCH};

use kspan_model::Millis;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Difference between two clocks that shows a pause of the host.
const PAUSE: Millis = Millis(400);

/// Clocks that start with the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

/// A moment on the steady clock and on the one that counts suspended time too.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Moment {
    steady: Millis,
    boot: Millis,
}

impl Clock {
    /// Starts the clock.
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start, on the steady clock.
    pub(crate) fn now(&self) -> Millis {
        let elapsed = self.start.elapsed().as_millis();
        // One second is added so that spans can be taken off early moments.
        Millis(
            u64::try_from(elapsed)
                .unwrap_or(u64::MAX)
                .saturating_add(1_000),
        )
    }

    /// Returns the time of day in milliseconds since 1970. It may jump.
    #[expect(clippy::unused_self, reason = "all times are asked of the clock")]
    pub(crate) fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
    }

    /// Returns the present moment.
    pub(crate) fn moment(&self) -> Moment {
        let boot = clock_gettime(ClockId::Boottime);
        let ms = boot
            .tv_sec
            .saturating_mul(1_000)
            .saturating_add(boot.tv_nsec / 1_000_000);
        Moment {
            steady: self.now(),
            boot: Millis(u64::try_from(ms).unwrap_or(0)),
        }
    }
}

impl Moment {
    /// Returns whether the host stood still between `earlier` and this moment.
    pub(crate) fn shows_pause_since(&self, earlier: &Self) -> bool {
        let steady = self.steady.saturating_sub(earlier.steady);
        let boot = self.boot.saturating_sub(earlier.boot);
        boot.saturating_sub(steady) > PAUSE
    }
}
