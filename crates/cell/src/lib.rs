//! The program of a cell on the users' platform.
//!
//! Every host runs one process on one thread. Each takes callers' requests; one of them owns the
//! cell at a time and decides. What must last is in the platform's store, to which an owner
//! claims its right by a compared append. Decisions about jobs are in `kspan-jobs`; names and
//! formats of the platform are in `kspan-adapter`.

mod admin;
mod budget;
mod clock;
mod election;
mod entry;
mod http;
mod logging;
mod measure;
mod message;
mod node;
mod owner;
mod peers;
mod precedence;
mod program;
mod settings;
mod store;

pub use program::main;
