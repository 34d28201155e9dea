//! Inventory calls to runners. Each runner has one call in flight, which it answers when a run ends
//! or the wait time is over.

#[cfg(test)]
mod tests;

use std::{rc::Rc, time::Duration};

use kspan_adapter::runner::{self, InventoryCall, RunnerClient};
use kspan_jobs::{
    engine::RunnerIx,
    runner::{InventoryOutcome, MAX_CHECKPOINT_BYTES},
};
use kspan_model::Name;

use super::{Owner, RunnerConnection};
use crate::telemetry;

/// Timeout of an inventory call, in addition to its wait time.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// The same while responses are being lost, if the runner answered the call before. Ends of runs are not
/// seen until a lost call is given up.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// The same after [`MISSES_BEFORE_SLOW_TIMEOUT`] calls in a row without an answer. A runner that
/// answers slowly must be heard before its lease ends.
const SLOW_CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Number of calls in a row without an answer after which a runner is given more time.
const MISSES_BEFORE_SLOW_TIMEOUT: u32 = 2;

/// Delay before the next call to a runner that did not answer.
const NO_RESPONSE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval at which calls to a restarted runner wait for a higher fencing token.
const NEW_FENCE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time for which the next call waits until ends are durable, so that it acknowledges them.
const MAX_DURABLE_WAIT: Duration = Duration::from_millis(200);

impl Owner {
    /// Starts inventory calls to a runner that has become known.
    pub(super) async fn start_inventory_calls(self: &Rc<Self>, runner_ix: RunnerIx) {
        let entry = self.engine.borrow().runner(runner_ix).clone();
        let connection = self.connection(runner_ix, &entry).await;
        ntex::rt::spawn(Rc::clone(self).poll_inventory(runner_ix, connection));
    }

    /// Starts inventory calls to a runner that has restarted under its id. They wait for a fencing token
    /// above `former_fence`, so that the runner refuses orders for its former incarnation.
    async fn start_successor_calls(self: Rc<Self>, runner_ix: RunnerIx, former_fence: u64) {
        while self.is_active.get() && self.newest_fence() <= former_fence {
            tokio::time::sleep(NEW_FENCE_POLL_INTERVAL).await;
        }
        self.start_inventory_calls(runner_ix).await;
    }

    /// Makes inventory calls to a runner until its incarnation or the role ends.
    pub(super) async fn poll_inventory(
        self: Rc<Self>,
        runner_ix: RunnerIx,
        connection: Rc<RunnerConnection>,
    ) {
        let mut missed = 0;
        while self.is_active.get() && self.engine.borrow().is_called(runner_ix, self.now()) {
            if !self.may_send_orders() {
                tokio::time::sleep(NO_RESPONSE_RETRY_DELAY).await;
                continue;
            }
            let is_answered = self
                .poll_inventory_once(runner_ix, &connection, missed)
                .await;
            if !is_answered {
                self.call_elsewhere(runner_ix, &connection, missed).await;
            }
            missed = if is_answered { 0 } else { missed + 1 };
        }
        self.runner_connections.borrow_mut().remove(&runner_ix);
    }

    /// Makes one call, after `missed` calls in a row without an answer. Returns whether it was
    /// answered.
    async fn poll_inventory_once(
        self: &Rc<Self>,
        runner_ix: RunnerIx,
        connection: &RunnerConnection,
        missed: u32,
    ) -> bool {
        let next_call = self
            .engine
            .borrow_mut()
            .next_inventory_call(runner_ix, self.now());
        let wait = Duration::from_millis(next_call.wait.0);
        let call = InventoryCall {
            deadline: next_call.deadline,
            ack: next_call.ack,
            wait,
        };
        let timeout = match missed {
            0 if next_call.expects_loss => SHORT_CALL_TIMEOUT,
            _ => timeout_after(missed),
        };
        let fence = connection.next_fence(self.newest_fence());
        let call_log = self.log_inventory_call(runner_ix, &next_call, fence);
        let response = runner::request_inventory(&connection.client, call, timeout + wait).await;
        if !self.is_active.get() {
            if let Ok(InventoryOutcome::Inventory(inventory)) = &response {
                self.log_answer_after_ownership(&call_log, inventory);
            }
            return false;
        }
        let outcome = response.unwrap_or_else(|err| {
            self.log_failed_inventory(&call_log, &err);
            InventoryOutcome::NoResponse
        });
        match &outcome {
            InventoryOutcome::Inventory(inventory) => {
                self.log_other_incarnation(&call_log, inventory);
            }
            InventoryOutcome::Fenced => {
                self.log_failed_inventory(&call_log, &"refused for its fencing token");
            }
            InventoryOutcome::OtherIncarnation => {
                self.log_failed_inventory(&call_log, &"refused by another incarnation");
            }
            InventoryOutcome::NoResponse => {}
        }
        let is_overtaken = outcome == InventoryOutcome::Fenced && connection.is_overtaken(fence);
        let outcome = if is_overtaken {
            InventoryOutcome::NoResponse
        } else {
            outcome
        };
        if outcome == InventoryOutcome::NoResponse {
            connection.record_doubt(fence);
        }
        if let InventoryOutcome::Inventory(inventory) = &outcome
            && inventory.skipped_rows > 0
        {
            let (rows, runner) = (inventory.skipped_rows, &connection.client.id);
            telemetry::record_malformed("inventory row");
            if self.node.log_limit.allows("row", self.now()) {
                tracing::warn!(%runner, rows, "rows of an inventory that name no task skipped");
            }
        }
        self.log_unusable_checkpoints(&outcome, &connection.client.id);
        let (now, unix_ms) = (self.now(), self.node.clock.unix_ms());
        let successor = self.engine.borrow_mut().record_inventory(
            now,
            unix_ms,
            runner_ix,
            next_call.sequence,
            &outcome,
        );
        if let Some(successor_ix) = successor {
            let former_fence = connection.client.fence.get();
            let owner = Rc::clone(self);
            ntex::rt::spawn(owner.start_successor_calls(successor_ix, former_fence));
        }
        self.state_changed.notify_one();
        telemetry::record_inventory(outcome_name(&outcome));
        let is_answered = outcome != InventoryOutcome::NoResponse;
        match outcome {
            InventoryOutcome::NoResponse => {
                tokio::time::sleep(NO_RESPONSE_RETRY_DELAY).await;
            }
            InventoryOutcome::Inventory(inventory) if !inventory.ended.is_empty() => {
                self.wait_until_acknowledgeable().await;
            }
            _ => {}
        }
        is_answered
    }

