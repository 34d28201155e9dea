//! The memory of a key's home.

use std::collections::VecDeque;

use kspan_model::{Millis, NodeId, RequestId, UnixMillis};
use kspan_wire::message::routing::{
    Answer, Claim, ClaimDecision, ClaimReply, KeyId, Settle, Settlement,
};
use rustc_hash::{FxHashMap, FxHashSet};

use super::{KEY_TTL, Memory, may_grant};

/// Added to a granted request's own time before it counts as given up without a report.
const REPORT_MARGIN: Millis = Millis(1_000);

/// Bounds of the memory.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most keys remembered.
    pub keys: usize,
    /// Most bytes of answers kept.
    pub answer_bytes: usize,
    /// Most sends that wait for one key's answer.
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

/// A verdict to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// The claimant.
    pub to: NodeId,
    /// The verdict.
    pub verdict: ClaimReply,
}

#[derive(Clone, Debug)]
enum State {
    /// Granted and not reported.
    Granted {
        to: NodeId,
        request: RequestId,
        /// When it counts as given up.
        until: Millis,
        waiters: Vec<Waiter>,
    },
    Answered(Answer),
    AnswerNotKept,
    Dispatched,
    /// Granted and certainly not dispatched: may be granted again, but not to these sends.
    Free,
}

#[derive(Clone, Debug)]
struct Waiter {
    to: NodeId,
    request: RequestId,
    until: Millis,
}

#[derive(Clone, Debug)]
struct Record {
    fingerprint: u128,
    state: State,
    /// Sends that were withdrawn. A late claim of theirs is never granted.
    withdrawn: Vec<RequestId>,
    /// When the key was first granted here.
    born: UnixMillis,
}

/// The memory of what was granted and what became of it.
#[derive(Clone, Debug, Default)]
pub struct Home {
    limits: Limits,
    records: FxHashMap<KeyId, Record>,
    /// Keys that are granted and not reported.
    open: FxHashSet<KeyId>,
    /// Keys in order of their first claim, for forgetting.
    order: VecDeque<(Millis, KeyId)>,
    /// Answers in order of arrival, for dropping bodies.
    answers: VecDeque<KeyId>,
    answer_bytes: usize,
}

impl Home {
    /// Creates an empty memory.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns how many keys are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes of answers kept.
    pub const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Decides a claim. `memory` tells what this home's memory of the key covers.
    pub fn claim(&mut self, from: &NodeId, claim: &Claim, memory: Memory, now: Millis) -> Effect {
        let max_waiters = self.limits.waiters;
        let ruling = match self.records.get_mut(&claim.key) {
            None => self.claim_new(from, claim, memory, now),
            Some(record) if record.fingerprint != claim.fingerprint => ClaimDecision::Mismatch,
            Some(record) => {
                let ruling = record.claim_again(from, claim, memory, max_waiters, now);
                if ruling == ClaimDecision::Granted {
                    self.open.insert(claim.key);
                }
                ruling
            }
        };
        verdict(from, claim.key, claim.request, ruling)
    }

    /// Takes the report of a granted send. Returns verdicts for the sends that waited for it.
    /// `memory` is none when this router is the key's home no longer, or may not act.
    pub fn settle(
        &mut self,
        from: &NodeId,
        settle: Settle,
        memory: Option<Memory>,
        now: Millis,
    ) -> Vec<Effect> {
        let Settle {
            key,
            request,
            result,
            ..
        } = settle;
        if matches!(result, Settlement::Withdrawn) {
            return self.withdraw(from, key, request, memory, now);
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
        let waiters = record.finish(state);
        let effects = answer_all(key, &record.state, waiters);
        self.keep_answer(key);
        effects
    }

    /// Gives up grants and waits whose time has passed, and forgets old keys.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        let records = &mut self.records;
        self.open.retain(|key| {
            let Some(record) = records.get_mut(key) else {
                return false;
            };
            record.tick(*key, now, &mut effects);
            record.is_open()
        });
        self.forget(now);
        effects
    }

    /// Counts every unreported grant of a router that has died as given up.
    pub fn grantee_died(&mut self, node: &NodeId) -> Vec<Effect> {
        let mut effects = Vec::new();
        for key in &self.open {
            let Some(record) = self.records.get_mut(key) else {
                continue;
            };
            if matches!(&record.state, State::Granted { to, .. } if to == node) {
                let waiters = record.finish(State::Dispatched);
                effects.extend(answer_all(*key, &record.state, waiters));
            }
        }
        effects
    }

    fn claim_new(
        &mut self,
        from: &NodeId,
        claim: &Claim,
        memory: Memory,
        now: Millis,
    ) -> ClaimDecision {
        if !may_grant(memory, claim.created, claim.first) {
            return ClaimDecision::Indeterminate;
        }
        if self.records.len() >= self.limits.keys {
            return ClaimDecision::Full;
        }
        let record = Record {
            fingerprint: claim.fingerprint,
            state: State::granted(from, claim, now),
            withdrawn: Vec::new(),
            born: memory.now,
        };
        self.remember(claim.key, record, now);
        ClaimDecision::Granted
    }

