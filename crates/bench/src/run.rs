//! Runs every benchmark, prints the figures and writes them to files.

use std::{
    io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use quick_error::quick_error;
use serde::Serialize;

use crate::{
    Figure,
    chart::{self, Chart, Series},
    cost, placement, routing,
};

quick_error! {
    /// Reason for which a run failed.
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

/// Result of a benchmark run.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Options of a benchmark run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BenchOptions {
    /// Whether a missed target makes the program fail. [`run`] ignores it: its caller evaluates it,
    /// as [`main_with`] does.
    pub check: bool,
    /// Directory to which the charts are written, if they are wanted.
    pub plot: Option<PathBuf>,
    /// File to which the figures are written as JSON.
    pub out: PathBuf,
}

/// The figures of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Figures, in the order in which they were measured.
    pub figures: Vec<Figure>,
}

impl Report {
    fn print_and_add(&mut self, figures: Vec<Figure>) {
        for figure in &figures {
            println!("{}", figure.line());
        }
        self.figures.extend(figures);
    }

    /// Returns the figures that do not meet their target.
    pub fn misses(&self) -> Vec<&Figure> {
        let figures = self.figures.iter();
        figures.filter(|figure| !figure.is_met()).collect()
    }
}

/// Runs every benchmark, prints a line for each figure and writes the files that `options` names.
///
/// # Errors
///
/// Returns an error if a file cannot be written or a chart cannot be drawn. A missed target is not
/// an error; see [`Report::misses`].
pub fn run(options: &BenchOptions) -> Result<Report> {
    let mut report = Report {
        figures: Vec::new(),
    };
    let (costs, cost_by_workers) = cost::figures();
    report.print_and_add(costs);
    let placement_results = placement::measure();
    report.print_and_add(placement_results.figures);
    if let Some(directory) = &options.plot {
        plot(
            directory,
            cost_by_workers,
            &placement_results.wait_by_load,
            &placement_results.committed_over_time,
        )?;
    }
    report.print_and_add(routing::figures());
    write_json(options, &report)?;
    Ok(report)
}

fn plot(
    directory: &Path,
    costs: Vec<(f64, f64)>,
    waits: &[Series],
    packing: &[Series],
) -> Result<()> {
    let write_error = |err| Error::Write(directory.to_owned(), err);
    std::fs::create_dir_all(directory).map_err(write_error)?;
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
    for (file, title, x_label, y_label, series) in charts {
        let path = directory.join(file);
        let chart = Chart {
            title,
            x_label,
            y_label,
            series,
        };
        chart::draw(&path, &chart).map_err(|err| Error::Draw(path, err))?;
    }
    Ok(())
}

/// Runs every benchmark and returns the exit code of the program, which is 1 if a file could not be
/// written, or if a target was missed and `options.check` is set.
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
    let text = serde_json::to_string_pretty(report).expect("figures always serialise to JSON");
    std::fs::write(&options.out, text).map_err(|err| Error::Write(options.out.clone(), err))
}
