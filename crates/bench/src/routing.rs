//! Figures on the routing decisions.
//!
//! The routing engine runs against simulated runners on a simulated clock: a runner answers every
//! request that is dispatched to it after a service time, and nothing else is modelled.

mod choice;
mod overload;
mod simulation;

use crate::Figure;

/// Returns every figure of the routing decisions.
pub fn figures() -> Vec<Figure> {
    let mut figures = choice::figures();
    figures.extend(overload::figures());
    figures
}
