//! Finds the state from which a process folds on: the newest whole snapshot, or nothing where
//! the log still has everything.

use kspan_contract::log::{LogClient, LogError};
use kspan_fold::{
    State,
    search::Search,
    snapshot::{LOG_START, SNAPSHOT_RECORDS},
};
use kspan_model::Millis;
use quick_error::quick_error;

/// Result of looking for a foundation.
pub(crate) type Result<T> = std::result::Result<T, FoundError>;

quick_error! {
    /// Why there is no foundation.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "the macro takes plain visibility only")]
    pub enum FoundError {
        /// The log could not be read.
        Read(err: LogError) {
            display("{err}")
            from()
        }
        /// The log has forgotten its start and has no whole snapshot that reaches what it keeps.
        NotProvable {
            display("the log has forgotten its start and keeps no whole snapshot")
        }
    }
}

/// Records read at once.
const READ_RECORDS: usize = 256;

/// Records before the tail that are searched first.
const FIRST_SPAN: u64 = 1_024;

/// By how much the span grows while no snapshot is found.
const SPAN_GROWTH: u64 = 4;

/// Returns the state to fold on from.
///
/// # Errors
///
/// Returns an error when the log can't be read or proves nothing.
pub(crate) async fn found(client: &LogClient) -> Result<State> {
    let probe = client.read(0, 1, Millis::ZERO).await?;
    let has_everything = probe.first <= LOG_START;
    if has_everything && probe.next <= 2 * SNAPSHOT_RECORDS {
        return Ok(State::default());
    }
    let mut span = FIRST_SPAN;
    loop {
        let start = probe.next.saturating_sub(span).max(probe.first);
        let (state, first) = search(client, start, probe.next).await?;
        if let Some(state) = state.filter(|state| state.next_offset >= first) {
            return Ok(state);
        }
        if start == probe.first {
            break;
        }
        span *= SPAN_GROWTH;
    }
    if has_everything {
        return Ok(State::default());
    }
    Err(FoundError::NotProvable)
}

/// Searches a stretch of the log. Returns the newest snapshot's state, and the lowest offset that
/// the log keeps by then.
async fn search(client: &LogClient, start: u64, end: u64) -> Result<(Option<State>, u64)> {
    let mut search = Search::new();
    let mut from = start;
    let mut first = 0;
    while from < end {
        let batch = client.read(from, READ_RECORDS, Millis::ZERO).await?;
        first = batch.first;
        let Some(last) = batch.records.last() else {
            break;
        };
        from = last.offset + 1;
        for entry in &batch.records {
            search.read(entry.offset, &entry.data);
        }
    }
    if let Some(why) = search.damaged() {
        log::warn!("log: skipped a snapshot: {why}");
    }
    Ok((search.finish(), first))
}
