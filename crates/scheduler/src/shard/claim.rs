//! The steps from the first probe to a recovered shard, and its release.

use kspan_model::{Fence, Millis, UnixMillis};

use super::{Phase, Shard, Verdict};
use crate::timing::{QUORUM_GRACE, SUPERSEDED_RENEWAL_BOUND};

/// Time after which a claim without a majority is dropped and the shard is probed again.
const CLAIM_TIMEOUT: Millis = Millis::from_secs(5);

/// Timeout of the wait for workers to acknowledge the release of their leases.
const RELEASE_TIMEOUT: Millis = Millis(1_500);

impl Shard {
    /// Switches to the token of a newer view while keeping ownership.
    pub fn update_fence(&mut self, fence: Fence) {
        self.fence = fence;
    }

    /// Begins to release the shard: no further starts are sent, and each worker's lease is
    /// released.
    pub fn begin_release(&mut self, now: Millis) {
        if !matches!(self.phase, Phase::Releasing { .. }) {
            self.phase = Phase::Releasing { since: now };
            for worker in self.workers.values_mut() {
                worker.queue.withdraw_unsent_starts();
                worker.claimable = false;
            }
        }
    }

    /// Returns whether this owner certainly holds the control leases of more than half of the
    /// listed workers.
    pub fn has_majority(&self, now: Millis) -> bool {
        self.is_majority(|worker| worker.lease.is_control_lease_held(now))
    }

    fn is_majority(&self, counts: impl Fn(&crate::worker::Worker) -> bool) -> bool {
        let listed = || {
            self.workers
                .values()
                .filter(|worker| worker.host_status.listed)
        };
        listed().filter(|worker| counts(worker)).count() * 2 > listed().count()
    }

    pub(super) fn advance_claim(
        &mut self,
        now: Millis,
        unix: UnixMillis,
        may_act: bool,
    ) -> Verdict {
        match self.phase {
            Phase::Probing => {
                if self.is_majority(|worker| worker.claimable) {
                    self.begin_recovery(now, unix);
                }
                Verdict::Keep
            }
            Phase::Recovering | Phase::Active => {
                self.track_majority(now);
                if self.phase == Phase::Recovering && self.is_recovered() {
                    self.phase = Phase::Active;
                    log::info!("scheduler: shard {} recovered", self.site.data_centre);
                }
                self.check_majority(now, may_act)
            }
            Phase::Releasing { since } => {
                let confirmed = self.workers.values().all(|worker| worker.claimable);
                if confirmed || now >= since + RELEASE_TIMEOUT {
                    Verdict::Released
                } else {
                    Verdict::Keep
                }
            }
        }
    }

    fn begin_recovery(&mut self, now: Millis, unix: UnixMillis) {
        self.phase = Phase::Recovering;
        self.claimed_at = now;
        self.claimed_at_unix = unix;
        log::info!(
            "scheduler: a majority of shard {}'s workers is claimable with token {}; recovering it",
            self.site.data_centre,
            self.fence
        );
    }

    fn track_majority(&mut self, now: Millis) {
        if !self.has_majority(now) {
            self.majority_lost_at.get_or_insert(now);
            return;
        }
        self.majority_lost_at = None;
        if self.majority_since.is_none() {
            self.majority_since = Some(now);
            // A previous owner that can still reach a worker stops renewing its leases by then.
            for worker in self.workers.values_mut() {
                if !worker.resolved {
                    worker
                        .lease
                        .extend_possible_renewal(now + SUPERSEDED_RENEWAL_BOUND);
                }
            }
        }
    }

    fn check_majority(&self, now: Millis, may_act: bool) -> Verdict {
        if self.majority_since.is_none() {
            return if now >= self.claimed_at + CLAIM_TIMEOUT {
                Verdict::Reclaim("no majority of its workers granted the claim in time")
            } else {
                Verdict::Keep
            };
        }
        let lost_for = self.majority_lost_at.map(|lost| now.saturating_sub(lost));
        if !may_act && lost_for.is_some_and(|span| span >= QUORUM_GRACE) {
            return Verdict::Reclaim(
                "the majority of its workers was lost for longer than the grace period",
            );
        }
        Verdict::Keep
    }

    /// Returns whether every task that any worker may be running is known.
    fn is_recovered(&self) -> bool {
        self.majority_since.is_some() && self.workers.values().all(|worker| worker.resolved)
    }
}
