//! One HTTP call under one timeout, classified by what a failure proves.

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

/// An answer's status with its whole body.
pub(crate) struct Answer {
    /// Status of the answer.
    pub(crate) status: StatusCode,
    /// Bytes of the request's body.
    pub(crate) sent_bytes: u64,
    body: Vec<u8>,
}

impl Answer {
    /// Returns the bytes of the answer's body.
    pub(crate) fn received_bytes(&self) -> u64 {
        self.body.len() as u64
    }

    /// Parses the body.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body)
            .map_err(|err| CallError::Malformed(format!("{}: {err}", self.status)))
    }
}

/// Sends `body` and reads the whole answer within `timeout`, over an artificial `link`.
pub(crate) async fn post<T: Serialize>(
    req: ClientRequest,
    body: &T,
    link: Link,
    timeout: Duration,
    max_bytes: usize,
) -> Result<Answer> {
    let body = serde_json::to_vec(body).expect("bodies of the platform are plain data");
    let sent_bytes = body.len() as u64;
    let sent = req.content_type("application/json").send_body(body);
    let mut answer = over_link(sent, link, timeout, max_bytes).await?;
    answer.sent_bytes = sent_bytes;
    Ok(answer)
}

/// Sends a request without a body; otherwise like [`post`].
pub(crate) async fn get(
    req: ClientRequest,
    link: Link,
    timeout: Duration,
    max_bytes: usize,
) -> Result<Answer> {
    over_link(req.send(), link, timeout, max_bytes).await
}

async fn over_link(
    sent: impl Future<Output = std::result::Result<ClientResponse, ClientError>>,
    link: Link,
    timeout: Duration,
    max_bytes: usize,
) -> Result<Answer> {
    if link.cut {
        tokio::time::sleep(timeout).await;
        return Err(CallError::NotSent("link is cut".to_owned()));
    }
    let exchange = async {
        pause(link.delay).await;
        let response = sent.await.map_err(classify)?;
        let answer = read(&response, max_bytes).await;
        pause(link.delay).await;
        answer
    };
    // The timeout drops the connection with the answer still due on it, so that no later call can
    // read that answer as its own.
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or_else(|_| Err(CallError::Lost("timeout".to_owned())))
}

async fn pause(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

async fn read(response: &ClientResponse, max_bytes: usize) -> Result<Answer> {
    let body = response
        .body()
        .limit(max_bytes)
        .await
        .map_err(|err| CallError::Lost(err.to_string()))?;
    Ok(Answer {
        status: response.status(),
        sent_bytes: 0,
        body: body.to_vec(),
    })
}

fn classify(err: ClientError) -> CallError {
    match err {
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            CallError::Lost("disconnected".to_owned())
        }
        ClientError::Connect(err) => CallError::NotSent(err.to_string()),
        ClientError::Url(err) => CallError::NotSent(err.to_string()),
        err => CallError::Lost(err.to_string()),
    }
}

/// Builds a client that keeps `connections` open to each endpoint.
pub(crate) async fn client(connections: usize) -> Client {
    Client::builder()
        .connector::<()>(ntex::client::Connector::new().limit(connections))
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .build(ntex::SharedCfg::default())
        .await
        .expect("a plain connector has nothing that can fail")
}
