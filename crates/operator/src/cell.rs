//! Client for reading a cell's state and sending requests to its processes.

use std::net::SocketAddr;

use kspan_contract::log::LogClient;
use kspan_fold::{RecordId, State, Verdict};
use kspan_model::{Member, Millis, Role};
use ntex::{client::Client, http::Method};
use serde_json::Value;

use crate::error::{Error, Result};

/// Maximum number of records in one read.
const MAX_RECORDS_PER_READ: usize = 512;

/// Maximum size of a process's response. A dump lists every worker and task of a shard.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Timeout of a request to a process, including its response.
const REQUEST_TIMEOUT: Millis = Millis(5_000);

/// A client of a cell: the state that the log yields, and an HTTP client for its processes.
pub struct CellClient {
    log: LogClient,
    http: Client,
    state: State,
}

/// A process's response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// JSON body; a JSON string if the body is not JSON.
    pub body: Value,
}

impl CellClient {
    /// Creates a client and reads the log to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be read.
    pub async fn connect(log: SocketAddr) -> Result<Self> {
        let mut client = Self {
            log: LogClient::new(log).await,
            http: Client::new().await,
            state: State::default(),
        };
        client.refresh().await?;
        Ok(client)
    }

    /// Returns the state as of the last read of the log.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the members with `role`.
    pub fn members(&self, role: Role) -> Vec<Member> {
        self.state.view.with_role(role).cloned().collect()
    }

    pub(crate) fn log(&self) -> &LogClient {
        &self.log
    }

    /// Reads the log to its current end.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be read.
    pub async fn refresh(&mut self) -> Result<()> {
        self.read_to_end(None).await.map(|_| ())
    }

    /// Reads the log to its current end and returns the first record read with the id `searched`.
    pub(crate) async fn read_to_end(
        &mut self,
        searched: Option<RecordId>,
    ) -> Result<Option<FoundRecord>> {
        let mut found = None;
        loop {
            let batch = self
                .log
                .read(self.state.next_offset, MAX_RECORDS_PER_READ, Millis::ZERO)
                .await
                .map_err(|err| Error::Log(err.to_string()))?;
            for entry in &batch.records {
                let time = kspan_model::UnixMillis(entry.time_ms);
                let applied = self.state.apply(entry.offset, time, &entry.data);
                if searched.is_some() && applied.id == searched && found.is_none() {
                    let verdict = applied.verdict;
                    found = Some(FoundRecord {
                        offset: entry.offset,
                        verdict,
                    });
                }
            }
            if batch.records.is_empty() || self.state.next_offset >= batch.next {
                return Ok(found);
            }
        }
    }

    /// Sends an HTTP request to a process.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or its response is not complete within the timeout.
    pub async fn request(&self, addr: SocketAddr, method: Method, path: &str) -> Result<Response> {
        self.request_with_body(addr, method, path, None).await
    }

    /// Sends an HTTP request with an optional JSON body to a process.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or its response is not complete within the timeout.
    pub async fn request_with_body(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Response> {
        let failed = |reason: String| Error::Process(addr.to_string(), reason);
        let exchange = async {
            let req = self.http.request(method, format!("http://{addr}{path}"));
            let sent = match body {
                Some(body) => req.send_json(body).await,
                None => req.send().await,
            };
            let res = sent.map_err(|err| failed(err.to_string()))?;
            let status = res.status().as_u16();
            let bytes = res.body().limit(MAX_RESPONSE_BYTES).await;
            let bytes = bytes.map_err(|err| failed(err.to_string()))?;
            Ok(Response {
                status,
                body: json_or_text(&bytes),
            })
        };
        tokio::time::timeout(REQUEST_TIMEOUT.as_duration(), exchange)
            .await
            .unwrap_or_else(|_| Err(failed(format!("no response within {REQUEST_TIMEOUT}"))))
    }
}

/// A record found in the log, with the state machine's verdict on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FoundRecord {
    pub(crate) offset: u64,
    pub(crate) verdict: Verdict,
}

fn json_or_text(bytes: &[u8]) -> Value {
    serde_json::from_slice(bytes)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(bytes).into_owned()))
}
