//! Events to the program, through a ring that may be full.
//!
//! State is told again when the ring has room: only the newest version matters. Messages are
//! dropped and counted, as a network would drop them.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
};

use kspan_contract::protocol::hosts::HostList;
use kspan_fold::State;
use kspan_membership::Liveness;
use kspan_model::NodeId;
use kspan_wire::message::Message;

use crate::{event::Event, ring::Sender, slot::lock};

/// State changes that the program was not told yet.
#[derive(Default)]
struct Pending {
    view: bool,
    fold: bool,
    hosts: bool,
    liveness: BTreeSet<NodeId>,
    stop: bool,
}

/// What to tell when the time comes.
pub(crate) struct Newest {
    pub(crate) fold: Arc<State>,
    pub(crate) hosts: Arc<HostList>,
}

/// The way to the program.
pub(crate) struct Notices {
    tx: Sender<Event>,
    pending: Mutex<Pending>,
}

impl Notices {
    pub(crate) fn new(tx: Sender<Event>) -> Self {
        Self {
            tx,
            pending: Mutex::default(),
        }
    }

    pub(crate) fn fold_changed(&self, view_changed: bool) {
        let mut pending = lock(&self.pending);
        pending.fold = true;
        pending.view |= view_changed;
    }

    pub(crate) fn hosts_changed(&self) {
        lock(&self.pending).hosts = true;
    }

    pub(crate) fn liveness_changed(&self, node: NodeId) {
        lock(&self.pending).liveness.insert(node);
    }

    pub(crate) fn stop(&self) {
        lock(&self.pending).stop = true;
    }

    /// Tells of a message, or drops it.
    pub(crate) fn message(&self, from: NodeId, message: Message) {
        if self.tx.try_send(Event::Message { from, message }).is_err() {
            metrics::counter!("kspan_events_dropped_total").increment(1);
        }
    }

    /// Tells as much of what is pending as the ring takes.
    pub(crate) fn flush(&self, newest: &Newest, liveness: impl Fn(&NodeId) -> Liveness) {
        let mut pending = lock(&self.pending);
        let told = |event: Event| self.tx.try_send(event).is_ok();
        if pending.stop {
            pending.stop = !told(Event::Stop);
        }
        if pending.view {
            pending.view = !told(Event::View(Arc::clone(&newest.fold.view)));
        }
        if pending.fold {
            pending.fold = !told(Event::Fold(Arc::clone(&newest.fold)));
        }
        if pending.hosts {
            pending.hosts = !told(Event::Hosts(Arc::clone(&newest.hosts)));
        }
        pending.liveness.retain(|node| {
            let state = liveness(node);
            let node = node.clone();
            !told(Event::Liveness { node, state })
        });
    }
}
