//! The records of a key's home.

use std::collections::VecDeque;

use kspan_model::{Millis, NodeId, RequestId, UnixMillis};
use kspan_wire::message::routing::{
    Answer, Claim, ClaimDecision, ClaimReply, KeyId, Settle, Settlement,
};
use rustc_hash::{FxHashMap, FxHashSet};

use super::{KEY_TTL, KeyCoverage, may_grant};

/// Time from the deadline of a granted request until its grant expires, in which the report of its
/// outcome can arrive.
const REPORT_MARGIN: Millis = Millis(1_000);

/// Limits on the size of the registry.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of keys.
    pub keys: usize,
    /// Maximum total size of stored answers in bytes.
    pub answer_bytes: usize,
    /// Maximum number of sends that wait for the answer of one key.
    pub waiters: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            keys: 200_000,
            answer_bytes: 32 * 1024 * 1024,
            waiters: 16,
        }
    }
}

/// A decision to send to a claimant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDecision {
    /// The claimant.
    pub to: NodeId,
    /// The reply that carries the decision.
    pub reply: ClaimReply,
}

#[derive(Clone, Debug)]
enum State {
    /// Granted; the outcome was not reported yet.
    Granted {
        to: NodeId,
        request: RequestId,
        /// When the grant expires.
        expires_at: Millis,
        waiters: Vec<Waiter>,
    },
    Answered(Answer),
    AnswerNotKept,
    Dispatched,
    /// Withdrawn after its grant, and certainly not dispatched. The key may be granted to another
    /// send.
    Free,
}

#[derive(Clone, Debug)]
struct Waiter {
    to: NodeId,
    request: RequestId,
    expires_at: Millis,
}

#[derive(Clone, Debug)]
struct Record {
    fingerprint: u128,
    state: State,
    /// Withdrawn sends. A late claim by one of them is never granted.
    withdrawn: Vec<RequestId>,
    /// When this home first granted the key.
    first_granted_at: UnixMillis,
}

/// The keys that a home has granted, with their outcomes.
#[derive(Clone, Debug, Default)]
pub struct KeyRegistry {
    limits: Limits,
    records: FxHashMap<KeyId, Record>,
    /// Keys with a grant whose outcome was not reported.
    open_grants: FxHashSet<KeyId>,
    /// Keys in the order of their first grant, with their eviction times.
    eviction_order: VecDeque<(Millis, KeyId)>,
    /// Keys in the order in which their answers arrived; the oldest answers are dropped first.
    answer_order: VecDeque<KeyId>,
    answer_bytes: usize,
}

impl KeyRegistry {
    /// Creates an empty registry.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the total size of stored answers in bytes.
    pub const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Decides a claim. `coverage` states the period for which the records of the key are complete.
    pub fn claim(
        &mut self,
        from: &NodeId,
        claim: &Claim,
        coverage: KeyCoverage,
        now: Millis,
    ) -> OutgoingDecision {
        let max_waiters = self.limits.waiters;
        let decision = match self.records.get_mut(&claim.key) {
            None => self.claim_unknown(from, claim, coverage, now),
            Some(record) if record.fingerprint != claim.fingerprint => ClaimDecision::Mismatch,
            Some(record) => {
                let decision = record.claim_known(from, claim, coverage, max_waiters, now);
                if decision == ClaimDecision::Granted {
                    self.open_grants.insert(claim.key);
                }
                decision
            }
        };
        outgoing_decision(from, claim.key, claim.request, decision)
    }

    /// Records the outcome of a granted send. Returns decisions for the sends that wait for it.
    /// `coverage` is `None` when this router is no longer the key's home, or may not act.
    pub fn settle(
        &mut self,
        from: &NodeId,
        settle: Settle,
        coverage: Option<KeyCoverage>,
        now: Millis,
    ) -> Vec<OutgoingDecision> {
        let Settle {
            key,
            request,
            result,
            ..
        } = settle;
        if matches!(result, Settlement::Withdrawn) {
            return self.withdraw(from, key, request, coverage, now);
        }
        let Some(record) = self.records.get_mut(&key) else {
            return Vec::new();
        };
        if !record.accepts_report(from, request) {
            return Vec::new();
        }
        let state = match result {
            Settlement::Answered(answer) => State::Answered(answer),
            Settlement::AnswerNotKept => State::AnswerNotKept,
            Settlement::Unknown | Settlement::Withdrawn => State::Dispatched,
        };
        let waiters = record.replace_state(state);
        let decisions = decisions_for(key, &record.state, waiters);
        self.store_answer(key);
        decisions
    }

