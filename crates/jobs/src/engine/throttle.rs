//! Throttling of best-effort runs that share a runner with latency-sensitive ones.
//!
//! The two classes stay apart while there is room for it; see `candidate`. Where they share a runner,
//! the speeds of its best-effort runs add up to a budget with which the tail latencies stay within their
//! targets. It begins low and rises while the tails allow it; a late tail lowers it at once, to zero if
//! that does not help. The runs get their speeds one after the other, so that some end soon. At a budget
//! of zero all are suspended, and one of them works for a short time every few seconds. If a tail is late without any of them, they
//! are not the cause, and one works most of the time.
//!
//! The speed of a run is state of its runner: 100 percent at each start, and not known after a takeover
//! or a lost answer. It is ordered until the runner confirms it, and again once it is not known.

use kspan_model::{Millis, Name};

use super::{
    Engine, Event, Order, RunnerIx,
    runner::{PlacedRun, Runner},
};
use crate::{
    id::TaskId,
    runner::{Inventory, OrderOutcome, RunningTask},
    spec::Sharing,
};

/// Speed of a run that is not throttled, in percent.
const FULL_SPEED: u32 = 100;

/// Budget with which sharing begins, in percent of the speed of one run like all budgets.
const INITIAL_BUDGET: u32 = 25;

/// Lowest budget other than zero.
const MIN_BUDGET: u32 = 10;

/// By how much a budget rises at least.
const MIN_RAISE: u32 = 5;

/// A budget doubles until a tail was late. From then on it rises by itself divided by this.
const RAISE_DIVISOR: u32 = 4;

/// A budget is divided by this when a tail becomes late.
const CUT_DIVISOR: u32 = 2;

/// Share of a budget with which a tail was late up to which it rises again, in percent.
const LIMIT_PERCENT: u32 = 75;

/// Tail latency from which a budget is lowered, in percent of the target.
const LATE_PERCENT: u64 = 90;

/// Tail latency below which a budget is raised, in percent of the target.
const EARLY_PERCENT: u64 = 70;

/// Time after a change until the reported tails, which cover half a second, show its effect.
const SETTLING_TIME: Millis = Millis(700);

/// How long after a change its confirmation is waited for before tails count again.
const MAX_CONFIRMATION_TIME: Millis = Millis(1_000);

/// How long all best-effort runs of a runner are suspended before one works for a short time.
const MAX_SUSPENSION: Millis = Millis(3_000);

/// How long one works beside a tail that was late without it, before this is checked again.
const MAX_BLIND_TIME: Millis = Millis(2_000);

/// How long a budget stays below one with which a tail was late before that one is tried again.
const MIN_PROBE_INTERVAL: Millis = Millis(8_000);

/// The same after several attempts in vain.
const MAX_PROBE_INTERVAL: Millis = Millis(32_000);

/// How long the runs of a runner get their speeds in one order.
const TURN: Millis = Millis(5_000);

/// In one of this many turns any run may be the first; in the others the oldest is.
const TURNS_PER_ROTATION: u64 = 4;

/// Pause before an order that was not answered is repeated.
const RETRY_PAUSE: Millis = Millis(100);

/// Pause before an order that the runner refused is repeated.
const REFUSED_PAUSE: Millis = Millis(2_000);

/// Longest time after which an order without an answer may still be executed.
const MAX_ORDER_DELAY: Millis = Millis(13_000);

/// Interval at which an order is repeated while an earlier one may still be executed.
const REPEAT_INTERVAL: Millis = Millis(3_000);

/// An order that sets the speed of a best-effort run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ThrottleOrder {
    /// Target runner.
    pub runner_ix: RunnerIx,
    /// Task id.
    pub task: TaskId,
    /// Run number.
    pub run: u32,
    /// Speed at which the run is to work, in percent of its full speed.
    pub percent: u32,
}

/// What a budget is held by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// The tails, none of which was late lately.
    Raising,
    /// A tail that was late when the budget was last changed.
    Cut,
    /// Nothing, as a tail is late without best-effort runs.
    Blind,
}

/// Budget of the best-effort runs of a runner that has latency-sensitive runs as well.
#[derive(Clone, Copy, Debug)]
pub(super) struct Throttle {
    /// Sum of the speeds at which the runs are to work, in percent of the speed of one.
    budget: u32,
    /// Budget up to which no tail should be late; `None` if none was yet.
    limit: Option<u32>,
    mode: Mode,
    /// Time at which the budget changed.
    changed_at: Millis,
    /// The same, or the time at which the runner confirmed the change of a run.
    effective_at: Millis,
    /// How long the budget stays at the limit before a higher one is tried.
    probe_interval: Millis,
}

