//! Inventory calls to runners: one at a time for each, waiting there for the next end.

use std::{rc::Rc, time::Duration};

use kspan_adapter::runner::{self, Hold};
use kspan_jobs::{engine::RunnerIx, runner::InventoryOutcome};

use super::{Contact, Owner};
use crate::measure;

/// Time for an answer beyond the wait.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Time between calls to a runner that doesn't answer.
const UNREACHED_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait for ends to become durable, so that they are acknowledged with the next call.
const DURABLE_WAIT: Duration = Duration::from_millis(200);

impl Owner {
    /// Holds a runner until its life or the role ends.
    pub(super) async fn hold(self: Rc<Self>, on: RunnerIx, contact: Rc<Contact>) {
        while self.alive.get() && !self.engine.borrow().is_dead(on) {
            if !self.may_order() {
                tokio::time::sleep(UNREACHED_PAUSE).await;
                continue;
            }
            self.hold_once(on, &contact).await;
        }
        self.contacts.borrow_mut().remove(&on);
    }

    async fn hold_once(self: &Rc<Self>, on: RunnerIx, contact: &Contact) {
        let order = self.engine.borrow_mut().next_inventory_call(on, self.now());
        let wait = Duration::from_millis(order.wait.0);
        let call = Hold {
            deadline: order.deadline,
            ack: order.ack,
            wait,
        };
        let answer = runner::hold(&contact.peer, call, TIMEOUT + wait).await;
        if !self.alive.get() {
            return;
        }
        let outcome = answer.unwrap_or_else(|err| {
            if self.node.budget.allows("hold", self.now()) {
                tracing::warn!(runner = %contact.peer.id, %err, "runner not reached");
            }
            InventoryOutcome::NoAnswer
        });
        let (now, unix_ms) = (self.now(), self.node.clock.unix_ms());
        self.engine
            .borrow_mut()
            .record_inventory(now, unix_ms, on, order.sequence, &outcome);
        self.changed.notify_one();
        measure::inventory(name(&outcome));
        match outcome {
            InventoryOutcome::NoAnswer => {
                tokio::time::sleep(UNREACHED_PAUSE).await;
            }
            InventoryOutcome::Inventory(inventory) if !inventory.ended.is_empty() => {
                self.wait_for_acks().await;
            }
            _ => {}
        }
    }

    /// Waits until the ends that were just taken in are durable, or for a while.
    async fn wait_for_acks(self: &Rc<Self>) {
        // Lets the ends reach the open batch's writer first.
        self.pass_on();
        let mut durable = self.durable.subscribe();
        durable.borrow_and_update();
        let changed = durable.changed();
        // Without it the next call is made at once and answered at once, again and again.
        let _ = tokio::time::timeout(DURABLE_WAIT, changed).await;
    }
}

fn name(outcome: &InventoryOutcome) -> &'static str {
    match outcome {
        InventoryOutcome::Inventory(_) => "answered",
        InventoryOutcome::Fenced => "fenced",
        InventoryOutcome::OtherIncarnation => "other life",
        InventoryOutcome::NoAnswer => "unreached",
    }
}
