//! Approvals of runners for steps, and which host asks for them.
//!
//! Answers the load pattern in which approvals take longer than the work: the service answers one
//! call at a time for each calling host, so calls are spread over all hosts of the system, short
//! ones apart from long ones, and each asks only about runners that have room.

use kspan_model::{Millis, Name};
use rustc_hash::FxHashMap;

use super::runner::RunnerIx;

/// Time kept in hand between an approval's end and the last start that uses it.
const TICKET_MARGIN: Millis = Millis(250);

/// Calls at most this long are short.
const SHORT_CALL: Millis = Millis(120);

/// One in this many hosts takes only short calls.
const SHORT_SHARE: usize = 3;

/// Longest time that a call may have to wait for its turn at a host.
const LONGEST_QUEUE: Millis = Millis(700);

/// How long a host is left out after a call through it failed.
const FAILED_PAUSE: Millis = Millis(1_500);

/// What is known about a runner's approval for a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Approval {
    /// It may run the step while the ticket is valid.
    Approved {
        /// Proof of the approval.
        ticket: Name,
        /// End of its validity.
        until: Millis,
    },
    /// It may never run the step.
    Denied,
}

/// Approvals of one step.
#[derive(Clone, Debug, Default)]
pub(super) struct Approvals {
    known: FxHashMap<RunnerIx, Approval>,
    /// Whether a call is on its way.
    pub(super) asking: bool,
    /// When the step may be asked about again.
    pub(super) not_before: Millis,
}

impl Approvals {
    /// Returns the runners on which a start now has a ticket, in their order.
    pub(super) fn valid(&self, now: Millis) -> impl Iterator<Item = RunnerIx> {
        let known = self.known.keys().copied();
        let mut valid: Vec<_> = known
            .filter(|runner_ix| self.ticket(*runner_ix, now).is_some())
            .collect();
        valid.sort_unstable();
        valid.into_iter()
    }

    /// Returns the ticket for a start now.
    pub(super) fn ticket(&self, runner_ix: RunnerIx, now: Millis) -> Option<&Name> {
        match self.known.get(&runner_ix)? {
            Approval::Approved { ticket, until } if now + TICKET_MARGIN <= *until => Some(ticket),
            _ => None,
        }
    }

    /// Returns whether the runner is known never to be approved.
    pub(super) fn is_denied(&self, runner_ix: RunnerIx) -> bool {
        self.known.get(&runner_ix) == Some(&Approval::Denied)
    }

    /// Returns whether the runner was approved at some time.
    pub(super) fn was_approved(&self, runner_ix: RunnerIx) -> bool {
        matches!(self.known.get(&runner_ix), Some(Approval::Approved { .. }))
    }

    /// Takes in an answer about the runners that were asked about.
    pub(super) fn learn(
        &mut self,
        asked: &[RunnerIx],
        approved: &[(RunnerIx, Name)],
        until: Millis,
    ) {
        for runner_ix in asked {
            self.known.insert(*runner_ix, Approval::Denied);
        }
        for (runner_ix, ticket) in approved {
            let ticket = ticket.clone();
            self.known
                .insert(*runner_ix, Approval::Approved { ticket, until });
        }
    }

    /// Forgets a ticket that a runner did not take.
    pub(super) fn expire(&mut self, runner_ix: RunnerIx) {
        if let Some(Approval::Approved { until, .. }) = self.known.get_mut(&runner_ix) {
            *until = Millis::ZERO;
        }
    }
}

/// A host that can ask for approvals.
#[derive(Clone, Debug)]
struct Advisor {
    host: Name,
    busy_until: Millis,
    paused_until: Millis,
}

/// The hosts that can ask for approvals.
#[derive(Clone, Debug, Default)]
pub(super) struct Advisors {
    hosts: Vec<Advisor>,
}

impl Advisors {
    /// Replaces the hosts, keeping what is known about those that stay.
    pub(super) fn set(&mut self, hosts: &[Name]) {
        let old = std::mem::take(&mut self.hosts);
        let known = |host: &Name| old.iter().find(|advisor| advisor.host == *host).cloned();
        let fresh = |host: &Name| Advisor {
            host: host.clone(),
            busy_until: Millis::ZERO,
            paused_until: Millis::ZERO,
        };
        self.hosts = hosts
            .iter()
            .map(|host| known(host).unwrap_or_else(|| fresh(host)))
            .collect();
    }

    /// Takes the host that can answer a call of `length` first. Returns it with the time until
    /// the answer, or `None` where all are busy for too long.
    pub(super) fn take(&mut self, length: Millis, now: Millis) -> Option<(Name, Millis)> {
        let reserved = self.hosts.len() / SHORT_SHARE;
        let first = if length <= SHORT_CALL { 0 } else { reserved };
        let usable = self.hosts[first..]
            .iter_mut()
            .filter(|host| now >= host.paused_until);
        let advisor = usable.min_by_key(|advisor| advisor.busy_until)?;
        let start = advisor.busy_until.max(now);
        if start.saturating_sub(now) > LONGEST_QUEUE {
            return None;
        }
        advisor.busy_until = start + length;
        Some((advisor.host.clone(), advisor.busy_until.saturating_sub(now)))
    }

    /// Notes how a call through a host ended.
    pub(super) fn finished(&mut self, host: &Name, answered: bool, now: Millis) {
        let Some(advisor) = self.hosts.iter_mut().find(|advisor| advisor.host == *host) else {
            return;
        };
        if !answered {
            advisor.paused_until = now + FAILED_PAUSE;
        }
    }
}

/// Share of runners that were approved, by queue.
#[derive(Clone, Debug, Default)]
pub(super) struct ApprovalRates {
    by_queue: FxHashMap<Name, Rate>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    asked: u32,
    approved: u32,
}

/// Counts at which a rate is halved, so that newer answers weigh more.
const RATE_WINDOW: u32 = 400;

impl ApprovalRates {
    /// Takes in one answer.
    pub(super) fn learn(&mut self, queue: &Name, asked: usize, approved: usize) {
        let rate = self.by_queue.entry(queue.clone()).or_default();
        rate.asked += u32::try_from(asked).unwrap_or(0);
        rate.approved += u32::try_from(approved).unwrap_or(0);
        if rate.asked > RATE_WINDOW {
            rate.asked /= 2;
            rate.approved /= 2;
        }
    }

    /// Returns the share of runners that is expected to be approved, in percent.
    pub(super) fn expect(&self, queue: &Name) -> u32 {
        let rate = self.by_queue.get(queue).copied().unwrap_or_default();
        // Starts from one half, as if two of four had been approved.
        (rate.approved + 2) * 100 / (rate.asked + 4)
    }
}