impl Throttle {
    /// Creates the throttle of a runner that begins to be shared, or is adopted.
    pub(super) fn new(now: Millis) -> Self {
        Self {
            budget: INITIAL_BUDGET,
            limit: None,
            mode: Mode::Raising,
            changed_at: now,
            effective_at: now,
            probe_interval: MIN_PROBE_INTERVAL,
        }
    }

    /// Records that the runner confirmed the speed of a run.
    fn record_confirmation(&mut self, now: Millis) {
        if now < self.changed_at + MAX_CONFIRMATION_TIME {
            self.effective_at = now;
        }
    }

    /// Adapts the budget of a number of runs to the latest tail, in percent of its target. Returns
    /// whether it changed. The speeds of the runs may not be certain.
    fn adapt(&mut self, tail_percent: u64, runs: usize, is_certain: bool, now: Millis) -> bool {
        let unchanged = now.saturating_sub(self.effective_at);
        if unchanged < SETTLING_TIME {
            return false;
        }
        let before = self.budget;
        if self.budget == 0 {
            self.end_suspension(tail_percent, is_certain, unchanged);
        } else if self.mode == Mode::Blind && tail_percent >= EARLY_PERCENT {
            if unchanged >= MAX_BLIND_TIME {
                self.budget = 0;
            }
        } else if tail_percent >= self.late_percent() {
            self.cut();
        } else {
            self.mode = Mode::Raising;
            if tail_percent < EARLY_PERCENT {
                let runs = u32::try_from(runs).unwrap_or(u32::MAX);
                self.raise(FULL_SPEED.saturating_mul(runs), unchanged);
            }
        }
        if self.budget == before {
            return false;
        }
        self.changed_at = now;
        self.effective_at = now;
        true
    }

    /// Returns the tail latency from which the budget is lowered, in percent of the target. The lowest
    /// budget is kept until the target is missed.
    fn late_percent(&self) -> u64 {
        if self.budget > MIN_BUDGET {
            LATE_PERCENT
        } else {
            100
        }
    }

    fn end_suspension(&mut self, tail_percent: u64, is_certain: bool, unchanged: Millis) {
        if tail_percent >= 100 && is_certain {
            self.mode = Mode::Blind;
            self.budget = FULL_SPEED;
        } else if tail_percent < EARLY_PERCENT || unchanged >= MAX_SUSPENSION {
            self.mode = Mode::Raising;
            self.budget = MIN_BUDGET;
        }
    }

    fn cut(&mut self) {
        let doubled = self.probe_interval.saturating_mul(2);
        self.probe_interval = doubled.min(MAX_PROBE_INTERVAL);
        let limit = self.budget.saturating_mul(LIMIT_PERCENT) / 100;
        self.limit = Some(limit.max(MIN_BUDGET));
        let lower = self.budget / CUT_DIVISOR;
        let is_too_low = self.mode == Mode::Cut || lower < MIN_BUDGET;
        self.budget = if is_too_low { 0 } else { lower };
        self.mode = Mode::Cut;
    }

    fn raise(&mut self, max: u32, unchanged: Millis) {
        let step = (self.budget / RAISE_DIVISOR).max(MIN_RAISE);
        let raised = match self.limit {
            None => self.budget.saturating_mul(2),
            Some(limit) if self.budget < limit => self.budget.saturating_add(step).min(limit),
            Some(_) if unchanged < self.probe_interval => return,
            Some(limit) => {
                let limit = limit.saturating_add(step);
                self.limit = Some(limit);
                self.probe_interval = Millis(self.probe_interval.0 / 2).max(MIN_PROBE_INTERVAL);
                limit
            }
        };
        self.budget = raised.min(max).max(self.budget);
    }
}

/// What is known of the speed of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunSpeed {
    /// Percentage that the runner has; `None` if it is not known.
    confirmed: Option<u32>,
    /// Percentage of an order that has no outcome yet.
    ordered: Option<u32>,
    /// Time before which no order is sent.
    paused_until: Millis,
    /// Time until which an order without an answer may be executed, and change the percentage.
    doubted_until: Millis,
    /// Time at which the confirmed percentage is ordered again.
    repeat_at: Option<Millis>,
    /// Whether the run was ever ordered to work more slowly.
    was_throttled: bool,
}

impl RunSpeed {
    /// Returns the speed of a run that starts.
    pub(super) fn at_start() -> Self {
        Self {
            confirmed: Some(FULL_SPEED),
            ..Self::default()
        }
    }

