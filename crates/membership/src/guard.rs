//! The view guard decides whether a process may act as a home in the newest view that it knows.
//!
//! The *home* of an object is the member that owns it in a view. A home that was superseded may
//! not know it, because it was paused or is cut off from the log. A home therefore acts only on
//! fresh evidence that no later view is active, and a home that gained an object becomes active
//! only after the evidence of every previous home has expired.
//!
//! * Evidence is a read of the log's tail, or acknowledgements of heartbeats by a majority of the
//!   view's voters that they know no later view; either was requested at most [`GUARD_TIME`] ago.
//!   Voters are the members with the same role.
//! * A view becomes active [`GUARD_TIME`] plus [`GUARD_DRIFT`] after it reached its quorum: a
//!   majority of its voters know it, and at least half of the voters of every earlier view that
//!   may still be active know a later view than that one or have ended for good. Half of the
//!   voters intersect every majority, so that no earlier view can gather evidence any more.
//!
//! This module sends nothing: heartbeats carry its input and output.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use kspan_model::{Member, Millis, NodeId, Role, View};

use crate::ownership;

/// How long evidence is valid, counted from when it was requested.
pub const GUARD_TIME: Millis = Millis(2_000);

/// Margin added to the guard time for two clocks whose rates differ by up to 1%, and for the delay
/// of a timer.
pub const GUARD_DRIFT: Millis = Millis(100);

/// Maximum number of views kept while none is known to be active. The oldest is dropped first.
const MAX_VIEWS: usize = 64;

/// What a process may do at one instant. It expires, so callers obtain a new one before each act.
#[derive(Clone, Debug, Default)]
pub struct GuardState {
    may_act: bool,
    activated: u64,
    views: Vec<Arc<View>>,
}

impl GuardState {
    /// Creates a state from the activated view and every later one, in ascending order.
    pub fn new(may_act: bool, activated: u64, views: Vec<Arc<View>>) -> Self {
        Self {
            may_act,
            activated,
            views,
        }
    }

    /// Returns whether the process has fresh evidence that no home of a later view is active.
    pub const fn may_act(&self) -> bool {
        self.may_act
    }

    /// Returns the number of the highest active view.
    pub const fn activated(&self) -> u64 {
        self.activated
    }

    /// Returns the views whose homes may act: the activated one and all later ones.
    pub fn views(&self) -> &[Arc<View>] {
        &self.views
    }

    /// Returns the home of a key if it is the same in every view whose homes may act, so that no
    /// other home can be active. Returns `None` while the key moves to another home.
    pub fn home_of_key(&self, key: &str, region: Option<&str>) -> Option<&Member> {
        self.agreed_member(|view| ownership::home_of_key(view, key, region))
    }

    /// Returns the member that `choose` selects in the newest view, if it selects the same one in
    /// every view whose homes may act.
    pub fn agreed_member(&self, choose: impl Fn(&View) -> Option<&Member>) -> Option<&Member> {
        let newest = choose(self.views.last()?)?;
        let same = |view: &Arc<View>| choose(view).is_some_and(|m| m.node == newest.node);
        self.views.iter().all(same).then_some(newest)
    }
}

/// State of a guard as reported to other processes in acknowledgements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuardReport {
    /// Number of the highest view that the process knows.
    pub view: u64,
    /// Number of the highest view that the process knows to be active.
    pub activated: u64,
    /// Whether the process was paused and may have missed a view since.
    pub in_doubt: bool,
}

/// The latest acknowledgement of one voter.
#[derive(Clone, Copy, Debug)]
struct Vote {
    sent: Millis,
    report: GuardReport,
}

/// Tracks views and evidence, and derives [`GuardState`] from them.
#[derive(Clone, Debug)]
pub struct Guard {
    me: NodeId,
    role: Role,
    activated: u64,
    /// The activated view and later ones, in ascending order.
    views: VecDeque<Arc<View>>,
    /// When each of the views reached its quorum, in the same order.
    quorum_times: VecDeque<Option<Millis>>,
    votes: BTreeMap<NodeId, Vote>,
    /// Incarnations that have ended for good.
    retired: BTreeSet<NodeId>,
    tail_read: Option<Millis>,
    highest_reported: u64,
    last_tick: Millis,
    /// When the last vote was started.
    last_vote: Option<Millis>,
    /// When this process noticed that it had been paused, until it has fresh evidence again.
    resumed_at: Option<Millis>,
}

