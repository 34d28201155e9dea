//! Failure detection by heartbeats, indirect probes and the platform's host list.
//!
//! At every heartbeat a process pings an eighth of the other members, but at least four, in
//! round-robin order. In a large view every member is therefore pinged once in eight heartbeats,
//! and the traffic of a process is an eighth of what pinging all of them every time would cost.
//!
//! A member that misses an acknowledgement is suspected, and other members are asked to probe it.
//! A suspected member that answers no probe, or whose host is no longer listed, becomes silent.
//! This state is local, and any message from the member resets it to alive.
//!
//! Members are removed from the view by [`crate::proposer`].

use std::collections::BTreeMap;

use kspan_model::{Member, Millis, NodeId, View};

use crate::Liveness;

/// Interval between two heartbeats.
pub const HEARTBEAT_INTERVAL: Millis = Millis(250);

/// Minimum number of members pinged per heartbeat.
const MIN_FANOUT: usize = 4;

/// Number of heartbeats in which every other member is pinged once, if the view is so large that
/// this takes more than [`MIN_FANOUT`] pings per heartbeat.
const HEARTBEATS_PER_ROUND: usize = 8;

/// Time without an acknowledgement after which a member is suspected and probed.
pub const ACK_TIMEOUT: Millis = Millis(500);

/// Time after which a suspected member that answered no probe becomes silent.
pub const PROBE_TIMEOUT: Millis = Millis(1_000);

/// Maximum number of members asked to probe a suspected member.
const MAX_INDIRECT_PROBES: usize = 3;

/// An action that the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a ping to `target`.
    Ping {
        /// The member.
        target: NodeId,
        /// Sequence number of the ping.
        seq: u64,
    },
    /// Ask `via` to ping `target`.
    PingRequest {
        /// The member that probes.
        via: NodeId,
        /// The suspected member.
        target: NodeId,
        /// Sequence number of the request.
        seq: u64,
    },
    /// The liveness of a member changed.
    LivenessChanged {
        /// The member.
        node: NodeId,
        /// The new liveness.
        state: Liveness,
    },
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    last_heard: Millis,
    state: Liveness,
    /// When the oldest ping since `last_heard` was sent.
    pinged_at: Option<Millis>,
    suspected_at: Millis,
}

/// The liveness of all other members of the view.
#[derive(Clone, Debug)]
pub struct Detector {
    me: NodeId,
    peers: BTreeMap<NodeId, Peer>,
    /// Position of the member that was pinged last in the round-robin order.
    cursor: usize,
    seq: u64,
    /// Send times of recent pings by sequence number.
    ping_times: BTreeMap<u64, Millis>,
    last_tick: Millis,
}

impl Detector {
    /// Creates the detector of process `me`.
    pub fn new(me: NodeId) -> Self {
        Self {
            me,
            peers: BTreeMap::new(),
            cursor: 0,
            seq: 0,
            ping_times: BTreeMap::new(),
            last_tick: Millis::ZERO,
        }
    }

    /// Replaces the monitored members by those of `view`. New members start as alive.
    pub fn set_view(&mut self, now: Millis, view: &View) {
        self.peers.retain(|node, _| view.member(node).is_some());
        for member in &view.members {
            if member.node == self.me {
                continue;
            }
            let new_peer = Peer {
                member: member.clone(),
                last_heard: now,
                state: Liveness::Alive,
                pinged_at: None,
                suspected_at: Millis::ZERO,
            };
            self.peers.entry(member.node.clone()).or_insert(new_peer);
        }
    }

    /// Returns the liveness of a member; an unknown member counts as alive.
    pub fn liveness(&self, node: &NodeId) -> Liveness {
        self.peers
            .get(node)
            .map_or(Liveness::Alive, |peer| peer.state)
    }

    /// Returns the liveness of every other member.
    pub fn peer_states(&self) -> impl Iterator<Item = (&NodeId, Liveness)> {
        self.peers.iter().map(|(node, peer)| (node, peer.state))
    }

    /// Records that a member was heard, directly or through a relay, and returns the change of its
    /// liveness, if any.
    pub fn record_contact(&mut self, now: Millis, from: &NodeId) -> Option<Action> {
        let peer = self.peers.get_mut(from)?;
        peer.last_heard = now;
        peer.pinged_at = None;
        if peer.state == Liveness::Alive {
            return None;
        }
        peer.state = Liveness::Alive;
        Some(Action::LivenessChanged {
            node: from.clone(),
            state: peer.state,
        })
    }

