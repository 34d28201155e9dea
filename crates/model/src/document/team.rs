//! Teams and their quotas.

use serde::{Deserialize, Serialize};

use crate::{Name, Resources};

/// A team that is charged for work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name of the team, unique in the cell.
    pub name: Name,
    /// What the team may hold at once before it borrows.
    pub quota: Resources,
    /// Share of contended capacity relative to other teams.
    pub weight: f64,
    /// Whether the team may borrow what others leave idle.
    pub borrow: bool,
}
