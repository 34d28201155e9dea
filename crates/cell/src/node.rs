//! A process of the cell: what it knows of the others, and how it comes to own the cell.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use kspan_adapter::{
    http::Result,
    store::{self as log, Append, Page, Topic},
};
use kspan_model::{Millis, Name};
use ntex::client::Client;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::{
    budget::Budget,
    clock::Clock,
    election::{Claims, Election, KnownOwner, Step},
    message::{Ask, Beat, JobCall, Member, Reply, Untaken},
    owner::Owner,
    peers::{self, AskError, Peers},
    program::InFlight,
    settings::Settings,
    store::Store,
};

/// Key of the newest claim.
const CLAIM_KEY: &str = "owner";

/// Key of the owner's sign of life.
pub(crate) const ALIVE_KEY: &str = "alive";

/// Time between looks at whether the owner lives.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time between a member's greetings to the owner.
const HELLO_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time for short questions between processes.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for asking another process to take over.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(300);

/// Silence within which another process counts as hearing the owner.
const HEARD_LATELY_MS: u64 = 700;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Connections that are kept to the service that approves runners.
const APPROVAL_CONNECTIONS: usize = 8;

/// Time for an approval beyond what its call should take.
const APPROVAL_TIMEOUT: Duration = Duration::from_millis(4_000);

/// A claim as it is stored, and the owner's sign of life.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ClaimRecord {
    /// The owner.
    pub(crate) owner: Member,
    /// Processes that it knew.
    pub(crate) members: Vec<Member>,
}

/// A process.
pub(crate) struct Node {
    pub(crate) cfg: Settings,
    pub(crate) clock: Clock,
    pub(crate) me: Member,
    pub(crate) peers: Rc<Peers>,
    pub(crate) store: Store,
    pub(crate) budget: Budget,
    pub(crate) stopping: Cell<bool>,
    pub(crate) in_flight: InFlight,
    approvals: Client,
    election: RefCell<Election>,
    members: RefCell<Vec<Member>>,
    owner: RefCell<Option<Rc<Owner>>>,
    /// Ends of the topic of claims that a planned takeover was asked for at.
    take_over: Cell<Option<u64>>,
}

impl Node {
    /// Creates the process.
    pub(crate) async fn new(cfg: Settings) -> Rc<Self> {
        let clock = Clock::new();
        let me = Member {
            node: cfg.node.clone(),
            address: cfg.address,
            port: cfg.internal_port,
            life: rand::random(),
            data_centre: cfg.data_centre.clone(),
            power_milli: cfg.power_milli(),
        };
        let peers = Rc::new(Peers::default());
        let store = Store::new(&cfg.store, clock, Rc::clone(&peers)).await;
        Rc::new(Self {
            clock,
            election: RefCell::new(Election::new(me.clone(), clock.now())),
            members: RefCell::new(vec![me.clone()]),
            me,
            peers,
            store,
            budget: Budget::default(),
            stopping: Cell::new(false),
            in_flight: InFlight::default(),
            approvals: kspan_adapter::http::client(APPROVAL_CONNECTIONS).await,
            owner: RefCell::default(),
            take_over: Cell::new(None),
            cfg,
        })
    }

    /// Returns the present owner role, where this process has it.
    pub(crate) fn own_role(&self) -> Option<Rc<Owner>> {
        self.owner.borrow().clone().filter(|owner| owner.is_alive())
    }

    /// Returns the owner that this process knows of.
    pub(crate) fn known_owner(&self) -> Option<KnownOwner> {
        self.election.borrow().owner().cloned()
    }

    /// Returns for how long the owner has been silent.
    pub(crate) fn owner_silence(&self) -> Millis {
        if self.own_role().is_some() {
            return Millis::ZERO;
        }
        self.election.borrow().silence(self.clock.now())
    }

