//! The placement engine of one shard.

use kspan_model::{
    Resources,
    document::{Policy, Team},
};

use crate::state::Inner;

/// Decides which tasks run on which workers in one shard.
///
/// Throughout this crate, "cell" means this type. The cell that the configuration document describes
/// consists of several shards, each with a `Cell` of its own.
///
/// See the crate's documentation for an example.
#[derive(Clone, Debug)]
pub struct Cell {
    pub(crate) inner: Inner,
}

impl Cell {
    /// Creates a cell without workers, teams or jobs.
    pub fn new(policy: Policy) -> Self {
        Self {
            inner: Inner::new(policy),
        }
    }

    /// Returns the cell with these teams declared; see [`Cell::set_teams`].
    #[must_use]
    pub fn with_teams(mut self, teams: &[Team]) -> Self {
        self.set_teams(teams);
        self
    }

    /// Returns the cell with these workers declared; see [`Cell::set_fleet`].
    #[must_use]
    pub fn with_fleet(mut self, fleet: &[(Resources, u32)]) -> Self {
        self.set_fleet(fleet);
        self
    }
}
