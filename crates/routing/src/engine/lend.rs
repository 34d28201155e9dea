//! The home's side of slot credits.

use kspan_model::{Millis, NodeId};
use kspan_wire::message::routing::{
    CreditLoan, CreditRequest, CreditReturn, Message, Renewal, RenewalRequest,
};

use super::{Engine, runner::number, service::PendingAsk};
use crate::ledger::LOAN_VALID;

/// How long another router's wish is kept. It asks again when it still wants.
const ASK_TTL: Millis = Millis(150);

/// Most wishes kept for one service.
const MAX_ASKS: usize = 256;

impl Engine {
    pub(super) fn on_ask(&mut self, from: &NodeId, ask: &CreditRequest, now: Millis) {
        let Some(&index) = self.service_index.get(&ask.service) else {
            return;
        };
        let asks = &mut self.services[index].asks;
        // A doubled or late question is no new wish.
        if asks
            .iter()
            .any(|known| known.from == *from && known.seq >= ask.seq)
        {
            return;
        }
        asks.retain(|known| known.from != *from);
        if asks.len() >= MAX_ASKS {
            return;
        }
        asks.push(PendingAsk {
            from: from.clone(),
            seq: ask.seq,
            wanted: ask.wanted,
            until: now.saturating_add(ASK_TTL),
        });
        self.serve_asks(index, now);
    }

    pub(super) fn on_keep(&mut self, from: &NodeId, keep: RenewalRequest, now: Millis) {
        let Some(index) = self.lender_of(keep.loan) else {
            return;
        };
        let may_act = self.may_act(now);
        let Some(runner) = &mut self.runners[index] else {
            return;
        };
        let Some(ledger) = &mut runner.ledger else {
            return;
        };
        if !may_act || !ledger.extend(keep.loan, from, now) {
            return;
        }
        let settled = ledger.uncertain() == 0;
        let usable = settled && !runner.is_leaving();
        let service = runner.service;
        let spend = usable && !self.takes_too_much(service, from);
        let kept = Renewal {
            loan: keep.loan,
            seq: keep.seq,
            valid: LOAN_VALID,
            spend,
        };
        self.send(from, Message::Renewal(kept));
    }

    pub(super) fn on_return(&mut self, from: &NodeId, back: CreditReturn, now: Millis) {
        let Some(index) = self.lender_of(back.loan) else {
            return;
        };
        let Some(runner) = &mut self.runners[index] else {
            return;
        };
        let service = runner.service;
        if let Some(ledger) = &mut runner.ledger {
            ledger.take_back(back.loan, from, back.returned, back.abandoned);
        }
        let index = number(index);
        self.refresh(index, now);
        self.serve_asks(service, now);
        self.pump(service, now);
    }

    /// Lends free slots to routers that asked, those first that hold least. The home's own
    /// requests count as one more router.
    pub(super) fn serve_asks(&mut self, index: usize, now: Millis) {
        if !self.may_act(now) {
            return;
        }
        while let Some(position) = self.neediest_ask(index) {
            let ask = &self.services[index].asks[position];
            let held = self.held_by(index, &ask.from.clone());
            let own_waits = !self.services[index].queue.is_empty();
            if own_waits && held >= self.own_held(index) {
                return;
            }
            let free = self.free_own(index, now);
            // Half is kept back, so that the next request of this router finds a slot.
            let most = if own_waits { 1 } else { free.div_ceil(2) };
            let wanted = ask.wanted.min(most);
            if wanted == 0 {
                return;
            }
            let ask = self.services[index].asks.swap_remove(position);
            self.lend(index, &ask, wanted, now);
        }
    }

    fn lend(&mut self, index: usize, ask: &PendingAsk, wanted: u32, now: Millis) {
        let mut left = wanted;
        while left > 0 {
            let Some(number) = self.freest_own(index, now) else {
                return;
            };
            let Some(runner) = &mut self.runners[number as usize] else {
                return;
            };
            let Some(ledger) = &mut runner.ledger else {
                return;
            };
            self.loans += 1;
            let slots = ledger.lend(self.loans, ask.from.clone(), left, now);
            if slots == 0 {
                return;
            }
            left -= slots;
            let lend = CreditLoan {
                seq: ask.seq,
                loan: self.loans,
                runner: runner.task,
                slots,
                valid: LOAN_VALID,
            };
            self.services[index].counters.lent += u64::from(slots);
            self.refresh(number, now);
            self.send(&ask.from, Message::CreditLoan(lend));
        }
    }

    fn neediest_ask(&self, index: usize) -> Option<usize> {
        let asks = self.services[index].asks.iter().enumerate();
        let least = asks.min_by_key(|(_, ask)| self.held_by(index, &ask.from));
        least.map(|(position, _)| position)
    }

    fn lender_of(&self, loan: u64) -> Option<usize> {
        self.runners.iter().position(|runner| {
            let ledger = runner.as_ref().and_then(|runner| runner.ledger.as_ref());
            ledger.is_some_and(|ledger| ledger.loan(loan).is_some())
        })
    }

    fn held_by(&self, index: usize, node: &NodeId) -> u32 {
        self.own_ledgers(index)
            .map(|(_, ledger)| ledger.held_by(node))
            .sum()
    }

    fn own_held(&self, index: usize) -> u32 {
        self.own_ledgers(index)
            .map(|(_, ledger)| ledger.own())
            .sum()
    }

    fn free_own(&self, index: usize, now: Millis) -> u32 {
        let usable = self
            .own_ledgers(index)
            .filter(|(runner, _)| self.is_lendable(*runner, now));
        usable.map(|(_, ledger)| ledger.free(now)).sum()
    }

    fn freest_own(&self, index: usize, now: Millis) -> Option<u32> {
        let usable = self
            .own_ledgers(index)
            .filter(|(runner, _)| self.is_lendable(*runner, now));
        let freest = usable.max_by_key(|(_, ledger)| ledger.free(now));
        freest
            .filter(|(_, ledger)| ledger.free(now) > 0)
            .map(|(runner, _)| runner)
    }

    fn is_lendable(&self, number: u32, now: Millis) -> bool {
        let runner = self.runners[number as usize].as_ref();
        runner.is_some_and(|runner| !runner.is_leaving() && !runner.health.is_ejected(now))
    }

    fn own_ledgers(&self, index: usize) -> impl Iterator<Item = (u32, &crate::ledger::Ledger)> {
        let runners = self.services[index].runners.iter();
        runners.filter_map(|&number| {
            let runner = self.runners[number as usize].as_ref()?;
            Some((number, runner.ledger.as_ref()?))
        })
    }

    /// Returns whether others wait while `node` holds more than an equal share.
    fn takes_too_much(&self, index: usize, node: &NodeId) -> bool {
        let service = &self.services[index];
        let own_waits = !service.queue.is_empty();
        if !own_waits && service.asks.iter().all(|ask| ask.from == *node) {
            return false;
        }
        let total: u32 = self
            .own_ledgers(index)
            .map(|(_, ledger)| ledger.own() + ledger.lent())
            .sum();
        let rivals = service.asks.iter().filter(|ask| ask.from != *node).count();
        let parties = u32::try_from(rivals + 2).expect("the wishes are bounded");
        self.held_by(index, node) > (total / parties).max(1)
    }
}
