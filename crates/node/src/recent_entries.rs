//! Buffer of the newest log entries, for members that lag behind.

use std::{collections::VecDeque, sync::Mutex};

use kspan_contract::protocol::log::Entry;
use kspan_model::Millis;
use kspan_wire::message::relay;

use crate::sync::lock;

/// Maximum number of buffered entries.
const MAX_ENTRIES: usize = 512;

/// Maximum size of the buffered entries, which are sent in one message; well below the largest
/// frame.
const MAX_BYTES: usize = 600 * 1024;

/// Time that a process must have lagged before it fetches entries from another member. Usually it
/// has read them from the log by then.
const FETCH_DELAY: Millis = Millis(400);

#[derive(Default)]
struct Buffer {
    entries: VecDeque<relay::Entry>,
    bytes: usize,
    lag: Option<Lag>,
}

/// Time for which this process has lagged behind at one offset.
#[derive(Clone, Copy)]
struct Lag {
    next_offset: u64,
    since: Millis,
}

/// Recent entries, shared between threads.
#[derive(Default)]
pub(crate) struct RecentEntries {
    buffer: Mutex<Buffer>,
}

impl RecentEntries {
    /// Adds an entry that was applied.
    pub(crate) fn push(&self, entry: &Entry) {
        let mut buffer = lock(&self.buffer);
        // The buffer must hold consecutive entries only.
        let is_next = |last: &relay::Entry| last.offset + 1 == entry.offset;
        if !buffer.entries.back().is_none_or(is_next) {
            buffer.entries.clear();
            buffer.bytes = 0;
        }
        buffer.bytes += entry.data.len();
        buffer.entries.push_back(relay::Entry {
            offset: entry.offset,
            time_ms: entry.time_ms,
            data: entry.data.clone(),
        });
        while buffer.entries.len() > MAX_ENTRIES || buffer.bytes > MAX_BYTES {
            let Some(oldest) = buffer.entries.pop_front() else {
                return;
            };
            buffer.bytes -= oldest.data.len();
        }
    }

    /// Returns the entries from an offset on, or none when the first of them is not buffered.
    pub(crate) fn entries_from(&self, offset: u64) -> Vec<relay::Entry> {
        let buffer = lock(&self.buffer);
        let first = buffer
            .entries
            .front()
            .map_or(u64::MAX, |entry| entry.offset);
        if offset < first {
            return Vec::new();
        }
        let later = buffer.entries.iter().filter(|entry| entry.offset >= offset);
        later.cloned().collect()
    }

    /// Records that another member has entries from `next_offset` on, which this process lacks.
    /// Returns whether they should be fetched now.
    pub(crate) fn check_fetch_due(&self, now: Millis, next_offset: u64) -> bool {
        let mut buffer = lock(&self.buffer);
        let current = buffer.lag.filter(|lag| lag.next_offset == next_offset);
        let since = current.map_or(now, |lag| lag.since);
        let is_due = now.saturating_sub(since) >= FETCH_DELAY;
        // A fetch restarts the delay.
        let since = if is_due { now } else { since };
        buffer.lag = Some(Lag { next_offset, since });
        is_due
    }
}
