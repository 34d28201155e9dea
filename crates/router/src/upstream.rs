//! Connections to runners.
//!
//! Each runner has a client of its own, so that its connections are bounded on their own. An
//! answer counts only when it is provably whole. Dropping an exchange closes its connection, so
//! that a late answer never meets a later request.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use kspan_contract::{link::Link, protocol::runner::REQUEST_ID_HEADER, runner::HealthClient};
use kspan_node::Links;
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

use crate::exchange::{Outgoing, Whole};

/// Largest answer that is passed on, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// How long an idle connection to a runner is kept. Shorter than servers commonly keep theirs, so
/// that a request seldom meets a connection that is being closed.
const RUNNER_KEEP_ALIVE: Seconds = Seconds(2);

/// A runner that was not used for so long has its connections dropped.
const IDLE_RUNNER: Duration = Duration::from_secs(30);

/// How long a health question may take.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(900);

/// How an exchange with a runner ended.
#[derive(Debug)]
pub enum Answered {
    /// With a whole answer.
    Whole(Whole),
    /// Without a connection: nothing was sent.
    Unsent,
    /// Without a whole answer: the runner may have worked on it.
    Broken(&'static str),
}

/// Connections to one runner.
struct Upstream {
    http: Client,
    health: HealthClient,
    connections: u32,
    used: Instant,
}

/// Connections to all runners.
pub struct Upstreams {
    links: Links,
    known: RefCell<FxHashMap<SocketAddr, Upstream>>,
}

impl Upstreams {
    /// Creates the set without any connection.
    pub fn new(links: Links) -> Self {
        Self {
            links,
            known: RefCell::default(),
        }
    }

    /// Sends a request and waits for its whole answer until `deadline`.
    pub async fn send(&self, start: &Dispatch, out: &Outgoing, deadline: Instant) -> Answered {
        let link = self.link(&start.location);
        if link.cut {
            // A cut link passes nothing and tells nothing.
            tokio::time::sleep_until(deadline).await;
            return Answered::Unsent;
        }
        let http = self.client(start.endpoint, start.connections).await;
        let exchange = exchange(http, start.endpoint, out, link.delay);
        timeout_at(deadline, exchange)
            .await
            .unwrap_or(Answered::Broken("no answer within the deadline"))
    }

    /// Asks a runner for its health.
    pub async fn health(&self, read: &HealthCheck) -> Option<RunnerHealth> {
        let link = self.link(&read.location);
        let client = self.health_client(read.endpoint).await;
        let asked = client.with_link(move |_| link).health(read.endpoint).await;
        asked.ok().map(|health| RunnerHealth {
            draining: health.draining,
            in_use: health.in_use,
        })
    }

    /// Drops the connections to runners that were not used lately.
    pub fn drop_idle(&self) {
        let now = Instant::now();
        let mut known = self.known.borrow_mut();
        known.retain(|_, upstream| now - upstream.used < IDLE_RUNNER);
    }

    fn link(&self, place: &RunnerLocation) -> Link {
        Link {
            delay: self.links.delay(&place.site),
            cut: self.links.is_cut(&place.worker, &place.site),
        }
    }

    async fn client(&self, endpoint: SocketAddr, connections: u32) -> Client {
        let known = self.find(endpoint, |upstream| {
            (upstream.connections == connections).then(|| upstream.http.clone())
        });
        if let Some(client) = known.flatten() {
            return client;
        }
        self.connect(endpoint, connections).await;
        let http = self.find(endpoint, |upstream| upstream.http.clone());
        http.expect("the runner was put just now")
    }

    async fn health_client(&self, endpoint: SocketAddr) -> HealthClient {
        if let Some(client) = self.find(endpoint, |upstream| upstream.health.clone()) {
            return client;
        }
        self.connect(endpoint, 1).await;
        let health = self.find(endpoint, |upstream| upstream.health.clone());
        health.expect("the runner was put just now")
    }

    fn find<T>(&self, endpoint: SocketAddr, f: impl FnOnce(&Upstream) -> T) -> Option<T> {
        let mut known = self.known.borrow_mut();
        let upstream = known.get_mut(&endpoint)?;
        upstream.used = Instant::now();
        Some(f(upstream))
    }

    /// Makes a client for the runner. An earlier one with another bound is dropped, which closes
    /// its idle connections and leaves those in use to finish.
    async fn connect(&self, endpoint: SocketAddr, connections: u32) {
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
            .expect("a plain connector has nothing that can fail");
        let upstream = Upstream {
            http,
            health: HealthClient::new(HEALTH_TIMEOUT).await,
            connections,
            used: Instant::now(),
        };
        self.known.borrow_mut().insert(endpoint, upstream);
    }
}

async fn exchange(http: Client, endpoint: SocketAddr, out: &Outgoing, delay: Duration) -> Answered {
    pause(delay).await;
    let url = format!("http://{endpoint}{}", out.target);
    let mut req = http.request(out.method.clone(), url).no_decompress();
    for (name, value) in &out.headers {
        req = req.header(name.clone(), value.clone());
    }
    let id = out.request.to_string();
    req = req.header(REQUEST_ID_HEADER, id.as_str());
    let sent = if out.body.is_empty() {
        req.send().await
    } else {
        req.send_body(out.body.clone()).await
    };
    let answered = match sent {
        Ok(response) => read_whole(response, out, &id).await,
        Err(err) => failure(&err),
    };
    pause(delay).await;
    answered
}

async fn read_whole(response: ClientResponse, out: &Outgoing, id: &str) -> Answered {
    if is_of_another(response.headers(), id) {
        return Answered::Broken("the answer names another request");
    }
    if !has_end(&response, &out.method) {
        return Answered::Broken("the answer does not tell its length");
    }
    match response.body().limit(MAX_ANSWER_BYTES).await {
        Ok(body) => match length_is(response.headers(), &body, &out.method) {
            true => Answered::Whole(Whole {
                status: response.status(),
                headers: response.headers().clone(),
                body,
            }),
            false => Answered::Broken("the answer was cut short"),
        },
        Err(_) => Answered::Broken("the answer was cut short or too large"),
    }
}

/// Returns whether the answer names a request other than `id`. One that names none is taken,
/// because runners need not repeat the header.
fn is_of_another(headers: &HeaderMap, id: &str) -> bool {
    let named = headers.get(REQUEST_ID_HEADER);
    named.is_some_and(|named| named.as_bytes() != id.as_bytes())
}

/// Returns whether the end of the answer can be told from the connection's end.
fn has_end(response: &ClientResponse, method: &Method) -> bool {
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

fn length_is(headers: &HeaderMap, body: &Bytes, method: &Method) -> bool {
    let declared = headers.get(header::CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    *method == Method::HEAD || declared.is_none_or(|length| length == body.len())
}

/// Only a failure to connect proves that nothing was sent.
fn failure(err: &ClientError) -> Answered {
    match err {
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            Answered::Broken("the runner closed the connection")
        }
        ClientError::Connect(_) => Answered::Unsent,
        ClientError::Response(_) => Answered::Broken("the answer is not HTTP"),
        _ => Answered::Broken("the connection failed"),
    }
}

async fn pause(delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
}
