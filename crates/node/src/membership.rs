//! The membership thread: heartbeats by datagram, joins, leaves and view proposals.
//!
//! It does the I/O for `kspan_membership`, which makes the decisions.

use std::{
    cell::Cell,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use kspan_fold::Body;
use kspan_membership::{
    Liveness,
    detector::{Action, Detector, HEARTBEAT_INTERVAL},
    guard::GuardReport,
    proposer::{ProposalContext, Proposer},
};
use kspan_model::{Member, Millis, NodeId, View};
use kspan_wire::{
    codec,
    message::{
        Envelope, MAX_DATAGRAM_BYTES, Message,
        membership::{self, Ping},
    },
};
use tokio::{
    net::UdpSocket,
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    event::AppendOutcome,
    inner::{Inner, Phase, count_bytes, count_dropped, unix_now},
    sync::lock,
};

/// Number of members to which a joining process sends a join per heartbeat. Half of them are the
/// members with the lowest names.
const JOIN_FANOUT: usize = 8;

/// Maximum time that a leaving process waits for a view without itself.
const LEAVE_TIMEOUT: Millis = Millis(2_500);

/// Time that a leaving process waits for another member's proposal before it proposes a view.
const LEAVE_PROPOSAL_DELAY: Millis = Millis(1_000);

/// Maximum number of relayed probes that wait for an acknowledgement.
const MAX_RELAYED_PROBES: usize = 256;

/// Probe on behalf of another member that waits for the target's acknowledgement.
struct RelayedProbe {
    requester: NodeId,
    seq: u64,
    target: NodeId,
}

struct MembershipThread {
    inner: Arc<Inner>,
    socket: Arc<UdpSocket>,
    detector: Detector,
    proposer: Proposer,
    view: Arc<View>,
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    leaving_since: Option<Millis>,
    /// Whether a proposed view is being appended to the log.
    proposal_in_flight: Rc<Cell<bool>>,
}

/// Runs the thread until the process has left the view.
pub(crate) async fn run(inner: Arc<Inner>, socket: UdpSocket) {
    let mut state = inner.log_state.subscribe();
    let mut phase = inner.phase.subscribe();
    let mut ticks = interval(HEARTBEAT_INTERVAL.as_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let socket = Arc::new(socket);
    let mut thread = MembershipThread::new(Arc::clone(&inner), Arc::clone(&socket));
    let mut buf = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buf) => match received {
                Ok((length, from)) => thread.receive(&buf[..length], from),
                // After a datagram to a closed port, the next receive reports the ICMP error.
                Err(err) => log::debug!("membership: receive failed: {err}"),
            },
            _ = ticks.tick() => thread.tick(),
            Ok(()) = state.changed() => thread.refresh_view(),
            Ok(()) = phase.changed() => thread.start_leave(),
        }
        if thread.should_stop() {
            return;
        }
    }
}

impl MembershipThread {
    fn new(inner: Arc<Inner>, socket: Arc<UdpSocket>) -> Self {
        let me = inner.me.clone();
        Self {
            detector: Detector::new(me.node.clone()),
            proposer: Proposer::new(me, rand::random()),
            view: Arc::default(),
            relayed_probes: BTreeMap::new(),
            leaving_since: None,
            proposal_in_flight: Rc::default(),
            inner,
            socket,
        }
    }

    /// Adopts the view in force, if it has changed.
    fn refresh_view(&mut self) {
        let view = Arc::clone(&self.inner.state().view);
        if view.number == self.view.number {
            return;
        }
        let now = self.inner.now();
        let was_member = self.is_member();
        self.view = view;
        self.detector.set_view(now, &self.view);
        if was_member != self.is_member() {
            let verb = if was_member { "left" } else { "joined" };
            log::info!("membership: {verb} view {}", self.view.number);
        }
        metrics::gauge!("kspan_view_members").set(self.view.members.len() as f64);
        self.publish_liveness();
        // Pinging the voters immediately makes the new view active sooner.
        if self.is_member() {
            self.ping_voters(now);
        }
    }

