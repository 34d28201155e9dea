//! Priorities of work.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Priority of a workload or request class, lowest first.
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
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Runs in capacity that nothing else wants.
    #[display("low")]
    Low,
    /// The default.
    #[default]
    #[display("normal")]
    Normal,
    /// Goes before normal work, without pre-emption.
    #[display("high")]
    High,
    /// Goes first and may pre-empt low and normal work.
    #[display("urgent")]
    Urgent,
}
