//! Choice among the runners that have a free slot, by the power of two random choices.
//!
//! Of two runners drawn at random the one of lower cost is chosen. This is nearly as good as
//! comparing all runners, takes constant time, and keeps the routers from all choosing the same
//! runner at once. Runners are grouped in tiers by distance; a farther tier is used only when no
//! runner of a nearer one is free.

use derive_more::Display;
use rand::Rng;

/// Distance of a runner from this router, nearest first.
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

/// All tiers, nearest first.
pub const TIERS: [Tier; 3] = [Tier::DataCentre, Tier::Region, Tier::Remote];

/// The runners of a service that have a free slot, as numbers assigned by the user of this type.
///
/// Adding, removing and choosing take constant time.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    tiers: [Vec<u32>; 3],
    /// Position of each runner in its tier plus one, or zero if it is absent.
    positions: Vec<u32>,
}

impl Candidates {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds `runner` to its tier if it is free, and removes it otherwise.
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

    /// Returns whether no runner is free.
    pub fn is_empty(&self) -> bool {
        self.tiers.iter().all(Vec::is_empty)
    }

    /// Draws two runners of the nearest tier that has any and returns the one of lower `cost`.
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
