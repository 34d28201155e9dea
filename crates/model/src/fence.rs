//! Fencing tokens of shard owners.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A fencing token, ordered by view first and rank second.
///
/// A worker rejects commands that carry a lower token than the highest it has accepted, so that
/// an owner that was paused and replaced has no effect when it resumes.
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
    /// Number of the membership view, which is its log offset.
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
