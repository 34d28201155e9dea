//! The client of runners' health endpoints.
//!
//! Requests of callers don't pass here: routers carry them with a client of their own.

use std::{fmt, net::SocketAddr, rc::Rc, time::Duration};

use ntex::{client::Client, http::StatusCode};

use crate::{
    call,
    error::{CallError, Result},
    link::Link,
    protocol::runner::Health,
};

/// Largest health answer that is read, in bytes.
const MAX_HEALTH_BYTES: usize = 4 * 1024;

/// Asks runners for their health. It stays on the thread that created it.
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
    /// Creates a client whose questions each take at most `timeout`.
    pub async fn new(timeout: Duration) -> Self {
        Self {
            http: call::client(1).await,
            link: Rc::new(|_| Link::unimpaired()),
            timeout,
        }
    }

    /// Sets what the link to each runner does.
    #[must_use]
    pub fn with_link(mut self, link: impl Fn(SocketAddr) -> Link + 'static) -> Self {
        self.link = Rc::new(link);
        self
    }

    /// Asks one runner for its health.
    ///
    /// # Errors
    ///
    /// Returns an error where the runner gave no valid answer within the timeout.
    pub async fn health(&self, endpoint: SocketAddr) -> Result<Health> {
        let req = self.http.get(format!("http://{endpoint}/healthz"));
        let link = (self.link)(endpoint);
        let answer = call::get(req, link, self.timeout, MAX_HEALTH_BYTES).await?;
        match answer.status {
            StatusCode::OK => answer.parse(),
            status => Err(CallError::Malformed(format!("status {status}"))),
        }
    }
}
