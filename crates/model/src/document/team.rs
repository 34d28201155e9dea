//! Teams and their quotas.

use serde::{Deserialize, Serialize};

use crate::{Name, Resources};

/// A team to which resource usage is charged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name of the team, unique in the cell.
    pub name: Name,
    /// Resources that the team may use at once without borrowing.
    pub quota: Resources,
    /// Share of contended capacity relative to other teams.
    pub weight: f64,
    /// Whether the team may borrow unused quota of other teams.
    pub borrow: bool,
}