    fn is_member(&self) -> bool {
        self.view.member(&self.inner.me.node).is_some()
    }

    fn build_ping(&self, now: Millis, seq: u64) -> Ping {
        let GuardReport {
            view,
            activated,
            in_doubt,
        } = lock(&self.inner.guard).report(now);
        let state = self.inner.state();
        Ping {
            seq,
            view,
            activated,
            in_doubt,
            applied: state.next_offset,
            document: state.document_version,
        }
    }

    fn tick(&mut self) {
        // The state may already have a new view whose change notification is still to be handled.
        self.refresh_view();
        let now = self.inner.now();
        lock(&self.inner.guard).tick(now);
        self.retire_delisted();
        if self.is_member() {
            let inner = Arc::clone(&self.inner);
            let is_listed = |member: &Member| inner.is_listed(member);
            let actions = self.detector.tick(now, rand::random(), is_listed);
            self.run_actions(now, actions);
            if lock(&self.inner.guard).start_vote_if_due(now) {
                self.ping_voters(now);
            }
        } else {
            self.send_joins(now);
        }
        if self.inner.phase() == Phase::Leaving {
            self.send_leave();
        }
        self.propose_view(now);
        self.inner.flush_events();
    }

    /// Retires silent members whose hosts were removed from the platform's list: their processes
    /// have ended for good.
    fn retire_delisted(&self) {
        let is_delisted = |(node, state): &(&NodeId, Liveness)| {
            let member = self.view.member(node);
            state.is_silent() && member.is_some_and(|member| !self.inner.is_listed(member))
        };
        for (node, _) in self.detector.peer_states().filter(is_delisted) {
            lock(&self.inner.guard).retire(node);
        }
    }

    fn ping_voters(&mut self, now: Millis) {
        let voters: Vec<NodeId> = {
            let guard = lock(&self.inner.guard);
            guard.voters().into_iter().cloned().collect()
        };
        let actions = voters
            .iter()
            .map(|node| self.detector.ping(now, node))
            .collect();
        self.run_actions(now, actions);
    }

    /// Sends joins to the members with the lowest names, one of which proposes views, and to a
    /// random selection of the others.
    fn send_joins(&mut self, now: Millis) {
        if self.inner.phase() != Phase::Running {
            return;
        }
        let mut members: Vec<_> = self.view.members.iter().collect();
        let half = JOIN_FANOUT / 2;
        if members.len() > JOIN_FANOUT {
            let offset: usize = rand::random_range(0..members.len() - half);
            members[half..].rotate_left(offset);
            members.truncate(JOIN_FANOUT);
        }
        let targets: Vec<Member> = members.into_iter().cloned().collect();
        for target in targets {
            let seq = self.detector.next_seq(now);
            let join = membership::Message::Join {
                member: self.inner.me.clone(),
                ping: self.build_ping(now, seq),
            };
            self.send(&target, join);
        }
    }

    fn propose_view(&mut self, now: Millis) {
        let is_caught_up = self
            .inner
            .caught_up
            .load(std::sync::atomic::Ordering::Acquire);
        // While the log is slow, a second proposal would only compete with the first one for the
        // same base view.
        if !is_caught_up || self.proposal_in_flight.get() || self.inner.phase() == Phase::Stopped {
            return;
        }
        let waits_for_others = self
            .leaving_since
            .is_some_and(|since| now.saturating_sub(since) < LEAVE_PROPOSAL_DELAY);
        if waits_for_others {
            return;
        }
        let inner = Arc::clone(&self.inner);
        let detector = &self.detector;
        let context = ProposalContext {
            now,
            view: &self.view,
            liveness: &|node| detector.liveness(node),
            is_listed: &|member| inner.is_listed(member),
        };
        let Some(proposal) = self.proposer.propose(&context) else {
            return;
        };
        let count = proposal.members.len();
        log::info!(
            "membership: proposing a view of {count} members based on view {}",
            proposal.base
        );
        metrics::counter!("kspan_view_proposals_total").increment(1);
        let body = Body::View {
            base: proposal.base,
            members: proposal.members,
        };
        let proposal_in_flight = Rc::clone(&self.proposal_in_flight);
        proposal_in_flight.set(true);
        tokio::task::spawn_local(async move {
            let by = &inner.me.node.name;
            let outcome = inner.appender.append(by, unix_now(), body).await;
            proposal_in_flight.set(false);
            if !matches!(outcome, AppendOutcome::Accepted { .. }) {
                log::info!("membership: the proposed view is not in force: {outcome:?}");
            }
        });
    }

