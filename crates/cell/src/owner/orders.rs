//! Executes the engine's orders: starts, stops, throttling and requests for approvals.

#[cfg(test)]
mod tests;

use std::{rc::Rc, time::Duration};

use kspan_adapter::{
    approvals::Approved,
    http::CallError,
    runner::{self, InventoryCall, RunnerClient, TimedOutcome},
};
use kspan_jobs::{
    Engine,
    engine::{ApprovalRequest, Order, RunnerIx, StartOrder, StopOrder, ThrottleOrder},
    runner::{InventoryOutcome, OrderOutcome, Refusal, StartOutcome},
};
use kspan_model::{Millis, Name};

use super::{Owner, RunnerConnection};
use crate::{
    clock::ClockReading,
    message::{PeerReply, PeerRequest},
    telemetry,
};

/// Timeout of one attempt to send an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);

/// Timeout of the first attempt to send a start order. An order is idempotent, and a second attempt is
/// answered sooner than a lost answer is given up.
const FIRST_START_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of attempts to send a start order that is not persistent.
const MAX_START_ATTEMPTS: u32 = 3;

/// Delay before the second attempt to send a start order. It doubles with each attempt.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Maximum number of times that it doubles.
const MAX_DELAY_DOUBLINGS: u32 = 3;

/// Timeout of a relayed request for approvals, in addition to its expected duration.
const APPROVAL_MARGIN: Duration = Duration::from_millis(500);

impl Owner {
    /// Spawns a task that executes an order and reports the outcome to the engine.
    pub(super) fn spawn_order(self: &Rc<Self>, order: Order) {
        let owner = Rc::clone(self);
        match order {
            Order::Start(order) => drop(ntex::rt::spawn(owner.start_task(order))),
            Order::Stop(order) => drop(ntex::rt::spawn(owner.stop_task(order))),
            Order::Throttle(order) => drop(ntex::rt::spawn(owner.throttle_task(order))),
            Order::RequestApprovals(order) => drop(ntex::rt::spawn(owner.request_approvals(order))),
        }
    }

    async fn start_task(self: Rc<Self>, order: StartOrder) {
        let decided = self.node.clock.reading();
        let connection = self
            .runner_connections
            .borrow()
            .get(&order.runner_ix)
            .cloned();
        let outcome = match connection {
            Some(connection) => self.send_start(&connection, &order, &decided).await,
            None => StartOutcome::Refused(Refusal::DeadlinePassed),
        };
        let StartOrder {
            runner_ix,
            task,
            run,
            ..
        } = order;
        self.engine
            .borrow_mut()
            .record_start_outcome(self.now(), runner_ix, task, run, outcome);
        self.state_changed.notify_one();
    }

    /// Sends a start order until it is answered, up to a number of attempts, or for as long as it is valid if
    /// it is persistent. If an earlier attempt is in doubt, a refusal does not prove that the task will not run,
    /// except for [`Refusal::StaleRun`]. Whether the order may be sent is checked after each wait, since the
    /// ownership, the lease, the ticket or the runner's incarnation may have ended during it, or the run may
    /// have been stopped.
    async fn send_start(
        &self,
        connection: &RunnerConnection,
        order: &StartOrder,
        decided: &ClockReading,
    ) -> StartOutcome {
        let mut in_doubt = false;
        for attempt in 0.. {
            if attempt >= MAX_START_ATTEMPTS && !order.is_persistent {
                break;
            }
            let slot = connection.order_slots.acquire().await;
            let timeout = if attempt == 0 {
                FIRST_START_TIMEOUT
            } else {
                ORDER_TIMEOUT
            };
            let is_life_proved = self.is_life_proved(connection, order, timeout).await;
            if !self.may_send_orders() {
                break;
            }
            if self.node.clock.reading().since(decided) >= order.valid_for {
                if attempt > 0 {
                    break;
                }
                return StartOutcome::Refused(Refusal::DeadlinePassed);
            }
            if !is_life_proved {
                drop(slot);
                tokio::time::sleep(retry_delay(attempt)).await;
                continue;
            }
            if !self.engine.borrow_mut().begin_start(order) {
                return if in_doubt {
                    StartOutcome::InDoubt
                } else {
                    StartOutcome::Withdrawn
                };
            }
            let fence = connection.next_fence(self.newest_fence());
            let sent_at = self.now();
            let answer = runner::start(&connection.client, order, timeout).await;
            // Other orders to the runner may be sent during the delay.
            drop(slot);
            if let Err(err) = &answer {
                self.log_failed_attempt(order, attempt, err, sent_at);
            }
            if let Ok((StartOutcome::Refused(_), Some(clock))) = answer {
                let mut engine = self.engine.borrow_mut();
                engine.record_order_clock(order.runner_ix, clock, self.now());
            }
            match answer.map(|(outcome, _)| outcome) {
                Ok(StartOutcome::Refused(Refusal::Fenced)) if connection.is_overtaken(fence) => {}
                Ok(StartOutcome::Refused(why)) if in_doubt && why != Refusal::StaleRun => {
                    return StartOutcome::InDoubt;
                }
                Ok(outcome) => return outcome,
                Err(CallError::NotSent(_)) => {}
                Err(CallError::InDoubt(_) | CallError::Malformed(_)) => {
                    connection.record_doubt(fence);
                    in_doubt = true;
                }
            }
            tokio::time::sleep(retry_delay(attempt)).await;
        }
        if in_doubt {
            StartOutcome::InDoubt
        } else {
            StartOutcome::Refused(Refusal::Unhealthy)
        }
    }

