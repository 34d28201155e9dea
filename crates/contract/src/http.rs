//! HTTP client shared by the clients of the log and the host list.

use ntex::{SharedCfg, client::Client, time::Millis};

/// Creates a client without timeouts of its own. Callers enforce timeouts with tokio's timers,
/// because ntex's timers do not follow the clock that tests pause.
///
/// # Panics
///
/// Panics if called outside a running ntex system.
pub(crate) async fn client(max_body_bytes: usize) -> Client {
    Client::builder()
        .disable_timeout()
        .disable_redirects()
        .response_payload_limit(max_body_bytes)
        .response_payload_timeout(Millis::ZERO)
        .build(SharedCfg::new("platform"))
        .await
        .expect("building a plain TCP connector does not fail within a running system")
}
