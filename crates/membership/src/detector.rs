//! Failure detection by heartbeats, with indirect probes and the host list as second witness.
//!
//! Each process pings a few others at every heartbeat, in turn, so that the traffic of one
//! process stays bounded while the number of members grows. Whoever misses an acknowledgement is
//! suspected, and others are asked to probe it; who then still does not answer is silent. The
//! belief is local and cures itself: any message from the member makes it alive again.
//!
//! Nothing is removed from the view here; see [`crate::proposer`].

use std::collections::BTreeMap;

use kspan_model::{Member, Millis, NodeId, View};

use crate::Liveness;

/// Period of heartbeats.
pub const HEARTBEAT_INTERVAL: Millis = Millis(250);

/// Fewest members that are pinged at one heartbeat.
const MIN_FANOUT: usize = 4;

/// Heartbeats after which every member was pinged once, in a large view.
const ROUND_HEARTBEATS: usize = 8;

/// Wait for an acknowledgement before the member is suspected and others are asked.
pub const ACK_TIMEOUT: Millis = Millis(500);

/// Wait for the answers to indirect probes before a suspected member is silent.
pub const PROBE_TIMEOUT: Millis = Millis(1_000);

/// Members that are asked to probe a suspect.
const INDIRECT_PROBES: usize = 3;

/// What is to be sent or told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ping this member under this number.
    Ping {
        /// The member.
        target: NodeId,
        /// Number of the ping.
        seq: u64,
    },
    /// Ask `via` to ping `target`.
    PingRequest {
        /// The member to ask.
        via: NodeId,
        /// The suspect.
        target: NodeId,
        /// Number of the request.
        seq: u64,
    },
    /// The belief about a member changed.
    LivenessChanged {
        /// The member.
        node: NodeId,
        /// The new belief.
        state: Liveness,
    },
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    heard: Millis,
    state: Liveness,
    /// The oldest ping since the member was last heard.
    pinged: Option<Millis>,
    suspected: Millis,
}

/// Beliefs about all other members of the view.
#[derive(Clone, Debug)]
pub struct Detector {
    me: NodeId,
    peers: BTreeMap<NodeId, Peer>,
    /// Where the round of pings stands.
    next: usize,
    seq: u64,
    asked: BTreeMap<u64, Millis>,
    last_tick: Millis,
}

impl Detector {
    /// Creates the detector of process `me`.
    pub fn new(me: NodeId) -> Self {
        Self {
            me,
            peers: BTreeMap::new(),
            next: 0,
            seq: 0,
            asked: BTreeMap::new(),
            last_tick: Millis::ZERO,
        }
    }

    /// Takes in a view. New members count as alive until they are pinged in vain.
    pub fn set_view(&mut self, now: Millis, view: &View) {
        self.peers.retain(|node, _| view.member(node).is_some());
        for member in &view.members {
            if member.node == self.me {
                continue;
            }
            let fresh = Peer {
                member: member.clone(),
                heard: now,
                state: Liveness::Alive,
                pinged: None,
                suspected: Millis::ZERO,
            };
            self.peers.entry(member.node.clone()).or_insert(fresh);
        }
    }

    /// Returns the belief about a member; one that is unknown counts as alive.
    pub fn liveness(&self, node: &NodeId) -> Liveness {
        self.peers
            .get(node)
            .map_or(Liveness::Alive, |peer| peer.state)
    }

    /// Returns the beliefs about all members.
    pub fn peer_states(&self) -> impl Iterator<Item = (&NodeId, Liveness)> {
        self.peers.iter().map(|(node, peer)| (node, peer.state))
    }

    /// Takes in that a member was heard, directly or through another.
    pub fn record_contact(&mut self, now: Millis, from: &NodeId) -> Option<Action> {
        let peer = self.peers.get_mut(from)?;
        peer.heard = now;
        peer.pinged = None;
        if peer.state == Liveness::Alive {
            return None;
        }
        peer.state = Liveness::Alive;
        Some(Action::LivenessChanged {
            node: from.clone(),
            state: peer.state,
        })
    }

    /// Returns a new number for a ping sent at `now`.
    pub fn next_seq(&mut self, now: Millis) -> u64 {
        self.seq += 1;
        self.asked.insert(self.seq, now);
        self.seq
    }

