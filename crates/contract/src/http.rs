//! The HTTP client that the platform's clients share.

use ntex::{SharedCfg, client::Client, time::Millis};

/// Creates a client whose timeouts are the caller's: ntex's own timers don't follow the clock
/// that tests pause.
///
/// # Panics
///
/// Panics when called outside a running ntex system.
pub(crate) async fn client(max_body_bytes: usize) -> Client {
    Client::builder()
        .disable_timeout()
        .disable_redirects()
        .response_payload_limit(max_body_bytes)
        .response_payload_timeout(Millis::ZERO)
        .build(SharedCfg::new("platform"))
        .await
        .expect("a plain TCP connector is always built within a running system")
}