    /// Records that the percentage is not known any more, and that no order has an outcome any more.
    pub(super) fn forget(&mut self) {
        self.confirmed = None;
        self.ordered = None;
    }

    /// Returns whether the runner has the confirmed percentage, and no order can change it unnoticed.
    fn is_certain(self, now: Millis) -> bool {
        self.confirmed.is_some() && now >= self.doubted_until
    }

    /// Lets a percentage that may have changed unnoticed be ordered at once.
    fn repeat_if_doubted(&mut self, now: Millis) {
        if now < self.doubted_until {
            self.repeat_at = Some(now);
        }
    }

    /// Returns whether the progress of the run shows its own speed.
    fn is_full(self, now: Millis) -> bool {
        self.confirmed == Some(FULL_SPEED) && self.ordered.is_none() && self.is_certain(now)
    }

    /// Returns whether the run has worked at its own speed all the time.
    pub(super) fn was_full(self) -> bool {
        !self.was_throttled
    }

    fn needs_order(self, percent: u32, now: Millis) -> bool {
        let is_due = self.repeat_at.is_some_and(|at| now >= at);
        let is_wanted = is_due || self.confirmed != Some(percent);
        is_wanted && self.ordered.is_none() && now >= self.paused_until
    }

    fn record_order(&mut self, percent: u32) {
        self.ordered = Some(percent);
        self.was_throttled |= percent < FULL_SPEED;
    }

    fn confirm(&mut self, percent: u32, now: Millis) {
        self.ordered = None;
        self.confirmed = Some(percent);
        let is_doubted = now < self.doubted_until;
        let repeat_at = self.doubted_until.min(now + REPEAT_INTERVAL);
        self.repeat_at = is_doubted.then_some(repeat_at);
    }

    fn record_refusal(&mut self, now: Millis) {
        self.forget();
        self.paused_until = now + REFUSED_PAUSE;
    }

    fn record_doubt(&mut self, now: Millis) {
        self.forget();
        self.paused_until = now + RETRY_PAUSE;
        self.doubted_until = now + MAX_ORDER_DELAY;
    }
}

impl PlacedRun {
    /// Returns whether the percentage of progress tells how fast the run is. It does not for a
    /// best-effort run that may be throttled.
    pub(super) fn has_measurable_progress(&self, now: Millis) -> bool {
        self.sharing != Sharing::BestEffort || self.speed.is_full(now)
    }

    /// Returns whether the runner may be told the speed of the run. An order that precedes the start has
    /// no effect on it.
    fn is_throttleable(&self) -> bool {
        let has_started = self.settled_sequence.is_some();
        self.sharing == Sharing::BestEffort && self.stop_sent_at.is_none() && has_started
    }
}

impl Runner {
    /// Returns whether the runner has best-effort and latency-sensitive runs.
    pub(super) fn is_shared(&self) -> bool {
        self.best_effort_runs > 0 && self.latency_sensitive_runs > 0
    }

    /// Returns whether a task would share the runner with runs that it interferes with.
    pub(super) fn interferes_with(&self, sharing: Sharing) -> bool {
        match sharing {
            Sharing::Ordinary => false,
            Sharing::LatencySensitive => self.best_effort_runs > 0,
            Sharing::BestEffort => self.latency_sensitive_runs > 0,
        }
    }

    /// Returns the keys of the best-effort runs that may be told their speeds, in the order in which they
    /// get them. Mostly the oldest ones that end by themselves come first; now and then any other does,
    /// so that none is suspended for good.
    fn throttleable_runs(&self, now: Millis) -> Vec<(TaskId, u32)> {
        let runs = self.runs.iter();
        let throttleable = runs.filter(|(_, placed)| placed.is_throttleable());
        let mut ranked: Vec<_> = throttleable
            .map(|(key, placed)| (placed.expected_end.is_none(), placed.known_since, *key))
            .collect();
        ranked.sort_unstable();
        let mut keys: Vec<_> = ranked.into_iter().map(|(_, _, key)| key).collect();
        let turn = now.0 / TURN.0;
        if turn % TURNS_PER_ROTATION == TURNS_PER_ROTATION - 1 && !keys.is_empty() {
            let first = turn / TURNS_PER_ROTATION % keys.len() as u64;
            keys.rotate_left(usize::try_from(first).unwrap_or(0));
        }
        keys
    }

    /// Returns the sum of the speeds of the best-effort runs; `None` if nothing limits it.
    fn budget(&mut self, now: Millis) -> Option<u32> {
        if !self.is_shared() {
            self.throttle = None;
            return None;
        }
        let throttle = self.throttle.get_or_insert_with(|| Throttle::new(now));
        Some(throttle.budget)
    }
}

