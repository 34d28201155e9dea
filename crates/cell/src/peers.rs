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

use kspan_wire::stream::{read_frame, read_length, read_payload, write_frame};
use quick_error::quick_error;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{Notify, mpsc, oneshot},
    time::Instant,
};

use crate::{
    admission::{self, Admission, ConnectionGuard, Interface, MemoryReservation, Refusal},
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

/// Maximum size of the requests that wait for a connection's writer, in bytes. A process that hangs
/// reads none, while callers keep sending.
const MAX_QUEUED_BYTES: usize = 6 * 1024 * 1024;

/// Time within which a reply must be written. Its request has timed out long before.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of a frame together with the request decoded from it, in sizes of the frame.
const DECODED_FACTOR: usize = 2;

/// Size of a reply together with the buffer from which it is written, in sizes of the reply.
const WRITE_FACTOR: usize = 2;

/// Memory that a request in flight takes besides its frame, in bytes.
const REQUEST_BYTES: usize = 1024;

/// Capacity above which the buffer of a connection is dropped after a frame, in bytes.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Interval at which a frame that has no room tries again.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);

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
    queued_bytes: Cell<usize>,
    last_received: Cell<Instant>,
    is_open: Cell<bool>,
}

impl Connection {
    /// Adds a frame to the queue of the writer. Returns `false` if the queue is full.
    fn enqueue(&self, frame: Vec<u8>) -> bool {
        let queued = self.queued_bytes.get() + frame.len();
        let has_room = queued <= MAX_QUEUED_BYTES;
        let is_queued = has_room && self.tx.try_send(frame).is_ok();
        if is_queued {
            self.queued_bytes.set(queued);
        }
        is_queued
    }

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
        if !connection.enqueue(frame) {
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
            queued_bytes: Cell::new(0),
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
        let queued = connection.queued_bytes.get();
        connection.queued_bytes.set(queued - frame.len());
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
        if buf.capacity() > MAX_KEPT_BYTES {
            buf = Vec::new();
        }
        let waiter = connection.pending.borrow_mut().remove(&frame.number);
        if let Some(waiter) = waiter {
            // The request may have timed out.
            let _ = waiter.send(frame.content);
        }
    }
    connection.close();
}

/// A reply that waits for a connection's writer, and what is reserved for it.
type Reply = (Vec<u8>, MemoryReservation);

/// Serves requests of other processes with `handle` until this process exits.
pub(crate) async fn serve<H, R>(listener: TcpListener, admission: Rc<Admission>, handle: H)
where
    H: Fn(PeerRequest) -> R + Clone + 'static,
    R: Future<Output = PeerReply> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let closed = Rc::new(Notify::new());
        let closer = Rc::clone(&closed);
        let close = move || closer.notify_one();
        let Some(guard) = admission.open_connection(Interface::Peers, close) else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (admission, handle) = (Rc::clone(&admission), handle.clone());
        ntex::rt::spawn(async move {
            tokio::select! {
                () = serve_connection(stream, &admission, &guard, handle) => {}
                () = closed.notified() => {}
            }
        });
        // A connection that was closed for this one is dropped by its own task.
        tokio::task::yield_now().await;
    }
}

async fn serve_connection<H, R>(
    stream: TcpStream,
    admission: &Rc<Admission>,
    guard: &ConnectionGuard,
    handle: H,
) where
    H: Fn(PeerRequest) -> R + Clone + 'static,
    R: Future<Output = PeerReply> + 'static,
{
    let (reader, writer) = stream.into_split();
    let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
    let writing = write_replies(writer, rx);
    tokio::pin!(writing);
    let is_done = tokio::select! {
        () = read_requests(reader, tx, admission, guard, handle) => false,
        result = &mut writing => {
            if result.is_err() {
                admission.report(Interface::Peers, "replies not read");
            }
            true
        }
    };
    if !is_done {
        // The requests in flight are still answered; a failure ends only this connection.
        let _ = writing.await;
    }
}

/// Writes replies until there are no more requests.
async fn write_replies(
    mut writer: OwnedWriteHalf,
    mut rx: mpsc::Receiver<Reply>,
) -> std::io::Result<()> {
    while let Some((frame, _reservation)) = rx.recv().await {
        tokio::time::timeout(WRITE_TIMEOUT, write_frame(&mut writer, &frame)).await??;
    }
    Ok(())
}

/// Reads requests until the connection ends, breaks the protocol, or has no room for too long.
async fn read_requests<H, R>(
    mut reader: OwnedReadHalf,
    tx: mpsc::Sender<Reply>,
    admission: &Rc<Admission>,
    guard: &ConnectionGuard,
    handle: H,
) where
    H: Fn(PeerRequest) -> R + Clone + 'static,
    R: Future<Output = PeerReply> + 'static,
{
    let mut buf = Vec::new();
    while let Ok(Some(length)) = read_length(&mut reader).await {
        guard.record_arrival();
        let reservation = admission.open_message(Interface::Peers);
        let frame = read_reserved(&mut reader, length, &mut buf, &reservation);
        match frame.await {
            Ok(true) => {}
            Ok(false) => return,
            Err(why) => return admission.report(Interface::Peers, why.name()),
        }
        let Some(frame) = decode::<Frame<PeerRequest>>(&buf) else {
            telemetry::record_malformed("frame");
            tracing::warn!("malformed frame from another process; connection closed");
            return;
        };
        if buf.capacity() > MAX_KEPT_BYTES {
            buf = Vec::new();
        }
        // What was reserved only shrinks here, which is always granted.
        let _ = reservation.resize(length + REQUEST_BYTES);
        guard.record_answer();
        let reply = handle(frame.content);
        ntex::rt::spawn(send_reply(reply, frame.number, reservation, tx.clone()));
    }
}

/// Reads a frame whose bytes are reserved before. Returns `false` if the stream ends within it.
///
/// # Errors
///
/// Returns an error if there is no room, or if the frame does not arrive in time.
async fn read_reserved(
    reader: &mut OwnedReadHalf,
    length: usize,
    buf: &mut Vec<u8>,
    reservation: &MemoryReservation,
) -> admission::Result<bool> {
    let bytes = DECODED_FACTOR * length + REQUEST_BYTES;
    while let Err(why) = reservation.resize(bytes) {
        if why != Refusal::Full {
            return Err(why);
        }
        tokio::time::sleep(ROOM_POLL_INTERVAL).await;
    }
    let read = tokio::select! {
        biased;
        read = read_payload(reader, length, buf) => read,
        why = reservation.evicted() => return Err(why),
    };
    reservation.record_end()?;
    Ok(read.is_ok())
}

async fn send_reply(
    reply: impl Future<Output = PeerReply>,
    number: u64,
    reservation: MemoryReservation,
    tx: mpsc::Sender<Reply>,
) {
    let content = reply.await;
    let frame = encode(&Frame { number, content });
    // A lost reply appears as a timeout to the sender, which retries if it needs to.
    if let Err(why) = reservation.resize(WRITE_FACTOR * frame.len()) {
        telemetry::record_refusal(Interface::Peers.name(), why.name());
        return;
    }
    let _ = tx.try_send((frame, reservation));
}

/// Encodes a message with `postcard`.
pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages have no types that postcard cannot encode")
}

/// Decodes a message; returns `None` if the bytes are not a valid one.
pub(crate) fn decode<T: for<'de> Deserialize<'de>>(buf: &[u8]) -> Option<T> {
    postcard::from_bytes(buf).ok()
}
