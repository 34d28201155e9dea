//! Client of the host list.

use std::{net::SocketAddr, time::Duration};

use ntex::{client::Client, http::StatusCode};
use quick_error::quick_error;

use crate::protocol::hosts::HostList;

/// Result of reading the host list.
pub type Result<T> = std::result::Result<T, HostsError>;

/// Timeout of a read.
pub const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a host list, in bytes: 20,000 hosts of 250 bytes each.
const MAX_LIST_BYTES: usize = 5_000_000;

quick_error! {
    /// Error of reading the host list.
    #[derive(Debug)]
    pub enum HostsError {
        /// The host list can't be reached or did not respond in time.
        Unreachable {
            display("host list is unreachable or timed out")
        }
        /// The host list responded with an error status.
        Status(status: u16) {
            display("host list responded with status {status}")
        }
        /// The response body is not a valid host list.
        Malformed {
            display("host list response is malformed")
        }
    }
}

/// A client of one host list.
#[derive(Clone, Debug)]
pub struct HostsClient {
    http: Client,
    url: String,
}

impl HostsClient {
    /// Creates a client. Must be called within the ntex runtime that uses it.
    pub async fn new(addr: SocketAddr) -> Self {
        Self {
            http: crate::http::client(MAX_LIST_BYTES).await,
            url: format!("http://{addr}/v1/hosts"),
        }
    }

    /// Reads the complete host list.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid host list is received within [`READ_TIMEOUT`].
    pub async fn read(&self) -> Result<HostList> {
        let reading = async {
            let res = self.http.get(self.url.as_str()).send().await;
            let res = res.map_err(|_| HostsError::Unreachable)?;
            if res.status() != StatusCode::OK {
                return Err(HostsError::Status(res.status().as_u16()));
            }
            let body = res.json::<HostList>().limit(MAX_LIST_BYTES).await;
            body.map_err(|_| HostsError::Malformed)
        };
        let result = tokio::time::timeout(READ_TIMEOUT, reading).await;
        result.unwrap_or(Err(HostsError::Unreachable))
    }
}
