//! The hazard of ends that no owner sees in time: runners that restart under their ids and are partitioned soon
//! after, answers that are lost, and inventory calls that wait on the runner.

use kspan_jobs::{engine::InventoryCall, runner::InventoryOutcome};
use rand::Rng;

use super::{Event, Hazard, Simulation, runner::FakeRunner};

/// Timeout of an inventory call, in addition to its wait time, in milliseconds; that of the cell.
const CALL_TIMEOUT_MS: u64 = 400;

/// Interval at which the outcomes of calls wait for the end of their owner's pause, in milliseconds.
pub(super) const PAUSE_POLL_MS: u64 = 50;

/// Silence after which the host list drops a runner, in milliseconds.
const ENTRY_LIFETIME_MS: u64 = 4_500;

/// How many times as many calls are lost or late soon after a restart or a partition.
const LOSS_FACTOR: u64 = 4;

/// Number of times that runners restart. After more, tasks may be given up that were on several runners when these
/// crashed.
const RESTARTS: usize = 2;

/// Maximum number of partitions without a restart.
const MAX_OTHER_PARTITIONS: usize = 2;

/// Number of jobs that are submitted between the crash and the partition, so that orders reach the next incarnation
/// before its owner knows of it.
const SUBMISSIONS: usize = 3;

/// Time of the latest restart, in milliseconds.
const LATEST_RESTART_MS: u64 = 18_000;

/// An inventory call that a runner has executed and not answered.
pub(super) struct HeldCall {
    owner: usize,
    runner: usize,
    runner_ix: usize,
    sequence: u64,
    wait: u64,
    answered: bool,
    incarnation: u64,
    until: u64,
}

impl HeldCall {
    pub(super) fn new(
        owner: usize,
        runner: usize,
        runner_ix: usize,
        call: &InventoryCall,
        answered: bool,
    ) -> Self {
        Self {
            owner,
            runner,
            runner_ix,
            sequence: call.sequence,
            wait: call.wait.0,
            answered,
            incarnation: 0,
            until: 0,
        }
    }
}

/// What the host list has of a runner, and how the network treats the runner's calls.
#[derive(Default)]
pub(crate) struct Listing {
    /// Incarnation that the host list names.
    listed: Option<u64>,
    silent_since: Option<u64>,
    /// Time until which the entry of a runner that was dropped is not back.
    missing_until: u64,
    /// Time until which many calls are lost or late.
    lossy_until: u64,
    /// Number of the next answers that are lost.
    lost_answers: u32,
}

impl FakeRunner {
    /// Returns the incarnation that the host list names now.
    fn listed_incarnation(&mut self, now: u64) -> Option<u64> {
        let is_written = self.is_entry_written(now);
        let listing = &mut self.listing;
        if !self.is_up || self.is_partitioned {
            let since = *listing.silent_since.get_or_insert(now);
            if now >= since + ENTRY_LIFETIME_MS {
                listing.listed = None;
            }
            return listing.listed;
        }
        listing.silent_since = None;
        let is_back = listing.listed.is_some() || now >= listing.missing_until;
        if is_back && is_written {
            listing.listed = Some(self.incarnation);
        }
        listing.listed
    }
}

impl Simulation {
    /// Lets several runners at once restart under their ids, and be partitioned soon after, several times.
    pub(super) fn plan_unseen_ends(&mut self) {
        self.faults_until = 24_000;
        for runner in &mut self.runners {
            runner.keeps_id = true;
            runner.executes_former_calls = true;
            runner.has_long_runs = true;
        }
        for _ in 0..RESTARTS {
            self.plan_zone_restart();
        }
        for _ in 0..self.hazard_rng.random_range(0..=MAX_OTHER_PARTITIONS) {
            let at = self.hazard_rng.random_range(500..LATEST_RESTART_MS);
            let zone = self.draw_zone();
            let heals_after = self.hazard_rng.random_range(4_000..12_000);
            self.plan_partition(&zone, at, heals_after);
        }
    }

