//! One runner as a router knows it.

use std::{net::SocketAddr, sync::Arc};

use kspan_model::{Millis, Name, NodeId, TaskId};

use super::effect::RunnerLocation;
use crate::{choice::Tier, health::Health, latency::Latency, ledger::Ledger, loan::Loan};

/// How often a home asks its runners for their health.
pub(super) const READ_EVERY: Millis = Millis(500);

/// How often it asks while slots are uncertain.
pub(super) const READ_EVERY_UNCERTAIN: Millis = Millis(20);

/// A health question without an answer is given up after this time.
pub(super) const READ_TIMEOUT: Millis = Millis(1_000);

/// Service time that is assumed of a runner before its first answer, in microseconds.
const DEFAULT_LATENCY_US: f64 = 5_000.0;

/// Returns the number of the runner at `index`.
pub(super) fn number(index: usize) -> u32 {
    u32::try_from(index).expect("runners are numbered in 32 bits")
}

/// One runner.
#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) task: TaskId,
    pub(super) service: usize,
    pub(super) shard: Name,
    pub(super) endpoint: SocketAddr,
    pub(super) location: Arc<RunnerLocation>,
    pub(super) tier: Tier,
    pub(super) slots: u32,
    pub(super) connections: u32,
    /// Leaving by the table of its shard.
    pub(super) table_leaving: bool,
    /// Leaving by the host list or an operator's drain.
    pub(super) host_leaving: bool,
    /// Draining by its own health answer, or by its home's word.
    pub(super) draining: bool,
    pub(super) home: Option<NodeId>,
    /// The account, when this router is home.
    pub(super) ledger: Option<Ledger>,
    pub(super) generation: u64,
    pub(super) loans: Vec<Loan>,
    pub(super) health: Health,
    pub(super) latency: Latency,
    pub(super) in_flight: u32,
    /// Free slots as last counted into the service's sum.
    pub(super) free: u32,
    pub(super) read_at: Option<Millis>,
    pub(super) reading: bool,
}

impl Runner {
    pub(super) fn is_leaving(&self) -> bool {
        self.table_leaving || self.host_leaving || self.draining
    }

    /// Returns how many requests may be sent to it now.
    pub(super) fn count_free(&self, may_act: bool, now: Millis) -> u32 {
        if self.is_leaving() || self.health.is_ejected(now) {
            return 0;
        }
        let own = match &self.ledger {
            Some(ledger) if may_act => ledger.free(now),
            _ => 0,
        };
        let lent: u32 = self.loans.iter().map(|loan| loan.free(now)).sum();
        own + lent
    }

    /// Returns the cost of sending one more request to it.
    pub(super) fn cost(&self, now: Millis) -> f64 {
        let held = match &self.ledger {
            Some(ledger) => ledger.own() + ledger.lent() + ledger.uncertain(),
            None => self.in_flight,
        };
        let latency = self.latency.mean_us(DEFAULT_LATENCY_US);
        f64::from(held + 1) * latency / self.health.readiness(now)
    }

    /// Returns whether its home ought to ask it for its health now.
    pub(super) fn wants_reading(&self, now: Millis) -> bool {
        let Some(ledger) = &self.ledger else {
            return false;
        };
        let Some(read_at) = self.read_at else {
            return true;
        };
        let every = if self.reading {
            READ_TIMEOUT
        } else if ledger.wants_reading(now) {
            READ_EVERY_UNCERTAIN
        } else {
            READ_EVERY
        };
        now.saturating_sub(read_at) >= every
    }
}
