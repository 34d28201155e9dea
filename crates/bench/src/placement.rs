//! Figures of what the placement decides: packing, waiting, and what each preset is for.

use kspan_model::{
    Millis, Priority,
    document::{Policy, Preset},
};

use crate::{
    Comparison, Figure,
    baseline::Choice,
    replay::{Measured, Scheduler, replay},
    trace::{Parameters, Trace, Traces},
};

/// Packing that must be reached, as a part of the fluid bound.
const PACKING: f64 = 0.95;
/// Lead over each baseline that must be reached, in points.
const LEAD: f64 = 3.0;
/// Longest waiting time of urgent work that is allowed at the 99th percentile.
const URGENT_P99_MS: f64 = 1_000.0;

/// Figures with the curves for the charts.
#[derive(Default)]
pub(crate) struct Decided {
    pub(crate) figures: Vec<Figure>,
    /// Committed part of the processors over time, by scheduler.
    pub(crate) over_time: Vec<(&'static str, Vec<(f64, f64)>)>,
    /// Mean waiting time in seconds against load, by preset.
    pub(crate) waits: Vec<(&'static str, Vec<(f64, f64)>)>,
}

/// Replays the traces, several at a time.
pub(crate) fn decided() -> Decided {
    let traces = Traces::embedded();
    let mut decided = Decided::default();
    std::thread::scope(|scope| {
        let packing = scope.spawn(|| packing(&traces.mixed));
        let presets = scope.spawn(|| presets(&traces.bursty));
        let urgent = scope.spawn(|| urgent(&traces.urgent));
        for part in [packing, presets, urgent] {
            let part = part.join().expect("replays do not panic");
            decided.figures.extend(part.figures);
            decided.over_time.extend(part.over_time);
            decided.waits.extend(part.waits);
        }
    });
    decided
}

fn run(parameters: &Parameters, trace: &Trace, scheduler: Scheduler) -> Measured {
    let duration = Millis::from_secs(parameters.duration_s);
    replay(trace, scheduler, duration, parameters.commit_at_most)
}

fn packing(parameters: &Parameters) -> Decided {
    let trace = parameters.generate();
    let schedulers = [
        Scheduler::cell(Policy::new(Preset::PackingFirst), &trace),
        Scheduler::baseline(Choice::FirstFit, &trace),
        Scheduler::baseline(Choice::BestFit, &trace),
        Scheduler::baseline(Choice::Random, &trace),
    ];
    let trace = &trace;
    let measured: Vec<Measured> = std::thread::scope(|scope| {
        let runs = schedulers.map(|scheduler| scope.spawn(|| run(parameters, trace, scheduler)));
        let measured = runs.map(|run| run.join().expect("replays do not panic"));
        measured.into_iter().collect()
    });
    let [cell, first_fit, best_fit, random] = &measured[..] else {
        unreachable!("four schedulers were replayed");
    };
    let lead = |other: &Measured| (cell.packing - other.packing) * 100.0;
    let figures = vec![
        at_least("packing.against-fluid-bound", cell.packing, "", PACKING)
            .with_baseline("random", random.packing),
        at_least(
            "packing.lead-over-first-fit",
            lead(first_fit),
            "points",
            LEAD,
        ),
        at_least("packing.lead-over-best-fit", lead(best_fit), "points", LEAD),
        Figure::new(
            "packing.stranded-accelerators",
            cell.stranded / first_fit.stranded,
            "of first-fit's",
            Comparison::AtMost,
            1.0,
        ),
    ];
    let over_time = vec![
        ("packing-first", cell.over_time.clone()),
        ("first fit", first_fit.over_time.clone()),
        ("best fit", best_fit.over_time.clone()),
        ("random", random.over_time.clone()),
    ];
    Decided {
        figures,
        over_time,
        ..Decided::default()
    }
}

/// Replays one trace under both presets: each must win its own measure.
fn presets(parameters: &Parameters) -> Decided {
    let loads = [0.6, parameters.load, 1.05];
    let mut waits = vec![("waiting-first", Vec::new()), ("packing-first", Vec::new())];
    let mut figures = Vec::new();
    for load in loads {
        let parameters = parameters.clone().scaled(load);
        let trace = parameters.generate();
        let replayed = [Preset::WaitingFirst, Preset::PackingFirst].map(|preset| {
            run(
                &parameters,
                &trace,
                Scheduler::cell(Policy::new(preset), &trace),
            )
        });
        for ((_, curve), measured) in waits.iter_mut().zip(&replayed) {
            curve.push((load, measured.mean_wait(Priority::Normal) / 1_000.0));
        }
        if load == loads[1] {
            figures = preset_figures(&replayed);
        }
    }
    Decided {
        figures,
        waits,
        ..Decided::default()
    }
}

fn preset_figures([waiting, packing]: &[Measured; 2]) -> Vec<Figure> {
    let wait = |measured: &Measured| measured.mean_wait(Priority::Normal);
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

fn urgent(parameters: &Parameters) -> Decided {
    let trace = parameters.generate();
    let policy = Policy::new(Preset::WaitingFirst);
    let measured = run(parameters, &trace, Scheduler::cell(policy, &trace));
    let baseline = run(
        parameters,
        &trace,
        Scheduler::baseline(Choice::FirstFit, &trace),
    );
    let p99 = |measured: &Measured| measured.wait_quantile(Priority::Urgent, 0.99);
    Decided {
        figures: vec![
            Figure::new(
                "urgent.wait-p99",
                p99(&measured),
                "ms",
                Comparison::AtMost,
                URGENT_P99_MS,
            )
            .with_baseline("first-fit", p99(&baseline)),
            // The wait is only worth something while the cell is as full as the target says.
            at_least("urgent.cell-committed", measured.mean_committed(), "", 0.9),
        ],
        ..Decided::default()
    }
}

fn at_least(name: &str, measured: f64, unit: &'static str, target: f64) -> Figure {
    Figure::new(name, measured, unit, Comparison::AtLeast, target)
}
