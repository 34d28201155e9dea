//! Who proposes which view.
//!
//! The live member with the lowest name proposes, so that an ordinary change costs one append.
//! Two that both believe to be the lowest do no harm: the fold accepts one of two views that
//! change the same one.
//!
//! A region that is silent as a whole is not removed, because it may only be cut off: its
//! processes go on owning its workers. Its members are removed once the platform's list has
//! their hosts no more, or when they come back under a later life.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
};

use kspan_model::{Member, Millis, Name, NodeId, Role, View};

use crate::Liveness;

/// Shortest time between two proposals of one process.
pub const PROPOSAL_INTERVAL: Millis = Millis(500);

/// How long joiners are collected before the first proposal that takes them in.
pub const JOIN_BATCH: Millis = Millis(200);

/// How long a member must have been silent before it is removed.
pub const REMOVE_AFTER: Millis = Millis(2_000);

/// How long a joiner is remembered after it was last heard.
const JOINER_TTL: Millis = Millis(2_000);

/// How long a joiner looks for a live member before it proposes a view itself.
pub const JOIN_ALONE_AFTER: Millis = Millis(1_500);

/// Longest wait of a process that finds no view at all, so that one of many that start at once
/// comes first.
pub const BOOTSTRAP_JITTER: Millis = Millis(300);

/// A view to be appended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Number of the view that it changes.
    pub base: u64,
    /// All members, sorted by name.
    pub members: Vec<Member>,
}

/// What a process knows when it proposes.
pub struct ProposalContext<'a> {
    /// The time.
    pub now: Millis,
    /// The view in force.
    pub view: &'a View,
    /// Belief about a member.
    pub liveness: &'a dyn Fn(&NodeId) -> Liveness,
    /// Whether the platform's list has the host of a member.
    pub is_listed: &'a dyn Fn(&Member) -> bool,
}

#[derive(Clone, Debug)]
struct Joiner {
    member: Member,
    first_heard: Millis,
    last_heard: Millis,
}

/// Collects who wants to join and leave, and proposes views.
#[derive(Clone, Debug)]
pub struct Proposer {
    me: Member,
    joiners: BTreeMap<Name, Joiner>,
    leavers: BTreeSet<NodeId>,
    last_proposal: Option<Millis>,
    /// Since when this process is no member and heard from none.
    alone_since: Option<Millis>,
    jitter: Millis,
    leaving: bool,
}

impl Proposer {
    /// Creates the proposer of `me`; `random` spreads out processes that start at once.
    pub fn new(me: Member, random: u64) -> Self {
        Self {
            me,
            joiners: BTreeMap::new(),
            leavers: BTreeSet::new(),
            last_proposal: None,
            alone_since: None,
            jitter: Millis(random % BOOTSTRAP_JITTER.0),
            leaving: false,
        }
    }

    /// Takes in that a process wants to join.
    pub fn record_joiner(&mut self, now: Millis, member: Member) {
        let known = self.joiners.get(&member.node.name);
        let first_heard = match known {
            Some(known) if known.member.node.incarnation > member.node.incarnation => return,
            Some(known) if known.member == member => known.first_heard,
            _ => now,
        };
        let joiner = Joiner {
            member,
            first_heard,
            last_heard: now,
        };
        self.joiners.insert(joiner.member.node.name.clone(), joiner);
    }

    /// Takes in that a member is leaving for good.
    pub fn record_leaver(&mut self, node: NodeId) {
        self.joiners.retain(|_, joiner| joiner.member.node != node);
        self.leavers.insert(node);
    }

    /// Starts this process's own planned leave.
    pub fn start_leave(&mut self) {
        self.leaving = true;
    }

    /// Takes in that a live member answered this process, which is no member yet.
    pub fn record_member_answer(&mut self, now: Millis) {
        self.alone_since = Some(now);
    }

    /// Returns the view that this process should append now, if any.
    pub fn propose(&mut self, at: &ProposalContext<'_>) -> Option<Proposal> {
        let now = at.now;
        self.joiners
            .retain(|_, joiner| now.saturating_sub(joiner.last_heard) <= JOINER_TTL);
        self.leavers.retain(|node| at.view.member(node).is_some());
        let recent = |last: Millis| now.saturating_sub(last) < PROPOSAL_INTERVAL;
        if self.last_proposal.is_some_and(recent) || !self.is_due(at) {
            return None;
        }
        let members = self.next_members(at);
        // The last one to leave stays in the view: an empty one would be none at all.
        if members.is_empty() || members == at.view.members {
            return None;
        }
        self.last_proposal = Some(now);
        Some(Proposal {
            base: at.view.number,
            members,
        })
    }

    fn is_due(&mut self, at: &ProposalContext<'_>) -> bool {
        if at.view.member(&self.me.node).is_none() {
            return !self.leaving && self.is_alone(at);
        }
        self.alone_since = None;
        self.is_lowest(at) && self.has_batch(at)
    }

