//! Run times measured per image. The estimates in specifications are often far off.

use kspan_model::{Millis, Name};
use rustc_hash::FxHashMap;

use crate::spec::StepSpec;

/// Weight of the latest run time in the moving average, in percent.
const NEWEST_WEIGHT_PERCENT: u64 = 20;

/// Maximum number of images with a recorded run time.
const MAX_IMAGES: usize = 4_096;

/// Average run times by image.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTimes {
    by_image: FxHashMap<Name, Millis>,
}

impl RunTimes {
    /// Records the run time of a completed task.
    pub(super) fn record(&mut self, image: &Name, run_time: Millis) {
        if self.by_image.len() >= MAX_IMAGES && !self.by_image.contains_key(image) {
            return;
        }
        let known = self.by_image.entry(image.clone()).or_insert(run_time);
        let mixed = known.saturating_mul(100 - NEWEST_WEIGHT_PERCENT)
            + run_time.saturating_mul(NEWEST_WEIGHT_PERCENT);
        *known = Millis(mixed.0 / 100);
    }

    /// Returns the expected run time of the step's tasks.
    pub(super) fn expected(&self, step: &StepSpec) -> Millis {
        let recorded = step
            .image
            .as_ref()
            .and_then(|image| self.by_image.get(image));
        recorded.copied().unwrap_or(step.estimate)
    }

    /// Returns the time at which a task of the step is expected to end if it starts now; `None` if
    /// it runs until it is stopped.
    pub(super) fn expected_end(&self, step: &StepSpec, now: Millis) -> Option<Millis> {
        (!step.long_running).then(|| now + self.expected(step))
    }
}
