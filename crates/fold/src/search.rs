//! Searches a range of the log for the newest complete snapshot.

use kspan_model::Name;

use crate::{
    record::{Body, Record},
    snapshot::PartAssembler,
    state::{SnapshotPosition, State},
};

/// Text that every snapshot record contains. Entries without it need not be parsed.
const SNAPSHOT_KIND: &str = "snapshot";

/// Search over log entries, which are passed in the order of their offsets.
#[derive(Debug, Default)]
pub struct SnapshotSearch {
    parts: PartAssembler,
    newest: Option<State>,
    rejection: Option<Name>,
}

impl SnapshotSearch {
    /// Creates a search that has read no entry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Searches one entry.
    pub fn push_entry(&mut self, offset: u64, data: &str) {
        if !data.contains(SNAPSHOT_KIND) {
            return;
        }
        let Ok(record) = serde_json::from_str::<Record>(data) else {
            return;
        };
        let Body::Snapshot(part) = record.body else {
            return;
        };
        let through = part.through;
        let Some(text) = self.parts.add_part(part) else {
            return;
        };
        match State::from_snapshot(&text) {
            Ok(mut state) if state.next_offset == through && through <= offset => {
                state.snapshot = Some(SnapshotPosition { through, offset });
                let is_newer = |newest: &State| newest.next_offset <= state.next_offset;
                if self.newest.as_ref().is_none_or(is_newer) {
                    self.newest = Some(state);
                }
            }
            Ok(_) => self.rejection = Some("its content does not match its offset".into()),
            Err(err) => self.rejection = Some(err.to_string().into()),
        }
    }

    /// Returns why a complete snapshot was rejected, if any was.
    pub fn rejection(&self) -> Option<&Name> {
        self.rejection.as_ref()
    }

    /// Returns the state of the newest complete snapshot.
    pub fn finish(self) -> Option<State> {
        self.newest
    }
}
