//! State that the threads of a process share.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use kspan_fold::State;
use kspan_membership::{GuardState, Liveness};
use kspan_model::{NodeId, Role};
use kspan_platform::border::hosts::HostList;
use tokio::time::Instant;

use crate::{links::Links, settings::Settings, slot::Slot};

/// Makes `/dump`'s part of the program.
pub(crate) type Dump = Box<dyn Fn() -> serde_json::Value + Send + Sync>;

/// Everything behind a [`crate::Node`].
pub(crate) struct Inner {
    pub(crate) id: NodeId,
    pub(crate) role: Role,
    pub(crate) cfg: Settings,
    pub(crate) started: Instant,
    pub(crate) links: Links,
    pub(crate) fold: Slot<State>,
    pub(crate) hosts: Slot<HostList>,
    pub(crate) liveness: Slot<HashMap<NodeId, Liveness>>,
    pub(crate) guard: Mutex<GuardState>,
    pub(crate) dump: Mutex<Option<Dump>>,
    pub(crate) ready: AtomicBool,
}

impl Inner {
    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }
}
