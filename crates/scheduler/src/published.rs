//! State that the decision loop publishes to other threads at a fixed interval.

use std::sync::{Arc, Mutex, PoisonError};

use kspan_wire::message::tasks::ShardSummary;

use crate::core::CoreDump;

/// A snapshot of the published state.
#[derive(Clone, Debug, Default)]
pub(crate) struct StateSnapshot {
    /// Recent shard summaries, one of each owner.
    pub summaries: Vec<ShardSummary>,
    /// State for `/dump`.
    pub dump: Option<CoreDump>,
}

/// A shared snapshot that one thread replaces and others read. Readers never wait for a decision.
#[derive(Clone, Debug, Default)]
pub(crate) struct PublishedState {
    snapshot: Arc<Mutex<Arc<StateSnapshot>>>,
}

impl PublishedState {
    /// Creates the state with an empty snapshot.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Replaces the snapshot.
    pub(crate) fn store(&self, snapshot: StateSnapshot) {
        *self.snapshot.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(snapshot);
    }

    /// Returns the current snapshot.
    pub(crate) fn load(&self) -> Arc<StateSnapshot> {
        Arc::clone(&self.snapshot.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
