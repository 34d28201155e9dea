//! The monotonic clock of all records.
//!
//! Stand-ins, callers and the fault scripts run in one process, so these times order all of their
//! records.

use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use derive_more::{Add, Display, From, Sub};
use serde::{Deserialize, Serialize};

/// Microseconds since the lab started.
#[derive(
    Add,
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Sub,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
#[display("{:.3} s", *_0 as f64 / 1e6)]
pub struct Micros(pub u64);

impl Micros {
    /// Creates a duration from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the number of whole milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`, saturating at zero.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns the number of seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

/// Returns the time elapsed since the first call of this function.
pub fn now() -> Micros {
    static START: OnceLock<Instant> = OnceLock::new();
    let elapsed = START.get_or_init(Instant::now).elapsed();
    Micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