    /// Draws runners that are hit at once.
    fn draw_zone(&mut self) -> Vec<usize> {
        let runners = self.runners.len();
        let first = self.hazard_rng.random_range(0..runners);
        let zone = (0..runners).filter(|number| *number == first || self.hazard_rng.random());
        zone.collect()
    }

    fn plan_partition(&mut self, zone: &[usize], at: u64, heals_after: u64) {
        for &runner in zone {
            let partition = Event::PartitionBegins {
                runner,
                heals_after,
            };
            self.push(at, partition);
        }
    }

    fn plan_zone_restart(&mut self) {
        let at = self.hazard_rng.random_range(500..LATEST_RESTART_MS);
        let zone = self.draw_zone();
        let restarts_after = self.hazard_rng.random_range(300..900);
        let partitioned_after = self.hazard_rng.random_range(200..3_000);
        let heals_after = self.hazard_rng.random_range(4_000..12_000);
        for &runner in &zone {
            let crash = Event::RunnerCrashes {
                runner,
                restarts_after,
            };
            self.push(at, crash);
        }
        let partitioned_at = at + restarts_after + partitioned_after;
        self.plan_partition(&zone, partitioned_at, heals_after);
        for _ in 0..SUBMISSIONS {
            let submitted_at = self.hazard_rng.random_range(at..partitioned_at);
            self.push(submitted_at, Event::Submit);
        }
        if self.hazard_rng.random_range(0..3) == 0 {
            let killed_after = self
                .hazard_rng
                .random_range(0..partitioned_after + heals_after);
            let takeover_after = self.hazard_rng.random_range(200..2_000);
            let kill = Event::OwnerKilled { takeover_after };
            self.push(at + restarts_after + killed_after, kill);
        }
    }

    /// Starts a runner again. Its clock starts at 1, or at any time in every second schedule with the hazard.
    pub(super) fn restart(&mut self, number: usize) {
        let was_up = self.runners[number].is_up;
        self.runners[number].restart(self.now);
        if self.hazard != Hazard::UnseenEnds || was_up {
            return;
        }
        let first_clock = self.hazard_rng.random_range(1..30_000);
        if self.seed.is_multiple_of(2) {
            self.runners[number].first_clock = first_clock;
        }
        let lossy_for = self.hazard_rng.random_range(0..2_000);
        self.runners[number].listing.lossy_until = self.now + lossy_for;
    }

    /// Ends the partition of a runner. The first answers are lost, and the host list may have it later.
    pub(super) fn heal(&mut self, number: usize) {
        self.runners[number].is_partitioned = false;
        if self.hazard != Hazard::UnseenEnds {
            return;
        }
        let missing_for = self.hazard_rng.random_range(0..3_000);
        let lossy_for = self.hazard_rng.random_range(0..3_000);
        let lost_answers = self.hazard_rng.random_range(0..=3);
        let listing = &mut self.runners[number].listing;
        listing.missing_until = self.now + missing_for;
        listing.lossy_until = self.now + lossy_for;
        listing.lost_answers = lost_answers;
    }

    /// Returns the incarnation of a runner that the host list names. If there is none, the owner learns that.
    pub(super) fn update_listing(&mut self, owner: usize, number: usize) -> Option<u64> {
        let listed = self.runners[number].listed_incarnation(self.now);
        if listed.is_none() {
            let id = self.runners[number].id();
            let now = kspan_model::Millis(self.now);
            self.owners[owner].engine.unlist_runner(now, &id);
        }
        listed
    }

    /// Returns whether an event is the outcome of a call that its owner, which is paused, learns of later.
    pub(super) fn is_read_after_pause(&self, event: Event) -> bool {
        let owner = match event {
            Event::InventoryAnswered { owner, .. }
            | Event::StartAnswered { owner, .. }
            | Event::StopAnswered { owner, .. } => &self.owners[owner],
            _ => return false,
        };
        self.hazard == Hazard::UnseenEnds && owner.alive && owner.paused
    }

