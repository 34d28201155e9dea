//! Ends the authority of an owner that reaches neither the store nor another member.
//!
//! Failure pattern: the owner's host is lost for good. The next owner can't tell it from one that is cut off and goes on
//! giving orders, and waits for as long as that may do so without a confirmation of the store. An owner therefore goes on
//! for that long only if a member confirms that it knows no newer one. Once the next owner has told all members of itself
//! but the silent one, no member does.
//!
//! Only those members confirm that are in each list which the store may have as the newest one: the next owner asks the
//! members of that list. One that has restarted since doesn't confirm, as it may have forgotten the next owner.

#[cfg(test)]
mod tests;

use std::{rc::Rc, time::Duration};

use kspan_model::Millis;
use rand::seq::SliceRandom as _;

use super::Owner;
use crate::{
    attempts::{Attempts, Progress},
    clock::ClockReading,
    message::{Member, PeerReply, PeerRequest},
    node::PEER_TIMEOUT,
};

/// Maximum time for which an owner sends orders that neither the store nor a member confirms.
pub(super) const MAX_ISOLATED_TIME: Millis = Millis(3_000);

/// Time without a confirmation of the store after which members are asked.
const MIN_UNCONFIRMED_TIME: Millis = Millis(1_000);

/// Interval at which members are asked.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of members that are asked at a time.
const MAX_QUERIED_MEMBERS: usize = 5;

/// Members that may confirm the ownership, and the time at which one has.
#[derive(Clone, Debug, Default)]
pub(super) struct Witnesses {
    members: Vec<Member>,
    /// Whether no list names any other member, so that there is none to ask.
    is_alone: bool,
    /// Clock reading at which the latest query was sent that a member confirmed.
    confirmed: Option<ClockReading>,
}

impl Witnesses {
    /// Records that the store may have a list of members from now on.
    pub(super) fn record_sent(&mut self, others: &[Member]) {
        self.members.retain(|member| others.contains(member));
        self.is_alone &= others.is_empty();
    }

    /// Records that the store has a list of members as the newest one.
    pub(super) fn record_stored(&mut self, others: Vec<Member>) {
        self.is_alone = others.is_empty();
        self.members = others;
    }

    /// Returns whether the owner may go on without the store.
    pub(super) fn support(&self, now: &ClockReading) -> bool {
        let is_recent = |confirmed: &ClockReading| now.since(confirmed) < MAX_ISOLATED_TIME;
        self.is_alone || self.confirmed.as_ref().is_some_and(is_recent)
    }
}

impl Owner {
    /// Asks members to confirm the ownership while the store doesn't, until the role ends.
    pub(super) async fn ask_witnesses(self: Rc<Self>) {
        while self.is_active.get() {
            if self.time_since_confirmed() >= MIN_UNCONFIRMED_TIME {
                self.ask_some_witnesses().await;
            }
            tokio::time::sleep(QUERY_INTERVAL).await;
        }
    }

    async fn ask_some_witnesses(&self) {
        let mut members = self.witnesses.borrow().members.clone();
        let (asked, _) = members.partial_shuffle(&mut rand::rng(), MAX_QUERIED_MEMBERS);
        let sent = self.node.clock.reading();
        let mut queries = Attempts::new();
        for member in asked.iter().cloned() {
            let (node, fence) = (Rc::clone(&self.node), self.fence);
            queries.start(async move {
                let life = member.life;
                let req = PeerRequest::ConfirmOwner { fence, life };
                let reply = node.peers.request(&member, req, PEER_TIMEOUT).await;
                matches!(reply, Ok(PeerReply::Accepted))
            });
        }
        let deadline = tokio::time::Instant::now() + PEER_TIMEOUT;
        while let Progress::Ended(is_confirmed) = queries.wait(deadline).await {
            if is_confirmed {
                self.witnesses.borrow_mut().confirmed = Some(sent);
                return;
            }
        }
    }
}
