//! The owner's list of the cell's members, kept by their heartbeats.

use kspan_model::Millis;

use super::Owner;
use crate::message::{Heartbeat, Member};

/// Time without a heartbeat after which a member is removed. Longer than a previous owner gives orders
/// without a confirmation, so that none that is not a member does.
const MEMBER_TIMEOUT: Millis = Millis(8_500);

/// Time without a heartbeat after which a member no longer relays requests for approvals.
const APPROVAL_HOST_TIMEOUT: Millis = Millis(2_500);

/// Gap between two heartbeats from which a member counts as interrupted, so that the time for which
/// it has been stable starts anew.
const MAX_STABLE_GAP: Millis = Millis(1_600);

/// One in this many heartbeats lists the members while the list is unchanged.
const HEARTBEATS_PER_LIST: u32 = 4;

/// A member and the times of its heartbeats.
#[derive(Clone, Debug)]
pub(super) struct MemberLiveness {
    pub(super) member: Member,
    /// Time since which the member has sent heartbeats without a long gap.
    stable_since: Millis,
    last_heartbeat: Millis,
}

impl MemberLiveness {
    pub(super) fn new(member: Member, now: Millis) -> Self {
        Self {
            member,
            stable_since: now,
            last_heartbeat: now,
        }
    }

    fn record_heartbeat(&mut self, member: Member, now: Millis) {
        let is_continuous =
            now.saturating_sub(self.last_heartbeat) < MAX_STABLE_GAP && member == self.member;
        if !is_continuous {
            self.stable_since = now;
        }
        self.last_heartbeat = now;
        self.member = member;
    }

    fn silence(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_heartbeat)
    }

    /// Returns whether the member has sent heartbeats without a long gap for at least `time`.
    pub(super) fn is_stable(&self, now: Millis, time: Millis) -> bool {
        self.silence(now) < MAX_STABLE_GAP && now.saturating_sub(self.stable_since) >= time
    }
}

impl Owner {
    /// Records a member's heartbeat, adding the member if it is new.
    pub(crate) fn record_member_heartbeat(&self, member: Member) {
        let now = self.now();
        let mut member_liveness = self.member_liveness.borrow_mut();
        let known = member_liveness
            .iter_mut()
            .find(|known| known.member.node == member.node);
        match known {
            Some(known) => known.record_heartbeat(member, now),
            None => member_liveness.push(MemberLiveness::new(member, now)),
        }
    }

    /// Removes members without recent heartbeats, and updates the members through which the engine
    /// may request approvals.
    pub(super) fn update_members(&self) {
        let now = self.now();
        let mut member_liveness = self.member_liveness.borrow_mut();
        member_liveness.retain(|known| known.silence(now) < MEMBER_TIMEOUT);
        member_liveness.sort_unstable_by(|a, b| a.member.node.cmp(&b.member.node));
        let mut members: Vec<Member> = member_liveness
            .iter()
            .map(|known| known.member.clone())
            .collect();
        members.push(self.node.local.clone());
        let recent = member_liveness
            .iter()
            .filter(|known| known.silence(now) < APPROVAL_HOST_TIMEOUT);
        let mut approval_hosts: Vec<_> = recent.map(|known| known.member.node.clone()).collect();
        approval_hosts.push(self.node.local.node.clone());
        drop(member_liveness);
        if members != self.node.members() {
            self.heartbeats_until_list.set(0);
            self.node.set_members(members);
        }
        self.engine.borrow_mut().set_approval_hosts(&approval_hosts);
    }

    /// Returns the next heartbeat. Only some list the members, because the list is long.
    pub(super) fn next_heartbeat(&self) -> Heartbeat {
        let remaining = self.heartbeats_until_list.get();
        self.heartbeats_until_list
            .set(remaining.checked_sub(1).unwrap_or(HEARTBEATS_PER_LIST - 1));
        Heartbeat {
            fence: self.fence,
            owner: self.node.local.clone(),
            members: (remaining == 0).then(|| self.node.members()),
        }
    }
}
