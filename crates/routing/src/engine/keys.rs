//! Claims on idempotency keys, at the claimant and at the home.

use std::collections::VecDeque;

use kspan_model::{Millis, Name, NodeId, RequestId, UnixMillis};
use kspan_wire::message::routing::{
    Claim, ClaimDecision, ClaimReply, KeyId, Message, Settle, Settlement,
};
use rustc_hash::FxHashMap;

use super::{Engine, effect::Effect};
use crate::key::{self, HomeHistory, KeyCoverage, KeyRegistry};

/// Maximum number of abandoned claims that are remembered in order to return late grants.
const MAX_ABANDONED_CLAIMS: usize = 8_192;

/// Minimum time between two checks for expired grants.
const GRANT_EXPIRY_INTERVAL: Millis = Millis(50);

/// State of this router as a home and as a claimant of keys.
#[derive(Clone, Debug, Default)]
pub(super) struct Keys {
    registry: KeyRegistry,
    home_history: HomeHistory,
    /// Claims without a final decision.
    pending_claims: FxHashMap<RequestId, PendingClaim>,
    abandoned_claims: VecDeque<(RequestId, Name)>,
    last_tick: Millis,
}

/// A claim without a final decision.
#[derive(Clone, Debug)]
struct PendingClaim {
    home: NodeId,
    key: KeyId,
    text: Name,
}

/// Whether a claim could be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// The claim was sent; decisions follow as effects.
    Pending,
    /// No view is known, or the view has no router.
    NoHome,
}

impl Engine {
    /// Claims a key at its home for a request of this router. Each request claims at most once.
    pub fn claim(&mut self, claim: &Claim, now: Millis, unix: UnixMillis) -> ClaimStatus {
        let Some(home) = (self.cfg.key_home)(&self.view, &claim.text) else {
            return ClaimStatus::NoHome;
        };
        let pending = PendingClaim {
            home: home.clone(),
            key: claim.key,
            text: claim.text.clone(),
        };
        self.keys.pending_claims.insert(claim.request, pending);
        if home == self.cfg.me {
            self.on_claim(&home, claim, now, unix);
        } else {
            self.send(&home, Message::Claim(claim.clone()));
        }
        ClaimStatus::Pending
    }

    /// Abandons a claim. A grant that arrives later is returned unused.
    pub fn abandon_claim(&mut self, request: RequestId, now: Millis, unix: UnixMillis) {
        let Some(PendingClaim { home, key, text }) = self.keys.pending_claims.remove(&request)
        else {
            return;
        };
        self.keys
            .abandoned_claims
            .push_back((request, text.clone()));
        if self.keys.abandoned_claims.len() > MAX_ABANDONED_CLAIMS {
            self.keys.abandoned_claims.pop_front();
        }
        let settle = withdrawal(key, text, request);
        self.settle(&home, settle, now, unix);
    }

    /// Reports the outcome of a granted request to `home`.
    pub fn settle(&mut self, home: &NodeId, settle: Settle, now: Millis, unix: UnixMillis) {
        if *home == self.cfg.me {
            self.on_settle(&home.clone(), settle, now, unix);
        } else {
            self.send(home, Message::Settle(settle));
        }
    }

    /// Handles the end of a process. The outcome of its open grants is unknown.
    pub fn handle_node_death(&mut self, node: &NodeId) {
        let decisions = self.keys.registry.handle_grantee_death(node);
        self.send_decisions(decisions);
    }

    pub(super) fn on_claim(&mut self, from: &NodeId, claim: &Claim, now: Millis, unix: UnixMillis) {
        let decision = match self.key_coverage(&claim.text, now, unix) {
            Some(coverage) => self.keys.registry.claim(from, claim, coverage, now),
            None => key::OutgoingDecision {
                to: from.clone(),
                reply: ClaimReply {
                    key: claim.key,
                    request: claim.request,
                    decision: ClaimDecision::NotHome,
                },
            },
        };
        self.send_decisions(vec![decision]);
    }

    pub(super) fn on_settle(
        &mut self,
        from: &NodeId,
        settle: Settle,
        now: Millis,
        unix: UnixMillis,
    ) {
        let coverage = self.key_coverage(&settle.text, now, unix);
        let decisions = self.keys.registry.settle(from, settle, coverage, now);
        self.send_decisions(decisions);
    }

    pub(super) fn on_claim_reply(&mut self, from: &NodeId, reply: ClaimReply) {
        let ClaimReply {
            key,
            request,
            decision,
        } = reply;
        let granted = decision == ClaimDecision::Granted;
        let pending = self.keys.pending_claims.get(&request);
        if pending.is_some_and(|pending| pending.home == *from && pending.key == key) {
            if decision != ClaimDecision::Waiting {
                self.keys.pending_claims.remove(&request);
            }
            let home = from.clone();
            self.effects.push(Effect::ClaimDecided {
                request,
                home,
                decision,
            });
        } else if granted {
            self.return_late_grant(from, key, request);
        }
    }

    pub(super) fn tick_keys(&mut self, now: Millis) {
        if now.saturating_sub(self.keys.last_tick) < GRANT_EXPIRY_INTERVAL {
            return;
        }
        self.keys.last_tick = now;
        let decisions = self.keys.registry.tick(now);
        self.send_decisions(decisions);
    }

    pub(super) fn record_active_view(&mut self, unix: UnixMillis) {
        self.keys.home_history.push(self.view.clone(), unix);
    }

    pub(super) fn reset_home_history(&mut self) {
        self.keys.home_history = HomeHistory::new();
    }

    /// Returns how many keys this router remembers as their home.
    pub fn remembered_key_count(&self) -> usize {
        self.keys.registry.len()
    }

    /// Returns the period for which this router's records of a key are complete, or `None` when it
    /// is not the key's home in the newest view, or may not act as such.
    fn key_coverage(&self, text: &str, now: Millis, unix: UnixMillis) -> Option<KeyCoverage> {
        let home = |view: &kspan_model::View| (self.cfg.key_home)(view, text);
        if !self.may_act(now) || home(&self.view).as_ref() != Some(&self.cfg.me) {
            return None;
        }
        let complete_since = self.keys.home_history.since(&self.cfg.me, home)?;
        Some(KeyCoverage {
            complete_since,
            now: unix,
        })
    }

    /// Returns a late grant if its claim was abandoned. A duplicate of a used grant is ignored.
    fn return_late_grant(&mut self, home: &NodeId, key: KeyId, request: RequestId) {
        let abandoned = self
            .keys
            .abandoned_claims
            .iter()
            .find(|(known, _)| *known == request);
        if let Some((_, text)) = abandoned {
            let settle = withdrawal(key, text.clone(), request);
            self.send(home, Message::Settle(settle));
        }
    }

    fn send_decisions(&mut self, decisions: Vec<key::OutgoingDecision>) {
        for decision in decisions {
            if decision.to == self.cfg.me {
                self.on_claim_reply(&decision.to, decision.reply);
            } else {
                self.send(&decision.to, Message::ClaimReply(decision.reply));
            }
        }
    }
}

fn withdrawal(key: KeyId, text: Name, request: RequestId) -> Settle {
    Settle {
        key,
        text,
        request,
        result: Settlement::Withdrawn,
    }
}
