//! Request routing without I/O: admission, queueing, runner choice, slot limits, retries and
//! idempotency keys.
//!
//! Every runner and every idempotency key has one *home*, the router that owns it in the current
//! membership view. The home of a runner accounts for its slots and lends slot credits to other
//! routers; the home of a key grants the right to dispatch its request.
//!
//! Time and random seeds are arguments and effects are return values, so that tests can cover
//! duplicated, reordered and lost messages, and benchmarks can measure decisions without sockets.
//! The crate reads no clock and starts no threads; the router program carries the effects out.

pub mod budget;
pub mod choice;
pub mod engine;
pub mod health;
pub mod key;
pub mod latency;
pub mod ledger;
pub mod loan;
pub mod queue;

pub use crate::engine::{Engine, effect};
