//! What the command line and the console share: reading the cell and publishing to it.
//!
//! An operator's tool is told one address, the log's. Everything else follows from the log: the
//! document in force, the members and their addresses. It folds the log by the same rules as
//! every process, so it knows for itself whether a change was accepted.
//!
//! This crate does not decide what is valid or accepted; the model and the fold do.

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
