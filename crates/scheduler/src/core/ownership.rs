//! Claiming, keeping and releasing shards.

use std::sync::Arc;

use kspan_model::{Fence, Millis, Name, Role, Site, UnixMillis};

use super::Core;
use crate::{
    ownership::claimable_token,
    shard::{Phase, Shard, Verdict},
    timing::MAX_TURN_GAP,
};

impl Core {
    /// Drops every claim that is past probing after a gap between turns in which leases may have
    /// expired and other owners may have acted.
    pub(super) fn drop_claims_after_pause(&mut self, now: Millis) {
        let last = self.last_turn.replace(now).unwrap_or(now);
        let gap = now.saturating_sub(last);
        if gap <= MAX_TURN_GAP {
            return;
        }
        log::warn!("scheduler: process was paused for {gap}; probing every shard again");
        metrics::counter!("kspan_scheduler_pauses_total").increment(1);
        self.shards
            .retain(|_, shard| matches!(shard.phase(), Phase::Probing));
    }

    pub(super) fn update_ownership(&mut self, now: Millis, unix: UnixMillis) {
        for site in self.declared_sites() {
            self.update_shard_ownership(site, now, unix);
        }
    }

    fn declared_sites(&self) -> Vec<Site> {
        let Some(document) = &self.log_state.document else {
            return Vec::new();
        };
        document
            .data_centres()
            .map(|(region, data_centre)| Site::new(region.clone(), data_centre.clone()))
            .collect()
    }

    fn update_shard_ownership(&mut self, site: Site, now: Millis, unix: UnixMillis) {
        let name = site.data_centre.clone();
        let claim = self.own_claimable_token(&site).filter(|_| !self.stopping);
        match (self.shards.get_mut(&name), claim) {
            (None, None) => {}
            (None, Some(fence)) => self.begin_claim(site, fence, now, unix),
            (Some(shard), None) => {
                if shard.phase() == Phase::Probing {
                    self.shards.remove(&name);
                } else {
                    shard.begin_release(now);
                }
            }
            (Some(shard), Some(fence)) => {
                let is_newer = fence.view > shard.fence().view;
                if !is_newer || matches!(shard.phase(), Phase::Releasing { .. }) {
                    return;
                }
                if shard.phase() != Phase::Probing && shard.has_majority(now) {
                    shard.update_fence(fence);
                    self.record_claim(&name, fence);
                } else {
                    self.begin_claim(site, fence, now, unix);
                }
            }
        }
    }

    fn own_claimable_token(&self, site: &Site) -> Option<Fence> {
        let highest_seen = self.highest_seen.get(&site.data_centre).copied();
        claimable_token(&self.view, site, &self.local_node, highest_seen, |node| {
            self.suspected.contains(node)
        })
    }

    fn begin_claim(&mut self, site: Site, fence: Fence, now: Millis, unix: UnixMillis) {
        let name = site.data_centre.clone();
        let fence = self.unused_token(&name, fence);
        log::info!("scheduler: claiming shard {name} with fencing token {fence}");
        self.record_claim(&name, fence);
        let mut shard = Shard::new(site, self.local_node.to_string(), fence, now, unix);
        shard.set_hosts(&self.hosts.hosts, now);
        shard.set_log_state(Arc::clone(&self.log_state), now, unix);
        self.shards.insert(name, shard);
    }

    /// Returns the token, or this process's next one if it was claimed before: exchanges of the
    /// earlier claim may still be in flight, and workers must be able to refuse them.
    fn unused_token(&self, shard: &Name, fence: Fence) -> Fence {
        if self
            .last_claimed
            .get(shard)
            .is_none_or(|last| *last < fence)
        {
            return fence;
        }
        let schedulers = self.view.with_role(Role::Scheduler).count();
        let schedulers = u32::try_from(schedulers).unwrap_or(u32::MAX);
        Fence::new(fence.view, fence.rank.saturating_add(schedulers))
    }

    fn record_claim(&mut self, shard: &Name, fence: Fence) {
        self.last_claimed.insert(shard.clone(), fence);
        self.record_seen_token(shard, fence);
    }

    fn record_seen_token(&mut self, shard: &Name, fence: Fence) {
        let highest_seen = self.highest_seen.entry(shard.clone()).or_insert(fence);
        *highest_seen = fence.max(*highest_seen);
    }

    pub(super) fn drop_superseded_shard(&mut self, shard: &Name, higher: Fence) {
        log::warn!(
            "scheduler: fenced off from shard {shard}: a worker has accepted token {higher}; \
             dropping the shard"
        );
        metrics::counter!("kspan_scheduler_superseded_total").increment(1);
        self.record_seen_token(shard, higher);
        self.shards.remove(shard);
    }

    pub(super) fn apply_verdict(&mut self, name: &Name, verdict: Verdict) {
        match verdict {
            Verdict::Keep => {}
            Verdict::Reclaim(reason) => {
                log::warn!(
                    "scheduler: dropped the claim of shard {name}, probing it again: {reason}"
                );
                self.shards.remove(name);
            }
            Verdict::Released => {
                log::info!("scheduler: released shard {name}");
                self.shards.remove(name);
            }
        }
    }
}
