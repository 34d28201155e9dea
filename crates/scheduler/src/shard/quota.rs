//! Commands: quotas of teams that hold tasks in several shards.
//!
//! Each shard may use what the owners of the others leave, by what they said last. Two shards that
//! start work within the same period may together exceed a quota by what they started.

use std::collections::BTreeMap;

use kspan_fold::State;
use kspan_model::{Name, Resources, document::Team};
use kspan_placement::ImpossibleReason;

use super::Shard;

impl Shard {
    /// Takes in what each team holds in other shards.
    pub fn set_held_elsewhere(&mut self, held: BTreeMap<Name, Resources>) {
        if held == self.held_elsewhere {
            return;
        }
        self.held_elsewhere = held;
        if let Some(document) = &self.fold.document {
            let teams = left_here(&document.teams, &self.held_elsewhere);
            self.cell.set_teams(&teams);
        }
    }
}

/// Returns the teams with what their quotas leave for this shard.
pub(super) fn left_here(teams: &[Team], elsewhere: &BTreeMap<Name, Resources>) -> Vec<Team> {
    let left = |team: &Team| match elsewhere.get(&team.name) {
        Some(held) => team.quota.saturating_sub(*held),
        None => team.quota,
    };
    teams
        .iter()
        .map(|team| Team {
            quota: left(team),
            ..team.clone()
        })
        .collect()
}

/// Returns whether a job is refused only for what its team holds in other shards.
pub(super) fn is_held_elsewhere(fold: &State, reason: &ImpossibleReason) -> bool {
    let ImpossibleReason::OverQuota { team, needed, .. } = reason else {
        return false;
    };
    let declared = fold.document.as_ref().and_then(|known| known.team(team));
    declared.is_some_and(|declared| needed.fits_in(declared.quota))
}
