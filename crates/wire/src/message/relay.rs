//! Log entries relayed between members, so that entries one member has read reach the others
//! while the log is slow or unavailable.

use serde::{Deserialize, Serialize};

/// A message of the log relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the entries from an offset on.
    Fetch {
        /// First offset that the sender has not yet received.
        from: u64,
    },
    /// Consecutive entries in log order.
    Entries(Vec<Entry>),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Offset in the log.
    pub offset: u64,
    /// Time at which the log accepted the entry, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The record that was appended.
    pub data: String,
}
