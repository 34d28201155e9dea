//! A process of the cell: its members, the election of the owner, and requests of other processes.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use kspan_adapter::{
    http::Result,
    store::{self, AppendOutcome, Page, Topic},
};
use kspan_model::{Millis, Name};
use ntex::client::Client;
use rand::seq::SliceRandom as _;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::Instant};

use crate::{
    attempts::{Attempts, Progress},
    clock::Clock,
    election::{Claims, Election, KnownOwner, Step},
    forward,
    log_limit::LogLimit,
    message::{CallFailure, Heartbeat, JobCall, Member, PeerReply, PeerRequest},
    owner::Owner,
    peers::{self, Peers, RequestError},
    program::InFlight,
    settings::Settings,
    store::StoreClient,
};

/// Key of the newest claim in the topic of claims.
const CLAIM_KEY: &str = "owner";

/// Key of the owner's heartbeat in the topic of claims.
pub(crate) const HEARTBEAT_KEY: &str = "alive";

/// Interval at which a process checks whether the owner is alive.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of a member's heartbeats to the owner.
const MEMBER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout of short requests between processes.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a query whether other processes receive the owner's heartbeats, including the time for
/// opening connections.
const QUERY_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum number of processes that are queried whether they receive the owner's heartbeats.
const MAX_QUERIED_MEMBERS: usize = 8;

/// Timeout of a request to take over the cell.
const TAKEOVER_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time since the owner's last heartbeat that another process may report and still count as
/// receiving the owner's heartbeats.
const MAX_REPORTED_SILENCE_MS: u64 = 700;

/// Maximum size of a datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Maximum number of connections to the service that approves runners.
const MAX_APPROVAL_CONNECTIONS: usize = 8;

