//! How much longer runs take than was expected when they started, by rack and overall.
//!
//! Load pattern: a rack whose runners have become slow, or callers whose estimates are all wrong in
//! the same direction. Predictions for racks would otherwise be missed again and again.

use kspan_model::{Millis, Name};
use rustc_hash::FxHashMap;

/// Ratio of an actual to an expected run time, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Ratio(u64);

/// Ratios beyond these say more about a single task than about its rack.
const MIN_RATIO: Ratio = Ratio(250);
const MAX_RATIO: Ratio = Ratio(8_000);

/// Weight of the latest run in the average over all racks, in percent.
const OVERALL_WEIGHT_PERCENT: u64 = 10;

/// The same for the average of one rack, which has fewer runs and may change at once.
const RACK_WEIGHT_PERCENT: u64 = 30;

/// Number of runs in progress that weigh as much as the average of those that ended.
const ENDED_WEIGHT: u64 = 4;

/// Maximum number of racks with a recorded ratio.
const MAX_RACKS: usize = 4_096;

impl Ratio {
    /// The ratio of runs that take as long as expected.
    pub(super) const ONE: Self = Self(1_000);

    /// Returns the ratio of an actual to an expected run time, within bounds.
    pub(super) fn new(actual: Millis, expected: Millis) -> Self {
        let ratio = actual.0.saturating_mul(Self::ONE.0).checked_div(expected.0);
        Self(ratio.unwrap_or(Self::ONE.0)).clamp(MIN_RATIO, MAX_RATIO)
    }

    /// Returns a duration multiplied by the ratio.
    pub(super) fn scale(self, duration: Millis) -> Millis {
        Millis(duration.0.saturating_mul(self.0) / Self::ONE.0)
    }

    /// Returns the mean of an average of ended runs and the ratios of runs in progress.
    pub(super) fn mixed_with(self, in_progress: impl Iterator<Item = Self>) -> Self {
        let weighted = (self.0 * ENDED_WEIGHT, ENDED_WEIGHT);
        let (sum, count) =
            in_progress.fold(weighted, |(sum, count), ratio| (sum + ratio.0, count + 1));
        Self(sum / count)
    }

    fn record(&mut self, newest: Self, weight_percent: u64) {
        let mixed = self.0 * (100 - weight_percent) + newest.0 * weight_percent;
        self.0 = mixed / 100;
    }
}

/// Average ratios of the runs that ended.
#[derive(Clone, Debug)]
pub(super) struct Overruns {
    overall: Ratio,
    by_rack: FxHashMap<Name, Ratio>,
}

impl Default for Overruns {
    fn default() -> Self {
        Self {
            overall: Ratio::ONE,
            by_rack: FxHashMap::default(),
        }
    }
}

impl Overruns {
    /// Records a run that ended.
    pub(super) fn record(&mut self, rack: Option<&Name>, ratio: Ratio) {
        let overall = self.overall;
        self.overall.record(ratio, OVERALL_WEIGHT_PERCENT);
        let Some(rack) = rack else {
            return;
        };
        if self.by_rack.len() < MAX_RACKS || self.by_rack.contains_key(rack) {
            let known = self.by_rack.entry(rack.clone()).or_insert(overall);
            known.record(ratio, RACK_WEIGHT_PERCENT);
        }
    }

    /// Returns the ratio that is expected of runs anywhere.
    pub(super) fn overall(&self) -> Ratio {
        self.overall
    }

    /// Returns the ratio that is expected of runs in a rack.
    pub(super) fn of_rack(&self, rack: &Name) -> Ratio {
        self.by_rack.get(rack).copied().unwrap_or(self.overall)
    }
}
