//! The borrower's side of slot credits.

use std::collections::VecDeque;

use kspan_model::{Millis, NodeId, TaskId};
use kspan_wire::message::routing::{
    CreditLoan, CreditRequest, CreditReturn, Message, Renewal, RenewalRequest,
};
use rustc_hash::FxHashSet;

use super::{Engine, runner::number};
use crate::{choice::Tier, ledger::LOAN_VALID, loan::Loan};

/// Shortest time between two questions for one service to one home.
const ASK_EVERY: Millis = Millis(100);

/// Most slots asked for at once.
const MAX_WANTED: usize = 64;

/// Homes asked at once.
const MAX_ASKED: usize = 4;

/// Another data centre's slots are asked for once a request has waited this long.
const SPILL_REGION: Millis = Millis(5);

/// Another region's slots are asked for once a request has waited this long, which is more than
/// the way there and back.
const SPILL_REMOTE: Millis = Millis(30);

/// Questions that are remembered for matching answers.
const MAX_QUESTIONS: usize = 4_096;

/// What a borrower remembers of its questions.
#[derive(Clone, Debug, Default)]
pub(super) struct Borrower {
    seq: u64,
    /// Number and time of each question, oldest first.
    questions: VecDeque<(u64, Millis)>,
    /// Loans that were taken in, so that a doubled message makes no second loan.
    seen: VecDeque<(NodeId, u64)>,
}

impl Borrower {
    fn ask(&mut self, now: Millis) -> u64 {
        self.seq += 1;
        self.questions.push_back((self.seq, now));
        if self.questions.len() > MAX_QUESTIONS {
            self.questions.pop_front();
        }
        self.seq
    }

    fn sent_at(&self, seq: u64) -> Option<Millis> {
        let position = self
            .questions
            .binary_search_by_key(&seq, |question| question.0);
        position.ok().map(|position| self.questions[position].1)
    }

    /// Returns whether the loan is new.
    fn admit(&mut self, from: &NodeId, loan: u64) -> bool {
        if self
            .seen
            .iter()
            .any(|(node, id)| *id == loan && node == from)
        {
            return false;
        }
        self.seen.push_back((from.clone(), loan));
        true
    }

    fn forget(&mut self, now: Millis) {
        // An answer to an older question makes a loan that has ended already.
        let old = |sent: Millis| now.saturating_sub(sent) > LOAN_VALID;
        while self.questions.front().is_some_and(|(_, sent)| old(*sent)) {
            self.questions.pop_front();
        }
        if self.questions.is_empty() {
            self.seen.clear();
        }
    }
}

impl Engine {
    /// Asks homes for slots for the requests that wait, nearest homes first.
    pub(super) fn ask_more(&mut self, index: usize, now: Millis) {
        let wanted = self.services[index].queue.len().min(MAX_WANTED);
        let wanted = u32::try_from(wanted).expect("the bound is small");
        for home in self.homes_to_ask(index, now) {
            let seq = self.borrower.ask(now);
            let service = &mut self.services[index];
            service.asked.insert(home.clone(), now);
            let ask = CreditRequest {
                seq,
                service: service.name.clone(),
                wanted,
            };
            self.send(&home, Message::CreditRequest(ask));
        }
    }

    pub(super) fn on_lend(&mut self, from: &NodeId, lend: &CreditLoan, now: Millis) {
        let Some(asked) = self.borrower.sent_at(lend.seq) else {
            self.decline(from, lend);
            return;
        };
        if !self.borrower.admit(from, lend.loan) {
            return;
        }
        let Some((index, runner)) = self.runner_mut(lend.runner) else {
            self.decline(from, lend);
            return;
        };
        let mut loan = Loan::new(from.clone(), lend.loan, lend.slots, asked, lend.valid);
        loan.used = now;
        runner.loans.push(loan);
        let service = runner.service;
        self.services[service].counters.borrowed += u64::from(lend.slots);
        self.refresh(index, now);
        self.pump(service, now);
    }

    pub(super) fn on_kept(&mut self, from: &NodeId, kept: Renewal, now: Millis) {
        let Some(asked) = self.borrower.sent_at(kept.seq) else {
            return;
        };
        let runners = self.runners.iter_mut().flatten();
        let mut loans = runners.flat_map(|runner| runner.loans.iter_mut());
        if let Some(loan) = loans.find(|loan| loan.id == kept.loan && loan.from == *from) {
            loan.extend(asked, kept.valid, kept.spend);
        }
        self.pump_all(now);
    }

