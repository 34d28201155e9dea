//! Learned run times, because declared ones are often far off.

use kspan_model::{Millis, Name};
use rustc_hash::FxHashMap;

use crate::spec::StepSpec;

/// Weight of the newest run time against those before, in percent.
const NEWEST_PERCENT: u64 = 20;

/// Most images that are remembered.
const MAX_IMAGES: usize = 4_096;

/// Run times by image.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTimes {
    by_image: FxHashMap<Name, Millis>,
}

impl RunTimes {
    /// Takes in how long a task ran until it was done.
    pub(super) fn learn(&mut self, image: &Name, took: Millis) {
        if self.by_image.len() >= MAX_IMAGES && !self.by_image.contains_key(image) {
            return;
        }
        let known = self.by_image.entry(image.clone()).or_insert(took);
        let mixed = known.0 * (100 - NEWEST_PERCENT) + took.0 * NEWEST_PERCENT;
        *known = Millis(mixed / 100);
    }

    /// Returns how long a task of the step is expected to run.
    pub(super) fn expect(&self, step: &StepSpec) -> Millis {
        let learned = step
            .image
            .as_ref()
            .and_then(|image| self.by_image.get(image));
        learned.copied().unwrap_or(step.estimate)
    }
}
