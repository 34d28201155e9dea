//! Connections to runners.
//!
//! Each runner has its own client, so that connections are limited per runner. An answer is
//! accepted only if it is provably complete. Dropping an exchange closes its connection, so that a
//! late answer is never taken for the answer to a later request.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use kspan_contract::{link::Link, protocol::runner::REQUEST_ID_HEADER, runner::HealthClient};
use kspan_node::LinkFaults;
use kspan_routing::engine::{
    RunnerHealth,
    effect::{Dispatch, HealthCheck, RunnerLocation},
};
use ntex::{
    client::{
        Client, ClientResponse, Connector,
        error::{ClientError, ConnectError},
    },
    http::{HeaderMap, Method, StatusCode, Version, header},
    time::Seconds,
    util::Bytes,
};
use rustc_hash::FxHashMap;
use tokio::time::{Instant, sleep, timeout_at};

use crate::exchange::{CompleteAnswer, OutgoingRequest};

/// Maximum size of an answer that is forwarded, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Time after which an idle connection to a runner is closed. It is shorter than the keep-alive
/// timeout of common servers, so that requests are rarely sent on a connection that the runner is
/// closing.
const RUNNER_KEEP_ALIVE: Seconds = Seconds(2);

/// Time without requests after which the client of a runner is dropped.
const RUNNER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(900);

/// Result of an exchange with a runner.
#[derive(Debug)]
pub enum ExchangeResult {
    /// The runner sent a complete answer.
    Complete(CompleteAnswer),
    /// No connection was established, so nothing was sent.
    NotSent,
    /// No complete answer was received, and the runner may have run the request.
    Incomplete(&'static str),
}

/// Connections to one runner.
struct Upstream {
    http: Client,
    health: HealthClient,
    connections: u32,
    last_used: Instant,
}

/// Connections to all runners.
pub struct Upstreams {
    links: LinkFaults,
    by_endpoint: RefCell<FxHashMap<SocketAddr, Upstream>>,
}

impl Upstreams {
    /// Creates an empty set of connections.
    pub fn new(links: LinkFaults) -> Self {
        Self {
            links,
            by_endpoint: RefCell::default(),
        }
    }

    /// Sends a request on the slot of `dispatch` and waits for the complete answer.
    pub async fn send(
        &self,
        dispatch: &Dispatch,
        outgoing: &OutgoingRequest,
        deadline: Instant,
    ) -> ExchangeResult {
        let link = self.link(&dispatch.location);
        if link.cut {
            // A cut link drops packets silently, so that connecting lasts until the deadline.
            tokio::time::sleep_until(deadline).await;
            return ExchangeResult::NotSent;
        }
        let http = self
            .http_client(dispatch.endpoint, dispatch.connections)
            .await;
        let exchange = exchange(http, dispatch.endpoint, outgoing, link.delay);
        timeout_at(deadline, exchange)
            .await
            .unwrap_or(ExchangeResult::Incomplete(
                "runner did not answer before the deadline",
            ))
    }

    /// Queries the health of a runner.
    pub async fn check_health(&self, check: &HealthCheck) -> Option<RunnerHealth> {
        let link = self.link(&check.location);
        let client = self.health_client(check.endpoint).await;
        let result = client.with_link(move |_| link).health(check.endpoint).await;
        result.ok().map(|health| RunnerHealth {
            draining: health.draining,
            in_use: health.in_use,
        })
    }

    /// Drops the clients of runners that were not used within the idle timeout.
    pub fn drop_idle(&self) {
        let now = Instant::now();
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        by_endpoint.retain(|_, upstream| now - upstream.last_used < RUNNER_IDLE_TIMEOUT);
    }

    fn link(&self, location: &RunnerLocation) -> Link {
        Link {
            delay: self.links.delay(&location.site),
            cut: self.links.is_cut(&location.worker, &location.site),
        }
    }

    async fn http_client(&self, endpoint: SocketAddr, connections: u32) -> Client {
        let existing = self.with_upstream(endpoint, |upstream| {
            (upstream.connections == connections).then(|| upstream.http.clone())
        });
        if let Some(client) = existing.flatten() {
            return client;
        }
        self.insert_client(endpoint, connections).await;
        let http = self.with_upstream(endpoint, |upstream| upstream.http.clone());
        http.expect("the runner was inserted just now")
    }

    async fn health_client(&self, endpoint: SocketAddr) -> HealthClient {
        if let Some(client) = self.with_upstream(endpoint, |upstream| upstream.health.clone()) {
            return client;
        }
        self.insert_client(endpoint, 1).await;
        let health = self.with_upstream(endpoint, |upstream| upstream.health.clone());
        health.expect("the runner was inserted just now")
    }

