//! Errors and warnings found in a document's text.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Severity of a diagnostic.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The document is rejected.
    #[display("error")]
    Error,
    /// The document is accepted, but part of it has no effect or can never run.
    #[display("warning")]
    Warning,
}

/// An error or warning, with its location and a hint on how to fix it.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("line {line}: {severity}: {path}: {message} ({hint})")]
pub struct Diagnostic {
    /// Severity.
    pub severity: Severity,
    /// Path of the invalid value, such as `services[0].classes[1].deadline`.
    pub path: String,
    /// Line in the text, starting at one; zero if the location is unknown.
    pub line: usize,
    /// Description of the problem.
    pub message: String,
    /// Hint on how to fix it.
    pub hint: String,
}

impl Diagnostic {
    /// Creates an error without a line; the line is set later from the path.
    pub fn new(
        path: impl Into<String>,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        Self {
            severity: Severity::Error,
            path: path.into(),
            line: 0,
            message: message.into(),
            hint: hint.into(),
        }
    }

    /// Lowers the severity to a warning.
    pub fn into_warning(mut self) -> Self {
        self.severity = Severity::Warning;
        self
    }

    /// Sets the line.
    pub fn with_line(mut self, line: usize) -> Self {
        self.line = line;
        self
    }
}

/// All diagnostics of a text, in the order of its lines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl Diagnostics {
    /// Returns whether any diagnostic is an error.
    pub fn has_errors(&self) -> bool {
        self.0
            .iter()
            .any(|diagnostic| diagnostic.severity == Severity::Error)
    }
}

impl std::fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, diagnostic) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{diagnostic}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}
