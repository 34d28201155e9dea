//! Runners: HTTP upstreams.
//!
//! A runner serves any request on its endpoint. The router adds [`REQUEST_ID_HEADER`] and forwards
//! the caller's idempotency key. `GET /healthz` returns [`Health`]. A runner does not enforce its
//! own limits: it accepts more requests than it has slots, and becomes overloaded.

use serde::{Deserialize, Serialize};

/// Header that carries the request id assigned by the router.
pub const REQUEST_ID_HEADER: &str = "kspan-request-id";

/// Health of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Whether it is draining and should receive no new requests.
    pub draining: bool,
    /// Number of requests in flight.
    pub in_use: u32,
    /// Number of open connections.
    pub connections: u32,
}
