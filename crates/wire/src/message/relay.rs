//! Log entries relayed from one member to another, so that what one has read spreads while the
//! log is slow or down.

use serde::{Deserialize, Serialize};

/// A message about log entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the entries from an offset on.
    Fetch {
        /// The first offset that the sender lacks.
        from: u64,
    },
    /// Some entries in order, without gaps.
    Entries(Vec<Entry>),
}

/// One log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its offset.
    pub offset: u64,
    /// When the log took it, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// What was appended.
    pub data: String,
}
