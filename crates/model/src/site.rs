//! Locations of processes and workers.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Name;

/// A region and a data centre within it.
#[derive(
    Clone, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{region}/{data_centre}")]
pub struct Site {
    /// The region.
    pub region: Name,
    /// The data centre.
    pub data_centre: Name,
}

impl Site {
    /// Creates a site.
    pub fn new(region: impl Into<Name>, data_centre: impl Into<Name>) -> Self {
        Self {
            region: region.into(),
            data_centre: data_centre.into(),
        }
    }
}
