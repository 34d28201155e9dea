//! Detector and proposer under crashes, pauses and partitions of simulated processes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{member, router, view};
use kspan_membership::{
    Liveness,
    detector::{Action, Detector, HEARTBEAT_INTERVAL},
    proposer::{Proposal, ProposalContext, Proposer, REMOVAL_DELAY},
};
use kspan_model::{Member, Millis, NodeId, Role, View};

/// Upper bound of the time from a crash until all others see the process as silent. It follows
/// from the detector's timeouts and one round of heartbeats in a small view.
const MAX_DETECTION_TIME: Millis = Millis(3_000);

struct Node {
    member: Member,
    detector: Detector,
    proposer: Proposer,
    paused: bool,
}

/// A simulated cell in which datagrams arrive immediately unless their regions are partitioned.
struct Cell {
    now: Millis,
    view: View,
    nodes: BTreeMap<NodeId, Node>,
    delisted: BTreeSet<NodeId>,
    partitioned_regions: BTreeSet<&'static str>,
    proposals: u32,
}

const MEMBERS: [(&str, &str); 6] = [
    ("a", "north"),
    ("b", "north"),
    ("c", "south"),
    ("d", "south"),
    ("e", "west"),
    ("f", "west"),
];

impl Cell {
    fn new() -> Self {
        let mut cell = Self {
            now: Millis(10_000),
            view: View::default(),
            nodes: BTreeMap::new(),
            delisted: BTreeSet::new(),
            partitioned_regions: BTreeSet::new(),
            proposals: 0,
        };
        let members: Vec<_> = MEMBERS
            .iter()
            .map(|(name, region)| member(name, 1, Role::Router, region))
            .collect();
        members.iter().for_each(|member| cell.start(member.clone()));
        cell.apply_view(&view(1, members));
        cell
    }

    fn start(&mut self, member: Member) {
        let mut detector = Detector::new(member.node.clone());
        detector.set_view(self.now, &self.view);
        let node = Node {
            detector,
            proposer: Proposer::new(member.clone(), 0),
            member,
            paused: false,
        };
        self.nodes.insert(node.member.node.clone(), node);
    }

    fn apply_view(&mut self, view: &View) {
        self.view = view.clone();
        for node in self.nodes.values_mut() {
            node.detector.set_view(self.now, view);
        }
    }

    fn id(&self, name: &str) -> NodeId {
        let mut ids = self.nodes.keys().rev();
        ids.find(|id| id.name.as_str() == name).unwrap().clone()
    }

    fn crash(&mut self, name: &str) {
        self.nodes.remove(&self.id(name));
    }

    fn set_paused(&mut self, name: &str, paused: bool) {
        let id = self.id(name);
        self.nodes.get_mut(&id).unwrap().paused = paused;
    }

    fn can_reach(&self, a: &NodeId, b: &NodeId) -> bool {
        let (Some(a), Some(b)) = (self.nodes.get(a), self.nodes.get(b)) else {
            return false;
        };
        let (a_region, b_region) = (&a.member.site.region, &b.member.site.region);
        let is_partitioned = |region: &str| self.partitioned_regions.contains(region);
        !b.paused
            && (a_region == b_region || !(is_partitioned(a_region) || is_partitioned(b_region)))
    }

    fn running(&self) -> Vec<NodeId> {
        let running = self.nodes.iter().filter(|(_, node)| !node.paused);
        running.map(|(id, _)| id.clone()).collect()
    }

    /// Advances time by one heartbeat interval and ticks the detector of every running process.
    fn heartbeat(&mut self) {
        self.now += HEARTBEAT_INTERVAL;
        for id in self.running() {
            let delisted = &self.delisted;
            let is_listed = |member: &Member| !delisted.contains(&member.node);
            let node = self.nodes.get_mut(&id).unwrap();
            for action in node.detector.tick(self.now, 7, is_listed) {
                self.carry_out(&id, &action);
            }
        }
    }

    fn carry_out(&mut self, id: &NodeId, action: &Action) {
        let answered = match action {
            Action::Ping { target, .. } => self.can_reach(id, target).then_some(target),
            Action::PingRequest { via, target, .. } => {
                (self.can_reach(id, via) && self.can_reach(via, target)).then_some(target)
            }
            Action::LivenessChanged { .. } => None,
        };
        if let Some(target) = answered {
            let now = self.now;
            self.nodes
                .get_mut(id)
                .unwrap()
                .detector
                .record_contact(now, target);
            self.nodes
                .get_mut(target)
                .unwrap()
                .detector
                .record_contact(now, id);
        }
    }

    /// Lets every running process propose and puts the first proposal in force.
    fn propose(&mut self) -> Option<Proposal> {
        let mut first = None;
        for id in self.running() {
            let node = self.nodes.get_mut(&id).unwrap();
            let detector = &node.detector;
            let delisted = &self.delisted;
            let situation = ProposalContext {
                now: self.now,
                view: &self.view,
                liveness: &|node| detector.liveness(node),
                is_listed: &|member| !delisted.contains(&member.node),
            };
            if let Some(proposal) = node.proposer.propose(&situation) {
                self.proposals += 1;
                first.get_or_insert(proposal);
            }
        }
        let proposal = first?;
        let next = view(self.view.number + 1, proposal.members.clone());
        self.apply_view(&next);
        Some(proposal)
    }

