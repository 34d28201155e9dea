//! `kspan-console`, the operators' web forms.
//!
//! The forms are built from the document's JSON schema, so that a key of the schema can't be
//! missing from them. Their only output is one validated document: a change takes effect by
//! publishing it, and in no other way. Pages work without scripts and load nothing from
//! elsewhere.
//!
//! The console does not decide what is valid or accepted; the model and the fold do.

mod asset;
mod draft;
mod form;
mod handler;
mod page;
mod program;
mod rows;
pub mod settings;
mod site;

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
