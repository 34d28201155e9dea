//! Extrapolation of the measured slopes to the cell's design size.
//!
//! A role's cost is modelled as its cost in the base cell plus, for each series, the slope times
//! the growth over the base cell. Deviations from linear growth show in the slopes' standard
//! errors.

use std::fmt::Write as _;

use super::Slope;

/// Workers at the design size.
const TARGET_WORKERS: f64 = 7_600.0;

/// Shards at the design size, one for each data centre.
const TARGET_SHARDS: f64 = 14.0;

/// Peak task starts per second at the design size.
const TARGET_STARTS_PER_SECOND: f64 = 3_100.0;

/// Numbers of entry hosts: that of the existing deployments, and two for each data centre.
const HOST_COUNTS: [f64; 2] = [9.0, 28.0];

/// Budget of a host by quantity: percent of a core, MB, and bytes per second.
const BUDGETS: [(&str, f64); 3] = [
    ("cpu_percent", 3.0),
    ("memory_mb", 256.0),
    ("bytes_per_second", 18_000.0),
];

/// Roles that share a host.
const ROLES: [&str; 2] = ["router", "scheduler"];

/// Load of one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Members of the membership view.
    pub members: f64,
    /// Workers in the shards that its scheduler owns.
    pub workers: f64,
    /// Task starts per second in these shards.
    pub starts: f64,
}

impl Load {
    /// Returns the load of the host that owns the most shards, given `hosts` entry hosts.
    pub fn for_hosts(hosts: f64) -> Self {
        let owned = (TARGET_SHARDS / hosts).ceil();
        Self {
            members: 2.0 * hosts,
            workers: owned * TARGET_WORKERS / TARGET_SHARDS,
            starts: owned * TARGET_STARTS_PER_SECOND / TARGET_SHARDS,
        }
    }

    fn series_value(self, series: &str) -> Option<f64> {
        match series {
            "members" => Some(self.members),
            "workers" => Some(self.workers),
            "starts" => Some(self.starts),
            _ => None,
        }
    }
}

/// Returns a role's cost under a load, or `None` if a slope is missing.
pub fn extrapolate(slopes: &[Slope], role: &str, quantity: &str, load: Load) -> Option<f64> {
    let of_role = slopes
        .iter()
        .filter(|slope| slope.role == role && slope.quantity == quantity);
    let slopes_with_load =
        of_role.filter_map(|slope| Some((slope, load.series_value(slope.series)?)));
    let mut total = None;
    for (slope, x) in slopes_with_load {
        let line = slope.line?;
        let base = slope.points.first()?;
        let growth = line.slope * (x - base.x);
        // All series start from nearly the same cell; the first one's fitted cost is the base.
        total = Some(total.unwrap_or(line.intercept + line.slope * base.x) + growth);
    }
    total
}

/// Returns the extrapolation as a Markdown table that marks values above their budget.
pub fn table(slopes: &[Slope]) -> String {
    let mut text = String::from("| hosts | what | router | scheduler | host | budget | fits |\n");
    text.push_str("|---|---|---|---|---|---|---|\n");
    for hosts in HOST_COUNTS {
        let load = Load::for_hosts(hosts);
        for (quantity, budget) in BUDGETS {
            let parts = ROLES.map(|role| extrapolate(slopes, role, quantity, load));
            let [Some(router), Some(scheduler)] = parts else {
                continue;
            };
            let host = router + scheduler;
            let fits = if host <= budget { "yes" } else { "**no**" };
            let _ = writeln!(
                text,
                "| {hosts} | {quantity} | {router:.1} | {scheduler:.1} | {host:.1} | {budget} | {fits} |"
            );
        }
    }
    text
}
