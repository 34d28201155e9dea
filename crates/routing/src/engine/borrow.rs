//! Borrowing of slot credits from the homes of runners.

use std::collections::VecDeque;

use kspan_model::{Millis, NodeId, TaskId};
use kspan_wire::message::routing::{
    CreditLoan, CreditRequest, CreditReturn, Message, Renewal, RenewalRequest,
};
use rustc_hash::FxHashSet;

use super::{Engine, runner::to_u32};
use crate::{choice::Tier, ledger::LOAN_DURATION, loan::Loan};

/// Minimum time between two loan requests for one service to one home.
const MIN_LOAN_REQUEST_INTERVAL: Millis = Millis(100);

/// Maximum number of slots per loan request.
const MAX_REQUESTED_SLOTS: usize = 64;

/// Maximum number of homes asked at once.
const MAX_HOMES_ASKED: usize = 4;

/// Queueing time after which slots of other data centres in the region are requested.
const SPILL_TO_REGION_DELAY: Millis = Millis(5);

/// Queueing time after which slots of other regions are requested. It exceeds the round-trip time
/// between regions.
const SPILL_TO_REMOTE_DELAY: Millis = Millis(30);

/// Maximum number of requests remembered for matching their replies.
const MAX_REMEMBERED_REQUESTS: usize = 4_096;

/// The requests that this router sent as a borrower, and the loans that it received.
#[derive(Clone, Debug, Default)]
pub(super) struct Borrower {
    seq: u64,
    /// Sequence number and time of each request, oldest first.
    requests: VecDeque<(u64, Millis)>,
    /// Loans that were received, so that a duplicated message adds no second loan; oldest first.
    known_loans: VecDeque<KnownLoan>,
}

/// A loan that was received.
#[derive(Clone, Debug)]
struct KnownLoan {
    from: NodeId,
    loan: u64,
    received_at: Millis,
}

impl Borrower {
    fn record_request(&mut self, now: Millis) -> u64 {
        self.seq += 1;
        self.requests.push_back((self.seq, now));
        if self.requests.len() > MAX_REMEMBERED_REQUESTS {
            self.requests.pop_front();
        }
        self.seq
    }

    fn sent_at(&self, seq: u64) -> Option<Millis> {
        let position = self
            .requests
            .binary_search_by_key(&seq, |request| request.0);
        position.ok().map(|position| self.requests[position].1)
    }

    /// Records a loan. Returns whether it is new.
    fn record_loan(&mut self, from: &NodeId, loan: u64, now: Millis) -> bool {
        if self
            .known_loans
            .iter()
            .any(|known| known.loan == loan && known.from == *from)
        {
            return false;
        }
        self.known_loans.push_back(KnownLoan {
            from: from.clone(),
            loan,
            received_at: now,
        });
        true
    }

    fn drop_expired(&mut self, now: Millis) {
        // A loan made in reply to an older request has expired already.
        let is_expired = |sent: Millis| now.saturating_sub(sent) > LOAN_DURATION;
        while self
            .requests
            .front()
            .is_some_and(|(_, sent)| is_expired(*sent))
        {
            self.requests.pop_front();
        }
        // The request of a loan is as old as the loan or older, and a duplicate is only accepted
        // while its request is known.
        while self
            .known_loans
            .front()
            .is_some_and(|known| is_expired(known.received_at))
        {
            self.known_loans.pop_front();
        }
    }
}

impl Engine {
    /// Requests slots for queued requests from the homes of runners, nearest homes first.
    pub(super) fn request_loans(&mut self, index: usize, now: Millis) {
        let wanted = self.services[index].queue.len().min(MAX_REQUESTED_SLOTS);
        let wanted = u32::try_from(wanted).expect("the number of slots is bounded");
        for home in self.homes_to_ask(index, now) {
            let seq = self.borrower.record_request(now);
            let service = &mut self.services[index];
            service.last_asked.insert(home.clone(), now);
            let credit_request = CreditRequest {
                seq,
                service: service.name.clone(),
                wanted,
            };
            self.send(&home, Message::CreditRequest(credit_request));
        }
    }

    pub(super) fn on_credit_loan(&mut self, from: &NodeId, credit_loan: &CreditLoan, now: Millis) {
        let Some(requested_at) = self.borrower.sent_at(credit_loan.seq) else {
            self.decline_loan(from, credit_loan);
            return;
        };
        if !self.borrower.record_loan(from, credit_loan.loan, now) {
            return;
        }
        let Some((index, runner)) = self.runner_mut(credit_loan.runner) else {
            self.decline_loan(from, credit_loan);
            return;
        };
        let mut loan = Loan::new(
            from.clone(),
            credit_loan.loan,
            credit_loan.slots,
            requested_at,
            credit_loan.valid,
        );
        loan.last_used = now;
        runner.loans.push(loan);
        let service = runner.service;
        self.services[service].counters.borrowed += u64::from(credit_loan.slots);
        self.recount_free_slots(index, now);
        self.dispatch_queued(service, now);
    }

    pub(super) fn on_renewal(&mut self, from: &NodeId, renewal: Renewal, now: Millis) {
        let Some(requested_at) = self.borrower.sent_at(renewal.seq) else {
            return;
        };
        let runners = self.runners.iter_mut().flatten();
        let mut loans = runners.flat_map(|runner| runner.loans.iter_mut());
        if let Some(loan) = loans.find(|loan| loan.id == renewal.loan && loan.from == *from) {
            loan.renew(requested_at, renewal.valid, renewal.spend);
        }
        self.dispatch_all_queued(now);
    }

