//! The log service.
//!
//! * `POST /v1/append` with the record as the body answers `Appended`; `429` with `Retry-After`
//!   over the append rate, `413` over [`MAX_RECORD_BYTES`], `503` in an outage. A lost answer
//!   says nothing about whether the append took effect.
//! * `GET /v1/read?from=N&max=M&wait_ms=W` answers `Batch`, after at most `W` ms where nothing
//!   stands at `N` yet. Where `N` was forgotten, the batch starts at the first record kept.

use serde::{Deserialize, Serialize};

/// Largest record that the log takes, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset that the record got.
    pub offset: u64,
}

/// Some records in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Lowest offset that the log still keeps.
    pub first: u64,
    /// Offset that the next append will get, as of this answer.
    pub next: u64,
    /// The records, in order, without gaps from the offset asked for or from `first`.
    pub records: Vec<Entry>,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its offset.
    pub offset: u64,
    /// When the log took it, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// What was appended.
    pub data: String,
}
