//! Inventory calls to runners. Each runner has one call in flight, which it answers when a run ends
//! or the wait time is over.

use std::{rc::Rc, time::Duration};

use kspan_adapter::runner::{self, InventoryCall};
use kspan_jobs::{engine::RunnerIx, runner::InventoryOutcome};

use super::{Owner, RunnerConnection};
use crate::telemetry;

/// Timeout of an inventory call, in addition to its wait time.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay before the next call to a runner that did not answer.
const NO_RESPONSE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum time for which the next call waits until ends are durable, so that it acknowledges them.
const MAX_DURABLE_WAIT: Duration = Duration::from_millis(200);

impl Owner {
    /// Makes inventory calls to a runner until its incarnation or the role ends.
    pub(super) async fn poll_inventory(
        self: Rc<Self>,
        runner_ix: RunnerIx,
        connection: Rc<RunnerConnection>,
    ) {
        while self.is_active.get() && !self.engine.borrow().is_dead(runner_ix) {
            if !self.may_send_orders() {
                tokio::time::sleep(NO_RESPONSE_RETRY_DELAY).await;
                continue;
            }
            self.poll_inventory_once(runner_ix, &connection).await;
        }
        self.runner_connections.borrow_mut().remove(&runner_ix);
    }

    async fn poll_inventory_once(
        self: &Rc<Self>,
        runner_ix: RunnerIx,
        connection: &RunnerConnection,
    ) {
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
        let response =
            runner::request_inventory(&connection.client, call, CALL_TIMEOUT + wait).await;
        if !self.is_active.get() {
            return;
        }
        let outcome = response.unwrap_or_else(|err| {
            if self.node.log_limit.allows("hold", self.now()) {
                tracing::warn!(runner = %connection.client.id, %err, "inventory call failed");
            }
            InventoryOutcome::NoResponse
        });
        if let InventoryOutcome::Inventory(inventory) = &outcome
            && inventory.skipped_rows > 0
        {
            let (rows, runner) = (inventory.skipped_rows, &connection.client.id);
            telemetry::record_malformed("inventory row");
            if self.node.log_limit.allows("row", self.now()) {
                tracing::warn!(%runner, rows, "rows of an inventory that name no task skipped");
            }
        }
        let (now, unix_ms) = (self.now(), self.node.clock.unix_ms());
        self.engine.borrow_mut().record_inventory(
            now,
            unix_ms,
            runner_ix,
            next_call.sequence,
            &outcome,
        );
        self.state_changed.notify_one();
        telemetry::record_inventory(outcome_name(&outcome));
        match outcome {
            InventoryOutcome::NoResponse => {
                tokio::time::sleep(NO_RESPONSE_RETRY_DELAY).await;
            }
            InventoryOutcome::Inventory(inventory) if !inventory.ended.is_empty() => {
                self.wait_until_acknowledgeable().await;
            }
            _ => {}
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

fn outcome_name(outcome: &InventoryOutcome) -> &'static str {
    match outcome {
        InventoryOutcome::Inventory(_) => "answered",
        InventoryOutcome::Fenced => "fenced",
        InventoryOutcome::OtherIncarnation => "other life",
        InventoryOutcome::NoResponse => "unreached",
    }
}
