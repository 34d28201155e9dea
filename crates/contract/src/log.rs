//! Client of the log service.
//!
//! It tells apart what is certain from what is not: an append is answered, certainly not taken,
//! or lost. It repeats nothing; whoever appends resolves a lost answer by reading on.

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

/// Longest that an append waits for its answer.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest that a read waits for its answer, beyond the wait asked of the log.
pub const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer to a read, in bytes: sixteen of the largest records with their escapes.
const MAX_BATCH_BYTES: usize = 16 * 2 * crate::protocol::log::MAX_RECORD_BYTES;

/// Wait after a refusal for the append rate that names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

quick_error! {
    /// Why the log could not be read.
    #[derive(Debug)]
    pub enum LogError {
        /// The log can't be reached or did not answer in time.
        Unreachable {
            display("the log is unreachable")
        }
        /// The log answered with an error.
        Status(status: u16) {
            display("the log answered {status}")
        }
        /// The answer is not what the log answers.
        Malformed {
            display("the log's answer is malformed")
        }
    }
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the log.
    Appended {
        /// Its offset.
        offset: u64,
    },
    /// The record is larger than the log takes.
    TooLarge,
    /// The log refuses for its append rate; certainly not appended.
    Throttled {
        /// When to try again.
        after: Duration,
    },
    /// The log can't be reached; certainly not appended.
    Unavailable,
    /// No usable answer came; the record may have been appended.
    Lost,
}

/// A client of one log.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: Client,
    base: String,
}

impl LogClient {
    /// Creates a client. Must be called within the runtime that will use it.
    pub async fn new(addr: SocketAddr) -> Self {
        let http = crate::http::client(MAX_BATCH_BYTES).await;
        Self {
            http,
            base: format!("http://{addr}/v1"),
        }
    }

    /// Appends one record.
    pub async fn append(&self, data: &str) -> AppendOutcome {
        let sending = self
            .http
            .post(format!("{}/append", self.base))
            .send_body(data.to_owned());
        let res = match tokio::time::timeout(APPEND_TIMEOUT, sending).await {
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

    /// Reads up to `max` records from `from` on, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns an error when no whole answer came in time.
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
        let limit = wait.as_duration() + READ_TIMEOUT;
        let done = tokio::time::timeout(limit, reading).await;
        done.unwrap_or(Err(LogError::Unreachable))
    }
}

fn retry_after(value: Option<&header::HeaderValue>) -> Duration {
    value
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<f64>().ok())
        .and_then(|secs| Duration::try_from_secs_f64(secs).ok())
        .unwrap_or(DEFAULT_RETRY_AFTER)
}
