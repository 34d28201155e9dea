//! The owner's view of a runner: its runs, free resources and lease.
//!
//! A run's resources stay reserved from the order to start it until its end is reported or it is
//! proven that the run neither exists on the runner nor can start there.

mod delivery;
mod lease;
mod room;
#[cfg(test)]
mod tests;

use kspan_model::{Millis, Name, Resources};
use rustc_hash::FxHashMap;

use self::lease::ClockReading;
use super::{
    end_log::ListedEnd,
    evidence::Isolation,
    health::Health,
    quota::Charge,
    silence::TaskList,
    stall::Progress,
    throttle::{RunSpeed, Throttle},
};
use crate::{id::TaskId, runner::RunnerEntry, spec::Sharing};

pub(super) use self::{
    delivery::{Delivery, MAX_CALL_DELAY},
    lease::{longest_inherited_lease, longest_remaining_lease},
};

/// Index of a runner incarnation; never reused for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunnerIx(pub usize);

/// How long a runner may be absent from the host list and still get work. Entries that expired
/// while the list was unavailable come back about two seconds after it does.
const MISSING_GRACE_PERIOD: Millis = Millis(2_500);

/// Number of recent crashes from which a runner keeps crashing.
const MIN_RUNNER_CRASHES: u32 = 2;

#[derive(Clone, Copy, Debug)]
pub(super) struct PlacedRun {
    /// Resources reserved for the run; `None` if unknown.
    pub(super) size: Option<Resources>,
    /// What the run is charged to its team.
    pub(super) charge: Option<Charge>,
    pub(super) sharing: Sharing,
    /// Sequence number from which on the order is settled: an inventory requested later either
    /// lists the run, or the run is over.
    pub(super) settled_sequence: Option<u64>,
    /// What is known of the delivery of the order.
    pub(super) delivery: Delivery,
    /// Time of the latest stop order that has not been answered.
    pub(super) stop_sent_at: Option<Millis>,
    /// Time at which the run is expected to end; `None` if it runs until it is stopped.
    pub(super) expected_end: Option<Millis>,
    /// Time at which the run was ordered; `None` for one of a previous owner, whose start is unknown.
    pub(super) ordered_at: Option<Millis>,
    /// Time at which the run was ordered or adopted.
    pub(super) known_since: Millis,
    /// How far the run is kept from others.
    pub(super) isolation: Isolation,
    /// Whether the run takes longer because it is not in its rack.
    pub(super) is_remote: bool,
    pub(super) progress: Progress,
    pub(super) speed: RunSpeed,
}

impl PlacedRun {
    /// Returns whether only an inventory can tell whether the run is there, which is being stopped.
    pub(super) fn needs_proof(&self) -> bool {
        let is_stopped = self.stop_sent_at.is_some() || self.settled_sequence.is_some();
        self.delivery.is_in_doubt() && is_stopped
    }

    /// Returns how long the run was expected to take when it was ordered.
    pub(super) fn expected_run_time(&self) -> Option<Millis> {
        Some(self.expected_end?.saturating_sub(self.ordered_at?))
    }
}

/// Returns whether two entries agree in what does not change while an incarnation lives.
fn is_same_runner(entry: &RunnerEntry, other: &RunnerEntry) -> bool {
    entry.service == other.service && entry.addr == other.addr && entry.labels == other.labels
}

/// The end of a run that may be acknowledged once its batch is durable.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnackedEnd {
    pub(super) number: u64,
    pub(super) batch: u64,
}