    fn receive(&mut self, buf: &[u8], from: SocketAddr) {
        let envelope = match codec::decode(buf, MAX_DATAGRAM_BYTES, &self.inner.cfg.cell) {
            Ok(envelope) => envelope,
            Err(err) => {
                log::debug!("membership: dropped a datagram from {from}: {err}");
                return count_dropped("malformed");
            }
        };
        if envelope.to != self.inner.me.node {
            return count_dropped("other-life");
        }
        let Message::Membership(message) = envelope.message else {
            return count_dropped("not-membership");
        };
        let now = self.inner.now();
        if let membership::Message::Join { member, ping } = message {
            return self.receive_join(now, &envelope.from, member, ping, from);
        }
        let sender = self.view.member(&envelope.from);
        let Some(sender) = sender.filter(|member| member.wire == from).cloned() else {
            return count_dropped("not-member");
        };
        if self.inner.is_cut(&sender) {
            return count_dropped("cut");
        }
        self.receive_from_member(now, &sender, message);
    }

    fn receive_join(
        &mut self,
        now: Millis,
        node: &NodeId,
        member: Member,
        ping: Ping,
        from: SocketAddr,
    ) {
        if member.node != *node || member.wire != from {
            return count_dropped("not-member");
        }
        if self.inner.is_cut(&member) {
            return count_dropped("cut");
        }
        if self.is_member() {
            let reply = membership::Message::Ack(self.build_ping(now, ping.seq));
            self.send(&member, reply);
            self.proposer.record_joiner(now, member);
        }
    }

    fn receive_from_member(&mut self, now: Millis, from: &Member, message: membership::Message) {
        let node = &from.node;
        let changed = self.detector.record_contact(now, node);
        self.run_actions(now, changed.into_iter().collect());
        match message {
            membership::Message::Ping(ping) => {
                self.inner.fetch_if_lagging(node, ping.applied);
                let reply = membership::Message::Ack(self.build_ping(now, ping.seq));
                self.send(from, reply);
            }
            membership::Message::Ack(ack) => self.receive_ack(now, node, ack),
            membership::Message::PingRequest { target, ping } => {
                self.relay_probe(now, node, target, ping.seq);
            }
            membership::Message::PingRelayed { target, .. } => {
                let changed = self.detector.record_contact(now, &target);
                self.run_actions(now, changed.into_iter().collect());
            }
            membership::Message::Leave => self.proposer.record_leaver(node.clone()),
            // Handled in `receive`, because the sender need not be a member.
            membership::Message::Join { .. } => {}
            membership::Message::Relay(_) => count_dropped("not-in-a-datagram"),
        }
    }

    fn receive_ack(&mut self, now: Millis, from: &NodeId, ack: Ping) {
        let Some(sent_at) = self.detector.ping_sent_at(ack.seq) else {
            return count_dropped("late");
        };
        let report = GuardReport {
            view: ack.view,
            activated: ack.activated,
            in_doubt: ack.in_doubt,
        };
        lock(&self.inner.guard).record_acknowledgement(from, sent_at, report);
        self.inner.fetch_if_lagging(from, ack.applied);
        if !self.is_member() {
            self.proposer.record_member_answer(now);
        }
        if let Some(RelayedProbe {
            requester,
            seq,
            target,
        }) = self.relayed_probes.remove(&ack.seq)
        {
            let reply = membership::Message::PingRelayed { target, seq };
            self.send_to(&requester, reply);
        }
    }