    fn run(&mut self, span: Millis) {
        for _ in 0..span.0 / HEARTBEAT_INTERVAL.0 {
            self.heartbeat();
            self.propose();
        }
    }

    fn names(&self) -> String {
        let names = self
            .view
            .members
            .iter()
            .map(|member| member.node.name.as_str());
        names.collect::<Vec<_>>().join("")
    }

    fn liveness_of(&self, of: &str, about: &NodeId) -> Liveness {
        self.nodes[&self.id(of)].detector.liveness(about)
    }
}

#[test]
fn no_view_is_proposed_without_failures() {
    let mut cell = Cell::new();
    cell.run(Millis::from_secs(60));
    assert_eq!((cell.names().as_str(), cell.proposals), ("abcdef", 0));
}

#[test]
fn crashed_process_becomes_silent_and_is_removed_by_one_proposal() {
    let mut cell = Cell::new();
    cell.run(Millis::from_secs(5));
    let crashed = cell.id("d");
    cell.crash("d");
    (0..MAX_DETECTION_TIME.0 / HEARTBEAT_INTERVAL.0).for_each(|_| cell.heartbeat());
    for other in ["a", "b", "c", "e", "f"] {
        assert!(cell.liveness_of(other, &crashed).is_silent());
    }
    cell.run(REMOVAL_DELAY);
    assert_eq!((cell.names().as_str(), cell.proposals), ("abcef", 1));
}

#[test]
fn next_name_proposes_after_the_proposer_crashes() {
    let mut cell = Cell::new();
    cell.crash("a");
    cell.run(MAX_DETECTION_TIME + REMOVAL_DELAY);
    assert_eq!((cell.names().as_str(), cell.proposals), ("bcdef", 1));
}

#[test]
fn two_successive_crashes_are_both_removed() {
    let mut cell = Cell::new();
    cell.crash("a");
    cell.run(Millis(1_000));
    cell.crash("c");
    cell.run(MAX_DETECTION_TIME + REMOVAL_DELAY + REMOVAL_DELAY);
    assert_eq!(cell.names(), "bdef");
}

#[test]
fn short_pause_removes_no_member_and_long_pause_removes_it() {
    let mut cell = Cell::new();
    cell.set_paused("b", true);
    cell.run(Millis(1_000));
    cell.set_paused("b", false);
    cell.run(Millis::from_secs(10));
    assert_eq!(cell.names(), "abcdef");
    cell.set_paused("b", true);
    cell.run(Millis::from_secs(10));
    assert_eq!(cell.names(), "acdef");
}

#[test]
fn process_resuming_from_a_pause_marks_no_member_silent() {
    let mut cell = Cell::new();
    cell.set_paused("b", true);
    cell.now += Millis::from_secs(20);
    cell.set_paused("b", false);
    cell.heartbeat();
    let others = MEMBERS.iter().map(|(name, _)| cell.id(name));
    assert!(
        others
            .into_iter()
            .all(|id| !cell.liveness_of("b", &id).is_silent())
    );
}

/// Guards against a timeout that was running when the process was paused: the member would be silent
/// at the first heartbeat after the pause, before any answer could arrive.
#[test]
fn member_suspected_before_a_pause_is_given_the_full_time_after_it() {
    let members = vec![router("a", 1), router("b", 1)];
    let (local, other) = (members[0].node.clone(), members[1].node.clone());
    let mut detector = Detector::new(local);
    let mut now = Millis(10_000);
    detector.set_view(now, &view(1, members));
    while detector.liveness(&other) != Liveness::Suspect {
        now += HEARTBEAT_INTERVAL;
        detector.tick(now, 0, |_| true);
        assert!(
            now < Millis(13_000),
            "an unanswered ping leads to suspicion"
        );
    }
    now += Millis::from_secs(20);
    detector.tick(now, 0, |_| true);
    assert!(!detector.liveness(&other).is_silent());
    // Without an answer, the member becomes silent later all the same.
    for _ in 0..12 {
        now += HEARTBEAT_INTERVAL;
        detector.tick(now, 0, |_| true);
    }
    assert!(detector.liveness(&other).is_silent());
}

#[test]
fn partitioned_region_is_kept_and_alive_again_after_the_partition() {
    let mut cell = Cell::new();
    cell.partitioned_regions.insert("west");
    cell.run(Millis::from_secs(3_600));
    assert_eq!((cell.names().as_str(), cell.proposals), ("abcdef", 0));
    let partitioned = cell.id("e");
    assert!(cell.liveness_of("a", &partitioned).is_silent());
    assert_eq!(cell.liveness_of("f", &partitioned), Liveness::Alive);
    cell.partitioned_regions.clear();
    cell.run(Millis::from_secs(5));
    assert_eq!(cell.liveness_of("a", &partitioned), Liveness::Alive);
}

