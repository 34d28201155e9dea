//! State of a process that is independent of the owner's role: the cell's members, the known owner,
//! and connections to other processes and services.

mod claims;
mod heartbeats;
mod topics;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use kspan_adapter::store::Topic;
use kspan_model::Name;
use ntex::client::Client;
use rustc_hash::FxHashMap;

use crate::{
    clock::Clock,
    election::{Election, KnownOwner},
    in_flight::InFlight,
    log_limit::LogLimit,
    message::Member,
    peers::Peers,
    settings::Settings,
    store::StoreClient,
};

pub(crate) use claims::{CLAIM_KEY, ClaimRecord, HEARTBEAT_KEY};

/// Timeout of short requests between processes.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of connections to the service that approves runners.
const MAX_APPROVAL_CONNECTIONS: usize = 8;

/// Timeout of a request to the service that approves runners, longer than a call should take.
const APPROVAL_TIMEOUT: Duration = Duration::from_millis(4_000);

/// State of a process that is independent of the owner's role.
pub(crate) struct Node {
    pub(crate) cfg: Settings,
    pub(crate) clock: Clock,
    pub(crate) local: Member,
    pub(crate) peers: Rc<Peers>,
    pub(crate) store: StoreClient,
    pub(crate) log_limit: Rc<LogLimit>,
    pub(crate) stopping: Cell<bool>,
    pub(crate) in_flight: InFlight,
    /// Requests to the store that are relayed for other processes.
    pub(crate) relayed: InFlight,
    approvals: Client,
    pub(crate) election: RefCell<Election>,
    members: RefCell<Vec<Member>>,
    /// Highest end offset of each topic that an answer of the store has shown. An answer that shows a
    /// lower one is outdated.
    known_ends: RefCell<FxHashMap<Topic, u64>>,
}

impl Node {
    /// Creates the state of a process.
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
            relayed: InFlight::default(),
            approvals: kspan_adapter::http::client(MAX_APPROVAL_CONNECTIONS).await,
            known_ends: RefCell::default(),
            cfg,
        })
    }

    /// Returns the newest owner known to this process.
    pub(crate) fn known_owner(&self) -> Option<KnownOwner> {
        self.election.borrow().owner().cloned()
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
                if self.log_limit.allows("approval failed", self.clock.now()) {
                    tracing::warn!(%step, runners = runners.len(), %err, "approval request failed");
                }
                None
            }
        }
    }
}
