//! The checker: judges records against the promises.
//!
//! Pure: records in, violations out. It never asks the system under test what happened.

mod configuration;
mod hosts;
mod jobs;
mod leaving;
mod requests;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{clock::Micros, record::Records};

/// A promise of the brief.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// No host is ever committed beyond its capacity.
    #[display("capacity")]
    Capacity,
    /// No task ever runs in two places at once.
    #[display("one-place")]
    OnePlace,
    /// Every caller receives the whole answer to its own request.
    #[display("whole-answer")]
    WholeAnswer,
    /// What is told as "not run" did not run.
    #[display("not-run")]
    NotRun,
    /// What is told as "ran" ran, and every answer tells an outcome.
    #[display("true-outcome")]
    TrueOutcome,
    /// A non-idempotent request runs at most once.
    #[display("at-most-once")]
    AtMostOnce,
    /// A runner's slots and connections hold over all routers.
    #[display("runner-limits")]
    RunnerLimits,
    /// A leaving upstream gets no new work.
    #[display("leaving")]
    Leaving,
    /// A planned stop cuts nothing in flight.
    #[display("planned-stop")]
    PlannedStop,
    /// An accepted configuration is in force everywhere within seconds.
    #[display("in-force")]
    InForce,
    /// An accepted configuration never reverts.
    #[display("never-reverts")]
    NeverReverts,
    /// An accepted submission runs once and has an outcome.
    #[display("accepted-work")]
    AcceptedWork,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Which one.
    pub promise: Promise,
    /// What the records show.
    pub evidence: String,
}

/// Times that the checker allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// When the records end.
    pub until: Micros,
    /// Time after which a leaving upstream gets no new work.
    pub leaving: Micros,
    /// Time after which an accepted configuration is in force everywhere.
    pub in_force: Micros,
    /// Time that an accepted submission has for its outcome, where the records last that long.
    pub job: Micros,
}

impl Limits {
    /// Creates the brief's limits for records that end at `until`.
    pub const fn new(until: Micros) -> Self {
        Self {
            until,
            leaving: Micros::from_millis(2_000),
            in_force: Micros::from_millis(5_000),
            job: Micros::from_millis(60_000),
        }
    }
}

/// Returns every broken promise that the records show.
pub fn check(records: &Records, limits: &Limits) -> Vec<Violation> {
    let mut found = Vec::new();
    hosts::check(records, &mut found);
    requests::check(records, &mut found);
    leaving::check(records, limits, &mut found);
    configuration::check(records, limits, &mut found);
    jobs::check(records, limits, &mut found);
    found.sort_by_key(|violation| violation.promise);
    found
}

fn violation(promise: Promise, evidence: impl Into<String>) -> Violation {
    Violation {
        promise,
        evidence: evidence.into(),
    }
}
