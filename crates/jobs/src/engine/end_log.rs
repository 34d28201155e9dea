//! What the log tells of the ends of runs: which inventory listed an end, which call acknowledged it, and what
//! the owner assumed of a runner when it took runs for lost.
//!
//! Nothing here decides anything.

use kspan_model::Millis;

use super::{Engine, Event, InventoryCall, LossReason, RunnerIx};
use crate::{
    id::TaskId,
    runner::{EndKind, EndedTask, Inventory},
};

/// Inventory that listed the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndListing {
    /// Sequence number of the call.
    pub sequence: u64,
    /// Number of the end within the runner's incarnation.
    pub number: u64,
}

/// The end of a run as an inventory listed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedEnd {
    /// Task id.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
    /// Number of the end within the runner's incarnation.
    pub number: u64,
    /// Reason for the end.
    pub how: EndKind,
    /// Number of inventories that have listed it.
    pub listings: u32,
}

impl From<&EndedTask> for ListedEnd {
    fn from(end: &EndedTask) -> Self {
        Self {
            task: end.task,
            run: end.run,
            number: end.number,
            how: end.how,
            listings: 1,
        }
    }
}

/// Why listed ends are out of the ordinary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingKind {
    /// An earlier inventory listed them, and a call has acknowledged them.
    Again,
    /// The owner did not have the runs on the runner any more, mostly because it had taken them for lost.
    Late,
    /// The inventory is ignored, because its incarnation counts as ended.
    Ignored,
}

/// The acknowledgement that an inventory call carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// Number up to which ends are acknowledged.
    pub number: u64,
    /// Highest number that the runner has answered an acknowledgement of.
    pub answered_number: u64,
    /// The ends that it covers and that no answered call has acknowledged.
    pub ends: Vec<ListedEnd>,
}

/// A runner's lease as its owner sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseView {
    /// Latest deadline that the owner assumes, on the runner's clock.
    pub deadline: Millis,
    /// Latest reading of the runner's clock.
    pub clock: Millis,
    /// Time since that reading arrived, by the owner's clock.
    pub reading_age: Millis,
    /// Lowest value that the runner's clock can have now.
    pub min_clock: Millis,
    /// Margin after the deadline.
    pub margin: Millis,
    /// Time since the first call without an answer after the latest answer, by the owner's clock.
    pub silent: Option<Millis>,
    /// Time since the latest attempt to send a start order for one of the runs on the runner.
    pub latest_order_age: Option<Millis>,
    /// Whether the lease may be one that was granted by a deadline on the clock of another incarnation.
    pub may_be_inherited: bool,
}

/// What an inventory lists beside the first ends of runs that its runner has.
#[derive(Debug, Default)]
pub(super) struct UnusualEnds {
    /// Ends that an earlier inventory listed and a call has acknowledged.
    pub(super) again: Vec<ListedEnd>,
    /// Ends of runs that the owner no longer has on the runner.
    pub(super) late: Vec<ListedEnd>,
    /// Lowest number of an end that is listed for the first time.
    pub(super) lowest_new: Option<u64>,
}

impl Engine {
    /// Returns the acknowledgement that a call carries, if it carries one.
    pub fn acknowledgement(
        &self,
        runner_ix: RunnerIx,
        call: &InventoryCall,
    ) -> Option<Acknowledgement> {
        if call.ack == 0 {
            return None;
        }
        let runner = &self.runners[runner_ix.0];
        let ends = runner.unanswered_ends.iter();
        Some(Acknowledgement {
            number: call.ack,
            answered_number: runner.acknowledged_number(),
            ends: ends.filter(|end| end.number <= call.ack).copied().collect(),
        })
    }

    /// Returns whether the owner had a run on the runner, or a later one of its task, and has it there no longer.
    pub(super) fn is_end_late(&self, runner_ix: RunnerIx, end: &EndedTask) -> bool {
        let is_placed = self.runners[runner_ix.0]
            .runs
            .contains_key(&(end.task, end.run));
        let job = self.jobs.get(&end.task.step.job);
        let step = job.and_then(|job| job.step(end.task.step));
        let known = step.and_then(|(step, _)| step.tasks.get(end.task.index as usize));
        !is_placed && known.is_some_and(|known| known.run >= end.run)
    }

    /// Emits what an applied inventory shows beside the ends themselves: those listed again or late, and
    /// numbers that it leaves out.
    pub(super) fn emit_unusual_ends(
        &mut self,
        runner_ix: RunnerIx,
        sequence: u64,
        inventory: &Inventory,
        expected_number: Option<u64>,
        unusual: UnusualEnds,
    ) {
        let is_complete = !inventory.has_more_ends && inventory.skipped_rows == 0;
        if let Some((expected, listed)) = expected_number.zip(unusual.lowest_new)
            && is_complete
            && listed > expected
        {
            self.events.push(Event::EndsForgotten {
                runner: self.runners[runner_ix.0].entry.id.clone(),
                started_unix_ms: inventory.started_unix_ms,
                sequence,
                expected,
                listed,
            });
        }
        self.emit_ends_listed(
            runner_ix,
            sequence,
            inventory,
            ListingKind::Again,
            unusual.again,
        );
        self.emit_ends_listed(
            runner_ix,
            sequence,
            inventory,
            ListingKind::Late,
            unusual.late,
        );
    }

    /// Emits which ends an inventory lists that is not applied.
    pub(super) fn emit_ignored_ends(
        &mut self,
        runner_ix: RunnerIx,
        sequence: u64,
        inventory: &Inventory,
    ) {
        let ends = inventory.ended.iter().map(ListedEnd::from).collect();
        self.emit_ends_listed(runner_ix, sequence, inventory, ListingKind::Ignored, ends);
    }

    fn emit_ends_listed(
        &mut self,
        runner_ix: RunnerIx,
        sequence: u64,
        inventory: &Inventory,
        kind: ListingKind,
        ends: Vec<ListedEnd>,
    ) {
        if ends.is_empty() {
            return;
        }
        let runner = &self.runners[runner_ix.0];
        self.events.push(Event::EndsListed {
            kind,
            runner: runner.entry.id.clone(),
            meant_unix_ms: runner.entry.started_unix_ms,
            started_unix_ms: inventory.started_unix_ms,
            sequence,
            acknowledged_number: runner.acknowledged_number(),
            ends,
        });
    }

    /// Emits that runs are taken for lost, before they are removed. `sequence` is that of the inventory
    /// that does not list them.
    pub(super) fn emit_runs_lost(
        &mut self,
        runner_ix: RunnerIx,
        runs: &[(TaskId, u32)],
        reason: LossReason,
        sequence: Option<u64>,
        now: Millis,
    ) {
        if runs.is_empty() {
            return;
        }
        let runner = &self.runners[runner_ix.0];
        self.events.push(Event::RunsLost {
            runner: runner.entry.id.clone(),
            started_unix_ms: runner.entry.started_unix_ms,
            reason,
            sequence,
            last_number: runner.last_end_number,
            lease: runner.lease_view(&self.cfg, now),
            runs: runs.to_vec(),
        });
    }
}
