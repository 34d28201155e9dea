//! A key is dispatched at most once under network faults, router failures and resends by callers.

use std::collections::BTreeMap;

use kspan_model::{Millis, NodeId, RequestId, UnixMillis};
use kspan_routing::{
    engine::ClaimStatus,
    key::{self, CLAIM_TIMEOUT, KEY_TTL, KeyCoverage, KeyRegistry, Limits},
};
use kspan_wire::message::routing::{Answer, Claim, ClaimDecision, KeyId, Settle, Settlement};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use crate::support::{Conditions, RELIABLE, Simulation, UNRELIABLE, unix};

/// A send that waits for the decision on its claim.
struct Send {
    claim: Claim,
    since: Millis,
    has_decision: bool,
}

/// Callers with their sends, over a simulation of routers.
struct Callers {
    sim: Simulation,
    pending: BTreeMap<(usize, RequestId), Send>,
    /// Dispatched sends, each with its router, the home to report to, and its end.
    running: Vec<(usize, NodeId, Claim, Millis)>,
    dispatched: BTreeMap<KeyId, u32>,
    decisions: BTreeMap<RequestId, ClaimDecision>,
    ids: u128,
    withdraw_every: u128,
}

impl Callers {
    fn new(conditions: Conditions, seed: u64) -> Self {
        let mut sim = Simulation::new(4, 0, conditions, seed);
        sim.run(100);
        Self {
            sim,
            pending: BTreeMap::new(),
            running: Vec::new(),
            dispatched: BTreeMap::new(),
            decisions: BTreeMap::new(),
            ids: 0,
            withdraw_every: u128::MAX,
        }
    }

    fn send(
        &mut self,
        router: usize,
        key: u128,
        created: Option<UnixMillis>,
        first: bool,
    ) -> RequestId {
        self.ids += 1;
        let claim = Claim {
            key: KeyId(key),
            text: format!("key-{key}").into(),
            fingerprint: 0,
            request: RequestId(self.ids),
            created,
            first,
            left: Millis(1_000),
        };
        let now = self.sim.now;
        let claimed = self
            .sim
            .with_engine(router, |e| e.claim(&claim, now, unix(now)));
        if claimed == Some(ClaimStatus::Pending) {
            let send = Send {
                claim,
                since: now,
                has_decision: false,
            };
            self.pending.insert((router, RequestId(self.ids)), send);
        }
        RequestId(self.ids)
    }

    fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms {
            self.sim.run(1);
            self.process_decisions();
            self.abandon_late_claims();
            self.finish_due();
        }
    }

    fn process_decisions(&mut self) {
        for received in std::mem::take(&mut self.sim.decisions) {
            let Some(send) = self.pending.get_mut(&(received.router, received.request)) else {
                continue;
            };
            send.has_decision = true;
            if received.decision == ClaimDecision::Waiting {
                continue;
            }
            let send = self
                .pending
                .remove(&(received.router, received.request))
                .expect("the send is pending");
            if received.decision == ClaimDecision::Granted {
                self.handle_grant(received.router, received.home, send.claim);
            }
            self.decisions.insert(received.request, received.decision);
        }
    }

    fn handle_grant(&mut self, router: usize, home: NodeId, claim: Claim) {
        if claim.request.0.is_multiple_of(self.withdraw_every) {
            self.settle(router, &home, &claim, Settlement::Withdrawn);
            return;
        }
        *self.dispatched.entry(claim.key).or_default() += 1;
        let done = self.sim.now.saturating_add(Millis(80));
        self.running.push((router, home, claim, done));
    }

    fn abandon_late_claims(&mut self) {
        let now = self.sim.now;
        let timed_out = |send: &Send| {
            let timeout = if send.has_decision {
                Millis(1_000)
            } else {
                CLAIM_TIMEOUT
            };
            now.saturating_sub(send.since) >= timeout
        };
        let timed_out: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, s)| timed_out(s))
            .map(|(at, _)| *at)
            .collect();
        for at in timed_out {
            self.pending.remove(&at);
            self.sim
                .with_engine(at.0, |e| e.abandon_claim(at.1, now, unix(now)));
        }
    }

    fn finish_due(&mut self) {
        let now = self.sim.now;
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(_, _, _, done)| *done <= now);
        self.running = running;
        let done: Vec<(usize, NodeId, Claim, Millis)> = done;
        for (router, home, claim, _) in done {
            self.settle(router, &home, &claim, Settlement::Answered(answer()));
        }
    }

    fn settle(&mut self, router: usize, home: &NodeId, claim: &Claim, result: Settlement) {
        let settle = Settle {
            key: claim.key,
            text: claim.text.clone(),
            request: claim.request,
            result,
        };
        let now = self.sim.now;
        self.sim
            .with_engine(router, |e| e.settle(home, settle, now, unix(now)));
    }

    fn created(&self) -> Option<UnixMillis> {
        Some(unix(self.sim.now))
    }

    fn home_of(&self, key: u128) -> usize {
        let text = format!("key-{key}");
        let live = (0..4).filter(|i| self.sim.engines[*i].is_some());
        let live: Vec<_> = live.map(|i| (i, &self.sim.nodes[i])).collect();
        let view = crate::support::view(9, &live);
        let home = kspan_membership::ownership::home_of_key(&view, &text, None)
            .expect("the view has routers");
        self.sim
            .nodes
            .iter()
            .position(|node| *node == home.node)
            .expect("the home is a router of the simulation")
    }
}

