//! Checks records against the promises.
//!
//! The checker is a pure function of the records and does not query the system under test.

mod configuration;
mod hosts;
mod jobs;
mod leaving;
mod requests;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{clock::Micros, record::Records};

/// A property that the system guarantees.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// Commitments on a host never exceed its capacity.
    #[display("capacity")]
    Capacity,
    /// A task never runs in two places at once.
    #[display("one-place")]
    OnePlace,
    /// Every caller receives the complete answer to its own request.
    #[display("whole-answer")]
    WholeAnswer,
    /// A request reported as "not run" did not run.
    #[display("not-run")]
    NotRun,
    /// A request reported as "ran" ran, and every answer carries an outcome.
    #[display("true-outcome")]
    TrueOutcome,
    /// A non-idempotent request runs at most once.
    #[display("at-most-once")]
    AtMostOnce,
    /// A runner's limits on requests and connections hold across all routers.
    #[display("runner-limits")]
    RunnerLimits,
    /// A leaving upstream receives no new requests.
    #[display("leaving")]
    Leaving,
    /// A graceful shutdown aborts no request in flight.
    #[display("planned-stop")]
    PlannedStop,
    /// An accepted configuration is in force everywhere within the time limit.
    #[display("in-force")]
    InForce,
    /// An accepted configuration never reverts.
    #[display("never-reverts")]
    NeverReverts,
    /// An accepted submission runs once and has a result.
    #[display("accepted-work")]
    AcceptedWork,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// Description of the records that show the violation.
    pub evidence: String,
}

/// Time limits of the checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time at which the records end.
    pub until: Micros,
    /// Time after which a leaving upstream receives no new requests.
    pub leaving: Micros,
    /// Time after which an accepted configuration is in force everywhere.
    pub in_force: Micros,
    /// Time within which an accepted submission has a result, if the records last that long.
    pub job: Micros,
}

impl Limits {
    /// Creates the default limits for records that end at `until`.
    pub const fn new(until: Micros) -> Self {
        Self {
            until,
            leaving: Micros::from_millis(2_000),
            in_force: Micros::from_millis(5_000),
            job: Micros::from_millis(60_000),
        }
    }
}

/// Returns every violation that the records show.
pub fn check(records: &Records, limits: &Limits) -> Vec<Violation> {
    let mut violations = Vec::new();
    hosts::check(records, &mut violations);
    requests::check(records, &mut violations);
    leaving::check(records, limits, &mut violations);
    configuration::check(records, limits, &mut violations);
    jobs::check(records, limits, &mut violations);
    violations.sort_by_key(|violation| violation.promise);
    violations
}

fn violation(promise: Promise, evidence: impl Into<String>) -> Violation {
    Violation {
        promise,
        evidence: evidence.into(),
    }
}
