//! Teams of a cell, and jobs that they submit.

use kspan_jobs::{
    config::CellConfig,
    spec::{JobSpec, StepSpec},
    team::{KeyDigest, Team, Teams},
};
use kspan_model::{Millis, Name, Resources};

use super::{config, spec};

/// Cap of a team without one.
pub(crate) const UNLIMITED: Resources = Resources::new(u64::MAX, u64::MAX, u64::MAX);

pub(crate) fn team(name: &str, weight: f64, cap: Resources) -> Team {
    Team {
        name: Name::new(name),
        keys: vec![KeyDigest::new(&format!("{name}-key"))],
        weight,
        cap,
    }
}

pub(crate) fn config_with(teams: Vec<Team>) -> CellConfig {
    CellConfig {
        teams: Some(Teams::new(teams)),
        ..config()
    }
}

pub(crate) fn job(count: u32, cores: u64, gang: bool) -> JobSpec {
    let mut spec = spec();
    spec.steps[0] = StepSpec {
        count,
        size: Resources::new(cores * 1_000, cores * 1_000, 0),
        estimate: Millis(500),
        gang,
        ..StepSpec::default()
    };
    spec
}

pub(crate) fn path(number: usize) -> String {
    format!("/q/{number:016x}")
}
