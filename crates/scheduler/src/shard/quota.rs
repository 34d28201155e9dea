//! Quotas of teams with tasks in several shards.
//!
//! Each shard may use what remains of a quota after the usage in other shards, by their latest
//! summaries. Two shards that start work between two summaries may together exceed a quota by what they
//! started.

use std::collections::BTreeMap;

use kspan_fold::State;
use kspan_model::{Name, Resources, document::Team};
use kspan_placement::ImpossibleReason;

use super::Shard;

impl Shard {
    /// Sets each team's usage in other shards.
    pub fn set_usage_elsewhere(&mut self, usage: BTreeMap<Name, Resources>) {
        if usage == self.usage_elsewhere {
            return;
        }
        self.usage_elsewhere = usage;
        if let Some(document) = &self.log_state.document {
            let teams = remaining_quotas(&document.teams, &self.usage_elsewhere);
            self.cell.set_teams(&teams);
        }
    }
}

/// Returns the teams with the quotas that remain for this shard.
pub(super) fn remaining_quotas(
    teams: &[Team],
    usage_elsewhere: &BTreeMap<Name, Resources>,
) -> Vec<Team> {
    let remaining = |team: &Team| match usage_elsewhere.get(&team.name) {
        Some(held) => team.quota.saturating_sub(*held),
        None => team.quota,
    };
    teams
        .iter()
        .map(|team| Team {
            quota: remaining(team),
            ..team.clone()
        })
        .collect()
}

/// Returns whether a job was rejected only because of its team's usage in other shards.
pub(super) fn is_blocked_by_other_shards(log_state: &State, reason: &ImpossibleReason) -> bool {
    let ImpossibleReason::OverQuota { team, needed, .. } = reason else {
        return false;
    };
    let declared = log_state
        .document
        .as_ref()
        .and_then(|document| document.team(team));
    declared.is_some_and(|declared| needed.fits_in(declared.quota))
}
