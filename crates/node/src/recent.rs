//! The newest log entries, for members that lag behind.

use std::{collections::VecDeque, sync::Mutex};

use kspan_contract::protocol::log::Entry;
use kspan_model::Millis;
use kspan_wire::message::relay;

use crate::slot::lock;

/// Entries that are kept.
const MAX_ENTRIES: usize = 512;

/// Bytes of entries that are kept and sent at once; well below the largest frame.
const MAX_BYTES: usize = 600 * 1024;

/// How long a process must have lagged before it asks: usually it reads the log itself first.
const LAG_PATIENCE: Millis = Millis(400);

#[derive(Default)]
struct Kept {
    entries: VecDeque<relay::Entry>,
    bytes: usize,
    lag: Option<Lag>,
}

/// Entries that others have and this process has not.
#[derive(Clone, Copy)]
struct Lag {
    applied: u64,
    since: Millis,
}

/// Recent entries that are shared between threads.
#[derive(Default)]
pub(crate) struct Recent {
    kept: Mutex<Kept>,
}

impl Recent {
    /// Remembers an entry that was applied.
    pub(crate) fn push(&self, entry: &Entry) {
        let mut kept = lock(&self.kept);
        // What follows a gap must not be taken for a continuation.
        let is_next = |last: &relay::Entry| last.offset + 1 == entry.offset;
        if !kept.entries.back().is_none_or(is_next) {
            kept.entries.clear();
            kept.bytes = 0;
        }
        kept.bytes += entry.data.len();
        kept.entries.push_back(relay::Entry {
            offset: entry.offset,
            time_ms: entry.time_ms,
            data: entry.data.clone(),
        });
        while kept.entries.len() > MAX_ENTRIES || kept.bytes > MAX_BYTES {
            let Some(oldest) = kept.entries.pop_front() else {
                return;
            };
            kept.bytes -= oldest.data.len();
        }
    }

    /// Returns the entries from an offset on; none when the first of them is not kept.
    pub(crate) fn from(&self, offset: u64) -> Vec<relay::Entry> {
        let kept = lock(&self.kept);
        let first = kept.entries.front().map_or(u64::MAX, |entry| entry.offset);
        if offset < first {
            return Vec::new();
        }
        let later = kept.entries.iter().filter(|entry| entry.offset >= offset);
        later.cloned().collect()
    }

    /// Takes in that another member has entries from `applied` on, which this process lacks.
    /// Returns whether they should be asked for.
    pub(crate) fn is_lagging(&self, now: Millis, applied: u64) -> bool {
        let mut kept = lock(&self.kept);
        let began = kept.lag.filter(|lag| lag.applied == applied);
        let since = began.map_or(now, |lag| lag.since);
        let lags = now.saturating_sub(since) >= LAG_PATIENCE;
        // After asking, the wait begins anew.
        let since = if lags { now } else { since };
        kept.lag = Some(Lag { applied, since });
        lags
    }
}