    /// Pings `target` on behalf of another member.
    fn relay_probe(&mut self, now: Millis, requester: &NodeId, target: NodeId, seq: u64) {
        let probe_seq = self.detector.next_seq(now);
        let ping = membership::Message::Ping(self.build_ping(now, probe_seq));
        self.send_to(&target, ping);
        let requester = requester.clone();
        self.relayed_probes.insert(
            probe_seq,
            RelayedProbe {
                requester,
                seq,
                target,
            },
        );
        while self.relayed_probes.len() > MAX_RELAYED_PROBES {
            self.relayed_probes.pop_first();
        }
    }

    fn run_actions(&mut self, now: Millis, actions: Vec<Action>) {
        let mut changed = false;
        for action in actions {
            match action {
                Action::Ping { target, seq } => {
                    let ping = membership::Message::Ping(self.build_ping(now, seq));
                    self.send_to(&target, ping);
                }
                Action::PingRequest { via, target, seq } => {
                    let ping = self.build_ping(now, seq);
                    self.send_to(&via, membership::Message::PingRequest { target, ping });
                }
                Action::LivenessChanged { node, state } => {
                    log::info!("membership: {node} is {state}");
                    self.inner.events.mark_liveness_changed(node);
                    changed = true;
                }
            }
        }
        if changed {
            self.publish_liveness();
        }
    }

    fn publish_liveness(&self) {
        let peers = self.detector.peer_states();
        let peers: HashMap<_, _> = peers.map(|(node, state)| (node.clone(), state)).collect();
        let silent = peers.values().filter(|state| state.is_silent()).count();
        metrics::gauge!("kspan_members_silent").set(silent as f64);
        self.inner.liveness.set(Arc::new(peers));
        self.inner.flush_events();
    }

    fn start_leave(&mut self) {
        if self.inner.phase() == Phase::Leaving && self.leaving_since.is_none() {
            self.leaving_since = Some(self.inner.now());
            self.proposer.start_leave();
            self.send_leave();
        }
    }

    fn send_leave(&self) {
        for member in &self.view.members {
            if member.node != self.inner.me.node {
                self.send(member, membership::Message::Leave);
            }
        }
    }

    /// Returns whether the process has left the view, has waited for it too long, or is stopped.
    fn should_stop(&self) -> bool {
        let is_timed_out = |since| self.inner.now().saturating_sub(since) >= LEAVE_TIMEOUT;
        self.leaving_since
            .is_some_and(|since| !self.is_member() || is_timed_out(since))
            || self.inner.phase() == Phase::Stopped
    }

    fn send_to(&self, to: &NodeId, message: membership::Message) {
        if let Some(member) = self.view.member(to) {
            self.send(member, message);
        }
    }

    fn send(&self, to: &Member, message: membership::Message) {
        if self.inner.is_cut(to) {
            return;
        }
        let envelope = self.inner.envelope(&to.node, Message::Membership(message));
        let delay = self.inner.link_faults.delay(&to.site);
        send_datagram(&self.socket, &envelope, to, delay);
    }
}

fn send_datagram(socket: &Arc<UdpSocket>, envelope: &Envelope, to: &Member, delay: Duration) {
    let buf = match codec::encode(envelope, MAX_DATAGRAM_BYTES) {
        Ok(buf) => buf,
        Err(err) => return log::error!("membership: can't encode a datagram: {err}"),
    };
    count_bytes("kspan_datagram_bytes_sent_total", &to.site, buf.len());
    let to = to.wire;
    if delay.is_zero() {
        // A failed send counts as a lost datagram.
        let _ = socket.try_send_to(&buf, to);
        return;
    }
    let socket = Arc::clone(socket);
    tokio::task::spawn_local(async move {
        sleep(delay).await;
        let _ = socket.try_send_to(&buf, to);
    });
}
