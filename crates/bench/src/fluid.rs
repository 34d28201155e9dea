//! The fluid upper bound of packing.
//!
//! If tasks were divisible and all workers formed one pool, the greatest amount that could be
//! committed would be the optimum of a linear program: choose a fraction of each task so that no
//! resource is exceeded and the sum of the shares is maximal. By weak duality, any non-negative
//! resource prices give an upper bound of that optimum; a short coordinate descent finds prices
//! that give a tight one. As the bound may lie above the optimum, a ratio to it may understate the
//! packing but never overstates it.

use std::collections::BTreeMap;

use kspan_model::Resources;

/// Rounds of the coordinate descent.
const DESCENT_ROUNDS: u32 = 40;

/// Number of requested tasks by size.
pub(crate) type Demand = BTreeMap<Resources, u64>;

/// Returns the sum, over the three resources, of the share of the capacity that an amount takes.
pub(crate) fn total_share(amount: Resources, capacity: Resources) -> f64 {
    shares(amount, capacity).iter().sum()
}

/// Returns an upper bound of the [`total_share`] of the capacity that the demand can take.
pub(crate) fn upper_bound(demand: &Demand, capacity: Resources) -> f64 {
    let task_shares: Vec<([f64; 3], f64)> = demand
        .iter()
        .map(|(size, count)| (shares(*size, capacity), *count as f64))
        .collect();
    let mut prices = [1.0; 3];
    let mut best = dual_objective(&task_shares, prices);
    let mut step = 0.5;
    for _ in 0..DESCENT_ROUNDS {
        let mut improved = false;
        for resource in 0..prices.len() {
            for direction in [-step, step] {
                let mut candidate = prices;
                candidate[resource] = f64::max(0.0, candidate[resource] + direction);
                let bound = dual_objective(&task_shares, candidate);
                if bound < best {
                    (best, prices, improved) = (bound, candidate, true);
                }
            }
        }
        if !improved {
            step /= 2.0;
        }
    }
    best
}

/// Returns the objective of the dual program at the given prices: the price of the whole capacity
/// plus the amount by which the value of each task exceeds its price.
fn dual_objective(task_shares: &[([f64; 3], f64)], prices: [f64; 3]) -> f64 {
    let surpluses = task_shares.iter().map(|(shares, count)| {
        let price: f64 = shares
            .iter()
            .zip(prices)
            .map(|(share, price)| share * price)
            .sum();
        count * (shares.iter().sum::<f64>() - price).max(0.0)
    });
    prices.iter().sum::<f64>() + surpluses.sum::<f64>()
}

fn shares(amount: Resources, capacity: Resources) -> [f64; 3] {
    let share = |quantity: u64, total: u64| quantity as f64 / total.max(1) as f64;
    [
        share(amount.cpu_milli, capacity.cpu_milli),
        share(amount.memory_mib, capacity.memory_mib),
        share(amount.accelerators, capacity.accelerators),
    ]
}
