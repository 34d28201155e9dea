//! A whole run: every figure, printed and written.

use std::{io, path::PathBuf};

use quick_error::quick_error;
use serde::Serialize;

use crate::{Figure, routing};

quick_error! {
    /// Why a run could not be carried out.
    #[derive(Debug)]
    pub enum Error {
        /// A file could not be written.
        Write(path: PathBuf, err: io::Error) {
            display("cannot write {}: {err}", path.display())
            source(err)
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
    let report = Report {
        figures: routing::figures(),
    };
    for figure in &report.figures {
        println!("{}", figure.line());
    }
    write_json(options, &report)?;
    Ok(report)
}

fn write_json(options: &BenchOptions, report: &Report) -> Result<()> {
    let text = serde_json::to_string_pretty(report).expect("figures are plain data");
    std::fs::write(&options.out, text).map_err(|err| Error::Write(options.out.clone(), err))
}
