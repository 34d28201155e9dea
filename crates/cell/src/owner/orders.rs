//! Carries out orders.

use std::{rc::Rc, time::Duration};

use kspan_adapter::{advice::Approved, http::CallError, runner};
use kspan_jobs::{
    engine::{ApprovalRequest, Order, StartOrder, StopOrder},
    runner::{OrderOutcome, Refusal, StartOutcome},
};
use kspan_model::Name;

use super::{Contact, Owner};
use crate::message::{Ask, Reply};

/// Time for one send of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);

/// How often a start is sent to the same runner.
const START_ATTEMPTS: u32 = 3;

/// Time between sends of a start that could not be sent.
const RESEND_INTERVAL: Duration = Duration::from_millis(40);

/// Time for an approval beyond what is expected.
const ADVISE_MARGIN: Duration = Duration::from_millis(500);

impl Owner {
    /// Starts to carry out an order.
    pub(super) fn carry_out(self: &Rc<Self>, order: Order) {
        let owner = Rc::clone(self);
        match order {
            Order::Start(order) => drop(ntex::rt::spawn(owner.start_task(order))),
            Order::Stop(order) => drop(ntex::rt::spawn(owner.stop_task(order))),
            Order::RequestApprovals(order) => drop(ntex::rt::spawn(owner.advise(order))),
        }
    }

    async fn start_task(self: Rc<Self>, order: StartOrder) {
        let contact = self.contacts.borrow().get(&order.runner_ix).cloned();
        let outcome = match contact {
            Some(contact) => self.send_start(&contact, &order).await,
            None => StartOutcome::Refused(Refusal::DeadlinePassed),
        };
        let StartOrder {
            runner_ix: on,
            task,
            run,
            ..
        } = order;
        self.engine
            .borrow_mut()
            .record_start_outcome(self.now(), on, task, run, outcome);
        self.changed.notify_one();
    }

    /// Sends a start until it is answered. A refusal counts only if no send before it may still
    /// be carried out.
    async fn send_start(&self, contact: &Contact, order: &StartOrder) -> StartOutcome {
        let Ok(_turn) = contact.orders.acquire().await else {
            return StartOutcome::Refused(Refusal::DeadlinePassed);
        };
        let mut in_doubt = false;
        for _ in 0..START_ATTEMPTS {
            if !self.may_order() {
                break;
            }
            match runner::start(&contact.peer, order, ORDER_TIMEOUT).await {
                Ok(StartOutcome::Refused(why)) if in_doubt && why != Refusal::StaleRun => {
                    return StartOutcome::Unknown;
                }
                Ok(outcome) => return outcome,
                Err(CallError::NotSent(_)) => tokio::time::sleep(RESEND_INTERVAL).await,
                Err(CallError::Lost(_) | CallError::Garbled(_)) => in_doubt = true,
            }
        }
        if in_doubt {
            StartOutcome::Unknown
        } else {
            StartOutcome::Refused(Refusal::Unhealthy)
        }
    }

    async fn stop_task(self: Rc<Self>, order: StopOrder) {
        let StopOrder {
            runner_ix: on,
            task,
            run,
        } = order;
        let contact = self.contacts.borrow().get(&on).cloned();
        let outcome = match contact {
            Some(contact) if self.may_order() => {
                let turn = contact.orders.acquire().await;
                let outcome = runner::stop(&contact.peer, task, run, ORDER_TIMEOUT).await;
                drop(turn);
                outcome
            }
            _ => OrderOutcome::Unknown,
        };
        self.engine
            .borrow_mut()
            .record_stop_outcome(on, task, run, outcome, self.now());
        self.changed.notify_one();
    }

    async fn advise(self: Rc<Self>, order: ApprovalRequest) {
        let names: Vec<Name> = {
            let engine = self.engine.borrow();
            order
                .runners
                .iter()
                .map(|on| engine.runner(*on).id.clone())
                .collect()
        };
        let approved = self.ask_through(&order, names).await;
        let answer = approved
            .as_ref()
            .map(|approved| (approved.runners.as_slice(), approved.validity));
        self.engine
            .borrow_mut()
            .record_approvals(self.now(), &order, answer);
        self.changed.notify_one();
    }

    /// Asks for approvals through the host that the order names.
    async fn ask_through(&self, order: &ApprovalRequest, names: Vec<Name>) -> Option<Approved> {
        if order.host == self.node.me.node {
            return self.node.advise(order.step, &names).await;
        }
        let members = self.node.others();
        let member = members.iter().find(|member| member.node == order.host)?;
        let ask = Ask::Advise {
            step: order.step,
            runners: names,
        };
        let timeout = Duration::from_millis(order.expected_wait.0) + ADVISE_MARGIN;
        match self.node.peers.ask(member, ask, timeout).await {
            Ok(Reply::Advise(approved)) => approved,
            Ok(_) | Err(_) => None,
        }
    }
}
