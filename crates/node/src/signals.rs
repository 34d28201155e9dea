//! The signal thread: a planned stop and a dump to the log.

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
                log::info!("node: a planned stop was asked for");
                inner.notices.stop();
                inner.flush_notices();
            }
            SIGUSR1 => log::info!("dump: {}", admin::dump_of(inner)),
            _ => {}
        }
    }
}

/// Registers for the signals.
///
/// # Errors
///
/// Returns an error when the system refuses.
pub(crate) fn register() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGUSR1])
}
