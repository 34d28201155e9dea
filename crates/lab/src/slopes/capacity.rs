//! Extrapolation of the measured slopes to the size that the cell is designed for.
//!
//! A role's cost is taken as the sum of straight lines: its cost at the base cell, and for each
//! thing that grows its slope times the growth. What is not straight shows in the slopes' spread.

use std::fmt::Write as _;

use super::Slope;

/// Workers of the cell that is designed for.
const WORKERS: f64 = 7_600.0;

/// Its data centres, each a shard.
const SHARDS: f64 = 14.0;

/// Its task starts a second at the peak.
const STARTS: f64 = 3_100.0;

/// Entry hosts of today's deployments, and two for each data centre.
const HOSTS: [f64; 2] = [9.0, 28.0];

/// What a node may spend: per cent of a core, MB, and bytes a second.
const BUDGET: [(&str, f64); 3] = [
    ("cpu_percent", 3.0),
    ("memory_mb", 256.0),
    ("bytes_per_second", 18_000.0),
];

/// Both roles, which share a host.
const ROLES: [&str; 2] = ["router", "scheduler"];

/// What one host has to carry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Members of the view.
    pub members: f64,
    /// Workers of the shards that its scheduler owns.
    pub workers: f64,
    /// Task starts a second on them.
    pub starts: f64,
}

impl Load {
    /// Returns the load of the host that owns most shards, among `hosts`.
    pub fn of_hosts(hosts: f64) -> Self {
        let owned = (SHARDS / hosts).ceil();
        Self {
            members: 2.0 * hosts,
            workers: owned * WORKERS / SHARDS,
            starts: owned * STARTS / SHARDS,
        }
    }

    fn of_series(self, series: &str) -> Option<f64> {
        match series {
            "members" => Some(self.members),
            "workers" => Some(self.workers),
            "starts" => Some(self.starts),
            _ => None,
        }
    }
}

/// Returns what a role spends under a load; none where a slope is missing.
pub fn extrapolate(slopes: &[Slope], role: &str, quantity: &str, load: Load) -> Option<f64> {
    let of_role = slopes
        .iter()
        .filter(|slope| slope.role == role && slope.quantity == quantity);
    let grown = of_role.filter_map(|slope| Some((slope, load.of_series(slope.series)?)));
    let mut total = None;
    for (slope, x) in grown {
        let line = slope.line?;
        let base = slope.points.first()?;
        let growth = line.slope * (x - base.x);
        // The smallest cell of each series is nearly the same; the first one's cost is the base.
        total = Some(total.unwrap_or(line.intercept + line.slope * base.x) + growth);
    }
    total
}

/// Returns the extrapolation as a Markdown table, with a mark on what exceeds its budget.
pub fn table(slopes: &[Slope]) -> String {
    let mut text = String::from("| hosts | what | router | scheduler | host | budget | fits |\n");
    text.push_str("|---|---|---|---|---|---|---|\n");
    for hosts in HOSTS {
        let load = Load::of_hosts(hosts);
        for (quantity, budget) in BUDGET {
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
