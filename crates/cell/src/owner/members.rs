//! The processes of the cell, as their greetings show them to the owner.

use kspan_model::Millis;

use super::Owner;
use crate::message::{Beat, Member};

/// How long a member that does not greet is kept.
const MEMBER_SILENCE: Millis = Millis(6_000);

/// How long a member that does not greet is asked for help.
const HELPER_SILENCE: Millis = Millis(2_500);

/// Pause between greetings after which a member has to prove anew that it is steady.
const STEADY_PAUSE: Millis = Millis(1_600);

/// Beats of which one lists the members, where they are the same as before.
const BEATS_PER_LIST: u32 = 4;

/// What the owner knows of a member.
#[derive(Clone, Debug)]
pub(super) struct Greeting {
    pub(super) member: Member,
    /// Since when it has greeted without a long pause.
    since: Millis,
    last: Millis,
}

impl Greeting {
    pub(super) fn new(member: Member, now: Millis) -> Self {
        Self {
            member,
            since: now,
            last: now,
        }
    }

    fn greet(&mut self, member: Member, now: Millis) {
        let went_on = now.saturating_sub(self.last) < STEADY_PAUSE && member == self.member;
        if !went_on {
            self.since = now;
        }
        self.last = now;
        self.member = member;
    }

    fn silence(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last)
    }

    /// Returns whether the member has greeted without a long pause for a time.
    pub(super) fn is_steady(&self, now: Millis, time: Millis) -> bool {
        self.silence(now) < STEADY_PAUSE && now.saturating_sub(self.since) >= time
    }
}

impl Owner {
    /// Takes in a member's greeting.
    pub(crate) fn greeted(&self, member: Member) {
        let now = self.now();
        let mut greetings = self.greetings.borrow_mut();
        let known = greetings
            .iter_mut()
            .find(|known| known.member.node == member.node);
        match known {
            Some(known) => known.greet(member, now),
            None => greetings.push(Greeting::new(member, now)),
        }
    }

    /// Drops members that are silent, and tells the engine who can help.
    pub(super) fn review_members(&self) {
        let now = self.now();
        let mut greetings = self.greetings.borrow_mut();
        greetings.retain(|greeting| greeting.silence(now) < MEMBER_SILENCE);
        greetings.sort_unstable_by(|a, b| a.member.node.cmp(&b.member.node));
        let mut members: Vec<Member> = greetings.iter().map(|known| known.member.clone()).collect();
        members.push(self.node.me.clone());
        let lately = greetings
            .iter()
            .filter(|greeting| greeting.silence(now) < HELPER_SILENCE);
        let mut helpers: Vec<_> = lately.map(|known| known.member.node.clone()).collect();
        helpers.push(self.node.me.node.clone());
        drop(greetings);
        if members != self.node.members() {
            self.beats_to_list.set(0);
            self.node.set_members(members);
        }
        self.engine.borrow_mut().set_approval_hosts(&helpers);
    }

    /// Returns the next sign of life. Only some list the members, as the list is long.
    pub(super) fn next_beat(&self) -> Beat {
        let to_list = self.beats_to_list.get();
        self.beats_to_list
            .set(to_list.checked_sub(1).unwrap_or(BEATS_PER_LIST - 1));
        Beat {
            fence: self.fence,
            owner: self.node.me.clone(),
            members: (to_list == 0).then(|| self.node.members()),
        }
    }
}
