//! Failures of owners, workers, exchanges and the log, caused on purpose. The bench checks after
//! every step that no task runs twice.

mod support;

use std::sync::Arc;

use kspan_contract::protocol::{hosts::HostState, worker::Command};
use kspan_model::{JobResult, Resources};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{Bench, Passage};

/// A takeover may take this long.
const TAKEOVER_MS: u64 = 5_000;

/// Longest lease of a task, with every margin that an owner adds.
const LAPSE_MS: u64 = 15_000 + 150 + 1_000;

fn settled(schedulers: usize, runners: u32) -> Bench {
    let mut bench = Bench::new(schedulers, 5, runners);
    bench.run_until(3_000, |bench| bench.running() == runners as usize);
    bench.run_ms(2_000);
    bench
}

fn owner(bench: &Bench) -> usize {
    bench.owner().expect("the shard is owned")
}

fn busiest(bench: &Bench) -> String {
    let workers = bench.workers.values();
    let busiest = workers.max_by_key(|worker| worker.running().count());
    busiest.expect("there are workers").name.clone()
}

#[test]
fn services_and_jobs_run_and_ended_tasks_are_forgotten() {
    let mut bench = settled(3, 6);
    let job = bench.submit(7);
    bench.run_until(5_000, |bench| bench.result(job).is_some());
    assert_eq!(bench.result(job), Some(JobResult::Succeeded));
    assert_eq!(bench.starts(), 6 + 4);
    bench.run_ms(2_000);
    let rows: usize = bench.workers.values().map(|worker| worker.rows.len()).sum();
    assert_eq!(rows, 6);
}

#[test]
fn takeover_starts_nothing_twice_and_is_quick() {
    let mut bench = settled(3, 6);
    let before = owner(&bench);
    bench.kill(before);
    bench.log_is_up = false;
    let took = bench.run_until(TAKEOVER_MS, |bench| bench.owner().is_some());
    assert!(took <= TAKEOVER_MS);
    assert_ne!(owner(&bench), before);
    bench.run_ms(20_000);
    assert_eq!(bench.starts(), 6);
    assert_eq!(bench.running(), 6);
}

#[test]
fn two_owners_dead_in_a_row_are_succeeded_without_a_new_view() {
    let mut bench = settled(3, 6);
    for _ in 0..2 {
        let dead = owner(&bench);
        bench.kill(dead);
        bench.run_until(TAKEOVER_MS, |bench| bench.owner().is_some());
    }
    bench.submit(8);
    bench.run_ms(5_000);
    assert_eq!(bench.starts(), 6 + 4);
}

#[test]
fn first_owner_takes_the_shard_back_from_a_dead_successor() {
    let mut bench = settled(2, 6);
    let first = owner(&bench);
    bench.pause(first);
    bench.run_until(TAKEOVER_MS, |bench| bench.owner().is_some());
    bench.resume(first);
    bench.run_ms(3_000);
    let second = owner(&bench);
    assert_ne!(second, first);
    bench.kill(second);
    bench.run_until(TAKEOVER_MS, |bench| bench.owner() == Some(first));
    assert_eq!(bench.starts(), 6);
}

#[test]
fn lost_answers_double_nothing() {
    for seed in 0..20 {
        let mut bench = Bench::new(3, 5, 4);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        bench.passage = Box::new(move |_, _, _| match rng.random_range(0..10) {
            0 => Passage::RequestLost,
            1 => Passage::NotSent,
            2 | 3 => Passage::AnswerLost,
            _ => Passage::Both,
        });
        bench.run_ms(4_000);
        let jobs: Vec<_> = (0..5).map(|job| bench.submit(100 + job)).collect();
        bench.run_ms(60_000);
        bench.passage = Box::new(|_, _, _| Passage::Both);
        bench.run_ms(10_000);
        for job in jobs {
            assert_eq!(bench.result(job), Some(JobResult::Succeeded), "seed {seed}");
        }
        assert_eq!(bench.running(), 4, "seed {seed}");
    }
}

