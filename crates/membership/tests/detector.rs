//! Kills, pauses and partitions as the detector and the proposer see them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{member, view};
use kspan_membership::{
    Liveness,
    detector::{Action, Detector, HEARTBEAT_INTERVAL},
    proposer::{Proposal, ProposalContext, Proposer, REMOVE_AFTER},
};
use kspan_model::{Member, Millis, NodeId, Role, View};

/// Longest time from a kill to the belief that follows from the constants, with one round of
/// heartbeats in a small view.
const SILENT_WITHIN: Millis = Millis(3_000);

struct Node {
    member: Member,
    detector: Detector,
    proposer: Proposer,
    paused: bool,
}

/// A cell whose datagrams arrive at once unless they are cut.
struct Cell {
    now: Millis,
    view: View,
    nodes: BTreeMap<NodeId, Node>,
    delisted: BTreeSet<NodeId>,
    cut_regions: BTreeSet<&'static str>,
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
            cut_regions: BTreeSet::new(),
            proposals: 0,
        };
        let members: Vec<_> = MEMBERS
            .iter()
            .map(|(name, region)| member(name, 1, Role::Router, region))
            .collect();
        members.iter().for_each(|member| cell.start(member.clone()));
        cell.put_in_force(&view(1, members));
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

    fn put_in_force(&mut self, view: &View) {
        self.view = view.clone();
        for node in self.nodes.values_mut() {
            node.detector.set_view(self.now, view);
        }
    }

    fn id(&self, name: &str) -> NodeId {
        let mut ids = self.nodes.keys().rev();
        ids.find(|id| id.name.as_str() == name).unwrap().clone()
    }

    fn kill(&mut self, name: &str) {
        self.nodes.remove(&self.id(name));
    }

    fn pause(&mut self, name: &str, paused: bool) {
        let id = self.id(name);
        self.nodes.get_mut(&id).unwrap().paused = paused;
    }

    fn reaches(&self, a: &NodeId, b: &NodeId) -> bool {
        let (Some(a), Some(b)) = (self.nodes.get(a), self.nodes.get(b)) else {
            return false;
        };
        let (a_region, b_region) = (&a.member.site.region, &b.member.site.region);
        let is_cut = |region: &str| self.cut_regions.contains(region);
        !b.paused && (a_region == b_region || !(is_cut(a_region) || is_cut(b_region)))
    }

    fn running(&self) -> Vec<NodeId> {
        let running = self.nodes.iter().filter(|(_, node)| !node.paused);
        running.map(|(id, _)| id.clone()).collect()
    }

    /// One heartbeat of every process that runs.
    fn beat(&mut self) {
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
            Action::Ping { target, .. } => self.reaches(id, target).then_some(target),
            Action::PingRequest { via, target, .. } => {
                (self.reaches(id, via) && self.reaches(via, target)).then_some(target)
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

    /// Lets every process propose; the first proposal comes into force.
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
        self.put_in_force(&next);
        Some(proposal)
    }

    fn run(&mut self, span: Millis) {
        for _ in 0..span.0 / HEARTBEAT_INTERVAL.0 {
            self.beat();
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

    fn belief(&self, of: &str, about: &NodeId) -> Liveness {
        self.nodes[&self.id(of)].detector.liveness(about)
    }
}

#[test]
fn a_quiet_cell_believes_and_proposes_nothing() {
    let mut cell = Cell::new();
    cell.run(Millis::from_secs(60));
    assert_eq!((cell.names().as_str(), cell.proposals), ("abcdef", 0));
}

#[test]
fn a_killed_process_is_silent_and_then_removed_by_one_proposal() {
    let mut cell = Cell::new();
    cell.run(Millis::from_secs(5));
    let killed = cell.id("d");
    cell.kill("d");
    (0..SILENT_WITHIN.0 / HEARTBEAT_INTERVAL.0).for_each(|_| cell.beat());
    for other in ["a", "b", "c", "e", "f"] {
        assert!(cell.belief(other, &killed).is_silent());
    }
    cell.run(REMOVE_AFTER);
    assert_eq!((cell.names().as_str(), cell.proposals), ("abcef", 1));
}

#[test]
fn a_killed_proposer_is_succeeded_by_the_next_name() {
    let mut cell = Cell::new();
    cell.kill("a");
    cell.run(SILENT_WITHIN + REMOVE_AFTER);
    assert_eq!((cell.names().as_str(), cell.proposals), ("bcdef", 1));
}

#[test]
fn two_kills_in_a_row_are_both_removed() {
    let mut cell = Cell::new();
    cell.kill("a");
    cell.run(Millis(1_000));
    cell.kill("c");
    cell.run(SILENT_WITHIN + REMOVE_AFTER + REMOVE_AFTER);
    assert_eq!(cell.names(), "bdef");
}

#[test]
fn a_short_pause_removes_nobody_and_a_long_one_does() {
    let mut cell = Cell::new();
    cell.pause("b", true);
    cell.run(Millis(1_000));
    cell.pause("b", false);
    cell.run(Millis::from_secs(10));
    assert_eq!(cell.names(), "abcdef");
    cell.pause("b", true);
    cell.run(Millis::from_secs(10));
    assert_eq!(cell.names(), "acdef");
}

#[test]
fn a_process_that_wakes_accuses_nobody() {
    let mut cell = Cell::new();
    cell.pause("b", true);
    cell.now += Millis::from_secs(20);
    cell.pause("b", false);
    cell.beat();
    let others = MEMBERS.iter().map(|(name, _)| cell.id(name));
    assert!(
        others
            .into_iter()
            .all(|id| !cell.belief("b", &id).is_silent())
    );
}

#[test]
fn a_silent_region_is_kept_and_cures_itself() {
    let mut cell = Cell::new();
    cell.cut_regions.insert("west");
    cell.run(Millis::from_secs(3_600));
    assert_eq!((cell.names().as_str(), cell.proposals), ("abcdef", 0));
    let cut_off = cell.id("e");
    assert!(cell.belief("a", &cut_off).is_silent());
    assert_eq!(cell.belief("f", &cut_off), Liveness::Alive);
    cell.cut_regions.clear();
    cell.run(Millis::from_secs(5));
    assert_eq!(cell.belief("a", &cut_off), Liveness::Alive);
}

#[test]
fn a_silent_region_whose_hosts_are_delisted_is_removed() {
    let mut cell = Cell::new();
    let lost = [cell.id("e"), cell.id("f")];
    cell.kill("e");
    cell.kill("f");
    cell.run(Millis::from_secs(20));
    assert_eq!(cell.names(), "abcdef");
    cell.delisted.extend(lost);
    cell.run(Millis::from_secs(5));
    assert_eq!(cell.names(), "abcd");
}

#[test]
fn a_host_that_is_delisted_counts_as_silent_sooner() {
    let mut cell = Cell::new();
    let lost = cell.id("d");
    cell.kill("d");
    cell.delisted.insert(lost.clone());
    cell.run(Millis(1_750));
    assert!(cell.belief("a", &lost).is_silent());
}

#[test]
fn a_later_life_takes_the_place_of_the_one_before() {
    let mut cell = Cell::new();
    cell.kill("d");
    let next = member("d", 2, Role::Router, "south");
    cell.start(next.clone());
    for _ in 0..8 {
        cell.beat();
        for node in cell.nodes.values_mut() {
            node.proposer.record_joiner(cell.now, next.clone());
        }
        cell.propose();
    }
    assert_eq!((cell.names().as_str(), cell.proposals), ("abcdef", 1));
    assert!(cell.view.member(&next.node).is_some());
    // The earlier life wakes up and wants back.
    let earlier = member("d", 1, Role::Router, "south");
    for node in cell.nodes.values_mut() {
        node.proposer.record_joiner(cell.now, earlier.clone());
    }
    cell.run(Millis::from_secs(5));
    assert!(cell.view.member(&next.node).is_some());
}

#[test]
fn a_leaving_member_is_removed_without_waiting() {
    let mut cell = Cell::new();
    let leaving = cell.id("c");
    for node in cell.nodes.values_mut() {
        node.proposer.record_leaver(leaving.clone());
    }
    cell.beat();
    cell.propose();
    assert_eq!(cell.names(), "abdef");
}

#[test]
fn a_leaving_proposer_proposes_its_own_leave() {
    let mut cell = Cell::new();
    let id = cell.id("a");
    cell.nodes.get_mut(&id).unwrap().proposer.start_leave();
    cell.beat();
    cell.propose();
    assert_eq!(cell.names(), "bcdef");
}

#[test]
fn the_last_one_to_leave_proposes_no_empty_view() {
    let mut cell = Cell::new();
    let alone = member("a", 1, Role::Router, "north");
    cell.put_in_force(&view(2, vec![alone.clone()]));
    cell.nodes.retain(|id, _| *id == alone.node);
    cell.nodes
        .get_mut(&alone.node)
        .unwrap()
        .proposer
        .start_leave();
    cell.run(Millis::from_secs(2));
    assert_eq!((cell.names().as_str(), cell.proposals), ("a", 0));
}

#[test]
fn a_process_that_finds_only_silence_proposes_a_view_with_itself() {
    let mut cell = Cell::new();
    for name in ["a", "b", "c", "d", "e", "f"] {
        cell.kill(name);
    }
    cell.start(member("g", 9, Role::Router, "north"));
    cell.run(Millis::from_secs(3));
    assert!(cell.names().ends_with('g'));
    // Its own region's dead are removed; the other regions may only be cut off.
    cell.run(Millis::from_secs(10));
    assert!(cell.names().contains("cdef"));
}

/// Bytes of a heartbeat with the names of a large cell, and of its UDP and IP headers.
const HEARTBEAT_BYTES: usize = 110;

/// What one node may send a second for control at the size that the design is for.
const NODE_BYTES_PER_SECOND: usize = 18_000;

#[test]
fn heartbeats_of_a_large_view_stay_within_a_nodes_budget() {
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
        "all are pinged in {heartbeats} heartbeats"
    );
    let seconds = 2;
    // As many acknowledgements are sent as pings, because all members ping alike.
    let sent = 2 * pings * HEARTBEAT_BYTES / seconds;
    assert!(sent <= NODE_BYTES_PER_SECOND, "{sent} bytes a second");
}
