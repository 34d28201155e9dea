//! The outcome of a request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What became of a caller's request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran and the caller holds the whole answer.
    #[display("ran")]
    Ran,
    /// The request did not run before this answer was given.
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
