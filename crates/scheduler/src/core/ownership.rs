//! Commands: claiming, keeping and giving up shards.

use std::sync::Arc;

use kspan_model::{Fence, Millis, Name, Role, Site, UnixMillis};

use super::Core;
use crate::{
    ownership::claimable,
    shard::{Phase, Shard, Verdict},
    times::PAUSE_LIMIT,
};

impl Core {
    /// Drops every claim after a gap in which leases may have lapsed and others may have acted.
    pub(super) fn notice_pause(&mut self, now: Millis) {
        let last = self.last_turn.replace(now).unwrap_or(now);
        let gap = now.saturating_sub(last);
        if gap <= PAUSE_LIMIT {
            return;
        }
        log::warn!("scheduler: paused for {gap}, every shard is probed anew");
        metrics::counter!("kspan_scheduler_pauses_total").increment(1);
        self.shards
            .retain(|_, shard| matches!(shard.phase(), Phase::Probing));
    }

    pub(super) fn follow_ownership(&mut self, now: Millis, unix: UnixMillis) {
        for site in self.sites() {
            self.follow_shard(site, now, unix);
        }
    }

    fn sites(&self) -> Vec<Site> {
        let Some(document) = &self.fold.document else {
            return Vec::new();
        };
        document
            .data_centres()
            .map(|(region, data_centre)| Site::new(region.clone(), data_centre.clone()))
            .collect()
    }

    fn follow_shard(&mut self, site: Site, now: Millis, unix: UnixMillis) {
        let name = site.data_centre.clone();
        let claim = self.claimable(&site).filter(|_| !self.stopping);
        match (self.shards.get_mut(&name), claim) {
            (None, None) => {}
            (None, Some(fence)) => self.claim(site, fence, now, unix),
            (Some(shard), None) => {
                if shard.phase() == Phase::Probing {
                    self.shards.remove(&name);
                } else {
                    shard.release(now);
                }
            }
            (Some(shard), Some(fence)) => {
                let is_newer = fence.view > shard.fence().view;
                if !is_newer || matches!(shard.phase(), Phase::Releasing { .. }) {
                    return;
                }
                if shard.phase() != Phase::Probing && shard.has_majority(now) {
                    shard.refence(fence);
                    self.note_claim(&name, fence);
                } else {
                    self.claim(site, fence, now, unix);
                }
            }
        }
    }

    fn claimable(&self, site: &Site) -> Option<Fence> {
        let seen = self.seen.get(&site.data_centre).copied();
        claimable(&self.view, site, &self.me, seen, |node| {
            self.silent.contains(node)
        })
    }

    fn claim(&mut self, site: Site, fence: Fence, now: Millis, unix: UnixMillis) {
        let name = site.data_centre.clone();
        let fence = self.unused(&name, fence);
        log::info!("scheduler: claiming shard {name} under {fence}");
        self.note_claim(&name, fence);
        let mut shard = Shard::new(site, self.me.to_string(), fence, now, unix);
        shard.set_hosts(&self.hosts.hosts, now);
        shard.set_fold(Arc::clone(&self.fold), now, unix);
        self.shards.insert(name, shard);
    }

    /// Returns the token, or this process's next one where it was claimed before: exchanges of
    /// the earlier claim may still be under way, and workers must be able to refuse them.
    fn unused(&self, shard: &Name, fence: Fence) -> Fence {
        if self.claimed.get(shard).is_none_or(|last| *last < fence) {
            return fence;
        }
        let round = self.view.with_role(Role::Scheduler).count();
        let round = u32::try_from(round).unwrap_or(u32::MAX);
        Fence::new(fence.view, fence.rank.saturating_add(round))
    }

    fn note_claim(&mut self, shard: &Name, fence: Fence) {
        self.claimed.insert(shard.clone(), fence);
        self.note_seen(shard, fence);
    }

    fn note_seen(&mut self, shard: &Name, fence: Fence) {
        let seen = self.seen.entry(shard.clone()).or_insert(fence);
        *seen = fence.max(*seen);
    }

    pub(super) fn drop_superseded(&mut self, shard: &Name, higher: Fence) {
        log::warn!("scheduler: shard {shard} is obeyed under {higher} by now, dropping it");
        metrics::counter!("kspan_scheduler_superseded_total").increment(1);
        self.note_seen(shard, higher);
        self.shards.remove(shard);
    }

    pub(super) fn carry_out(&mut self, name: &Name, verdict: Verdict) {
        match verdict {
            Verdict::Keep => {}
            Verdict::Reclaim(reason) => {
                log::warn!("scheduler: shard {name} is probed anew: {reason}");
                self.shards.remove(name);
            }
            Verdict::Released => {
                log::info!("scheduler: shard {name} was handed over");
                self.shards.remove(name);
            }
        }
    }
}
