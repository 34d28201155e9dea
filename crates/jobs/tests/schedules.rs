//! Checks invariants in simulations with random schedules of lost, late, duplicated and reordered
//! calls, pauses, takeovers and crashes.

mod support;

use std::thread;

use support::{Hazard, Mutation, Simulation};

/// Number of schedules without a mutation.
const SCHEDULES: u64 = 24_000;

/// Number of schedules with each hazard.
const HAZARDOUS_SCHEDULES: u64 = 6_000;

/// Number of schedules within which each mutation must be caught.
const MUTATION_SCHEDULES: u64 = 3_000;

const THREADS: usize = 6;

/// Runs schedules in several threads; returns the first violations and the number of starts.
fn run_schedules(schedules: u64, mutation: Mutation, hazard: Hazard) -> (Vec<String>, u64) {
    let workers = (0..THREADS).map(|first| {
        thread::spawn(move || {
            let (mut violations, mut starts) = (Vec::new(), 0);
            for seed in (0..schedules).skip(first).step_by(THREADS) {
                let checks = Simulation::run_hazardous_schedule(seed, mutation, hazard);
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

/// Checks that no schedule with a hazard has a violation, and that tasks start in them.
fn assert_invariants_hold(schedules: u64, hazard: Hazard) {
    let (violations, starts) = run_schedules(schedules, Mutation::None, hazard);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    assert!(
        starts > schedules * 10,
        "only {starts} starts were observed"
    );
}

#[test]
fn invariants_hold_in_all_random_schedules() {
    assert_invariants_hold(SCHEDULES, Hazard::None);
}

#[test]
fn invariants_hold_while_tasks_crash_their_runners() {
    assert_invariants_hold(HAZARDOUS_SCHEDULES, Hazard::CrashingTasks);
}

#[test]
fn invariants_hold_while_capacities_change() {
    assert_invariants_hold(HAZARDOUS_SCHEDULES, Hazard::ChangingCapacity);
}

/// Guards against tasks that run twice because an order reaches the next incarnation of its runner.
#[test]
fn invariants_hold_while_runners_restart_under_their_ids() {
    assert_invariants_hold(HAZARDOUS_SCHEDULES, Hazard::ReusedIds);
}

/// Guards against tasks that run twice because a runner restarts under its id, executes orders for its former
/// incarnation, and is cut off before the owner or a new one knows of it.
#[test]
fn invariants_hold_while_restarted_runners_are_partitioned() {
    assert_invariants_hold(HAZARDOUS_SCHEDULES, Hazard::PartitionedRestarts);
}

/// Guards against the same where an order is held up for seconds and reaches the next incarnation before any
/// owner does.
#[test]
fn invariants_hold_while_late_orders_reach_unknown_incarnations() {
    let (violations, _) = run_schedules(HAZARDOUS_SCHEDULES, Mutation::None, Hazard::LateOrders);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Guards against the same where approvals bound which incarnation may carry an order out: no task waits for another one,
/// and none runs twice.
#[test]
fn invariants_hold_while_late_orders_reach_incarnations_without_their_approval() {
    assert_invariants_hold(HAZARDOUS_SCHEDULES, Hazard::ApprovedStarts);
}

/// Guards against tasks that run twice because what one incarnation of a runner was told, or did while nobody
/// reached it, is taken for what holds now: restarts, partitions, lost answers and late calls close together.
#[test]
fn invariants_hold_while_ends_go_unseen() {
    assert_invariants_hold(HAZARDOUS_SCHEDULES, Hazard::UnseenEnds);
}

/// Guards against members of a gang that wait in vain although their owner knows that another will never come.
#[test]
fn invariants_hold_while_members_of_gangs_wait_for_each_other() {
    assert_invariants_hold(HAZARDOUS_SCHEDULES, Hazard::Gangs);
}

/// Guards against runs of gangs that count as several attempts, or as none, because an upgrade falls between the
/// ends of their members.
#[test]
fn gang_runs_are_one_attempt_each_across_upgrades() {
    assert_invariants_hold(HAZARDOUS_SCHEDULES, Hazard::UpgradedGangs);
}

#[test]
fn each_mutation_is_caught_by_its_check() {
    let table = [
        (
            Mutation::LostResponseAsRefusal,
            "concurrent runs",
            Hazard::None,
        ),
        (Mutation::CapacityDoubled, "overcommit", Hazard::None),
        (
            Mutation::AckBeforeDurable,
            "rerun after completion",
            Hazard::None,
        ),
        (Mutation::WritesDropped, "lost job", Hazard::None),
        (Mutation::StopsDropped, "unfinished", Hazard::None),
        (Mutation::NoResponseAsDeath, "concurrent runs", Hazard::None),
        (Mutation::NoTakeoverWait, "concurrent runs", Hazard::None),
        (
            Mutation::RunnersNotRestored,
            "concurrent runs",
            Hazard::None,
        ),
        (Mutation::TaskListKept, "concurrent runs", Hazard::None),
        (Mutation::DependenciesDropped, "dependency", Hazard::None),
        (Mutation::ExtraAttempt, "attempt limit", Hazard::None),
        (
            Mutation::CrashesNotRestored,
            "crash limit",
            Hazard::CrashingTasks,
        ),
        (
            Mutation::CapacityNotUpdated,
            "overcommit",
            Hazard::ChangingCapacity,
        ),
        (Mutation::GangWaitUnknown, "alone", Hazard::Gangs),
    ];
    for (mutation, expected, hazard) in table {
        let (violations, _) = run_schedules(MUTATION_SCHEDULES, mutation, hazard);
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
            Hazard::None,
            "a run of a job cancelled before a takeover was counted without its resources",
        ),
        (
            22_562,
            Hazard::None,
            "a newly started runner accepted orders of a superseded owner that resumed after a pause",
        ),
        (
            20_760,
            Hazard::CrashingTasks,
            "a gang of one member never started alone, and was given up for the crashes of others",
        ),
        (
            29_666,
            Hazard::CrashingTasks,
            "as above, by successive owners",
        ),
        (
            10_494,
            Hazard::Gangs,
            "members of a run waited in vain after an earlier run was found to be done",
        ),
        (
            47_121,
            Hazard::UpgradedGangs,
            "members of a run waited in vain while the ownership was not confirmed",
        ),
        (
            1_299,
            Hazard::UnseenEnds,
            "an adopted task was started again by two owners",
        ),
        (
            3_993,
            Hazard::UnseenEnds,
            "a late order for another task extended the lease of an incarnation that nobody had heard",
        ),
        (
            14_017,
            Hazard::UnseenEnds,
            "a clock that went back by little did not show the restart",
        ),
        (
            17_468,
            Hazard::UnseenEnds,
            "a start was carried out late by an incarnation that nobody had heard",
        ),
        (
            22_815,
            Hazard::UnseenEnds,
            "nothing showed the restart of a runner that was cut off",
        ),
        (
            15_763,
            Hazard::UnseenEnds,
            "a late order of the previous owner kept the lease of an incarnation that nobody had heard alive",
        ),
        (
            594,
            Hazard::UnseenEnds,
            "a job failed for a start at a runner whose restart only a refusal showed",
        ),
        (
            1_446,
            Hazard::UnseenEnds,
            "a job failed for starts that got no answer",
        ),
        (2_361, Hazard::UnseenEnds, "as above, by successive owners"),
    ];
    for (seed, hazard, cause) in table {
        let checks = Simulation::run_hazardous_schedule(seed, Mutation::None, hazard);
        let violations = checks.violations;
        assert!(
            violations.is_empty(),
            "seed {seed}, which failed because {cause}: {violations:?}"
        );
    }
}
