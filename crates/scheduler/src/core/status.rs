//! Queries: what can be read of a scheduler without changing it.

use std::{collections::BTreeMap, sync::Arc};

use kspan_fold::State;
use kspan_model::{Millis, Name};
use kspan_wire::message::tasks::ShardSummary;
use serde::Serialize;

use super::Core;
use crate::shard::ShardDump;

/// Summaries older than this are not relied on.
const SUMMARY_AGE: Millis = Millis::from_secs(5);

/// A scheduler's state for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct CoreDump {
    /// Number of the view that is followed.
    pub view: u64,
    /// Document version that is followed.
    pub document: u64,
    /// Shards that this process owns or claims.
    pub shards: Vec<ShardDump>,
    /// Who owns the other shards, as far as heard.
    pub owners: BTreeMap<Name, String>,
    /// Highest token seen of each shard.
    pub seen: BTreeMap<Name, String>,
}

impl Core {
    /// Returns what is in force, as far as this process has read.
    pub fn log_state(&self) -> &Arc<State> {
        &self.log_state
    }

    /// Returns what owners said about their shards lately.
    pub fn summaries(&self, now: Millis) -> Vec<ShardSummary> {
        self.owner_summaries
            .values()
            .filter(|entry| now.saturating_sub(entry.received_at) <= SUMMARY_AGE)
            .map(|entry| entry.summary.clone())
            .collect()
    }

    /// Returns the state for the dump.
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
