//! Tests of single engines, and of several engines over an unreliable network.

mod keys;
mod queue;
mod slots;
mod support;
