//! Requests between the processes of a cell. A process keeps one connection to each process that
//! it sends requests to, and multiplexes concurrent requests on it.

#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use kspan_wire::stream::{read_frame, write_frame};
use quick_error::quick_error;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, oneshot},
    time::Instant,
};

use crate::{
    message::{Frame, Member, PeerReply, PeerRequest},
    telemetry,
};

/// Result of a request.
pub(crate) type Result<T> = std::result::Result<T, RequestError>;

quick_error! {
    /// Reason why a request has no reply.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum RequestError {
        /// The request was not sent.
        NotSent {
            display("not sent")
        }
        /// The request may have been executed.
        InDoubt {
            display("no reply")
        }
    }
}

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of frames that wait for a connection's writer.
const MAX_QUEUED_FRAMES: usize = 512;

type Address = (Ipv4Addr, u16);

/// Connections to other processes, by address.
#[derive(Default)]
pub(crate) struct Peers {
    connections: RefCell<FxHashMap<Address, Rc<Connection>>>,
}

struct Connection {
    tx: mpsc::Sender<Vec<u8>>,
    pending: RefCell<FxHashMap<u64, oneshot::Sender<PeerReply>>>,
    next_number: Cell<u64>,
    last_received: Cell<Instant>,
    is_open: Cell<bool>,
}

impl Connection {
    /// Closes the connection and fails its pending requests.
    fn close(&self) {
        self.is_open.set(false);
        self.pending.borrow_mut().clear();
    }
}

impl Peers {
    /// Sends a request to a process and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no reply within `timeout`.
    pub(crate) async fn request(
        &self,
        to: &Member,
        req: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply> {
        let sent_at = Instant::now();
        let connection = self.open_connection((to.address, to.port)).await?;
        let number = connection.next_number.get();
        connection.next_number.set(number + 1);
        let (tx, rx) = oneshot::channel();
        connection.pending.borrow_mut().insert(number, tx);
        let frame = encode(&Frame {
            number,
            content: req,
        });
        if connection.tx.try_send(frame).is_err() {
            connection.pending.borrow_mut().remove(&number);
            return Err(RequestError::NotSent);
        }
        let reply = tokio::time::timeout(timeout, rx).await;
        connection.pending.borrow_mut().remove(&number);
        match reply {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(RequestError::InDoubt),
            Err(_) => {
                // A connection that has received nothing since the request is likely broken.
                if connection.last_received.get() < sent_at {
                    connection.close();
                }
                Err(RequestError::InDoubt)
            }
        }
    }

    async fn open_connection(&self, to: Address) -> Result<Rc<Connection>> {
        let existing = self.connections.borrow().get(&to).cloned();
        if let Some(connection) = existing.filter(|connection| connection.is_open.get()) {
            return Ok(connection);
        }
        let connecting = TcpStream::connect(SocketAddr::from(to));
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(RequestError::NotSent),
        };
        // A concurrent request may have opened a connection meanwhile.
        let existing = self.connections.borrow().get(&to).cloned();
        if let Some(connection) = existing.filter(|connection| connection.is_open.get()) {
            return Ok(connection);
        }
        // A failure only makes small frames slower.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
        let connection = Rc::new(Connection {
            tx,
            pending: RefCell::default(),
            next_number: Cell::new(0),
            last_received: Cell::new(Instant::now()),
            is_open: Cell::new(true),
        });
        self.connections
            .borrow_mut()
            .insert(to, Rc::clone(&connection));
        ntex::rt::spawn(write_frames(writer, rx, Rc::clone(&connection)));
        ntex::rt::spawn(read_replies(reader, Rc::clone(&connection)));
        Ok(connection)
    }

    /// Returns whether a connection to the process is open.
    pub(crate) fn is_connected(&self, to: &Member) -> bool {
        let connections = self.connections.borrow();
        connections
            .get(&(to.address, to.port))
            .is_some_and(|connection| connection.is_open.get())
    }
}

async fn write_frames(
    mut writer: OwnedWriteHalf,
    mut rx: mpsc::Receiver<Vec<u8>>,
    connection: Rc<Connection>,
) {
    while let Some(frame) = rx.recv().await {
        if !connection.is_open.get() || write_frame(&mut writer, &frame).await.is_err() {
            break;
        }
    }
    connection.close();
}

async fn read_replies(mut reader: OwnedReadHalf, connection: Rc<Connection>) {
    let mut buf = Vec::new();
    while connection.is_open.get() && matches!(read_frame(&mut reader, &mut buf).await, Ok(true)) {
        connection.last_received.set(Instant::now());
        let Some(frame) = decode::<Frame<PeerReply>>(&buf) else {
            telemetry::record_malformed("frame");
            tracing::warn!("malformed reply of another process; connection closed");
            break;
        };
        let waiter = connection.pending.borrow_mut().remove(&frame.number);
        if let Some(waiter) = waiter {
            // The request may have timed out.
            let _ = waiter.send(frame.content);
        }
    }
    connection.close();
}

/// Serves requests of other processes with `handle` until this process exits.
pub(crate) async fn serve<H, R>(listener: TcpListener, handle: H)
where
    H: Fn(PeerRequest) -> R + Clone + 'static,
    R: Future<Output = PeerReply> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        ntex::rt::spawn(serve_connection(stream, handle.clone()));
    }
}

async fn serve_connection<H, R>(stream: TcpStream, handle: H)
where
    H: Fn(PeerRequest) -> R + Clone + 'static,
    R: Future<Output = PeerReply> + 'static,
{
    let (mut reader, mut writer) = stream.into_split();
    let (tx, mut rx) = mpsc::channel::<Vec<u8>>(MAX_QUEUED_FRAMES);
    ntex::rt::spawn(async move {
        while let Some(frame) = rx.recv().await {
            if write_frame(&mut writer, &frame).await.is_err() {
                return;
            }
        }
    });
    let mut buf = Vec::new();
    while matches!(read_frame(&mut reader, &mut buf).await, Ok(true)) {
        let Some(frame) = decode::<Frame<PeerRequest>>(&buf) else {
            telemetry::record_malformed("frame");
            tracing::warn!("malformed frame from another process; connection closed");
            return;
        };
        let (reply, tx) = (handle(frame.content), tx.clone());
        let number = frame.number;
        ntex::rt::spawn(async move {
            let content = reply.await;
            // A lost reply appears as a timeout to the sender, which retries if it needs to.
            let _ = tx.try_send(encode(&Frame { number, content }));
        });
    }
}

/// Encodes a message with `postcard`.
pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages have no types that postcard cannot encode")
}

/// Decodes a message; returns `None` if the bytes are not a valid one.
pub(crate) fn decode<T: for<'de> Deserialize<'de>>(buf: &[u8]) -> Option<T> {
    postcard::from_bytes(buf).ok()
}
