//! Decision between a wait for the rack that a task or group prefers and a start in another rack.
//!
//! Tasks run longer outside their rack, but a rack may have no room for longer than that costs. The
//! decision compares the predicted end of the task on either way, and is made anew in each pass. A
//! wait ends as soon as the prediction has worsened so far that the rest of it no longer pays off.
//! It is limited from its beginning too, so that a prediction that is missed again and again cannot
//! prolong it.
//!
//! The module has no access to the engine; `rack_forecast` predicts when a rack has room.

use kspan_model::{Millis, Name};

/// Share of the longest wait that pays off that the predicted wait may take when a wait begins, in
/// percent. Predictions are uncertain, and a wait that barely pays off gains little.
const MAX_INITIAL_PERCENT: u64 = 80;

/// Weight of the excess work in the cost of a longer run. The run delays not only this work but also what
/// arrives until the backlog is gone.
const BACKLOG_WEIGHT: u64 = 6;

/// Maximum cost to others that is taken into account, in percent of the additional run time.
const MAX_COST_PERCENT: u64 = 1_800;

/// How tasks wait for their rack. Rules other than the default exist to measure the default against
/// them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LocalityRule {
    /// Waits while the predicted wait costs less than a run in another rack.
    #[default]
    Predicted,
    /// Never waits.
    Never,
    /// Waits without limit.
    Always,
    /// Waits for the additional run time in another rack, regardless of predictions.
    Fixed,
}

/// Inputs of the decision for one task or gang.
#[derive(Clone, Copy, Debug)]
pub(super) struct Situation {
    pub(super) now: Millis,
    /// Time from which on the task could have started.
    pub(super) waiting_since: Millis,
    /// Expected run time within the rack.
    pub(super) local_run_time: Millis,
    /// Expected run time in another rack.
    pub(super) remote_run_time: Millis,
    /// Predicted time at which the rack has room; `None` if none of its runners takes the task.
    pub(super) local_start: Option<Millis>,
    /// Latest end of the task with which its job meets its objective.
    pub(super) latest_end: Millis,
    /// Time at which the running tasks of a group that are not moved are expected to end; the group
    /// ends no earlier.
    pub(super) group_end: Option<Millis>,
    /// Work that runs or waits beyond a full cell's, in percent of the capacity; zero unless the cell
    /// is full.
    pub(super) pressure_percent: u64,
}

/// A wait of a task or gang for a rack.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Wait {
    pub(super) rack: Name,
    pub(super) began: Millis,
    /// Start in the rack that was predicted when the wait began.
    pub(super) predicted: Millis,
    /// Time at which the task gives up the rack.
    pub(super) until: Millis,
}

/// Why a wait ended with a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitEnd {
    /// The rack had room.
    Local,
    /// The limit of the wait was reached.
    LimitReached,
    /// The rest of the wait no longer paid off.
    PredictionWorsened,
}

impl Wait {
    /// Returns why a start ends the wait.
    pub(super) fn end(&self, is_remote: bool, now: Millis) -> WaitEnd {
        match is_remote {
            false => WaitEnd::Local,
            true if now >= self.until => WaitEnd::LimitReached,
            true => WaitEnd::PredictionWorsened,
        }
    }
}

/// A decision for one task or gang whose rack has no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// Wait for the rack, at most until the given time.
    WaitUntil(Millis),
    /// Start in another rack now.
    Remote,
}

impl Situation {
    /// Returns by how much longer a run takes in another rack.
    fn additional_run_time(&self) -> Millis {
        self.remote_run_time.saturating_sub(self.local_run_time)
    }

    /// Returns the latest start in the rack that is better than a start in another rack at `from`.
    fn latest_paying_start(&self, from: Millis, local_start: Millis) -> Millis {
        let additional = self.additional_run_time();
        // Other tasks get the capacity in the meantime and are spared the longer run.
        let weight = self
            .pressure_percent
            .saturating_mul(BACKLOG_WEIGHT)
            .min(MAX_COST_PERCENT);
        let for_others = Millis(additional.0.saturating_mul(weight) / 100);
        let mut latest = from.saturating_add(additional).saturating_add(for_others);
        let latest_in_time = self.latest_end.saturating_sub(self.local_run_time);
        if self.now.saturating_add(self.remote_run_time) > self.latest_end {
            latest = latest.max(latest_in_time);
        }
        // A start in another rack does not make the group end sooner than its running tasks.
        let latest_in_group = self
            .group_end
            .map(|end| end.saturating_sub(self.local_run_time))
            .filter(|latest| local_start <= *latest);
        latest.max(latest_in_group.unwrap_or_default())
    }

    /// Returns the end of a wait that began at `began`. A task that was overtaken by more urgent ones
    /// goes on waiting while the rest of its wait pays off, until it has lost as much as a run in
    /// another rack would have cost.
    fn end_of_wait(&self, began: Millis, local_start: Millis) -> Millis {
        self.latest_paying_start(began, local_start)
            .saturating_add(self.additional_run_time())
    }

    fn decide_by_prediction(&self, wait: Option<&Wait>) -> Decision {
        let Some(local_start) = self.local_start else {
            return Decision::Remote;
        };
        let local_start = local_start.max(self.now);
        let latest = self.latest_paying_start(self.now, local_start);
        let (limit, until) = match wait {
            Some(wait) => {
                let until = wait.until.max(self.end_of_wait(wait.began, local_start));
                (latest.min(until), until)
            }
            None => {
                let longest = latest.saturating_sub(self.now);
                let limit = Millis(
                    longest.0 / 100 * MAX_INITIAL_PERCENT
                        + longest.0 % 100 * MAX_INITIAL_PERCENT / 100,
                );
                (
                    self.now.saturating_add(limit),
                    self.end_of_wait(self.now, local_start),
                )
            }
        };
        if local_start < limit {
            Decision::WaitUntil(until)
        } else {
            Decision::Remote
        }
    }
}

/// Decides for a task or gang that may start in another rack now, but not in its own. `wait` is its present wait.
pub(super) fn decide(rule: LocalityRule, situation: &Situation, wait: Option<&Wait>) -> Decision {
    let additional = situation.additional_run_time();
    if additional == Millis::ZERO {
        return Decision::Remote;
    }
    let fixed_end = situation.waiting_since.saturating_add(additional);
    match rule {
        LocalityRule::Predicted => situation.decide_by_prediction(wait),
        LocalityRule::Always => Decision::WaitUntil(Millis::MAX),
        LocalityRule::Fixed if situation.now < fixed_end => Decision::WaitUntil(fixed_end),
        LocalityRule::Never | LocalityRule::Fixed => Decision::Remote,
    }
}
