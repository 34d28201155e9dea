//! The handle through which a program uses its node.

use std::{
    sync::{Arc, Mutex, atomic::AtomicBool},
    time::{SystemTime, UNIX_EPOCH},
};

use kspan_fold::{Body, State};
use kspan_membership::{GuardState, Liveness};
use kspan_model::{Millis, NodeId, Role, UnixMillis, View};
use kspan_platform::border::hosts::HostList;
use kspan_wire::message::Message;
use quick_error::quick_error;
use tokio::time::Instant;

use crate::{
    event::{Append, Event, Sent},
    inner::Inner,
    links::Links,
    ring,
    settings::Settings,
    slot::{Slot, lock},
};

/// Result of starting a node.
pub type Result<T> = std::result::Result<T, StartError>;

quick_error! {
    /// Why a node could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address could not be listened on, or a thread not started.
        Io(what: &'static str, err: std::io::Error) {
            display("{what}: {err}")
            source(err)
        }
    }
}

/// Events that may wait for the program.
const EVENTS: usize = 8_192;

/// A handle on the node; clones share it.
#[derive(Clone)]
pub struct Node {
    inner: Arc<Inner>,
}

/// Starts the threads of a node.
///
/// # Errors
///
/// Returns an error where an address can't be listened on.
pub fn start(cfg: Settings, role: Role) -> Result<(Node, ring::Receiver<Event>)> {
    let (_tx, rx) = ring::bounded(EVENTS);
    let id = NodeId::new(cfg.name.clone(), unix_now().0);
    let links = Links::new(cfg.site(), cfg.faults.clone().unwrap_or_default());
    let inner = Arc::new(Inner {
        id,
        role,
        started: Instant::now(),
        links,
        fold: Slot::default(),
        hosts: Slot::default(),
        liveness: Slot::default(),
        guard: Mutex::default(),
        dump: Mutex::default(),
        ready: AtomicBool::new(false),
        cfg,
    });
    Ok((Node { inner }, rx))
}

impl Node {
    /// Returns this process and its life.
    pub fn id(&self) -> &NodeId {
        &self.inner.id
    }

    /// Returns the program that this process runs.
    pub fn role(&self) -> Role {
        self.inner.role
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.inner.cfg
    }

    /// Returns the time since the start, on the runtime's clock.
    pub fn now(&self) -> Millis {
        let elapsed = self.inner.started.elapsed().as_millis();
        Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Returns the wall clock.
    pub fn unix_now(&self) -> UnixMillis {
        unix_now()
    }

    /// Returns the newest view that this process knows.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.inner.fold.get().view)
    }

    /// Returns everything in force, as far as this process has read the log.
    pub fn fold(&self) -> Arc<State> {
        self.inner.fold.get()
    }

    /// Returns the platform's host list, which lags by seconds.
    pub fn hosts(&self) -> Arc<HostList> {
        self.inner.hosts.get()
    }

    /// Returns what this process believes of another.
    pub fn liveness(&self, node: &NodeId) -> Liveness {
        let known = self.inner.liveness.get();
        known.get(node).copied().unwrap_or_default()
    }

    /// Returns what this process may do at this instant.
    pub fn guard(&self) -> GuardState {
        lock(&self.inner.guard).clone()
    }

    /// Sends a message to a member without waiting.
    pub fn send(&self, to: &NodeId, message: Message) -> Sent {
        let _ = (to, message);
        Sent::NotMember
    }

    /// Appends a record and waits until it is known what became of it.
    pub async fn append(&self, body: Body) -> Append {
        let _ = body;
        Append::Unavailable
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

    /// Ends a planned stop: leaves the view and ends the threads.
    pub fn finish(&self) {}
}

fn unix_now() -> UnixMillis {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    UnixMillis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