    /// Returns whether no member answers this process, which wants to join.
    fn is_alone(&mut self, at: &ProposalContext<'_>) -> bool {
        let since = *self.alone_since.get_or_insert(at.now);
        let patience = if at.view.members.is_empty() {
            self.jitter
        } else {
            JOIN_ALONE_AFTER + self.jitter
        };
        at.now.saturating_sub(since) >= patience
    }

    fn is_lowest(&self, at: &ProposalContext<'_>) -> bool {
        let stays = |member: &&Member| {
            member.node == self.me.node
                || ((at.liveness)(&member.node) == Liveness::Alive
                    && !self.leavers.contains(&member.node))
        };
        let lowest = at.view.members.iter().find(stays);
        lowest.is_some_and(|member| member.node == self.me.node)
    }

    /// Returns whether no joiner was heard for the first time so lately that others may follow.
    fn has_batch(&self, at: &ProposalContext<'_>) -> bool {
        let waits = |joiner: &Joiner| at.now.saturating_sub(joiner.first_heard) < JOIN_BATCH;
        let joiners: Vec<_> = self.joiners.values().collect();
        joiners.is_empty() || joiners.iter().any(|joiner| !waits(joiner))
    }

    fn next_members(&self, at: &ProposalContext<'_>) -> Vec<Member> {
        let mut joining: BTreeMap<&Name, &Member> = BTreeMap::new();
        for joiner in self.joiners.values() {
            joining.insert(&joiner.member.node.name, &joiner.member);
        }
        if self.leaving {
            joining.remove(&self.me.node.name);
        } else {
            joining.insert(&self.me.node.name, &self.me);
        }
        let removed = self.removable(at, &joining);
        let mut members: BTreeMap<Name, Member> = BTreeMap::new();
        for member in &at.view.members {
            if !removed.contains(&member.node) {
                members.insert(member.node.name.clone(), member.clone());
            }
        }
        for (name, member) in joining {
            let superseded = |other: &Member| other.node.incarnation > member.node.incarnation;
            if !members.get(name).is_some_and(superseded) {
                members.insert(name.clone(), member.clone());
            }
        }
        members.into_values().collect()
    }

    fn removable(
        &self,
        at: &ProposalContext<'_>,
        joining: &BTreeMap<&Name, &Member>,
    ) -> BTreeSet<NodeId> {
        let mut removed = BTreeSet::new();
        let mut silent = Vec::new();
        for member in &at.view.members {
            let leaves = self.leavers.contains(&member.node)
                || (self.leaving && member.node == self.me.node);
            if leaves || is_replaced(member, joining) {
                removed.insert(member.node.clone());
            } else if self.is_gone(member, at) {
                if (at.is_listed)(member) {
                    silent.push(member);
                } else {
                    removed.insert(member.node.clone());
                }
            }
        }
        silent.retain(|member| !is_region_silent(&member.site.region, at));
        for member in silent {
            if may_remove_silent(member.role, &removed, at.view) {
                removed.insert(member.node.clone());
            }
        }
        removed
    }

    fn is_gone(&self, member: &Member, at: &ProposalContext<'_>) -> bool {
        match (at.liveness)(&member.node) {
            Liveness::Silent { since } => {
                member.node != self.me.node && at.now.saturating_sub(since) >= REMOVE_AFTER
            }
            Liveness::Alive | Liveness::Suspect => false,
        }
    }
}

/// A process that listens at the same address, or a later life, has taken the member's place.
fn is_replaced(member: &Member, joining: &BTreeMap<&Name, &Member>) -> bool {
    joining.values().any(|other| {
        let later =
            other.node.name == member.node.name && other.node.incarnation > member.node.incarnation;
        later || (other.wire == member.wire && other.node.name != member.node.name)
    })
}

/// Returns whether all members of a region with more than one host are silent. A region with a
/// single host is treated alike: its crash can't be told from its being cut off.
fn is_region_silent(region: &Name, at: &ProposalContext<'_>) -> bool {
    let mut members = at
        .view
        .members
        .iter()
        .filter(|member| member.site.region == *region);
    members.all(|member| (at.liveness)(&member.node).is_silent())
}

/// Keeps at least half of the voters of the view, so that the guard's quota of the new view can
/// be met by those that stay.
fn may_remove_silent(role: Role, removed: &BTreeSet<NodeId>, view: &View) -> bool {
    let size = view.with_role(role).count();
    let gone = view
        .with_role(role)
        .filter(|member| removed.contains(&member.node))
        .count();
    gone < size / 2
}

/// Returns the IP number by which the platform's list knows the host of a member.
pub fn host_address(member: &Member) -> IpAddr {
    member.wire.ip()
}
