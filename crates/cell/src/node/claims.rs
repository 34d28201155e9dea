//! Reads the topic of claims, and requests takeovers.

#[cfg(test)]
mod tests;

use std::time::Duration;

use kspan_adapter::{
    http::Result,
    store::{self, Page, Topic},
};
use serde::{Deserialize, Serialize};

use super::{Node, PEER_TIMEOUT};
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

/// A claim or an owner's heartbeat as read from the topic of claims.
#[derive(Clone, Debug)]
struct StoredClaim {
    offset: u64,
    record: ClaimRecord,
    /// Whether the owner ends once neither the store nor a member confirms it.
    ends_when_isolated: bool,
}

impl StoredClaim {
    /// Decodes a record. One of an earlier version has no mark, and its owner doesn't end then.
    fn decode(offset: u64, bytes: &[u8]) -> Option<Self> {
        let (record, rest) = postcard::take_from_bytes(bytes).ok()?;
        let ends_when_isolated = !rest.is_empty() && peers::decode(rest)?;
        Some(Self {
            offset,
            record,
            ends_when_isolated,
        })
    }
}

impl ClaimRecord {
    /// Encodes the record, and that its owner ends once neither the store nor a member confirms it. Earlier versions, which
    /// don't end then, ignore the mark.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = peers::encode(self);
        bytes.extend(peers::encode(&true));
        bytes
    }
}

/// What a process knows of the owner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerStatus {
    /// Fence of the newest known owner, or 0 if none is known. The process itself gives no orders
    /// with a lower fence.
    pub(crate) fence: u64,
    /// Time since the owner's last heartbeat, in milliseconds.
    pub(crate) silent_ms: u64,
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
            StoredClaim::decode(record.offset, value)
        };
        let claim = record(CLAIM_KEY);
        let known = record(HEARTBEAT_KEY).or_else(|| claim.clone());
        let is_only_member = self.members.borrow().len() <= 1;
        let recorded_members = known.map_or_else(Vec::new, |known| known.record.members);
        if is_only_member && !recorded_members.is_empty() {
            let mut members = recorded_members.clone();
            members.retain(|member| member.node != self.local.node);
            members.push(self.local.clone());
            self.set_members(members);
        }
        Claims {
            ends_when_isolated: claim.as_ref().is_some_and(|claim| claim.ends_when_isolated),
            owner: claim.map(|claim| KnownOwner {
                fence: claim.offset.saturating_add(1),
                member: claim.record.owner,
            }),
            members: recorded_members,
            end: page.end,
        }
    }

    /// Returns what another process knows of the owner; `None` if it does not reply.
    pub(crate) async fn owner_status(&self, member: &Member) -> Option<OwnerStatus> {
        let reply = self
            .peers
            .request(member, PeerRequest::OwnerStatus, PEER_TIMEOUT)
            .await;
        match reply {
            Ok(PeerReply::OwnerStatus { fence, silent_ms }) => {
                Some(OwnerStatus { fence, silent_ms })
            }
            Ok(_) | Err(_) => None,
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
