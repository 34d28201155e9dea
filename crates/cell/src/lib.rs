//! The process that runs on each host of a cell on the users' platform.
//!
//! Each process is single-threaded and serves callers. At any time one process, the owner,
//! schedules the cell's jobs; the others forward requests to it. Durable state is kept in the
//! platform's store. A process becomes the owner by a conditional append to the store's topic of
//! claims. The offset of this claim determines the owner's fencing token, called its fence, which
//! is higher than that of every previous owner. The scheduling logic is in `kspan-jobs`, names and
//! formats of the platform are in `kspan-adapter`.

mod admin;
mod admission;
mod attempts;
mod clock;
mod election;
mod entry;
mod forward;
mod http;
mod in_flight;
mod log_limit;
mod logging;
mod message;
mod node;
mod owner;
mod peers;
mod precedence;
mod process;
mod program;
mod settings;
mod store;
mod telemetry;

pub use program::main;
