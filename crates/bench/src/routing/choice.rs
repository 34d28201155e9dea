//! The cost and the quality of choosing a runner.

use std::{hint::black_box, time::Instant};

use kspan_routing::choice::{Candidates, Tier};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{Comparison, Figure};

/// Runners that are chosen from.
const RUNNERS: u32 = 1_000;

/// Choices of one measurement.
const CHOICES: u32 = 200_000;

/// Longest mean time of one choice, in nanoseconds.
const CHOICE_NS: f64 = 500.0;

/// Requests in flight in the model of quality.
const IN_FLIGHT: usize = 400;

/// Runners in the model of quality; each tenth works four times as long.
const MODEL_RUNNERS: usize = 100;

/// Requests of the model of quality.
const MODEL_REQUESTS: usize = 100_000;

/// A choice that looks at every runner may be better than two choices by no more than this.
const QUALITY_RATIO: f64 = 1.25;

pub(super) fn figures() -> Vec<Figure> {
    vec![cost(), quality()]
}

fn cost() -> Figure {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let loads: Vec<f64> = (0..RUNNERS).map(|_| rng.random_range(1.0..9.0)).collect();
    let mut candidates = Candidates::new();
    for runner in 0..RUNNERS {
        candidates.set(runner, Tier::DataCentre, true);
    }
    let two = time(|| candidates.choose(&mut rng, |runner| loads[runner as usize]));
    let scan = time(|| least_loaded(&loads));
    Figure::new(
        "routing.choose_among_1000",
        two,
        "ns",
        Comparison::AtMost,
        CHOICE_NS,
    )
    .with_baseline("least-loaded scan", scan)
}

fn time<T>(mut choose: impl FnMut() -> T) -> f64 {
    let began = Instant::now();
    for _ in 0..CHOICES {
        black_box(choose());
    }
    began.elapsed().as_nanos() as f64 / f64::from(CHOICES)
}

fn least_loaded(loads: &[f64]) -> Option<usize> {
    (0..loads.len()).min_by(|a, b| loads[*a].total_cmp(&loads[*b]))
}

/// How a runner is chosen in the model of quality.
#[derive(Clone, Copy)]
enum Policy {
    TwoChoices,
    LeastLoaded,
    Random,
    RoundRobin,
}

/// Mean time of an answer when runners differ and slow down under load.
fn quality() -> Figure {
    let two = mean_latency(Policy::TwoChoices);
    let all = mean_latency(Policy::LeastLoaded);
    for (name, policy) in [
        ("random", Policy::Random),
        ("round-robin", Policy::RoundRobin),
    ] {
        println!(
            "       routing.choice: two choices take x{:.3} of {name}",
            two / mean_latency(policy)
        );
    }
    let name = "routing.choice_latency_over_least_loaded";
    Figure::new(name, two / all, "ratio", Comparison::AtMost, QUALITY_RATIO)
        .with_baseline("random", mean_latency(Policy::Random) / all)
}

fn mean_latency(policy: Policy) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut in_use = vec![0_u32; MODEL_RUNNERS];
    let speed = |runner: usize| if runner.is_multiple_of(10) { 4.0 } else { 1.0 };
    let cost = |in_use: &[u32], runner: usize| f64::from(in_use[runner] + 1) * speed(runner);
    // Requests that end in order of their end time, as (end, runner).
    let mut ends: Vec<(f64, usize)> = Vec::new();
    let (mut now, mut sum) = (0.0, 0.0);
    for request in 0..MODEL_REQUESTS {
        if ends.len() >= IN_FLIGHT {
            let next = (0..ends.len()).min_by(|a, b| ends[*a].0.total_cmp(&ends[*b].0));
            let (end, runner) = ends.swap_remove(next.expect("some are in flight"));
            now = end;
            in_use[runner] -= 1;
        }
        let runner = match policy {
            Policy::Random => rng.random_range(0..MODEL_RUNNERS),
            Policy::RoundRobin => request % MODEL_RUNNERS,
            Policy::LeastLoaded => (0..MODEL_RUNNERS)
                .min_by(|a, b| cost(&in_use, *a).total_cmp(&cost(&in_use, *b)))
                .expect("there are runners"),
            Policy::TwoChoices => {
                let (a, b) = (
                    rng.random_range(0..MODEL_RUNNERS),
                    rng.random_range(0..MODEL_RUNNERS),
                );
                if cost(&in_use, a) <= cost(&in_use, b) {
                    a
                } else {
                    b
                }
            }
        };
        let takes = cost(&in_use, runner) * rng.random_range(0.5..1.5);
        in_use[runner] += 1;
        sum += takes;
        ends.push((now + takes, runner));
    }
    sum / MODEL_REQUESTS as f64
}
