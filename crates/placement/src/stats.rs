//! Statistics of waiting times.

use kspan_model::{Millis, Priority};
use serde::Serialize;

use crate::spec::JobSpec;

/// Number of histogram buckets, each twice as wide as the one before; the first is below 1 ms.
const BUCKETS: usize = 40;

/// Waiting times of the tasks of one priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct WaitTimes {
    /// Number of tasks started.
    pub count: u64,
    /// Sum of their waiting times.
    pub sum: Millis,
    /// Longest waiting time.
    pub max: Millis,
    #[serde(skip)]
    buckets: [u64; BUCKETS],
}

impl Default for WaitTimes {
    fn default() -> Self {
        Self {
            count: 0,
            sum: Millis::ZERO,
            max: Millis::ZERO,
            buckets: [0; BUCKETS],
        }
    }
}

impl WaitTimes {
    fn record(&mut self, waited: Millis) {
        self.count += 1;
        self.sum = self.sum.saturating_add(waited);
        self.max = self.max.max(waited);
        let bucket = (u64::BITS - waited.0.leading_zeros()) as usize;
        self.buckets[bucket.min(BUCKETS - 1)] += 1;
    }

    /// Returns the mean waiting time; zero if no task was started.
    pub fn mean(&self) -> Millis {
        Millis(self.sum.0.checked_div(self.count).unwrap_or(0))
    }

    /// Returns an upper bound, at most twice the exact value, on the waiting time that the given
    /// fraction of tasks does not exceed.
    pub fn quantile(&self, fraction: f64) -> Millis {
        let wanted = fraction * self.count as f64;
        let mut seen = 0;
        for (bucket, count) in self.buckets.iter().enumerate() {
            seen += count;
            if seen as f64 >= wanted {
                return Millis((1_u64 << bucket) - 1).min(self.max);
            }
        }
        self.max
    }
}

/// Statistics of a cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stats {
    waits: [WaitTimes; 4],
}

impl Stats {
    pub(crate) fn record_wait(&mut self, spec: &JobSpec, waited: Millis) {
        self.waits[spec.priority as usize].record(waited);
    }

    pub(crate) fn wait_times(&self, priority: Priority) -> WaitTimes {
        self.waits[priority as usize]
    }
}
