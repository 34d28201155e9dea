//! Points in time and durations, as plain numbers.
//!
//! Code that makes decisions takes the time as an argument, so that tests and benchmarks control
//! it.

use std::ops::{Add, AddAssign};

use derive_more::{Display, From, Sub};
use serde::{Deserialize, Serialize};

/// Milliseconds: a duration, or a time on a process's monotonic clock since the process started.
///
/// # Examples
///
/// ```
/// use kspan_model::Millis;
///
/// assert_eq!(Millis::from_secs(2), Millis(2_000));
/// assert_eq!(Millis(5).saturating_sub(Millis(9)), Millis::ZERO);
/// assert_eq!(Millis::MAX + Millis(1), Millis::MAX);
/// ```
#[derive(
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
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0} ms")]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The empty duration, or the start of the process.
    pub const ZERO: Self = Self(0);
    /// The largest value, later than any time that occurs.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a duration from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000))
    }

    /// Returns the difference, saturating at zero.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the sum, saturating at [`Millis::MAX`].
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the duration multiplied by `factor`, saturating at [`Millis::MAX`].
    pub const fn saturating_mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }

    /// Converts to the standard library's duration type.
    pub const fn as_duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

/// Sums saturate, because callers and runners decide some of the terms: a sum that wrapped around
/// would turn the latest time into the earliest one.
impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        self.saturating_add(other)
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

/// Milliseconds since the Unix epoch, for times that are exchanged between hosts.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `duration` later, saturating.
    pub const fn after(self, duration: Millis) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}
