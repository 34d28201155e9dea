//! What one process believes of another.

use derive_more::Display;
use kspan_model::Millis;
use serde::{Deserialize, Serialize};

/// Belief about another process. It is never shared knowledge: two processes may differ.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// It answers.
    #[default]
    #[display("alive")]
    Alive,
    /// It missed heartbeats; others are being asked to probe it.
    #[display("suspect")]
    Suspect,
    /// Neither it nor anyone who was asked to probe it answered.
    #[display("silent since {since}")]
    Silent {
        /// When it was last heard, on the believer's own clock.
        since: Millis,
    },
}

impl Liveness {
    /// Returns whether the process counts as silent.
    pub const fn is_silent(self) -> bool {
        matches!(self, Self::Silent { .. })
    }
}