fn answer() -> Answer {
    Answer {
        status: 201,
        headers: Vec::new(),
        body: b"refunded".to_vec(),
    }
}

fn config(cases: u32, seed: u64) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(256, 2))]

    /// Callers send each key to several routers while homes crash and views change, over a network
    /// that loses, duplicates and reorders messages. Some sends are withdrawn after their grant.
    #[test]
    fn key_is_dispatched_at_most_once_under_message_loss_and_router_crashes(
        seed in any::<u64>(),
        sends in proptest::collection::vec((0_u128..12, 0_usize..4, 0_u64..120), 40),
        crashes in proptest::collection::vec((5_usize..40, 0_usize..4, 10_u64..1_500), 0..3),
        withdraw_every in 2_u128..8,
    ) {
        let mut callers = Callers::new(UNRELIABLE, seed);
        callers.withdraw_every = withdraw_every;
        let mut created = BTreeMap::new();
        let mut view = 1;
        for (step, (key, router, pause)) in sends.into_iter().enumerate() {
            let first = !created.contains_key(&key);
            let at = *created.entry(key).or_insert_with(|| callers.created());
            callers.send(router, key, at, first);
            callers.run(pause);
            for &(crash_step, crashed, activation_ms) in &crashes {
                let live = callers.sim.engines.iter().flatten().count();
                if crash_step == step && live > 1 && callers.sim.engines[crashed].is_some() {
                    callers.sim.crash(crashed);
                    view += 1;
                    callers.sim.set_view(view);
                    callers.run(activation_ms);
                    callers.sim.activate(view);
                }
            }
        }
        callers.run(3_000);
        for (key, count) in &callers.dispatched {
            prop_assert!(*count <= 1, "{key} was dispatched {count} times");
        }
        prop_assert!(!callers.dispatched.is_empty());
    }
}

#[test]
fn resend_to_another_router_gets_the_answer_of_the_first_send() {
    let mut callers = Callers::new(RELIABLE, 1);
    let created = callers.created();
    let first = callers.send(0, 1, created, true);
    callers.run(20);
    let second = callers.send(1, 1, created, false);
    callers.run(200);
    let third = callers.send(2, 1, created, false);
    callers.run(200);
    assert_eq!(callers.decisions[&first], ClaimDecision::Granted);
    assert_eq!(
        callers.decisions[&second],
        ClaimDecision::Answered(answer())
    );
    assert_eq!(callers.decisions[&third], ClaimDecision::Answered(answer()));
    assert_eq!(callers.dispatched[&KeyId(1)], 1);
}

