//! Log records, the fold over them, and appends whose answers may be lost.
//!
//! Every process folds the same records in the same order by the same rules, so that all of them
//! accept and refuse alike. The fold has no I/O and no clock.

pub mod record;
mod state;

pub use self::{
    record::{Body, Record, RecordId},
    state::{Applied, State, Verdict},
};
