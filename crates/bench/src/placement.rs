//! Figures on the quality of placement decisions: packing, waiting times, and the measure that each
//! preset optimises.

use kspan_model::{
    Millis, Priority,
    document::{Policy, Preset},
};

use crate::{
    Comparison, Figure,
    baseline::Heuristic,
    replay::{ReplayResult, Scheduler, replay},
    trace::{Parameters, Trace, Traces},
};

/// Minimum packing, as a fraction of the fluid bound.
const MIN_PACKING: f64 = 0.95;
/// Minimum lead in packing over each baseline, in percentage points.
const MIN_LEAD_POINTS: f64 = 3.0;
/// Maximum 99th percentile of the waiting time of urgent jobs, in milliseconds.
const MAX_URGENT_WAIT_P99_MS: f64 = 1_000.0;

/// Figures, and the curves for the charts.
#[derive(Default)]
pub(crate) struct PlacementResults {
    pub(crate) figures: Vec<Figure>,
    /// Committed fraction of the processors over time, by scheduler.
    pub(crate) committed_over_time: Vec<(&'static str, Vec<(f64, f64)>)>,
    /// Mean waiting time in seconds against load, by preset.
    pub(crate) wait_by_load: Vec<(&'static str, Vec<(f64, f64)>)>,
}

/// Replays every trace, several in parallel, and returns the figures.
pub(crate) fn measure() -> PlacementResults {
    let traces = Traces::embedded();
    let mut results = PlacementResults::default();
    std::thread::scope(|scope| {
        let packing = scope.spawn(|| measure_packing(&traces.mixed));
        let presets = scope.spawn(|| measure_presets(&traces.bursty));
        let urgent = scope.spawn(|| measure_urgent(&traces.urgent));
        for partial in [packing, presets, urgent] {
            let partial = partial.join().expect("replays do not panic");
            results.figures.extend(partial.figures);
            results
                .committed_over_time
                .extend(partial.committed_over_time);
            results.wait_by_load.extend(partial.wait_by_load);
        }
    });
    results
}

fn run_replay(parameters: &Parameters, trace: &Trace, scheduler: Scheduler) -> ReplayResult {
    let duration = Millis::from_secs(parameters.duration_s);
    replay(trace, scheduler, duration, parameters.commit_at_most)
}

fn measure_packing(parameters: &Parameters) -> PlacementResults {
    let trace = parameters.generate();
    let schedulers = [
        Scheduler::cell(Policy::new(Preset::PackingFirst), &trace),
        Scheduler::baseline(Heuristic::FirstFit, &trace),
        Scheduler::baseline(Heuristic::BestFit, &trace),
        Scheduler::baseline(Heuristic::Random, &trace),
    ];
    let trace = &trace;
    let replayed: Vec<ReplayResult> = std::thread::scope(|scope| {
        let runs =
            schedulers.map(|scheduler| scope.spawn(|| run_replay(parameters, trace, scheduler)));
        let replayed = runs.map(|run| run.join().expect("replays do not panic"));
        replayed.into_iter().collect()
    });
    let [cell, first_fit, best_fit, random] = &replayed[..] else {
        unreachable!("one result for each of the four schedulers");
    };
    let lead_over = |other: &ReplayResult| (cell.packing - other.packing) * 100.0;
    let figures = vec![
        at_least("packing.against-fluid-bound", cell.packing, "", MIN_PACKING)
            .with_baseline("random", random.packing),
        at_least(
            "packing.lead-over-first-fit",
            lead_over(first_fit),
            "points",
            MIN_LEAD_POINTS,
        ),
        at_least(
            "packing.lead-over-best-fit",
            lead_over(best_fit),
            "points",
            MIN_LEAD_POINTS,
        ),
        Figure::new(
            "packing.stranded-accelerators",
            cell.stranded / first_fit.stranded,
            "of first-fit's",
            Comparison::AtMost,
            1.0,
        ),
    ];
    let committed_over_time = vec![
        ("packing-first", cell.committed_over_time.clone()),
        ("first fit", first_fit.committed_over_time.clone()),
        ("best fit", best_fit.committed_over_time.clone()),
        ("random", random.committed_over_time.clone()),
    ];
    PlacementResults {
        figures,
        committed_over_time,
        ..PlacementResults::default()
    }
}

/// Replays one trace under both presets and compares each with the other on the measure that it
/// optimises.
fn measure_presets(parameters: &Parameters) -> PlacementResults {
    let loads = [0.6, parameters.load, 1.05];
    let mut wait_by_load = vec![("waiting-first", Vec::new()), ("packing-first", Vec::new())];
    let mut figures = Vec::new();
    for load in loads {
        let parameters = parameters.clone().with_load(load);
        let trace = parameters.generate();
        let replayed = [Preset::WaitingFirst, Preset::PackingFirst].map(|preset| {
            run_replay(
                &parameters,
                &trace,
                Scheduler::cell(Policy::new(preset), &trace),
            )
        });
        for ((_, curve), result) in wait_by_load.iter_mut().zip(&replayed) {
            curve.push((load, result.mean_wait(Priority::Normal) / 1_000.0));
        }
        if load == loads[1] {
            figures = preset_figures(&replayed);
        }
    }
    PlacementResults {
        figures,
        wait_by_load,
        ..PlacementResults::default()
    }
}

fn preset_figures([waiting, packing]: &[ReplayResult; 2]) -> Vec<Figure> {
    let wait = |result: &ReplayResult| result.mean_wait(Priority::Normal);
    vec![
        Figure::new(
            "presets.wait-of-waiting-first",
            wait(waiting) / wait(packing),
            "of packing-first's",
            Comparison::AtMost,
            1.0,
        ),
        at_least(
            "presets.packing-of-packing-first",
            packing.density / waiting.density,
            "of waiting-first's",
            1.0,
        ),
    ]
}

fn measure_urgent(parameters: &Parameters) -> PlacementResults {
    let trace = parameters.generate();
    let policy = Policy::new(Preset::WaitingFirst);
    let result = run_replay(parameters, &trace, Scheduler::cell(policy, &trace));
    let baseline = run_replay(
        parameters,
        &trace,
        Scheduler::baseline(Heuristic::FirstFit, &trace),
    );
    let p99 = |result: &ReplayResult| result.wait_quantile(Priority::Urgent, 0.99);
    PlacementResults {
        figures: vec![
            Figure::new(
                "urgent.wait-p99",
                p99(&result),
                "ms",
                Comparison::AtMost,
                MAX_URGENT_WAIT_P99_MS,
            )
            .with_baseline("first-fit", p99(&baseline)),
            // The waiting time is meaningful only in a cell that is nearly full.
            at_least("urgent.cell-committed", result.mean_committed(), "", 0.9),
        ],
        ..PlacementResults::default()
    }
}

fn at_least(name: &str, measured: f64, unit: &'static str, target: f64) -> Figure {
    Figure::new(name, measured, unit, Comparison::AtLeast, target)
}
