//! Queueing is fair among callers and bounded; requests are refused early and never dispatched
//! after their deadline.

use std::collections::BTreeMap;

use kspan_model::{Millis, Priority, RequestId};
use kspan_routing::{
    budget::RetryBudget,
    engine::effect::RefusalReason,
    ledger::TAKEOVER_WAIT,
    queue::{FairQueue, QueuedRequest},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use crate::support::{RELIABLE, Simulation};

fn queued_request(id: usize, caller: usize, priority: Priority, deadline: u64) -> QueuedRequest {
    QueuedRequest {
        request: RequestId(id as u128),
        caller: format!("caller-{caller}").into(),
        priority,
        deadline: Millis(deadline),
        queued_at: Millis::ZERO,
    }
}

const PRIORITIES: [Priority; 4] = [
    Priority::Low,
    Priority::Normal,
    Priority::High,
    Priority::Urgent,
];

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Priorities are served in order, and within a priority no caller is more than one turn ahead
    /// of another caller that still has queued requests.
    #[test]
    fn callers_are_served_round_robin_and_no_request_is_lost(
        pushes in proptest::collection::vec((0_usize..5, 0_usize..4, 1_u64..100), 1..80),
        expired_at in 0_u64..60,
    ) {
        let mut queue = FairQueue::new();
        let mut expected: BTreeMap<(usize, String), usize> = BTreeMap::new();
        for (id, (caller, priority, deadline)) in pushes.iter().enumerate() {
            let queued = queued_request(id, *caller, PRIORITIES[*priority], *deadline);
            if queued.deadline.0 > expired_at {
                *expected.entry((*priority, queued.caller.to_string())).or_default() += 1;
            }
            queue.push(queued);
        }
        let expired = queue.expire(Millis(expired_at));
        prop_assert_eq!(expired.len() + queue.len(), pushes.len());
        let mut served: BTreeMap<(usize, String), usize> = BTreeMap::new();
        let mut last = usize::MAX;
        while let Some(next) = queue.pop() {
            prop_assert!(next.deadline.0 > expired_at);
            let priority = next.priority as usize;
            prop_assert!(priority <= last);
            last = priority;
            let class = (priority, next.caller.to_string());
            *served.entry(class.clone()).or_default() += 1;
            let turns = served[&class];
            for (other, count) in expected.iter().filter(|(other, _)| other.0 == priority) {
                let other_turns = served.get(other).copied().unwrap_or(0);
                prop_assert!(other_turns + 1 >= turns.min(*count));
            }
        }
        prop_assert_eq!(served, expected);
    }
}

#[test]
fn overload_is_refused_at_once_and_admitted_requests_meet_their_deadlines() {
    let mut sim = Simulation::new(1, 2, RELIABLE, 21);
    sim.run(TAKEOVER_WAIT.0 + 200);
    // Two runners with eight slots and 20 ms per request serve 800 requests per second, while
    // 4,000 arrive.
    for _ in 0..1_000 {
        for _ in 0..4 {
            sim.submit(0, "a");
        }
        sim.run(1);
    }
    sim.run(1_000);
    for (request, (refused, reason)) in &sim.refused {
        assert_eq!(*refused, sim.arrived[request].1, "{request}");
        assert_eq!(*reason, RefusalReason::DeadlineUnreachable);
    }
    for (request, answered) in &sim.answered {
        let deadline = sim.arrived[request].1.saturating_add(sim.deadline);
        assert!(
            *answered <= deadline,
            "{request} was answered at {answered}, after its deadline"
        );
    }
    assert!(
        sim.answered.len() >= 720,
        "only {} requests were answered",
        sim.answered.len()
    );
}

#[test]
fn request_is_never_dispatched_after_its_deadline() {
    let mut sim = Simulation::new(1, 1, RELIABLE, 23);
    // No slot can be used yet, so that the requests are queued.
    for _ in 0..20 {
        sim.submit(0, "a");
    }
    sim.run(TAKEOVER_WAIT.0 + 500);
    assert!(sim.dispatched_at.is_empty());
    assert_eq!(sim.refused.len(), 20);
    let is_expired_in_time = |(refused, reason): &(Millis, RefusalReason)| {
        *reason == RefusalReason::Expired && refused.0 <= 1 + sim.deadline.0
    };
    assert!(sim.refused.values().all(is_expired_in_time));
}

#[test]
fn retry_budget_limits_retries_to_a_fraction_of_answered_requests() {
    let mut budget = RetryBudget::new(0.1);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    // The rounding of the sum of tenths may cost one of the hundred retries.
    assert!((99..=100).contains(&retries), "{retries} retries");
    assert!(!budget.try_withdraw());
}
