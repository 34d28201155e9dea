//! Figures of the routing decisions.
//!
//! The real engine runs in front of a small closed model of runners, on a simulated clock: each
//! runner works on every request that it is sent for a service time, and nothing else is modelled.

mod choice;
mod model;
mod overload;

use crate::Figure;

/// Returns every figure of the routing decisions.
pub fn figures() -> Vec<Figure> {
    let mut figures = choice::figures();
    figures.extend(overload::figures());
    figures
}
