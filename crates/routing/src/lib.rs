//! Decisions of the request plane: which request waits, which is refused, which runner takes it,
//! who may spend a runner's slots, and who may dispatch an idempotency key.
//!
//! Everything here is a value computed from arguments: `now` and random numbers come in, effects
//! come out. That makes it possible to test every promise under doubled, reordered and lost
//! messages, and to measure decisions apart from sockets. The crate does no I/O, reads no clock
//! and starts no threads; the router program carries the effects out.

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
