//! A cluster scheduler for unlike workloads: services, batch runs and jobs whose tasks start
//! together.
//!
//! This crate is a thin facade. The work is done by focused inner crates, re-exported here so
//! that tools can depend on one name.

pub use kspan_fold as fold;
pub use kspan_membership as membership;
pub use kspan_model as model;
pub use kspan_placement as placement;
pub use kspan_routing as routing;
