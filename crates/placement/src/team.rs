//! Teams, their quotas and their shares.
//!
//! Fairness is weighted dominant resource fairness: among teams within their quota, and then among
//! those that borrow, the team with the lowest weighted dominant share goes first. Shares are
//! compared in bands an eighth of an octave wide, so that a single start rarely changes a team's
//! rank and maintaining the order is cheap.

use kspan_model::{Name, Resources, document::Team as TeamSpec};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

/// Number of a team within its cell.
pub(crate) type TeamNo = u32;

/// Number of bands per octave of weighted share.
const BANDS_PER_OCTAVE: f64 = 8.0;
/// Hysteresis: the fraction of a band by which a share may leave the band before the band changes.
const BAND_HYSTERESIS: f64 = 0.5;
/// Weighted shares below two to the minus this power fall into the lowest band.
const MIN_SHARE_OCTAVES: f64 = 20.0;
/// Weight of an undeclared team, which has adopted tasks only.
const UNDECLARED_WEIGHT: f64 = 1.0;

#[derive(Clone, Debug)]
pub(crate) struct Team {
    pub(crate) name: Name,
    pub(crate) quota: Resources,
    pub(crate) weight: f64,
    pub(crate) borrow: bool,
    pub(crate) declared: bool,
    pub(crate) committed: Resources,
    pub(crate) standing: Standing,
    is_changed: bool,
    /// Queue classes in which the team has queued jobs.
    pub(crate) classes: SmallVec<[u32; 8]>,
    /// Queue classes whose jobs wait for the team's quota.
    pub(crate) parked: Vec<u32>,
}

/// Position of a team in the order of teams; lower goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Standing {
    /// Whether the team uses its whole quota, so that further tasks borrow.
    pub(crate) borrows: bool,
    pub(crate) band: u16,
}

impl Team {
    /// Returns whether the team may be charged `size` more.
    pub(crate) fn admits(&self, size: Resources) -> bool {
        self.borrow || self.is_within_quota(size)
    }

    /// Returns whether the team stays within its quota with `size` more.
    pub(crate) fn is_within_quota(&self, size: Resources) -> bool {
        self.committed.saturating_add(size).fits_in(self.quota)
    }

    pub(crate) fn weighted_share(&self, total: Resources) -> f64 {
        self.committed.dominant_share(total) / self.weight
    }

    fn compute_standing(&self, total: Resources) -> Standing {
        Standing {
            borrows: self.committed.dominant_share(self.quota) >= 1.0,
            band: band(self.weighted_share(total), self.standing.band),
        }
    }
}

/// Returns the band of a share. A share just outside the current band stays in it, so that a team's
/// rank does not change with each start and end.
fn band(share: f64, current: u16) -> u16 {
    if share <= 0.0 {
        return 0;
    }
    let raw_band = (share.log2() + MIN_SHARE_OCTAVES) * BANDS_PER_OCTAVE + 1.0;
    let raw_band = raw_band.clamp(1.0, f64::from(u16::MAX));
    let middle = f64::from(current) + 0.5;
    if current > 0 && (raw_band - middle).abs() <= 0.5 + BAND_HYSTERESIS {
        return current;
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Clamped to the range.
    let band = raw_band as u16;
    band
}

/// All teams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Teams {
    teams: Vec<Team>,
    /// Number of teams that use their whole quota.
    borrowing: usize,
    /// Teams whose standing has changed since their queues were ranked.
    changed: Vec<TeamNo>,
    by_name: FxHashMap<Name, TeamNo>,
}

impl Teams {
    pub(crate) fn number(&self, name: &Name) -> Option<TeamNo> {
        self.by_name.get(name).copied()
    }

    /// Returns the team's number, adding an undeclared team if it is unknown.
    pub(crate) fn number_or_add(&mut self, name: &Name) -> TeamNo {
        if let Some(number) = self.number(name) {
            return number;
        }
        let number = TeamNo::try_from(self.teams.len()).expect("teams fit in 32-bit numbers");
        self.teams.push(Team {
            name: name.clone(),
            quota: Resources::ZERO,
            weight: UNDECLARED_WEIGHT,
            borrow: false,
            declared: false,
            committed: Resources::ZERO,
            standing: Standing::default(),
            is_changed: false,
            classes: SmallVec::new(),
            parked: Vec::new(),
        });
        self.by_name.insert(name.clone(), number);
        number
    }

    pub(crate) fn get(&self, number: TeamNo) -> &Team {
        &self.teams[number as usize]
    }

    pub(crate) fn get_mut(&mut self, number: TeamNo) -> &mut Team {
        &mut self.teams[number as usize]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Team> {
        self.teams.iter()
    }

    pub(crate) fn numbers(&self) -> std::ops::Range<TeamNo> {
        0..TeamNo::try_from(self.teams.len()).expect("teams fit in 32-bit numbers")
    }

    /// Replaces the declared teams. Teams that are no longer declared keep their committed
    /// resources.
    pub(crate) fn declare(&mut self, specs: &[TeamSpec]) {
        for team in &mut self.teams {
            team.declared = false;
            team.quota = Resources::ZERO;
            team.borrow = false;
        }
        for spec in specs {
            let number = self.number_or_add(&spec.name);
            let team = self.get_mut(number);
            team.declared = true;
            team.quota = spec.quota;
            team.weight = if spec.weight > 0.0 {
                spec.weight
            } else {
                f64::MIN_POSITIVE
            };
            team.borrow = spec.borrow;
        }
    }

    /// Returns whether any team uses its whole quota.
    pub(crate) fn any_borrowing(&self) -> bool {
        self.borrowing > 0
    }

    /// Recomputes a team's standing.
    pub(crate) fn update_standing(&mut self, number: TeamNo, total: Resources) {
        let team = self.get_mut(number);
        let standing = team.compute_standing(total);
        let before = std::mem::replace(&mut team.standing, standing);
        self.borrowing += usize::from(standing.borrows);
        self.borrowing -= usize::from(before.borrows);
        let team = self.get_mut(number);
        if before != standing && !team.is_changed {
            team.is_changed = true;
            self.changed.push(number);
        }
    }

    /// Returns and clears the list of teams whose standing has changed.
    pub(crate) fn take_changed(&mut self) -> Vec<TeamNo> {
        let changed = std::mem::take(&mut self.changed);
        for &number in &changed {
            self.get_mut(number).is_changed = false;
        }
        changed
    }
}
