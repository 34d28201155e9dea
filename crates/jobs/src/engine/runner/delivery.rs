//! What is known of the delivery of start orders, and when a run that its runner doesn't show is over.
//!
//! Failure pattern: an order names the id of a runner, so that the next incarnation under the id executes what
//! was meant for the one before, also seconds later. Each such call grants all its runs the longest lease, and
//! nothing of them is known until it answers. A run that it may have is therefore not over with the lease of the
//! incarnation that is known, and its end may still be reported.
//!
//! Where an order needs an approval, that is one of a single incarnation, and any other refuses the order. If it is one
//! of the known incarnation or of one before, the run is over with the lease of the known one.

use kspan_model::Millis;

use super::{Runner, longest_inherited_lease};
use crate::{engine::Settings, id::TaskId};

/// Longest time for which a call that got no answer is held up before a runner executes it.
pub(in crate::engine) const MAX_CALL_DELAY: Millis = Millis(12_000);

/// What is known of the delivery of the order that starts a run.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::engine) struct Delivery {
    /// Number of times that the order was sent.
    attempts: u32,
    /// Time of the latest of them.
    latest_attempt: Option<Millis>,
    /// Whether the runner answered that the run is there.
    is_answered: bool,
    /// Whether the clock in that answer was the one of the known incarnation.
    is_answered_by_known: bool,
    /// Whether an inventory of the runner listed the run.
    is_listed: bool,
    /// Sequence number of the response that brought the approval which the order needs; `None` if it needs none.
    approved_sequence: Option<u64>,
}

impl Delivery {
    /// Creates the state of an order that has not been sent, with the sequence number of the response that brought
    /// the approval which it needs.
    pub(in crate::engine) fn with_approval(sequence: Option<u64>) -> Self {
        Self {
            approved_sequence: sequence,
            ..Self::default()
        }
    }

    /// Records that the order is sent once more. Returns the time of the attempt before, which got no answer.
    pub(in crate::engine) fn record_attempt(&mut self, now: Millis) -> Option<Millis> {
        self.attempts = self.attempts.saturating_add(1);
        self.latest_attempt.replace(now)
    }

    /// Records that the runner answered the order, and whether by the clock of the known incarnation.
    pub(in crate::engine) fn record_answer(&mut self, is_by_known: bool) {
        self.is_answered = true;
        self.is_answered_by_known = is_by_known;
    }

    /// Returns the time of the latest attempt to send the order.
    pub(in crate::engine) fn latest_attempt(self) -> Option<Millis> {
        self.latest_attempt
    }

    /// Records that an inventory lists the run.
    pub(in crate::engine) fn record_listing(&mut self) {
        self.is_listed = true;
    }

    /// Returns whether the runner has shown that it received the order.
    pub(in crate::engine) fn is_shown(self) -> bool {
        self.is_answered || self.is_listed
    }

    /// Returns whether the order was sent and nothing shows that the runner received it.
    pub(in crate::engine) fn is_in_doubt(self) -> bool {
        self.attempts > 0 && !self.is_shown()
    }

    /// Returns whether the next incarnation under the runner's id may have received the order. An order
    /// names the id alone, so that only an inventory tells which incarnation executed it, and an attempt
    /// without an answer may arrive later.
    fn may_reach_successor(self) -> bool {
        let is_settled = self.attempts == 1 && self.is_answered && self.is_listed;
        self.attempts > 0 && !is_settled
    }

    /// Returns whether only the known incarnation can carry out the order, however late. An approval is one of a single
    /// incarnation: of the known one if that took the order, and of it or one before if it has answered a call that
    /// was sent after the approval came, the latest with the number `answered`.
    pub(super) fn is_bound_to_known(self, answered: u64) -> bool {
        let is_taken = self.is_answered_by_known || self.is_listed;
        self.approved_sequence
            .is_some_and(|approved| is_taken || answered > approved)
    }

    /// Returns whether the runner has to show that it lives before the order is sent, so that the order is bound to
    /// the known incarnation.
    pub(in crate::engine) fn needs_proof_of_life(self, answered: u64) -> bool {
        self.approved_sequence.is_some() && !self.is_bound_to_known(answered)
    }

    /// Returns whether the known incarnation has executed the order, as far as its inventories and the clock in the
    /// answer tell, and no other attempt can arrive any more.
    fn is_with_known(self, now: Millis) -> bool {
        let latest_arrival = self.latest_attempt.unwrap_or_default() + MAX_CALL_DELAY;
        let is_only_arrival = self.attempts == 1 || now >= latest_arrival;
        is_only_arrival && (self.is_answered_by_known || self.is_listed)
    }

    /// Forgets what an incarnation has shown, as the run passes to the next one.
    pub(in crate::engine) fn forget_incarnation(&mut self) {
        self.is_answered_by_known = false;
        self.is_listed = false;
    }
}

impl Runner {
    /// Returns the runs that the next incarnation under the runner's id may have, in order.
    pub(in crate::engine) fn runs_for_successor(&self) -> Vec<(TaskId, u32)> {
        let in_doubt = self
            .runs
            .iter()
            .filter(|(_, placed)| placed.delivery.may_reach_successor());
        let mut keys: Vec<(TaskId, u32)> = in_doubt.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        keys
    }

    /// Returns whether the next incarnation under the runner's id can't carry out the order of a run.
    pub(in crate::engine) fn is_bound(&self, task: TaskId, run: u32) -> bool {
        let placed = self.runs.get(&(task, run));
        placed.is_some_and(|placed| placed.delivery.is_bound_to_known(self.answered_sequence))
    }

    /// Records that a call with a deadline is sent, which may grant a lease.
    pub(in crate::engine) fn record_grant(&mut self, now: Millis) {
        self.latest_grant = self.latest_grant.max(Some(now));
    }

    /// Records that a call with a deadline, sent at `sent_at`, got no answer. It may grant a lease later.
    pub(in crate::engine) fn record_doubted_grant(&mut self, sent_at: Option<Millis>) {
        self.latest_doubted_grant = self.latest_doubted_grant.max(sent_at);
    }

    /// Returns the runs that may not be over although the lease of the known incarnation has expired, in order.
    pub(in crate::engine) fn runs_beyond_lease(
        &self,
        cfg: &Settings,
        now: Millis,
    ) -> Vec<(TaskId, u32)> {
        if now >= self.latest_inherited_lease_end(cfg) {
            return Vec::new();
        }
        let unsettled = self
            .runs
            .iter()
            .filter(|(_, placed)| self.may_be_with_successor(placed.delivery, now));
        let mut keys: Vec<(TaskId, u32)> = unsettled.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        keys
    }

    /// Returns whether an incarnation that the runner doesn't show may have a run with this delivery.
    fn may_be_with_successor(&self, delivery: Delivery, now: Millis) -> bool {
        let is_shown = delivery.is_with_known(now) && !self.may_inherit_lease();
        let is_bound = delivery.is_bound_to_known(self.answered_sequence);
        delivery.may_reach_successor() && !is_shown && !is_bound
    }

    /// Returns the time at which the lease of an incarnation ends at the latest that calls for the one before
    /// may have reached.
    pub(in crate::engine) fn latest_inherited_lease_end(&self, cfg: &Settings) -> Millis {
        let doubted = self.latest_doubted_grant.map(|at| at + MAX_CALL_DELAY);
        let latest = self.latest_grant.max(doubted);
        latest.unwrap_or_default() + longest_inherited_lease(cfg)
    }
}
