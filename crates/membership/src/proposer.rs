//! Decides when this process proposes a new view, and with which members.
//!
//! The live member with the lowest name proposes, so that an ordinary change takes one append to
//! the log. Concurrent proposals by two members are safe: the fold accepts only one of two views
//! with the same base.
//!
//! A region that is silent as a whole is not removed, because it may only be partitioned from
//! this process: its own processes still own its workers. Its members are removed once the
//! platform's list no longer contains their hosts, or when they rejoin under a later incarnation.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
};

use kspan_model::{Member, Millis, Name, NodeId, Role, View};

use crate::Liveness;

/// Minimum time between two proposals of one process.
pub const MIN_PROPOSAL_INTERVAL: Millis = Millis(500);

/// How long joiners are collected before a proposal adds them.
pub const JOIN_BATCH_WINDOW: Millis = Millis(200);

/// How long a member must be silent before it is removed.
pub const REMOVAL_DELAY: Millis = Millis(2_000);

/// How long a joiner is remembered after its last join request.
const JOINER_TTL: Millis = Millis(2_000);

/// How long a joiner waits for a reply of a live member before it proposes a view itself.
pub const JOIN_REPLY_TIMEOUT: Millis = Millis(1_500);

/// Upper bound of the random delay before a process that knows no view proposes one, so that
/// processes that start together do not all propose at once.
pub const MAX_BOOTSTRAP_JITTER: Millis = Millis(300);

/// A view to append to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Number of the view that the proposal changes.
    pub base: u64,
    /// All members, sorted by name.
    pub members: Vec<Member>,
}

/// The state on which a proposal is based.
pub struct ProposalContext<'a> {
    /// The current time.
    pub now: Millis,
    /// The view in force.
    pub view: &'a View,
    /// Returns the liveness of a member.
    pub liveness: &'a dyn Fn(&NodeId) -> Liveness,
    /// Returns whether the platform's list contains the host of a member.
    pub is_listed: &'a dyn Fn(&Member) -> bool,
}

#[derive(Clone, Debug)]
struct Joiner {
    member: Member,
    first_heard: Millis,
    last_heard: Millis,
}

/// Collects join and leave requests and proposes views.
#[derive(Clone, Debug)]
pub struct Proposer {
    me: Member,
    joiners: BTreeMap<Name, Joiner>,
    leavers: BTreeSet<NodeId>,
    last_proposal: Option<Millis>,
    /// Since when this process, while not a member, has had no reply from a live member.
    unanswered_since: Option<Millis>,
    jitter: Millis,
    leaving: bool,
}

impl Proposer {
    /// Creates the proposer of `me`. `random` determines the bootstrap delay.
    pub fn new(me: Member, random: u64) -> Self {
        Self {
            me,
            joiners: BTreeMap::new(),
            leavers: BTreeSet::new(),
            last_proposal: None,
            unanswered_since: None,
            jitter: Millis(random % MAX_BOOTSTRAP_JITTER.0),
            leaving: false,
        }
    }

    /// Records a join request. A request by an earlier incarnation than the known one is ignored.
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

    /// Records that a member is leaving permanently.
    pub fn record_leaver(&mut self, node: NodeId) {
        self.joiners.retain(|_, joiner| joiner.member.node != node);
        self.leavers.insert(node);
    }

    /// Starts the graceful leave of this process.
    pub fn start_leave(&mut self) {
        self.leaving = true;
    }

    /// Records that a live member replied to this process, which is not a member yet.
    pub fn record_member_answer(&mut self, now: Millis) {
        self.unanswered_since = Some(now);
    }

    /// Returns the view that this process is to append now, if any.
    pub fn propose(&mut self, ctx: &ProposalContext<'_>) -> Option<Proposal> {
        let now = ctx.now;
        self.joiners
            .retain(|_, joiner| now.saturating_sub(joiner.last_heard) <= JOINER_TTL);
        self.leavers.retain(|node| ctx.view.member(node).is_some());
        let recent = |last: Millis| now.saturating_sub(last) < MIN_PROPOSAL_INTERVAL;
        if self.last_proposal.is_some_and(recent) || !self.is_due(ctx) {
            return None;
        }
        let members = self.next_members(ctx);
        // The last member stays in the view, because an empty view is equivalent to no view.
        if members.is_empty() || members == ctx.view.members {
            return None;
        }
        self.last_proposal = Some(now);
        Some(Proposal {
            base: ctx.view.number,
            members,
        })
    }

    fn is_due(&mut self, ctx: &ProposalContext<'_>) -> bool {
        if ctx.view.member(&self.me.node).is_none() {
            return !self.leaving && self.is_unanswered(ctx);
        }
        self.unanswered_since = None;
        self.is_proposer(ctx) && self.is_batch_complete(ctx)
    }

