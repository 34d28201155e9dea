//! `kspan-console`, the operators' web console.
//!
//! The forms are generated from the document's JSON schema, so that they contain every key of the
//! schema. Their only output is a document, and a change takes effect only when the document is
//! published. Pages work without scripts and load no external resources.
//!
//! Documents are validated by the model and accepted or refused by the state machine, not by the
//! console.

mod asset;
mod cell;
mod draft;
mod form;
mod handler;
mod page;
mod program;
mod rows;
pub mod settings;

pub use self::{
    draft::{Draft, Edit},
    form::{Field, FieldKind, build_fields},
    settings::Settings,
};

use std::process::ExitCode;

/// Runs the program with the process's arguments and returns its exit code.
pub fn main() -> ExitCode {
    program::main()
}
