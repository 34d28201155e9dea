//! What happens when more is asked than runners can do, when one caller floods, and when runners
//! fail.

use kspan_model::{Millis, Name};

use super::model::{Fate, Model, Setup};
use crate::{Comparison, Figure};

/// Today's runners of one service.
const SETUP: Setup = Setup {
    runners: 50,
    service_ms: 20,
    retry_budget: 0.1,
    failing: 0.0,
    seed: 1,
};

/// Time that a request has.
const PATIENCE: Millis = Millis(500);

/// Load before anything is counted, in milliseconds.
const WARM_UP_MS: u64 = 1_000;

/// Load that is counted, in milliseconds.
const COUNTED_MS: u64 = 2_000;

/// Load after what is counted, so that every counted request meets its fate under load.
const COOL_DOWN_MS: u64 = 600;

/// Least goodput under overload, as a fraction of capacity.
const GOODPUT: f64 = 0.9;

/// Longest time until a request that will not run is told so, in milliseconds.
const REFUSAL_MS: f64 = 50.0;

/// Least fraction of admitted requests that keep their deadline.
const IN_TIME: f64 = 1.0;

/// Least fraction of a modest caller's requests that run while another floods.
const FAIR: f64 = 0.99;

/// Most dispatches a request while everything fails: one, and the budget's tenth.
const AMPLIFICATION: f64 = 1.1;

pub(super) fn figures() -> Vec<Figure> {
    let mut figures = overload(2.0);
    figures.extend(overload(5.0));
    figures.push(flood());
    figures.push(amplification());
    figures
}

/// What became of the requests of the counted time.
struct Counted {
    fates: Vec<Fate>,
    capacity: f64,
}

impl Counted {
    /// Returns answers within the deadline, as a fraction of capacity.
    fn goodput(&self) -> f64 {
        let good = |fate: &&Fate| fate.answered.is_some_and(|at| at <= fate.deadline);
        let good = self.fates.iter().filter(good).count() as f64;
        good * 1_000.0 / COUNTED_MS as f64 / self.capacity
    }

    /// Returns the longest time until a request was refused.
    fn slowest_refusal(&self) -> f64 {
        let refused = self
            .fates
            .iter()
            .filter_map(|fate| Some((fate.arrived, fate.refused?)));
        let waits = refused.map(|(arrived, refused)| refused.saturating_sub(arrived).0);
        waits.max().unwrap_or(0) as f64
    }

    /// Returns the fraction of admitted requests that were answered within their deadline.
    fn in_time(&self) -> f64 {
        let admitted = self.fates.iter().filter(|fate| fate.refused.is_none());
        let in_time = |fate: &&Fate| fate.answered.is_some_and(|at| at <= fate.deadline);
        let count = admitted.clone().count().max(1) as f64;
        admitted.filter(in_time).count() as f64 / count
    }
}

fn run(setup: Setup, loads: &[(&str, f64)], blind_retries: u32) -> Counted {
    let mut model = Model::new(setup);
    model.blind_retries = blind_retries;
    let capacity = model.capacity();
    let loads: Vec<(Name, f64)> = loads
        .iter()
        .map(|(caller, load)| (Name::new(caller), load * capacity))
        .collect();
    let load = |model: &mut Model| {
        for (caller, rate) in &loads {
            for _ in 0..model.arrivals(*rate) {
                model.submit(caller, PATIENCE);
            }
        }
    };
    model.run(WARM_UP_MS, load);
    let from = model.now;
    model.run(COUNTED_MS, load);
    let to = model.now;
    model.run(COOL_DOWN_MS, load);
    let counted = |fate: &Fate| fate.arrived > from && fate.arrived <= to;
    Counted {
        fates: model.fates.into_values().filter(counted).collect(),
        capacity,
    }
}

fn overload(times: f64) -> Vec<Figure> {
    let counted = run(SETUP, &[("a", times / 2.0), ("b", times / 2.0)], 0);
    let name = |what: &str| format!("routing.{what}_at_{times}x");
    vec![
        Figure::new(
            &name("goodput"),
            counted.goodput(),
            "of capacity",
            Comparison::AtLeast,
            GOODPUT,
        ),
        Figure::new(
            &name("slowest_refusal"),
            counted.slowest_refusal(),
            "ms",
            Comparison::AtMost,
            REFUSAL_MS,
        ),
        Figure::new(
            &name("admitted_in_time"),
            counted.in_time(),
            "of admitted",
            Comparison::AtLeast,
            IN_TIME,
        ),
    ]
}

fn flood() -> Figure {
    let counted = run(SETUP, &[("flood", 5.0), ("modest", 0.3)], 0);
    let modest = counted
        .fates
        .iter()
        .filter(|fate| fate.caller.as_str() == "modest");
    let ran = modest
        .clone()
        .filter(|fate| fate.answered.is_some())
        .count() as f64;
    let share = ran / modest.count().max(1) as f64;
    Figure::new(
        "routing.modest_caller_under_flood",
        share,
        "ran",
        Comparison::AtLeast,
        FAIR,
    )
}

/// Dispatches a request while every runner fails, with the budget and with blind retries.
fn amplification() -> Figure {
    let setup = Setup {
        failing: 1.0,
        ..SETUP
    };
    let per_request = |blind_retries| {
        let counted = run(setup, &[("a", 0.1)], blind_retries);
        let dispatches: u32 = counted.fates.iter().map(|fate| fate.dispatches).sum();
        f64::from(dispatches) / counted.fates.len().max(1) as f64
    };
    let name = "routing.dispatches_a_request_in_outage";
    Figure::new(
        name,
        per_request(0),
        "dispatches",
        Comparison::AtMost,
        AMPLIFICATION,
    )
    .with_baseline("three retries without budget", per_request(3))
}
