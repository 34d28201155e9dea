//! What the decisions show to other threads, refreshed once a period.

use std::sync::{Arc, Mutex, PoisonError};

use kspan_wire::message::tasks::ShardSummary;

use crate::core::CoreDump;

/// What is shown.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shown {
    /// What owners said about their shards lately.
    pub summaries: Vec<ShardSummary>,
    /// The state for the dump.
    pub dump: Option<CoreDump>,
}

/// A place where one thread shows and others look. Looking never waits for a decision.
#[derive(Clone, Debug, Default)]
pub(crate) struct Board {
    shown: Arc<Mutex<Arc<Shown>>>,
}

impl Board {
    /// Creates an empty board.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Shows something new.
    pub(crate) fn show(&self, shown: Shown) {
        *self.shown.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(shown);
    }

    /// Returns what is shown.
    pub(crate) fn look(&self) -> Arc<Shown> {
        Arc::clone(&self.shown.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
