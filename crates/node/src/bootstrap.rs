//! Loads the state from which a starting process applies the log: the newest complete snapshot, or
//! the empty state when the log has discarded nothing.

use kspan_contract::log::{LogClient, LogError};
use kspan_fold::{
    State,
    search::SnapshotSearch,
    snapshot::{LOG_START, MAX_RECORDS_SINCE_SNAPSHOT},
};
use kspan_model::Millis;
use quick_error::quick_error;

/// Result of loading the initial state.
pub(crate) type Result<T> = std::result::Result<T, BootstrapError>;

quick_error! {
    /// Why the initial state could not be determined.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "the macro takes plain visibility only")]
    pub enum BootstrapError {
        /// The log could not be read.
        Read(err: LogError) {
            display("{err}")
            from()
        }
        /// The log has discarded its start and holds no complete snapshot that covers the
        /// discarded records.
        NoSnapshot {
            display("the log has discarded its start and holds no complete snapshot")
        }
    }
}

/// Maximum number of records per read.
const MAX_RECORDS_PER_READ: usize = 256;

/// Number of records before the tail that are searched first.
const INITIAL_SEARCH_SPAN: u64 = 1_024;

/// Factor by which the searched range grows while no snapshot is found.
const SEARCH_SPAN_GROWTH: u64 = 4;

/// Loads the state from which the log is applied.
///
/// # Errors
///
/// Returns an error when the log can't be read, or has discarded its start and holds no usable
/// snapshot.
pub(crate) async fn load_initial_state(client: &LogClient) -> Result<State> {
    let probe = client.read(0, 1, Millis::ZERO).await?;
    let is_untruncated = probe.first <= LOG_START;
    if is_untruncated && probe.next <= 2 * MAX_RECORDS_SINCE_SNAPSHOT {
        return Ok(State::default());
    }
    let mut span = INITIAL_SEARCH_SPAN;
    loop {
        let start = probe.next.saturating_sub(span).max(probe.first);
        let (state, first) = search_range(client, start, probe.next).await?;
        if let Some(state) = state.filter(|state| state.next_offset >= first) {
            return Ok(state);
        }
        if start == probe.first {
            break;
        }
        span *= SEARCH_SPAN_GROWTH;
    }
    if is_untruncated {
        return Ok(State::default());
    }
    Err(BootstrapError::NoSnapshot)
}

/// Searches a range of the log. Returns the state of the newest snapshot, and the lowest offset
/// that the log retained at the last read.
async fn search_range(client: &LogClient, start: u64, end: u64) -> Result<(Option<State>, u64)> {
    let mut search = SnapshotSearch::new();
    let mut from = start;
    let mut first = 0;
    while from < end {
        let batch = client
            .read(from, MAX_RECORDS_PER_READ, Millis::ZERO)
            .await?;
        first = batch.first;
        let Some(last) = batch.records.last() else {
            break;
        };
        from = last.offset + 1;
        for entry in &batch.records {
            search.push_entry(entry.offset, &entry.data);
        }
    }
    if let Some(reason) = search.rejection() {
        log::warn!("log: rejected a snapshot: {reason}");
    }
    Ok((search.finish(), first))
}
