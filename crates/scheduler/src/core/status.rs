//! Read access to a scheduler's state.

use std::{collections::BTreeMap, sync::Arc};

use kspan_fold::State;
use kspan_model::{Millis, Name};
use kspan_wire::message::tasks::ShardSummary;
use serde::Serialize;

use super::Core;
use crate::shard::ShardDump;

/// Maximum age of a shard summary that is used.
const MAX_SUMMARY_AGE: Millis = Millis::from_secs(5);

/// A scheduler's state for `/dump`.
#[derive(Clone, Debug, Serialize)]
pub struct CoreDump {
    /// Number of the current view.
    pub view: u64,
    /// Version of the document in force.
    pub document: u64,
    /// Shards that this process owns or is claiming.
    pub shards: Vec<ShardDump>,
    /// Owners of all shards by their latest summaries.
    pub owners: BTreeMap<Name, String>,
    /// Highest token seen of each shard.
    pub seen: BTreeMap<Name, String>,
}

impl Core {
    /// Returns the log state that this process has read.
    pub fn log_state(&self) -> &Arc<State> {
        &self.log_state
    }

    /// Returns the recent shard summaries of all owners.
    pub fn summaries(&self, now: Millis) -> Vec<ShardSummary> {
        self.owner_summaries
            .values()
            .filter(|entry| now.saturating_sub(entry.received_at) <= MAX_SUMMARY_AGE)
            .map(|entry| entry.summary.clone())
            .collect()
    }

    /// Returns the state for `/dump`.
    pub fn dump(&self) -> CoreDump {
        let owners = self.owner_summaries.iter();
        let seen = self.highest_seen.iter();
        CoreDump {
            view: self.view.number,
            document: self.log_state.document_version,
            shards: self.shards.values().map(|shard| shard.dump()).collect(),
            owners: owners
                .map(|(name, entry)| (name.clone(), entry.owner.to_string()))
                .collect(),
            seen: seen
                .map(|(name, fence)| (name.clone(), fence.to_string()))
                .collect(),
        }
    }
}
