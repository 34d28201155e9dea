//! Every decision of one scheduler process, without I/O.
//!
//! The core follows the view, the log, the host list and the belief about other schedulers, and
//! owns those shards that are its turn. Each turn returns what is to be done: exchanges, messages
//! and records. What comes of them is told back.

mod gossip;
mod ownership;
mod status;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use kspan_contract::border::hosts::HostList;
use kspan_fold::State;
use kspan_model::{Fence, JobEnd, Millis, Name, NodeId, UnixMillis, View};
use kspan_wire::message::tasks::{Knows, Message, ShardSummary};

use crate::shard::{ExchangeKey, ExchangeRequest, Phase, Reply, Shard, Verdict};

pub use self::status::CoreDump;

/// Shortest time between two records of ended jobs, so that owners stay within the log's rate.
const ENDS_PERIOD: Millis = Millis(500);

/// Most ends in one record; each takes about 200 bytes of the log's 256 KiB.
const MAX_ENDS: usize = 800;

/// Something that the program is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Exchange with a worker.
    Exchange(Box<ExchangeRequest>),
    /// Send a message.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Record ended jobs, and tell what came of it with [`Core::ends_recorded`].
    RecordEnds(Vec<JobEnd>),
    /// Hand an answer to whoever asked.
    DeliverAnswer {
        /// Number of the question.
        seq: u64,
        /// What the owner knows.
        knows: Knows,
    },
}

/// What another owner said last about its shard.
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
    /// Highest token of each shard that a worker told or that this process claimed.
    highest_seen: BTreeMap<Name, Fence>,
    /// Last token of each shard that this process claimed; it is never claimed twice.
    last_claimed: BTreeMap<Name, Fence>,
    owner_summaries: BTreeMap<Name, OwnerSummary>,
    /// Version of each shard's runner table that routers were told.
    announced_versions: BTreeMap<Name, (Fence, u64)>,
    last_turn: Option<Millis>,
    next_gossip: Millis,
    next_ends: Millis,
    recording_ends: bool,
    stopping: bool,
    actions: Vec<Action>,
}

impl Core {
    /// Creates the core of process `me`.
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

    /// Takes in a new view.
    pub fn set_view(&mut self, view: Arc<View>) {
        if view.number >= self.view.number {
            self.suspected.retain(|node| view.member(node).is_some());
            self.view = view;
            // Routers that have joined know no table yet.
            self.announced_versions.clear();
        }
    }

    /// Takes in what is in force.
    pub fn set_log_state(&mut self, log_state: &Arc<State>, now: Millis, unix: UnixMillis) {
        self.log_state = Arc::clone(log_state);
        for shard in self.shards.values_mut() {
            shard.set_log_state(Arc::clone(log_state), now, unix);
        }
    }

    /// Takes in the platform's host list.
    pub fn set_hosts(&mut self, hosts: &Arc<HostList>, now: Millis) {
        self.hosts = Arc::clone(hosts);
        for shard in self.shards.values_mut() {
            shard.set_hosts(&hosts.hosts, now);
        }
    }

    /// Takes in the belief about another process.
    pub fn set_suspected(&mut self, node: &NodeId, suspected: bool) {
        if suspected {
            self.suspected.insert(node.clone());
        } else {
            self.suspected.remove(node);
        }
    }

    /// Takes in what came of an exchange. Answers to an earlier claim change nothing.
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

    /// Takes in what came of a record of ended jobs. The fold tells which of them are in force.
    pub fn finish_recording_ends(&mut self, now: Millis) {
        self.recording_ends = false;
        self.next_ends = now + ENDS_PERIOD;
    }

    /// Begins a planned stop: every shard is handed over, and none is claimed any more.
    pub fn begin_stop(&mut self, now: Millis) {
        self.stopping = true;
        for shard in self.shards.values_mut() {
            shard.begin_release(now);
        }
    }

    /// Returns whether a planned stop has handed everything over.
    pub fn is_stopped(&self) -> bool {
        self.stopping && self.shards.is_empty()
    }

    /// Does everything that is due. `may_act` tells that this process's guard vouches for its
    /// view.
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
            .take(MAX_ENDS)
            .cloned()
            .collect();
        if !ends.is_empty() {
            self.recording_ends = true;
            self.actions.push(Action::RecordEnds(ends));
        }
    }
}
