//! Checks invariants in simulations with random schedules of lost, late, duplicated and reordered
//! calls, pauses, takeovers and crashes.

mod support;

use std::thread;

use support::{Mutation, Simulation};

/// Number of schedules without a mutation.
const SCHEDULES: u64 = 24_000;

/// Number of schedules within which each mutation must be caught.
const MUTATION_SCHEDULES: u64 = 3_000;

const THREADS: usize = 6;

/// Runs schedules in several threads; returns the first violations and the number of starts.
fn run_schedules(schedules: u64, mutation: Mutation) -> (Vec<String>, u64) {
    let workers = (0..THREADS).map(|first| {
        thread::spawn(move || {
            let (mut violations, mut starts) = (Vec::new(), 0);
            for seed in (0..schedules).skip(first).step_by(THREADS) {
                let checks = Simulation::run_schedule(seed, mutation);
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
        let (violations, starts) = worker.join().expect("no schedule panics");
        all.0.extend(violations);
        all.1 += starts;
    }
    all
}

#[test]
fn invariants_hold_in_all_random_schedules() {
    let (violations, starts) = run_schedules(SCHEDULES, Mutation::None);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    assert!(
        starts > SCHEDULES * 10,
        "only {starts} starts were observed"
    );
}

#[test]
fn each_mutation_is_caught_by_its_check() {
    let table = [
        (Mutation::LostResponseAsRefusal, "concurrent runs"),
        (Mutation::CapacityDoubled, "overcommit"),
        (Mutation::AckBeforeDurable, "rerun after completion"),
        (Mutation::WritesDropped, "lost job"),
        (Mutation::StopsDropped, "unfinished"),
        (Mutation::NoResponseAsDeath, "concurrent runs"),
        (Mutation::NoTakeoverWait, "concurrent runs"),
        (Mutation::RunnersNotRestored, "concurrent runs"),
        (Mutation::DependenciesDropped, "dependency"),
        (Mutation::ExtraAttempt, "attempt limit"),
    ];
    for (mutation, expected) in table {
        let (violations, _) = run_schedules(MUTATION_SCHEDULES, mutation);
        let caught = violations.iter().any(|text| text.contains(expected));
        assert!(
            caught,
            "{mutation:?} was not caught as {expected}: {violations:?}"
        );
    }
}

#[test]
fn regression_seeds_have_no_violations() {
    let table = [
        (
            5_181,
            "a run of a job cancelled before a takeover was counted without its resources",
        ),
        (
            22_562,
            "a newly started runner accepted orders of a superseded owner that resumed after a pause",
        ),
    ];
    for (seed, cause) in table {
        let violations = Simulation::run_schedule(seed, Mutation::None).violations;
        assert!(
            violations.is_empty(),
            "seed {seed}, which failed because {cause}: {violations:?}"
        );
    }
}
