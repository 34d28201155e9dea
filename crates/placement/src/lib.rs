//! Task placement, queueing, quotas and gang scheduling for one shard.
//!
//! A [`Cell`] holds one shard's workers, the capacity committed on them, the queued jobs and the
//! teams' shares. The caller records events in it and requests a plan; every decision is already
//! applied to the cell when it is returned. The crate has no I/O, no clock and no threads: times
//! and random numbers are arguments.
//!
//! The crate does not handle leases or fencing tokens. The caller must not plan before it has
//! adopted the tasks that the shard's workers already run, and must report a task as lost only
//! after its lease has expired. It must let a worker discard an ended attempt only once a later
//! attempt of the same index has started or the job's end is durable: a new owner of the shard
//! reads the used attempts from the workers' inventories and passes their ends to
//! [`Cell::record_end`], the latest first.
//!
//! # Examples
//!
//! ```
//! use kspan_model::{
//!     JobId, Millis, Name, Priority, Resources, Site,
//!     document::{Policy, Preset, Spread, TaskShape, Team},
//! };
//! use kspan_placement::{Cell, Decision, End, JobKind, JobSpec, SubmitOutcome, WorkerSpec};
//! use rand::SeedableRng;
//!
//! let teams = [Team {
//!     name: Name::new("settlement"),
//!     quota: Resources::new(64_000, 262_144, 0),
//!     weight: 1.0,
//!     borrow: true,
//! }];
//! let mut cell = Cell::new(Policy::new(Preset::WaitingFirst)).with_teams(&teams);
//! cell.upsert_worker(WorkerSpec {
//!     name: Name::new("worker-1"),
//!     rack: Name::new("rack-1"),
//!     site: Site::new("Vestland", "vestland-1"),
//!     capacity: Resources::new(32_000, 131_072, 0),
//! });
//! let submitted = cell.submit(JobSpec {
//!     id: JobId(1),
//!     workload: Name::new("reconcile"),
//!     team: Name::new("settlement"),
//!     priority: Priority::Normal,
//!     kind: JobKind::Batch,
//!     tasks: 1,
//!     shape: TaskShape { size: Resources::new(2_000, 4_096, 0), checkpoint: false },
//!     run_time: Millis::from_secs(60),
//!     retries: 2,
//!     spread: Spread::None,
//!     submitted: Millis(0),
//! });
//! assert_eq!(submitted, SubmitOutcome::Queued);
//!
//! let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
//! let decisions = cell.plan(Millis(5), &mut rng, 100);
//! let Decision::Start(start) = &decisions[0] else { panic!("the task fits") };
//! cell.record_start(start.task, Millis(9));
//! let effect = cell.record_end(start.task, End::Succeeded, Millis(60_000));
//! assert!(effect.done.is_some());
//! ```

mod audit;
mod cell;
mod choose;
mod class;
mod commands;
mod drain;
mod estimate;
mod events;
mod feasible;
mod gang;
mod health;
mod index;
mod job;
mod openings;
mod ordering;
mod plan;
mod preempt;
mod probation;
mod queries;
mod queue;
mod reservation;
mod reserve;
pub mod shards;
mod spec;
mod state;
mod stats;
mod task;
mod team;
mod timers;
mod worker;

pub use crate::{
    cell::Cell,
    queries::{Counts, Snapshot, TaskRow, TeamShare, WorkerRow},
    spec::{
        AdoptOutcome, CancelOutcome, Decision, Effect, End, ImpossibleReason, InventoryEntry,
        JobDone, JobKind, JobSpec, PlacedTask, ResizeOutcome, Start, StartRefusal, SubmitOutcome,
        WaitReason, WorkerSpec, WorkerState,
    },
    stats::WaitTimes,
    task::{TRANSITIONS, TaskState},
};