    /// Calls the runner if it has to show that it lives before the order is sent. Returns whether the order may be
    /// sent.
    async fn is_life_proved(
        &self,
        connection: &RunnerConnection,
        order: &StartOrder,
        timeout: Duration,
    ) -> bool {
        let _turn = connection.proof.lock().await;
        if !self.may_send_orders() {
            return false;
        }
        let Some(sequence) = self.engine.borrow_mut().next_proof_call(order) else {
            return true;
        };
        let call = InventoryCall {
            deadline: None,
            ack: 0,
            wait: Duration::ZERO,
        };
        let fence = connection.next_fence(self.newest_fence());
        let response = runner::request_inventory(&connection.client, call, timeout).await;
        telemetry::record_proof_of_life(matches!(&response, Ok(InventoryOutcome::Inventory(_))));
        match response {
            Ok(InventoryOutcome::Inventory(inventory)) => {
                let mut engine = self.engine.borrow_mut();
                engine.record_proof_of_life(self.now(), order.runner_ix, sequence, &inventory);
                engine.next_proof_call(order).is_none()
            }
            Ok(_) => false,
            Err(err) => {
                if !matches!(err, CallError::NotSent(_)) {
                    connection.record_doubt(fence);
                }
                self.log_missing_proof(order, &err);
                false
            }
        }
    }

    fn log_missing_proof(&self, order: &StartOrder, err: &CallError) {
        if !self.node.log_limit.allows("proof of life", self.now()) {
            return;
        }
        let runner = self.engine.borrow().runner(order.runner_ix).id.clone();
        tracing::warn!(
            task = %order.task,
            run = order.run,
            %runner,
            %err,
            "start order held back, its runner does not answer"
        );
    }

    fn log_failed_attempt(
        &self,
        order: &StartOrder,
        attempt: u32,
        err: &CallError,
        sent_at: Millis,
    ) {
        if !self.node.log_limit.allows("start attempt", self.now()) {
            return;
        }
        let runner = self.engine.borrow().runner(order.runner_ix).id.clone();
        let took = self.now().saturating_sub(sent_at);
        tracing::warn!(
            task = %order.task,
            run = order.run,
            %runner,
            attempt,
            %err,
            took_ms = took.0,
            "start order not answered"
        );
    }

    async fn stop_task(self: Rc<Self>, order: StopOrder) {
        let is_needed = |engine: &Engine| engine.is_stop_needed(&order);
        let send = async |client: &RunnerClient| runner::stop(client, &order, ORDER_TIMEOUT).await;
        let outcome = self.send_order(order.runner_ix, is_needed, send).await;
        let StopOrder {
            runner_ix,
            task,
            run,
        } = order;
        self.engine
            .borrow_mut()
            .record_stop_outcome(runner_ix, task, run, outcome, self.now());
        self.state_changed.notify_one();
    }

