//! The membership thread: heartbeats by datagram, joins, leaves and view proposals.
//!
//! It carries messages to the decisions in `kspan_membership` and back, and decides nothing
//! itself.

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
    slot::lock,
};

/// Members that a joiner announces itself to at one heartbeat; the lowest names are among them.
const JOIN_FANOUT: usize = 8;

/// Longest that a planned leave waits for the view without this process.
const LEAVE_TIMEOUT: Millis = Millis(2_500);

/// How long a planned leave waits for another member to propose.
const LEAVE_ALONE_AFTER: Millis = Millis(1_000);

/// Relayed probes that are remembered.
const MAX_RELAYS: usize = 256;

/// A probe on behalf of another member.
struct Relay {
    asker: NodeId,
    seq: u64,
    target: NodeId,
}

struct Thread {
    inner: Arc<Inner>,
    socket: Arc<UdpSocket>,
    detector: Detector,
    proposer: Proposer,
    view: Arc<View>,
    relays: BTreeMap<u64, Relay>,
    leaving_since: Option<Millis>,
    /// Whether a proposed view waits for the log.
    proposing: Rc<Cell<bool>>,
}

/// Runs the thread until the process has left the view.
pub(crate) async fn run(inner: Arc<Inner>, socket: UdpSocket) {
    let mut fold = inner.fold.subscribe();
    let mut phase = inner.phase.subscribe();
    let mut ticks = interval(HEARTBEAT_INTERVAL.as_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let socket = Arc::new(socket);
    let mut thread = Thread::new(Arc::clone(&inner), Arc::clone(&socket));
    let mut buf = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buf) => match received {
                Ok((length, from)) => thread.receive(&buf[..length], from),
                // A datagram to a closed port is answered on the next receive.
                Err(err) => log::debug!("membership: receive failed: {err}"),
            },
            _ = ticks.tick() => thread.tick(),
            Ok(()) = fold.changed() => thread.refresh_view(),
            Ok(()) = phase.changed() => thread.start_leave(),
        }
        if thread.has_left() {
            return;
        }
    }
}

impl Thread {
    fn new(inner: Arc<Inner>, socket: Arc<UdpSocket>) -> Self {
        let me = inner.me.clone();
        Self {
            detector: Detector::new(me.node.clone()),
            proposer: Proposer::new(me, rand::random()),
            view: Arc::default(),
            relays: BTreeMap::new(),
            leaving_since: None,
            proposing: Rc::default(),
            inner,
            socket,
        }
    }