    /// Expires grants and waiting sends, and evicts old keys.
    pub fn tick(&mut self, now: Millis) -> Vec<OutgoingDecision> {
        let mut decisions = Vec::new();
        let records = &mut self.records;
        self.open_grants.retain(|key| {
            let Some(record) = records.get_mut(key) else {
                return false;
            };
            record.tick(*key, now, &mut decisions);
            record.is_open()
        });
        self.evict_expired(now);
        decisions
    }

    /// Expires every unreported grant of a router that has ended.
    pub fn handle_grantee_death(&mut self, node: &NodeId) -> Vec<OutgoingDecision> {
        let mut decisions = Vec::new();
        for key in &self.open_grants {
            let Some(record) = self.records.get_mut(key) else {
                continue;
            };
            if matches!(&record.state, State::Granted { to, .. } if to == node) {
                let waiters = record.replace_state(State::Dispatched);
                decisions.extend(decisions_for(*key, &record.state, waiters));
            }
        }
        decisions
    }

    fn claim_unknown(
        &mut self,
        from: &NodeId,
        claim: &Claim,
        coverage: KeyCoverage,
        now: Millis,
    ) -> ClaimDecision {
        if !may_grant(coverage, claim.created, claim.first) {
            return ClaimDecision::Indeterminate;
        }
        if self.records.len() >= self.limits.keys {
            return ClaimDecision::Full;
        }
        let record = Record {
            fingerprint: claim.fingerprint,
            state: State::granted(from, claim, now),
            withdrawn: Vec::new(),
            first_granted_at: coverage.now,
        };
        self.insert(claim.key, record, now);
        ClaimDecision::Granted
    }

    fn insert(&mut self, key: KeyId, record: Record, now: Millis) {
        let evict_at = now.saturating_add(KEY_TTL).saturating_add(KEY_TTL);
        self.records.insert(key, record);
        self.eviction_order.push_back((evict_at, key));
        self.open_grants.insert(key);
    }

    fn withdraw(
        &mut self,
        from: &NodeId,
        key: KeyId,
        request: RequestId,
        coverage: Option<KeyCoverage>,
        now: Millis,
    ) -> Vec<OutgoingDecision> {
        let Some(record) = self.records.get_mut(&key) else {
            return Vec::new();
        };
        record.withdrawn.push(request);
        if !matches!(&record.state, State::Granted { to, request: granted, .. }
            if to == from && *granted == request)
        {
            return Vec::new();
        }
        let waiters = record.replace_state(State::Free);
        if !coverage.is_some_and(|coverage| record.is_covered(coverage)) {
            let to_indeterminate = |waiter: Waiter| {
                outgoing_decision(
                    &waiter.to,
                    key,
                    waiter.request,
                    ClaimDecision::Indeterminate,
                )
            };
            return waiters.into_iter().map(to_indeterminate).collect();
        }
        let mut waiters = waiters.into_iter();
        // The first waiting send takes over the grant; the others wait for its outcome.
        let Some(successor) = waiters.find(|waiter| waiter.expires_at > now) else {
            return Vec::new();
        };
        record.state = State::Granted {
            to: successor.to.clone(),
            request: successor.request,
            expires_at: successor.expires_at.saturating_add(REPORT_MARGIN),
            waiters: waiters.collect(),
        };
        vec![outgoing_decision(
            &successor.to,
            key,
            successor.request,
            ClaimDecision::Granted,
        )]
    }

    fn store_answer(&mut self, key: KeyId) {
        self.answer_bytes += self.body_len(key);
        self.answer_order.push_back(key);
        while self.answer_bytes > self.limits.answer_bytes {
            let Some(oldest) = self.answer_order.pop_front() else {
                break;
            };
            self.answer_bytes -= self.body_len(oldest);
            if let Some(record) = self.records.get_mut(&oldest)
                && matches!(record.state, State::Answered(_))
            {
                record.state = State::AnswerNotKept;
            }
        }
    }

    fn evict_expired(&mut self, now: Millis) {
        while let Some((evict_at, key)) = self.eviction_order.front().copied() {
            if evict_at > now {
                break;
            }
            self.eviction_order.pop_front();
            self.answer_bytes -= self.body_len(key);
            self.records.remove(&key);
        }
        let records = &self.records;
        let is_evicted = |key: &KeyId| !records.contains_key(key);
        while self.answer_order.front().is_some_and(is_evicted) {
            self.answer_order.pop_front();
        }
    }

