//! All decisions of one scheduler process, without I/O.
//!
//! The core tracks the view, the log, the host list and suspicions of other schedulers, and owns
//! the shards that it may claim. Each turn returns actions to execute: exchanges, messages and log
//! records. Their results are passed back to the core.

mod gossip;
mod ownership;
mod status;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use kspan_contract::protocol::hosts::HostList;
use kspan_fold::State;
use kspan_model::{Fence, JobEnd, Millis, Name, NodeId, UnixMillis, View};
use kspan_wire::message::tasks::{Message, ShardSummary, StatusResult};

use crate::shard::{ExchangeKey, ExchangeRequest, Phase, Reply, Shard, Verdict};

pub use self::status::CoreDump;

/// Minimum interval between two records of ended jobs, so that all owners together stay within the
/// log's append rate.
const MIN_ENDS_INTERVAL: Millis = Millis(500);

/// Maximum ends in one record; each takes about 200 bytes of the log's 256 KiB limit.
const MAX_ENDS_PER_RECORD: usize = 800;

/// An action for the program to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Perform an exchange with a worker.
    Exchange(Box<ExchangeRequest>),
    /// Send a message.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Append ended jobs to the log, and call [`Core::finish_recording_ends`] once the append is
    /// over.
    RecordEnds(Vec<JobEnd>),
    /// Deliver an owner's reply to the caller that waits for it.
    DeliverReply {
        /// Sequence number of the query.
        seq: u64,
        /// The owner's result.
        result: StatusResult,
    },
}

/// The latest summary that an owner sent of its shard.
#[derive(Clone, Debug)]
struct OwnerSummary {
    owner: NodeId,
    summary: ShardSummary,
    received_at: Millis,
}

/// The state machine of one scheduler.
#[derive(Debug)]
pub struct Core {
    local_node: NodeId,
    view: Arc<View>,
    log_state: Arc<State>,
    hosts: Arc<HostList>,
    suspected: BTreeSet<NodeId>,
    shards: BTreeMap<Name, Shard>,
    /// Highest token of each shard that a worker reported or that this process claimed.
    highest_seen: BTreeMap<Name, Fence>,
    /// Last token of each shard that this process claimed; it is never claimed again.
    last_claimed: BTreeMap<Name, Fence>,
    owner_summaries: BTreeMap<Name, OwnerSummary>,
    /// Version of each shard's runner table that was sent to routers.
    announced_versions: BTreeMap<Name, (Fence, u64)>,
    last_turn: Option<Millis>,
    next_gossip: Millis,
    next_ends: Millis,
    recording_ends: bool,
    stopping: bool,
    actions: Vec<Action>,
}

impl Core {
    /// Creates the core of process `local_node`.
    ///
    /// # Examples
    ///
    /// ```
    /// use kspan_model::{Millis, NodeId, UnixMillis};
    /// use kspan_scheduler::core::Core;
    ///
    /// let mut core = Core::new(NodeId::new("entry-1-scheduler", 1));
    /// // Without a view it owns nothing.
    /// assert!(core.run_turn(Millis(0), UnixMillis(0), true).is_empty());
    /// ```
    pub fn new(local_node: NodeId) -> Self {
        Self {
            local_node,
            view: Arc::default(),
            log_state: Arc::default(),
            hosts: Arc::default(),
            suspected: BTreeSet::new(),
            shards: BTreeMap::new(),
            highest_seen: BTreeMap::new(),
            last_claimed: BTreeMap::new(),
            owner_summaries: BTreeMap::new(),
            announced_versions: BTreeMap::new(),
            last_turn: None,
            next_gossip: Millis::ZERO,
            next_ends: Millis::ZERO,
            recording_ends: false,
            stopping: false,
            actions: Vec::new(),
        }
    }

    /// Applies a new view; an older one is ignored.
    pub fn set_view(&mut self, view: Arc<View>) {
        if view.number >= self.view.number {
            self.suspected.retain(|node| view.member(node).is_some());
            self.view = view;
            // Routers that have joined have no runner tables yet, so all are sent again.
            self.announced_versions.clear();
        }
    }

    /// Applies new log state.
    pub fn set_log_state(&mut self, log_state: &Arc<State>, now: Millis, unix: UnixMillis) {
        self.log_state = Arc::clone(log_state);
        for shard in self.shards.values_mut() {
            shard.set_log_state(Arc::clone(log_state), now, unix);
        }
    }

    /// Applies the platform's host list.
    pub fn set_hosts(&mut self, hosts: &Arc<HostList>, now: Millis) {
        self.hosts = Arc::clone(hosts);
        for shard in self.shards.values_mut() {
            shard.set_hosts(&hosts.hosts, now);
        }
    }

    /// Sets whether another process is suspected to have failed.
    pub fn set_suspected(&mut self, node: &NodeId, suspected: bool) {
        if suspected {
            self.suspected.insert(node.clone());
        } else {
            self.suspected.remove(node);
        }
    }

    /// Handles the reply to an exchange. Replies to an earlier claim are ignored.
    pub fn handle_reply(&mut self, key: &ExchangeKey, reply: Reply, now: Millis, unix: UnixMillis) {
        let Some(shard) = self.shards.get_mut(&key.shard) else {
            return;
        };
        if shard.claim_token() != key.claim_token {
            return;
        }
        if let Some(higher) = shard.handle_reply(&key.worker, reply, now, unix) {
            self.drop_superseded_shard(&key.shard, higher);
        }
    }

    /// Records that the append of ended jobs is over. Which of them are recorded is read from the log
    /// state.
    pub fn finish_recording_ends(&mut self, now: Millis) {
        self.recording_ends = false;
        self.next_ends = now + MIN_ENDS_INTERVAL;
    }

    /// Begins a graceful shutdown: every shard is released and no shard is claimed.
    pub fn begin_stop(&mut self, now: Millis) {
        self.stopping = true;
        for shard in self.shards.values_mut() {
            shard.begin_release(now);
        }
    }

    /// Returns whether a graceful shutdown has released every shard.
    pub fn is_stopped(&self) -> bool {
        self.stopping && self.shards.is_empty()
    }

    /// Runs one turn and returns the actions that are due. `may_act` says that this process's guard
    /// confirms its view.
    pub fn run_turn(&mut self, now: Millis, unix: UnixMillis, may_act: bool) -> Vec<Action> {
        self.drop_claims_after_pause(now);
        self.update_ownership(now, unix);
        let verdicts: Vec<(Name, Verdict)> = self
            .shards
            .iter_mut()
            .map(|(name, shard)| (name.clone(), shard.run_turn(now, unix, may_act)))
            .collect();
        for (name, verdict) in verdicts {
            self.apply_verdict(&name, verdict);
        }
        for shard in self.shards.values_mut() {
            let due = shard.due_exchanges(now, unix);
            self.actions.extend(
                due.into_iter()
                    .map(|request| Action::Exchange(Box::new(request))),
            );
        }
        self.announce_runner_tables();
        self.gossip(now);
        self.record_ends(now);
        std::mem::take(&mut self.actions)
    }

    fn record_ends(&mut self, now: Millis) {
        if self.recording_ends || now < self.next_ends {
            return;
        }
        let ends: Vec<JobEnd> = self
            .shards
            .values()
            .filter(|shard| shard.phase() == Phase::Active && shard.has_majority(now))
            .flat_map(Shard::unrecorded_ends)
            .take(MAX_ENDS_PER_RECORD)
            .cloned()
            .collect();
        if !ends.is_empty() {
            self.recording_ends = true;
            self.actions.push(Action::RecordEnds(ends));
        }
    }
}
