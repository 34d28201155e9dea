//! Figures of the routing decisions.

use crate::Figure;

/// Returns every figure of the routing decisions.
pub fn figures() -> Vec<Figure> {
    Vec::new()
}