#[test]
fn pauses_kills_and_lost_answers_together_double_nothing() {
    for seed in 0..30 {
        let mut bench = Bench::new(4, 5, 6);
        let mut rng = ChaCha8Rng::seed_from_u64(1_000 + seed);
        let mut loss = ChaCha8Rng::seed_from_u64(2_000 + seed);
        bench.passage = Box::new(move |_, _, _| match loss.random_range(0..20) {
            0 => Passage::RequestLost,
            1 => Passage::AnswerLost,
            _ => Passage::Both,
        });
        let mut jobs = Vec::new();
        for round in 0..12 {
            let seat = rng.random_range(0..4);
            match rng.random_range(0..5) {
                0 => bench.pause(seat),
                1 => {
                    let worker = format!("worker-{}", rng.random_range(0..5));
                    bench.workers.get_mut(&worker).expect("a worker").restart();
                }
                2 => (0..4).for_each(|seat| bench.resume(seat)),
                _ => jobs.push(bench.submit(round)),
            }
            bench.spread();
            bench.run_ms(rng.random_range(1..6) * 1_000);
        }
        (0..4).for_each(|seat| bench.resume(seat));
        bench.passage = Box::new(|_, _, _| Passage::Both);
        bench.spread();
        bench.run_ms(40_000);
        assert_eq!(bench.running(), 6, "seed {seed}");
        for job in jobs {
            assert_eq!(bench.result(job), Some(JobResult::Succeeded), "seed {seed}");
        }
    }
}

#[test]
fn a_paused_owner_that_wakes_sends_no_start() {
    let mut bench = settled(3, 6);
    let paused = owner(&bench);
    bench.pause(paused);
    bench.run_ms(25_000);
    let next = owner(&bench);
    assert_ne!(next, paused);
    let starts = bench.starts();
    bench.resume(paused);
    bench.passage = Box::new(move |seat, order, _| {
        let starts = |command: &Command| matches!(command, Command::Start(_));
        assert!(
            seat != paused || !order.body.commands.iter().any(starts),
            "a superseded owner sent a start"
        );
        Passage::Both
    });
    bench.spread();
    bench.run_ms(5_000);
    assert_eq!(bench.starts(), starts);
    assert_eq!(bench.owner(), Some(next));
}

#[test]
fn a_worker_with_a_new_life_has_its_tasks_started_anew() {
    let mut bench = settled(1, 6);
    let worker = bench.workers.get_mut("worker-1").expect("a worker");
    worker.restart();
    bench.run_ms(5_000);
    assert_eq!(bench.running(), 6);
}

#[test]
fn a_silent_workers_tasks_wait_for_the_lapse_of_their_leases() {
    let mut bench = settled(1, 5);
    let silent = busiest(&bench);
    let heard = silent.clone();
    // It hears everything and answers nothing, so each exchange but a probe renews its leases.
    let lost_at = bench.now;
    bench.passage = Box::new(move |_, order, _| {
        if order.ticket.worker.as_str() == heard {
            Passage::AnswerLost
        } else {
            Passage::Both
        }
    });
    bench.run_ms(LAPSE_MS);
    assert_eq!(bench.starts(), 5, "started elsewhere before the lapse");
    bench.run_until(15_000, |bench| bench.starts() > 5);
    assert!(bench.now - lost_at > LAPSE_MS);
    bench.run_ms(2_000);
    let elsewhere: usize = bench
        .workers
        .values()
        .filter(|worker| worker.name != silent)
        .map(|worker| worker.running().count())
        .sum();
    assert_eq!(elsewhere, 5);
}

#[test]
fn an_ambiguous_start_stays_where_it_was_sent() {
    let mut bench = settled(1, 0);
    bench.passage = Box::new(|_, order, _| {
        if order.body.commands.is_empty() {
            Passage::Both
        } else {
            Passage::AnswerLost
        }
    });
    let job = bench.submit(9);
    bench.run_ms(1_000);
    bench.passage = Box::new(|_, _, _| Passage::Both);
    bench.run_until(8_000, |bench| bench.result(job).is_some());
    assert_eq!(bench.starts(), 4);
}

#[test]
fn an_end_that_the_log_lacks_survives_its_owner() {
    let mut bench = settled(2, 0);
    let job = bench.submit(10);
    bench.log_is_up = false;
    bench.run_ms(4_000);
    assert_eq!(bench.result(job), None);
    let dead = owner(&bench);
    bench.kill(dead);
    bench.run_ms(6_000);
    bench.log_is_up = true;
    bench.run_until(3_000, |bench| bench.result(job).is_some());
    assert_eq!(bench.result(job), Some(JobResult::Succeeded));
    assert_eq!(bench.starts(), 4);
}

#[test]
fn cancellations_are_answered_truthfully() {
    let mut bench = settled(1, 0);
    bench.passage = Box::new(|_, _, _| Passage::NotSent);
    let unsent = bench.submit(11);
    bench.cancel(unsent);
    bench.passage = Box::new(|_, _, _| Passage::Both);
    bench.run_ms(3_000);
    assert_eq!(bench.result(unsent), Some(JobResult::CancelledNotRun));
    assert_eq!(bench.starts(), 0);
    let running = bench.submit(12);
    bench.run_until(2_000, |bench| bench.running() == 4);
    bench.cancel(running);
    bench.run_until(3_000, |bench| bench.result(running).is_some());
    assert_eq!(bench.result(running), Some(JobResult::Cancelled));
}