    fn with_upstream<T>(&self, endpoint: SocketAddr, f: impl FnOnce(&Upstream) -> T) -> Option<T> {
        let mut by_endpoint = self.by_endpoint.borrow_mut();
        let upstream = by_endpoint.get_mut(&endpoint)?;
        upstream.last_used = Instant::now();
        Some(f(upstream))
    }

    /// Creates the client of a runner. An existing one with another connection limit is dropped,
    /// which closes its idle connections and lets exchanges in flight finish.
    async fn insert_client(&self, endpoint: SocketAddr, connections: u32) {
        let limit = usize::try_from(connections).unwrap_or(usize::MAX);
        let connector = Connector::new().limit(limit).keep_alive(RUNNER_KEEP_ALIVE);
        let http = Client::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .response_payload_limit(MAX_ANSWER_BYTES)
            .build(ntex::SharedCfg::default())
            .await
            .expect("building a plain TCP connector does not fail");
        let upstream = Upstream {
            http,
            health: HealthClient::new(HEALTH_TIMEOUT).await,
            connections,
            last_used: Instant::now(),
        };
        self.by_endpoint.borrow_mut().insert(endpoint, upstream);
    }
}

async fn exchange(
    http: Client,
    endpoint: SocketAddr,
    outgoing: &OutgoingRequest,
    delay: Duration,
) -> ExchangeResult {
    sleep_unless_zero(delay).await;
    let url = format!("http://{endpoint}{}", outgoing.target);
    let mut req = http.request(outgoing.method.clone(), url).no_decompress();
    for (name, value) in &outgoing.headers {
        req = req.header(name.clone(), value.clone());
    }
    let id = outgoing.request.to_string();
    req = req.header(REQUEST_ID_HEADER, id.as_str());
    let sent = if outgoing.body.is_empty() {
        req.send().await
    } else {
        req.send_body(outgoing.body.clone()).await
    };
    let result = match sent {
        Ok(response) => read_answer(response, outgoing, &id).await,
        Err(err) => classify_error(&err),
    };
    sleep_unless_zero(delay).await;
    result
}

async fn read_answer(
    response: ClientResponse,
    outgoing: &OutgoingRequest,
    id: &str,
) -> ExchangeResult {
    if has_other_request_id(response.headers(), id) {
        return ExchangeResult::Incomplete("answer carries the id of another request");
    }
    if !has_explicit_end(&response, &outgoing.method) {
        return ExchangeResult::Incomplete(
            "answer has neither a content length nor chunked encoding",
        );
    }
    match response.body().limit(MAX_ANSWER_BYTES).await {
        Ok(body) => match matches_content_length(response.headers(), &body, &outgoing.method) {
            true => ExchangeResult::Complete(CompleteAnswer {
                status: response.status(),
                headers: response.headers().clone(),
                body,
            }),
            false => {
                ExchangeResult::Incomplete("length of the answer differs from its content length")
            }
        },
        Err(_) => ExchangeResult::Incomplete("answer is incomplete or too large"),
    }
}

/// Returns whether the answer carries the id of a request other than `id`. An answer without an id
/// is accepted, because runners need not repeat the header.
fn has_other_request_id(headers: &HeaderMap, id: &str) -> bool {
    let received = headers.get(REQUEST_ID_HEADER);
    received.is_some_and(|received| received.as_bytes() != id.as_bytes())
}

/// Returns whether the answer's framing distinguishes a complete body from a closed connection.
fn has_explicit_end(response: &ClientResponse, method: &Method) -> bool {
    let status = response.status();
    let bodiless = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let headers = response.headers();
    let chunked = headers.get(header::TRANSFER_ENCODING);
    let chunked = chunked.is_some_and(|coding| coding.as_bytes().ends_with(b"chunked"));
    bodiless
        || headers.contains_key(header::CONTENT_LENGTH)
        || (chunked && response.version() == Version::HTTP_11)
}

fn matches_content_length(headers: &HeaderMap, body: &Bytes, method: &Method) -> bool {
    let declared = headers.get(header::CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    *method == Method::HEAD || declared.is_none_or(|length| length == body.len())
}

/// Classifies a failed exchange. Only a failure to connect proves that nothing was sent.
fn classify_error(err: &ClientError) -> ExchangeResult {
    match err {
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            ExchangeResult::Incomplete("runner closed the connection before it answered")
        }
        ClientError::Connect(_) => ExchangeResult::NotSent,
        ClientError::Response(_) => ExchangeResult::Incomplete("answer is not valid HTTP"),
        _ => ExchangeResult::Incomplete("connection to the runner failed"),
    }
}

async fn sleep_unless_zero(delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
}
