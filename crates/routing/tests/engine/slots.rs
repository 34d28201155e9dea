//! Runner slots hold over all routers together, whatever the network and the routers do.

use kspan_model::Millis;
use kspan_routing::{engine::effect::RefusalReason, ledger::TAKEOVER_WAIT};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use crate::support::{CALM, ROUGH, SLOTS, World, table, task};

fn cases(cases: u32, seed: u64) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

fn assert_limits(world: &World) {
    for (runner, peak) in &world.peak {
        assert!(*peak <= SLOTS, "{runner} worked on {peak} requests at once");
    }
}

proptest! {
    #![proptest_config(cases(48, 1))]

    /// Load moves between routers, messages are lost and doubled, answers are abandoned, and
    /// routers die and are replaced in the view.
    #[test]
    fn slots_are_never_exceeded(
        seed in any::<u64>(),
        kills in proptest::collection::vec((0_usize..4, 20_u64..600), 0..3),
        load in proptest::collection::vec((0_usize..4, 1_usize..12), 40),
    ) {
        let mut world = World::new(4, 6, ROUGH, seed);
        world.run(TAKEOVER_WAIT.0 + 200);
        let mut view = 1;
        let mut kills = kills.into_iter();
        for (step, (router, burst)) in load.into_iter().enumerate() {
            for request in 0..burst {
                world.submit(router, if request % 2 == 0 { "a" } else { "b" });
            }
            world.run(50);
            if step % 13 == 12 && let Some((victim, after)) = kills.next() {
                let live = world.engines.iter().flatten().count();
                if live > 1 && world.engines[victim].is_some() {
                    world.kill(victim);
                    view += 1;
                    world.set_view(view);
                    world.run(after);
                    world.activate(view);
                }
            }
        }
        world.run(5_000);
        assert_limits(&world);
        prop_assert!(!world.answered.is_empty());
    }
}

#[test]
fn a_home_that_wakes_up_superseded_spends_nothing() {
    for seed in 0..20 {
        let mut world = World::new(3, 3, ROUGH, seed);
        world.run(TAKEOVER_WAIT.0 + 200);
        // Many requests wait in it when it falls asleep, and some of its answers are under way.
        let far = world.now.saturating_add(Millis(20_000));
        for _ in 0..60 {
            world.submit_until(0, "a", far);
        }
        let sleeper = world.sleep(0);
        world.set_view(2);
        world.run(500);
        world.activate(2);
        for _ in 0..150 {
            (0..12).for_each(|i| {
                world.submit(1 + i % 2, "a");
            });
            world.run(20);
        }
        world.wake(0, sleeper);
        world.demote(0);
        world.run(500);
        assert_limits(&world);
    }
}

#[test]
fn loans_of_a_dead_home_are_waited_out() {
    for seed in 0..20 {
        let mut world = World::new(3, 1, CALM, seed);
        world.run(TAKEOVER_WAIT.0 + 200);
        let home = home_of_first_runner(&world);
        let others: Vec<usize> = (0..3).filter(|router| *router != home).collect();
        // Bursts with pauses, so that loans are out and unused when the runner is asked.
        let bursts = |world: &mut World, count: usize| {
            for _ in 0..count {
                for request in 0..16 {
                    world.submit(others[request % 2], "a");
                }
                world.run(70);
            }
        };
        bursts(&mut world, 5);
        world.kill(home);
        world.set_view(2);
        world.activate(2);
        bursts(&mut world, 60);
        assert_limits(&world);
    }
}

fn home_of_first_runner(world: &World) -> usize {
    let is_home = |router: &usize| {
        let engine = world.engines[*router].as_ref().expect("the test set it up");
        engine.home_of(task(0)) == Some(&world.nodes[*router])
    };
    (0..world.nodes.len())
        .find(is_home)
        .expect("the test set it up")
}

#[test]
fn every_request_starts_or_is_refused() {
    let mut world = World::new(4, 6, ROUGH, 3);
    world.run(TAKEOVER_WAIT.0 + 200);
    for _ in 0..100 {
        for router in 0..4 {
            world.submit(router, "a");
        }
        world.run(10);
    }
    world.run(1_000);
    for request in world.arrived.keys() {
        let started = world.started.contains_key(request);
        let refused = world.refused.contains_key(request);
        assert!(
            started != refused,
            "{request}: started {started}, refused {refused}"
        );
    }
}

