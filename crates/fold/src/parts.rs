//! Splits the text of a snapshot into parts that fit into records, and assembles it from them.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_128;

use crate::record::{RecordId, SnapshotPart};

/// Maximum length of the snapshot text in one part. Escaping at most doubles it, which still fits
/// into the largest record.
pub const MAX_PART_BYTES: usize = 100 * 1024;

/// Maximum number of parts of one snapshot.
const MAX_PARTS: u32 = 256;

/// Maximum number of incomplete snapshots held at once.
const MAX_PENDING_SNAPSHOTS: usize = 4;

/// Splits the text of a snapshot that covers the log up to the offset `through`.
pub(crate) fn split(text: &str, through: u64) -> Vec<SnapshotPart> {
    let digest = kspan_model::RequestId(xxh3_128(text.as_bytes()));
    let mut pieces = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let end = rest.floor_char_boundary(MAX_PART_BYTES.min(rest.len()));
        let (piece, after) = rest.split_at(end);
        pieces.push(piece);
        rest = after;
    }
    let parts = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
    let part = |(i, piece): (u32, &str)| SnapshotPart {
        through,
        part: i,
        parts,
        digest,
        text: piece.to_owned(),
    };
    (0..parts).zip(pieces).map(part).collect()
}

/// Assembles snapshots from their parts.
#[derive(Clone, Debug, Default)]
pub struct PartAssembler {
    /// Pieces of incomplete snapshots by covered offset and digest; repeated writes of the same
    /// snapshot share both.
    pending: BTreeMap<(u64, RecordId), BTreeMap<u32, String>>,
}

impl PartAssembler {
    /// Adds a part. Returns the snapshot's text once it is complete, unless its digest does not
    /// match.
    pub fn add_part(&mut self, part: SnapshotPart) -> Option<String> {
        if part.part >= part.parts || part.parts > MAX_PARTS || part.text.len() > MAX_PART_BYTES {
            return None;
        }
        let key = (part.through, part.digest);
        let pieces = self.pending.entry(key).or_default();
        pieces.insert(part.part, part.text);
        if pieces.len() < part.parts as usize {
            while self.pending.len() > MAX_PENDING_SNAPSHOTS {
                self.pending.pop_first();
            }
            return None;
        }
        let text: String = self.pending.remove(&key)?.into_values().collect();
        let is_intact = xxh3_128(text.as_bytes()) == part.digest.0;
        is_intact.then_some(text)
    }
}
