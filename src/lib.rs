//! A cluster scheduler for mixed workloads: services, batch runs and gangs, which are jobs whose
//! tasks start together.
//!
//! This crate is a facade that re-exports the library crates, so that tools need only one
//! dependency.

pub use kspan_fold as fold;
pub use kspan_membership as membership;
pub use kspan_model as model;
pub use kspan_placement as placement;
pub use kspan_routing as routing;
