//! Choosing among runners that have a free slot.
//!
//! Two runners are drawn at random and the better one is taken: nearly as good as looking at all
//! of them, at a cost that does not grow with their number, and without every router picking the
//! same best one at the same moment. Runners stand in tiers by distance; a farther tier is
//! used only when nothing nearer is free.

use derive_more::Display;
use rand::Rng;

/// How far a runner is from this router, nearest first.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// The same data centre.
    #[display("data-centre")]
    DataCentre,
    /// Another data centre of the region.
    #[display("region")]
    Region,
    /// Another region.
    #[display("remote")]
    Remote,
}

/// Every tier, nearest first.
pub const TIERS: [Tier; 3] = [Tier::DataCentre, Tier::Region, Tier::Remote];

/// The runners of a service that have a free slot, as numbers of the caller's choosing.
///
/// Adding, removing and choosing take constant time.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    tiers: [Vec<u32>; 3],
    /// Position of each number within its tier, plus one; zero for absent.
    positions: Vec<u32>,
}

impl Candidates {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or removes `runner`.
    pub fn set(&mut self, runner: u32, tier: Tier, free: bool) {
        let index = runner as usize;
        if index >= self.positions.len() {
            self.positions.resize(index + 1, 0);
        }
        match (self.positions[index], free) {
            (0, true) => self.add(runner, tier),
            (position, false) if position > 0 => self.remove(position - 1, runner, tier),
            _ => {}
        }
    }

    /// Returns whether nothing is free.
    pub fn is_empty(&self) -> bool {
        self.tiers.iter().all(Vec::is_empty)
    }

    /// Draws two runners of the nearest tier and returns the one of lower `cost`.
    pub fn choose(&self, rng: &mut impl Rng, cost: impl Fn(u32) -> f64) -> Option<u32> {
        let tier = self.tiers.iter().find(|tier| !tier.is_empty())?;
        if tier.len() == 1 {
            return Some(tier[0]);
        }
        let first = rng.random_range(0..tier.len());
        let second = (first + rng.random_range(1..tier.len())) % tier.len();
        let (first, second) = (tier[first], tier[second]);
        Some(if cost(second) < cost(first) {
            second
        } else {
            first
        })
    }

    fn add(&mut self, runner: u32, tier: Tier) {
        let list = &mut self.tiers[tier as usize];
        list.push(runner);
        self.positions[runner as usize] = position_after(list);
    }

    fn remove(&mut self, position: u32, runner: u32, tier: Tier) {
        let list = &mut self.tiers[tier as usize];
        list.swap_remove(position as usize);
        if let Some(&moved) = list.get(position as usize) {
            self.positions[moved as usize] = position + 1;
        }
        self.positions[runner as usize] = 0;
    }
}

fn position_after(list: &[u32]) -> u32 {
    u32::try_from(list.len()).expect("runners are numbered in 32 bits")
}
