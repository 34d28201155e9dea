//! Claims on idempotency keys, on the claimant's and on the home's side.

use std::collections::VecDeque;

use kspan_model::{Millis, Name, NodeId, RequestId, UnixMillis};
use kspan_wire::message::routing::{
    Claim, ClaimDecision, ClaimReply, KeyId, Message, Settle, Settlement,
};
use rustc_hash::FxHashMap;

use super::{Engine, effect::Effect};
use crate::key::{self, Home, Memory, Tenure};

/// Claims that were given up and are remembered, so that a late grant is handed back.
const MAX_GIVEN_UP: usize = 8_192;

/// How often grants are looked through for those that lapsed.
const TICK_EVERY: Millis = Millis(50);

/// Everything about keys.
#[derive(Clone, Debug, Default)]
pub(super) struct Keys {
    home: Home,
    tenure: Tenure,
    /// Claims without a verdict, with the home that was asked.
    claims: FxHashMap<RequestId, Open>,
    given_up: VecDeque<(RequestId, Name)>,
    ticked: Millis,
}

/// A claim without a verdict.
#[derive(Clone, Debug)]
struct Open {
    home: NodeId,
    key: KeyId,
    text: Name,
}

/// Where a claim was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// A verdict will come as an effect.
    Pending,
    /// No view is known, or it has no router.
    NoHome,
}

impl Engine {
    /// Claims a key for a request of this router, in its home. Each request claims once.
    pub fn claim(&mut self, claim: &Claim, now: Millis, unix: UnixMillis) -> ClaimStatus {
        let Some(home) = (self.cfg.key_home)(&self.view, &claim.text) else {
            return ClaimStatus::NoHome;
        };
        let open = Open {
            home: home.clone(),
            key: claim.key,
            text: claim.text.clone(),
        };
        self.keys.claims.insert(claim.request, open);
        if home == self.cfg.me {
            self.on_claim(&home, claim, now, unix);
        } else {
            self.send(&home, Message::Claim(claim.clone()));
        }
        ClaimStatus::Pending
    }

    /// Gives up waiting for a verdict. A grant that comes later is handed back unused.
    pub fn abandon_claim(&mut self, request: RequestId, now: Millis, unix: UnixMillis) {
        let Some(Open { home, key, text }) = self.keys.claims.remove(&request) else {
            return;
        };
        self.keys.given_up.push_back((request, text.clone()));
        if self.keys.given_up.len() > MAX_GIVEN_UP {
            self.keys.given_up.pop_front();
        }
        let settle = withdrawn(key, text, request);
        self.settle(&home, settle, now, unix);
    }

    /// Reports to `home` what became of a granted request.
    pub fn settle(&mut self, home: &NodeId, settle: Settle, now: Millis, unix: UnixMillis) {
        if *home == self.cfg.me {
            self.on_settle(&home.clone(), settle, now, unix);
        } else {
            self.send(home, Message::Settle(settle));
        }
    }

    /// Takes the death of a process: what it was granted may or may not have run.
    pub fn handle_node_death(&mut self, node: &NodeId) {
        let effects = self.keys.home.grantee_died(node);
        self.send_verdicts(effects);
    }

    pub(super) fn on_claim(&mut self, from: &NodeId, claim: &Claim, now: Millis, unix: UnixMillis) {
        let effect = match self.memory_of(&claim.text, now, unix) {
            Some(memory) => self.keys.home.claim(from, claim, memory, now),
            None => key::Effect {
                to: from.clone(),
                verdict: ClaimReply {
                    key: claim.key,
                    request: claim.request,
                    ruling: ClaimDecision::NotHome,
                },
            },
        };
        self.send_verdicts(vec![effect]);
    }

    pub(super) fn on_settle(
        &mut self,
        from: &NodeId,
        settle: Settle,
        now: Millis,
        unix: UnixMillis,
    ) {
        let memory = self.memory_of(&settle.text, now, unix);
        let effects = self.keys.home.settle(from, settle, memory, now);
        self.send_verdicts(effects);
    }

    pub(super) fn on_verdict(&mut self, from: &NodeId, verdict: ClaimReply) {
        let ClaimReply {
            key,
            request,
            ruling,
        } = verdict;
        let granted = ruling == ClaimDecision::Granted;
        let asked = self.keys.claims.get(&request);
        if asked.is_some_and(|open| open.home == *from && open.key == key) {
            if ruling != ClaimDecision::Waiting {
                self.keys.claims.remove(&request);
            }
            let home = from.clone();
            self.effects.push(Effect::ClaimDecided {
                request,
                home,
                ruling,
            });
        } else if granted {
            self.hand_back(from, key, request);
        }
    }

    pub(super) fn tick_keys(&mut self, now: Millis) {
        if now.saturating_sub(self.keys.ticked) < TICK_EVERY {
            return;
        }
        self.keys.ticked = now;
        let effects = self.keys.home.tick(now);
        self.send_verdicts(effects);
    }

    pub(super) fn activate_keys(&mut self, unix: UnixMillis) {
        self.keys.tenure.activate(self.view.clone(), unix);
    }

    pub(super) fn forget_tenure(&mut self) {
        self.keys.tenure = Tenure::new();
    }

    /// Returns how many keys this router remembers as a home.
    pub fn remembered_key_count(&self) -> usize {
        self.keys.home.len()
    }

    /// Returns what this router's memory of a key covers, or none when it is not the key's home
    /// in the newest view, or may not act as such.
    fn memory_of(&self, text: &str, now: Millis, unix: UnixMillis) -> Option<Memory> {
        let home = |view: &kspan_model::View| (self.cfg.key_home)(view, text);
        if !self.may_act(now) || home(&self.view).as_ref() != Some(&self.cfg.me) {
            return None;
        }
        let complete_since = self.keys.tenure.since(&self.cfg.me, home)?;
        Some(Memory {
            complete_since,
            now: unix,
        })
    }

    /// Hands a late grant back, if its claim was given up; a grant that was used is no news.
    fn hand_back(&mut self, home: &NodeId, key: KeyId, request: RequestId) {
        let given_up = self
            .keys
            .given_up
            .iter()
            .find(|(known, _)| *known == request);
        if let Some((_, text)) = given_up {
            let settle = withdrawn(key, text.clone(), request);
            self.send(home, Message::Settle(settle));
        }
    }

    fn send_verdicts(&mut self, effects: Vec<key::Effect>) {
        for effect in effects {
            if effect.to == self.cfg.me {
                self.on_verdict(&effect.to, effect.verdict);
            } else {
                self.send(&effect.to, Message::ClaimReply(effect.verdict));
            }
        }
    }
}

fn withdrawn(key: KeyId, text: Name, request: RequestId) -> Settle {
    Settle {
        key,
        text,
        request,
        result: Settlement::Withdrawn,
    }
}