impl Guard {
    /// Creates the guard of a process that starts at `now` and knows no view.
    pub fn new(now: Millis, me: NodeId, role: Role) -> Self {
        Self {
            me,
            role,
            activated: 0,
            views: VecDeque::new(),
            quorum_times: VecDeque::new(),
            votes: BTreeMap::new(),
            retired: BTreeSet::new(),
            tail_read: None,
            highest_reported: 0,
            last_tick: now,
            last_vote: None,
            resumed_at: None,
        }
    }

    /// Adds a view that the log has put in force, unless it is not newer than the known ones.
    pub fn add_view(&mut self, view: Arc<View>) {
        if self
            .views
            .back()
            .is_some_and(|newest| newest.number >= view.number)
        {
            return;
        }
        for member in &view.members {
            self.retire_earlier_incarnations(&member.node);
        }
        self.views.push_back(view);
        self.quorum_times.push_back(None);
        let views = &self.views;
        let is_member = |node: &NodeId| views.iter().any(|view| view.member(node).is_some());
        self.votes.retain(|node, _| is_member(node));
        if self.views.len() > MAX_VIEWS {
            self.views.pop_front();
            self.quorum_times.pop_front();
        }
    }

    /// Retires the earlier incarnations of a node, which cannot acknowledge anything any more.
    fn retire_earlier_incarnations(&mut self, node: &NodeId) {
        let earlier =
            |other: &NodeId| other.name == node.name && other.incarnation < node.incarnation;
        let members = self.views.iter().flat_map(|view| &view.members);
        let earlier: Vec<_> = members
            .map(|member| &member.node)
            .filter(|other| earlier(other))
            .cloned()
            .collect();
        self.retired.extend(earlier);
    }

    /// Records that an incarnation has ended for good, because the platform's list no longer
    /// contains its host.
    pub fn retire(&mut self, node: &NodeId) {
        self.retired.insert(node.clone());
    }

    /// Records a read of the log's tail that was requested at `sent` and completely applied.
    pub fn record_tail_read(&mut self, sent: Millis) {
        self.tail_read = self.tail_read.max(Some(sent));
        // A read that was requested before a pause proves nothing about the time since.
        if self.resumed_at.is_some_and(|resumed_at| sent >= resumed_at) {
            self.resumed_at = None;
        }
    }

    /// Records the acknowledgement of a heartbeat that was sent at `sent`.
    pub fn record_acknowledgement(&mut self, from: &NodeId, sent: Millis, report: GuardReport) {
        self.highest_reported = self.highest_reported.max(report.view);
        self.advance_activated(report.activated);
        let newer = self.votes.get(from).is_none_or(|vote| vote.sent <= sent);
        if newer {
            let vote = Vote { sent, report };
            self.votes.insert(from.clone(), vote);
        }
    }

    /// Detects pauses and activates views. To be called at least four times per guard time.
    pub fn tick(&mut self, now: Millis) {
        if now.saturating_sub(self.last_tick) > GUARD_TIME {
            self.resumed_at = Some(now);
        }
        self.last_tick = now;
        if self.has_majority(now) {
            self.resumed_at = None;
        }
        self.activate(now);
    }

    /// Returns the state that this process reports at `now`.
    pub fn report(&self, now: Millis) -> GuardReport {
        let paused = now.saturating_sub(self.last_tick) > GUARD_TIME;
        GuardReport {
            view: self.newest_view(),
            activated: self.activated,
            in_doubt: self.resumed_at.is_some() || paused,
        }
    }

    /// Returns what this process may do at `now`.
    pub fn state(&self, now: Millis) -> GuardState {
        let superseded = self.highest_reported > self.newest_view();
        let may_act = !superseded && (self.tail_is_fresh(now) || self.has_majority(now));
        let views = self.views.iter().cloned().collect();
        GuardState::new(may_act, self.activated, views)
    }

