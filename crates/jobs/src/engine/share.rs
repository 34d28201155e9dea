//! Shares of teams in a full cell.
//!
//! Load pattern: one team submits many times what it usually does, and its jobs would delay those of
//! all others. A team is entitled to a rate of submissions, its weight in jobs a second; jobs beyond
//! it rank after all others and use what these leave. Among the others of one priority, teams below
//! their share of the cell go first: a team's share is its weight relative to the teams with active
//! jobs, and what it uses is its dominant share. A share that nobody uses is free for all.

use kspan_model::{Millis, Name, Resources};
use rustc_hash::FxHashMap;

use super::{Engine, quota::TeamIx};
use crate::team::Team;

/// Period whose entitlement a team may submit at once, in seconds.
const BURST_S: f64 = 2.0;

/// Submissions that a team may still make at its entitled rate.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: Millis,
}

/// Rates of submission by team.
#[derive(Clone, Debug, Default)]
pub(super) struct SubmissionRates {
    by_team: FxHashMap<Name, TokenBucket>,
}

impl SubmissionRates {
    /// Counts a submission. Returns whether it exceeds the rate that the team is entitled to.
    pub(super) fn exceeds_rate(&mut self, team: &Team, now: Millis) -> bool {
        let capacity = (team.weight * BURST_S).max(1.0);
        let bucket = self
            .by_team
            .entry(team.name.clone())
            .or_insert(TokenBucket {
                tokens: capacity,
                filled_at: now,
            });
        let elapsed = now.saturating_sub(bucket.filled_at);
        bucket.filled_at = now;
        bucket.tokens = (bucket.tokens + team.weight * seconds(elapsed)).min(capacity);
        if bucket.tokens < 1.0 {
            return true;
        }
        bucket.tokens -= 1.0;
        false
    }
}

/// What a team with weight 1 is entitled to, as a fraction of the cell.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareUnit {
    total: Resources,
    of_weight: f64,
}

/// What a team uses and what it is entitled to.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamUsage {
    /// Name of the team.
    pub team: Name,
    /// Number of active jobs.
    pub active_jobs: usize,
    /// Resources of its runs.
    pub used: Resources,
    /// Dominant share of the cell that its runs use.
    pub share_used: f64,
    /// Share of the cell that it is entitled to when the cell is full.
    pub share_entitled: f64,
}

impl TeamUsage {
    /// Returns the sum of two teams, under the name of the first.
    #[must_use]
    pub fn merged(mut self, other: &Self) -> Self {
        self.active_jobs += other.active_jobs;
        self.used = self.used.saturating_add(other.used);
        self.share_used += other.share_used;
        self.share_entitled += other.share_entitled;
        self
    }
}

impl Engine {
    /// Returns what each team with jobs uses and is entitled to.
    pub fn team_usage(&self) -> Vec<TeamUsage> {
        let unit = self.share_unit();
        let teams = self.teams.iter().map(|team| TeamUsage {
            team: team.name.clone(),
            active_jobs: team.active_jobs,
            used: team.committed,
            share_used: team.committed.dominant_share(unit.total),
            share_entitled: team.weight * unit.of_weight,
        });
        teams.collect()
    }

    /// Returns the share of the cell for a weight of 1, among the teams with active jobs.
    pub(super) fn share_unit(&self) -> ShareUnit {
        let active = self.teams.iter().filter(|team| team.active_jobs > 0);
        let weights: f64 = active.map(|team| team.weight).sum();
        let live = self.runners.iter().filter(|runner| !runner.dead);
        let total = live
            .map(|runner| runner.entry.capacity)
            .fold(Resources::ZERO, Resources::saturating_add);
        ShareUnit {
            total,
            of_weight: if weights > 0.0 { 1.0 / weights } else { 0.0 },
        }
    }

    /// Returns whether a team uses its whole share of the cell, so that another task would exceed it.
    pub(super) fn is_over_share(&self, team: TeamIx, unit: ShareUnit) -> bool {
        let entry = self.teams.get(team);
        entry.committed.dominant_share(unit.total) >= entry.weight * unit.of_weight
    }
}

#[expect(clippy::cast_precision_loss, reason = "periods stay below 2^52 ms")]
fn seconds(period: Millis) -> f64 {
    period.0 as f64 / 1_000.0
}