impl Engine {
    /// Adapts the speed of a runner's best-effort runs to the tails that an inventory reports.
    pub(super) fn observe_tails(
        &mut self,
        runner_ix: RunnerIx,
        inventory: &Inventory,
        now: Millis,
    ) {
        if !self.runners[runner_ix.0].is_shared() {
            return;
        }
        let tails = inventory.running.iter();
        let worst = tails.filter_map(|row| self.tail_percent(row)).max();
        let runner = &mut self.runners[runner_ix.0];
        let (Some(tail_percent), Some(throttle)) = (worst, &mut runner.throttle) else {
            return;
        };
        let runs = runner.runs.values_mut();
        let mut speeds: Vec<&mut RunSpeed> = runs
            .filter(|placed| placed.sharing == Sharing::BestEffort)
            .map(|placed| &mut placed.speed)
            .collect();
        let is_certain = speeds.iter().all(|speed| speed.is_certain(now));
        if tail_percent >= LATE_PERCENT {
            speeds
                .iter_mut()
                .for_each(|speed| speed.repeat_if_doubted(now));
        }
        if !throttle.adapt(tail_percent, speeds.len(), is_certain, now) {
            return;
        }
        let (id, budget): (Name, u32) = (runner.entry.id.clone(), throttle.budget);
        self.events.push(Event::ThrottleChanged {
            id,
            budget,
            tail_percent,
        });
    }

    /// Returns the tail latency of a run in percent of its target; `None` for a run without a target.
    fn tail_percent(&self, row: &RunningTask) -> Option<u64> {
        let (_, spec) = self.jobs.get(&row.task.step.job)?.step(row.task.step)?;
        let target = spec
            .tail_latency_target
            .filter(|_| spec.sharing() == Sharing::LatencySensitive)?;
        Some(u64::from(row.load) * 100 / target.0.max(1))
    }

    /// Orders the speed of the best-effort runs of all runners that do not have it.
    pub(super) fn order_speeds(&mut self, now: Millis) {
        for ix in 0..self.runners.len() {
            self.order_speeds_on(RunnerIx(ix), now);
        }
    }

    /// Orders the speed of the best-effort runs of a runner that do not have it.
    pub(super) fn order_speeds_on(&mut self, runner_ix: RunnerIx, now: Millis) {
        let runner = &mut self.runners[runner_ix.0];
        if runner.best_effort_runs == 0 || runner.dead {
            return;
        }
        let mut left = runner.budget(now);
        for (task, run) in runner.throttleable_runs(now) {
            let percent = left.map_or(FULL_SPEED, |left| left.min(FULL_SPEED));
            left = left.map(|left| left - percent);
            let placed = runner.runs.get_mut(&(task, run));
            let speed = placed.map(|placed| &mut placed.speed);
            let Some(speed) = speed.filter(|speed| speed.needs_order(percent, now)) else {
                continue;
            };
            speed.record_order(percent);
            self.orders.push_back(Order::Throttle(ThrottleOrder {
                runner_ix,
                task,
                run,
                percent,
            }));
        }
    }

    /// Returns whether a throttle order is still needed: its runner's incarnation has not ended, and the
    /// run may be there.
    pub fn is_throttle_needed(&self, order: &ThrottleOrder) -> bool {
        let runner = &self.runners[order.runner_ix.0];
        !runner.dead && runner.runs.contains_key(&(order.task, order.run))
    }

    /// Records the outcome of a throttle order.
    pub fn record_throttle_outcome(
        &mut self,
        order: &ThrottleOrder,
        outcome: OrderOutcome,
        now: Millis,
    ) {
        let runner = &mut self.runners[order.runner_ix.0];
        if runner.dead {
            return;
        }
        match outcome {
            OrderOutcome::Fenced => self.fenced = true,
            OrderOutcome::OtherIncarnation => return self.mark_dead(order.runner_ix, now),
            OrderOutcome::Done | OrderOutcome::InDoubt | OrderOutcome::Refused => {}
        }
        let placed = runner.runs.get_mut(&(order.task, order.run));
        let Some(speed) = placed.map(|placed| &mut placed.speed) else {
            return;
        };
        match outcome {
            OrderOutcome::Done => speed.confirm(order.percent, now),
            OrderOutcome::InDoubt => speed.record_doubt(now),
            _ => speed.record_refusal(now),
        }
        if let Some(throttle) = &mut runner.throttle
            && outcome == OrderOutcome::Done
        {
            throttle.record_confirmation(now);
        }
    }
}