#[test]
fn a_router_without_runners_of_its_own_borrows() {
    // One runner, so that one router is home and the others must borrow.
    let mut world = World::new(3, 1, CALM, 5);
    world.run(TAKEOVER_WAIT.0 + 200);
    for _ in 0..200 {
        for router in 0..3 {
            world.submit(router, "a");
        }
        world.run(20);
    }
    assert_limits(&world);
    let share = world.answered.len() as f64 / world.arrived.len() as f64;
    assert!(share > 0.95, "only {share} of the requests ran");
}

#[test]
fn a_new_home_waits_out_the_loans_of_the_old_one() {
    let mut world = World::new(2, 1, CALM, 7);
    world.run(TAKEOVER_WAIT.0 + 200);
    let home = home_of_first_runner(&world);
    let heir = 1 - home;
    world.kill(home);
    world.set_view(2);
    world.run(100);
    world.activate(2);
    let taken_over = world.now;
    world.deadline = Millis(10_000);
    let request = world.submit(heir, "a");
    world.run(TAKEOVER_WAIT.0 + 500);
    let waited = world.started[&request].saturating_sub(taken_over);
    assert!(
        (Millis(2_500)..=Millis(2_600)).contains(&waited),
        "waited {waited}"
    );
}

#[test]
fn a_draining_runner_gets_no_work_after_two_seconds() {
    let mut world = World::new(3, 3, CALM, 9);
    world.run(TAKEOVER_WAIT.0 + 200);
    let load = |world: &mut World, rounds: usize| {
        for round in 0..rounds {
            for router in 0..3 {
                // An uneven load, so that slots are lent.
                for _ in 0..=(round + router) % 7 {
                    world.submit(router, "a");
                }
            }
            world.run(10);
        }
    };
    load(&mut world, 100);
    world.draining.push(task(0));
    let told = world.now;
    load(&mut world, 500);
    let late = told.saturating_add(Millis(2_000));
    let late = |&&(at, runner): &&(Millis, _)| runner == task(0) && at > late;
    assert_eq!(world.starts.iter().filter(late).count(), 0);
    assert!(world.starts.iter().any(|(at, _)| *at > told));
}

#[test]
fn a_table_that_marks_a_runner_leaving_stops_work_at_once() {
    let mut world = World::new(1, 2, CALM, 11);
    world.run(TAKEOVER_WAIT.0 + 200);
    let mut leaving = table(0, &[0], 2);
    leaving.runners[0].leaving = true;
    world.tell(&leaving);
    let told = world.now;
    for _ in 0..50 {
        world.submit(0, "a");
        world.run(10);
    }
    assert!(
        world
            .starts
            .iter()
            .all(|(at, runner)| *runner != task(0) || *at < told)
    );
    assert!(world.answered.len() >= 40);
}

#[test]
fn an_older_table_changes_nothing() {
    let mut world = World::new(1, 1, CALM, 13);
    world.run(TAKEOVER_WAIT.0 + 200);
    world.tell(&table(0, &[], 1));
    let request = world.submit(0, "a");
    world.run(100);
    assert!(world.answered.contains_key(&request));
}

#[test]
fn without_a_runner_a_request_is_refused_at_once() {
    let mut world = World::new(1, 0, CALM, 15);
    let request = world.submit(0, "a");
    assert_eq!(
        world.refused[&request],
        (world.now, RefusalReason::NoRunner)
    );
}

#[test]
fn runners_that_cannot_be_reached_are_ejected_but_not_all() {
    let mut world = World::new(1, 4, CALM, 17);
    world.run(TAKEOVER_WAIT.0 + 200);
    world.broken = vec![task(0), task(1), task(2), task(3)];
    for _ in 0..100 {
        world.submit(0, "a");
        world.run(2);
    }
    let dump = world.engines[0]
        .as_ref()
        .expect("the test set it up")
        .dump(world.now);
    let ejected = dump[0]
        .runners
        .iter()
        .filter(|runner| runner.ejected)
        .count();
    assert_eq!(ejected, 2);
}