    pub(super) fn on_leaving(&mut self, from: &NodeId, task: TaskId, now: Millis) {
        let Some((index, runner)) = self.runner_mut(task) else {
            return;
        };
        for loan in &mut runner.loans {
            loan.spend &= loan.from != *from;
        }
        self.refresh(index, now);
    }

    /// Gives idle loans back, extends those in use and drops those that have ended.
    pub(super) fn tick_loans(&mut self, now: Millis) {
        self.borrower.forget(now);
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
                let message = tend_loan(loan, leaving, &mut self.borrower, now);
                messages.extend(message.map(|message| (loan.from.clone(), message)));
            }
            // A loan with requests in flight is kept past its end, to account for their release.
            runner
                .loans
                .retain(|loan| !loan.is_over() && (loan.in_use > 0 || loan.expires > now));
            for (to, message) in messages {
                self.send(&to, message);
            }
            let index = number(index);
            self.refresh(index, now);
        }
    }

    /// Tells lenders of slots whose answer was abandoned.
    pub(super) fn return_abandoned(&mut self, index: u32) {
        let Some(runner) = &mut self.runners[index as usize] else {
            return;
        };
        let abandoned = runner.loans.iter().filter(|loan| loan.abandoned > 0);
        let messages: Vec<_> = abandoned
            .map(|loan| (loan.from.clone(), returned(loan)))
            .collect();
        runner.loans.retain(|loan| !loan.is_over());
        for (to, message) in messages {
            self.send(&to, message);
        }
    }

    /// Gives every loan back that is not in use, for a planned stop.
    pub fn return_loans(&mut self) {
        let mut messages = Vec::new();
        for runner in self.runners.iter_mut().flatten() {
            for loan in &mut runner.loans {
                loan.spend = false;
                if loan.return_unused() > 0 {
                    messages.push((loan.from.clone(), returned(loan)));
                }
            }
            runner.loans.retain(|loan| !loan.is_over());
        }
        for (to, message) in messages {
            self.send(&to, message);
        }
    }

    fn decline(&mut self, to: &NodeId, lend: &CreditLoan) {
        let back = CreditReturn {
            loan: lend.loan,
            returned: lend.slots,
            abandoned: 0,
        };
        self.send(to, Message::CreditReturn(back));
    }

    fn homes_to_ask(&self, index: usize, now: Millis) -> Vec<NodeId> {
        let service = &self.services[index];
        let waited = service.queue.oldest(now);
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
        let reach = match waited {
            waited if waited >= SPILL_REMOTE => Tier::Remote,
            waited if waited >= SPILL_REGION => Tier::Region,
            _ => Tier::DataCentre,
        };
        let has_own = service.in_flight + service.free > 0;
        let reach = if has_own {
            reach
        } else {
            nearest.map_or(reach, |tier| tier.max(reach))
        };
        homes.retain(|(tier, home)| {
            let asked = service.asked.get(*home);
            *tier <= reach && asked.is_none_or(|asked| now.saturating_sub(*asked) >= ASK_EVERY)
        });
        homes.sort_by_key(|(tier, home)| (*tier, service.asked.get(*home).copied()));
        homes
            .into_iter()
            .take(MAX_ASKED)
            .map(|(_, home)| home.clone())
            .collect()
    }
}

fn tend_loan(
    loan: &mut Loan,
    leaving: bool,
    borrower: &mut Borrower,
    now: Millis,
) -> Option<Message> {
    let unwanted = leaving || !loan.spend || loan.is_idle(now);
    if unwanted && loan.return_unused() > 0 {
        return Some(returned(loan));
    }
    if loan.slots == 0 || !loan.wants_extension(now) {
        return None;
    }
    loan.asked = now;
    let seq = borrower.ask(now);
    Some(Message::RenewalRequest(RenewalRequest {
        loan: loan.id,
        seq,
    }))
}

fn returned(loan: &Loan) -> Message {
    Message::CreditReturn(CreditReturn {
        loan: loan.id,
        returned: loan.returned,
        abandoned: loan.abandoned,
    })
}