    /// Returns the processes of the cell.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.members.borrow().clone()
    }

    /// Returns the other processes of the cell.
    pub(crate) fn others(&self) -> Vec<Member> {
        let mut others = self.members();
        others.retain(|member| member.node != self.me.node);
        others
    }

    /// Replaces the processes of the cell.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        *self.members.borrow_mut() = members;
        self.store.set_members(self.others());
    }

    /// Answers another process.
    pub(crate) async fn answer(self: &Rc<Self>, ask: Ask) -> Reply {
        match ask {
            Ask::Call(call) => self.answer_call(call).await,
            Ask::Advise { step, runners } => Reply::Advise(self.advise(step, &runners).await),
            Ask::Store(req) => {
                let answer = self.store.send_direct(&req, Duration::ZERO).await;
                Reply::Store(
                    answer
                        .ok()
                        .map(|answer| (answer.status, answer.body.to_vec())),
                )
            }
            Ask::Hello(member) => {
                if let Some(owner) = self.own_role() {
                    owner.greeted(member);
                    return Reply::Done;
                }
                Reply::NotOwner
            }
            Ask::Heard => Reply::Heard {
                fence: self.known_owner().map_or(0, |owner| owner.fence),
                silent_ms: self.owner_silence().0,
            },
            Ask::TakeOver(_) if self.stopping.get() => Reply::NotOwner,
            Ask::TakeOver(fence) => {
                self.take_over.set(Some(fence));
                Reply::Done
            }
        }
    }

    async fn answer_call(self: &Rc<Self>, mut call: JobCall) -> Reply {
        if let Some(owner) = self.own_role() {
            return match owner.call(call).await {
                Ok(answer) => Reply::Call(answer),
                Err(Untaken::NotTaken) => Reply::NotOwner,
                Err(Untaken::InDoubt) => Reply::InDoubt,
            };
        }
        let known = self
            .known_owner()
            .filter(|owner| owner.member.node != self.me.node);
        let (Some(owner), true) = (known, call.hops > 0) else {
            return Reply::NotOwner;
        };
        call.hops -= 1;
        let timeout = crate::entry::HOP_TIMEOUT;
        let answer = self
            .peers
            .ask(&owner.member, Ask::Call(call), timeout)
            .await;
        answer.unwrap_or_else(|err| match err {
            AskError::NotSent => Reply::NotOwner,
            AskError::Lost => Reply::InDoubt,
        })
    }

    /// Asks for approvals from this host.
    pub(crate) async fn advise(
        &self,
        step: kspan_jobs::id::StepId,
        runners: &[Name],
    ) -> Option<kspan_adapter::advice::Approved> {
        let addr = &self.cfg.approvals;
        let asked =
            kspan_adapter::advice::ask(&self.approvals, addr, step, runners, APPROVAL_TIMEOUT);
        match asked.await {
            Ok(approved) => Some(approved),
            Err(err) => {
                if self.budget.allows("approval", self.clock.now()) {
                    tracing::warn!(%step, runners = runners.len(), %err, "no approval");
                }
                None
            }
        }
    }

    /// Reads the topic of claims.
    ///
    /// # Errors
    ///
    /// Returns what the failure proves.
    pub(crate) async fn read_claims(&self) -> Result<Claims> {
        let answer = self
            .store
            .send(&log::newest(Topic::Claims, None), Duration::ZERO)
            .await?;
        let page = log::parse_newest(&answer)?;
        Ok(self.parse_claims(&page))
    }

    fn parse_claims(&self, page: &Page) -> Claims {
        let record = |key: &str| {
            let record = page.records.iter().find(|record| record.key == key)?;
            let value = record.value.as_deref()?;
            Some((record.offset, peers::decode::<ClaimRecord>(value)?))
        };
        let claim = record(CLAIM_KEY);
        let known = record(ALIVE_KEY).or_else(|| claim.clone());
        let alone = self.members.borrow().len() <= 1;
        if let Some((_, known)) = known.filter(|_| alone) {
            let mut members = known.members;
            members.retain(|member| member.node != self.me.node);
            members.push(self.me.clone());
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

    /// Watches over the owner for as long as the process runs.
    pub(crate) async fn watch(self: Rc<Self>) {
        loop {
            if self.own_role().is_none() && !self.stopping.get() {
                self.watch_once().await;
            }
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
    }

    async fn watch_once(self: &Rc<Self>) {
        let planned = self.take_over.take();
        let now = self.clock.now();
        let suspect = {
            let election = self.election.borrow();
            let linked = election
                .owner()
                .is_none_or(|owner| self.peers.is_linked(&owner.member));
            election.is_suspect(now, &self.members.borrow(), linked)
        };
        if !suspect && planned.is_none() {
            return;
        }
        let claims = match self.read_claims().await {
            Ok(claims) => claims,
            Err(err) => {
                if self.budget.allows("claims", now) {
                    tracing::warn!(%err, "claims not read");
                }
                return;
            }
        };
        let newest = claims.owner.as_ref().map_or(0, |owner| owner.fence);
        let step = self.election.borrow_mut().read(self.clock.now(), &claims);
        match step {
            Step::Own(fence) => self.own(fence, claims.end).await,
            Step::Claim => self.claim(claims.end, "first").await,
            _ if planned == Some(newest) => self.claim(claims.end, "planned").await,
            Step::AskOthers if !self.others_hear(newest).await => {
                self.claim(claims.end, "owner silent").await;
            }
            Step::AskOthers | Step::Wait => {}
        }
    }

    /// Returns whether another process has heard the owner lately.
    async fn others_hear(&self, fence: u64) -> bool {
        for member in self.others() {
            let owner = self.known_owner();
            if owner.is_some_and(|owner| owner.member.node == member.node) {
                continue;
            }
            let reply = self.peers.ask(&member, Ask::Heard, ASK_TIMEOUT).await;
            if let Ok(Reply::Heard {
                fence: heard,
                silent_ms,
            }) = reply
                && heard >= fence
                && silent_ms < HEARD_LATELY_MS
            {
                tracing::info!(fence, through = %member.node, "owner is heard elsewhere");
                return true;
            }
        }
        false
    }

    async fn claim(self: &Rc<Self>, end: u64, why: &str) {
        let record = ClaimRecord {
            owner: self.me.clone(),
            members: self.members(),
        };
        let req = log::append_at(Topic::Claims, end, CLAIM_KEY, &peers::encode(&record));
        let answer = self.store.send(&req, Duration::ZERO).await;
        match answer.and_then(|answer| log::parse_append(&answer)) {
            Ok(Append::Done { offset }) => {
                tracing::info!(fence = offset + 1, why, "claimed the cell");
                self.own(offset + 1, offset + 1).await;
            }
            Ok(outcome) => tracing::info!(?outcome, why, "claim refused"),
            // The next look at the claims shows whether it took effect.
            Err(err) => tracing::warn!(%err, why, "claim not answered"),
        }
    }

    async fn own(self: &Rc<Self>, fence: u64, end: u64) {
        let owner = Owner::new(Rc::clone(self), fence, end);
        self.election
            .borrow_mut()
            .heard(self.clock.now(), fence, &self.me);
        *self.owner.borrow_mut() = Some(Rc::clone(&owner));
        owner.start().await;
    }

    /// Asks another process to claim the cell in place of the owner with this fence. Returns
    /// whether it will.
    pub(crate) async fn ask_to_take_over(&self, member: &Member, fence: u64) -> bool {
        let ask = Ask::TakeOver(fence);
        let answer = self.peers.ask(member, ask, HAND_OVER_TIMEOUT).await;
        let will = matches!(answer, Ok(Reply::Done));
        tracing::info!(fence, to = %member.node, will, "asked to take over");
        will
    }

    /// Gives up the ownership with this fence.
    pub(crate) fn gave_up(&self, fence: u64) {
        self.election.borrow_mut().gave_up(self.clock.now(), fence);
    }

    /// Reads the owner's signs of life.
    pub(crate) async fn listen(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buf).await else {
                tokio::time::sleep(WATCH_INTERVAL).await;
                continue;
            };
            let Some(beat) = peers::decode::<Beat>(&buf[..length]) else {
                continue;
            };
            self.take_beat(&beat);
        }
    }

    fn take_beat(&self, beat: &Beat) {
        if let Some(own) = self.own_role() {
            if beat.fence > own.fence() {
                own.step_down("another owner was heard");
            } else {
                return;
            }
        }
        let is_new = self
            .election
            .borrow_mut()
            .heard(self.clock.now(), beat.fence, &beat.owner);
        if is_new {
            tracing::info!(fence = beat.fence, owner = %beat.owner.node, "owner known");
        }
        let newest = self.known_owner().map_or(0, |owner| owner.fence);
        let listed = beat.members.as_ref().filter(|_| beat.fence == newest);
        if let Some(members) = listed.filter(|members| **members != *self.members.borrow()) {
            self.set_members(members.clone());
        }
    }

    /// Greets the owner, so that it knows this process.
    pub(crate) async fn greet(self: Rc<Self>) {
        loop {
            let owner = self.known_owner().filter(|_| self.own_role().is_none());
            if let Some(owner) = owner {
                let ask = Ask::Hello(self.me.clone());
                // A greeting that fails breaks the connection, which is what the watch looks at.
                let _ = self.peers.ask(&owner.member, ask, ASK_TIMEOUT).await;
            }
            tokio::time::sleep(HELLO_INTERVAL).await;
        }
    }

    /// Sends a sign of life to all others.
    pub(crate) async fn beat(&self, socket: &UdpSocket, beat: &Beat) {
        let datagram = peers::encode(beat);
        for member in self.others() {
            let to = SocketAddr::from((member.address, member.port));
            // A datagram that isn't sent is as good as one that is lost.
            let _ = socket.send_to(&datagram, to).await;
        }
    }
}
