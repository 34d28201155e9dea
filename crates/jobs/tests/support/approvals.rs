//! The hazard of approvals: each start needs a ticket, which one incarnation of its runner accepts for a while, and orders
//! that are held up for long reach any incarnation.

use kspan_jobs::{
    config::ApprovalPolicy,
    engine::{ApprovalRequest, InventoryCall, StartOrder},
    runner::InventoryOutcome,
};
use kspan_model::{Millis, Name};
use rand::Rng;

use super::{Event, Hazard, Simulation, runner::FakeRunner};

/// Time for which a ticket is valid, in milliseconds.
const VALIDITY_MS: u64 = 2_000;

/// Longest time from the issue of tickets until the owner has them, in milliseconds.
const MAX_RESPONSE_MS: u64 = 300;

/// Ids of runners, with their tickets.
type Tickets = Vec<(Name, Name)>;

/// Tickets on their way to an owner.
pub(super) struct Response {
    req: ApprovalRequest,
    tickets: Tickets,
}

impl FakeRunner {
    /// Returns a ticket for the present incarnation.
    fn ticket(&self, now: u64) -> Name {
        Name::new(&format!("{}/{now}", self.incarnation_name()))
    }

    /// Returns whether the incarnation accepts a start with a ticket.
    pub(crate) fn accepts_ticket(&self, ticket: &Name, now: u64) -> bool {
        let Some((incarnation, issued)) = ticket.split_once('/') else {
            return false;
        };
        let issued: u64 = issued.parse().expect("a time");
        Name::new(incarnation) == self.incarnation_name() && now <= issued + VALIDITY_MS
    }
}

impl Simulation {
    /// Returns what the queue's approvals cost, if it needs any.
    pub(super) fn approval_policy(&self) -> Option<ApprovalPolicy> {
        (self.hazard == Hazard::ApprovedStarts).then_some(ApprovalPolicy {
            base_ms: 10.0,
            per_runner_ms: 1.0,
            validity: Millis(VALIDITY_MS),
        })
    }

    /// Issues tickets for the present incarnations of the runners that a request names.
    pub(super) fn issue_tickets(&mut self, owner: usize, req: ApprovalRequest) {
        let cell = &self.owners[owner];
        let tickets = req.runners.iter().map(|runner_ix| {
            let runner = &self.runners[cell.runners[&runner_ix.0]];
            let id = cell.engine.runner(*runner_ix).id.clone();
            (id, runner.ticket(self.now))
        });
        let tickets = tickets.collect();
        let call = self.approvals.len();
        self.approvals.push(Response { req, tickets });
        let after = self.hazard_rng.random_range(1..MAX_RESPONSE_MS);
        self.push(after, Event::ApprovalsAnswered { owner, call });
    }

    pub(super) fn approvals_answered(&mut self, owner: usize, call: usize) {
        let cell = &mut self.owners[owner];
        if !cell.alive || cell.paused {
            return;
        }
        let Response { req, tickets } = &self.approvals[call];
        let response = Some((&tickets[..], Millis(VALIDITY_MS)));
        let now = Millis(self.now);
        cell.engine.record_approvals(now, req, response);
    }

    /// Calls the runner of a start if it has to show that it lives. Returns whether the start may be sent.
    pub(super) fn is_life_proved(&mut self, owner: usize, order: &StartOrder) -> bool {
        let Some(sequence) = self.owners[owner].engine.next_proof_call(order) else {
            return true;
        };
        let number = self.owners[owner].runners[&order.runner_ix.0];
        let is_reached = self.runners[number].is_up && !self.runners[number].is_partitioned;
        let is_lost = self.now < self.faults_until && self.hazard_rng.random_range(0..10) == 0;
        if !is_reached || is_lost {
            return false;
        }
        let call = InventoryCall {
            sequence,
            deadline: None,
            ack: 0,
            wait: Millis::ZERO,
            expects_loss: false,
        };
        let fence = self.sent(owner, order.runner_ix.0, ()).fence;
        let runner = &mut self.runners[number];
        let outcome = runner.handle_inventory_call(&call, fence, self.now, &mut self.checks);
        let InventoryOutcome::Inventory(inventory) = outcome else {
            return false;
        };
        let (now, engine) = (Millis(self.now), &mut self.owners[owner].engine);
        engine.record_proof_of_life(now, order.runner_ix, sequence, &inventory);
        engine.next_proof_call(order).is_none()
    }
}
