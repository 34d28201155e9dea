//! A measured figure and the target that it is held against.

use derive_more::Display;
use serde::Serialize;

/// Which side of the target is good.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Comparison {
    /// The measured value must not exceed the target.
    #[display("at most")]
    AtMost,
    /// The measured value must reach the target.
    #[display("at least")]
    AtLeast,
}

/// One figure of a run.
///
/// # Examples
///
/// ```
/// use kspan_bench::{Comparison, Figure};
///
/// let figure = Figure::new("placement.mean", 12.0, "us", Comparison::AtMost, 20.0);
/// assert!(figure.is_met());
/// assert!(!Figure::new("x", f64::NAN, "us", Comparison::AtMost, 20.0).is_met());
/// ```
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// Name, `part.what`.
    pub name: String,
    /// What this run measured.
    pub measured: f64,
    /// Unit of the measured value and of the target.
    pub unit: &'static str,
    /// Which side of the target is good.
    pub comparison: Comparison,
    /// The bound, from the targets.
    pub target: f64,
    /// Measured value divided by the baseline's of the same run, where there is a baseline.
    pub baseline_ratio: Option<f64>,
    /// The baseline that the ratio speaks of.
    pub baseline: Option<&'static str>,
}

impl Figure {
    /// Creates a figure without a baseline.
    pub fn new(
        name: &str,
        measured: f64,
        unit: &'static str,
        comparison: Comparison,
        target: f64,
    ) -> Self {
        Self {
            name: name.to_owned(),
            measured,
            unit,
            comparison,
            target,
            baseline_ratio: None,
            baseline: None,
        }
    }

    /// Returns the figure with the ratio to a baseline of the same run.
    #[must_use]
    pub fn with_baseline(mut self, baseline: &'static str, value: f64) -> Self {
        self.baseline = Some(baseline);
        self.baseline_ratio = Some(self.measured / value);
        self
    }

    /// Returns whether the target is met. A value that is not a number meets nothing.
    pub fn is_met(&self) -> bool {
        match self.comparison {
            Comparison::AtMost => self.measured <= self.target,
            Comparison::AtLeast => self.measured >= self.target,
        }
    }

    /// Returns the figure as one line of text.
    pub fn line(&self) -> String {
        let verdict = if self.is_met() { "met" } else { "MISSED" };
        let ratio = match (self.baseline, self.baseline_ratio) {
            (Some(baseline), Some(ratio)) => format!(", x{ratio:.3} of {baseline}"),
            _ => String::new(),
        };
        format!(
            "{verdict:6} {:44} {:12.3} {} ({} {}, x{:.3} of target{ratio})",
            self.name,
            self.measured,
            self.unit,
            self.comparison,
            self.target,
            self.measured / self.target,
        )
    }
}
