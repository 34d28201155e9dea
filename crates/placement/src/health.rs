//! Probation of workers that fail what they start.

use kspan_model::Millis;

/// What is known of one worker's failures.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    probation_until: Option<Millis>,
}

impl Health {
    /// Returns whether new tasks may be placed on the worker.
    pub(crate) fn takes_tasks(&self, _is_empty: bool) -> bool {
        self.probation_until.is_none()
    }
}
