//! Cost of choosing a runner, and the latency that results from the choice.

use std::{hint::black_box, time::Instant};

use kspan_routing::choice::{Candidates, Tier};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{Comparison, Figure};

/// Number of runners among which one is chosen.
const CANDIDATES: u32 = 1_000;

/// Number of choices over which the mean time is taken.
const ITERATIONS: u32 = 200_000;

/// Maximum mean time of one choice, in nanoseconds.
const MAX_CHOICE_NS: f64 = 500.0;

/// Requests in flight in the latency simulation.
const REQUESTS_IN_FLIGHT: usize = 400;

/// Runners in the latency simulation, of which every tenth is four times slower.
const SIMULATED_RUNNERS: usize = 100;

/// Requests in the latency simulation.
const SIMULATED_REQUESTS: usize = 100_000;

/// Maximum ratio of the mean latency with two random choices to that with a least-loaded scan.
const MAX_LATENCY_RATIO: f64 = 1.25;

pub(super) fn figures() -> Vec<Figure> {
    vec![choice_cost(), choice_latency()]
}

fn choice_cost() -> Figure {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let loads: Vec<f64> = (0..CANDIDATES)
        .map(|_| rng.random_range(1.0..9.0))
        .collect();
    let mut candidates = Candidates::new();
    for runner in 0..CANDIDATES {
        candidates.set(runner, Tier::DataCentre, true);
    }
    let two_choices = mean_nanos(|| candidates.choose(&mut rng, |runner| loads[runner as usize]));
    let full_scan = mean_nanos(|| least_loaded(&loads));
    Figure::new(
        "routing.choose_among_1000",
        two_choices,
        "ns",
        Comparison::AtMost,
        MAX_CHOICE_NS,
    )
    .with_baseline("least-loaded scan", full_scan)
}

fn mean_nanos<T>(mut choose: impl FnMut() -> T) -> f64 {
    let begin = Instant::now();
    for _ in 0..ITERATIONS {
        black_box(choose());
    }
    begin.elapsed().as_nanos() as f64 / f64::from(ITERATIONS)
}

fn least_loaded(loads: &[f64]) -> Option<usize> {
    (0..loads.len()).min_by(|a, b| loads[*a].total_cmp(&loads[*b]))
}

/// Policy by which a runner is chosen in the latency simulation.
#[derive(Clone, Copy)]
enum Policy {
    TwoChoices,
    LeastLoaded,
    Random,
    RoundRobin,
}

/// Compares the mean latency of two random choices with that of other policies, on runners that
/// differ in speed and slow down under load.
fn choice_latency() -> Figure {
    let two_choices = mean_latency(Policy::TwoChoices);
    let full_scan = mean_latency(Policy::LeastLoaded);
    for (name, policy) in [
        ("random", Policy::Random),
        ("round-robin", Policy::RoundRobin),
    ] {
        println!(
            "       routing.choice: mean latency of two choices is x{:.3} of {name}",
            two_choices / mean_latency(policy)
        );
    }
    let name = "routing.choice_latency_over_least_loaded";
    Figure::new(
        name,
        two_choices / full_scan,
        "ratio",
        Comparison::AtMost,
        MAX_LATENCY_RATIO,
    )
    .with_baseline("random", mean_latency(Policy::Random) / full_scan)
}

fn mean_latency(policy: Policy) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut load = vec![0_u32; SIMULATED_RUNNERS];
    let slowdown = |runner: usize| if runner.is_multiple_of(10) { 4.0 } else { 1.0 };
    let latency_on = |load: &[u32], runner: usize| f64::from(load[runner] + 1) * slowdown(runner);
    // Requests in flight, as (end time, runner).
    let mut in_flight: Vec<(f64, usize)> = Vec::new();
    let (mut now, mut total_latency) = (0.0, 0.0);
    for request in 0..SIMULATED_REQUESTS {
        if in_flight.len() >= REQUESTS_IN_FLIGHT {
            let next =
                (0..in_flight.len()).min_by(|a, b| in_flight[*a].0.total_cmp(&in_flight[*b].0));
            let (end, runner) = in_flight.swap_remove(next.expect("requests are in flight"));
            now = end;
            load[runner] -= 1;
        }
        let runner = match policy {
            Policy::Random => rng.random_range(0..SIMULATED_RUNNERS),
            Policy::RoundRobin => request % SIMULATED_RUNNERS,
            Policy::LeastLoaded => (0..SIMULATED_RUNNERS)
                .min_by(|a, b| latency_on(&load, *a).total_cmp(&latency_on(&load, *b)))
                .expect("the simulation has runners"),
            Policy::TwoChoices => {
                let (a, b) = (
                    rng.random_range(0..SIMULATED_RUNNERS),
                    rng.random_range(0..SIMULATED_RUNNERS),
                );
                if latency_on(&load, a) <= latency_on(&load, b) {
                    a
                } else {
                    b
                }
            }
        };
        let latency = latency_on(&load, runner) * rng.random_range(0.5..1.5);
        load[runner] += 1;
        total_latency += latency;
        in_flight.push((now + latency, runner));
    }
    total_latency / SIMULATED_REQUESTS as f64
}
