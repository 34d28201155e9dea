//! Fencing tokens.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A fencing token, ordered by view first and rank second.
///
/// A worker refuses commands under a token lower than the highest it has accepted, so an owner
/// that was paused and superseded changes nothing when it resumes.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{view}.{rank}")]
pub struct Fence {
    /// Log offset of the membership view.
    pub view: u64,
    /// Rank of the owner among the view's members for this shard.
    pub rank: u32,
}

impl Fence {
    /// Creates a token.
    pub const fn new(view: u64, rank: u32) -> Self {
        Self { view, rank }
    }
}