    /// Takes in the newest view, if it is another.
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
        // The new view becomes active sooner when its voters are asked at once.
        if self.is_member() {
            self.ask_voters(now);
        }
    }

    fn is_member(&self) -> bool {
        self.view.member(&self.inner.me.node).is_some()
    }

    fn ping(&self, now: Millis, seq: u64) -> Ping {
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
        // A proposal that came into force is known to the fold before its event arrives here.
        self.refresh_view();
        let now = self.inner.now();
        lock(&self.inner.guard).tick(now);
        self.retire_delisted();
        if self.is_member() {
            let inner = Arc::clone(&self.inner);
            let is_listed = |member: &Member| inner.is_listed(member);
            let actions = self.detector.tick(now, rand::random(), is_listed);
            self.carry_out(now, actions);
            if lock(&self.inner.guard).start_vote_if_due(now) {
                self.ask_voters(now);
            }
        } else {
            self.announce(now);
        }
        if self.inner.phase() == Phase::Leaving {
            self.say_goodbye();
        }
        self.propose(now);
        self.inner.flush_notices();
    }

    /// Tells the guard which lives ended for good: silent ones whose hosts the platform's list
    /// has had and has no more.
    fn retire_delisted(&self) {
        let delisted = |(node, state): &(&NodeId, Liveness)| {
            let member = self.view.member(node);
            state.is_silent() && member.is_some_and(|member| !self.inner.is_listed(member))
        };
        for (node, _) in self.detector.peer_states().filter(delisted) {
            lock(&self.inner.guard).retire(node);
        }
    }

    fn ask_voters(&mut self, now: Millis) {
        let voters: Vec<NodeId> = {
            let guard = lock(&self.inner.guard);
            guard.voters().into_iter().cloned().collect()
        };
        let actions = voters
            .iter()
            .map(|node| self.detector.ping(now, node))
            .collect();
        self.carry_out(now, actions);
    }

    /// Asks members to take this process in: the lowest names, one of which proposes, and some
    /// of the rest in turn.
    fn announce(&mut self, now: Millis) {
        if self.inner.phase() != Phase::Running {
            return;
        }
        let mut members: Vec<_> = self.view.members.iter().collect();
        let half = JOIN_FANOUT / 2;
        if members.len() > JOIN_FANOUT {
            let shift: usize = rand::random_range(0..members.len() - half);
            members[half..].rotate_left(shift);
            members.truncate(JOIN_FANOUT);
        }
        let targets: Vec<Member> = members.into_iter().cloned().collect();
        for target in targets {
            let seq = self.detector.next_seq(now);
            let join = membership::Message::Join {
                member: self.inner.me.clone(),
                ping: self.ping(now, seq),
            };
            self.send(&target, join);
        }
    }

    fn propose(&mut self, now: Millis) {
        let is_founded = self
            .inner
            .founded
            .load(std::sync::atomic::Ordering::Acquire);
        // A second append would only change the same view while the log is slow.
        if !is_founded || self.proposing.get() || self.inner.phase() == Phase::Ended {
            return;
        }
        let alone = self
            .leaving_since
            .is_some_and(|since| now.saturating_sub(since) < LEAVE_ALONE_AFTER);
        if alone {
            return;
        }
        let inner = Arc::clone(&self.inner);
        let detector = &self.detector;
        let situation = ProposalContext {
            now,
            view: &self.view,
            liveness: &|node| detector.liveness(node),
            is_listed: &|member| inner.is_listed(member),
        };
        let Some(proposal) = self.proposer.propose(&situation) else {
            return;
        };
        let members = proposal.members.len();
        log::info!(
            "membership: proposing {members} members after view {}",
            proposal.base
        );
        metrics::counter!("kspan_view_proposals_total").increment(1);
        let body = Body::View {
            base: proposal.base,
            members: proposal.members,
        };
        let proposing = Rc::clone(&self.proposing);
        proposing.set(true);
        tokio::task::spawn_local(async move {
            let by = &inner.me.node.name;
            let done = inner.appender.append(by, unix_now(), body).await;
            proposing.set(false);
            if !matches!(done, AppendOutcome::Accepted { .. }) {
                log::info!("membership: the proposed view did not come into force: {done:?}");
            }
        });
    }

    fn receive(&mut self, buf: &[u8], from: SocketAddr) {
        let envelope = match codec::decode(buf, MAX_DATAGRAM_BYTES, &self.inner.cfg.cell) {
            Ok(envelope) => envelope,
            Err(err) => {
                log::debug!("membership: dropped a datagram of {from}: {err}");
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
            let answer = membership::Message::Ack(self.ping(now, ping.seq));
            self.send(&member, answer);
            self.proposer.record_joiner(now, member);
        }
    }

    fn receive_from_member(&mut self, now: Millis, from: &Member, message: membership::Message) {
        let node = &from.node;
        let changed = self.detector.record_contact(now, node);
        self.carry_out(now, changed.into_iter().collect());
        match message {
            membership::Message::Ping(ping) => {
                self.inner.fetch_from(node, ping.applied);
                let answer = membership::Message::Ack(self.ping(now, ping.seq));
                self.send(from, answer);
            }
            membership::Message::Ack(ack) => self.receive_ack(now, node, ack),
            membership::Message::PingRequest { target, ping } => {
                self.relay(now, node, target, ping.seq);
            }
            membership::Message::PingRelayed { target, .. } => {
                let changed = self.detector.record_contact(now, &target);
                self.carry_out(now, changed.into_iter().collect());
            }
            membership::Message::Leave => self.proposer.record_leaver(node.clone()),
            // Handled before the sender is looked up.
            membership::Message::Join { .. } => {}
            membership::Message::Relay(_) => count_dropped("not-in-a-datagram"),
        }
    }

    fn receive_ack(&mut self, now: Millis, from: &NodeId, ack: Ping) {
        let Some(asked) = self.detector.ping_sent_at(ack.seq) else {
            return count_dropped("late");
        };
        let standing = GuardReport {
            view: ack.view,
            activated: ack.activated,
            in_doubt: ack.in_doubt,
        };
        lock(&self.inner.guard).record_acknowledgement(from, asked, standing);
        self.inner.fetch_from(from, ack.applied);
        if !self.is_member() {
            self.proposer.record_member_answer(now);
        }
        if let Some(Relay { asker, seq, target }) = self.relays.remove(&ack.seq) {
            let answer = membership::Message::PingRelayed { target, seq };
            self.send_to(&asker, answer);
        }
    }

    /// Pings `target` for another member.
    fn relay(&mut self, now: Millis, asker: &NodeId, target: NodeId, seq: u64) {
        let own = self.detector.next_seq(now);
        let ping = membership::Message::Ping(self.ping(now, own));
        self.send_to(&target, ping);
        let asker = asker.clone();
        self.relays.insert(own, Relay { asker, seq, target });
        while self.relays.len() > MAX_RELAYS {
            self.relays.pop_first();
        }
    }

    fn carry_out(&mut self, now: Millis, actions: Vec<Action>) {
        let mut changed = false;
        for action in actions {
            match action {
                Action::Ping { target, seq } => {
                    let ping = membership::Message::Ping(self.ping(now, seq));
                    self.send_to(&target, ping);
                }
                Action::PingRequest { via, target, seq } => {
                    let ping = self.ping(now, seq);
                    self.send_to(&via, membership::Message::PingRequest { target, ping });
                }
                Action::LivenessChanged { node, state } => {
                    log::info!("membership: {node} is {state}");
                    self.inner.notices.liveness_changed(node);
                    changed = true;
                }
            }
        }
        if changed {
            self.publish_liveness();
        }
    }

    fn publish_liveness(&self) {
        let beliefs = self.detector.peer_states();
        let beliefs: HashMap<_, _> = beliefs.map(|(node, state)| (node.clone(), state)).collect();
        let silent = beliefs.values().filter(|state| state.is_silent()).count();
        metrics::gauge!("kspan_members_silent").set(silent as f64);
        self.inner.liveness.set(Arc::new(beliefs));
        self.inner.flush_notices();
    }

    fn start_leave(&mut self) {
        if self.inner.phase() == Phase::Leaving && self.leaving_since.is_none() {
            self.leaving_since = Some(self.inner.now());
            self.proposer.start_leave();
            self.say_goodbye();
        }
    }

    fn say_goodbye(&self) {
        for member in &self.view.members {
            if member.node != self.inner.me.node {
                self.send(member, membership::Message::Leave);
            }
        }
    }

    fn has_left(&self) -> bool {
        let waited = |since| self.inner.now().saturating_sub(since) >= LEAVE_TIMEOUT;
        self.leaving_since
            .is_some_and(|since| !self.is_member() || waited(since))
            || self.inner.phase() == Phase::Ended
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
        let delay = self.inner.links.delay(&to.site);
        send_datagram(&self.socket, &envelope, to, delay);
    }
}

fn send_datagram(socket: &Arc<UdpSocket>, envelope: &Envelope, to: &Member, delay: Duration) {
    let buf = match codec::encode(envelope, MAX_DATAGRAM_BYTES) {
        Ok(buf) => buf,
        Err(err) => return log::error!("membership: a datagram was not sent: {err}"),
    };
    count_bytes("kspan_datagram_bytes_sent_total", &to.site, buf.len());
    let to = to.wire;
    if delay.is_zero() {
        // A datagram that can't be sent is lost like any other.
        let _ = socket.try_send_to(&buf, to);
        return;
    }
    let socket = Arc::clone(socket);
    tokio::task::spawn_local(async move {
        sleep(delay).await;
        let _ = socket.try_send_to(&buf, to);
    });
}
