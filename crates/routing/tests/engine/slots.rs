//! Slot limits of runners hold across all routers under network faults and router failures.

use kspan_model::Millis;
use kspan_routing::{engine::effect::RefusalReason, ledger::TAKEOVER_WAIT};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use crate::support::{RELIABLE, SLOTS, Simulation, UNRELIABLE, table, task};

fn cases(cases: u32, seed: u64) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

fn assert_limits(sim: &Simulation) {
    for (runner, peak) in &sim.peak_in_use {
        assert!(*peak <= SLOTS, "{runner} processed {peak} requests at once");
    }
}

proptest! {
    #![proptest_config(cases(48, 1))]

    /// Load shifts between routers while messages are lost and duplicated, requests are abandoned,
    /// and routers crash and are removed from the view.
    #[test]
    fn slot_limits_hold_under_message_loss_and_router_crashes(
        seed in any::<u64>(),
        crashes in proptest::collection::vec((0_usize..4, 20_u64..600), 0..3),
        load in proptest::collection::vec((0_usize..4, 1_usize..12), 40),
    ) {
        let mut sim = Simulation::new(4, 6, UNRELIABLE, seed);
        sim.run(TAKEOVER_WAIT.0 + 200);
        let mut view = 1;
        let mut crashes = crashes.into_iter();
        for (step, (router, burst)) in load.into_iter().enumerate() {
            for request in 0..burst {
                sim.submit(router, if request % 2 == 0 { "a" } else { "b" });
            }
            sim.run(50);
            if step % 13 == 12 && let Some((crashed, after)) = crashes.next() {
                let live = sim.engines.iter().flatten().count();
                if live > 1 && sim.engines[crashed].is_some() {
                    sim.crash(crashed);
                    view += 1;
                    sim.set_view(view);
                    sim.run(after);
                    sim.activate(view);
                }
            }
        }
        sim.run(5_000);
        assert_limits(&sim);
        prop_assert!(!sim.answered.is_empty());
    }
}

#[test]
fn superseded_home_uses_no_slots_after_a_pause() {
    for seed in 0..20 {
        let mut sim = Simulation::new(3, 3, UNRELIABLE, seed);
        sim.run(TAKEOVER_WAIT.0 + 200);
        // When it is paused, many requests are queued in it and some of its requests are in flight.
        let deadline = sim.now.saturating_add(Millis(20_000));
        for _ in 0..60 {
            sim.submit_until(0, "a", deadline);
        }
        let paused_engine = sim.pause(0);
        sim.set_view(2);
        sim.run(500);
        sim.activate(2);
        for _ in 0..150 {
            (0..12).for_each(|i| {
                sim.submit(1 + i % 2, "a");
            });
            sim.run(20);
        }
        sim.resume(0, paused_engine);
        sim.revoke_authority(0);
        sim.run(500);
        assert_limits(&sim);
    }
}

#[test]
fn slot_limits_hold_while_loans_of_a_crashed_home_are_valid() {
    for seed in 0..20 {
        let mut sim = Simulation::new(3, 1, RELIABLE, seed);
        sim.run(TAKEOVER_WAIT.0 + 200);
        let home = home_of_first_runner(&sim);
        let others: Vec<usize> = (0..3).filter(|router| *router != home).collect();
        // Bursts with pauses, so that there are unused loans when the runner's health is checked.
        let submit_bursts = |sim: &mut Simulation, count: usize| {
            for _ in 0..count {
                for request in 0..16 {
                    sim.submit(others[request % 2], "a");
                }
                sim.run(70);
            }
        };
        submit_bursts(&mut sim, 5);
        sim.crash(home);
        sim.set_view(2);
        sim.activate(2);
        submit_bursts(&mut sim, 60);
        assert_limits(&sim);
    }
}

fn home_of_first_runner(sim: &Simulation) -> usize {
    let is_home = |router: &usize| {
        let engine = sim.engines[*router]
            .as_ref()
            .expect("the router is running");
        engine.home_of(task(0)) == Some(&sim.nodes[*router])
    };
    (0..sim.nodes.len())
        .find(is_home)
        .expect("the runner has a home")
}

#[test]
fn every_request_is_either_dispatched_or_refused() {
    let mut sim = Simulation::new(4, 6, UNRELIABLE, 3);
    sim.run(TAKEOVER_WAIT.0 + 200);
    for _ in 0..100 {
        for router in 0..4 {
            sim.submit(router, "a");
        }
        sim.run(10);
    }
    sim.run(1_000);
    for request in sim.arrived.keys() {
        let dispatched = sim.dispatched_at.contains_key(request);
        let refused = sim.refused.contains_key(request);
        assert!(
            dispatched != refused,
            "{request}: dispatched {dispatched}, refused {refused}"
        );
    }
}

