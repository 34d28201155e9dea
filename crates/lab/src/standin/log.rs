//! Stand-in for the platform's append-only log.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use kspan_contract::protocol::log::{Appended, Batch, Entry, MAX_RECORD_BYTES};
use ntex::{
    http::{Request, Response, StatusCode},
    util::{Bytes, stream_recv},
};
use tokio::sync::watch;

use crate::{
    clock::{Micros, now, unix_ms},
    http::{self, ServerHandle, ThreadPool},
};

/// Offset of the first record; the system uses offset 0 for "no record yet".
const FIRST_OFFSET: u64 = 1;

/// Maximum burst of appends that the rate limit allows.
const MAX_BURST: f64 = 100.0;

/// Maximum number of records in one response.
const MAX_RECORDS_PER_READ: usize = 1_000;

/// Delay of a response that is to be lost; longer than the timeout of any client.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(30);

/// Behaviour of the log, which may change at any time.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Rate limit, in appends per second.
    pub appends_per_second: f64,
    /// Maximum number of records retained.
    pub retention: usize,
    /// Whether every request is answered with status 503.
    pub outage: bool,
    /// Delay of every response.
    pub delay: Duration,
    /// Interval, in appends, at which the response to a successful append is lost; zero for never.
    pub lose_response_every: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            appends_per_second: 400.0,
            retention: 1_000_000,
            outage: false,
            delay: Duration::from_millis(2),
            lose_response_every: 0,
        }
    }
}

/// Counters of the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Successful appends.
    pub appends: u64,
    /// Bytes appended.
    pub append_bytes: u64,
    /// Appends refused by the rate limit.
    pub rate_limited: u64,
    /// Reads answered.
    pub reads: u64,
    /// Bytes of records in the reads' responses.
    pub read_bytes: u64,
}

struct State {
    entries: VecDeque<Entry>,
    next: u64,
    behaviour: Behaviour,
    counts: Counts,
    tokens: f64,
    refilled: Micros,
}

struct Inner {
    state: Mutex<State>,
    next_offset: watch::Sender<u64>,
}

/// A log in memory.
#[derive(Clone)]
pub struct Log(Arc<Inner>);

impl Default for Log {
    fn default() -> Self {
        Self::new()
    }
}

impl Log {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self(Arc::new(Inner {
            state: Mutex::new(State {
                entries: VecDeque::new(),
                next: FIRST_OFFSET,
                behaviour: Behaviour::default(),
                counts: Counts::default(),
                tokens: MAX_BURST,
                refilled: now(),
            }),
            next_offset: watch::Sender::new(FIRST_OFFSET),
        }))
    }

    /// Serves the log over HTTP.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub fn serve(&self, pool: &ThreadPool, address: SocketAddr) -> io::Result<ServerHandle> {
        let log = self.clone();
        let answer = http::handler(move |req| answer(log.clone(), req));
        pool.serve(address, http::accept_all_connections(), answer)
    }

    /// Changes the log's behaviour.
    pub fn set_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.state().behaviour);
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.state().counts
    }

    /// Returns all retained records in order.
    pub fn entries(&self) -> Vec<Entry> {
        self.state().entries.iter().cloned().collect()
    }

    /// Appends a record regardless of outage, delay and rate limit, and returns its offset.
    pub fn append(&self, data: String) -> u64 {
        let offset = self.state().append(data);
        self.0.next_offset.send_replace(offset + 1);
        offset
    }

    /// Removes all records except the newest `keep`.
    pub fn retain_newest(&self, keep: usize) {
        self.state().truncate(keep);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0
            .state
            .lock()
            .expect("no thread panics while it holds the log")
    }
}

impl State {
    fn append(&mut self, data: String) -> u64 {
        let offset = self.next;
        self.next += 1;
        self.counts.appends += 1;
        self.counts.append_bytes += data.len() as u64;
        self.entries.push_back(Entry {
            offset,
            time_ms: unix_ms(),
            data,
        });
        self.truncate(self.behaviour.retention);
        offset
    }

