//! HTTP calls under a single timeout. Failures are classified by whether the request may have
//! taken effect.

use std::time::Duration;

use ntex::client::{
    Client, ClientRequest, ClientResponse,
    error::{ClientError, ConnectError},
};
use ntex::http::StatusCode;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    error::{CallError, Result},
    link::Link,
};

/// Status and complete body of a response.
pub(crate) struct CompleteResponse {
    /// Status of the response.
    pub(crate) status: StatusCode,
    /// Size of the request body in bytes.
    pub(crate) sent_bytes: u64,
    body: Vec<u8>,
}

impl CompleteResponse {
    /// Returns the size of the response body in bytes.
    pub(crate) fn received_bytes(&self) -> u64 {
        self.body.len() as u64
    }

    /// Parses the body as JSON.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body)
            .map_err(|err| CallError::Malformed(format!("{}: {err}", self.status)))
    }
}

/// Posts `body` as JSON and reads the complete response within `timeout`, subject to the injected
/// faults of `link`.
pub(crate) async fn post<T: Serialize>(
    req: ClientRequest,
    body: &T,
    link: Link,
    timeout: Duration,
    max_bytes: usize,
) -> Result<CompleteResponse> {
    let body = serde_json::to_vec(body).expect("request bodies serialize without error");
    let sent_bytes = body.len() as u64;
    let sent = req.content_type("application/json").send_body(body);
    let mut response = exchange(sent, link, timeout, max_bytes).await?;
    response.sent_bytes = sent_bytes;
    Ok(response)
}

/// Sends a request without a body; otherwise like [`post`].
pub(crate) async fn get(
    req: ClientRequest,
    link: Link,
    timeout: Duration,
    max_bytes: usize,
) -> Result<CompleteResponse> {
    exchange(req.send(), link, timeout, max_bytes).await
}

async fn exchange(
    sent: impl Future<Output = std::result::Result<ClientResponse, ClientError>>,
    link: Link,
    timeout: Duration,
    max_bytes: usize,
) -> Result<CompleteResponse> {
    if link.cut {
        tokio::time::sleep(timeout).await;
        return Err(CallError::NotSent(
            "link is cut by an injected fault".to_owned(),
        ));
    }
    let round_trip = async {
        sleep_unless_zero(link.delay).await;
        let response = sent.await.map_err(classify_error)?;
        let complete = read_response(&response, max_bytes).await;
        sleep_unless_zero(link.delay).await;
        complete
    };
    // The timeout drops the connection with the response still outstanding, so that no later call
    // can read that response as its own.
    tokio::time::timeout(timeout, round_trip)
        .await
        .unwrap_or_else(|_| Err(CallError::Lost("timed out".to_owned())))
}

async fn sleep_unless_zero(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

async fn read_response(response: &ClientResponse, max_bytes: usize) -> Result<CompleteResponse> {
    let body = response
        .body()
        .limit(max_bytes)
        .await
        .map_err(|err| CallError::Lost(err.to_string()))?;
    Ok(CompleteResponse {
        status: response.status(),
        sent_bytes: 0,
        body: body.to_vec(),
    })
}

fn classify_error(err: ClientError) -> CallError {
    match err {
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            CallError::Lost("the peer closed the connection".to_owned())
        }
        ClientError::Connect(err) => CallError::NotSent(err.to_string()),
        ClientError::Url(err) => CallError::NotSent(err.to_string()),
        err => CallError::Lost(err.to_string()),
    }
}

/// Creates a client with at most `connections` connections to each endpoint. The timeout of each
/// call is enforced by [`post`] and [`get`].
pub(crate) async fn client(connections: usize) -> Client {
    Client::builder()
        .connector::<()>(ntex::client::Connector::new().limit(connections))
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .build(ntex::SharedCfg::default())
        .await
        .expect("building a plain TCP connector does not fail")
}
