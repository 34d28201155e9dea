//! Runners: HTTP upstreams.
//!
//! A runner answers any request on its endpoint. The router adds [`REQUEST_ID_HEADER`] and
//! passes the caller's idempotency key on. `GET /healthz` answers [`Health`]. A runner has no
//! guards of its own: it takes more requests than it has slots, and suffers for it.

use serde::{Deserialize, Serialize};

/// Header with the router's id of the request.
pub const REQUEST_ID_HEADER: &str = "kspan-request-id";

/// Health of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Whether it takes new requests.
    pub draining: bool,
    /// Requests that it works on.
    pub in_use: u32,
    /// Connections open.
    pub connections: u32,
}
