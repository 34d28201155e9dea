//! What the decisions show to other threads, refreshed once a period.

use std::sync::{Arc, Mutex, PoisonError};

use kspan_wire::message::tasks::ShardSummary;

use crate::core::CoreDump;

/// What is shown.
#[derive(Clone, Debug, Default)]
pub(crate) struct StateSnapshot {
    /// What owners said about their shards lately.
    pub summaries: Vec<ShardSummary>,
    /// The state for the dump.
    pub dump: Option<CoreDump>,
}

/// A place where one thread shows and others look. Looking never waits for a decision.
#[derive(Clone, Debug, Default)]
pub(crate) struct PublishedState {
    snapshot: Arc<Mutex<Arc<StateSnapshot>>>,
}

impl PublishedState {
    /// Creates an empty board.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Shows something new.
    pub(crate) fn store(&self, snapshot: StateSnapshot) {
        *self.snapshot.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(snapshot);
    }

    /// Returns what is shown.
    pub(crate) fn load(&self) -> Arc<StateSnapshot> {
        Arc::clone(&self.snapshot.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
