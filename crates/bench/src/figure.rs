//! A measured figure and the target that it is compared with.

use derive_more::Display;
use serde::Serialize;

/// Side of the target on which a measured value meets it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Comparison {
    /// The target is an upper bound.
    #[display("at most")]
    AtMost,
    /// The target is a lower bound.
    #[display("at least")]
    AtLeast,
}

/// One measured value of a benchmark run, with its target.
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
    /// Name, in the form `area.quantity`.
    pub name: String,
    /// Measured value.
    pub measured: f64,
    /// Unit of the measured value and of the target.
    pub unit: &'static str,
    /// Whether the target is an upper or a lower bound.
    pub comparison: Comparison,
    /// Bound that the measured value is compared with.
    pub target: f64,
    /// Measured value divided by the value of the baseline in the same run, if there is a baseline.
    pub baseline_ratio: Option<f64>,
    /// Name of the baseline that the ratio refers to.
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

    /// Returns the figure with its ratio to the value of a baseline in the same run.
    #[must_use]
    pub fn with_baseline(mut self, baseline: &'static str, value: f64) -> Self {
        self.baseline = Some(baseline);
        self.baseline_ratio = Some(self.measured / value);
        self
    }

    /// Returns whether the measured value meets the target. NaN never does.
    pub fn is_met(&self) -> bool {
        match self.comparison {
            Comparison::AtMost => self.measured <= self.target,
            Comparison::AtLeast => self.measured >= self.target,
        }
    }

    /// Formats the figure as one line of text.
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
