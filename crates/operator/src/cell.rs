//! A cell as an operator's tool sees it.

use std::net::SocketAddr;

use kspan_contract::log::LogClient;
use kspan_fold::{RecordId, State, Verdict};
use kspan_model::{Member, Millis, Role};
use ntex::{client::Client, http::Method};
use serde_json::Value;

use crate::error::{Error, Result};

/// Records asked for in one read.
const READ_RECORDS: usize = 512;

/// Longest answer of a process, in bytes. A dump lists every worker and task of a shard.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Longest wait for a process's answer.
const ANSWER_TIMEOUT: Millis = Millis(5_000);

/// The log, folded, and clients to ask processes.
pub struct CellClient {
    log: LogClient,
    http: Client,
    state: State,
}

/// A process's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// JSON body; a string where the body is other text.
    pub body: Value,
}

impl CellClient {
    /// Connects to the log and reads it to its end.
    ///
    /// # Errors
    ///
    /// Returns an error where the log can't be read.
    pub async fn connect(log: SocketAddr) -> Result<Self> {
        let mut cell = Self {
            log: LogClient::new(log).await,
            http: Client::new().await,
            state: State::default(),
        };
        cell.refresh().await?;
        Ok(cell)
    }

    /// Returns everything in force as of the last read.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the members with a role.
    pub fn members(&self, role: Role) -> Vec<Member> {
        self.state.view.with_role(role).cloned().collect()
    }

    pub(crate) fn log(&self) -> &LogClient {
        &self.log
    }

    /// Reads the log to its present end.
    ///
    /// # Errors
    ///
    /// Returns an error where the log can't be read.
    pub async fn refresh(&mut self) -> Result<()> {
        self.read_until(None).await.map(|_| ())
    }

    /// Reads to the end and returns what became of the record with the id of `wanted`, if it was
    /// met on the way.
    pub(crate) async fn read_until(&mut self, wanted: Option<RecordId>) -> Result<Option<Met>> {
        let mut met = None;
        loop {
            let batch = self
                .log
                .read(self.state.next_offset, READ_RECORDS, Millis::ZERO)
                .await
                .map_err(|err| Error::Log(err.to_string()))?;
            for entry in &batch.records {
                let time = kspan_model::UnixMillis(entry.time_ms);
                let applied = self.state.apply(entry.offset, time, &entry.data);
                if wanted.is_some() && applied.id == wanted && met.is_none() {
                    let verdict = applied.verdict;
                    met = Some(Met {
                        offset: entry.offset,
                        verdict,
                    });
                }
            }
            if batch.records.is_empty() || self.state.next_offset >= batch.next {
                return Ok(met);
            }
        }
    }

    /// Asks a process over HTTP.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole answer came in time.
    pub async fn request(&self, addr: SocketAddr, method: Method, path: &str) -> Result<Response> {
        self.request_with_body(addr, method, path, None).await
    }

    /// Asks a process over HTTP with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole answer came in time.
    pub async fn request_with_body(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Response> {
        let failed = |reason: String| Error::Process(addr.to_string(), reason);
        let asking = async {
            let req = self.http.request(method, format!("http://{addr}{path}"));
            let sent = match body {
                Some(body) => req.send_json(body).await,
                None => req.send().await,
            };
            let res = sent.map_err(|err| failed(err.to_string()))?;
            let status = res.status().as_u16();
            let bytes = res.body().limit(MAX_ANSWER_BYTES).await;
            let bytes = bytes.map_err(|err| failed(err.to_string()))?;
            Ok(Response {
                status,
                body: json_or_text(&bytes),
            })
        };
        tokio::time::timeout(ANSWER_TIMEOUT.as_duration(), asking)
            .await
            .unwrap_or_else(|_| Err(failed("no answer in time".to_owned())))
    }
}

/// A record met in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Met {
    pub(crate) offset: u64,
    pub(crate) verdict: Verdict,
}

fn json_or_text(bytes: &[u8]) -> Value {
    serde_json::from_slice(bytes)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(bytes).into_owned()))
}
