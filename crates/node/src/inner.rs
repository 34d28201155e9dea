//! State that the threads of a process share.

use std::{
    collections::{HashMap, HashSet},
    net::IpAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::{SystemTime, UNIX_EPOCH},
};

use kspan_contract::protocol::hosts::HostList;
use kspan_fold::State;
use kspan_membership::{GuardState, Liveness, guard::Guard};
use kspan_model::{Member, Millis, NodeId, Role, Site, UnixMillis};
use kspan_wire::message::{Envelope, Message, PROTOCOL_VERSION, membership, relay};
use tokio::{sync::watch, time::Instant};

use crate::{
    append::Appender,
    event::Sent,
    links::Links,
    notices::{Newest, Notices},
    recent::Recent,
    ring::Sender,
    settings::Settings,
    slot::{Slot, lock},
};

/// Makes `/dump`'s part of the program.
pub(crate) type Dump = Box<dyn Fn() -> serde_json::Value + Send + Sync>;

/// How far a process is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// In use.
    Running,
    /// Leaving the view.
    Leaving,
    /// Threads are to end.
    Ended,
}

/// A message on its way to a member.
pub(crate) struct Outgoing {
    pub(crate) to: Member,
    pub(crate) message: Message,
}

/// Everything behind a [`crate::Node`].
pub(crate) struct Inner {
    pub(crate) me: Member,
    pub(crate) cfg: Settings,
    pub(crate) started: Instant,
    pub(crate) links: Links,
    pub(crate) fold: watch::Sender<Arc<State>>,
    pub(crate) hosts: Slot<HostList>,
    /// Hosts that the platform's list has had at any time.
    pub(crate) listed: Mutex<HashSet<IpAddr>>,
    pub(crate) liveness: Slot<HashMap<NodeId, Liveness>>,
    pub(crate) guard: Mutex<Guard>,
    pub(crate) notices: Notices,
    pub(crate) outgoing: Sender<Outgoing>,
    pub(crate) appender: Appender,
    pub(crate) recent: Recent,
    /// Entries from other members, on their way to the log thread.
    pub(crate) relayed: Sender<Vec<relay::Entry>>,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) dump: Mutex<Option<Dump>>,
    pub(crate) ready: AtomicBool,
    /// Whether the fold rests on the whole log or a whole snapshot.
    pub(crate) founded: AtomicBool,
    pub(crate) threads: Mutex<Vec<JoinHandle<()>>>,
}

impl Inner {
    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Millis {
        let elapsed = self.started.elapsed().as_millis();
        Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    pub(crate) fn state(&self) -> Arc<State> {
        Arc::clone(&self.fold.borrow())
    }

    pub(crate) fn role(&self) -> Role {
        self.me.role
    }

    pub(crate) fn guard_state(&self) -> GuardState {
        lock(&self.guard).state(self.now())
    }

    pub(crate) fn liveness_of(&self, node: &NodeId) -> Liveness {
        self.liveness.get().get(node).copied().unwrap_or_default()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Tells the program what it was not told yet.
    pub(crate) fn flush_notices(&self) {
        let newest = Newest {
            fold: self.state(),
            hosts: self.hosts.get(),
        };
        self.notices.flush(&newest, |node| self.liveness_of(node));
    }

    /// Returns whether the platform's list has the member's host, or never had it: it lags
    /// behind hosts that are new.
    pub(crate) fn is_listed(&self, member: &Member) -> bool {
        let addr = member.wire.ip();
        let hosts = self.hosts.get();
        let listed = hosts.hosts.iter().any(|host| host.address.ip() == addr);
        listed || !lock(&self.listed).contains(&addr)
    }

    /// Returns whether the link to a member is cut by an artificial fault.
    pub(crate) fn is_cut(&self, member: &Member) -> bool {
        if self.links.is_cut(&member.node.name, &member.site) {
            return true;
        }
        let hosts = self.hosts.get();
        let mut hosts = hosts.hosts.iter();
        let host = hosts.find(|host| host.address.ip() == member.wire.ip());
        host.is_some_and(|host| self.links.is_cut(&host.name, &member.site))
    }

    pub(crate) fn envelope(&self, to: &NodeId, message: Message) -> Envelope {
        Envelope {
            version: PROTOCOL_VERSION,
            cell: self.cfg.cell.clone(),
            from: self.me.node.clone(),
            to: to.clone(),
            message,
        }
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Sends a message to a member without waiting.
    pub(crate) fn send(&self, to: &NodeId, message: Message) -> Sent {
        let state = self.state();
        let Some(to) = state.view.member(to).cloned() else {
            return Sent::NotMember;
        };
        match self.outgoing.try_send(Outgoing { to, message }) {
            Ok(()) => Sent::Queued,
            Err(_) => Sent::Full,
        }
    }

    /// Asks a member for the entries that it has applied and this process has not.
    pub(crate) fn fetch_from(&self, node: &NodeId, its_applied: u64) {
        let from = self.state().applied;
        let founded = self.founded.load(Ordering::Acquire);
        if founded && its_applied > from && self.recent.is_lagging(self.now(), from) {
            self.send_relay(node, relay::Message::Fetch { from });
        }
    }

    /// A relay message that is dropped is asked for again.
    fn send_relay(&self, to: &NodeId, message: relay::Message) {
        let message = membership::Message::Relay(message);
        self.send(to, Message::Membership(message));
    }

    /// Takes in a relay message of a member.
    pub(crate) fn receive_relay(&self, from: &NodeId, message: relay::Message) {
        match message {
            relay::Message::Fetch { from: offset } => {
                let entries = self.recent.from(offset);
                if !entries.is_empty() {
                    self.send_relay(from, relay::Message::Entries(entries));
                }
            }
            relay::Message::Entries(entries) => {
                if self.relayed.try_send(entries).is_err() {
                    count_dropped("relay-full");
                }
            }
        }
    }

    /// Returns why the process is not ready; nothing when it is.
    pub(crate) fn not_ready(&self) -> Option<&'static str> {
        if !self.founded.load(Ordering::Acquire) {
            return Some("the log was not read to its tail yet");
        }
        if self.state().view.member(&self.me.node).is_none() {
            return Some("not a member of the view");
        }
        if self.phase() != Phase::Running {
            return Some("leaving");
        }
        if !self.ready.load(Ordering::Acquire) {
            return Some("the program is not ready");
        }
        None
    }
}

/// Returns the wall clock.
pub(crate) fn unix_now() -> UnixMillis {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    UnixMillis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

/// Headers of IP and of UDP or TCP that one message costs on the network.
const HEADER_BYTES: usize = 44;

/// Counts something that was dropped, by reason.
pub(crate) fn count_dropped(reason: &'static str) {
    metrics::counter!("kspan_messages_dropped_total", "reason" => reason).increment(1);
}

/// Counts bytes sent to a process at `site`, with the headers below our own messages.
pub(crate) fn count_bytes(metric: &'static str, site: &Site, bytes: usize) {
    let region = site.region.to_string();
    metrics::counter!(metric, "region" => region).increment((bytes + HEADER_BYTES) as u64);
}
