//! Selects the shard of a submission.
//!
//! A job never changes its shard, so the selection goes by current free capacity. Two candidates
//! are sampled and the one with more room is taken: all entry hosts use the same summaries for a
//! second, and if each took the best shard they would all take the same one.

use kspan_model::{Name, Resources, document::Document};
use kspan_wire::message::tasks::ShardSummary;
use rand::{Rng, seq::IndexedRandom};

use crate::distribution::shards_in_regions;

/// Requirements of a submission that decide its shard.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Regions in which the tasks may run; empty for all.
    pub regions: &'a [Name],
    /// Size of one task.
    pub task: Resources,
    /// Number of tasks.
    pub tasks: u32,
}

/// Returns the shard of a submission, or `None` if the document declares no data centre in its
/// regions.
pub fn select_shard(
    document: &Document,
    demand: Demand<'_>,
    summaries: &[ShardSummary],
    rng: &mut impl Rng,
) -> Option<Name> {
    let shards = shards_in_regions(document, demand.regions);
    let summary_of = |shard: &Name| summaries.iter().find(|summary| summary.shard == *shard);
    let fitting: Vec<&Name> = shards
        .iter()
        .filter(|shard| summary_of(shard).is_none_or(|summary| can_hold(summary, demand)))
        .collect();
    let candidates = if fitting.is_empty() {
        shards.iter().collect()
    } else {
        fitting
    };
    let sampled: Vec<&&Name> = candidates.choose_multiple(rng, 2).collect();
    sampled
        .into_iter()
        .max_by(|a, b| {
            let room =
                |shard: &Name| summary_of(shard).map_or(0.0, |summary| room(summary, demand));
            room(a).total_cmp(&room(b))
        })
        .map(|shard| (*shard).clone())
}

/// Returns whether one task fits into the shard's total capacity.
fn can_hold(summary: &ShardSummary, demand: Demand<'_>) -> bool {
    demand.task.fits_in(summary.capacity)
}

/// Returns the share of the capacity that would remain free; negative if work would have to wait.
fn room(summary: &ShardSummary, demand: Demand<'_>) -> f64 {
    let demanded = demand
        .task
        .saturating_mul(u64::from(demand.tasks) + u64::from(summary.waiting));
    let free = 1.0 - used_share(summary);
    free - demanded.dominant_share(summary.capacity).min(f64::MAX)
}

fn used_share(summary: &ShardSummary) -> f64 {
    let used = summary.capacity.saturating_sub(summary.free);
    used.dominant_share(summary.capacity)
}
