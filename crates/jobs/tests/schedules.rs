//! Random schedules of lost, late, doubled and overtaking calls, pauses, takeovers and crashes,
//! held against what must always be true.

mod support;

use std::thread;

use support::{Mutation, World};

/// Schedules that CI plays.
const SCHEDULES: u64 = 24_000;

/// Schedules in which a fault of the harness has to show.
const MUTATED: u64 = 3_000;

const THREADS: usize = 6;

/// Plays schedules on a few threads; returns the first violations and the number of starts.
fn play(schedules: u64, mutation: Mutation) -> (Vec<String>, u64) {
    let workers = (0..THREADS).map(|first| {
        thread::spawn(move || {
            let (mut violations, mut starts) = (Vec::new(), 0);
            for seed in (0..schedules).skip(first).step_by(THREADS) {
                let checks = World::play(seed, mutation);
                starts += checks.starts;
                violations.extend(checks.violations);
                if violations.len() >= 20 {
                    break;
                }
            }
            (violations, starts)
        })
    });
    let workers: Vec<_> = workers.collect();
    let mut all = (Vec::new(), 0);
    for worker in workers {
        let (violations, starts) = worker.join().expect("no schedule may panic");
        all.0.extend(violations);
        all.1 += starts;
    }
    all
}

#[test]
fn nothing_that_must_hold_is_broken_in_any_schedule() {
    let (violations, starts) = play(SCHEDULES, Mutation::None);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    assert!(starts > SCHEDULES * 10, "only {starts} starts were seen");
}

#[test]
fn each_check_catches_a_fault_that_breaks_it() {
    let table = [
        (Mutation::DoubtIsRefusal, "two places"),
        (Mutation::RoomDoubled, "room"),
        (Mutation::AckEarly, "again after done"),
        (Mutation::WriteNothing, "lost"),
        (Mutation::StopsDropped, "stuck"),
        (Mutation::SilenceIsDeath, "two places"),
        (Mutation::NoWaitAtTakeover, "two places"),
        (Mutation::RunnersForgotten, "two places"),
        (Mutation::DependenciesForgotten, "order"),
        (Mutation::OneAttemptMore, "attempts"),
    ];
    for (mutation, expected) in table {
        let (violations, _) = play(MUTATED, mutation);
        let caught = violations.iter().any(|text| text.contains(expected));
        assert!(
            caught,
            "{mutation:?} was not caught as {expected}: {violations:?}"
        );
    }
}

#[test]
fn schedules_that_once_failed_stay_whole() {
    let table = [
        (
            5_181,
            "a run of a job cancelled before a takeover was counted as taking no room",
        ),
        (
            22_562,
            "a runner that had just started obeyed an owner that woke from a pause",
        ),
    ];
    for (seed, cause) in table {
        let violations = World::play(seed, Mutation::None).violations;
        assert!(violations.is_empty(), "again: {cause}: {violations:?}");
    }
}
