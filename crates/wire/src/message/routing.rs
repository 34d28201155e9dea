//! Messages among routers.

use kspan_model::RequestId;
use serde::{Deserialize, Serialize};

/// A message among routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Placeholder of the smallest question; the router's crate widens this enum.
    Probe {
        /// The request.
        request: RequestId,
    },
}
