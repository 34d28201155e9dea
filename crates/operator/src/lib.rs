//! Client library of the command line and the console: reads a cell's state and publishes changes.
//!
//! The only address that a client needs is that of the log. It applies the log by the same
//! rules as the cell's processes, which yields the document in force, the members with their
//! addresses, and the verdict on each published change.
//!
//! Documents are validated by the model and accepted or refused by the state machine, not by
//! this crate.

mod cell;
mod diff;
mod error;
mod member;
mod publish;
mod report;

pub use self::{
    cell::CellClient,
    diff::{Change, diff},
    error::{Error, Result},
    member::{MemberStatus, ReportedValue},
    publish::{BASE_COMMENT_PREFIX, PublishOutcome, parse_base_version, with_base_version},
    report::{CellReport, JobReport, JobRow, ShardReport, TaskCounts, WorkerReport},
};
