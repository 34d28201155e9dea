//! Placement policy.

use serde::{Deserialize, Serialize};

/// A named set of default weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preset {
    /// Minimises waiting time first.
    #[default]
    WaitingFirst,
    /// Maximises packing and minimises the cost of control first.
    PackingFirst,
}

/// Weights of the placement score, each from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Weight of an earlier start.
    pub waiting: f64,
    /// Weight of filling workers that are already in use.
    pub packing: f64,
    /// Weight of spreading a workload over racks and data centres.
    pub spread: f64,
    /// Weight of keeping free accelerators usable by the work that waits for them.
    pub fragmentation: f64,
    /// Weight of staying within a region.
    pub region: f64,
}

/// Policy by which tasks are placed on workers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// The preset that supplies the weights that the document does not set.
    pub preset: Preset,
    /// The weights in force.
    pub weights: Weights,
}

impl Weights {
    /// Returns the weights of a preset.
    pub const fn preset(preset: Preset) -> Self {
        match preset {
            Preset::WaitingFirst => Self {
                waiting: 1.0,
                packing: 0.3,
                spread: 0.5,
                fragmentation: 0.5,
                region: 0.3,
            },
            Preset::PackingFirst => Self {
                waiting: 0.3,
                packing: 1.0,
                spread: 0.3,
                fragmentation: 0.7,
                region: 0.7,
            },
        }
    }
}

impl Policy {
    /// Creates the policy of a preset.
    pub const fn new(preset: Preset) -> Self {
        Self {
            preset,
            weights: Weights::preset(preset),
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::new(Preset::default())
    }
}
