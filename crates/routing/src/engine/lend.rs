//! Lending of slot credits by the home of a runner.

use kspan_model::{Millis, NodeId};
use kspan_wire::message::routing::{
    CreditLoan, CreditRequest, CreditReturn, Message, Renewal, RenewalRequest,
};

use super::{Engine, runner::to_u32, service::LoanRequest};
use crate::ledger::LOAN_DURATION;

/// How long a loan request is kept. A router that still needs slots repeats its request.
const LOAN_REQUEST_TTL: Millis = Millis(150);

/// Maximum number of loan requests kept per service.
const MAX_LOAN_REQUESTS: usize = 256;

impl Engine {
    pub(super) fn on_credit_request(
        &mut self,
        from: &NodeId,
        credit_request: &CreditRequest,
        now: Millis,
    ) {
        let Some(&index) = self.service_index.get(&credit_request.service) else {
            return;
        };
        let loan_requests = &mut self.services[index].loan_requests;
        // Ignores duplicated and late requests.
        if loan_requests
            .iter()
            .any(|known| known.from == *from && known.seq >= credit_request.seq)
        {
            return;
        }
        loan_requests.retain(|known| known.from != *from);
        if loan_requests.len() >= MAX_LOAN_REQUESTS {
            return;
        }
        loan_requests.push(LoanRequest {
            from: from.clone(),
            seq: credit_request.seq,
            wanted: credit_request.wanted,
            expires_at: now.saturating_add(LOAN_REQUEST_TTL),
        });
        self.serve_loan_requests(index, now);
    }

    pub(super) fn on_renewal_request(
        &mut self,
        from: &NodeId,
        renewal_request: RenewalRequest,
        now: Millis,
    ) {
        let Some(index) = self.runner_of_loan(renewal_request.loan) else {
            return;
        };
        let may_act = self.may_act(now);
        let Some(runner) = &mut self.runners[index] else {
            return;
        };
        let Some(ledger) = &mut runner.ledger else {
            return;
        };
        if !may_act || !ledger.renew(renewal_request.loan, from, now) {
            return;
        }
        let is_certain = ledger.uncertain() == 0;
        let usable = is_certain && !runner.is_leaving();
        let service = runner.service;
        let spend = usable && !self.exceeds_fair_share(service, from);
        let renewal = Renewal {
            loan: renewal_request.loan,
            seq: renewal_request.seq,
            valid: LOAN_DURATION,
            spend,
        };
        self.send(from, Message::Renewal(renewal));
    }

    pub(super) fn on_credit_return(
        &mut self,
        from: &NodeId,
        credit_return: CreditReturn,
        now: Millis,
    ) {
        let Some(index) = self.runner_of_loan(credit_return.loan) else {
            return;
        };
        let Some(runner) = &mut self.runners[index] else {
            return;
        };
        let service = runner.service;
        if let Some(ledger) = &mut runner.ledger {
            ledger.record_return(
                credit_return.loan,
                from,
                credit_return.returned,
                credit_return.abandoned,
            );
        }
        let index = to_u32(index);
        self.recount_free_slots(index, now);
        self.serve_loan_requests(service, now);
        self.dispatch_queued(service, now);
    }

    /// Lends free slots to the requesting routers in ascending order of the slots that they hold.
    /// The home itself competes like a router if it has queued requests.
    pub(super) fn serve_loan_requests(&mut self, index: usize, now: Millis) {
        if !self.may_act(now) {
            return;
        }
        while let Some(position) = self.next_loan_request(index) {
            let request = &self.services[index].loan_requests[position];
            let held = self.held_by(index, &request.from.clone());
            let has_backlog = !self.services[index].queue.is_empty();
            if has_backlog && held >= self.own_slots_in_use(index) {
                return;
            }
            let free = self.free_home_slots(index, now);
            // Half of the slots are reserved for the next requests of this router.
            let limit = if has_backlog { 1 } else { free.div_ceil(2) };
            let wanted = request.wanted.min(limit);
            if wanted == 0 {
                return;
            }
            let request = self.services[index].loan_requests.swap_remove(position);
            self.lend(index, &request, wanted, now);
        }
    }

    fn lend(&mut self, index: usize, request: &LoanRequest, wanted: u32, now: Millis) {
        let mut remaining = wanted;
        while remaining > 0 {
            let Some(number) = self.freest_home_runner(index, now) else {
                return;
            };
            let Some(runner) = &mut self.runners[number as usize] else {
                return;
            };
            let Some(ledger) = &mut runner.ledger else {
                return;
            };
            self.last_loan_id += 1;
            let slots = ledger.lend(self.last_loan_id, request.from.clone(), remaining, now);
            if slots == 0 {
                return;
            }
            remaining -= slots;
            let credit_loan = CreditLoan {
                seq: request.seq,
                loan: self.last_loan_id,
                runner: runner.task,
                slots,
                valid: LOAN_DURATION,
            };
            self.services[index].counters.lent += u64::from(slots);
            self.recount_free_slots(number, now);
            self.send(&request.from, Message::CreditLoan(credit_loan));
        }
    }

    fn next_loan_request(&self, index: usize) -> Option<usize> {
        let loan_requests = self.services[index].loan_requests.iter().enumerate();
        let next = loan_requests.min_by_key(|(_, request)| self.held_by(index, &request.from));
        next.map(|(position, _)| position)
    }

    fn runner_of_loan(&self, loan: u64) -> Option<usize> {
        self.runners.iter().position(|runner| {
            let ledger = runner.as_ref().and_then(|runner| runner.ledger.as_ref());
            ledger.is_some_and(|ledger| ledger.loan(loan).is_some())
        })
    }

    fn held_by(&self, index: usize, node: &NodeId) -> u32 {
        self.home_ledgers(index)
            .map(|(_, ledger)| ledger.held_by(node))
            .sum()
    }

    fn own_slots_in_use(&self, index: usize) -> u32 {
        self.home_ledgers(index)
            .map(|(_, ledger)| ledger.own())
            .sum()
    }

    fn free_home_slots(&self, index: usize, now: Millis) -> u32 {
        let usable = self
            .home_ledgers(index)
            .filter(|(runner, _)| self.is_lendable(*runner, now));
        usable.map(|(_, ledger)| ledger.free(now)).sum()
    }

    fn freest_home_runner(&self, index: usize, now: Millis) -> Option<u32> {
        let usable = self
            .home_ledgers(index)
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

    fn home_ledgers(&self, index: usize) -> impl Iterator<Item = (u32, &crate::ledger::Ledger)> {
        let runners = self.services[index].runners.iter();
        runners.filter_map(|&number| {
            let runner = self.runners[number as usize].as_ref()?;
            Some((number, runner.ledger.as_ref()?))
        })
    }

    /// Returns whether `node` holds more than an equal share of slots that others wait for.
    fn exceeds_fair_share(&self, index: usize, node: &NodeId) -> bool {
        let service = &self.services[index];
        let has_backlog = !service.queue.is_empty();
        if !has_backlog
            && service
                .loan_requests
                .iter()
                .all(|request| request.from == *node)
        {
            return false;
        }
        let total: u32 = self
            .home_ledgers(index)
            .map(|(_, ledger)| ledger.own() + ledger.lent())
            .sum();
        let competitors = service
            .loan_requests
            .iter()
            .filter(|request| request.from != *node)
            .count();
        let shares =
            u32::try_from(competitors + 2).expect("the number of loan requests is bounded");
        self.held_by(index, node) > (total / shares).max(1)
    }
}
