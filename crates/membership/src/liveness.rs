//! The liveness of another process as observed locally.

use derive_more::Display;
use kspan_model::Millis;
use serde::{Deserialize, Serialize};

/// Liveness of another process as observed locally. Two observers may disagree.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// The process answers.
    #[default]
    #[display("alive")]
    Alive,
    /// The process is suspected: it missed an acknowledgement, and other members probe it.
    #[display("suspect")]
    Suspect,
    /// Neither direct nor indirect probes were answered.
    #[display("silent since {since}")]
    Silent {
        /// When the process was last heard, on the observer's clock.
        since: Millis,
    },
}

impl Liveness {
    /// Returns whether the process is silent.
    pub const fn is_silent(self) -> bool {
        matches!(self, Self::Silent { .. })
    }
}
