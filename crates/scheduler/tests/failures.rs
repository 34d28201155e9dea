//! Injected failures of owners, workers, exchanges and the log. The simulation asserts after every
//! step that no task runs twice.

mod support;

use std::sync::Arc;

use kspan_contract::protocol::{hosts::HostState, worker::Command};
use kspan_model::{JobResult, Resources};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{Delivery, Simulation};

/// Time limit of a takeover.
const TAKEOVER_MS: u64 = 5_000;

/// Duration of the task lease with the margins that an owner adds.
const TASK_LEASE_EXPIRY_MS: u64 = 15_000 + 150 + 1_000;

fn settled_simulation(schedulers: usize, runners: u32) -> Simulation {
    let mut simulation = Simulation::new(schedulers, 5, runners);
    simulation.run_until(3_000, |simulation| simulation.running() == runners as usize);
    simulation.run_ms(2_000);
    simulation
}

fn owner(simulation: &Simulation) -> usize {
    simulation.owner().expect("the shard is owned")
}

fn busiest_worker(simulation: &Simulation) -> String {
    let workers = simulation.workers.values();
    let busiest_worker = workers.max_by_key(|worker| worker.running().count());
    busiest_worker.expect("there are workers").name.clone()
}

#[test]
fn services_and_jobs_run_and_workers_forget_ended_tasks() {
    let mut simulation = settled_simulation(3, 6);
    let job = simulation.submit(7);
    simulation.run_until(5_000, |simulation| simulation.result(job).is_some());
    assert_eq!(simulation.result(job), Some(JobResult::Succeeded));
    assert_eq!(simulation.starts(), 6 + 4);
    simulation.run_ms(2_000);
    let rows: usize = simulation
        .workers
        .values()
        .map(|worker| worker.rows.len())
        .sum();
    assert_eq!(rows, 6);
}

#[test]
fn takeover_in_a_log_outage_meets_the_time_limit_and_starts_no_task_twice() {
    let mut simulation = settled_simulation(3, 6);
    let before = owner(&simulation);
    simulation.kill(before);
    simulation.log_is_up = false;
    let took = simulation.run_until(TAKEOVER_MS, |simulation| simulation.owner().is_some());
    assert!(took <= TAKEOVER_MS);
    assert_ne!(owner(&simulation), before);
    simulation.run_ms(20_000);
    assert_eq!(simulation.starts(), 6);
    assert_eq!(simulation.running(), 6);
}

#[test]
fn two_consecutive_owner_failures_are_taken_over_without_a_new_view() {
    let mut simulation = settled_simulation(3, 6);
    for _ in 0..2 {
        let dead = owner(&simulation);
        simulation.kill(dead);
        simulation.run_until(TAKEOVER_MS, |simulation| simulation.owner().is_some());
    }
    simulation.submit(8);
    simulation.run_ms(5_000);
    assert_eq!(simulation.starts(), 6 + 4);
}

#[test]
fn first_owner_takes_over_again_after_its_successor_fails() {
    let mut simulation = settled_simulation(2, 6);
    let first = owner(&simulation);
    simulation.pause(first);
    simulation.run_until(TAKEOVER_MS, |simulation| simulation.owner().is_some());
    simulation.resume(first);
    simulation.run_ms(3_000);
    let second = owner(&simulation);
    assert_ne!(second, first);
    simulation.kill(second);
    simulation.run_until(TAKEOVER_MS, |simulation| simulation.owner() == Some(first));
    assert_eq!(simulation.starts(), 6);
}

#[test]
fn lost_requests_and_replies_start_no_task_twice() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(3, 5, 4);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        simulation.delivery = Box::new(move |_, _, _| match rng.random_range(0..10) {
            0 => Delivery::RequestLost,
            1 => Delivery::NotSent,
            2 | 3 => Delivery::ReplyLost,
            _ => Delivery::Delivered,
        });
        simulation.run_ms(4_000);
        let jobs: Vec<_> = (0..5).map(|job| simulation.submit(100 + job)).collect();
        simulation.run_ms(60_000);
        simulation.delivery = Box::new(|_, _, _| Delivery::Delivered);
        simulation.run_ms(10_000);
        for job in jobs {
            assert_eq!(
                simulation.result(job),
                Some(JobResult::Succeeded),
                "seed {seed}"
            );
        }
        assert_eq!(simulation.running(), 4, "seed {seed}");
    }
}

