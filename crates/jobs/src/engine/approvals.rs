//! Approvals of runners for steps, and the choice of the host that requests them.
//!
//! Approvals can take longer than the tasks themselves. The approval service processes one call at
//! a time per calling host, so calls are spread over all hosts of the system. Some hosts are
//! reserved for short calls, which would otherwise queue behind long ones. Only runners with free
//! resources are named in requests.

use kspan_model::{Millis, Name};
use rustc_hash::FxHashMap;

use super::runner::RunnerIx;

/// Minimum remaining validity of a ticket at the time of a start.
const MIN_TICKET_VALIDITY: Millis = Millis(250);

/// Maximum duration of a call that counts as short.
const MAX_SHORT_CALL: Millis = Millis(120);

/// One in this many hosts is reserved for short calls.
const SHORT_CALL_HOST_DIVISOR: usize = 3;

/// Maximum time that a call may queue at a host.
const MAX_QUEUE_TIME: Millis = Millis(700);

/// How long a host is not used after a call through it failed.
const FAILED_CALL_PAUSE: Millis = Millis(1_500);

/// Returns whether a call of duration `length` counts as short.
pub(super) fn is_short(length: Millis) -> bool {
    length <= MAX_SHORT_CALL
}

/// Approval status of a runner for a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Approval {
    /// The runner may run the step while the ticket is valid.
    Approved {
        /// Ticket that proves the approval to the runner.
        ticket: Name,
        /// End of the ticket's validity.
        until: Millis,
        /// Whether a start had the ticket.
        is_used: bool,
        /// Sequence number of the response that brought the ticket.
        sequence: u64,
    },
    /// The runner must not run the step.
    Denied,
}

/// How a start uses an approval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApprovalUse {
    /// The start needs none.
    None,
    /// No start has used it before.
    First,
    /// Another start has used it before.
    Again,
}

/// An approval request in flight.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    /// Runners that it names.
    pub(super) runners: Vec<RunnerIx>,
    /// Time at which the response is expected.
    pub(super) expected_at: Millis,
}

/// Approvals of one step.
#[derive(Clone, Debug, Default)]
pub(super) struct Approvals {
    by_runner: FxHashMap<RunnerIx, Approval>,
    /// The request in flight.
    pub(super) pending: Option<PendingRequest>,
    /// Earliest time of the next request.
    pub(super) not_before: Millis,
}

impl Approvals {
    /// Returns the runners with a valid ticket, in index order.
    pub(super) fn valid_runners(&self, now: Millis) -> impl Iterator<Item = RunnerIx> {
        let known = self.by_runner.keys().copied();
        let mut valid: Vec<_> = known
            .filter(|runner_ix| self.ticket(*runner_ix, now).is_some())
            .collect();
        valid.sort_unstable();
        valid.into_iter()
    }

    /// Returns the ticket for a start on the runner now.
    pub(super) fn ticket(&self, runner_ix: RunnerIx, now: Millis) -> Option<&Name> {
        self.valid_ticket(runner_ix, now).map(|(ticket, _)| ticket)
    }

    /// Returns the ticket for a start on the runner now, and the end of its validity.
    pub(super) fn valid_ticket(&self, runner_ix: RunnerIx, now: Millis) -> Option<(&Name, Millis)> {
        match self.by_runner.get(&runner_ix)? {
            Approval::Approved { ticket, until, .. } if now + MIN_TICKET_VALIDITY <= *until => {
                Some((ticket, *until))
            }
            _ => None,
        }
    }

    /// Returns the sequence number of the response that brought the runner's ticket.
    pub(super) fn sequence(&self, runner_ix: RunnerIx) -> Option<u64> {
        match self.by_runner.get(&runner_ix)? {
            Approval::Approved { sequence, .. } => Some(*sequence),
            Approval::Denied => None,
        }
    }

    /// Returns when a task can start on a runner that has room from `room_at` on: at that time if
    /// the ticket is valid then, otherwise once a request that takes `call_time` is answered.
    pub(super) fn earliest_start(
        &self,
        runner_ix: RunnerIx,
        room_at: Millis,
        call_time: Millis,
        now: Millis,
    ) -> Millis {
        if self.ticket(runner_ix, room_at).is_some() {
            return room_at;
        }
        let Some(pending) = &self.pending else {
            return room_at.max(now + call_time);
        };
        let answered_at = pending.expected_at.max(now);
        if pending.runners.contains(&runner_ix) {
            return room_at.max(answered_at);
        }
        room_at.max(answered_at + call_time)
    }

    /// Returns whether any request was answered.
    pub(super) fn has_responses(&self) -> bool {
        !self.by_runner.is_empty()
    }

    /// Returns whether the runner was denied.
    pub(super) fn is_denied(&self, runner_ix: RunnerIx) -> bool {
        self.by_runner.get(&runner_ix) == Some(&Approval::Denied)
    }

    /// Returns the runners that have ever been approved, in index order.
    pub(super) fn approved_runners(&self) -> impl Iterator<Item = RunnerIx> {
        let known = self.by_runner.keys().copied();
        let mut approved: Vec<_> = known
            .filter(|runner_ix| self.was_approved(*runner_ix))
            .collect();
        approved.sort_unstable();
        approved.into_iter()
    }

