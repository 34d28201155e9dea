//! Diagnostics of a document's text.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How bad a fault is.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The document is refused.
    #[display("error")]
    Error,
    /// The document is accepted, but something in it can have no effect or can never run.
    #[display("warning")]
    Warning,
}

/// One fault with its place and what to do about it.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("line {line}: {severity}: {path}: {message} ({hint})")]
pub struct Diagnostic {
    /// How bad it is.
    pub severity: Severity,
    /// Path of the faulty value, such as `services[0].classes[1].deadline`.
    pub path: String,
    /// Line in the text, from one; zero where the place is unknown.
    pub line: usize,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub hint: String,
}

impl Diagnostic {
    /// Creates an error; the line is filled in later from the path.
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

    /// Makes the fault a warning.
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

/// Every fault of a text, in the order of its lines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl Diagnostics {
    /// Returns whether any fault refuses the document.
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
