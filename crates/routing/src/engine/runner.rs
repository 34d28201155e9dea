//! State of one runner in a router.

use std::{net::SocketAddr, sync::Arc};

use kspan_model::{Millis, Name, NodeId, TaskId};

use super::effect::RunnerLocation;
use crate::{choice::Tier, health::Health, latency::Latency, ledger::Ledger, loan::Loan};

/// Interval between health checks of a runner by its home.
pub(super) const HEALTH_CHECK_INTERVAL: Millis = Millis(500);

/// Interval between health checks while slots are uncertain.
pub(super) const UNCERTAIN_HEALTH_CHECK_INTERVAL: Millis = Millis(20);

/// Time after which a health check without a response is repeated.
pub(super) const HEALTH_CHECK_TIMEOUT: Millis = Millis(1_000);

/// Service time assumed of a runner before its first answer, in microseconds.
const DEFAULT_LATENCY_US: f64 = 5_000.0;

/// Converts the index of a runner, or a number of routers, to 32 bits.
pub(super) fn to_u32(index: usize) -> u32 {
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
    /// Whether the table of its shard marks it as leaving.
    pub(super) table_leaving: bool,
    /// Whether its host is leaving, according to the host list or an operator's drain.
    pub(super) host_leaving: bool,
    /// Whether its own health response reports that it is draining.
    pub(super) draining: bool,
    pub(super) home: Option<NodeId>,
    /// The slot ledger, if this router is the home.
    pub(super) ledger: Option<Ledger>,
    pub(super) generation: u64,
    pub(super) loans: Vec<Loan>,
    pub(super) health: Health,
    pub(super) latency: Latency,
    pub(super) in_flight: u32,
    /// Free slots as included in the sum of the service.
    pub(super) free: u32,
    pub(super) health_checked_at: Option<Millis>,
    /// Whether a health check is in flight.
    pub(super) health_check_pending: bool,
}

impl Runner {
    pub(super) fn is_leaving(&self) -> bool {
        self.table_leaving || self.host_leaving || self.draining
    }

    /// Returns how many requests may be dispatched to it at `now`.
    pub(super) fn count_free_slots(&self, may_act: bool, now: Millis) -> u32 {
        if self.is_leaving() || self.health.is_ejected(now) {
            return 0;
        }
        let own = match &self.ledger {
            Some(ledger) if may_act => ledger.free(now),
            _ => 0,
        };
        let borrowed: u32 = self.loans.iter().map(|loan| loan.free(now)).sum();
        own + borrowed
    }

    /// Returns the cost of dispatching one more request to it.
    pub(super) fn cost(&self, now: Millis) -> f64 {
        let held = match &self.ledger {
            Some(ledger) => ledger.own() + ledger.lent() + ledger.uncertain(),
            None => self.in_flight,
        };
        let latency = self.latency.mean_us(DEFAULT_LATENCY_US);
        f64::from(held + 1) * latency / self.health.slow_start_share(now)
    }

    /// Returns whether its home is to start a health check at `now`.
    pub(super) fn needs_health_check(&self, now: Millis) -> bool {
        let Some(ledger) = &self.ledger else {
            return false;
        };
        let Some(health_checked_at) = self.health_checked_at else {
            return true;
        };
        let interval = if self.health_check_pending {
            HEALTH_CHECK_TIMEOUT
        } else if ledger.needs_probe(now) {
            UNCERTAIN_HEALTH_CHECK_INTERVAL
        } else {
            HEALTH_CHECK_INTERVAL
        };
        now.saturating_sub(health_checked_at) >= interval
    }
}
