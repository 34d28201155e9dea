//! One shard as its owner runs it, from claiming its workers to releasing them.
//!
//! A shard is claimed in steps. First its workers are probed, which changes nothing, until a
//! majority can be claimed; an owner that reaches only a few workers therefore never renews their
//! leases. Then every worker is asked for its leases and its inventory. Tasks that a previous owner
//! may have started are not started again until each worker has replied or its task leases have
//! certainly expired.
//!
//! Methods that change the shard and methods that only read it are in separate modules. The shard
//! performs no I/O: it returns exchanges to send and handles their replies.

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

use crate::{specs::DeclaredJob, worker::Worker};

use self::{plan::Surge, runners::VersionedRunnerTable};

pub use self::status::{ShardDump, WorkerDump};

/// An exchange to be sent to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeRequest {
    /// Identifies the reply.
    pub key: ExchangeKey,
    /// The worker.
    pub to: WorkerAddress,
    /// Body of the exchange.
    pub body: Exchange,
}

/// Identifies one worker in one claim of a shard, so that replies to an earlier claim can be
/// ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeKey {
    /// The shard.
    pub shard: Name,
    /// Token of the claim.
    pub claim_token: Fence,
    /// The worker.
    pub worker: Name,
}

/// Outcome of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The worker granted the exchange and executed its commands.
    Granted(Report),
    /// The worker refused the exchange and executed nothing.
    Refused(Report),
    /// No reply arrived.
    Failed {
        /// Whether the worker may have executed it.
        in_doubt: bool,
    },
}

/// Whether this owner keeps a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The owner keeps it.
    Keep,
    /// The claim is dropped and the shard is probed again, for this reason.
    Reclaim(&'static str),
    /// The shard has been released.
    Released,
}

/// Progress of a shard's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Workers are probed; no leases are renewed.
    Probing,
    /// Leases and inventories are requested from the workers.
    Recovering,
    /// Every task that may be running is known.
    Active,
    /// Leases are being released.
    Releasing {
        /// When the release began.
        since: Millis,
    },
}

/// A job of the shard.
#[derive(Clone, Debug)]
struct JobEntry {
    declared: DeclaredJob,
    /// Whether the job was submitted to placement.
    admitted: bool,
    /// Whether no previous owner can have started any of its tasks.
    known_unstarted: bool,
    cancelling: bool,
    /// Why placement rejected a service; its admission is retried later, because workers may join.
    impossible: Option<Name>,
    /// Why its admission is delayed by its team's usage in other shards.
    quota_block: Option<Name>,
    /// Earliest time of the next admission attempt.
    retry_at: Millis,
    /// Latest time at which its runners are stopped; set once it is no longer declared.
    stop_by: Option<Millis>,
}

/// One shard with all state that its owner keeps of it.
#[derive(Debug)]
pub struct Shard {
    site: Site,
    owner: String,
    /// Token with which the claim began.
    claim_token: Fence,
    /// Current token; differs from `claim_token` once a newer view is in force.
    fence: Fence,
    phase: Phase,
    claimed_at: Millis,
    claimed_at_unix: UnixMillis,
    /// When a majority of the workers first granted the claim.
    majority_since: Option<Millis>,
    /// Since when the majority has been missing; `None` while it is held or before recovery begins.
    majority_lost_at: Option<Millis>,
    cell: Cell,
    workers: BTreeMap<Name, Worker>,
    jobs: BTreeMap<JobId, JobEntry>,
    /// Ends of jobs that the log has not recorded yet.
    unrecorded_ends: BTreeMap<JobId, JobEnd>,
    log_state: Arc<State>,
    runners: VersionedRunnerTable,
    /// Since when workers have reported tasks of jobs that are not known.
    unknown_since: BTreeMap<JobId, Millis>,
    surges: BTreeMap<JobId, Surge>,
    next_sweep: Millis,
    /// Resources that each team uses in other shards.
    usage_elsewhere: BTreeMap<Name, Resources>,
    rng: ChaCha8Rng,
}

impl Shard {
    /// Creates a shard that `owner` begins to claim with `fence`.
    pub fn new(site: Site, owner: String, fence: Fence, now: Millis, unix: UnixMillis) -> Self {
        let seed = fence.view ^ (u64::from(fence.rank) << 32);
        Self {
            runners: VersionedRunnerTable::default(),
            site,
            owner,
            claim_token: fence,
            fence,
            phase: Phase::Probing,
            claimed_at: now,
            claimed_at_unix: unix,
            majority_since: None,
            majority_lost_at: None,
            cell: Cell::new(Policy::default()),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            unrecorded_ends: BTreeMap::new(),
            log_state: Arc::default(),
            unknown_since: BTreeMap::new(),
            surges: BTreeMap::new(),
            next_sweep: Millis::ZERO,
            usage_elsewhere: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Runs one turn and returns whether the owner keeps the shard. `may_act` says that this
    /// process's guard confirms its view.
    pub fn run_turn(&mut self, now: Millis, unix: UnixMillis, may_act: bool) -> Verdict {
        let verdict = self.advance_claim(now, unix, may_act);
        if verdict != Verdict::Keep {
            return verdict;
        }
        if matches!(self.phase, Phase::Recovering | Phase::Active) && self.has_majority(now) {
            self.expire_silent_workers(now, unix);
            self.admit_jobs(now, unix);
            self.run_placement(now, unix);
        }
        self.runners.update(&self.workers, &self.jobs);
        Verdict::Keep
    }
}
