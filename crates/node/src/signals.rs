//! The signal thread: SIGTERM starts a graceful shutdown, SIGUSR1 writes a dump to the log.

use std::sync::Arc;

use signal_hook::{
    consts::{SIGTERM, SIGUSR1},
    iterator::Signals,
};

use crate::{admin, inner::Inner};

/// Handles signals until the handle of `signals` is closed.
pub(crate) fn run(inner: &Arc<Inner>, mut signals: Signals) {
    for signal in &mut signals {
        match signal {
            SIGTERM => {
                log::info!("node: received SIGTERM, starting a graceful shutdown");
                inner.events.request_stop();
                inner.flush_events();
            }
            SIGUSR1 => log::info!("dump: {}", admin::process_dump(inner)),
            _ => {}
        }
    }
}

/// Registers the handlers of the signals.
///
/// # Errors
///
/// Returns an error when the operating system refuses a handler.
pub(crate) fn register() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGUSR1])
}
