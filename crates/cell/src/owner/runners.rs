//! Inventory calls to runners. Each runner has one call in flight, which it answers when a run ends
//! or the wait time is over.

use std::{rc::Rc, time::Duration};

use kspan_adapter::runner::{self, InventoryCall};
use kspan_jobs::{engine::RunnerIx, runner::HoldOutcome};

use super::{Owner, RunnerConnection};
use crate::telemetry;

/// Timeout of an inventory call, in addition to its wait time.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay before the next call to a runner that did not answer.
const UNREACHED_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum time for which the next call waits until ends are durable, so that it acknowledges them.
const MAX_DURABLE_WAIT: Duration = Duration::from_millis(200);

impl Owner {
    /// Makes inventory calls to a runner until its incarnation or the role ends.
    pub(super) async fn poll_inventory(
        self: Rc<Self>,
        on: RunnerIx,
        connection: Rc<RunnerConnection>,
    ) {
        while self.is_active.get() && !self.engine.borrow().is_dead(on) {
            if !self.may_send_orders() {
                tokio::time::sleep(UNREACHED_BACKOFF).await;
                continue;
            }
            self.poll_inventory_once(on, &connection).await;
        }
        self.runner_connections.borrow_mut().remove(&on);
    }

    async fn poll_inventory_once(self: &Rc<Self>, on: RunnerIx, connection: &RunnerConnection) {
        let order = self.engine.borrow_mut().hold_order(on, self.now());
        let wait = Duration::from_millis(order.wait.0);
        let call = InventoryCall {
            deadline: order.deadline,
            ack: order.ack,
            wait,
        };
        let answer = runner::request_inventory(&connection.client, call, CALL_TIMEOUT + wait).await;
        if !self.is_active.get() {
            return;
        }
        let outcome = answer.unwrap_or_else(|err| {
            if self.node.log_limit.allows("hold", self.now()) {
                tracing::warn!(runner = %connection.client.id, %err, "inventory call failed");
            }
            HoldOutcome::Unreached
        });
        let (now, unix_ms) = (self.now(), self.node.clock.unix_ms());
        self.engine
            .borrow_mut()
            .held(now, unix_ms, on, order.event, &outcome);
        self.state_changed.notify_one();
        telemetry::record_inventory(outcome_name(&outcome));
        match outcome {
            HoldOutcome::Unreached => {
                tokio::time::sleep(UNREACHED_BACKOFF).await;
            }
            HoldOutcome::Inventory(inventory) if !inventory.ended.is_empty() => {
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

fn outcome_name(outcome: &HoldOutcome) -> &'static str {
    match outcome {
        HoldOutcome::Inventory(_) => "answered",
        HoldOutcome::Fenced => "fenced",
        HoldOutcome::OtherLife => "other life",
        HoldOutcome::Unreached => "unreached",
    }
}
