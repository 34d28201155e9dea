//! Log records, the fold over them, and snapshots.
//!
//! Every process folds the same records in the same order by the same rules, so that all of them
//! accept and refuse alike. The fold has no I/O and no clock.

pub mod apply;
pub mod history;
mod objects;
pub mod record;
pub mod search;
pub mod snapshot;
mod state;

pub use self::{
    objects::Key,
    record::{Body, Record, RecordId},
    state::{Applied, Job, Refusal, SnapshotSeen, State, Verdict},
};