/// An inventory call that acknowledges the ends up to a number.
#[derive(Clone, Copy, Debug)]
struct AcknowledgingCall {
    sequence: u64,
    number: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) entry: RunnerEntry,
    /// Component-wise maximum of the capacities that the runner has had. One that has shrunk may grow
    /// again.
    pub(super) largest_capacity: Resources,
    /// Time at which the host list dropped the runner.
    pub(super) missing_since: Option<Millis>,
    /// Time at which this incarnation was first seen.
    pub(super) first_seen: Millis,
    /// Batch that makes the runner known to later owners.
    pub(super) record_batch: u64,
    /// Batch that withdraws the latest list of the runner's tasks; 0 if there was none.
    pub(super) withdrawal_batch: u64,
    /// What the record says about the runner's tasks.
    pub(super) task_list: TaskList,
    /// Whether this incarnation is known to have ended.
    pub(super) dead: bool,
    /// Whether that is only presumed, because its lease expired while the host list did not contain
    /// it. It may have been cut off, and be listed again.
    pub(super) presumed_dead: bool,
    /// Time at which this incarnation was found to have ended.
    pub(super) ended_at: Option<Millis>,
    /// Whether the runner has answered under the current fencing token.
    pub(super) has_answered: bool,
    /// Whether the incarnation is known from its own answers alone. The host list does not name its
    /// capacity and its labels yet, so that it gets no work.
    pub(super) awaits_entry: bool,
    /// Entry of the host list for this incarnation that names another service, other labels or another
    /// address. The runner gets no work until an entry confirms either.
    pub(super) disputed_by: Option<RunnerEntry>,
    /// Entry of the host list for a later incarnation, until the runner's answers
    /// confirm or refute it.
    pub(super) unconfirmed_entry: Option<RunnerEntry>,
    pub(super) runs: FxHashMap<(TaskId, u32), PlacedRun>,
    pub(super) used: Resources,
    /// Number of runs whose resources are unknown.
    unsized_runs: usize,
    /// Number of latency-sensitive runs.
    pub(super) latency_sensitive_runs: usize,
    /// Number of best-effort runs.
    pub(super) best_effort_runs: usize,
    /// Speed of the best-effort runs while there are latency-sensitive ones.
    pub(super) throttle: Option<Throttle>,
    /// Number of recent crashes of earlier incarnations at the runner's address.
    pub(super) recent_crashes: u32,
    pub(super) missed_responses: u32,
    /// Time of the first call without a response since the latest response.
    pub(super) silent_since: Option<Millis>,
    /// Number of runs that are kept from others.
    isolated_runs: usize,
    /// Number of those beside which nothing starts.
    runs_alone: usize,
    /// Whether the latest inventory had runs that may be stalled.
    pub(super) has_suspected_stalls: bool,
    /// Whether the answer to an order shows that the runner has restarted. Its next inventory tells what the
    /// new incarnation has.
    shows_restart: bool,
    /// Whether the runner executes no order for a former incarnation any more: it has answered a call of its
    /// own, which has a higher fencing token.
    pub(super) bars_former_orders: bool,
    /// Time until which the lease may be one that was granted by a deadline on the clock of the incarnation
    /// before; the latest representable time if it isn't known.
    pub(super) inherited_lease_until: Option<Millis>,
    /// Time at which the lease was first seen to have expired since the latest response.
    pub(super) lease_expired_at: Option<Millis>,
    /// Number of the latest end that was applied.
    pub(super) last_end_number: u64,
    pub(super) unacked_ends: Vec<UnackedEnd>,
    /// Listed ends that no answered call has acknowledged, by number, for the log.
    pub(super) unanswered_ends: Vec<ListedEnd>,
    /// Whether the incarnation began while this owner was in touch with the one before, so that no other owner
    /// can have acknowledged its first ends.
    pub(super) is_known_from_start: bool,
    /// Latest call that acknowledged ends.
    acknowledging_call: Option<AcknowledgingCall>,
    /// Highest number that the runner has answered an acknowledgement of.
    acknowledged_number: u64,
    /// Highest sequence number of a call that this incarnation has answered.
    pub(super) answered_sequence: u64,
    pub(super) health: Health,
    reading: Option<ClockReading>,
    latest_deadline: Millis,
    /// Time of the latest inventory.
    heard_at: Option<Millis>,
    /// Time of the latest call that was sent with a deadline. It grants the next incarnation the longest lease.
    latest_grant: Option<Millis>,
    /// The same of the calls that got no answer.
    latest_doubted_grant: Option<Millis>,
    /// Time of the inventory call in flight if it has a deadline.
    pub(super) pending_grant: Option<Millis>,
}