    async fn throttle_task(self: Rc<Self>, order: ThrottleOrder) {
        let is_needed = |engine: &Engine| engine.is_throttle_needed(&order);
        let send =
            async |client: &RunnerClient| runner::throttle(client, &order, ORDER_TIMEOUT).await;
        let outcome = self.send_order(order.runner_ix, is_needed, send).await;
        self.engine
            .borrow_mut()
            .record_throttle_outcome(&order, outcome, self.now());
        self.state_changed.notify_one();
    }

    /// Sends an order to a runner once, if it is still needed when its turn has come. The ownership may have
    /// ended during the wait, and so may the run.
    async fn send_order(
        &self,
        runner_ix: RunnerIx,
        is_needed: impl Fn(&Engine) -> bool,
        send: impl AsyncFn(&RunnerClient) -> TimedOutcome,
    ) -> OrderOutcome {
        let connection = self.runner_connections.borrow().get(&runner_ix).cloned();
        let Some(connection) = connection else {
            return OrderOutcome::InDoubt;
        };
        let _slot = connection.order_slots.acquire().await;
        if !self.may_send_orders() || !is_needed(&self.engine.borrow()) {
            return OrderOutcome::InDoubt;
        }
        let fence = connection.next_fence(self.newest_fence());
        let (outcome, clock) = send(&connection.client).await;
        if let Some(clock) = clock {
            let mut engine = self.engine.borrow_mut();
            engine.record_order_clock(runner_ix, clock, self.now());
        }
        match outcome {
            OrderOutcome::Fenced if connection.is_overtaken(fence) => OrderOutcome::InDoubt,
            OrderOutcome::InDoubt => {
                connection.record_doubt(fence);
                outcome
            }
            _ => outcome,
        }
    }

    async fn request_approvals(self: Rc<Self>, order: ApprovalRequest) {
        let names: Vec<Name> = {
            let engine = self.engine.borrow();
            order
                .runners
                .iter()
                .map(|runner_ix| engine.runner(*runner_ix).id.clone())
                .collect()
        };
        let sent_at = self.now();
        let approved = self.request_approvals_via(&order, names).await;
        self.log_approvals(&order, approved.as_ref(), sent_at);
        let response = approved
            .as_ref()
            .map(|approved| (approved.runners.as_slice(), approved.validity));
        self.engine
            .borrow_mut()
            .record_approvals(self.now(), &order, response);
        self.state_changed.notify_one();
    }

    fn log_approvals(&self, order: &ApprovalRequest, approved: Option<&Approved>, sent_at: Millis) {
        let took = self.now().saturating_sub(sent_at);
        telemetry::record_approval_call(approved.is_some(), took);
        telemetry::record_approvals(approved.map_or(0, |approved| approved.runners.len() as u64));
        if self.node.log_limit.allows("approval", self.now()) {
            tracing::info!(
                step = %order.step,
                host = %order.host,
                named = order.runners.len(),
                approved = approved.map(|approved| approved.runners.len()),
                expected_ms = order.expected_wait.0,
                took_ms = took.0,
                "approval call ended"
            );
        }
    }

    /// Requests approvals through the host that the order names.
    async fn request_approvals_via(
        &self,
        order: &ApprovalRequest,
        names: Vec<Name>,
    ) -> Option<Approved> {
        if order.host == self.node.local.node {
            return self.node.request_approvals(order.step, &names).await;
        }
        let members = self.node.other_members();
        let member = members.iter().find(|member| member.node == order.host)?;
        let req = PeerRequest::RequestApprovals {
            step: order.step,
            runners: names,
        };
        let timeout = Duration::from_millis(order.expected_wait.0) + APPROVAL_MARGIN;
        match self.node.peers.request(member, req, timeout).await {
            Ok(PeerReply::Approvals(approved)) => approved,
            Ok(_) | Err(_) => None,
        }
    }
}

/// Returns the delay after an attempt. Attempts that fail at once would otherwise end within milliseconds, however
/// short the fault.
fn retry_delay(attempt: u32) -> Duration {
    FIRST_RETRY_DELAY * (1 << attempt.min(MAX_DELAY_DOUBLINGS))
}
