//! Sends events to the program through a bounded ring.
//!
//! While the ring is full, changes of state stay pending and are sent once there is room; only
//! the current version matters. Messages are dropped and counted, as a network would drop them.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
};

use kspan_contract::protocol::hosts::HostList;
use kspan_fold::State;
use kspan_membership::Liveness;
use kspan_model::NodeId;
use kspan_wire::message::Message;

use crate::{event::Event, ring::Sender, sync::lock};

/// State changes whose events are still to be sent.
#[derive(Default)]
struct Pending {
    view: bool,
    state: bool,
    hosts: bool,
    liveness: BTreeSet<NodeId>,
    stop: bool,
}

/// State that pending events report.
pub(crate) struct CurrentState {
    pub(crate) state: Arc<State>,
    pub(crate) hosts: Arc<HostList>,
}

/// Sender of events to the program.
pub(crate) struct EventSender {
    tx: Sender<Event>,
    pending: Mutex<Pending>,
}

impl EventSender {
    pub(crate) fn new(tx: Sender<Event>) -> Self {
        Self {
            tx,
            pending: Mutex::default(),
        }
    }

    pub(crate) fn mark_state_changed(&self, view_changed: bool) {
        let mut pending = lock(&self.pending);
        pending.state = true;
        pending.view |= view_changed;
    }

    pub(crate) fn mark_hosts_changed(&self) {
        lock(&self.pending).hosts = true;
    }

    pub(crate) fn mark_liveness_changed(&self, node: NodeId) {
        lock(&self.pending).liveness.insert(node);
    }

    pub(crate) fn request_stop(&self) {
        lock(&self.pending).stop = true;
    }

    /// Sends a message to the program, or drops it while the ring is full.
    pub(crate) fn send_message(&self, from: NodeId, message: Message) {
        if self.tx.try_send(Event::Message { from, message }).is_err() {
            metrics::counter!("kspan_events_dropped_total").increment(1);
        }
    }

    /// Sends the pending events for which the ring has room.
    pub(crate) fn flush(&self, current: &CurrentState, liveness: impl Fn(&NodeId) -> Liveness) {
        let mut pending = lock(&self.pending);
        let try_send = |event: Event| self.tx.try_send(event).is_ok();
        if pending.stop {
            pending.stop = !try_send(Event::StopRequested);
        }
        if pending.view {
            pending.view = !try_send(Event::ViewChanged(Arc::clone(&current.state.view)));
        }
        if pending.state {
            pending.state = !try_send(Event::StateChanged(Arc::clone(&current.state)));
        }
        if pending.hosts {
            pending.hosts = !try_send(Event::HostsChanged(Arc::clone(&current.hosts)));
        }
        pending.liveness.retain(|node| {
            let state = liveness(node);
            let node = node.clone();
            !try_send(Event::LivenessChanged { node, state })
        });
    }
}
