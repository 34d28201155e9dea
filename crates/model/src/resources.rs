//! Amounts of processors, memory and accelerators.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Processor, memory and accelerator amounts of a worker or a task.
///
/// Amounts are integers, so that sums are exact and repeated additions and subtractions do not
/// accumulate rounding errors.
///
/// # Examples
///
/// ```
/// use kspan_model::Resources;
///
/// let worker = Resources::new(32_000, 131_072, 0);
/// let task = Resources::new(2_000, 8_192, 0);
/// assert!(task.fits_in(worker));
/// assert_eq!(worker.checked_sub(task).unwrap().cpu_milli, 30_000);
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{cpu_milli}m cpu, {memory_mib} MiB, {accelerators} accelerators")]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// No processors, memory or accelerators.
    pub const ZERO: Self = Self {
        cpu_milli: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Creates the amounts from their parts.
    pub const fn new(cpu_milli: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self {
            cpu_milli,
            memory_mib,
            accelerators,
        }
    }

    /// Returns whether every amount is at most that of `other`.
    pub const fn fits_in(self, other: Self) -> bool {
        self.cpu_milli <= other.cpu_milli
            && self.memory_mib <= other.memory_mib
            && self.accelerators <= other.accelerators
    }

    /// Returns how many times the amounts fit in `room` together; `u64::MAX` if every amount is
    /// zero.
    ///
    /// # Examples
    ///
    /// ```
    /// use kspan_model::Resources;
    ///
    /// let worker = Resources::new(128_000, 524_288, 8);
    /// assert_eq!(Resources::new(11_000, 60_000, 1).count_in(worker), 8);
    /// assert_eq!(Resources::new(62_000, 60_000, 2).count_in(worker), 2);
    /// ```
    pub fn count_in(self, room: Self) -> u64 {
        let ratio = |part: u64, whole: u64| whole.checked_div(part).unwrap_or(u64::MAX);
        ratio(self.cpu_milli, room.cpu_milli)
            .min(ratio(self.memory_mib, room.memory_mib))
            .min(ratio(self.accelerators, room.accelerators))
    }

    /// Returns the larger of each amount.
    pub fn component_max(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller of each amount.
    pub fn component_min(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the sum, saturating at the largest representable amount.
    pub const fn saturating_add(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference, or `None` if any amount would fall below zero.
    pub const fn checked_sub(self, other: Self) -> Option<Self> {
        if !other.fits_in(self) {
            return None;
        }
        Some(Self {
            cpu_milli: self.cpu_milli - other.cpu_milli,
            memory_mib: self.memory_mib - other.memory_mib,
            accelerators: self.accelerators - other.accelerators,
        })
    }

    /// Returns the difference, with each amount saturating at zero.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns each amount multiplied by `count`, saturating at the largest representable amount.
    pub const fn saturating_mul(self, count: u64) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns whether every amount is zero.
    pub const fn is_zero(self) -> bool {
        self.cpu_milli == 0 && self.memory_mib == 0 && self.accelerators == 0
    }

    /// Returns the dominant share of dominant-resource fairness: the largest fraction that any
    /// amount takes of its part of `total`.
    ///
    /// The share is infinite if an amount is above zero and its total is zero.
    pub fn dominant_share(self, total: Self) -> f64 {
        let share = |amount: u64, available: u64| match (amount, available) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (amount, available) => amount as f64 / available as f64,
        };
        share(self.cpu_milli, total.cpu_milli)
            .max(share(self.memory_mib, total.memory_mib))
            .max(share(self.accelerators, total.accelerators))
    }
}
