//! Points in time and spans of it, as plain numbers.
//!
//! Decisions take the time as an argument, so that tests and benchmarks choose it.

use derive_more::{Add, AddAssign, Display, From, Sub};
use serde::{Deserialize, Serialize};

/// Milliseconds: a span, or a point on a process's own monotonic clock counted from its start.
///
/// # Examples
///
/// ```
/// use kspan_model::Millis;
///
/// assert_eq!(Millis::from_secs(2), Millis(2_000));
/// assert_eq!(Millis(5).saturating_sub(Millis(9)), Millis::ZERO);
/// ```
#[derive(
    Add,
    AddAssign,
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
    /// No time, or the start of the process.
    pub const ZERO: Self = Self(0);
    /// Later than any time.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a span from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// Returns the difference, held at zero or above.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the sum, saturating.
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the span as the standard library's type.
    pub const fn as_duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

/// Milliseconds since the Unix epoch, for times that cross between hosts.
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
    /// Returns the time that has passed since `earlier`, held at zero or above.
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `span` later.
    pub const fn after(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}