    fn body_len(&self, key: KeyId) -> usize {
        match self.records.get(&key).map(|record| &record.state) {
            Some(State::Answered(answer)) => answer.body.len(),
            _ => 0,
        }
    }
}

impl State {
    fn granted(from: &NodeId, claim: &Claim, now: Millis) -> Self {
        Self::Granted {
            to: from.clone(),
            request: claim.request,
            expires_at: now.saturating_add(claim.left).saturating_add(REPORT_MARGIN),
            waiters: Vec::new(),
        }
    }
}

impl Record {
    fn claim_known(
        &mut self,
        from: &NodeId,
        claim: &Claim,
        coverage: KeyCoverage,
        max_waiters: usize,
        now: Millis,
    ) -> ClaimDecision {
        if self.withdrawn.contains(&claim.request) {
            return ClaimDecision::Indeterminate;
        }
        let covered = self.is_covered(coverage);
        match &mut self.state {
            State::Free if covered => {
                self.state = State::granted(from, claim, now);
                ClaimDecision::Granted
            }
            State::Free => ClaimDecision::Indeterminate,
            // A duplicated claim gets the same decision; the claimant acts on the first one only.
            State::Granted { request, to, .. } if *request == claim.request && to == from => {
                ClaimDecision::Granted
            }
            State::Granted { waiters, .. } => add_waiter(waiters, from, claim, max_waiters, now),
            state => state.decision(),
        }
    }

    /// Returns whether the records include every grant of the key since this record was created.
    fn is_covered(&self, coverage: KeyCoverage) -> bool {
        coverage.complete_since <= self.first_granted_at
    }

    const fn is_open(&self) -> bool {
        matches!(self.state, State::Granted { .. })
    }

    fn accepts_report(&self, from: &NodeId, request: RequestId) -> bool {
        match &self.state {
            State::Granted {
                to,
                request: granted,
                ..
            } => to == from && *granted == request,
            // A report that arrives after the grant expired still determines the outcome.
            State::Dispatched => true,
            _ => false,
        }
    }

    fn replace_state(&mut self, state: State) -> Vec<Waiter> {
        match std::mem::replace(&mut self.state, state) {
            State::Granted { waiters, .. } => waiters,
            _ => Vec::new(),
        }
    }

    fn tick(&mut self, key: KeyId, now: Millis, decisions: &mut Vec<OutgoingDecision>) {
        let State::Granted {
            expires_at,
            waiters,
            ..
        } = &mut self.state
        else {
            return;
        };
        if *expires_at <= now {
            let waiters = self.replace_state(State::Dispatched);
            decisions.extend(decisions_for(key, &self.state, waiters));
            return;
        }
        waiters.retain(|waiter| {
            let is_waiting = waiter.expires_at > now;
            if !is_waiting {
                decisions.push(outgoing_decision(
                    &waiter.to,
                    key,
                    waiter.request,
                    ClaimDecision::Dispatched,
                ));
            }
            is_waiting
        });
    }
}

impl State {
    fn decision(&self) -> ClaimDecision {
        match self {
            Self::Answered(answer) => ClaimDecision::Answered(answer.clone()),
            Self::AnswerNotKept => ClaimDecision::AnswerNotKept,
            Self::Granted { .. } | Self::Dispatched | Self::Free => ClaimDecision::Dispatched,
        }
    }
}

fn add_waiter(
    waiters: &mut Vec<Waiter>,
    from: &NodeId,
    claim: &Claim,
    max_waiters: usize,
    now: Millis,
) -> ClaimDecision {
    if waiters.iter().any(|waiter| waiter.request == claim.request) {
        return ClaimDecision::Waiting;
    }
    if waiters.len() >= max_waiters {
        return ClaimDecision::Dispatched;
    }
    waiters.push(Waiter {
        to: from.clone(),
        request: claim.request,
        expires_at: now.saturating_add(claim.left),
    });
    ClaimDecision::Waiting
}

fn decisions_for(key: KeyId, state: &State, waiters: Vec<Waiter>) -> Vec<OutgoingDecision> {
    let to_decision =
        |waiter: Waiter| outgoing_decision(&waiter.to, key, waiter.request, state.decision());
    waiters.into_iter().map(to_decision).collect()
}

fn outgoing_decision(
    to: &NodeId,
    key: KeyId,
    request: RequestId,
    decision: ClaimDecision,
) -> OutgoingDecision {
    OutgoingDecision {
        to: to.clone(),
        reply: ClaimReply {
            key,
            request,
            decision,
        },
    }
}
