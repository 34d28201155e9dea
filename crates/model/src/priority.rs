//! Priorities of workloads and requests.

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
    /// Runs only in capacity that no other work needs.
    #[display("low")]
    Low,
    /// The default.
    #[default]
    #[display("normal")]
    Normal,
    /// Scheduled before normal work, without preemption.
    #[display("high")]
    High,
    /// Scheduled first; may preempt low and normal work.
    #[display("urgent")]
    Urgent,
}
