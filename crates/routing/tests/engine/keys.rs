//! A key is dispatched at most once, whatever the network, the routers and the caller do.

use std::collections::BTreeMap;

use kspan_model::{Millis, NodeId, RequestId, UnixMillis};
use kspan_routing::{
    engine::ClaimStatus,
    key::{self, CLAIM_TIMEOUT, Home, KEY_TTL, Limits, Memory},
};
use kspan_wire::message::routing::{Answer, Claim, ClaimDecision, KeyId, Settle, Settlement};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use crate::support::{CALM, ROUGH, Weather, World, unix};

/// A send that waits for its verdict.
struct Send {
    claim: Claim,
    since: Millis,
    heard: bool,
}

/// Callers, and what was dispatched for them.
struct Callers {
    world: World,
    open: BTreeMap<(usize, RequestId), Send>,
    /// Sends dispatched, with the router and the home to report to.
    running: Vec<(usize, NodeId, Claim, Millis)>,
    dispatched: BTreeMap<KeyId, u32>,
    rulings: BTreeMap<RequestId, ClaimDecision>,
    ids: u128,
    withdraw_every: u128,
}

impl Callers {
    fn new(weather: Weather, seed: u64) -> Self {
        let mut world = World::new(4, 0, weather, seed);
        world.run(100);
        Self {
            world,
            open: BTreeMap::new(),
            running: Vec::new(),
            dispatched: BTreeMap::new(),
            rulings: BTreeMap::new(),
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
        let now = self.world.now;
        let claimed = self
            .world
            .change(router, |e| e.claim(&claim, now, unix(now)));
        if claimed == Some(ClaimStatus::Pending) {
            let send = Send {
                claim,
                since: now,
                heard: false,
            };
            self.open.insert((router, RequestId(self.ids)), send);
        }
        RequestId(self.ids)
    }

    fn run(&mut self, span: u64) {
        for _ in 0..span {
            self.world.run(1);
            self.hear();
            self.give_up();
            self.finish();
        }
    }

    fn hear(&mut self) {
        for ruled in std::mem::take(&mut self.world.ruled) {
            let Some(send) = self.open.get_mut(&(ruled.router, ruled.request)) else {
                continue;
            };
            send.heard = true;
            if ruled.ruling == ClaimDecision::Waiting {
                continue;
            }
            let send = self
                .open
                .remove(&(ruled.router, ruled.request))
                .expect("the test set it up");
            if ruled.ruling == ClaimDecision::Granted {
                self.granted(ruled.router, ruled.home, send.claim);
            }
            self.rulings.insert(ruled.request, ruled.ruling);
        }
    }

    fn granted(&mut self, router: usize, home: NodeId, claim: Claim) {
        if claim.request.0.is_multiple_of(self.withdraw_every) {
            self.settle(router, &home, &claim, Settlement::Withdrawn);
            return;
        }
        *self.dispatched.entry(claim.key).or_default() += 1;
        let done = self.world.now.saturating_add(Millis(80));
        self.running.push((router, home, claim, done));
    }

    fn give_up(&mut self) {
        let now = self.world.now;
        let late = |send: &Send| {
            let patience = if send.heard {
                Millis(1_000)
            } else {
                CLAIM_TIMEOUT
            };
            now.saturating_sub(send.since) >= patience
        };
        let late: Vec<_> = self
            .open
            .iter()
            .filter(|(_, s)| late(s))
            .map(|(at, _)| *at)
            .collect();
        for at in late {
            self.open.remove(&at);
            self.world
                .change(at.0, |e| e.abandon_claim(at.1, now, unix(now)));
        }
    }

    fn finish(&mut self) {
        let now = self.world.now;
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
        let now = self.world.now;
        self.world
            .change(router, |e| e.settle(home, settle, now, unix(now)));
    }

    fn created(&self) -> Option<UnixMillis> {
        Some(unix(self.world.now))
    }

    fn home_of(&self, key: u128) -> usize {
        let text = format!("key-{key}");
        let live = (0..4).filter(|i| self.world.engines[*i].is_some());
        let live: Vec<_> = live.map(|i| (i, &self.world.nodes[i])).collect();
        let view = crate::support::view(9, &live);
        let home = kspan_membership::ownership::home_of_key(&view, &text, None)
            .expect("the test set it up");
        self.world
            .nodes
            .iter()
            .position(|node| *node == home.node)
            .expect("the test set it up")
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

    /// Callers send each key to several routers, also while homes die and views change, over a
    /// network that loses, doubles and reorders. Some sends are withdrawn after their grant.
    #[test]
    fn a_key_is_dispatched_at_most_once(
        seed in any::<u64>(),
        sends in proptest::collection::vec((0_u128..12, 0_usize..4, 0_u64..120), 40),
        kills in proptest::collection::vec((5_usize..40, 0_usize..4, 10_u64..1_500), 0..3),
        withdraw_every in 2_u128..8,
    ) {
        let mut callers = Callers::new(ROUGH, seed);
        callers.withdraw_every = withdraw_every;
        let mut created = BTreeMap::new();
        let mut view = 1;
        for (step, (key, router, pause)) in sends.into_iter().enumerate() {
            let first = !created.contains_key(&key);
            let at = *created.entry(key).or_insert_with(|| callers.created());
            callers.send(router, key, at, first);
            callers.run(pause);
            for &(when, victim, activation) in &kills {
                let live = callers.world.engines.iter().flatten().count();
                if when == step && live > 1 && callers.world.engines[victim].is_some() {
                    callers.world.kill(victim);
                    view += 1;
                    callers.world.set_view(view);
                    callers.run(activation);
                    callers.world.activate(view);
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
fn a_resend_elsewhere_waits_for_the_answer_and_gets_it_whole() {
    let mut callers = Callers::new(CALM, 1);
    let created = callers.created();
    let first = callers.send(0, 1, created, true);
    callers.run(20);
    let second = callers.send(1, 1, created, false);
    callers.run(200);
    let third = callers.send(2, 1, created, false);
    callers.run(200);
    assert_eq!(callers.rulings[&first], ClaimDecision::Granted);
    assert_eq!(callers.rulings[&second], ClaimDecision::Answered(answer()));
    assert_eq!(callers.rulings[&third], ClaimDecision::Answered(answer()));
    assert_eq!(callers.dispatched[&KeyId(1)], 1);
}

#[test]
fn a_key_older_than_its_home_is_not_dispatched_again() {
    let mut callers = Callers::new(CALM, 2);
    let created = callers.created();
    callers.send(0, 1, created, true);
    callers.run(300);
    let home = callers.home_of(1);
    let heir_asks = (home + 1) % 4;
    callers.world.kill(home);
    callers.world.set_view(2);
    callers.run(50);
    let moving = callers.send(heir_asks, 1, created, false);
    callers.run(100);
    callers.world.activate(2);
    let resend = callers.send(heir_asks, 1, created, false);
    callers.run(600);
    // A key made after the take-over is dispatched; so is an older one on its first send.
    let fresh = callers.created();
    let new = callers.send(heir_asks, 1_000, fresh, false);
    callers.run(100);
    assert_eq!(callers.rulings[&moving], ClaimDecision::NotHome);
    assert_eq!(callers.rulings[&resend], ClaimDecision::Indeterminate);
    assert_eq!(callers.rulings[&new], ClaimDecision::Granted);
}

#[test]
fn keys_of_homes_that_stay_go_on_through_a_change_of_view() {
    let mut callers = Callers::new(CALM, 3);
    callers.run(1_000);
    let created = callers.created();
    let key = 1;
    let home = callers.home_of(key);
    let victim = (home + 1) % 4;
    callers.world.kill(victim);
    callers.world.set_view(2);
    callers.run(10);
    let router = (home + 2) % 4;
    let during = callers.send(router, key, created, false);
    callers.run(10);
    callers.world.activate(2);
    callers.run(10);
    let after = callers.send(router, key, created, false);
    callers.run(200);
    assert_eq!(callers.rulings[&during], ClaimDecision::Granted);
    assert_eq!(callers.rulings[&after], ClaimDecision::Answered(answer()));
}

#[test]
fn a_dead_grantee_leaves_the_outcome_unknown() {
    let mut callers = Callers::new(CALM, 4);
    let created = callers.created();
    let home = callers.home_of(1);
    let grantee = (home + 1) % 4;
    callers.send(grantee, 1, created, true);
    callers.run(20);
    callers.world.kill(grantee);
    let resend = callers.send((home + 2) % 4, 1, created, false);
    callers.run(20);
    let node = callers.world.nodes[grantee].clone();
    callers
        .world
        .change(home, |engine| engine.handle_node_death(&node));
    callers.run(20);
    assert_eq!(callers.rulings[&resend], ClaimDecision::Dispatched);
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

const MEMORY: Memory = Memory {
    complete_since: UnixMillis(4_000_000),
    now: UnixMillis(5_000_000),
};

fn node(name: &str) -> NodeId {
    NodeId::new(name, 1)
}

fn ruling(home: &mut Home, from: &str, claim: &Claim, now: u64) -> ClaimDecision {
    home.claim(&node(from), claim, MEMORY, Millis(now))
        .verdict
        .ruling
}

#[test]
fn a_doubled_claim_is_one_grant_and_a_withdrawn_send_is_never_granted() {
    let mut home = Home::new(Limits::default());
    let send = claim(1, 10, true);
    assert_eq!(ruling(&mut home, "a", &send, 0), ClaimDecision::Granted);
    assert_eq!(ruling(&mut home, "a", &send, 1), ClaimDecision::Granted);
    let settle = Settle {
        key: KeyId(1),
        text: "k".into(),
        request: RequestId(10),
        result: Settlement::Withdrawn,
    };
    home.settle(&node("a"), settle, Some(MEMORY), Millis(2));
    assert_eq!(
        ruling(&mut home, "a", &send, 3),
        ClaimDecision::Indeterminate
    );
    assert_eq!(
        ruling(&mut home, "b", &claim(1, 11, false), 4),
        ClaimDecision::Granted
    );
}

#[test]
fn a_key_used_for_another_request_is_noticed() {
    let mut home = Home::new(Limits::default());
    assert_eq!(
        ruling(&mut home, "a", &claim(1, 10, true), 0),
        ClaimDecision::Granted
    );
    let other = Claim {
        fingerprint: 8,
        ..claim(1, 11, false)
    };
    assert_eq!(ruling(&mut home, "a", &other, 1), ClaimDecision::Mismatch);
}

#[test]
fn a_grant_without_a_report_ends_as_unknown() {
    let mut home = Home::new(Limits::default());
    assert_eq!(
        ruling(&mut home, "a", &claim(1, 10, true), 0),
        ClaimDecision::Granted
    );
    home.tick(Millis(1_999));
    assert_eq!(
        ruling(&mut home, "b", &claim(1, 11, false), 1_999),
        ClaimDecision::Waiting
    );
    let told = home.tick(Millis(2_000));
    assert_eq!(told[0].verdict.ruling, ClaimDecision::Dispatched);
    assert_eq!(
        ruling(&mut home, "b", &claim(1, 12, false), 2_001),
        ClaimDecision::Dispatched
    );
}

#[test]
fn memory_is_bounded_in_keys_answers_and_time() {
    let limits = Limits {
        keys: 3,
        answer_bytes: 20,
        waiters: 1,
    };
    let mut home = Home::new(limits);
    for key in 0..3 {
        let request = 10 + key;
        assert_eq!(
            ruling(&mut home, "a", &claim(key, request, true), 0),
            ClaimDecision::Granted
        );
        let settle = Settle {
            key: KeyId(key),
            text: "k".into(),
            request: RequestId(request),
            result: Settlement::Answered(answer()),
        };
        home.settle(&node("a"), settle, Some(MEMORY), Millis(1));
    }
    assert_eq!(
        ruling(&mut home, "a", &claim(3, 13, true), 2),
        ClaimDecision::Full
    );
    assert!(home.answer_bytes() <= 20);
    assert_eq!(
        ruling(&mut home, "b", &claim(0, 20, false), 3),
        ClaimDecision::AnswerNotKept
    );
    assert_eq!(
        ruling(&mut home, "b", &claim(2, 21, false), 3),
        ClaimDecision::Answered(answer())
    );
    home.tick(KEY_TTL.saturating_add(KEY_TTL));
    assert!(home.is_empty());
    assert_eq!(home.answer_bytes(), 0);
}

#[test]
fn keys_are_apart_by_service_class_and_caller() {
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
