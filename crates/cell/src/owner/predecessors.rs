//! Finds out when no process gives orders as a previous owner any more.
//!
//! Failure pattern: runners that do not answer a new owner may still take orders of a previous one that
//! was paused or cut off. Their tasks wait until its last order must have expired. A process that knows
//! the new owner has given up its role, which usually shows much sooner.

#[cfg(test)]
mod tests;

use std::{rc::Rc, time::Duration};

use kspan_model::Millis;

use super::{Owner, isolation::MAX_ISOLATED_TIME};
use crate::{
    attempts::{Attempts, Progress},
    message::Member,
};

/// Longest time for which an owner gives orders that no member confirms any more, by a clock that is 2% slow.
const MAX_FOLLOWING_TIME: Millis = Millis(MAX_ISOLATED_TIME.0 * 102 / 100);

/// Interval at which the members that have not replied are asked again.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

impl Owner {
    /// Asks all members that may have owned the cell until each knows this owner, or until nothing
    /// depends on it any more.
    pub(super) async fn await_predecessors(
        self: Rc<Self>,
        mut members: Vec<Member>,
        ends_when_isolated: bool,
    ) {
        let listed = members.len();
        members.retain(|member| member.node != self.node.local.node);
        while self.is_active.get() && self.engine.borrow().has_unverified_runs() {
            members = self.unaware_members(members).await;
            if members.is_empty() {
                let now = self.now();
                self.engine.borrow_mut().record_previous_owners_ended(now);
                tracing::info!(
                    fence = self.fence,
                    "no previous owner gives orders any more"
                );
                return;
            }
            if ends_when_isolated && is_isolated(members.len(), listed) {
                let latest_order = self.now() + MAX_FOLLOWING_TIME;
                let mut engine = self.engine.borrow_mut();
                engine.record_previous_owners_ended(latest_order);
            }
            tokio::time::sleep(QUERY_INTERVAL).await;
        }
    }

    /// Returns the members that do not reply or do not know this owner yet.
    async fn unaware_members(&self, members: Vec<Member>) -> Vec<Member> {
        let mut queries = Attempts::new();
        for member in members {
            let node = Rc::clone(&self.node);
            let fence = self.fence;
            queries.start(async move {
                let status = node.owner_status(&member).await;
                let knows_owner = status.is_some_and(|status| status.fence >= fence);
                (!knows_owner).then_some(member)
            });
        }
        let mut unaware = Vec::new();
        while queries.count() > 0 {
            let until = tokio::time::Instant::now() + QUERY_INTERVAL;
            if let Progress::Ended(member) = queries.wait(until).await {
                unaware.extend(member);
            }
        }
        unaware
    }
}

/// Returns whether the members that don't know the new owner can't confirm a previous one: there is one alone among the
/// listed ones. An owner without other members needs no confirmation.
fn is_isolated(unaware: usize, listed: usize) -> bool {
    unaware == 1 && listed > 1
}