    /// Returns whether no live member has replied to this joining process within its timeout.
    fn is_unanswered(&mut self, ctx: &ProposalContext<'_>) -> bool {
        let since = *self.unanswered_since.get_or_insert(ctx.now);
        let timeout = if ctx.view.members.is_empty() {
            self.jitter
        } else {
            JOIN_REPLY_TIMEOUT + self.jitter
        };
        ctx.now.saturating_sub(since) >= timeout
    }

    fn is_proposer(&self, ctx: &ProposalContext<'_>) -> bool {
        let is_candidate = |member: &&Member| {
            member.node == self.me.node
                || ((ctx.liveness)(&member.node) == Liveness::Alive
                    && !self.leavers.contains(&member.node))
        };
        let proposer = ctx.view.members.iter().find(is_candidate);
        proposer.is_some_and(|member| member.node == self.me.node)
    }

    /// Returns whether there are no joiners, or one has waited for the whole batch window.
    fn is_batch_complete(&self, ctx: &ProposalContext<'_>) -> bool {
        let is_recent =
            |joiner: &Joiner| ctx.now.saturating_sub(joiner.first_heard) < JOIN_BATCH_WINDOW;
        let joiners: Vec<_> = self.joiners.values().collect();
        joiners.is_empty() || joiners.iter().any(|joiner| !is_recent(joiner))
    }

    fn next_members(&self, ctx: &ProposalContext<'_>) -> Vec<Member> {
        let mut joining: BTreeMap<&Name, &Member> = BTreeMap::new();
        for joiner in self.joiners.values() {
            joining.insert(&joiner.member.node.name, &joiner.member);
        }
        if self.leaving {
            joining.remove(&self.me.node.name);
        } else {
            joining.insert(&self.me.node.name, &self.me);
        }
        let removed = self.members_to_remove(ctx, &joining);
        let mut members: BTreeMap<Name, Member> = BTreeMap::new();
        for member in &ctx.view.members {
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

    fn members_to_remove(
        &self,
        ctx: &ProposalContext<'_>,
        joining: &BTreeMap<&Name, &Member>,
    ) -> BTreeSet<NodeId> {
        let mut removed = BTreeSet::new();
        let mut silent = Vec::new();
        for member in &ctx.view.members {
            let is_leaving = self.leavers.contains(&member.node)
                || (self.leaving && member.node == self.me.node);
            if is_leaving || is_superseded(member, joining) {
                removed.insert(member.node.clone());
            } else if self.is_silent_too_long(member, ctx) {
                if (ctx.is_listed)(member) {
                    silent.push(member);
                } else {
                    removed.insert(member.node.clone());
                }
            }
        }
        silent.retain(|member| !is_region_silent(&member.site.region, ctx));
        for member in silent {
            if may_remove_silent(member.role, &removed, ctx.view) {
                removed.insert(member.node.clone());
            }
        }
        removed
    }

    fn is_silent_too_long(&self, member: &Member, ctx: &ProposalContext<'_>) -> bool {
        match (ctx.liveness)(&member.node) {
            Liveness::Silent { since } => {
                member.node != self.me.node && ctx.now.saturating_sub(since) >= REMOVAL_DELAY
            }
            Liveness::Alive | Liveness::Suspect => false,
        }
    }
}

/// Returns whether a joiner supersedes `member`: a later incarnation of it, or a process of
/// another name at the same address.
fn is_superseded(member: &Member, joining: &BTreeMap<&Name, &Member>) -> bool {
    joining.values().any(|other| {
        let later =
            other.node.name == member.node.name && other.node.incarnation > member.node.incarnation;
        later || (other.wire == member.wire && other.node.name != member.node.name)
    })
}

/// Returns whether all members of a region are silent. This holds for a region with a single host
/// too, because the crash of that host cannot be distinguished from a partition.
fn is_region_silent(region: &Name, ctx: &ProposalContext<'_>) -> bool {
    let mut members = ctx
        .view
        .members
        .iter()
        .filter(|member| member.site.region == *region);
    members.all(|member| (ctx.liveness)(&member.node).is_silent())
}

/// Returns whether one more silent member of `role` may be removed. At least half of the voters
/// of the view stay, so that they can form the guard's quorum for the new view.
fn may_remove_silent(role: Role, removed: &BTreeSet<NodeId>, view: &View) -> bool {
    let size = view.with_role(role).count();
    let removed_count = view
        .with_role(role)
        .filter(|member| removed.contains(&member.node))
        .count();
    removed_count < size / 2
}

/// Returns the IP address that identifies the host of a member in the platform's list.
pub fn host_address(member: &Member) -> IpAddr {
    member.wire.ip()
}
