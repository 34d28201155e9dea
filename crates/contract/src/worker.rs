//! Client of the workers' control endpoints.
//!
//! It sends an exchange and classifies the response. It neither tracks leases nor retries; the
//! caller handles a refused lease.

use std::{fmt, net::SocketAddr, rc::Rc, time::Duration};

use kspan_model::Name;
use ntex::{client::Client, http::StatusCode};

use crate::{
    call::{self, CompleteResponse},
    error::{CallError, Result},
    link::Link,
    protocol::worker::{Exchange, Report},
};

/// Maximum size of a report, in bytes. A worker with 1,000 tasks sends about 300 KB.
const MAX_REPORT_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of connections to one worker. One exchange is in flight at a time; the second
/// connection allows the first to be replaced.
const MAX_CONNECTIONS_PER_WORKER: usize = 2;

/// Identity, location and address of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerAddress {
    /// Name of the worker in the host list.
    pub name: Name,
    /// Region of the worker.
    pub region: Name,
    /// Data centre of the worker.
    pub data_centre: Name,
    /// Address of the control endpoint.
    pub address: SocketAddr,
}

/// Outcome of an exchange to which the worker responded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// The control lease was granted and the exchange carried out.
    Granted(Report),
    /// The control lease was refused and no part of the exchange carried out.
    Refused(Report),
}

/// A client for the control endpoints of workers. It is not `Send`.
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
    /// Creates a client whose exchanges each time out after `timeout`.
    pub async fn new(timeout: Duration) -> Self {
        Self {
            http: call::client(MAX_CONNECTIONS_PER_WORKER).await,
            link: Rc::new(|_| Link::unimpaired()),
            timeout,
        }
    }

    /// Sets the function that returns the injected faults of the link to a worker.
    #[must_use]
    pub fn with_link(mut self, link: impl Fn(&WorkerAddress) -> Link + 'static) -> Self {
        self.link = Rc::new(link);
        self
    }

    /// Sends an exchange to a worker.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if the worker certainly did not receive the exchange, and
    /// another error if the worker may have carried it out.
    pub async fn exchange(
        &self,
        worker: &WorkerAddress,
        body: &Exchange,
    ) -> Result<ExchangeOutcome> {
        let req = self
            .http
            .post(format!("http://{}/v1/exchange", worker.address));
        let link = (self.link)(worker);
        let response = call::post(req, body, link, self.timeout, MAX_REPORT_BYTES).await?;
        count_bytes(worker, &response);
        match response.status {
            StatusCode::OK => response.parse().map(ExchangeOutcome::Granted),
            StatusCode::CONFLICT => response.parse().map(ExchangeOutcome::Refused),
            status => Err(CallError::Malformed(format!("status {status}"))),
        }
    }
}

/// Counts the body bytes of an exchange in both directions, HTTP headers excluded.
fn count_bytes(worker: &WorkerAddress, response: &CompleteResponse) {
    let region = worker.region.to_string();
    let sent = metrics::counter!("kspan_exchange_bytes_sent_total", "region" => region.clone());
    sent.increment(response.sent_bytes);
    let received = metrics::counter!("kspan_exchange_bytes_received_total", "region" => region);
    received.increment(response.received_bytes());
}
