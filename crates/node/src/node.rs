//! The handle through which a program uses its node.

use std::sync::Arc;

use kspan_contract::protocol::hosts::HostList;
use kspan_fold::{Body, State};
use kspan_membership::{GuardState, Liveness};
use kspan_model::{Millis, NodeId, Role, UnixMillis, View};
use kspan_wire::message::Message;

use crate::{
    event::{Append, Sent},
    inner::{Inner, Phase, unix_now},
    links::Links,
    settings::Settings,
    slot::lock,
};

/// A handle on the node; clones share it.
#[derive(Clone)]
pub struct Node {
    pub(crate) inner: Arc<Inner>,
    pub(crate) signals: signal_hook::iterator::Handle,
}

impl Node {
    /// Returns this process and its life.
    pub fn id(&self) -> &NodeId {
        &self.inner.me.node
    }

    /// Returns the program that this process runs.
    pub fn role(&self) -> Role {
        self.inner.role()
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.inner.cfg
    }

    /// Returns the time since the start, on the runtime's clock.
    pub fn now(&self) -> Millis {
        self.inner.now()
    }

    /// Returns the wall clock.
    pub fn unix_now(&self) -> UnixMillis {
        unix_now()
    }

    /// Returns the newest view that this process knows.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.inner.fold.borrow().view)
    }

    /// Returns everything in force, as far as this process has read the log.
    pub fn fold(&self) -> Arc<State> {
        self.inner.state()
    }

    /// Returns the platform's host list, which lags by seconds.
    pub fn hosts(&self) -> Arc<HostList> {
        self.inner.hosts.get()
    }

    /// Returns what this process believes of another.
    pub fn liveness(&self, node: &NodeId) -> Liveness {
        self.inner.liveness_of(node)
    }

    /// Returns what this process may do at this instant.
    pub fn guard(&self) -> GuardState {
        self.inner.guard_state()
    }

    /// Sends a message to a member without waiting.
    pub fn send(&self, to: &NodeId, message: Message) -> Sent {
        self.inner.send(to, message)
    }

    /// Appends a record and waits until it is known what became of it, for some seconds at most.
    pub async fn append(&self, body: Body) -> Append {
        let by = &self.inner.me.node.name;
        self.inner.appender.append(by, unix_now(), body).await
    }

    /// Returns the artificial link faults in force.
    pub fn links(&self) -> &Links {
        &self.inner.links
    }

    /// Sets what the program adds to `/dump`.
    pub fn set_dump(&self, f: impl Fn() -> serde_json::Value + Send + Sync + 'static) {
        *lock(&self.inner.dump) = Some(Box::new(f));
    }

    /// Sets the program's part of `/readyz`.
    pub fn set_ready(&self, ready: bool) {
        self.inner.set_ready(ready);
    }

    /// Ends a planned stop: leaves the view and ends the threads. Waits for both, for some
    /// seconds at most.
    pub fn finish(&self) {
        self.inner.phase.send_if_modified(|phase| {
            let running = *phase == Phase::Running;
            if running {
                *phase = Phase::Leaving;
            }
            running
        });
        self.signals.close();
        let threads = std::mem::take(&mut *lock(&self.inner.threads));
        for thread in threads {
            // A thread that panicked has said so on standard error.
            let _ = thread.join();
        }
    }
}
