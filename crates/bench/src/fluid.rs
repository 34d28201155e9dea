//! The fluid upper bound of packing.
//!
//! If tasks were divisible and all workers one, the most that could be committed is a linear
//! program: choose a part of each wanted task so that no resource is exceeded and the sum of the
//! shares is greatest. Any prices give an upper bound of it; a short descent finds good ones. As
//! the bound may be above the optimum, a ratio to it is never flattered.

use std::collections::BTreeMap;

use kspan_model::Resources;

/// Rounds of the descent.
const ROUNDS: u32 = 40;

/// Wanted tasks by size.
pub(crate) type Demand = BTreeMap<Resources, u64>;

/// Returns the sum of the three shares that an amount takes of a capacity.
pub(crate) fn value(amount: Resources, capacity: Resources) -> f64 {
    shares(amount, capacity).iter().sum()
}

/// Returns an upper bound of the value that the demand can take of the capacity.
pub(crate) fn upper_bound(demand: &Demand, capacity: Resources) -> f64 {
    let wanted: Vec<([f64; 3], f64)> = demand
        .iter()
        .map(|(size, count)| (shares(*size, capacity), *count as f64))
        .collect();
    let mut prices = [1.0; 3];
    let mut best = bound_at(&wanted, prices);
    let mut stride = 0.5;
    for _ in 0..ROUNDS {
        let mut improved = false;
        for resource in 0..prices.len() {
            for direction in [-stride, stride] {
                let mut tried = prices;
                tried[resource] = f64::max(0.0, tried[resource] + direction);
                let bound = bound_at(&wanted, tried);
                if bound < best {
                    (best, prices, improved) = (bound, tried, true);
                }
            }
        }
        if !improved {
            stride /= 2.0;
        }
    }
    best
}

/// Returns the bound that prices give: the price of all capacity and what the tasks gain above
/// their price.
fn bound_at(wanted: &[([f64; 3], f64)], prices: [f64; 3]) -> f64 {
    let gains = wanted.iter().map(|(shares, count)| {
        let price: f64 = shares
            .iter()
            .zip(prices)
            .map(|(share, price)| share * price)
            .sum();
        count * (shares.iter().sum::<f64>() - price).max(0.0)
    });
    prices.iter().sum::<f64>() + gains.sum::<f64>()
}

fn shares(amount: Resources, capacity: Resources) -> [f64; 3] {
    let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
    [
        share(amount.cpu_milli, capacity.cpu_milli),
        share(amount.memory_mib, capacity.memory_mib),
        share(amount.accelerators, capacity.accelerators),
    ]
}
