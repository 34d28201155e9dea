//! Waiting requests: fair among callers, bounded, refused early, never started late.

use std::collections::BTreeMap;

use kspan_model::{Millis, Priority, RequestId};
use kspan_routing::{
    budget::RetryBudget,
    engine::effect::RefusalReason,
    ledger::TAKEOVER_WAIT,
    queue::{FairQueue, Waiting},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use crate::support::{CALM, World};

fn waiting(id: usize, caller: usize, priority: Priority, deadline: u64) -> Waiting {
    Waiting {
        request: RequestId(id as u128),
        caller: format!("caller-{caller}").into(),
        priority,
        deadline: Millis(deadline),
        since: Millis::ZERO,
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

    /// Whatever waits, priorities go in order, and no caller gets a second turn of a priority
    /// before each other caller that waits there has had as many less one.
    #[test]
    fn turns_are_fair_and_nothing_is_lost(
        pushes in proptest::collection::vec((0_usize..5, 0_usize..4, 1_u64..100), 1..80),
        expired_at in 0_u64..60,
    ) {
        let mut queue = FairQueue::new();
        let mut left: BTreeMap<(usize, String), usize> = BTreeMap::new();
        for (id, (caller, priority, deadline)) in pushes.iter().enumerate() {
            let waiting = waiting(id, *caller, PRIORITIES[*priority], *deadline);
            if waiting.deadline.0 > expired_at {
                *left.entry((*priority, waiting.caller.to_string())).or_default() += 1;
            }
            queue.push(waiting);
        }
        let expired = queue.expire(Millis(expired_at));
        prop_assert_eq!(expired.len() + queue.len(), pushes.len());
        let mut taken: BTreeMap<(usize, String), usize> = BTreeMap::new();
        let mut last = usize::MAX;
        while let Some(next) = queue.pop() {
            prop_assert!(next.deadline.0 > expired_at);
            let priority = next.priority as usize;
            prop_assert!(priority <= last);
            last = priority;
            let of = (priority, next.caller.to_string());
            *taken.entry(of.clone()).or_default() += 1;
            let turns = taken[&of];
            for (rival, count) in left.iter().filter(|(rival, _)| rival.0 == priority) {
                let rival_turns = taken.get(rival).copied().unwrap_or(0);
                prop_assert!(rival_turns + 1 >= turns.min(*count));
            }
        }
        prop_assert_eq!(taken, left);
    }
}

#[test]
fn overload_is_refused_at_once_and_what_is_admitted_is_in_time() {
    let mut world = World::new(1, 2, CALM, 21);
    world.run(TAKEOVER_WAIT.0 + 200);
    // Two runners of eight slots and 20 ms serve 800 a second; 4,000 are asked for.
    for _ in 0..1_000 {
        for _ in 0..4 {
            world.submit(0, "a");
        }
        world.run(1);
    }
    world.run(1_000);
    for (request, (refused, reason)) in &world.refused {
        assert_eq!(*refused, world.arrived[request].1, "{request}");
        assert_eq!(*reason, RefusalReason::DeadlineUnreachable);
    }
    for (request, answered) in &world.answered {
        let deadline = world.arrived[request].1.saturating_add(world.deadline);
        assert!(
            *answered <= deadline,
            "{request} was answered at {answered}"
        );
    }
    assert!(
        world.answered.len() >= 720,
        "{} were answered",
        world.answered.len()
    );
}

#[test]
fn a_request_whose_deadline_passed_is_never_started() {
    let mut world = World::new(1, 1, CALM, 23);
    // Nothing can be spent yet, so that the requests wait.
    for _ in 0..20 {
        world.submit(0, "a");
    }
    world.run(TAKEOVER_WAIT.0 + 500);
    assert!(world.started.is_empty());
    assert_eq!(world.refused.len(), 20);
    let late = |(refused, reason): &(Millis, RefusalReason)| {
        *reason == RefusalReason::Expired && refused.0 <= 1 + world.deadline.0
    };
    assert!(world.refused.values().all(late));
}

#[test]
fn retries_are_a_fraction_of_successes() {
    let mut budget = RetryBudget::new(0.1);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        retries += u32::from(budget.spend());
    }
    // One less than a hundred where tenths do not add up exactly.
    assert!((99..=100).contains(&retries), "{retries} retries");
    assert!(!budget.spend());
}
