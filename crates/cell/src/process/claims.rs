//! Monitors the owner, and claims the cell if the owner has failed or hands it over.

#[cfg(test)]
mod tests;

use std::{rc::Rc, time::Duration};

use kspan_adapter::store::{self, AppendOutcome, Page, Topic};
use rand::seq::SliceRandom as _;
use tokio::time::Instant;

use super::Process;
use crate::{
    attempts::{Attempts, Progress},
    election::{Claims, Step, Suspicion},
    message::Member,
    node::{CLAIM_KEY, ClaimRecord, Node},
    owner::{Owner, Takeover},
};

/// Interval at which a process checks whether the owner is alive.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a query whether other processes receive the owner's heartbeats, including the time for
/// opening connections.
const QUERY_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of processes without the owner's heartbeats from which the answers of further ones are awaited
/// only briefly. Many may be lost together with the owner.
const SUFFICIENT_ANSWERS: usize = 4;

/// Time for which further answers are awaited then, since the start of the query.
const MIN_QUERY_TIME: Duration = Duration::from_millis(150);

/// Maximum number of processes that are queried whether they receive the owner's heartbeats.
const MAX_QUERIED_MEMBERS: usize = 8;

/// Maximum time since the owner's last heartbeat that another process may report and still count as
/// receiving the owner's heartbeats.
const MAX_REPORTED_SILENCE_MS: u64 = 700;

impl Process {
    /// Monitors the owner until the process exits, and claims the cell if the owner has failed or
    /// hands it over.
    pub(crate) async fn monitor_owner(self: Rc<Self>) {
        loop {
            if self.owner_role().is_none() && !self.node.stopping.get() {
                self.check_owner().await;
            }
            tokio::time::sleep(OWNER_CHECK_INTERVAL).await;
        }
    }

    async fn check_owner(self: &Rc<Self>) {
        let planned = self.planned_takeover.take();
        let now = self.node.clock.now();
        let suspicion = {
            let election = self.node.election.borrow();
            let is_connected = election
                .owner()
                .is_none_or(|owner| self.node.peers.is_connected(&owner.member));
            election.suspicion(now, &self.node.members(), is_connected)
        };
        if suspicion == Suspicion::None && planned.is_none() {
            return;
        }
        // The owner that requested the takeover goes on meanwhile, so that the cell is without an owner
        // for less time.
        let read_ahead = match planned {
            Some(_) => self.node.read_all(Topic::Jobs).await,
            None => None,
        };
        let claims = match self.node.read_claims().await {
            Ok(claims) => claims,
            Err(err) => {
                if self.node.log_limit.allows("claims", now) {
                    tracing::warn!(%err, "topic of claims could not be read");
                }
                return;
            }
        };
        let newest = claims.owner.as_ref().map_or(0, |owner| owner.fence);
        let step = self.node.election.borrow_mut().evaluate_claims(
            self.node.clock.now(),
            &claims,
            suspicion,
        );
        match step {
            Step::AlreadyOwner(fence) => {
                let takeover = Takeover::new(&claims, read_ahead);
                self.become_owner(fence, claims.end, takeover).await;
            }
            Step::Claim => self.claim(&claims, read_ahead, "first").await,
            // Several processes may have been requested to take over from the same owner. The newest
            // claim is no longer that owner's after one of them has claimed, and the store accepts
            // only one of their claims if they read the same end of the topic.
            _ if planned == Some(newest) => self.claim(&claims, read_ahead, "planned").await,
            Step::QueryOthers if !self.others_receive_heartbeats(newest).await => {
                self.claim(&claims, read_ahead, "owner silent").await;
            }
            Step::QueryOthers | Step::Wait => {}
        }
    }

    /// Returns whether one of some other processes has received a recent heartbeat of the owner with
    /// this fence or a higher one. All are queried at once, because many may be unreachable.
    async fn others_receive_heartbeats(&self, fence: u64) -> bool {
        let owner = self.node.known_owner().map(|owner| owner.member.node);
        let mut others = self.node.other_members();
        others.retain(|member| owner.as_ref() != Some(&member.node));
        let (queried, _) = others.partial_shuffle(&mut rand::rng(), MAX_QUERIED_MEMBERS);
        let mut queries = Attempts::new();
        for member in queried.iter().cloned() {
            let node = Rc::clone(&self.node);
            queries.start(async move {
                let receives = receives_heartbeats(&node, &member, fence).await;
                (receives, member.node)
            });
        }
        let started_at = Instant::now();
        let mut deadline = started_at + QUERY_TIMEOUT;
        let mut silent_for_others = 0;
        while let Progress::Ended((receives, through)) = queries.wait(deadline).await {
            if receives == Some(true) {
                tracing::info!(fence, %through, "another process receives the owner's heartbeats; cell not claimed");
                return true;
            }
            silent_for_others += usize::from(receives == Some(false));
            if silent_for_others >= SUFFICIENT_ANSWERS {
                deadline = started_at + MIN_QUERY_TIME;
            }
        }
        false
    }

    async fn claim(self: &Rc<Self>, claims: &Claims, read_ahead: Option<Page>, why: &str) {
        // The shutdown may have begun while the claims were read or other processes queried.
        if self.node.stopping.get() {
            return;
        }
        let record = ClaimRecord {
            owner: self.node.local.clone(),
            members: self.node.members(),
        };
        let req = store::conditional_append_request(
            Topic::Claims,
            claims.end,
            CLAIM_KEY,
            &record.encode(),
        );
        let response = self.node.store.send(&req).await;
        match response.and_then(|response| store::parse_append(&response)) {
            Ok(AppendOutcome::Done { offset }) => {
                let fence = offset.saturating_add(1);
                tracing::info!(fence, why, "claimed the cell");
                let takeover = Takeover::new(claims, read_ahead);
                self.become_owner(fence, fence, takeover).await;
            }
            Ok(outcome) => tracing::info!(?outcome, why, "claim refused by the store"),
            // The next read of the claims shows whether the append took effect.
            Err(err) => tracing::warn!(%err, why, "claim in doubt: the store did not answer"),
        }
    }

    async fn become_owner(self: &Rc<Self>, fence: u64, end: u64, takeover: Takeover) {
        let owner = Owner::new(Rc::clone(&self.node), fence, end);
        self.node.election.borrow_mut().record_heartbeat(
            self.node.clock.now(),
            fence,
            &self.node.local,
        );
        *self.owner.borrow_mut() = Some(Rc::clone(&owner));
        owner.start(takeover).await;
    }
}

/// Returns whether a process has received a recent heartbeat of the owner with this fence or a higher
/// one; `None` if the process does not answer.
async fn receives_heartbeats(node: &Node, member: &Member, fence: u64) -> Option<bool> {
    let status = node.owner_status(member).await?;
    Some(status.fence >= fence && status.silent_ms < MAX_REPORTED_SILENCE_MS)
}