    /// Returns whether all voters are to be pinged now, and records that they are. A vote is due
    /// when a view is not active yet or the log's tail has not been read for half of the guard
    /// time, and starts at most once per half of the guard time.
    pub fn start_vote_if_due(&mut self, now: Millis) -> bool {
        let half = Millis(GUARD_TIME.0 / 2);
        let is_old = |at: Millis| now.saturating_sub(at) >= half;
        let is_stale = self.tail_read.is_none_or(is_old);
        let is_needed = is_stale || self.activated < self.newest_view();
        if !is_needed || !self.last_vote.is_none_or(is_old) {
            return false;
        }
        self.last_vote = Some(now);
        true
    }

    /// Returns the other members whose acknowledgements count for the views whose homes may act.
    pub fn voters(&self) -> BTreeSet<&NodeId> {
        let members = self.views.iter().flat_map(|view| view.with_role(self.role));
        members
            .map(|member| &member.node)
            .filter(|node| **node != self.me && !self.retired.contains(node))
            .collect()
    }

    fn newest_view(&self) -> u64 {
        self.views.back().map_or(0, |view| view.number)
    }

    fn tail_is_fresh(&self, now: Millis) -> bool {
        let fresh = |sent: Millis| now.saturating_sub(sent) <= GUARD_TIME;
        self.tail_read.is_some_and(fresh)
    }

    /// Returns whether a majority of the newest view's voters, including this process, have
    /// confirmed within the guard time that they know no later view.
    fn has_majority(&self, now: Millis) -> bool {
        let Some(view) = self.views.back() else {
            return false;
        };
        let supports = |node: &NodeId| {
            *node == self.me
                || self.votes.get(node).is_some_and(|vote| {
                    now.saturating_sub(vote.sent) <= GUARD_TIME
                        && vote.report.view <= view.number
                        && !vote.report.in_doubt
                })
        };
        self.count_voters(view, supports) >= majority(self.voter_count(view))
    }

    fn advance_activated(&mut self, activated: u64) {
        self.activated = self.activated.max(activated);
        while self
            .views
            .front()
            .is_some_and(|view| view.number < self.activated)
            && self.views.len() > 1
        {
            self.views.pop_front();
            self.quorum_times.pop_front();
        }
    }

    /// Activates the highest view whose quorum is older than the guard time and the drift margin.
    fn activate(&mut self, now: Millis) {
        let delay = GUARD_TIME + GUARD_DRIFT;
        let mut highest = None;
        for i in 0..self.views.len() {
            if self.quorum_times[i].is_none() && self.has_quorum(i) {
                self.quorum_times[i] = Some(now);
            }
            if self.quorum_times[i].is_some_and(|at| now.saturating_sub(at) > delay) {
                highest = Some(self.views[i].number);
            }
        }
        if let Some(number) = highest {
            self.advance_activated(number);
        }
    }

    /// Returns whether a majority of the voters of view `i` know it, and at least half of the
    /// voters of every earlier view that may still be active can no longer confirm that view.
    fn has_quorum(&self, i: usize) -> bool {
        let view = &self.views[i];
        let knows = |node: &NodeId| self.knows(node, view.number);
        let mut earlier = self.views.iter().take(i);
        self.count_voters(view, knows) >= majority(self.voter_count(view))
            && earlier.all(|view| {
                let cannot_confirm = |node: &NodeId| {
                    self.retired.contains(node) || self.knows(node, view.number + 1)
                };
                self.count_voters(view, cannot_confirm) >= self.voter_count(view).div_ceil(2)
            })
    }

    /// Returns whether a voter knows the view `number` or a later one.
    fn knows(&self, node: &NodeId, number: u64) -> bool {
        if *node == self.me {
            return self.newest_view() >= number;
        }
        let vote = self.votes.get(node);
        vote.is_some_and(|vote| vote.report.view >= number)
    }

    fn voter_count(&self, view: &View) -> usize {
        view.with_role(self.role).count()
    }

    fn count_voters(&self, view: &View, predicate: impl Fn(&NodeId) -> bool) -> usize {
        let voters = view.with_role(self.role);
        voters.filter(|member| predicate(&member.node)).count()
    }
}

const fn majority(voter_count: usize) -> usize {
    voter_count / 2 + 1
}
