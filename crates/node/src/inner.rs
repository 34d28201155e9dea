//! State shared by the threads of a process.

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
    appender::Appender,
    event::SendOutcome,
    event_sender::{CurrentState, EventSender},
    link_faults::LinkFaults,
    recent_entries::RecentEntries,
    ring::Sender,
    settings::Settings,
    sync::{SharedValue, lock},
};

/// Produces the program's part of `/dump`.
pub(crate) type DumpFn = Box<dyn Fn() -> serde_json::Value + Send + Sync>;

/// Stage of a process between its start and the end of its threads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// In service.
    Running,
    /// Shutting down: leaving the view.
    Leaving,
    /// Shut down: the threads must end.
    Stopped,
}

/// Message queued for a member.
pub(crate) struct Outgoing {
    pub(crate) to: Member,
    pub(crate) message: Message,
}

/// State shared by the threads and the clones of [`crate::Node`].
pub(crate) struct Inner {
    pub(crate) me: Member,
    pub(crate) cfg: Settings,
    pub(crate) started: Instant,
    pub(crate) link_faults: LinkFaults,
    pub(crate) log_state: watch::Sender<Arc<State>>,
    pub(crate) hosts: SharedValue<HostList>,
    /// Addresses of all hosts that the platform's list has ever contained.
    pub(crate) ever_listed: Mutex<HashSet<IpAddr>>,
    pub(crate) liveness: SharedValue<HashMap<NodeId, Liveness>>,
    pub(crate) guard: Mutex<Guard>,
    pub(crate) events: EventSender,
    pub(crate) outgoing: Sender<Outgoing>,
    pub(crate) appender: Appender,
    pub(crate) recent_entries: RecentEntries,
    /// Entries received from other members, queued for the log thread.
    pub(crate) relayed_entries: Sender<Vec<relay::Entry>>,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) program_dump: Mutex<Option<DumpFn>>,
    pub(crate) program_ready: AtomicBool,
    /// Whether the log has been read to its tail, from its start or from a complete snapshot.
    pub(crate) caught_up: AtomicBool,
    pub(crate) threads: Mutex<Vec<JoinHandle<()>>>,
}

impl Inner {
    /// Returns the time since the process started.
    pub(crate) fn now(&self) -> Millis {
        let elapsed = self.started.elapsed().as_millis();
        Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    pub(crate) fn state(&self) -> Arc<State> {
        Arc::clone(&self.log_state.borrow())
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

    /// Sends the pending events to the program.
    pub(crate) fn flush_events(&self) {
        let current = CurrentState {
            state: self.state(),
            hosts: self.hosts.get(),
        };
        self.events.flush(&current, |node| self.liveness_of(node));
    }

    /// Returns whether the platform's list contains the member's host or never did. A host that
    /// was never listed counts as listed because new hosts appear in the list with a delay.
    pub(crate) fn is_listed(&self, member: &Member) -> bool {
        let addr = member.wire.ip();
        let hosts = self.hosts.get();
        let listed = hosts.hosts.iter().any(|host| host.address.ip() == addr);
        listed || !lock(&self.ever_listed).contains(&addr)
    }

    /// Returns whether an injected fault cuts the link to a member.
    pub(crate) fn is_cut(&self, member: &Member) -> bool {
        if self.link_faults.is_cut(&member.node.name, &member.site) {
            return true;
        }
        let hosts = self.hosts.get();
        let mut hosts = hosts.hosts.iter();
        let host = hosts.find(|host| host.address.ip() == member.wire.ip());
        host.is_some_and(|host| self.link_faults.is_cut(&host.name, &member.site))
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
        self.program_ready.store(ready, Ordering::Release);
    }

    /// Sends a message to a member without waiting.
    pub(crate) fn send(&self, to: &NodeId, message: Message) -> SendOutcome {
        let state = self.state();
        let Some(to) = state.view.member(to).cloned() else {
            return SendOutcome::NotMember;
        };
        match self.outgoing.try_send(Outgoing { to, message }) {
            Ok(()) => SendOutcome::Queued,
            Err(_) => SendOutcome::QueueFull,
        }
    }

    /// Requests log entries from a member that has applied more of the log than this process, once
    /// this process has lagged for some time.
    pub(crate) fn fetch_if_lagging(&self, node: &NodeId, peer_offset: u64) {
        let from = self.state().next_offset;
        let caught_up = self.caught_up.load(Ordering::Acquire);
        if caught_up && peer_offset > from && self.recent_entries.check_fetch_due(self.now(), from)
        {
            self.send_relay(node, relay::Message::Fetch { from });
        }
    }

    /// Sends a relay message. If it is dropped, a later fetch replaces it.
    fn send_relay(&self, to: &NodeId, message: relay::Message) {
        let message = membership::Message::Relay(message);
        self.send(to, Message::Membership(message));
    }

    /// Handles a relay message from a member.
    pub(crate) fn receive_relay(&self, from: &NodeId, message: relay::Message) {
        match message {
            relay::Message::Fetch { from: offset } => {
                let entries = self.recent_entries.entries_from(offset);
                if !entries.is_empty() {
                    self.send_relay(from, relay::Message::Entries(entries));
                }
            }
            relay::Message::Entries(entries) => {
                if self.relayed_entries.try_send(entries).is_err() {
                    count_dropped("relay-full");
                }
            }
        }
    }

    /// Returns why the process is not ready, or `None` when it is ready.
    pub(crate) fn unready_reason(&self) -> Option<&'static str> {
        if !self.caught_up.load(Ordering::Acquire) {
            return Some("the log has not been read to its tail yet");
        }
        if self.state().view.member(&self.me.node).is_none() {
            return Some("not a member of the view");
        }
        if self.phase() != Phase::Running {
            return Some("leaving");
        }
        if !self.program_ready.load(Ordering::Acquire) {
            return Some("the program is not ready");
        }
        None
    }
}

/// Returns the wall-clock time.
pub(crate) fn unix_now() -> UnixMillis {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    UnixMillis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

/// Estimated size of the IP and UDP or TCP headers of one message.
const HEADER_BYTES: usize = 44;

/// Counts a dropped message by reason.
pub(crate) fn count_dropped(reason: &'static str) {
    metrics::counter!("kspan_messages_dropped_total", "reason" => reason).increment(1);
}

/// Counts bytes sent to a process at `site`, including the headers of IP and UDP or TCP.
pub(crate) fn count_bytes(metric: &'static str, site: &Site, bytes: usize) {
    let region = site.region.to_string();
    metrics::counter!(metric, "region" => region).increment((bytes + HEADER_BYTES) as u64);
}
