//! Looks for the newest whole snapshot in a stretch of the log.

use kspan_model::Name;

use crate::{
    record::{Body, Record},
    snapshot::Parts,
    state::{SnapshotSeen, State},
};

/// What every snapshot record's text contains, so that other records need not be parsed.
const SNAPSHOT_MARK: &str = "snapshot";

/// A search over entries in the order of their offsets.
#[derive(Debug, Default)]
pub struct Search {
    parts: Parts,
    newest: Option<State>,
    damaged: Option<Name>,
}

impl Search {
    /// Starts a search.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in one entry.
    pub fn read(&mut self, offset: u64, data: &str) {
        if !data.contains(SNAPSHOT_MARK) {
            return;
        }
        let Ok(record) = serde_json::from_str::<Record>(data) else {
            return;
        };
        let Body::Snapshot(part) = record.body else {
            return;
        };
        let through = part.through;
        let Some(text) = self.parts.add(part) else {
            return;
        };
        match State::from_snapshot(&text) {
            Ok(mut state) if state.next_offset == through && through <= offset => {
                state.snapshot = Some(SnapshotSeen { through, offset });
                let is_newer = |newest: &State| newest.next_offset <= state.next_offset;
                if self.newest.as_ref().is_none_or(is_newer) {
                    self.newest = Some(state);
                }
            }
            Ok(_) => self.damaged = Some("a snapshot of another offset".into()),
            Err(err) => self.damaged = Some(err.to_string().into()),
        }
    }

    /// Returns why a whole snapshot could not be used, if one could not.
    pub fn damaged(&self) -> Option<&Name> {
        self.damaged.as_ref()
    }

    /// Returns the state of the newest whole snapshot.
    pub fn finish(self) -> Option<State> {
        self.newest
    }
}
