//! Hands the cell to a much stronger host.
//!
//! Answers a weak host that came to own the cell because it started first, or because the strong
//! ones were away. The owner works on until the other has claimed; it only asks.

use std::{rc::Rc, time::Duration};

use kspan_model::Millis;

use super::Owner;
use crate::{message::Member, precedence};

/// Time between two looks for a stronger host.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// How long a stronger host must have greeted without a pause, so that the cell doesn't come back.
const STEADY: Millis = Millis(2_000);

impl Owner {
    /// Asks stronger hosts to take over until the role ends.
    pub(super) async fn prefer_stronger(self: Rc<Self>) {
        while self.alive.get() {
            tokio::time::sleep(INTERVAL).await;
            let successor = self.stronger().filter(|_| self.alive.get());
            if let Some(successor) = successor {
                self.node.ask_to_take_over(&successor, self.fence).await;
            }
        }
    }

    /// Returns the first of the much stronger hosts that have greeted steadily.
    fn stronger(&self) -> Option<Member> {
        let (me, now) = (&self.node.me, self.now());
        let steady: Vec<Member> = self
            .greetings
            .borrow()
            .iter()
            .filter(|greeting| greeting.is_steady(now, STEADY))
            .map(|greeting| greeting.member.clone())
            .collect();
        precedence::successors(&me.node, self.fence, &steady)
            .into_iter()
            .find(|member| precedence::is_much_stronger(member, me))
    }
}
