//! The outcome of a caller's request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a caller's request was executed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran and its whole answer is returned to the caller.
    #[display("ran")]
    Ran,
    /// The request was not run before this answer was sent.
    #[display("not-run")]
    NotRun,
    /// The request may or may not have run.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Response header that carries the outcome.
    pub const HEADER: &'static str = "kspan-outcome";
}