impl Runner {
    /// Creates a runner that has not answered yet.
    pub(super) fn new(entry: RunnerEntry, now: Millis, record_batch: u64) -> Self {
        Self {
            largest_capacity: entry.capacity,
            entry,
            missing_since: None,
            first_seen: now,
            record_batch,
            withdrawal_batch: 0,
            task_list: TaskList::default(),
            dead: false,
            presumed_dead: false,
            ended_at: None,
            has_answered: false,
            awaits_entry: false,
            disputed_by: None,
            unconfirmed_entry: None,
            runs: FxHashMap::default(),
            used: Resources::ZERO,
            unsized_runs: 0,
            latency_sensitive_runs: 0,
            best_effort_runs: 0,
            throttle: None,
            recent_crashes: 0,
            missed_responses: 0,
            silent_since: None,
            isolated_runs: 0,
            runs_alone: 0,
            has_suspected_stalls: false,
            shows_restart: false,
            bars_former_orders: true,
            inherited_lease_until: None,
            lease_expired_at: None,
            last_end_number: 0,
            unacked_ends: Vec::new(),
            unanswered_ends: Vec::new(),
            is_known_from_start: false,
            acknowledging_call: None,
            acknowledged_number: 0,
            answered_sequence: 0,
            health: Health::default(),
            reading: None,
            latest_deadline: Millis::ZERO,
            heard_at: None,
            latest_grant: None,
            latest_doubted_grant: None,
            pending_grant: None,
        }
    }

    /// Returns whether the runner has been missing from the host list for longer than the grace
    /// period. It may still answer.
    pub(super) fn is_missing(&self, now: Millis) -> bool {
        self.missing_since
            .is_some_and(|since| now >= since + MISSING_GRACE_PERIOD)
    }

    /// Returns whether the runner may have runs of a previous owner that are not known. One that was draining and
    /// is missing from the host list may be cut off, too.
    pub(super) fn is_unaccounted(&self) -> bool {
        !self.has_answered && !self.dead
    }

    /// Returns whether an entry says of this incarnation what can't change while it lives, and what it has
    /// not said twice.
    pub(super) fn is_contradicted_by(&self, entry: &RunnerEntry) -> bool {
        let is_new = self
            .disputed_by
            .as_ref()
            .is_none_or(|disputed| !is_same_runner(disputed, entry));
        !is_same_runner(&self.entry, entry) && (is_new || entry.addr != self.entry.addr)
    }

    /// Returns whether a start time that the runner reports is that of another incarnation.
    pub(super) fn has_restarted(&self, started_unix_ms: u64) -> bool {
        let known = self.entry.started_unix_ms;
        started_unix_ms != 0 && known != 0 && started_unix_ms != known
    }

    /// Returns the tasks that may be on the runner, in order.
    pub(super) fn tasks(&self) -> Vec<TaskId> {
        let mut tasks: Vec<TaskId> = self.runs.keys().map(|(task, _)| *task).collect();
        tasks.sort_unstable();
        tasks.dedup();
        tasks
    }

    /// Returns whether an owner that was last confirmed at `confirmed_at` may send new work, where
    /// all batches up to `durable` are durable.
    ///
    /// The runner's record must be durable, because a later owner has to know every runner that may
    /// have tasks, even after the host list has dropped it.
    ///
    /// A runner that has just started has not seen a fencing token and would accept orders of any
    /// previous owner, so the proof of ownership must be newer than the runner. If a run has
    /// unknown size, no resources of the runner are known to be free.
    pub(super) fn accepts_work(&self, now: Millis, confirmed_at: Millis, durable: u64) -> bool {
        self.health.is_available(now) && self.could_accept_work(now, confirmed_at, durable)
    }

