//! A process of the cell: its members, the known owner, and requests of other processes.

mod claims;
mod heartbeats;
#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use kspan_adapter::store::Topic;
use kspan_model::{Millis, Name};
use ntex::client::Client;
use rustc_hash::FxHashMap;

use crate::{
    clock::Clock,
    election::{Election, KnownOwner},
    forward,
    in_flight::InFlight,
    log_limit::LogLimit,
    message::{CallFailure, JobCall, Member, PeerReply, PeerRequest},
    owner::Owner,
    peers::{Peers, RequestError},
    settings::Settings,
    store::StoreClient,
};

pub(crate) use claims::{ClaimRecord, HEARTBEAT_KEY};

/// Timeout of short requests between processes.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of connections to the service that approves runners.
const MAX_APPROVAL_CONNECTIONS: usize = 8;

/// Timeout of a request to the service that approves runners, longer than a call should take.
const APPROVAL_TIMEOUT: Duration = Duration::from_millis(4_000);

/// State of the process that is independent of the owner's role.
pub(crate) struct Node {
    pub(crate) cfg: Settings,
    pub(crate) clock: Clock,
    pub(crate) local: Member,
    pub(crate) peers: Rc<Peers>,
    pub(crate) store: StoreClient,
    pub(crate) log_limit: Rc<LogLimit>,
    pub(crate) stopping: Cell<bool>,
    pub(crate) in_flight: InFlight,
    approvals: Client,
    election: RefCell<Election>,
    members: RefCell<Vec<Member>>,
    owner: RefCell<Option<Rc<Owner>>>,
    /// Highest end offset of each topic that an answer of the store has shown. An answer that shows a
    /// lower one is outdated.
    known_ends: RefCell<FxHashMap<Topic, u64>>,
    /// Fence of the owner that requested a planned takeover.
    planned_takeover: Cell<Option<u64>>,
}

impl Node {
    /// Creates the process's state.
    pub(crate) async fn new(cfg: Settings) -> Rc<Self> {
        let clock = Clock::new();
        let local = Member {
            node: cfg.node.clone(),
            address: cfg.address,
            port: cfg.internal_port,
            life: rand::random(),
            data_centre: cfg.data_centre.clone(),
            power_milli: cfg.processors_milli(),
        };
        let peers = Rc::new(Peers::default());
        let log_limit = Rc::new(LogLimit::default());
        let store = StoreClient::new(
            &cfg.store,
            cfg.data_centre.clone(),
            clock,
            Rc::clone(&log_limit),
            Rc::clone(&peers),
        )
        .await;
        Rc::new(Self {
            clock,
            election: RefCell::new(Election::new(local.clone(), clock.now())),
            members: RefCell::new(vec![local.clone()]),
            local,
            peers,
            store,
            log_limit,
            stopping: Cell::new(false),
            in_flight: InFlight::default(),
            approvals: kspan_adapter::http::client(MAX_APPROVAL_CONNECTIONS).await,
            owner: RefCell::default(),
            known_ends: RefCell::default(),
            planned_takeover: Cell::new(None),
            cfg,
        })
    }

    /// Returns the active owner's role if this process has it.
    pub(crate) fn owner_role(&self) -> Option<Rc<Owner>> {
        self.owner
            .borrow()
            .clone()
            .filter(|owner| owner.is_active())
    }

    /// Returns the newest owner known to this process.
    pub(crate) fn known_owner(&self) -> Option<KnownOwner> {
        self.election.borrow().owner().cloned()
    }

    /// Returns the time since the owner's last heartbeat; zero if this process is the owner.
    pub(crate) fn owner_silence(&self) -> Millis {
        if self.owner_role().is_some() {
            return Millis::ZERO;
        }
        self.election.borrow().silence(self.clock.now())
    }

    /// Returns the members of the cell.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.members.borrow().clone()
    }

    /// Returns the members of the cell without this process.
    pub(crate) fn other_members(&self) -> Vec<Member> {
        let mut others = self.members();
        others.retain(|member| member.node != self.local.node);
        others
    }

    /// Replaces the members of the cell.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        *self.members.borrow_mut() = members;
        self.store.set_members(self.other_members());
    }

    /// Records the end offset of a topic as shown by an answer of the store. Returns whether the
    /// answer is at least as new as all answers before it.
    pub(crate) fn record_end(&self, topic: Topic, end: u64) -> bool {
        let mut known_ends = self.known_ends.borrow_mut();
        let known = known_ends.entry(topic).or_default();
        let is_newest = end >= *known;
        *known = end.max(*known);
        is_newest
    }

    /// Handles a request of another process.
    pub(crate) async fn handle_request(self: &Rc<Self>, req: PeerRequest) -> PeerReply {
        match req {
            PeerRequest::Call(call) => self.handle_call(call).await,
            PeerRequest::RequestApprovals { step, runners } => {
                PeerReply::Approvals(self.request_approvals(step, &runners).await)
            }
            PeerRequest::RelayToStore(req) => {
                let response = self.store.send_for_peer(&req).await;
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
                fence: self.known_owner().map_or(0, |owner| owner.fence),
                silent_ms: self.owner_silence().0,
            },
            PeerRequest::TakeOver(_) if self.stopping.get() => PeerReply::NotOwner,
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
            .known_owner()
            .filter(|owner| owner.member.node != self.local.node);
        let (Some(owner), true) = (known, call.hops_left > 0) else {
            return PeerReply::NotOwner;
        };
        call.hops_left -= 1;
        match forward::forward(&self.peers, &owner.member, call).await {
            Ok(response) => PeerReply::Call(response),
            Err(RequestError::NotSent) => PeerReply::NotOwner,
            Err(RequestError::InDoubt) => PeerReply::InDoubt,
        }
    }

    /// Requests approvals from this host. Returns `None` if the service gives no valid response.
    pub(crate) async fn request_approvals(
        &self,
        step: kspan_jobs::id::StepId,
        runners: &[Name],
    ) -> Option<kspan_adapter::approvals::Approved> {
        let addr = &self.cfg.approvals;
        let approvals = kspan_adapter::approvals::request_approvals(
            &self.approvals,
            addr,
            step,
            runners,
            APPROVAL_TIMEOUT,
        );
        match approvals.await {
            Ok(approved) => Some(approved),
            Err(err) => {
                if self.log_limit.allows("approval", self.clock.now()) {
                    tracing::warn!(%step, runners = runners.len(), %err, "approval request failed");
                }
                None
            }
        }
    }
}
