//! Handle through which a router or scheduler uses its node.

use std::sync::Arc;

use kspan_contract::protocol::hosts::HostList;
use kspan_fold::{Body, State};
use kspan_membership::{GuardState, Liveness};
use kspan_model::{Millis, NodeId, Role, UnixMillis, View};
use kspan_wire::message::Message;

use crate::{
    event::{AppendOutcome, SendOutcome},
    inner::{Inner, Phase, unix_now},
    link_faults::LinkFaults,
    settings::Settings,
    sync::lock,
};

/// Handle on the node. Clones refer to the same node.
#[derive(Clone)]
pub struct Node {
    pub(crate) inner: Arc<Inner>,
    pub(crate) signals: signal_hook::iterator::Handle,
}

impl Node {
    /// Returns the id of this process, which includes its incarnation.
    pub fn id(&self) -> &NodeId {
        &self.inner.me.node
    }

    /// Returns the role of this process.
    pub fn role(&self) -> Role {
        self.inner.role()
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.inner.cfg
    }

    /// Returns the time since the process started, on the runtime's clock.
    pub fn now(&self) -> Millis {
        self.inner.now()
    }

    /// Returns the wall-clock time.
    pub fn unix_now(&self) -> UnixMillis {
        unix_now()
    }

    /// Returns the membership view in force, as far as this process has applied the log.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.inner.log_state.borrow().view)
    }

    /// Returns the state in force, as far as this process has applied the log.
    pub fn state(&self) -> Arc<State> {
        self.inner.state()
    }

    /// Returns the platform's host list, which may be out of date by seconds.
    pub fn hosts(&self) -> Arc<HostList> {
        self.inner.hosts.get()
    }

    /// Returns the liveness of another process as seen by this one.
    pub fn liveness(&self, node: &NodeId) -> Liveness {
        self.inner.liveness_of(node)
    }

    /// Returns whether this process may act at this instant, and the highest active view.
    pub fn guard(&self) -> GuardState {
        self.inner.guard_state()
    }

    /// Sends a message to a member without waiting.
    pub fn send(&self, to: &NodeId, message: Message) -> SendOutcome {
        self.inner.send(to, message)
    }

    /// Appends a record and waits for the outcome, for at most [`crate::APPEND_TIMEOUT`].
    pub async fn append(&self, body: Body) -> AppendOutcome {
        let by = &self.inner.me.node.name;
        self.inner.appender.append(by, unix_now(), body).await
    }

    /// Returns the injected link faults.
    pub fn link_faults(&self) -> &LinkFaults {
        &self.inner.link_faults
    }

    /// Sets the function that produces the program's part of `/dump`.
    pub fn set_dump(&self, f: impl Fn() -> serde_json::Value + Send + Sync + 'static) {
        *lock(&self.inner.program_dump) = Some(Box::new(f));
    }

    /// Sets whether the program is ready, which is one of the conditions of `/readyz`.
    pub fn set_ready(&self, ready: bool) {
        self.inner.set_ready(ready);
    }

    /// Completes a graceful shutdown: leaves the view, ends the threads and waits for both. A
    /// process that is still in the view after 2.5 s ends its threads nevertheless.
    pub fn shutdown(&self) {
        self.inner.phase.send_if_modified(|phase| {
            let is_running = *phase == Phase::Running;
            if is_running {
                *phase = Phase::Leaving;
            }
            is_running
        });
        self.signals.close();
        let threads = std::mem::take(&mut *lock(&self.inner.threads));
        for thread in threads {
            // A panic has already been reported on standard error.
            let _ = thread.join();
        }
    }
}