    fn truncate(&mut self, keep: usize) {
        let surplus = self.entries.len().saturating_sub(keep);
        self.entries.drain(..surplus);
    }

    fn try_take_token(&mut self) -> bool {
        let now = now();
        let gained = now.since(self.refilled).as_secs_f64() * self.behaviour.appends_per_second;
        self.refilled = now;
        self.tokens = (self.tokens + gained).min(MAX_BURST);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn read_batch(&mut self, from: u64, max: usize) -> Batch {
        let first = self.next - self.entries.len() as u64;
        let skip = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let records: Vec<Entry> = self.entries.iter().skip(skip).take(max).cloned().collect();
        self.counts.reads += 1;
        self.counts.read_bytes += records
            .iter()
            .map(|entry| entry.data.len() as u64)
            .sum::<u64>();
        Batch {
            first,
            next: self.next,
            records,
        }
    }
}

async fn answer(log: Log, req: Request) -> Response {
    let behaviour = log.state().behaviour;
    tokio::time::sleep(behaviour.delay).await;
    if behaviour.outage {
        return Response::new(StatusCode::SERVICE_UNAVAILABLE);
    }
    match req.path() {
        "/v1/append" => answer_append(&log, req).await,
        "/v1/read" => answer_read(&log, &req).await,
        _ => Response::new(StatusCode::NOT_FOUND),
    }
}

async fn answer_append(log: &Log, mut req: Request) -> Response {
    // The body is read only until it exceeds the maximum record size.
    let body = match read_limited(&mut req).await {
        Ok(body) => body,
        Err(status) => return Response::new(status),
    };
    let Ok(data) = String::from_utf8(body) else {
        return Response::new(StatusCode::BAD_REQUEST);
    };
    let (offset, lose_response) = {
        let mut state = log.state();
        if state.behaviour.outage {
            return Response::new(StatusCode::SERVICE_UNAVAILABLE);
        }
        if !state.try_take_token() {
            state.counts.rate_limited += 1;
            return Response::build(StatusCode::TOO_MANY_REQUESTS)
                .header("retry-after", "1")
                .finish();
        }
        let offset = state.append(data);
        let lose_every = state.behaviour.lose_response_every;
        (
            offset,
            lose_every > 0 && state.counts.appends.is_multiple_of(lose_every),
        )
    };
    log.0.next_offset.send_replace(offset + 1);
    if lose_response {
        tokio::time::sleep(LOST_RESPONSE_DELAY).await;
        return Response::new(StatusCode::GATEWAY_TIMEOUT);
    }
    Response::build(StatusCode::OK).json(&Appended { offset })
}

async fn read_limited(req: &mut Request) -> Result<Vec<u8>, StatusCode> {
    let mut payload = req.take_payload();
    let mut buf = Vec::new();
    while let Some(chunk) = stream_recv(&mut payload).await {
        let chunk: Bytes = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
        if buf.len() + chunk.len() > MAX_RECORD_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf)
}

async fn answer_read(log: &Log, req: &Request) -> Response {
    let query = req.uri().query().unwrap_or_default();
    let from = query_parameter(query, "from").unwrap_or(FIRST_OFFSET);
    let max = query_parameter(query, "max").unwrap_or(u64::MAX);
    let wait = Duration::from_millis(query_parameter(query, "wait_ms").unwrap_or(0));
    let max = usize::try_from(max)
        .unwrap_or(usize::MAX)
        .min(MAX_RECORDS_PER_READ);
    let mut next_offset = log.0.next_offset.subscribe();
    // After a timeout the batch is empty.
    let _ = tokio::time::timeout(wait, next_offset.wait_for(|next| *next > from)).await;
    if log.state().behaviour.outage {
        return Response::new(StatusCode::SERVICE_UNAVAILABLE);
    }
    let batch = log.state().read_batch(from, max);
    Response::build(StatusCode::OK).json(&batch)
}

fn query_parameter(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}
