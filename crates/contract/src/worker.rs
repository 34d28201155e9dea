//! The client of workers' control endpoints.
//!
//! It sends one exchange and classifies the answer. It keeps no lease, retries nothing and
//! doesn't know what a refused lease means.

use std::{fmt, net::SocketAddr, rc::Rc, time::Duration};

use kspan_model::Name;
use ntex::{client::Client, http::StatusCode};

use crate::{
    call::{self, Answer},
    error::{CallError, Result},
    link::Link,
    protocol::worker::{Exchange, Report},
};

/// Largest report that is read, in bytes. A worker with 1,000 tasks sends about 300 KB.
const MAX_REPORT_BYTES: usize = 8 * 1024 * 1024;

/// Connections kept to one worker: one exchange is in flight at a time, and one more covers a
/// connection that is being replaced.
const CONNECTIONS_PER_WORKER: usize = 2;

/// Where a worker is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerAddress {
    /// The worker's name in the host list.
    pub name: Name,
    /// Its region.
    pub region: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its control endpoint.
    pub address: SocketAddr,
}

/// What came back from a worker that answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// The exchange was carried out.
    Granted(Report),
    /// The control lease was refused, and nothing was carried out.
    Refused(Report),
}

/// Sends exchanges to workers. It stays on the thread that created it.
#[derive(Clone)]
pub struct WorkerClient {
    http: Client,
    link: Rc<dyn Fn(&WorkerAddress) -> Link>,
    timeout: Duration,
}

impl fmt::Debug for WorkerClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkerClient")
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

impl WorkerClient {
    /// Creates a client whose exchanges each take at most `timeout`.
    pub async fn new(timeout: Duration) -> Self {
        Self {
            http: call::client(CONNECTIONS_PER_WORKER).await,
            link: Rc::new(|_| Link::unimpaired()),
            timeout,
        }
    }

    /// Sets what the link to each worker does.
    #[must_use]
    pub fn with_link(mut self, link: impl Fn(&WorkerAddress) -> Link + 'static) -> Self {
        self.link = Rc::new(link);
        self
    }

    /// Sends one exchange.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] where the worker certainly did not get it, and the other
    /// errors where it may have carried it out.
    pub async fn exchange(
        &self,
        worker: &WorkerAddress,
        body: &Exchange,
    ) -> Result<ExchangeOutcome> {
        let req = self
            .http
            .post(format!("http://{}/v1/exchange", worker.address));
        let link = (self.link)(worker);
        let answer = call::post(req, body, link, self.timeout, MAX_REPORT_BYTES).await?;
        count_bytes(worker, &answer);
        match answer.status {
            StatusCode::OK => answer.parse().map(ExchangeOutcome::Granted),
            StatusCode::CONFLICT => answer.parse().map(ExchangeOutcome::Refused),
            status => Err(CallError::Malformed(format!("status {status}"))),
        }
    }
}

/// Counts the bytes of an exchange in both directions, without the heads of HTTP.
fn count_bytes(worker: &WorkerAddress, answer: &Answer) {
    let region = worker.region.to_string();
    let sent = metrics::counter!("kspan_exchange_bytes_sent_total", "region" => region.clone());
    sent.increment(answer.sent_bytes);
    let received = metrics::counter!("kspan_exchange_bytes_received_total", "region" => region);
    received.increment(answer.received_bytes());
}
