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

use kspan_contract::protocol::hosts::HostList;
use kspan_fold::State;
use kspan_model::{Fence, JobEnd, Millis, Name, NodeId, UnixMillis, View};
use kspan_wire::message::tasks::{Message, ShardSummary, StatusResult};

use crate::shard::{ExchangeOrder, Phase, Reply, Shard, Ticket, Verdict};

pub use self::status::CoreDump;

/// Shortest time between two records of ended jobs, so that owners stay within the log's rate.
const ENDS_PERIOD: Millis = Millis(500);

/// Most ends in one record; each takes about 200 bytes of the log's 256 KiB.
const MAX_ENDS: usize = 800;

/// Something that the program is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Exchange with a worker.
    Exchange(Box<ExchangeOrder>),
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
    Answered {
        /// Number of the question.
        seq: u64,
        /// What the owner knows.
        knows: StatusResult,
    },
}

/// What another owner said last about its shard.
#[derive(Clone, Debug)]
struct Heard {
    from: NodeId,
    summary: ShardSummary,
    at: Millis,
}

/// The state machine of one scheduler.
#[derive(Debug)]
pub struct Core {
    me: NodeId,
    view: Arc<View>,
    fold: Arc<State>,
    hosts: Arc<HostList>,
    silent: BTreeSet<NodeId>,
    shards: BTreeMap<Name, Shard>,
    /// Highest token of each shard that a worker told or that this process claimed.
    seen: BTreeMap<Name, Fence>,
    /// Last token of each shard that this process claimed; it is never claimed twice.
    claimed: BTreeMap<Name, Fence>,
    heard: BTreeMap<Name, Heard>,
    /// Version of each shard's runner table that routers were told.
    told: BTreeMap<Name, (Fence, u64)>,
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
    /// assert!(core.turn(Millis(0), UnixMillis(0), true).is_empty());
    /// ```
    pub fn new(me: NodeId) -> Self {
        Self {
            me,
            view: Arc::default(),
            fold: Arc::default(),
            hosts: Arc::default(),
            silent: BTreeSet::new(),
            shards: BTreeMap::new(),
            seen: BTreeMap::new(),
            claimed: BTreeMap::new(),
            heard: BTreeMap::new(),
            told: BTreeMap::new(),
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
            self.silent.retain(|node| view.member(node).is_some());
            self.view = view;
            // Routers that have joined know no table yet.
            self.told.clear();
        }
    }

    /// Takes in what is in force.
    pub fn set_fold(&mut self, fold: &Arc<State>, now: Millis, unix: UnixMillis) {
        self.fold = Arc::clone(fold);
        for shard in self.shards.values_mut() {
            shard.set_fold(Arc::clone(fold), now, unix);
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
    pub fn set_silent(&mut self, node: &NodeId, silent: bool) {
        if silent {
            self.silent.insert(node.clone());
        } else {
            self.silent.remove(node);
        }
    }

    /// Takes in what came of an exchange. Answers to an earlier claim change nothing.
    pub fn answered(&mut self, ticket: &Ticket, reply: Reply, now: Millis, unix: UnixMillis) {
        let Some(shard) = self.shards.get_mut(&ticket.shard) else {
            return;
        };
        if shard.claim_token() != ticket.claim {
            return;
        }
        if let Some(higher) = shard.answered(&ticket.worker, reply, now, unix) {
            self.drop_superseded(&ticket.shard, higher);
        }
    }

    /// Takes in what came of a record of ended jobs. The fold tells which of them are in force.
    pub fn ends_recorded(&mut self, now: Millis) {
        self.recording_ends = false;
        self.next_ends = now + ENDS_PERIOD;
    }

    /// Begins a planned stop: every shard is handed over, and none is claimed any more.
    pub fn stop(&mut self, now: Millis) {
        self.stopping = true;
        for shard in self.shards.values_mut() {
            shard.release(now);
        }
    }

    /// Returns whether a planned stop has handed everything over.
    pub fn is_stopped(&self) -> bool {
        self.stopping && self.shards.is_empty()
    }

    /// Does everything that is due. `may_act` tells that this process's guard vouches for its
    /// view.
    pub fn turn(&mut self, now: Millis, unix: UnixMillis, may_act: bool) -> Vec<Action> {
        self.notice_pause(now);
        self.follow_ownership(now, unix);
        let verdicts: Vec<(Name, Verdict)> = self
            .shards
            .iter_mut()
            .map(|(name, shard)| (name.clone(), shard.turn(now, unix, may_act)))
            .collect();
        for (name, verdict) in verdicts {
            self.carry_out(&name, verdict);
        }
        for shard in self.shards.values_mut() {
            let due = shard.due_exchanges(now, unix);
            self.actions.extend(
                due.into_iter()
                    .map(|order| Action::Exchange(Box::new(order))),
            );
        }
        self.tell_runners();
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
