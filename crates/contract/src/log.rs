//! Client of the log service.
//!
//! The outcome of an append distinguishes a record that is in the log, one that is certainly not,
//! and one that is in doubt because the response was lost. The client does not retry; the caller
//! resolves a lost response by reading the log from its last known offset.

use std::{net::SocketAddr, time::Duration};

use kspan_model::Millis;
use ntex::{
    client::{Client, error::ClientError},
    http::{StatusCode, header},
};
use quick_error::quick_error;

use crate::protocol::log::{Appended, Batch};

/// Result of reading the log.
pub type Result<T> = std::result::Result<T, LogError>;

/// Timeout of an append, applied to the response head and to its body separately.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a read, in addition to the long-poll wait requested from the log.
pub const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response to a read, in bytes: 16 records of the maximum size, each doubled by
/// JSON escapes.
const MAX_BATCH_BYTES: usize = 16 * 2 * crate::protocol::log::MAX_RECORD_BYTES;

/// Delay before the next append when a rate-limited response has no `Retry-After`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

quick_error! {
    /// Error of reading the log.
    #[derive(Debug)]
    pub enum LogError {
        /// The log can't be reached or did not respond in time.
        Unreachable {
            display("log is unreachable or timed out")
        }
        /// The log responded with an error status.
        Status(status: u16) {
            display("log responded with status {status}")
        }
        /// The response body is not a valid batch.
        Malformed {
            display("log response is malformed")
        }
    }
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the log.
    Appended {
        /// Offset of the record.
        offset: u64,
    },
    /// The record exceeds the maximum record size; certainly not appended.
    TooLarge,
    /// The append rate limit is exceeded; certainly not appended.
    Throttled {
        /// Delay before the next attempt.
        after: Duration,
    },
    /// The log can't be reached or reports an outage; certainly not appended.
    Unavailable,
    /// No usable response was received; the record may have been appended.
    Lost,
}

/// A client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: Client,
    base: String,
}

impl LogClient {
    /// Creates a client. Must be called within the ntex runtime that uses it.
    pub async fn new(addr: SocketAddr) -> Self {
        let http = crate::http::client(MAX_BATCH_BYTES).await;
        Self {
            http,
            base: format!("http://{addr}/v1"),
        }
    }

    /// Appends a record.
    pub async fn append(&self, data: &str) -> AppendOutcome {
        let request = self
            .http
            .post(format!("{}/append", self.base))
            .send_body(data.to_owned());
        let res = match tokio::time::timeout(APPEND_TIMEOUT, request).await {
            Ok(Ok(res)) => res,
            Ok(Err(ClientError::Connect(_))) => return AppendOutcome::Unavailable,
            Ok(Err(_)) | Err(_) => return AppendOutcome::Lost,
        };
        match res.status() {
            StatusCode::OK => {
                let body = tokio::time::timeout(APPEND_TIMEOUT, res.json::<Appended>()).await;
                match body {
                    Ok(Ok(Appended { offset })) => AppendOutcome::Appended { offset },
                    Ok(Err(_)) | Err(_) => AppendOutcome::Lost,
                }
            }
            StatusCode::PAYLOAD_TOO_LARGE => AppendOutcome::TooLarge,
            StatusCode::TOO_MANY_REQUESTS => AppendOutcome::Throttled {
                after: retry_after(res.header(header::RETRY_AFTER)),
            },
            StatusCode::SERVICE_UNAVAILABLE => AppendOutcome::Unavailable,
            _ => AppendOutcome::Lost,
        }
    }

    /// Reads up to `max` records starting at offset `from`, and waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid batch is received within `wait` plus [`READ_TIMEOUT`].
    pub async fn read(&self, from: u64, max: usize, wait: Millis) -> Result<Batch> {
        let url = format!(
            "{}/read?from={from}&max={max}&wait_ms={}",
            self.base, wait.0
        );
        let reading = async {
            let res = self.http.get(url).send().await;
            let res = res.map_err(|_| LogError::Unreachable)?;
            if res.status() != StatusCode::OK {
                return Err(LogError::Status(res.status().as_u16()));
            }
            let body = res.json::<Batch>().limit(MAX_BATCH_BYTES).await;
            body.map_err(|_| LogError::Malformed)
        };
        let timeout = wait.as_duration() + READ_TIMEOUT;
        let result = tokio::time::timeout(timeout, reading).await;
        result.unwrap_or(Err(LogError::Unreachable))
    }
}

fn retry_after(value: Option<&header::HeaderValue>) -> Duration {
    value
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<f64>().ok())
        .and_then(|secs| Duration::try_from_secs_f64(secs).ok())
        .unwrap_or(DEFAULT_RETRY_AFTER)
}