    /// Returns whether calls to a runner may be lost or late now. With the hazard, every second pair of schedules
    /// has such calls only soon after a restart or a partition.
    pub(super) fn are_calls_faulty(&self, runner: usize) -> bool {
        if self.hazard != Hazard::UnseenEnds {
            return self.now < self.faults_until;
        }
        let has_other_faults = self.seed % 4 >= 2 && self.now < self.faults_until;
        has_other_faults || self.now < self.runners[runner].listing.lossy_until
    }

    /// Draws a number below 100 that decides whether a call is lost or late; lower ones are faults. The type drawn is
    /// part of what a seed means.
    pub(super) fn draw_fault(&mut self, runner: usize) -> u64 {
        if self.hazard != Hazard::UnseenEnds {
            let draw: i32 = self.rng.random_range(0..100);
            return draw.unsigned_abs().into();
        }
        let draw: u64 = self.rng.random_range(0..100);
        if self.now < self.runners[runner].listing.lossy_until {
            draw / LOSS_FACTOR
        } else {
            draw
        }
    }

    /// Returns whether the answer that a runner gives now is lost.
    pub(super) fn is_answer_lost(&mut self, number: usize) -> bool {
        let runner = &mut self.runners[number];
        if self.hazard != Hazard::UnseenEnds {
            return false;
        }
        if !runner.is_partitioned && runner.listing.lost_answers == 0 {
            return false;
        }
        if !runner.is_partitioned {
            runner.listing.lost_answers -= 1;
        }
        self.listings.record_disturbance(number, self.now);
        true
    }

    /// Records that an owner waits for the answer to an inventory call until its timeout.
    pub(super) fn open_inventory_call(
        &mut self,
        owner: usize,
        runner_ix: usize,
        sequence: u64,
        wait: u64,
    ) {
        self.owners[owner].open_calls.insert(sequence);
        let outcome = InventoryOutcome::NoResponse;
        self.push_answer(owner, runner_ix, sequence, outcome, wait + CALL_TIMEOUT_MS);
    }

    fn push_answer(
        &mut self,
        owner: usize,
        runner_ix: usize,
        sequence: u64,
        outcome: InventoryOutcome,
        delay: u64,
    ) {
        let outcome_index = self.owners[owner].inventory_outcomes.len();
        self.owners[owner].inventory_outcomes.push(outcome);
        let answered = Event::InventoryAnswered {
            owner,
            runner_ix,
            sequence,
            outcome_index,
        };
        self.push(delay, answered);
    }

    /// Lets a runner answer a call that it has executed, when a run ends or the wait is over.
    pub(super) fn hold_call(&mut self, mut held: HeldCall, outcome: InventoryOutcome) {
        if let InventoryOutcome::Inventory(_) = outcome {
            held.incarnation = self.runners[held.runner].incarnation;
            held.until = self.now + held.wait;
            return self.held_calls.push(held);
        }
        if held.answered && !self.is_answer_lost(held.runner) {
            let delay = self.rng.random_range(1..25);
            self.push_answer(held.owner, held.runner_ix, held.sequence, outcome, delay);
        }
    }

    /// Answers the calls whose wait is over, or whose runner has ends to list.
    pub(super) fn answer_held_calls(&mut self) {
        for held in std::mem::take(&mut self.held_calls) {
            let runner = &self.runners[held.runner];
            if !runner.is_up || runner.incarnation != held.incarnation {
                continue;
            }
            if self.now >= held.until || runner.lists_ends() {
                self.answer_held_call(&held);
            } else {
                self.held_calls.push(held);
            }
        }
    }

    fn answer_held_call(&mut self, held: &HeldCall) {
        let runner = &self.runners[held.runner];
        let outcome = InventoryOutcome::Inventory(runner.inventory(self.now));
        let (incarnation, ends) = (runner.incarnation_name(), runner.ends_within_lease());
        self.listings
            .record(held.runner, &incarnation, ends, self.now);
        if !held.answered {
            self.listings.record_disturbance(held.runner, self.now);
        } else if !self.is_answer_lost(held.runner) {
            let delay = self.rng.random_range(1..25);
            self.push_answer(held.owner, held.runner_ix, held.sequence, outcome, delay);
        }
    }
}
