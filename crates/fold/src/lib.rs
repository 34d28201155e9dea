//! Log records, the state machine that applies them, and snapshots.
//!
//! Every process applies the same records in the same order by the same deterministic rules, so
//! all processes accept and refuse the same records. The crate does no I/O and reads no clock.

pub mod apply;
pub mod history;
mod objects;
mod parts;
pub mod record;
pub mod search;
pub mod snapshot;
mod state;

pub use self::{
    objects::ObjectKey,
    record::{Body, Record, RecordId},
    state::{ApplyOutcome, JobStatus, Refusal, SnapshotPosition, State, Verdict},
};