    pub(super) fn on_leaving(&mut self, from: &NodeId, task: TaskId, now: Millis) {
        let Some((index, runner)) = self.runner_mut(task) else {
            return;
        };
        for loan in &mut runner.loans {
            loan.may_spend &= loan.from != *from;
        }
        self.recount_free_slots(index, now);
    }

    /// Returns idle loans, renews those in use and drops expired ones.
    pub(super) fn tick_loans(&mut self, now: Millis) {
        self.borrower.drop_expired(now);
        for index in 0..self.runners.len() {
            let Some(runner) = &mut self.runners[index] else {
                continue;
            };
            if runner.loans.is_empty() {
                continue;
            }
            let leaving = runner.is_leaving();
            let mut messages = Vec::new();
            for loan in &mut runner.loans {
                let message = maintain_loan(loan, leaving, &mut self.borrower, now);
                messages.extend(message.map(|message| (loan.from.clone(), message)));
            }
            // A loan with requests in flight is kept after it expires, so that their release can
            // be recorded.
            runner
                .loans
                .retain(|loan| !loan.is_exhausted() && (loan.in_use > 0 || loan.expires_at > now));
            for (to, message) in messages {
                self.send(&to, message);
            }
            let index = to_u32(index);
            self.recount_free_slots(index, now);
        }
    }

    /// Returns the slots of abandoned requests to their lenders.
    pub(super) fn return_abandoned(&mut self, index: u32) {
        let Some(runner) = &mut self.runners[index as usize] else {
            return;
        };
        let abandoned = runner.loans.iter().filter(|loan| loan.abandoned > 0);
        let messages: Vec<_> = abandoned
            .map(|loan| (loan.from.clone(), return_message(loan)))
            .collect();
        runner.loans.retain(|loan| !loan.is_exhausted());
        for (to, message) in messages {
            self.send(&to, message);
        }
    }

    /// Returns all unused slots to their lenders, for a graceful shutdown.
    pub fn return_loans(&mut self) {
        let mut messages = Vec::new();
        for runner in self.runners.iter_mut().flatten() {
            for loan in &mut runner.loans {
                loan.may_spend = false;
                if loan.return_unused() > 0 {
                    messages.push((loan.from.clone(), return_message(loan)));
                }
            }
            runner.loans.retain(|loan| !loan.is_exhausted());
        }
        for (to, message) in messages {
            self.send(&to, message);
        }
    }

    fn decline_loan(&mut self, to: &NodeId, credit_loan: &CreditLoan) {
        let credit_return = CreditReturn {
            loan: credit_loan.loan,
            returned: credit_loan.slots,
            abandoned: 0,
        };
        self.send(to, Message::CreditReturn(credit_return));
    }

    fn homes_to_ask(&self, index: usize, now: Millis) -> Vec<NodeId> {
        let service = &self.services[index];
        let waited = service.queue.longest_wait(now);
        let mut nearest = None;
        let mut homes: Vec<(Tier, &NodeId)> = Vec::new();
        let mut known = FxHashSet::default();
        for &runner in &service.runners {
            let Some(runner) = &self.runners[runner as usize] else {
                continue;
            };
            let Some(home) = runner.home.as_ref().filter(|home| **home != self.cfg.me) else {
                continue;
            };
            if runner.is_leaving() {
                continue;
            }
            nearest = Some(nearest.map_or(runner.tier, |tier: Tier| tier.min(runner.tier)));
            if known.insert(home) {
                homes.push((runner.tier, home));
            }
        }
        let max_tier = match waited {
            waited if waited >= SPILL_TO_REMOTE_DELAY => Tier::Remote,
            waited if waited >= SPILL_TO_REGION_DELAY => Tier::Region,
            _ => Tier::DataCentre,
        };
        let has_slots = service.in_flight + service.free > 0;
        let max_tier = if has_slots {
            max_tier
        } else {
            nearest.map_or(max_tier, |tier| tier.max(max_tier))
        };
        homes.retain(|(tier, home)| {
            let requested_at = service.last_asked.get(*home);
            *tier <= max_tier
                && requested_at.is_none_or(|requested_at| {
                    now.saturating_sub(*requested_at) >= MIN_LOAN_REQUEST_INTERVAL
                })
        });
        homes.sort_by_key(|(tier, home)| (*tier, service.last_asked.get(*home).copied()));
        homes
            .into_iter()
            .take(MAX_HOMES_ASKED)
            .map(|(_, home)| home.clone())
            .collect()
    }
}

fn maintain_loan(
    loan: &mut Loan,
    leaving: bool,
    borrower: &mut Borrower,
    now: Millis,
) -> Option<Message> {
    let is_unneeded = leaving || !loan.may_spend || loan.is_idle(now);
    if is_unneeded && loan.return_unused() > 0 {
        return Some(return_message(loan));
    }
    if loan.slots == 0 || !loan.needs_renewal(now) {
        return None;
    }
    loan.renewal_requested_at = now;
    let seq = borrower.record_request(now);
    Some(Message::RenewalRequest(RenewalRequest {
        loan: loan.id,
        seq,
    }))
}

fn return_message(loan: &Loan) -> Message {
    Message::CreditReturn(CreditReturn {
        loan: loan.id,
        returned: loan.returned,
        abandoned: loan.abandoned,
    })
}
