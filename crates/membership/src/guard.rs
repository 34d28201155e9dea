//! Whether a process may act on a view that it believes to be in force.
//!
//! A home that was replaced may not know it: it may be paused, or cut off from the log. So a
//! home acts only on fresh evidence that no later view is active, and a home that moved becomes
//! active only after every earlier one has provably run out of evidence.
//!
//! * Evidence is a read of the log's tail sent at most [`GUARD_TIME`] ago, or acknowledgements of
//!   heartbeats sent at most that long ago, by a majority of the view's voters, that they know no
//!   later view. Voters are the members with the same program.
//! * A view becomes active after a majority of its voters and, of every earlier view that may
//!   still be active, at least half of the voters (which every majority meets) know it or can
//!   never acknowledge again; and then another [`GUARD_TIME`] and the drift bound have passed.
//!
//! This module sends nothing: heartbeats carry everything that it needs.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use kspan_model::{Member, Millis, NodeId, Role, View};

use crate::ownership;

/// How long evidence lasts, counted from when it was asked for.
pub const GUARD_TIME: Millis = Millis(2_000);

/// What the guard time may stretch by between two clocks whose rates agree within 1%, with a
/// timer's delay.
pub const GUARD_DRIFT: Millis = Millis(100);

/// Views that are kept while none is known to be active. The oldest is dropped beyond it.
const MAX_VIEWS: usize = 64;

/// What a process may do at one instant. Ask again before each act: it lapses.
#[derive(Clone, Debug, Default)]
pub struct GuardState {
    may_act: bool,
    activated: u64,
    views: Vec<Arc<View>>,
}

impl GuardState {
    /// Creates a state. `views` are the activated view and every later one, in order.
    pub fn new(may_act: bool, activated: u64, views: Vec<Arc<View>>) -> Self {
        Self {
            may_act,
            activated,
            views,
        }
    }

    /// Returns whether the process knows that no higher view's homes act yet.
    pub const fn may_act(&self) -> bool {
        self.may_act
    }

    /// Returns the number of the highest view whose moved homes are active.
    pub const fn activated(&self) -> u64 {
        self.activated
    }

    /// Returns the views that may still have acting homes: the activated one and all later ones.
    pub fn views(&self) -> &[Arc<View>] {
        &self.views
    }

    /// Returns the home of a key when it is the same in every view that may still act, so that
    /// no other home can be active. `None` while the key's home is moving.
    pub fn home_of_key(&self, key: &str, region: Option<&str>) -> Option<&Member> {
        self.settled(|view| ownership::home_of_key(view, key, region))
    }

    /// Returns the member that `choose` names in the newest view, when it names the same one in
    /// every view that may still act.
    pub fn settled(&self, choose: impl Fn(&View) -> Option<&Member>) -> Option<&Member> {
        let newest = choose(self.views.last()?)?;
        let same = |view: &Arc<View>| choose(view).is_some_and(|m| m.node == newest.node);
        self.views.iter().all(same).then_some(newest)
    }
}

/// What another process said about itself in an acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuardReport {
    /// Highest view that it knows.
    pub view: u64,
    /// Highest view that it knows to be active.
    pub activated: u64,
    /// Whether it was paused and does not yet know what it missed.
    pub in_doubt: bool,
}

/// The newest acknowledgement of one voter.
#[derive(Clone, Copy, Debug)]
struct Vote {
    asked: Millis,
    standing: GuardReport,
}

/// The state behind [`GuardState`].
#[derive(Clone, Debug)]
pub struct Guard {
    me: NodeId,
    role: Role,
    activated: u64,
    /// The activated view and later ones, in order of their numbers.
    views: VecDeque<Arc<View>>,
    /// When each of the views got its quota, in the same order.
    quotas: VecDeque<Option<Millis>>,
    votes: BTreeMap<NodeId, Vote>,
    /// Lives that have certainly ended.
    retired: BTreeSet<NodeId>,
    tail_read: Option<Millis>,
    highest_heard: u64,
    last_tick: Millis,
    /// When all voters were last asked.
    asked_voters: Option<Millis>,
    /// When this process found that it had been paused, until it knows what it missed.
    woke: Option<Millis>,
}

impl Guard {
    /// Creates the guard of a process that starts at `now` and knows no view.
    pub fn new(now: Millis, me: NodeId, role: Role) -> Self {
        Self {
            me,
            role,
            activated: 0,
            views: VecDeque::new(),
            quotas: VecDeque::new(),
            votes: BTreeMap::new(),
            retired: BTreeSet::new(),
            tail_read: None,
            highest_heard: 0,
            last_tick: now,
            asked_voters: None,
            woke: None,
        }
    }

    /// Takes in a view that the log has put in force.
    pub fn add_view(&mut self, view: Arc<View>) {
        if self
            .views
            .back()
            .is_some_and(|newest| newest.number >= view.number)
        {
            return;
        }
        for member in &view.members {
            self.retire_earlier_lives(&member.node);
        }
        self.views.push_back(view);
        self.quotas.push_back(None);
        let views = &self.views;
        let is_member = |node: &NodeId| views.iter().any(|view| view.member(node).is_some());
        self.votes.retain(|node, _| is_member(node));
        if self.views.len() > MAX_VIEWS {
            self.views.pop_front();
            self.quotas.pop_front();
        }
    }

