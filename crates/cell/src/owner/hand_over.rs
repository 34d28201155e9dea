//! Handover of the cell to a much stronger host, or away from an overloaded one.
//!
//! A weak host may own the cell because it started first or because the strong hosts were
//! unavailable. The owner only requests the takeover, and keeps its role until the other process
//! has claimed the cell.

use std::{rc::Rc, time::Duration};

use kspan_model::Millis;

use super::Owner;
use crate::{message::Member, precedence};

/// Interval at which the owner looks for a stronger host.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time for which a stronger host must have sent heartbeats without a long gap. It keeps the cell
/// from moving back and forth.
const MIN_STABLE_TIME: Millis = Millis(2_000);

impl Owner {
    /// Requests stronger hosts to take over, until the role ends.
    pub(super) async fn hand_over_to_stronger(self: Rc<Self>) {
        while self.is_active.get() {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let successor = self.find_stronger_member().filter(|_| self.is_active.get());
            if let Some(successor) = successor {
                self.node.request_takeover(&successor, self.fence).await;
            }
        }
    }

    /// Requests another host to take over, because this one has too little processor time.
    pub(super) async fn hand_over_overloaded(self: Rc<Self>, timer_delay: Millis) {
        let local = &self.node.local;
        let successor = self.find_successor(|member| member.power_milli >= local.power_milli);
        let (fence, timer_delay_ms) = (self.fence, timer_delay.0);
        let Some(successor) = successor else {
            tracing::warn!(
                fence,
                timer_delay_ms,
                "timers are late; no other host can take over"
            );
            return;
        };
        let to = &successor.node;
        tracing::warn!(fence, timer_delay_ms, %to, "timers are late; requesting another host to take over");
        self.node.request_takeover(&successor, self.fence).await;
    }

    /// Returns the first stable member, in the order of successors, whose host is much stronger.
    fn find_stronger_member(&self) -> Option<Member> {
        let local = &self.node.local;
        self.find_successor(|member| precedence::is_much_stronger(member, local))
    }

    /// Returns the first stable member, in the order of successors, that meets a condition.
    fn find_successor(&self, is_suitable: impl Fn(&Member) -> bool) -> Option<Member> {
        let (local, now) = (&self.node.local, self.now());
        let stable_members: Vec<Member> = self
            .member_liveness
            .borrow()
            .iter()
            .filter(|known| known.is_stable(now, MIN_STABLE_TIME))
            .map(|known| known.member.clone())
            .collect();
        precedence::successors(&local.node, self.fence, &stable_members)
            .into_iter()
            .find(is_suitable)
    }
}