    /// Calls the address that the host list names for another incarnation of a runner that did not answer, if
    /// there is one.
    async fn call_elsewhere(
        self: &Rc<Self>,
        runner_ix: RunnerIx,
        connection: &RunnerConnection,
        missed: u32,
    ) {
        let next_call = self.engine.borrow_mut().next_call_elsewhere(runner_ix);
        let Some(next_call) = next_call.filter(|_| self.may_send_orders()) else {
            return;
        };
        let fence = connection.next_fence(self.newest_fence());
        let client = RunnerClient {
            addr: next_call.addr.clone(),
            ..connection.client.clone()
        };
        let call = InventoryCall {
            deadline: None,
            ack: 0,
            wait: Duration::ZERO,
        };
        let response = runner::request_inventory(&client, call, timeout_after(missed)).await;
        if !self.is_active.get() {
            return;
        }
        let outcome = response.unwrap_or(InventoryOutcome::NoResponse);
        if outcome == InventoryOutcome::NoResponse {
            connection.record_doubt(fence);
        }
        let (now, unix_ms) = (self.now(), self.node.clock.unix_ms());
        let successor = self
            .engine
            .borrow_mut()
            .record_call_elsewhere(now, unix_ms, runner_ix, &next_call, &outcome);
        let (id, addr) = (&client.id, &client.addr);
        if let Some(successor_ix) = successor {
            tracing::info!(%id, %addr, "runner has restarted at another address");
            let former_fence = connection.client.fence.get();
            let owner = Rc::clone(self);
            ntex::rt::spawn(owner.start_successor_calls(successor_ix, former_fence));
            self.state_changed.notify_one();
        } else if self.node.log_limit.allows("elsewhere", now) {
            let outcome = outcome_name(&outcome);
            tracing::warn!(%id, %addr, outcome, "restart at another address not confirmed");
        }
    }

    fn log_unusable_checkpoints(&self, outcome: &InventoryOutcome, runner: &Name) {
        let InventoryOutcome::Inventory(inventory) = outcome else {
            return;
        };
        let running = inventory.running.iter().map(|row| &row.checkpoint);
        let ended = inventory.ended.iter().map(|end| &end.checkpoint);
        let mut checkpoints = running.chain(ended);
        let is_too_long = checkpoints.any(|text| text.len() > MAX_CHECKPOINT_BYTES);
        if is_too_long && self.node.log_limit.allows("checkpoint", self.now()) {
            tracing::warn!(%runner, max_bytes = MAX_CHECKPOINT_BYTES, "checkpoints too long to be stored ignored");
        }
    }

    /// Waits until another batch is durable, up to a timeout, so that the next call can acknowledge
    /// the recorded ends.
    async fn wait_until_acknowledgeable(self: &Rc<Self>) {
        // Wakes the writer for the batch that holds the ends.
        self.dispatch_decisions();
        let mut durable_batch = self.durable_batch.subscribe();
        durable_batch.borrow_and_update();
        let changed = durable_batch.changed();
        // Without this wait the runner would answer the next call immediately with the same ends,
        // in a busy loop.
        let _ = tokio::time::timeout(MAX_DURABLE_WAIT, changed).await;
    }
}

/// Returns the timeout of a call after `missed` calls in a row without an answer.
fn timeout_after(missed: u32) -> Duration {
    if missed < MISSES_BEFORE_SLOW_TIMEOUT {
        CALL_TIMEOUT
    } else {
        SLOW_CALL_TIMEOUT
    }
}

fn outcome_name(outcome: &InventoryOutcome) -> &'static str {
    match outcome {
        InventoryOutcome::Inventory(_) => "answered",
        InventoryOutcome::Fenced => "fenced",
        InventoryOutcome::OtherIncarnation => "other life",
        InventoryOutcome::NoResponse => "unreached",
    }
}
