//! HTTP server on the process's single thread.

use std::{cell::RefCell, future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use ntex::{
    ServiceFactory, SharedCfg, fn_service,
    http::{
        HttpService, HttpServiceConfig, KeepAlive, Payload, Request, Response, StatusCode,
        body::Body as ResponseBody, error::PayloadError,
    },
    io::{Io, IoRef},
    time::Seconds,
    util::{Bytes, stream_recv},
};
use quick_error::quick_error;
use rustc_hash::FxHashMap;
use tokio::net::{TcpListener, TcpStream};

use crate::admission::{Admission, ConnectionGuard, Interface, MemoryReservation, Refusal};

/// Result of reading a request's body.
pub(crate) type Result<T> = std::result::Result<T, BodyError>;

/// Time for which an idle connection is kept open.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(120);

/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 512 * 1024;

/// Initial capacity for a body that doesn't arrive at once, in bytes.
const MIN_BODY_CAPACITY: usize = 16 * 1024;

/// Delay before the next attempt to accept a connection after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time after which a client whose request was refused for lack of memory should retry, in seconds.
const RETRY_AFTER_S: u32 = 1;

quick_error! {
    /// Reason why a request's body was not read.
    #[derive(Debug)]
    pub enum BodyError {
        /// The body is larger than the maximum.
        TooLarge {
            display("request body larger than {MAX_BODY_BYTES} bytes")
        }
        /// The process doesn't read the body, or doesn't read it to its end.
        Refused(why: Refusal) {
            from()
            display("{why}")
        }
        /// The connection failed, or the body is malformed.
        Broken(err: PayloadError) {
            from()
            display("{err}")
        }
    }
}

impl BodyError {
    fn name(&self) -> &'static str {
        match self {
            Self::TooLarge => "too large",
            Self::Refused(why) => why.name(),
            Self::Broken(_) => "broken",
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Refused(Refusal::Full) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Refused(Refusal::Stalled) => StatusCode::REQUEST_TIMEOUT,
            Self::Broken(_) => StatusCode::BAD_REQUEST,
        }
    }
}

/// A request's complete body, whose bytes are reserved while it is held.
#[derive(Default)]
pub(crate) struct Body {
    bytes: Vec<u8>,
    reservation: Option<MemoryReservation>,
}

impl Body {
    /// Returns the body's bytes.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Reserves `factor` times the body's size for what is decoded from it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room.
    pub(crate) fn reserve_decoded(&self, factor: usize) -> Result<()> {
        let reserved = self.bytes.len() * factor;
        let resize = |one: &MemoryReservation| one.resize(reserved);
        Ok(self.reservation.as_ref().map_or(Ok(()), resize)?)
    }

    /// Drops the bytes and returns what is reserved.
    pub(crate) fn into_reservation(self) -> Option<MemoryReservation> {
        self.reservation
    }
}

/// A request's connection, and what is known of the clients of its interface.
pub(crate) struct RequestContext {
    interface: Interface,
    admission: Rc<Admission>,
    connection: Option<Rc<ConnectionGuard>>,
}

impl RequestContext {
    /// Reads a request's complete body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated or too large, does not arrive in time, or has no
    /// room.
    pub(crate) async fn read_body(&self, req: &mut Request) -> Result<Body> {
        if !has_body(req) {
            return Ok(Body::default());
        }
        let announced = announced_bytes(req);
        if announced.is_some_and(|bytes| bytes > MAX_BODY_BYTES) {
            return Err(BodyError::TooLarge);
        }
        let max_bytes = announced.unwrap_or(MAX_BODY_BYTES);
        self.receive(req, max_bytes).await
    }

    async fn receive(&self, req: &mut Request, max_bytes: usize) -> Result<Body> {
        let reservation = self.admission.open_message(self.interface);
        let mut payload = req.take_payload();
        let mut bytes = Vec::new();
        let mut has_waited = false;
        while let Some(chunk) = self
            .receive_chunk(&mut payload, &reservation, &mut has_waited)
            .await?
        {
            let length = bytes.len() + chunk.len();
            if length > MAX_BODY_BYTES {
                return Err(BodyError::TooLarge);
            }
            if length > bytes.capacity() {
                let doubled = (2 * bytes.capacity()).max(MIN_BODY_CAPACITY);
                let capacity = doubled.min(max_bytes).max(length);
                reservation.resize(capacity)?;
                bytes.reserve_exact(capacity - bytes.len());
            }
            bytes.extend_from_slice(&chunk);
        }
        reservation.record_end()?;
        if has_waited {
            self.record(ConnectionGuard::record_execution);
        }
        let reservation = Some(reservation);
        Ok(Body { bytes, reservation })
    }