    /// Returns the same for a runner that may be paused.
    pub(super) fn could_accept_work(
        &self,
        now: Millis,
        confirmed_at: Millis,
        durable: u64,
    ) -> bool {
        confirmed_at >= self.first_seen
            && self.record_batch <= durable
            && !self.is_missing(now)
            && self.has_answered
            && self.bars_former_orders
            && !self.awaits_entry
            && self.disputed_by.is_none()
            && !self.dead
            && !self.entry.draining
            && self.is_incarnation_confirmed()
            && self.unsized_runs == 0
    }

    /// Adds a run and reserves its resources. Returns whether the run is new.
    pub(super) fn add_run(&mut self, task: TaskId, run: u32, placed: PlacedRun) -> bool {
        if self.runs.contains_key(&(task, run)) {
            return false;
        }
        self.runs.insert((task, run), placed);
        match placed.size {
            Some(size) => self.used = self.used.saturating_add(size),
            None => self.unsized_runs += 1,
        }
        match placed.sharing {
            Sharing::Ordinary => {}
            Sharing::LatencySensitive => self.latency_sensitive_runs += 1,
            Sharing::BestEffort => self.best_effort_runs += 1,
        }
        self.isolated_runs += usize::from(placed.isolation != Isolation::None);
        self.runs_alone += usize::from(placed.isolation == Isolation::Alone);
        true
    }

    /// Removes a run and releases its resources. Returns the run if it was known.
    pub(super) fn remove_run(&mut self, task: TaskId, run: u32) -> Option<PlacedRun> {
        let placed = self.runs.remove(&(task, run))?;
        match placed.size {
            Some(size) => self.used = self.used.checked_sub(size).unwrap_or_default(),
            None => self.unsized_runs -= 1,
        }
        match placed.sharing {
            Sharing::Ordinary => {}
            Sharing::LatencySensitive => self.latency_sensitive_runs -= 1,
            Sharing::BestEffort => self.best_effort_runs -= 1,
        }
        self.release_isolation(placed.isolation);
        Some(placed)
    }

    /// Lets others run beside a run again.
    pub(super) fn end_isolation(&mut self, task: TaskId, run: u32) {
        if let Some(placed) = self.runs.get_mut(&(task, run)) {
            let isolation = std::mem::take(&mut placed.isolation);
            self.release_isolation(isolation);
        }
    }

    fn release_isolation(&mut self, isolation: Isolation) {
        self.isolated_runs -= usize::from(isolation != Isolation::None);
        self.runs_alone -= usize::from(isolation == Isolation::Alone);
    }

    /// Returns whether a run is kept from others.
    pub(super) fn has_isolated_run(&self) -> bool {
        self.isolated_runs > 0
    }

    /// Returns whether nothing may start beside one of the runs.
    pub(super) fn has_run_alone(&self) -> bool {
        self.runs_alone > 0
    }

    /// Returns whether an inventory is needed to prove that a run is not there; no end of it would be reported.
    pub(super) fn needs_proof(&self) -> bool {
        self.runs.values().any(PlacedRun::needs_proof)
    }

    /// Returns whether a run was ordered or adopted within a time.
    pub(super) fn has_run_since(&self, since: Millis) -> bool {
        self.runs.values().any(|placed| placed.known_since > since)
    }

    /// Returns whether incarnations at the runner's address keep crashing.
    pub(super) fn keeps_crashing(&self) -> bool {
        self.recent_crashes >= MIN_RUNNER_CRASHES
    }

    /// Records a call without a response.
    pub(super) fn record_miss(&mut self, now: Millis) {
        self.missed_responses += 1;
        self.silent_since.get_or_insert(now);
        let pending = self.pending_grant.take();
        self.record_doubted_grant(pending);
    }