    /// A name that came back under a higher life can't have its earlier lives acknowledge again.
    fn retire_earlier_lives(&mut self, node: &NodeId) {
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

    /// Takes in that a life has certainly ended: the platform's list has its host no more.
    pub fn retire(&mut self, node: &NodeId) {
        self.retired.insert(node.clone());
    }

    /// Takes in a read of the log's tail that was asked for at `asked` and applied whole.
    pub fn record_tail_read(&mut self, asked: Millis) {
        self.tail_read = self.tail_read.max(Some(asked));
        // A read that was asked for before a pause proves nothing about the time since.
        if self.woke.is_some_and(|woke| asked >= woke) {
            self.woke = None;
        }
    }

    /// Takes in an acknowledgement of a heartbeat sent at `asked`.
    pub fn record_acknowledgement(&mut self, from: &NodeId, asked: Millis, standing: GuardReport) {
        self.highest_heard = self.highest_heard.max(standing.view);
        self.learn_activated(standing.activated);
        let newer = self.votes.get(from).is_none_or(|vote| vote.asked <= asked);
        if newer {
            let vote = Vote { asked, standing };
            self.votes.insert(from.clone(), vote);
        }
    }

    /// Takes in the passing of time. Call at least four times in a guard time.
    pub fn tick(&mut self, now: Millis) {
        if now.saturating_sub(self.last_tick) > GUARD_TIME {
            self.woke = Some(now);
        }
        self.last_tick = now;
        if self.has_majority(now) {
            self.woke = None;
        }
        self.activate(now);
    }

    /// Returns what this process says about itself at `now`.
    pub fn report(&self, now: Millis) -> GuardReport {
        let paused = now.saturating_sub(self.last_tick) > GUARD_TIME;
        GuardReport {
            view: self.newest(),
            activated: self.activated,
            in_doubt: self.woke.is_some() || paused,
        }
    }

    /// Returns what this process may do at `now`.
    pub fn state(&self, now: Millis) -> GuardState {
        let superseded = self.highest_heard > self.newest();
        let may_act = !superseded && (self.tail_is_fresh(now) || self.has_majority(now));
        let views = self.views.iter().cloned().collect();
        GuardState::new(may_act, self.activated, views)
    }

    /// Returns whether all voters should be asked now, and remembers that they are: a view waits
    /// to become active, or the log's tail has not been read for half of the guard time.
    pub fn start_vote_if_due(&mut self, now: Millis) -> bool {
        let half = Millis(GUARD_TIME.0 / 2);
        let is_old = |at: Millis| now.saturating_sub(at) >= half;
        let is_stale = self.tail_read.is_none_or(is_old);
        let wanted = is_stale || self.activated < self.newest();
        if !wanted || !self.asked_voters.is_none_or(is_old) {
            return false;
        }
        self.asked_voters = Some(now);
        true
    }

    /// Returns the members whose acknowledgements count for the views that may still act.
    pub fn voters(&self) -> BTreeSet<&NodeId> {
        let members = self.views.iter().flat_map(|view| view.with_role(self.role));
        members
            .map(|member| &member.node)
            .filter(|node| **node != self.me && !self.retired.contains(node))
            .collect()
    }

    fn newest(&self) -> u64 {
        self.views.back().map_or(0, |view| view.number)
    }

    fn tail_is_fresh(&self, now: Millis) -> bool {
        let fresh = |asked: Millis| now.saturating_sub(asked) <= GUARD_TIME;
        self.tail_read.is_some_and(fresh)
    }

    /// Returns whether a majority of the newest view's voters, this process among them, said
    /// within the guard time that they know no later view.
    fn has_majority(&self, now: Millis) -> bool {
        let Some(view) = self.views.back() else {
            return false;
        };
        let supports = |node: &NodeId| {
            *node == self.me
                || self.votes.get(node).is_some_and(|vote| {
                    now.saturating_sub(vote.asked) <= GUARD_TIME
                        && vote.standing.view <= view.number
                        && !vote.standing.in_doubt
                })
        };
        self.count(view, supports) >= majority(self.size(view))
    }

    fn learn_activated(&mut self, activated: u64) {
        self.activated = self.activated.max(activated);
        while self
            .views
            .front()
            .is_some_and(|view| view.number < self.activated)
            && self.views.len() > 1
        {
            self.views.pop_front();
            self.quotas.pop_front();
        }
    }

    /// Activates the highest view that got its quota long enough ago.
    fn activate(&mut self, now: Millis) {
        let settled = GUARD_TIME + GUARD_DRIFT;
        let mut highest = None;
        for i in 0..self.views.len() {
            if self.quotas[i].is_none() && self.has_quota(i) {
                self.quotas[i] = Some(now);
            }
            if self.quotas[i].is_some_and(|at| now.saturating_sub(at) > settled) {
                highest = Some(self.views[i].number);
            }
        }
        if let Some(number) = highest {
            self.learn_activated(number);
        }
    }

    /// Returns whether a majority of the `i`th view's voters know it, and enough voters of every
    /// earlier view that may still be active can never again say that they know no later one.
    fn has_quota(&self, i: usize) -> bool {
        let view = &self.views[i];
        let knows = |node: &NodeId| self.knows(node, view.number);
        let mut earlier = self.views.iter().take(i);
        self.count(view, knows) >= majority(self.size(view))
            && earlier.all(|view| {
                let lost = |node: &NodeId| {
                    self.retired.contains(node) || self.knows(node, view.number + 1)
                };
                self.count(view, lost) >= self.size(view).div_ceil(2)
            })
    }

    /// Returns whether a voter knows a view of that number or a higher one.
    fn knows(&self, node: &NodeId, number: u64) -> bool {
        if *node == self.me {
            return self.newest() >= number;
        }
        let vote = self.votes.get(node);
        vote.is_some_and(|vote| vote.standing.view >= number)
    }

    fn size(&self, view: &View) -> usize {
        view.with_role(self.role).count()
    }

    fn count(&self, view: &View, holds: impl Fn(&NodeId) -> bool) -> usize {
        let voters = view.with_role(self.role);
        voters.filter(|member| holds(&member.node)).count()
    }
}

const fn majority(size: usize) -> usize {
    size / 2 + 1
}
