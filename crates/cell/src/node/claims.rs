//! Reads the topic of claims, and requests takeovers.

use std::time::Duration;

use kspan_adapter::{
    http::Result,
    store::{self, Page, Topic},
};
use serde::{Deserialize, Serialize};

use super::Node;
use crate::{
    election::{Claims, KnownOwner},
    message::{Member, PeerReply, PeerRequest},
    peers,
};

/// Key of the newest claim in the topic of claims.
pub(crate) const CLAIM_KEY: &str = "owner";

/// Key of the owner's heartbeat in the topic of claims.
pub(crate) const HEARTBEAT_KEY: &str = "alive";

/// Timeout of a request to take over the cell.
const TAKEOVER_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Value of a claim and of an owner's heartbeat in the topic of claims.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ClaimRecord {
    /// The owner.
    pub(crate) owner: Member,
    /// Members that the owner knew.
    pub(crate) members: Vec<Member>,
}

impl Node {
    /// Reads the topic of claims.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no valid response.
    pub(crate) async fn read_claims(&self) -> Result<Claims> {
        let response = self
            .store
            .send(&store::newest_request(Topic::Claims, None))
            .await?;
        let page = store::parse_newest(&response)?;
        Ok(self.parse_claims(&page))
    }

    fn parse_claims(&self, page: &Page) -> Claims {
        let record = |key: &str| {
            let record = page.records.iter().find(|record| record.key == key)?;
            let value = record.value.as_deref()?;
            Some((record.offset, peers::decode::<ClaimRecord>(value)?))
        };
        let claim = record(CLAIM_KEY);
        let known = record(HEARTBEAT_KEY).or_else(|| claim.clone());
        let is_only_member = self.members.borrow().len() <= 1;
        if let Some((_, known)) = known.filter(|_| is_only_member) {
            let mut members = known.members;
            members.retain(|member| member.node != self.local.node);
            members.push(self.local.clone());
            self.set_members(members);
        }
        Claims {
            owner: claim.map(|(offset, claim)| KnownOwner {
                fence: offset.saturating_add(1),
                member: claim.owner,
            }),
            end: page.end,
        }
    }

    /// Requests another process to claim the cell from the owner with this fence. Returns whether
    /// it accepted.
    pub(crate) async fn request_takeover(&self, member: &Member, fence: u64) -> bool {
        let req = PeerRequest::TakeOver(fence);
        let reply = self
            .peers
            .request(member, req, TAKEOVER_REQUEST_TIMEOUT)
            .await;
        let will = matches!(reply, Ok(PeerReply::Accepted));
        tracing::info!(fence, to = %member.node, will, "takeover requested");
        will
    }

    /// Records that this process released its ownership with this fence.
    pub(crate) fn record_release(&self, fence: u64) {
        self.election
            .borrow_mut()
            .record_release(self.clock.now(), fence);
    }
}