#[test]
fn key_older_than_its_home_is_not_dispatched_again() {
    let mut callers = Callers::new(RELIABLE, 2);
    let created = callers.created();
    callers.send(0, 1, created, true);
    callers.run(300);
    let home = callers.home_of(1);
    let survivor = (home + 1) % 4;
    callers.sim.crash(home);
    callers.sim.set_view(2);
    callers.run(50);
    let during_move = callers.send(survivor, 1, created, false);
    callers.run(100);
    callers.sim.activate(2);
    let resend = callers.send(survivor, 1, created, false);
    callers.run(600);
    // A key that was created after the takeover is dispatched.
    let created_later = callers.created();
    let new = callers.send(survivor, 1_000, created_later, false);
    callers.run(100);
    assert_eq!(callers.decisions[&during_move], ClaimDecision::NotHome);
    assert_eq!(callers.decisions[&resend], ClaimDecision::Indeterminate);
    assert_eq!(callers.decisions[&new], ClaimDecision::Granted);
}

#[test]
fn view_change_does_not_interrupt_keys_whose_home_stays() {
    let mut callers = Callers::new(RELIABLE, 3);
    callers.run(1_000);
    let created = callers.created();
    let key = 1;
    let home = callers.home_of(key);
    let crashed = (home + 1) % 4;
    callers.sim.crash(crashed);
    callers.sim.set_view(2);
    callers.run(10);
    let router = (home + 2) % 4;
    let during = callers.send(router, key, created, false);
    callers.run(10);
    callers.sim.activate(2);
    callers.run(10);
    let after = callers.send(router, key, created, false);
    callers.run(200);
    assert_eq!(callers.decisions[&during], ClaimDecision::Granted);
    assert_eq!(callers.decisions[&after], ClaimDecision::Answered(answer()));
}

#[test]
fn outcome_is_unknown_after_the_grantee_crashes() {
    let mut callers = Callers::new(RELIABLE, 4);
    let created = callers.created();
    let home = callers.home_of(1);
    let grantee = (home + 1) % 4;
    callers.send(grantee, 1, created, true);
    callers.run(20);
    callers.sim.crash(grantee);
    let resend = callers.send((home + 2) % 4, 1, created, false);
    callers.run(20);
    let node = callers.sim.nodes[grantee].clone();
    callers
        .sim
        .with_engine(home, |engine| engine.handle_node_death(&node));
    callers.run(20);
    assert_eq!(callers.decisions[&resend], ClaimDecision::Dispatched);
}

fn claim(key: u128, request: u128, first: bool) -> Claim {
    Claim {
        key: KeyId(key),
        text: "k".into(),
        fingerprint: 7,
        request: RequestId(request),
        created: Some(UnixMillis(5_000_000)),
        first,
        left: Millis(1_000),
    }
}

const COVERAGE: KeyCoverage = KeyCoverage {
    complete_since: UnixMillis(4_000_000),
    now: UnixMillis(5_000_000),
};

fn node(name: &str) -> NodeId {
    NodeId::new(name, 1)
}

fn decide(registry: &mut KeyRegistry, from: &str, claim: &Claim, now: u64) -> ClaimDecision {
    registry
        .claim(&node(from), claim, COVERAGE, Millis(now))
        .reply
        .decision
}

#[test]
fn duplicated_claim_is_one_grant_and_withdrawn_send_is_never_granted() {
    let mut registry = KeyRegistry::new(Limits::default());
    let send = claim(1, 10, true);
    assert_eq!(decide(&mut registry, "a", &send, 0), ClaimDecision::Granted);
    assert_eq!(decide(&mut registry, "a", &send, 1), ClaimDecision::Granted);
    let settle = Settle {
        key: KeyId(1),
        text: "k".into(),
        request: RequestId(10),
        result: Settlement::Withdrawn,
    };
    registry.settle(&node("a"), settle, Some(COVERAGE), Millis(2));
    assert_eq!(
        decide(&mut registry, "a", &send, 3),
        ClaimDecision::Indeterminate
    );
    assert_eq!(
        decide(&mut registry, "b", &claim(1, 11, false), 4),
        ClaimDecision::Granted
    );
}