    fn remember(&mut self, key: KeyId, record: Record, now: Millis) {
        let forget = now.saturating_add(KEY_TTL).saturating_add(KEY_TTL);
        self.records.insert(key, record);
        self.order.push_back((forget, key));
        self.open.insert(key);
    }

    fn withdraw(
        &mut self,
        from: &NodeId,
        key: KeyId,
        request: RequestId,
        memory: Option<Memory>,
        now: Millis,
    ) -> Vec<Effect> {
        let Some(record) = self.records.get_mut(&key) else {
            return Vec::new();
        };
        record.withdrawn.push(request);
        if !matches!(&record.state, State::Granted { to, request: granted, .. }
            if to == from && *granted == request)
        {
            return Vec::new();
        }
        let waiters = record.finish(State::Free);
        if !memory.is_some_and(|memory| record.is_covered(memory)) {
            let unsure = |waiter: Waiter| {
                verdict(
                    &waiter.to,
                    key,
                    waiter.request,
                    ClaimDecision::Indeterminate,
                )
            };
            return waiters.into_iter().map(unsure).collect();
        }
        let mut waiters = waiters.into_iter();
        // The first send that waited takes the grant over; the others go on waiting for it.
        let Some(next) = waiters.find(|waiter| waiter.until > now) else {
            return Vec::new();
        };
        record.state = State::Granted {
            to: next.to.clone(),
            request: next.request,
            until: next.until.saturating_add(REPORT_MARGIN),
            waiters: waiters.collect(),
        };
        vec![verdict(&next.to, key, next.request, ClaimDecision::Granted)]
    }

    fn keep_answer(&mut self, key: KeyId) {
        self.answer_bytes += self.body_len(key);
        self.answers.push_back(key);
        while self.answer_bytes > self.limits.answer_bytes {
            let Some(oldest) = self.answers.pop_front() else {
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

    fn forget(&mut self, now: Millis) {
        while let Some((forget, key)) = self.order.front().copied() {
            if forget > now {
                break;
            }
            self.order.pop_front();
            self.answer_bytes -= self.body_len(key);
            self.records.remove(&key);
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
            until: now.saturating_add(claim.left).saturating_add(REPORT_MARGIN),
            waiters: Vec::new(),
        }
    }
}

impl Record {
    fn claim_again(
        &mut self,
        from: &NodeId,
        claim: &Claim,
        memory: Memory,
        max_waiters: usize,
        now: Millis,
    ) -> ClaimDecision {
        if self.withdrawn.contains(&claim.request) {
            return ClaimDecision::Indeterminate;
        }
        let covered = self.is_covered(memory);
        match &mut self.state {
            State::Free if covered => {
                self.state = State::granted(from, claim, now);
                ClaimDecision::Granted
            }
            State::Free => ClaimDecision::Indeterminate,
            // A doubled claim: the same verdict to the same claimant, which acts on one only.
            State::Granted { request, to, .. } if *request == claim.request && to == from => {
                ClaimDecision::Granted
            }
            State::Granted { waiters, .. } => wait_for(waiters, from, claim, max_waiters, now),
            state => state.ruling(),
        }
    }

    /// Returns whether every grant of the key since this record was made is remembered here.
    fn is_covered(&self, memory: Memory) -> bool {
        memory.complete_since <= self.born
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
            // A report that comes after the grant was given up still tells what became of it.
            State::Dispatched => true,
            _ => false,
        }
    }

    fn finish(&mut self, state: State) -> Vec<Waiter> {
        match std::mem::replace(&mut self.state, state) {
            State::Granted { waiters, .. } => waiters,
            _ => Vec::new(),
        }
    }

    fn tick(&mut self, key: KeyId, now: Millis, effects: &mut Vec<Effect>) {
        let State::Granted { until, waiters, .. } = &mut self.state else {
            return;
        };
        if *until <= now {
            let waiters = self.finish(State::Dispatched);
            effects.extend(answer_all(key, &self.state, waiters));
            return;
        }
        waiters.retain(|waiter| {
            let waits = waiter.until > now;
            if !waits {
                effects.push(verdict(
                    &waiter.to,
                    key,
                    waiter.request,
                    ClaimDecision::Dispatched,
                ));
            }
            waits
        });
    }
}

impl State {
    fn ruling(&self) -> ClaimDecision {
        match self {
            Self::Answered(answer) => ClaimDecision::Answered(answer.clone()),
            Self::AnswerNotKept => ClaimDecision::AnswerNotKept,
            Self::Granted { .. } | Self::Dispatched | Self::Free => ClaimDecision::Dispatched,
        }
    }
}

fn wait_for(
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
        until: now.saturating_add(claim.left),
    });
    ClaimDecision::Waiting
}

fn answer_all(key: KeyId, state: &State, waiters: Vec<Waiter>) -> Vec<Effect> {
    let answer = |waiter: Waiter| verdict(&waiter.to, key, waiter.request, state.ruling());
    waiters.into_iter().map(answer).collect()
}

fn verdict(to: &NodeId, key: KeyId, request: RequestId, ruling: ClaimDecision) -> Effect {
    Effect {
        to: to.clone(),
        verdict: ClaimReply {
            key,
            request,
            ruling,
        },
    }
}