    /// Allocates the sequence number of a ping sent at `now`.
    pub fn next_seq(&mut self, now: Millis) -> u64 {
        self.seq += 1;
        self.ping_times.insert(self.seq, now);
        self.seq
    }

    /// Returns when the ping with this sequence number was sent, if that was recent enough to be
    /// remembered.
    pub fn ping_sent_at(&self, seq: u64) -> Option<Millis> {
        self.ping_times.get(&seq).copied()
    }

    /// Processes one heartbeat and returns what to send and which liveness changed.
    ///
    /// `random` varies which members probe a suspected one. `is_listed` returns whether the
    /// platform's list still contains the member's host.
    pub fn tick(
        &mut self,
        now: Millis,
        random: u64,
        is_listed: impl Fn(&Member) -> bool,
    ) -> Vec<Action> {
        let oldest = now.saturating_sub(Millis(4 * PROBE_TIMEOUT.0));
        self.ping_times.retain(|_, sent| *sent >= oldest);
        self.reset_timeouts_after_pause(now);
        let mut actions = self.update_liveness(now, random, is_listed);
        actions.extend(self.ping_next_members(now));
        actions
    }

    /// Restarts all timeouts after a pause of this process, during which it received nothing.
    fn reset_timeouts_after_pause(&mut self, now: Millis) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap < ACK_TIMEOUT {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.pinged_at = None;
            peer.suspected_at = now;
        }
    }

    fn update_liveness(
        &mut self,
        now: Millis,
        random: u64,
        is_listed: impl Fn(&Member) -> bool,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut suspects = Vec::new();
        for (node, peer) in &mut self.peers {
            let next = next_liveness(now, peer, &is_listed);
            if next == peer.state {
                continue;
            }
            if next == Liveness::Suspect {
                peer.suspected_at = now;
                suspects.push(node.clone());
            }
            peer.state = next;
            actions.push(Action::LivenessChanged {
                node: node.clone(),
                state: next,
            });
        }
        for target in suspects {
            actions.extend(self.probe_suspect(now, random, &target));
        }
        actions
    }

    /// Pings a suspected member once more and asks some live members to probe it.
    fn probe_suspect(&mut self, now: Millis, random: u64, target: &NodeId) -> Vec<Action> {
        let alive = |(_, peer): &(&NodeId, &Peer)| peer.state == Liveness::Alive;
        let mut probers: Vec<_> = self
            .peers
            .iter()
            .filter(alive)
            .map(|(n, _)| n.clone())
            .collect();
        if !probers.is_empty() {
            let shift = usize::try_from(random % probers.len() as u64).unwrap_or_default();
            probers.rotate_left(shift);
        }
        probers.truncate(MAX_INDIRECT_PROBES);
        let mut actions = vec![self.ping(now, target)];
        for via in probers {
            actions.push(Action::PingRequest {
                via,
                target: target.clone(),
                seq: self.next_seq(now),
            });
        }
        actions
    }

    fn ping_next_members(&mut self, now: Millis) -> Vec<Action> {
        let nodes: Vec<_> = self.peers.keys().cloned().collect();
        let fanout = nodes.len().div_ceil(HEARTBEATS_PER_ROUND).max(MIN_FANOUT);
        let mut actions = Vec::new();
        for _ in 0..fanout.min(nodes.len()) {
            self.cursor = (self.cursor + 1) % nodes.len();
            actions.push(self.ping(now, &nodes[self.cursor]));
        }
        actions
    }

    /// Creates a ping to `target` and starts its acknowledgement timeout, unless one is running.
    pub fn ping(&mut self, now: Millis, target: &NodeId) -> Action {
        if let Some(peer) = self.peers.get_mut(target) {
            peer.pinged_at.get_or_insert(now);
        }
        Action::Ping {
            target: target.clone(),
            seq: self.next_seq(now),
        }
    }
}

fn next_liveness(now: Millis, peer: &Peer, is_listed: impl Fn(&Member) -> bool) -> Liveness {
    let silent = Liveness::Silent {
        since: peer.last_heard,
    };
    match peer.state {
        Liveness::Alive => {
            let unanswered_for = peer
                .pinged_at
                .map_or(Millis::ZERO, |at| now.saturating_sub(at));
            if unanswered_for >= ACK_TIMEOUT {
                Liveness::Suspect
            } else {
                Liveness::Alive
            }
        }
        // No probe is awaited for a host that the platform no longer lists.
        Liveness::Suspect if !is_listed(&peer.member) => silent,
        Liveness::Suspect if now.saturating_sub(peer.suspected_at) >= PROBE_TIMEOUT => silent,
        state => state,
    }
}