/// Timeout of a request to the service that approves runners, longer than a call should take.
const APPROVAL_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Value of a claim and of an owner's heartbeat in the topic of claims.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ClaimRecord {
    /// The owner.
    pub(crate) owner: Member,
    /// Members that the owner knew.
    pub(crate) members: Vec<Member>,
}

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
                fence: offset + 1,
                member: claim.owner,
            }),
            end: page.end,
        }
    }

    /// Monitors the owner until the process exits, and claims the cell if the owner has failed or
    /// hands it over.
    pub(crate) async fn monitor_owner(self: Rc<Self>) {
        loop {
            if self.owner_role().is_none() && !self.stopping.get() {
                self.check_owner().await;
            }
            tokio::time::sleep(OWNER_CHECK_INTERVAL).await;
        }
    }

    async fn check_owner(self: &Rc<Self>) {
        let planned = self.planned_takeover.take();
        let now = self.clock.now();
        let is_suspected = {
            let election = self.election.borrow();
            let is_connected = election
                .owner()
                .is_none_or(|owner| self.peers.is_connected(&owner.member));
            election.is_owner_suspected(now, &self.members.borrow(), is_connected)
        };
        if !is_suspected && planned.is_none() {
            return;
        }
        let claims = match self.read_claims().await {
            Ok(claims) => claims,
            Err(err) => {
                if self.log_limit.allows("claims", now) {
                    tracing::warn!(%err, "topic of claims could not be read");
                }
                return;
            }
        };
        let newest = claims.owner.as_ref().map_or(0, |owner| owner.fence);
        let step = self
            .election
            .borrow_mut()
            .evaluate_claims(self.clock.now(), &claims);
        match step {
            Step::AlreadyOwner(fence) => self.become_owner(fence, claims.end).await,
            Step::Claim => self.claim(claims.end, "first").await,
            _ if planned == Some(newest) => self.claim(claims.end, "planned").await,
            Step::QueryOthers if !self.others_receive_heartbeats(newest).await => {
                self.claim(claims.end, "owner silent").await;
            }
            Step::QueryOthers | Step::Wait => {}
        }
    }

    /// Returns whether one of some other processes has received a recent heartbeat of the owner with
    /// this fence or a higher one. All are queried at once, because many may be unreachable.
    async fn others_receive_heartbeats(&self, fence: u64) -> bool {
        let owner = self.known_owner().map(|owner| owner.member.node);
        let mut others = self.other_members();
        others.retain(|member| owner.as_ref() != Some(&member.node));
        let (queried, _) = others.partial_shuffle(&mut rand::rng(), MAX_QUERIED_MEMBERS);
        let mut queries = Attempts::new();
        for member in queried.iter().cloned() {
            let peers = Rc::clone(&self.peers);
            queries.start(async move {
                let receives = receives_heartbeats(&peers, &member, fence).await;
                receives.then_some(member.node)
            });
        }
        let deadline = Instant::now() + QUERY_TIMEOUT;
        while let Progress::Ended(receiver) = queries.wait(deadline).await {
            if let Some(through) = receiver {
                tracing::info!(fence, %through, "another process receives the owner's heartbeats; cell not claimed");
                return true;
            }
        }
        false
    }

    async fn claim(self: &Rc<Self>, end: u64, why: &str) {
        let record = ClaimRecord {
            owner: self.local.clone(),
            members: self.members(),
        };
        let req = store::conditional_append_request(
            Topic::Claims,
            end,
            CLAIM_KEY,
            &peers::encode(&record),
        );
        let response = self.store.send(&req).await;
        match response.and_then(|response| store::parse_append(&response)) {
            Ok(AppendOutcome::Done { offset }) => {
                tracing::info!(fence = offset + 1, why, "claimed the cell");
                self.become_owner(offset + 1, offset + 1).await;
            }
            Ok(outcome) => tracing::info!(?outcome, why, "claim refused by the store"),
            // The next read of the claims shows whether the append took effect.
            Err(err) => tracing::warn!(%err, why, "claim in doubt: the store did not answer"),
        }
    }

    async fn become_owner(self: &Rc<Self>, fence: u64, end: u64) {
        let owner = Owner::new(Rc::clone(self), fence, end);
        self.election
            .borrow_mut()
            .record_heartbeat(self.clock.now(), fence, &self.local);
        *self.owner.borrow_mut() = Some(Rc::clone(&owner));
        owner.start().await;
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

    /// Receives the owner's heartbeats until the process exits.
    pub(crate) async fn receive_heartbeats(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buf).await else {
                tokio::time::sleep(OWNER_CHECK_INTERVAL).await;
                continue;
            };
            let Some(heartbeat) = peers::decode::<Heartbeat>(&buf[..length]) else {
                continue;
            };
            self.handle_heartbeat(&heartbeat);
        }
    }

    fn handle_heartbeat(&self, heartbeat: &Heartbeat) {
        if let Some(role) = self.owner_role() {
            if heartbeat.fence > role.fence() {
                role.step_down("heartbeat of a newer owner received");
            } else {
                return;
            }
        }
        let is_new = self.election.borrow_mut().record_heartbeat(
            self.clock.now(),
            heartbeat.fence,
            &heartbeat.owner,
        );
        if is_new {
            tracing::info!(fence = heartbeat.fence, owner = %heartbeat.owner.node, "new owner known from its heartbeat");
        }
        let newest = self.known_owner().map_or(0, |owner| owner.fence);
        let listed = heartbeat
            .members
            .as_ref()
            .filter(|_| heartbeat.fence == newest);
        if let Some(members) = listed.filter(|members| **members != *self.members.borrow()) {
            self.set_members(members.clone());
        }
    }

    /// Sends heartbeats to the owner, which keep this process in the list of members.
    pub(crate) async fn send_member_heartbeats(self: Rc<Self>) {
        loop {
            let owner = self.known_owner().filter(|_| self.owner_role().is_none());
            if let Some(owner) = owner {
                let req = PeerRequest::MemberHeartbeat(self.local.clone());
                // A failure closes the connection, which the owner's monitor checks.
                let _ = self.peers.request(&owner.member, req, PEER_TIMEOUT).await;
            }
            tokio::time::sleep(MEMBER_HEARTBEAT_INTERVAL).await;
        }
    }

    /// Sends the owner's heartbeat to all other processes.
    pub(crate) async fn send_heartbeat(&self, socket: &UdpSocket, heartbeat: &Heartbeat) {
        let datagram = peers::encode(heartbeat);
        for member in self.other_members() {
            let to = SocketAddr::from((member.address, member.port));
            // A heartbeat that cannot be sent is equivalent to a lost datagram.
            let _ = socket.send_to(&datagram, to).await;
        }
    }
}

/// Returns whether a process has received a recent heartbeat of the owner with this fence or a higher
/// one.
async fn receives_heartbeats(peers: &Peers, member: &Member, fence: u64) -> bool {
    let status = peers
        .request(member, PeerRequest::OwnerStatus, PEER_TIMEOUT)
        .await;
    let Ok(PeerReply::OwnerStatus {
        fence: known_fence,
        silent_ms,
    }) = status
    else {
        return false;
    };
    known_fence >= fence && silent_ms < MAX_REPORTED_SILENCE_MS
}
