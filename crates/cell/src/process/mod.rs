//! A process of the cell: handles requests of other processes, follows the owner, and takes the
//! owner's role.

mod claims;
mod heartbeats;
#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use kspan_model::Millis;

use crate::{
    forward,
    message::{CallFailure, JobCall, PeerReply, PeerRequest},
    node::Node,
    owner::Owner,
    peers::RequestError,
    settings::Settings,
};

/// Maximum number of requests to the store that are relayed for other processes at the same time.
/// Each may take a connection to the store. An owner that needs a relay sends a few at a time.
const MAX_RELAYED: usize = 32;

/// A process of the cell, with the owner's role if it has it.
pub(crate) struct Process {
    pub(crate) node: Rc<Node>,
    owner: RefCell<Option<Rc<Owner>>>,
    /// Fence of the owner that requested a planned takeover.
    planned_takeover: Cell<Option<u64>>,
}

impl Process {
    /// Creates a process without the owner's role.
    pub(crate) async fn new(cfg: Settings) -> Rc<Self> {
        Rc::new(Self {
            node: Node::new(cfg).await,
            owner: RefCell::default(),
            planned_takeover: Cell::new(None),
        })
    }

    /// Creates a process from its state.
    #[cfg(test)]
    pub(crate) fn with_node(node: Rc<Node>) -> Rc<Self> {
        Rc::new(Self {
            node,
            owner: RefCell::default(),
            planned_takeover: Cell::new(None),
        })
    }

    /// Returns the active owner's role if this process has it.
    pub(crate) fn owner_role(&self) -> Option<Rc<Owner>> {
        self.owner
            .borrow()
            .clone()
            .filter(|owner| owner.is_active())
    }

    /// Returns the time since the owner's last heartbeat; zero if this process is the owner.
    pub(crate) fn owner_silence(&self) -> Millis {
        if self.owner_role().is_some() {
            return Millis::ZERO;
        }
        self.node.election.borrow().silence(self.node.clock.now())
    }

    /// Handles a request of another process.
    pub(crate) async fn handle_request(self: &Rc<Self>, req: PeerRequest) -> PeerReply {
        match req {
            PeerRequest::Call(call) => self.handle_call(call).await,
            PeerRequest::RequestApprovals { step, runners } => {
                PeerReply::Approvals(self.node.request_approvals(step, &runners).await)
            }
            PeerRequest::RelayToStore(_) if self.node.relayed.count() >= MAX_RELAYED => {
                PeerReply::StoreResponse(None)
            }
            PeerRequest::RelayToStore(req) => {
                let _relayed = self.node.relayed.enter();
                let response = self.node.store.send_for_peer(&req).await;
                PeerReply::StoreResponse(
                    response.map(|response| (response.status, response.body.to_vec())),
                )
            }
            PeerRequest::MemberHeartbeat(member) => {
                if let Some(owner) = self.owner_role() {
                    owner.record_member_heartbeat(member);
                    return PeerReply::Accepted;
                }
                PeerReply::NotOwner
            }
            PeerRequest::OwnerStatus => PeerReply::OwnerStatus {
                fence: self.node.known_owner().map_or(0, |owner| owner.fence),
                silent_ms: self.owner_silence().0,
            },
            PeerRequest::ConfirmOwner { fence, life } => {
                let known = self.node.known_owner().map(|owner| owner.fence);
                if life == self.node.local.life && known == Some(fence) {
                    PeerReply::Accepted
                } else {
                    PeerReply::NotOwner
                }
            }
            PeerRequest::TakeOver(_) if self.node.stopping.get() => PeerReply::NotOwner,
            PeerRequest::TakeOver(fence) => {
                self.planned_takeover.set(Some(fence));
                PeerReply::Accepted
            }
        }
    }

    async fn handle_call(self: &Rc<Self>, mut call: JobCall) -> PeerReply {
        if let Some(owner) = self.owner_role() {
            return match owner.call(call).await {
                Ok(response) => PeerReply::Call(response),
                Err(CallFailure::NotExecuted) => PeerReply::NotOwner,
                Err(CallFailure::InDoubt) => PeerReply::InDoubt,
            };
        }
        let known = self
            .node
            .known_owner()
            .filter(|owner| owner.member.node != self.node.local.node);
        let (Some(owner), true) = (known, call.hops_left > 0) else {
            return PeerReply::NotOwner;
        };
        call.hops_left -= 1;
        match forward::forward(&self.node.peers, &owner.member, call).await {
            Ok(response) => PeerReply::Call(response),
            Err(RequestError::NotSent) => PeerReply::NotOwner,
            Err(RequestError::InDoubt) => PeerReply::InDoubt,
        }
    }
}
