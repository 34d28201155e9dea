//! Client of the runners' health endpoints.
//!
//! Callers' requests do not use this client: routers forward them with an HTTP client of their
//! own.

use std::{fmt, net::SocketAddr, rc::Rc, time::Duration};

use ntex::{client::Client, http::StatusCode};

use crate::{
    call,
    error::{CallError, Result},
    link::Link,
    protocol::runner::Health,
};

/// Maximum size of a health response, in bytes.
const MAX_HEALTH_BYTES: usize = 4 * 1024;

/// A client for the health endpoints of runners. It is not `Send`.
#[derive(Clone)]
pub struct HealthClient {
    http: Client,
    link: Rc<dyn Fn(SocketAddr) -> Link>,
    timeout: Duration,
}

impl fmt::Debug for HealthClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HealthClient")
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

impl HealthClient {
    /// Creates a client whose calls each time out after `timeout`.
    pub async fn new(timeout: Duration) -> Self {
        Self {
            http: call::client(1).await,
            link: Rc::new(|_| Link::unimpaired()),
            timeout,
        }
    }

    /// Sets the function that returns the injected faults of the link to a runner.
    #[must_use]
    pub fn with_link(mut self, link: impl Fn(SocketAddr) -> Link + 'static) -> Self {
        self.link = Rc::new(link);
        self
    }

    /// Queries the health of a runner.
    ///
    /// # Errors
    ///
    /// Returns an error if the runner gives no valid response within the timeout.
    pub async fn health(&self, endpoint: SocketAddr) -> Result<Health> {
        let req = self.http.get(format!("http://{endpoint}/healthz"));
        let link = (self.link)(endpoint);
        let response = call::get(req, link, self.timeout, MAX_HEALTH_BYTES).await?;
        match response.status {
            StatusCode::OK => response.parse(),
            status => Err(CallError::Malformed(format!("status {status}"))),
        }
    }
}
