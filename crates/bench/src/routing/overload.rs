//! Figures on routing under overload, while one caller floods the router, and while runners fail.

use kspan_model::{Millis, Name};

use super::simulation::{RequestRecord, Setup, Simulation};
use crate::{Comparison, Figure};

/// A service with the number of runners that the users run per service.
const SETUP: Setup = Setup {
    runners: 50,
    service_ms: 20,
    retry_budget: 0.1,
    failure_fraction: 0.0,
    seed: 1,
};

/// Time from the arrival of a request to its deadline.
const REQUEST_TIMEOUT: Millis = Millis(500);

/// Time under load before the measured interval, in milliseconds.
const WARM_UP_MS: u64 = 1_000;

/// Length of the measured interval, in milliseconds.
const MEASURED_MS: u64 = 2_000;

/// Time under load after the measured interval, in milliseconds, so that every measured request
/// reaches its deadline under load.
const COOL_DOWN_MS: u64 = 600;

/// Minimum goodput under overload, as a fraction of capacity.
const MIN_GOODPUT: f64 = 0.9;

/// Maximum time from the arrival of a request to its refusal, in milliseconds.
const MAX_REFUSAL_MS: f64 = 50.0;

/// Minimum fraction of admitted requests that are answered within their deadline.
const MIN_IN_TIME: f64 = 1.0;

/// Minimum fraction of the requests of a caller with modest load that run while another caller
/// floods the router.
const MIN_MODEST_RAN: f64 = 0.99;

/// Maximum dispatches per request while every dispatch fails: the first one, and the tenth that the
/// retry budget allows.
const MAX_DISPATCHES_PER_REQUEST: f64 = 1.1;

pub(super) fn figures() -> Vec<Figure> {
    let mut figures = overload_figures(2.0);
    figures.extend(overload_figures(5.0));
    figures.push(flood_figure());
    figures.push(amplification_figure());
    figures
}

/// Requests that arrived in the measured interval.
struct MeasuredRequests {
    requests: Vec<RequestRecord>,
    capacity: f64,
}

impl MeasuredRequests {
    /// Returns the rate of answers within the deadline, as a fraction of capacity.
    fn goodput(&self) -> f64 {
        let in_time =
            |record: &&RequestRecord| record.answered.is_some_and(|at| at <= record.deadline);
        let in_time = self.requests.iter().filter(in_time).count() as f64;
        in_time * 1_000.0 / MEASURED_MS as f64 / self.capacity
    }

    /// Returns the longest time from the arrival of a request to its refusal, in milliseconds.
    fn slowest_refusal_ms(&self) -> f64 {
        let refused = self
            .requests
            .iter()
            .filter_map(|record| Some((record.arrived, record.refused?)));
        let delays = refused.map(|(arrived, refused)| refused.saturating_sub(arrived).0);
        delays.max().unwrap_or(0) as f64
    }

    /// Returns the fraction of admitted requests that were answered within their deadline.
    fn in_time(&self) -> f64 {
        let admitted = self
            .requests
            .iter()
            .filter(|record| record.refused.is_none());
        let in_time =
            |record: &&RequestRecord| record.answered.is_some_and(|at| at <= record.deadline);
        let count = admitted.clone().count().max(1) as f64;
        admitted.filter(in_time).count() as f64 / count
    }
}

fn simulate(setup: Setup, loads: &[(&str, f64)], max_blind_retries: u32) -> MeasuredRequests {
    let mut simulation = Simulation::new(setup);
    simulation.max_blind_retries = max_blind_retries;
    let capacity = simulation.capacity();
    let loads: Vec<(Name, f64)> = loads
        .iter()
        .map(|(caller, load)| (Name::new(caller), load * capacity))
        .collect();
    let load = |simulation: &mut Simulation| {
        for (caller, rate) in &loads {
            for _ in 0..simulation.draw_arrivals(*rate) {
                simulation.submit(caller, REQUEST_TIMEOUT);
            }
        }
    };
    simulation.advance(WARM_UP_MS, load);
    let measured_from = simulation.now;
    simulation.advance(MEASURED_MS, load);
    let measured_until = simulation.now;
    simulation.advance(COOL_DOWN_MS, load);
    let measured =
        |record: &RequestRecord| record.arrived > measured_from && record.arrived <= measured_until;
    MeasuredRequests {
        requests: simulation.requests.into_values().filter(measured).collect(),
        capacity,
    }
}

fn overload_figures(load_factor: f64) -> Vec<Figure> {
    let measured = simulate(
        SETUP,
        &[("a", load_factor / 2.0), ("b", load_factor / 2.0)],
        0,
    );
    let name = |what: &str| format!("routing.{what}_at_{load_factor}x");
    vec![
        Figure::new(
            &name("goodput"),
            measured.goodput(),
            "of capacity",
            Comparison::AtLeast,
            MIN_GOODPUT,
        ),
        Figure::new(
            &name("slowest_refusal"),
            measured.slowest_refusal_ms(),
            "ms",
            Comparison::AtMost,
            MAX_REFUSAL_MS,
        ),
        Figure::new(
            &name("admitted_in_time"),
            measured.in_time(),
            "of admitted",
            Comparison::AtLeast,
            MIN_IN_TIME,
        ),
    ]
}

fn flood_figure() -> Figure {
    let measured = simulate(SETUP, &[("flood", 5.0), ("modest", 0.3)], 0);
    let modest = measured
        .requests
        .iter()
        .filter(|record| record.caller.as_str() == "modest");
    let ran = modest
        .clone()
        .filter(|record| record.answered.is_some())
        .count() as f64;
    let ran_fraction = ran / modest.count().max(1) as f64;
    Figure::new(
        "routing.modest_caller_under_flood",
        ran_fraction,
        "ran",
        Comparison::AtLeast,
        MIN_MODEST_RAN,
    )
}

/// Measures dispatches per request while every dispatch fails, with the retry budget and with blind
/// retries.
fn amplification_figure() -> Figure {
    let setup = Setup {
        failure_fraction: 1.0,
        ..SETUP
    };
    let per_request = |max_blind_retries| {
        let measured = simulate(setup, &[("a", 0.1)], max_blind_retries);
        let dispatches: u32 = measured
            .requests
            .iter()
            .map(|record| record.dispatches)
            .sum();
        f64::from(dispatches) / measured.requests.len().max(1) as f64
    };
    let name = "routing.dispatches_a_request_in_outage";
    Figure::new(
        name,
        per_request(0),
        "dispatches",
        Comparison::AtMost,
        MAX_DISPATCHES_PER_REQUEST,
    )
    .with_baseline("three retries without budget", per_request(3))
}
