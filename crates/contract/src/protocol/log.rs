//! Log service.
//!
//! * `POST /v1/append` with the record as the body returns [`Appended`], `429` with `Retry-After`
//!   above the append rate limit, `413` above [`MAX_RECORD_BYTES`], and `503` during an outage. If
//!   the response is lost, the record may or may not have been appended.
//! * `GET /v1/read?from=N&max=M&wait_ms=W` returns [`Batch`]. It waits up to `W` ms if there is no
//!   record at `N` yet. If retention has removed `N`, the batch starts at the first record kept.

use serde::{Deserialize, Serialize};

/// Maximum size of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;

/// Response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset assigned to the record.
    pub offset: u64,
}

/// Consecutive records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Lowest offset that the log retains.
    pub first: u64,
    /// Offset that the next append would be assigned, as of this response.
    pub next: u64,
    /// Records in order without gaps, starting at the requested offset or at `first`.
    pub records: Vec<Entry>,
}

/// A log record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Offset of the record.
    pub offset: u64,
    /// Time at which the log accepted the record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Content of the record.
    pub data: String,
}