#[test]
fn a_successor_does_not_call_a_job_not_run_that_it_cannot_vouch_for() {
    let mut bench = settled(2, 0);
    bench
        .workers
        .values_mut()
        .for_each(|worker| worker.leaving = true);
    bench.run_ms(1_000);
    let job = bench.submit(13);
    bench.run_ms(1_000);
    let dead = owner(&bench);
    bench.kill(dead);
    bench.run_until(TAKEOVER_MS, |bench| bench.owner().is_some());
    bench.cancel(job);
    bench.run_until(3_000, |bench| bench.result(job).is_some());
    assert_eq!(bench.result(job), Some(JobResult::Cancelled));
}

#[test]
fn a_drained_worker_is_emptied_after_others_stand_in() {
    let mut bench = settled(1, 5);
    let leaving = busiest(&bench);
    for host in &mut bench.hosts.hosts {
        if host.name == leaving {
            host.state = HostState::Leaving;
        }
    }
    bench.spread();
    let fewest = std::cell::Cell::new(usize::MAX);
    bench.run_until(20_000, |bench| {
        fewest.set(fewest.get().min(bench.running()));
        bench.workers[&leaving].running().count() == 0
    });
    assert!(fewest.get() >= 5, "runners were stopped before others ran");
    bench.run_ms(20_000);
    assert_eq!(bench.running(), 5);
}

#[test]
fn a_planned_stop_hands_over_at_once_and_tasks_keep_running() {
    let mut bench = settled(2, 6);
    let stopping = owner(&bench);
    let now = kspan_model::Millis(bench.now);
    bench.seats[stopping].core.stop(now);
    bench.run_until(2_000, |bench| bench.seats[stopping].core.is_stopped());
    bench.seats[stopping].alive = false;
    bench.set_view(50);
    bench.spread();
    let took = bench.run_until(TAKEOVER_MS, |bench| bench.owner().is_some());
    assert!(
        took < 1_500,
        "the released leases were waited for: {took} ms"
    );
    assert_eq!(bench.running(), 6);
    assert_eq!(bench.starts(), 6);
}

#[test]
fn a_minority_of_workers_is_not_claimed() {
    let mut bench = settled(2, 6);
    let first = owner(&bench);
    let second = 1 - first;
    // The second can reach two of five workers, and believes the first dead.
    bench.passage = Box::new(move |seat, order, _| {
        let near = ["worker-0", "worker-1"].contains(&order.ticket.worker.as_str());
        if (seat == second) == near {
            Passage::Both
        } else {
            Passage::NotSent
        }
    });
    let first_node = bench.seats[first].node.clone();
    bench.seats[second].core.set_silent(&first_node, true);
    bench.run_ms(40_000);
    assert_eq!(bench.owner(), Some(first));
}

#[test]
fn tasks_beyond_their_size_are_throttled_on_a_crowded_worker_only() {
    for (usage_cpu, throttled) in [(1_000, 0), (2_000, 4)] {
        let mut bench = Bench::new(1, 1, 4);
        for worker in bench.workers.values_mut() {
            worker.usage_cpu = usage_cpu;
        }
        bench.run_ms(5_000);
        let throttles = &bench.workers["worker-0"].throttles;
        assert_eq!(throttles.len(), throttled);
        assert!(throttles.iter().all(|(_, cpu_milli)| *cpu_milli == 1_000));
    }
}

#[test]
fn a_team_without_borrowing_waits_while_other_shards_hold_its_quota() {
    let mut bench = settled(1, 0);
    let mut document = (**bench.fold.document.as_ref().expect("a document")).clone();
    document.teams[0].quota = Resources::new(4_000, 1_000_000, 0);
    document.teams[0].borrow = false;
    bench.fold.document = Some(Arc::new(document));
    bench.fold.document_version += 1;
    bench.tell_held_elsewhere(Resources::new(3_500, 0, 0));
    bench.run_ms(1_500);
    let job = bench.submit(14);
    bench.run_ms(5_000);
    assert_eq!(bench.starts(), 0);
    assert_eq!(bench.result(job), None, "it can run later");
    bench.tell_held_elsewhere(Resources::ZERO);
    bench.run_until(8_000, |bench| bench.result(job).is_some());
    assert_eq!(bench.result(job), Some(JobResult::Succeeded));
}