    /// Returns when the ping of that number was sent, unless that is too long ago.
    pub fn ping_sent_at(&self, seq: u64) -> Option<Millis> {
        self.asked.get(&seq).copied()
    }

    /// Takes in one heartbeat. `random` varies who is asked to probe; `is_listed` tells whether
    /// the platform still has the member's host.
    pub fn tick(
        &mut self,
        now: Millis,
        random: u64,
        is_listed: impl Fn(&Member) -> bool,
    ) -> Vec<Action> {
        let oldest = now.saturating_sub(Millis(4 * PROBE_TIMEOUT.0));
        self.asked.retain(|_, asked| *asked >= oldest);
        self.forgive_own_pause(now);
        let mut actions = self.judge(now, random, is_listed);
        actions.extend(self.ping_next(now));
        actions
    }

    /// Starts all waits anew when this process itself was paused: it could hear nobody.
    fn forgive_own_pause(&mut self, now: Millis) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap < ACK_TIMEOUT {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.pinged = None;
            peer.suspected = now;
        }
    }

    fn judge(
        &mut self,
        now: Millis,
        random: u64,
        is_listed: impl Fn(&Member) -> bool,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut suspects = Vec::new();
        for (node, peer) in &mut self.peers {
            let next = judge_peer(now, peer, &is_listed);
            if next == peer.state {
                continue;
            }
            if next == Liveness::Suspect {
                peer.suspected = now;
                suspects.push(node.clone());
            }
            peer.state = next;
            actions.push(Action::LivenessChanged {
                node: node.clone(),
                state: next,
            });
        }
        for target in suspects {
            actions.extend(self.probe(now, random, &target));
        }
        actions
    }

    /// Asks some members that are alive to probe a suspect, and pings it once more.
    fn probe(&mut self, now: Millis, random: u64, target: &NodeId) -> Vec<Action> {
        let alive = |(_, peer): &(&NodeId, &Peer)| peer.state == Liveness::Alive;
        let mut helpers: Vec<_> = self
            .peers
            .iter()
            .filter(alive)
            .map(|(n, _)| n.clone())
            .collect();
        if !helpers.is_empty() {
            let shift = usize::try_from(random % helpers.len() as u64).unwrap_or_default();
            helpers.rotate_left(shift);
        }
        helpers.truncate(INDIRECT_PROBES);
        let mut actions = vec![self.ping(now, target)];
        for via in helpers {
            actions.push(Action::PingRequest {
                via,
                target: target.clone(),
                seq: self.next_seq(now),
            });
        }
        actions
    }

    fn ping_next(&mut self, now: Millis) -> Vec<Action> {
        let nodes: Vec<_> = self.peers.keys().cloned().collect();
        let fanout = nodes.len().div_ceil(ROUND_HEARTBEATS).max(MIN_FANOUT);
        let mut actions = Vec::new();
        for _ in 0..fanout.min(nodes.len()) {
            self.next = (self.next + 1) % nodes.len();
            actions.push(self.ping(now, &nodes[self.next]));
        }
        actions
    }

    /// Makes a ping and starts the wait for its acknowledgement.
    pub fn ping(&mut self, now: Millis, target: &NodeId) -> Action {
        if let Some(peer) = self.peers.get_mut(target) {
            peer.pinged.get_or_insert(now);
        }
        Action::Ping {
            target: target.clone(),
            seq: self.next_seq(now),
        }
    }
}

fn judge_peer(now: Millis, peer: &Peer, is_listed: impl Fn(&Member) -> bool) -> Liveness {
    let silent = Liveness::Silent { since: peer.heard };
    match peer.state {
        Liveness::Alive => {
            let waited = peer
                .pinged
                .map_or(Millis::ZERO, |at| now.saturating_sub(at));
            if waited >= ACK_TIMEOUT {
                Liveness::Suspect
            } else {
                Liveness::Alive
            }
        }
        // The platform has the host no more, so that nobody needs to be waited for.
        Liveness::Suspect if !is_listed(&peer.member) => silent,
        Liveness::Suspect if now.saturating_sub(peer.suspected) >= PROBE_TIMEOUT => silent,
        state => state,
    }
}