#[test]
fn key_reused_for_a_different_request_is_a_mismatch() {
    let mut registry = KeyRegistry::new(Limits::default());
    assert_eq!(
        decide(&mut registry, "a", &claim(1, 10, true), 0),
        ClaimDecision::Granted
    );
    let other = Claim {
        fingerprint: 8,
        ..claim(1, 11, false)
    };
    assert_eq!(
        decide(&mut registry, "a", &other, 1),
        ClaimDecision::Mismatch
    );
}

#[test]
fn grant_without_a_report_expires_as_dispatched() {
    let mut registry = KeyRegistry::new(Limits::default());
    assert_eq!(
        decide(&mut registry, "a", &claim(1, 10, true), 0),
        ClaimDecision::Granted
    );
    registry.tick(Millis(1_999));
    assert_eq!(
        decide(&mut registry, "b", &claim(1, 11, false), 1_999),
        ClaimDecision::Waiting
    );
    let decisions = registry.tick(Millis(2_000));
    assert_eq!(decisions[0].reply.decision, ClaimDecision::Dispatched);
    assert_eq!(
        decide(&mut registry, "b", &claim(1, 12, false), 2_001),
        ClaimDecision::Dispatched
    );
}

#[test]
fn registry_is_bounded_in_keys_answer_bytes_and_time() {
    let limits = Limits {
        keys: 3,
        answer_bytes: 20,
        waiters: 1,
    };
    let mut registry = KeyRegistry::new(limits);
    for key in 0..3 {
        let request = 10 + key;
        assert_eq!(
            decide(&mut registry, "a", &claim(key, request, true), 0),
            ClaimDecision::Granted
        );
        let settle = Settle {
            key: KeyId(key),
            text: "k".into(),
            request: RequestId(request),
            result: Settlement::Answered(answer()),
        };
        registry.settle(&node("a"), settle, Some(COVERAGE), Millis(1));
    }
    assert_eq!(
        decide(&mut registry, "a", &claim(3, 13, true), 2),
        ClaimDecision::Full
    );
    assert!(registry.answer_bytes() <= 20);
    assert_eq!(
        decide(&mut registry, "b", &claim(0, 20, false), 3),
        ClaimDecision::AnswerNotKept
    );
    assert_eq!(
        decide(&mut registry, "b", &claim(2, 21, false), 3),
        ClaimDecision::Answered(answer())
    );
    registry.tick(KEY_TTL.saturating_add(KEY_TTL));
    assert!(registry.is_empty());
    assert_eq!(registry.answer_bytes(), 0);
}

/// Guards against a registry that grows without bound because the order of its answers keeps keys that
/// were evicted.
#[test]
fn registry_keeps_nothing_of_evicted_keys() {
    let mut registry = KeyRegistry::new(Limits::default());
    let empty = format!("{registry:?}");
    for at in 0..100 {
        let key = u128::from(at);
        decide(&mut registry, "a", &claim(key, key, true), at);
        let settle = Settle {
            key: KeyId(key),
            text: "k".into(),
            request: RequestId(key),
            result: Settlement::Answered(answer()),
        };
        registry.settle(&node("a"), settle, Some(COVERAGE), Millis(200 - at));
    }
    registry.tick(Millis(100).saturating_add(KEY_TTL).saturating_add(KEY_TTL));
    assert_eq!(format!("{registry:?}"), empty);
}

#[test]
fn key_ids_are_scoped_by_service_class_and_caller() {
    let ids = [
        key::key_id("a", "b", "c", "d"),
        key::key_id("ab", "", "c", "d"),
        key::key_id("a", "b", "cd", ""),
        key::key_id("a", "bc", "", "d"),
    ];
    for (i, id) in ids.iter().enumerate() {
        assert!(!ids[i + 1..].contains(id));
    }
}
