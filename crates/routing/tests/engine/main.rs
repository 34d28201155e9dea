//! Tests of the engine, alone and several of them over a rough network.

mod keys;
mod queue;
mod slots;
mod support;