#[test]
fn pauses_worker_restarts_and_lost_replies_start_no_task_twice() {
    for seed in 0..30 {
        let mut simulation = Simulation::new(4, 5, 6);
        let mut rng = ChaCha8Rng::seed_from_u64(1_000 + seed);
        let mut loss = ChaCha8Rng::seed_from_u64(2_000 + seed);
        simulation.delivery = Box::new(move |_, _, _| match loss.random_range(0..20) {
            0 => Delivery::RequestLost,
            1 => Delivery::ReplyLost,
            _ => Delivery::Delivered,
        });
        let mut jobs = Vec::new();
        for round in 0..12 {
            let scheduler = rng.random_range(0..4);
            match rng.random_range(0..5) {
                0 => simulation.pause(scheduler),
                1 => {
                    let worker = format!("worker-{}", rng.random_range(0..5));
                    simulation
                        .workers
                        .get_mut(&worker)
                        .expect("a worker")
                        .restart();
                }
                2 => (0..4).for_each(|scheduler| simulation.resume(scheduler)),
                _ => jobs.push(simulation.submit(round)),
            }
            simulation.publish_state();
            simulation.run_ms(rng.random_range(1..6) * 1_000);
        }
        (0..4).for_each(|scheduler| simulation.resume(scheduler));
        simulation.delivery = Box::new(|_, _, _| Delivery::Delivered);
        simulation.publish_state();
        simulation.run_ms(40_000);
        assert_eq!(simulation.running(), 6, "seed {seed}");
        for job in jobs {
            assert_eq!(
                simulation.result(job),
                Some(JobResult::Succeeded),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn a_superseded_owner_sends_no_start_after_a_pause() {
    let mut simulation = settled_simulation(3, 6);
    let paused = owner(&simulation);
    simulation.pause(paused);
    simulation.run_ms(25_000);
    let next = owner(&simulation);
    assert_ne!(next, paused);
    let starts = simulation.starts();
    simulation.resume(paused);
    simulation.delivery = Box::new(move |scheduler, request, _| {
        let starts = |command: &Command| matches!(command, Command::Start(_));
        assert!(
            scheduler != paused || !request.body.commands.iter().any(starts),
            "a superseded owner sent a start"
        );
        Delivery::Delivered
    });
    simulation.publish_state();
    simulation.run_ms(5_000);
    assert_eq!(simulation.starts(), starts);
    assert_eq!(simulation.owner(), Some(next));
}

#[test]
fn tasks_of_a_restarted_worker_are_started_again() {
    let mut simulation = settled_simulation(1, 6);
    let worker = simulation.workers.get_mut("worker-1").expect("a worker");
    worker.restart();
    simulation.run_ms(5_000);
    assert_eq!(simulation.running(), 6);
}

#[test]
fn tasks_of_a_silent_worker_start_elsewhere_only_after_their_leases_expire() {
    let mut simulation = settled_simulation(1, 5);
    let silent = busiest_worker(&simulation);
    let worker_without_replies = silent.clone();
    // The worker receives every exchange but its replies are lost, so each exchange except probes
    // renews its leases.
    let lost_at = simulation.now;
    simulation.delivery = Box::new(move |_, request, _| {
        if request.key.worker.as_str() == worker_without_replies {
            Delivery::ReplyLost
        } else {
            Delivery::Delivered
        }
    });
    simulation.run_ms(TASK_LEASE_EXPIRY_MS);
    assert_eq!(
        simulation.starts(),
        5,
        "tasks were started elsewhere before the leases expired"
    );
    simulation.run_until(15_000, |simulation| simulation.starts() > 5);
    assert!(simulation.now - lost_at > TASK_LEASE_EXPIRY_MS);
    simulation.run_ms(2_000);
    let elsewhere: usize = simulation
        .workers
        .values()
        .filter(|worker| worker.name != silent)
        .map(|worker| worker.running().count())
        .sum();
    assert_eq!(elsewhere, 5);
}

#[test]
fn a_start_in_doubt_is_not_sent_to_another_worker() {
    let mut simulation = settled_simulation(1, 0);
    simulation.delivery = Box::new(|_, request, _| {
        if request.body.commands.is_empty() {
            Delivery::Delivered
        } else {
            Delivery::ReplyLost
        }
    });
    let job = simulation.submit(9);
    simulation.run_ms(1_000);
    simulation.delivery = Box::new(|_, _, _| Delivery::Delivered);
    simulation.run_until(8_000, |simulation| simulation.result(job).is_some());
    assert_eq!(simulation.starts(), 4);
}

#[test]
fn an_unrecorded_job_end_is_recorded_by_the_next_owner() {
    let mut simulation = settled_simulation(2, 0);
    let job = simulation.submit(10);
    simulation.log_is_up = false;
    simulation.run_ms(4_000);
    assert_eq!(simulation.result(job), None);
    let dead = owner(&simulation);
    simulation.kill(dead);
    simulation.run_ms(6_000);
    simulation.log_is_up = true;
    simulation.run_until(3_000, |simulation| simulation.result(job).is_some());
    assert_eq!(simulation.result(job), Some(JobResult::Succeeded));
    assert_eq!(simulation.starts(), 4);
}

#[test]
fn cancellation_reports_not_run_only_if_no_start_was_sent() {
    let mut simulation = settled_simulation(1, 0);
    simulation.delivery = Box::new(|_, _, _| Delivery::NotSent);
    let unsent = simulation.submit(11);
    simulation.cancel(unsent);
    simulation.delivery = Box::new(|_, _, _| Delivery::Delivered);
    simulation.run_ms(3_000);
    assert_eq!(simulation.result(unsent), Some(JobResult::CancelledNotRun));
    assert_eq!(simulation.starts(), 0);
    let running = simulation.submit(12);
    simulation.run_until(2_000, |simulation| simulation.running() == 4);
    simulation.cancel(running);
    simulation.run_until(3_000, |simulation| simulation.result(running).is_some());
    assert_eq!(simulation.result(running), Some(JobResult::Cancelled));
}

#[test]
fn a_new_owner_does_not_report_not_run_for_a_job_of_a_previous_owner() {
    let mut simulation = settled_simulation(2, 0);
    simulation
        .workers
        .values_mut()
        .for_each(|worker| worker.leaving = true);
    simulation.run_ms(1_000);
    let job = simulation.submit(13);
    simulation.run_ms(1_000);
    let dead = owner(&simulation);
    simulation.kill(dead);
    simulation.run_until(TAKEOVER_MS, |simulation| simulation.owner().is_some());
    simulation.cancel(job);
    simulation.run_until(3_000, |simulation| simulation.result(job).is_some());
    assert_eq!(simulation.result(job), Some(JobResult::Cancelled));
}

#[test]
fn a_draining_worker_keeps_its_runners_until_replacements_run() {
    let mut simulation = settled_simulation(1, 5);
    let leaving = busiest_worker(&simulation);
    for host in &mut simulation.hosts.hosts {
        if host.name == leaving {
            host.state = HostState::Leaving;
        }
    }
    simulation.publish_state();
    let fewest_running = std::cell::Cell::new(usize::MAX);
    simulation.run_until(20_000, |simulation| {
        fewest_running.set(fewest_running.get().min(simulation.running()));
        simulation.workers[&leaving].running().count() == 0
    });
    assert!(
        fewest_running.get() >= 5,
        "runners were stopped before their replacements ran"
    );
    simulation.run_ms(20_000);
    assert_eq!(simulation.running(), 5);
}

#[test]
fn graceful_shutdown_releases_leases_at_once_and_keeps_tasks_running() {
    let mut simulation = settled_simulation(2, 6);
    let stopping = owner(&simulation);
    let now = kspan_model::Millis(simulation.now);
    simulation.schedulers[stopping].core.begin_stop(now);
    simulation.run_until(2_000, |simulation| {
        simulation.schedulers[stopping].core.is_stopped()
    });
    simulation.schedulers[stopping].alive = false;
    simulation.set_view(50);
    simulation.publish_state();
    let took = simulation.run_until(TAKEOVER_MS, |simulation| simulation.owner().is_some());
    assert!(
        took < 1_500,
        "takeover waited for released leases: {took} ms"
    );
    assert_eq!(simulation.running(), 6);
    assert_eq!(simulation.starts(), 6);
}

#[test]
fn a_scheduler_that_reaches_a_minority_of_workers_does_not_take_over() {
    let mut simulation = settled_simulation(2, 6);
    let first = owner(&simulation);
    let second = 1 - first;
    // The second scheduler reaches two of five workers and suspects the first.
    simulation.delivery = Box::new(move |scheduler, request, _| {
        let is_reachable_by_second =
            ["worker-0", "worker-1"].contains(&request.key.worker.as_str());
        if (scheduler == second) == is_reachable_by_second {
            Delivery::Delivered
        } else {
            Delivery::NotSent
        }
    });
    let first_node = simulation.schedulers[first].node.clone();
    simulation.schedulers[second]
        .core
        .set_suspected(&first_node, true);
    simulation.run_ms(40_000);
    assert_eq!(simulation.owner(), Some(first));
}

#[test]
fn tasks_above_their_size_are_throttled_only_on_a_busy_worker() {
    for (usage_cpu, throttled) in [(1_000, 0), (2_000, 4)] {
        let mut simulation = Simulation::new(1, 1, 4);
        for worker in simulation.workers.values_mut() {
            worker.usage_cpu = usage_cpu;
        }
        simulation.run_ms(5_000);
        let throttles = &simulation.workers["worker-0"].throttles;
        assert_eq!(throttles.len(), throttled);
        assert!(throttles.iter().all(|(_, cpu_milli)| *cpu_milli == 1_000));
    }
}

#[test]
fn a_team_without_borrowing_waits_while_its_quota_is_used_in_other_shards() {
    let mut simulation = settled_simulation(1, 0);
    let mut document = (**simulation.log_state.document.as_ref().expect("a document")).clone();
    document.teams[0].quota = Resources::new(4_000, 1_000_000, 0);
    document.teams[0].borrow = false;
    simulation.log_state.document = Some(Arc::new(document));
    simulation.log_state.document_version += 1;
    simulation.report_usage_elsewhere(Resources::new(3_500, 0, 0));
    simulation.run_ms(1_500);
    let job = simulation.submit(14);
    simulation.run_ms(5_000);
    assert_eq!(simulation.starts(), 0);
    assert_eq!(simulation.result(job), None, "the job must wait, not end");
    simulation.report_usage_elsewhere(Resources::ZERO);
    simulation.run_until(8_000, |simulation| simulation.result(job).is_some());
    assert_eq!(simulation.result(job), Some(JobResult::Succeeded));
}