    /// Returns whether the runner has ever been approved.
    pub(super) fn was_approved(&self, runner_ix: RunnerIx) -> bool {
        matches!(
            self.by_runner.get(&runner_ix),
            Some(Approval::Approved { .. })
        )
    }

    /// Records a response: requested runners that it does not approve are denied.
    pub(super) fn record_response(
        &mut self,
        requested: &[RunnerIx],
        approved: &[(RunnerIx, Name)],
        until: Millis,
        sequence: u64,
    ) {
        for runner_ix in requested {
            self.by_runner.insert(*runner_ix, Approval::Denied);
        }
        for (runner_ix, ticket) in approved {
            let approval = Approval::Approved {
                ticket: ticket.clone(),
                until,
                is_used: false,
                sequence,
            };
            self.by_runner.insert(*runner_ix, approval);
        }
    }

    /// Records that a start on a runner has its ticket, if there is one.
    pub(super) fn record_use(&mut self, runner_ix: RunnerIx) -> ApprovalUse {
        match self.by_runner.get_mut(&runner_ix) {
            Some(Approval::Approved { is_used, .. }) => {
                if std::mem::replace(is_used, true) {
                    ApprovalUse::Again
                } else {
                    ApprovalUse::First
                }
            }
            _ => ApprovalUse::None,
        }
    }

    /// Invalidates a ticket that a runner refused.
    pub(super) fn invalidate(&mut self, runner_ix: RunnerIx) {
        if let Some(Approval::Approved { until, .. }) = self.by_runner.get_mut(&runner_ix) {
            *until = Millis::ZERO;
        }
    }
}

/// A host that can request approvals.
#[derive(Clone, Debug)]
struct ApprovalHost {
    host: Name,
    busy_until: Millis,
    paused_until: Millis,
}

/// The hosts that can request approvals.
#[derive(Clone, Debug, Default)]
pub(super) struct ApprovalHosts {
    hosts: Vec<ApprovalHost>,
}

impl ApprovalHosts {
    /// Replaces the hosts and keeps the state of those that remain.
    pub(super) fn replace(&mut self, hosts: &[Name]) {
        let old = std::mem::take(&mut self.hosts);
        let known = |host: &Name| old.iter().find(|entry| entry.host == *host).cloned();
        let new = |host: &Name| ApprovalHost {
            host: host.clone(),
            busy_until: Millis::ZERO,
            paused_until: Millis::ZERO,
        };
        self.hosts = hosts
            .iter()
            .map(|host| known(host).unwrap_or_else(|| new(host)))
            .collect();
    }

    /// Returns whether a host can begin a call within the time that calls may queue.
    pub(super) fn has_free(&self, now: Millis) -> bool {
        let latest_start = now + MAX_QUEUE_TIME;
        self.hosts
            .iter()
            .any(|entry| now >= entry.paused_until && entry.busy_until <= latest_start)
    }

    /// Returns the index of the first host that may make a call of duration `length`.
    fn first_host(&self, length: Millis) -> usize {
        if is_short(length) {
            0
        } else {
            self.hosts.len() / SHORT_CALL_HOST_DIVISOR
        }
    }

    /// Reserves the host that can complete a call of duration `length` first. Returns it with the
    /// time until the response, or `None` if every host is busy for too long.
    pub(super) fn reserve(&mut self, length: Millis, now: Millis) -> Option<(Name, Millis)> {
        let first = self.first_host(length);
        let usable = self.hosts[first..]
            .iter_mut()
            .filter(|entry| now >= entry.paused_until);
        let entry = usable.min_by_key(|entry| entry.busy_until)?;
        let start = entry.busy_until.max(now);
        if start.saturating_sub(now) > MAX_QUEUE_TIME {
            return None;
        }
        entry.busy_until = start + length;
        Some((entry.host.clone(), entry.busy_until.saturating_sub(now)))
    }

    /// Records whether a call through a host was answered.
    pub(super) fn record_call(&mut self, host: &Name, answered: bool, now: Millis) {
        let Some(entry) = self.hosts.iter_mut().find(|entry| entry.host == *host) else {
            return;
        };
        if !answered {
            entry.paused_until = now + FAILED_CALL_PAUSE;
        }
    }
}

/// Approval rates of runners, by queue.
#[derive(Clone, Debug, Default)]
pub(super) struct ApprovalRates {
    by_queue: FxHashMap<Name, Rate>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    requested: u32,
    approved: u32,
}

/// Number of requested runners above which the counts of a rate are halved, so that recent
/// responses weigh more.
const RATE_WINDOW: u32 = 400;

impl ApprovalRates {
    /// Records the counts of one response.
    pub(super) fn record(&mut self, queue: &Name, requested: usize, approved: usize) {
        let rate = self.by_queue.entry(queue.clone()).or_default();
        rate.requested += u32::try_from(requested).unwrap_or(0);
        rate.approved += u32::try_from(approved).unwrap_or(0);
        if rate.requested > RATE_WINDOW {
            rate.requested /= 2;
            rate.approved /= 2;
        }
    }

    /// Returns the expected approval rate in percent.
    pub(super) fn expected_percent(&self, queue: &Name) -> u32 {
        let rate = self.by_queue.get(queue).copied().unwrap_or_default();
        // The prior is two approvals out of four.
        (rate.approved + 2) * 100 / (rate.requested + 4)
    }
}
