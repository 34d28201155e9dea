//! Client of the host list.

use std::{net::SocketAddr, time::Duration};

use ntex::{client::Client, http::StatusCode};
use quick_error::quick_error;

use crate::protocol::hosts::HostList;

/// Result of reading the host list.
pub type Result<T> = std::result::Result<T, HostsError>;

/// Longest that a read waits for its answer.
pub const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest host list, in bytes: 20,000 hosts of 250 bytes each.
const MAX_LIST_BYTES: usize = 5_000_000;

quick_error! {
    /// Why the host list could not be read.
    #[derive(Debug)]
    pub enum HostsError {
        /// The host list can't be reached or did not answer in time.
        Unreachable {
            display("the host list is unreachable")
        }
        /// The host list answered with an error.
        Status(status: u16) {
            display("the host list answered {status}")
        }
        /// The answer is no host list.
        Malformed {
            display("the host list is malformed")
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
    /// Creates a client. Must be called within the runtime that will use it.
    pub async fn new(addr: SocketAddr) -> Self {
        Self {
            http: crate::http::client(MAX_LIST_BYTES).await,
            url: format!("http://{addr}/v1/hosts"),
        }
    }

    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Returns an error when no whole answer came in time.
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
        let done = tokio::time::timeout(READ_TIMEOUT, reading).await;
        done.unwrap_or(Err(HostsError::Unreachable))
    }
}
