//! A whole run: every figure, printed and written.

use std::{
    io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use quick_error::quick_error;
use serde::Serialize;

use crate::{
    Figure,
    chart::{self, Chart, Line},
    cost, placement, routing,
};

quick_error! {
    /// Why a run could not be carried out.
    #[derive(Debug)]
    pub enum Error {
        /// A file could not be written.
        Write(path: PathBuf, err: io::Error) {
            display("cannot write {}: {err}", path.display())
            source(err)
        }
        /// A chart could not be drawn.
        Draw(path: PathBuf, reason: String) {
            display("cannot draw {}: {reason}", path.display())
        }
    }
}

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What a run is to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BenchOptions {
    /// Whether a missed target is an error; the caller of [`run`] heeds it.
    pub check: bool,
    /// Directory for the charts.
    pub plot: Option<PathBuf>,
    /// File for the figures as JSON.
    pub out: PathBuf,
}

/// The figures of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The figures.
    pub figures: Vec<Figure>,
}

impl Report {
    fn print_all(&mut self, figures: Vec<Figure>) {
        for figure in &figures {
            println!("{}", figure.line());
        }
        self.figures.extend(figures);
    }

    /// Returns the figures that miss their target.
    pub fn misses(&self) -> Vec<&Figure> {
        let figures = self.figures.iter();
        figures.filter(|figure| !figure.is_met()).collect()
    }
}

/// Measures everything, prints a line for each figure and writes the files asked for.
///
/// # Errors
///
/// Returns an error if a file cannot be written. A missed target is no error; see
/// [`Report::misses`].
pub fn run(options: &BenchOptions) -> Result<Report> {
    let mut report = Report {
        figures: Vec::new(),
    };
    let (costs, curve) = cost::figures();
    report.print_all(costs);
    let decided = placement::decided();
    report.print_all(decided.figures);
    if let Some(directory) = &options.plot {
        plot(directory, curve, &decided.waits, &decided.over_time)?;
    }
    report.print_all(routing::figures());
    write_json(options, &report)?;
    Ok(report)
}

fn plot(directory: &Path, costs: Vec<(f64, f64)>, waits: &[Line], packing: &[Line]) -> Result<()> {
    let failed = |err| Error::Write(directory.to_owned(), err);
    std::fs::create_dir_all(directory).map_err(failed)?;
    let cost = [("mean", costs)];
    let charts = [
        (
            "cost.svg",
            "Cost of a placement",
            "workers",
            "us",
            &cost[..],
        ),
        (
            "waiting.svg",
            "Mean wait by preset",
            "offered load",
            "s",
            waits,
        ),
        (
            "packing.svg",
            "Committed processors over time",
            "s",
            "part",
            packing,
        ),
    ];
    for (file, title, across, up, lines) in charts {
        let path = directory.join(file);
        let chart = Chart {
            title,
            across,
            up,
            lines,
        };
        chart::draw(&path, &chart).map_err(|err| Error::Draw(path, err))?;
    }
    Ok(())
}

/// Runs everything and returns the exit code: 1 if a file could not be written, or if a target
/// was missed and the options ask for a check.
pub fn main_with(options: &BenchOptions) -> ExitCode {
    let report = match run(options) {
        Ok(report) => report,
        Err(err) => {
            eprintln!("bench: {err}");
            return ExitCode::FAILURE;
        }
    };
    let missed = report.misses().len();
    println!("{missed} of {} targets missed", report.figures.len());
    if options.check && missed > 0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn write_json(options: &BenchOptions, report: &Report) -> Result<()> {
    let text = serde_json::to_string_pretty(report).expect("figures are plain data");
    std::fs::write(&options.out, text).map_err(|err| Error::Write(options.out.clone(), err))
}