#[test]
fn router_that_is_no_home_borrows_slots() {
    // With one runner, one router is its home and the others must borrow.
    let mut sim = Simulation::new(3, 1, RELIABLE, 5);
    sim.run(TAKEOVER_WAIT.0 + 200);
    for _ in 0..200 {
        for router in 0..3 {
            sim.submit(router, "a");
        }
        sim.run(20);
    }
    assert_limits(&sim);
    let answered_share = sim.answered.len() as f64 / sim.arrived.len() as f64;
    assert!(
        answered_share > 0.95,
        "only a share of {answered_share} of the requests was answered"
    );
}

#[test]
fn new_home_uses_slots_only_after_loans_of_the_previous_home_expired() {
    let mut sim = Simulation::new(2, 1, RELIABLE, 7);
    sim.run(TAKEOVER_WAIT.0 + 200);
    let home = home_of_first_runner(&sim);
    let successor = 1 - home;
    sim.crash(home);
    sim.set_view(2);
    sim.run(100);
    sim.activate(2);
    let activated_at = sim.now;
    sim.deadline = Millis(10_000);
    let request = sim.submit(successor, "a");
    sim.run(TAKEOVER_WAIT.0 + 500);
    let waited = sim.dispatched_at[&request].saturating_sub(activated_at);
    assert!(
        (Millis(2_500)..=Millis(2_600)).contains(&waited),
        "waited {waited}"
    );
}

#[test]
fn draining_runner_gets_no_requests_after_two_seconds() {
    let mut sim = Simulation::new(3, 3, RELIABLE, 9);
    sim.run(TAKEOVER_WAIT.0 + 200);
    let submit_load = |sim: &mut Simulation, rounds: usize| {
        for round in 0..rounds {
            for router in 0..3 {
                // Load is uneven, so that slots are lent.
                for _ in 0..=(round + router) % 7 {
                    sim.submit(router, "a");
                }
            }
            sim.run(10);
        }
    };
    submit_load(&mut sim, 100);
    sim.draining.push(task(0));
    let marked_at = sim.now;
    submit_load(&mut sim, 500);
    let too_late = marked_at.saturating_add(Millis(2_000));
    let too_late = |&&(at, runner): &&(Millis, _)| runner == task(0) && at > too_late;
    assert_eq!(sim.dispatches.iter().filter(too_late).count(), 0);
    assert!(sim.dispatches.iter().any(|(at, _)| *at > marked_at));
}

#[test]
fn runner_marked_leaving_in_its_table_gets_no_further_requests() {
    let mut sim = Simulation::new(1, 2, RELIABLE, 11);
    sim.run(TAKEOVER_WAIT.0 + 200);
    let mut leaving = table(0, &[0], 2);
    leaving.runners[0].leaving = true;
    sim.apply_table(&leaving);
    let marked_at = sim.now;
    for _ in 0..50 {
        sim.submit(0, "a");
        sim.run(10);
    }
    assert!(
        sim.dispatches
            .iter()
            .all(|(at, runner)| *runner != task(0) || *at < marked_at)
    );
    assert!(sim.answered.len() >= 40);
}

#[test]
fn older_table_is_ignored() {
    let mut sim = Simulation::new(1, 1, RELIABLE, 13);
    sim.run(TAKEOVER_WAIT.0 + 200);
    sim.apply_table(&table(0, &[], 1));
    let request = sim.submit(0, "a");
    sim.run(100);
    assert!(sim.answered.contains_key(&request));
}

#[test]
fn request_without_a_runner_is_refused_at_once() {
    let mut sim = Simulation::new(1, 0, RELIABLE, 15);
    let request = sim.submit(0, "a");
    assert_eq!(sim.refused[&request], (sim.now, RefusalReason::NoRunner));
}

#[test]
fn at_most_half_of_unreachable_runners_are_ejected() {
    let mut sim = Simulation::new(1, 4, RELIABLE, 17);
    sim.run(TAKEOVER_WAIT.0 + 200);
    sim.unreachable = vec![task(0), task(1), task(2), task(3)];
    for _ in 0..100 {
        sim.submit(0, "a");
        sim.run(2);
    }
    let dump = sim.engines[0]
        .as_ref()
        .expect("the router is running")
        .dump(sim.now);
    let ejected = dump[0]
        .runners
        .iter()
        .filter(|runner| runner.ejected)
        .count();
    assert_eq!(ejected, 2);
}
