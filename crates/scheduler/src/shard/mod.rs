//! One shard as its owner runs it: from claiming its workers to handing them over.
//!
//! A shard is claimed in steps. Workers are probed first, which changes nothing, until a majority
//! of them can be claimed; so an owner that can reach only a few workers never renews their
//! leases. Then every worker is asked for its lease and its inventory. Nothing that an earlier
//! owner may have started is started again until each worker has answered or its tasks' leases
//! have provably lapsed.
//!
//! Commands change the shard and queries read it in modules apart. The shard sends nothing: it
//! returns exchanges to be carried out and takes their answers.

mod admit;
mod claim;
mod exchange;
mod hosts;
mod plan;
mod quota;
mod report;
mod runners;
mod status;
mod sweep;
mod tasks;

use std::{collections::BTreeMap, sync::Arc};

use kspan_contract::{
    protocol::worker::{Exchange, Report},
    worker::WorkerAddress,
};
use kspan_fold::State;
use kspan_model::{
    Fence, JobEnd, JobId, Millis, Name, Resources, Site, UnixMillis, document::Policy,
};
use kspan_placement::Cell;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{specs::Declared, worker::Worker};

use self::{plan::Surge, runners::RunnerBook};

pub use self::status::{ShardDump, WorkerDump};

/// An exchange to be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeOrder {
    /// Matches the answer.
    pub ticket: Ticket,
    /// The worker.
    pub to: WorkerAddress,
    /// What is sent.
    pub body: Exchange,
}

/// Names one worker in one claim of a shard, so that answers to an earlier claim change nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The shard.
    pub shard: Name,
    /// Token of the claim.
    pub claim: Fence,
    /// The worker.
    pub worker: Name,
}

/// What came of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It was carried out.
    Granted(Report),
    /// It was refused, and nothing was carried out.
    Refused(Report),
    /// No answer came.
    Failed {
        /// Whether the worker may have carried it out.
        ambiguous: bool,
    },
}

/// Whether a shard stays with this owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It stays.
    Keep,
    /// It is dropped and probed anew, for this reason.
    Reclaim(&'static str),
    /// It has been handed over.
    Released,
}

/// How far the claim of a shard has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Workers are probed; nothing is renewed.
    Probing,
    /// Workers are asked for leases and inventories.
    Recovering,
    /// All that runs is known.
    Active,
    /// Leases are being given up.
    Releasing {
        /// Since when.
        since: Millis,
    },
}

/// A job of the shard.
#[derive(Clone, Debug)]
struct JobEntry {
    declared: Declared,
    /// Whether placement knows the job.
    admitted: bool,
    /// Whether no earlier owner can have started it.
    fresh: bool,
    cancelling: bool,
    /// Why it can never run; services only, which are tried again later.
    impossible: Option<Name>,
    /// Why it is not brought to placement although it could run later.
    held_back: Option<Name>,
    /// Not brought to placement before this.
    try_after: Millis,
    /// When its runners are stopped at the latest; set once it is no longer declared.
    retire_at: Option<Millis>,
}

/// One shard and everything that its owner knows about it.
#[derive(Debug)]
pub struct Shard {
    site: Site,
    owner: String,
    claim: Fence,
    fence: Fence,
    phase: Phase,
    claimed: Millis,
    claimed_unix: UnixMillis,
    majority_since: Option<Millis>,
    majority_lost: Option<Millis>,
    cell: Cell,
    workers: BTreeMap<Name, Worker>,
    jobs: BTreeMap<JobId, JobEntry>,
    ends: BTreeMap<JobId, JobEnd>,
    fold: Arc<State>,
    runners: RunnerBook,
    orphans_since: BTreeMap<JobId, Millis>,
    surges: BTreeMap<JobId, Surge>,
    next_sweep: Millis,
    held_elsewhere: BTreeMap<Name, Resources>,
    rng: ChaCha8Rng,
}

impl Shard {
    /// Creates a shard that `owner` begins to claim under `fence`.
    pub fn new(site: Site, owner: String, fence: Fence, now: Millis, unix: UnixMillis) -> Self {
        let seed = fence.view ^ (u64::from(fence.rank) << 32);
        Self {
            runners: RunnerBook::default(),
            site,
            owner,
            claim: fence,
            fence,
            phase: Phase::Probing,
            claimed: now,
            claimed_unix: unix,
            majority_since: None,
            majority_lost: None,
            cell: Cell::new(Policy::default()),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            ends: BTreeMap::new(),
            fold: Arc::default(),
            orphans_since: BTreeMap::new(),
            surges: BTreeMap::new(),
            next_sweep: Millis::ZERO,
            held_elsewhere: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Does everything that is due and returns whether the shard stays. `may_act` tells that
    /// this process's guard vouches for its view.
    pub fn turn(&mut self, now: Millis, unix: UnixMillis, may_act: bool) -> Verdict {
        let verdict = self.advance_claim(now, unix, may_act);
        if verdict != Verdict::Keep {
            return verdict;
        }
        if matches!(self.phase, Phase::Recovering | Phase::Active) && self.has_majority(now) {
            self.lose_lapsed_workers(now, unix);
            self.admit_jobs(now, unix);
            self.plan(now, unix);
        }
        self.runners.refresh(&self.workers, &self.jobs);
        Verdict::Keep
    }
}