#[test]
fn silent_region_is_removed_once_its_hosts_are_delisted() {
    let mut cell = Cell::new();
    let lost = [cell.id("e"), cell.id("f")];
    cell.crash("e");
    cell.crash("f");
    cell.run(Millis::from_secs(20));
    assert_eq!(cell.names(), "abcdef");
    cell.delisted.extend(lost);
    cell.run(Millis::from_secs(5));
    assert_eq!(cell.names(), "abcd");
}

#[test]
fn member_on_a_delisted_host_becomes_silent_sooner() {
    let mut cell = Cell::new();
    let lost = cell.id("d");
    cell.crash("d");
    cell.delisted.insert(lost.clone());
    cell.run(Millis(1_750));
    assert!(cell.liveness_of("a", &lost).is_silent());
}

#[test]
fn later_incarnation_replaces_the_earlier_one() {
    let mut cell = Cell::new();
    cell.crash("d");
    let next = member("d", 2, Role::Router, "south");
    cell.start(next.clone());
    for _ in 0..8 {
        cell.heartbeat();
        for node in cell.nodes.values_mut() {
            node.proposer.record_joiner(cell.now, next.clone());
        }
        cell.propose();
    }
    assert_eq!((cell.names().as_str(), cell.proposals), ("abcdef", 1));
    assert!(cell.view.member(&next.node).is_some());
    // The earlier incarnation resumes and asks to rejoin.
    let earlier = member("d", 1, Role::Router, "south");
    for node in cell.nodes.values_mut() {
        node.proposer.record_joiner(cell.now, earlier.clone());
    }
    cell.run(Millis::from_secs(5));
    assert!(cell.view.member(&next.node).is_some());
}

#[test]
fn leaving_member_is_removed_at_once() {
    let mut cell = Cell::new();
    let leaving = cell.id("c");
    for node in cell.nodes.values_mut() {
        node.proposer.record_leaver(leaving.clone());
    }
    cell.heartbeat();
    cell.propose();
    assert_eq!(cell.names(), "abdef");
}

#[test]
fn leaving_proposer_proposes_its_own_removal() {
    let mut cell = Cell::new();
    let id = cell.id("a");
    cell.nodes.get_mut(&id).unwrap().proposer.start_leave();
    cell.heartbeat();
    cell.propose();
    assert_eq!(cell.names(), "bcdef");
}

#[test]
fn last_member_to_leave_proposes_no_empty_view() {
    let mut cell = Cell::new();
    let last = member("a", 1, Role::Router, "north");
    cell.apply_view(&view(2, vec![last.clone()]));
    cell.nodes.retain(|id, _| *id == last.node);
    cell.nodes
        .get_mut(&last.node)
        .unwrap()
        .proposer
        .start_leave();
    cell.run(Millis::from_secs(2));
    assert_eq!((cell.names().as_str(), cell.proposals), ("a", 0));
}

#[test]
fn joiner_without_live_members_proposes_a_view_with_itself() {
    let mut cell = Cell::new();
    for name in ["a", "b", "c", "d", "e", "f"] {
        cell.crash(name);
    }
    cell.start(member("g", 9, Role::Router, "north"));
    cell.run(Millis::from_secs(3));
    assert!(cell.names().ends_with('g'));
    // Crashed members of its own region are removed; the other regions may only be partitioned.
    cell.run(Millis::from_secs(10));
    assert!(cell.names().contains("cdef"));
}

/// Size of a heartbeat datagram in a large cell, including UDP and IP headers.
const HEARTBEAT_DATAGRAM_BYTES: usize = 110;

/// Budget of one node for control traffic, at the largest supported number of members.
const MAX_NODE_BYTES_PER_SECOND: usize = 18_000;

#[test]
fn heartbeat_traffic_of_a_large_view_is_within_the_budget_of_a_node() {
    let members: Vec<_> = (0..84)
        .map(|i| member(&format!("n{i}"), 1, Role::Router, "north"))
        .collect();
    let view = view(1, members);
    let mut detector = Detector::new(view.members[0].node.clone());
    detector.set_view(Millis::ZERO, &view);
    let mut pinged = BTreeSet::new();
    let mut pings = 0;
    let heartbeats = 8;
    for i in 1..=heartbeats {
        let now = Millis(i * HEARTBEAT_INTERVAL.0);
        for action in detector.tick(now, 0, |_| true) {
            if let Action::Ping { target, .. } = action {
                detector.record_contact(now, &target);
                pinged.insert(target);
                pings += 1;
            }
        }
    }
    assert_eq!(
        pinged.len(),
        83,
        "every member is pinged within {heartbeats} heartbeats"
    );
    let seconds = 2;
    // A node sends as many acknowledgements as pings, because all members ping at the same rate.
    let sent = 2 * pings * HEARTBEAT_DATAGRAM_BYTES / seconds;
    assert!(sent <= MAX_NODE_BYTES_PER_SECOND, "{sent} bytes per second");
}