    /// Receives the next chunk. The second branch runs only where the chunk isn't there yet.
    async fn receive_chunk(
        &self,
        payload: &mut Payload,
        reservation: &MemoryReservation,
        has_waited: &mut bool,
    ) -> Result<Option<Bytes>> {
        let evicted = async {
            *has_waited = true;
            self.record(ConnectionGuard::record_arrival);
            reservation.evicted().await
        };
        tokio::select! {
            biased;
            chunk = stream_recv(payload) => Ok(chunk.transpose()?),
            why = evicted => Err(why.into()),
        }
    }

    /// Creates the response to a request whose body was not read or has no room. The request was
    /// not executed. The connection is closed, because the rest of the body may follow.
    pub(crate) fn refuse(&self, err: &BodyError) -> Response {
        self.admission.report(self.interface, err.name());
        self.record(ConnectionGuard::record_refusal);
        let mut builder = Response::build(err.status());
        if matches!(err, BodyError::Refused(Refusal::Full)) {
            builder.header("Retry-After", RETRY_AFTER_S.to_string());
        }
        builder.force_close();
        builder.content_type("text/plain");
        builder.body(err.to_string())
    }

    fn record(&self, step: impl Fn(&ConnectionGuard)) {
        if let Some(connection) = &self.connection {
            step(connection);
        }
    }
}

/// Returns whether a request has a body.
pub(crate) fn has_body(req: &mut Request) -> bool {
    !matches!(req.payload(), Payload::None)
}

/// Returns the size of the body that the request's head announces.
fn announced_bytes(req: &Request) -> Option<usize> {
    let value = req.headers().get("content-length")?;
    value.to_str().ok()?.trim().parse().ok()
}

/// Open connections of an interface.
type Connections = Rc<RefCell<FxHashMap<IoRef, Rc<ConnectionGuard>>>>;

/// Serves requests on `addr` with `handle` until the process exits.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn serve<F, R>(
    addr: SocketAddr,
    interface: Interface,
    admission: Rc<Admission>,
    handle: F,
) -> io::Result<()>
where
    F: Fn(Request, RequestContext) -> R + Clone + 'static,
    R: Future<Output = Response> + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let http = HttpServiceConfig::new()
        .set_max_buf_size(MAX_HEAD_BYTES)
        .set_keepalive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT));
    let cfg: SharedCfg = SharedCfg::new("http").add(http).into();
    let connections = Connections::default();
    let (open, known) = (Rc::clone(&connections), Rc::clone(&admission));
    let service = HttpService::<_, _, ResponseBody>::h1(fn_service(move |req: Request| {
        let connection = req.io().and_then(|io| open.borrow().get(io).cloned());
        let cx = RequestContext {
            interface,
            admission: Rc::clone(&known),
            connection: connection.clone(),
        };
        cx.record(ConnectionGuard::record_execution);
        let response = handle(req, cx);
        async move {
            let response = response.await;
            if let Some(connection) = connection {
                connection.record_answer();
            }
            Ok::<_, io::Error>(response)
        }
    }));
    let pipeline = service.pipeline(cfg.clone()).await;
    let pipeline =
        Rc::new(pipeline.map_err(|_| io::Error::other("the HTTP service could not be created"))?);
    ntex::rt::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Some(io) = open_io(stream, &cfg) else {
                continue;
            };
            let (io_ref, closer) = (io.get_ref(), io.get_ref());
            let Some(guard) = admission.open_connection(interface, move || closer.terminate())
            else {
                continue;
            };
            connections
                .borrow_mut()
                .insert(io_ref.clone(), Rc::new(guard));
            let (pipeline, connections) = (Rc::clone(&pipeline), Rc::clone(&connections));
            ntex::rt::spawn(async move {
                // An error ends only this connection, and its client notices it.
                let _ = pipeline.call(io).await;
                connections.borrow_mut().remove(&io_ref);
            });
            // A connection that was closed for this one is dropped by its own task.
            tokio::task::yield_now().await;
        }
    });
    Ok(())
}

fn open_io(stream: TcpStream, cfg: &SharedCfg) -> Option<Io> {
    let stream = stream.into_std().ok()?;
    // A failure only makes responses slower.
    let _ = stream.set_nodelay(true);
    ntex::rt::from_tcp_stream(stream, cfg.clone()).ok()
}