    /// Records the answer to an inventory call, with a reading of the runner's clock.
    pub(super) fn record_response(&mut self, clock: Millis, now: Millis) {
        self.update_reading(clock, now);
        self.heard_at = Some(now);
        self.pending_grant = None;
        self.shows_restart = false;
        self.missed_responses = 0;
        self.silent_since = None;
        self.lease_expired_at = None;
    }

    /// Records that an answer other than an inventory's shows another incarnation.
    pub(super) fn record_restart_shown(&mut self) {
        self.shows_restart = true;
    }

    /// Returns whether the next call may tell the runner what holds for the known incarnation alone: a
    /// deadline on its clock, and numbers of its ends.
    pub(super) fn is_incarnation_confirmed(&self) -> bool {
        self.missed_responses == 0 && !self.shows_restart
    }

    /// Returns the highest end number that may be acknowledged when batches up to `durable` are
    /// durable.
    pub(super) fn ack_cursor(&self, durable: u64) -> u64 {
        let pending = self.unacked_ends.iter().filter(|end| end.batch > durable);
        let first_pending = pending.map(|end| end.number).min();
        first_pending.map_or(self.last_end_number, |number| number.saturating_sub(1))
    }

    /// Returns the number for a call to acknowledge, where ends up to `cursor` may be acknowledged; 0 if the
    /// runner has answered that already. A number that is not needed would make the next incarnation forget
    /// ends unseen if the call reached it.
    pub(super) fn begin_acknowledgement(&mut self, sequence: u64, cursor: u64) -> u64 {
        if cursor <= self.acknowledged_number {
            return 0;
        }
        self.acknowledging_call = Some(AcknowledgingCall {
            sequence,
            number: cursor,
        });
        cursor
    }

    /// Records that a call was answered, and with it what it acknowledged.
    pub(super) fn record_answered_call(&mut self, sequence: u64) {
        let answered = self
            .acknowledging_call
            .take_if(|call| call.sequence == sequence);
        if let Some(call) = answered {
            self.acknowledged_number = self.acknowledged_number.max(call.number);
            let answered = self.acknowledged_number;
            self.unanswered_ends.retain(|end| end.number > answered);
        }
    }

    /// Records that the incarnation answered a call, and names itself.
    pub(super) fn record_proof_of_life(&mut self, sequence: u64, started_unix_ms: u64) {
        if started_unix_ms != 0 && started_unix_ms == self.entry.started_unix_ms {
            self.answered_sequence = self.answered_sequence.max(sequence);
        }
    }

    /// Returns the highest number that the runner has answered an acknowledgement of.
    pub(super) fn acknowledged_number(&self) -> u64 {
        self.acknowledged_number
    }

    /// Records that an end was listed again. Returns it if a call has acknowledged it.
    pub(super) fn record_repeated_end(&mut self, listed: ListedEnd) -> Option<ListedEnd> {
        let mut ends = self.unanswered_ends.iter_mut();
        let known = ends.find(|known| known.number == listed.number);
        let repeated = known.map_or(listed, |known| {
            known.listings = known.listings.saturating_add(1);
            *known
        });
        let sent_number = self.acknowledging_call.map_or(0, |call| call.number);
        let is_acknowledged = listed.number <= sent_number.max(self.acknowledged_number);
        is_acknowledged.then_some(repeated)
    }

    /// Returns the number of the next end that the runner lists. Not known of a runner that had ends before this
    /// owner called it: they may be acknowledged already.
    pub(super) fn expected_end_number(&self) -> Option<u64> {
        let is_known = self.last_end_number > 0 || self.is_known_from_start;
        is_known.then_some(self.last_end_number.saturating_add(1))
    }

    /// Returns whether the runner has a label.
    pub(super) fn has_label(&self, label: &Name) -> bool {
        self.entry.labels.contains(label)
    }
}
