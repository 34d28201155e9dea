//! The wire thread: TCP streams between members.
//!
//! Each receiving member has a task with a bounded queue and one connection. Messages may be lost
//! with a connection; they are never sent twice.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use kspan_model::{Member, NodeId};
use kspan_wire::{
    codec,
    message::{MAX_FRAME_BYTES, Message, membership},
    stream,
};
use tokio::{
    io::BufReader,
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Semaphore, mpsc},
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    inner::{Inner, Outgoing, Phase, count_bytes, count_dropped},
    ring::Receiver,
};

/// Maximum number of frames queued for one member.
const MAX_QUEUED_FRAMES: usize = 1_024;

/// Maximum number of incoming connections.
const MAX_CONNECTIONS: usize = 512;

/// Timeout for connecting, and for writing one frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a failed connect, during which messages to the member are dropped, and after a
/// failed accept.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Encoded message and the time from which it may be sent.
struct Frame {
    due: Instant,
    bytes: Vec<u8>,
}

/// Runs the thread until the process ends.
pub(crate) async fn run(inner: Arc<Inner>, listener: TcpListener, outgoing: Receiver<Outgoing>) {
    let mut phase = inner.phase.subscribe();
    tokio::select! {
        () = accept(&inner, listener) => {}
        () = send(&inner, outgoing) => {}
        _ = phase.wait_for(|phase| *phase == Phase::Stopped) => {}
    }
}

async fn accept(inner: &Arc<Inner>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((conn, _)) => {
                let inner = Arc::clone(inner);
                tokio::task::spawn_local(async move {
                    receive(&inner, conn).await;
                    drop(permit);
                });
            }
            Err(err) => {
                log::warn!("wire: accept failed: {err}");
                sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

async fn receive(inner: &Inner, conn: TcpStream) {
    let Ok(remote) = conn.peer_addr() else {
        return;
    };
    let mut rx = BufReader::new(conn);
    let mut buf = Vec::new();
    while let Ok(true) = stream::read_frame(&mut rx, &mut buf).await {
        let envelope = match codec::decode(&buf, MAX_FRAME_BYTES, &inner.cfg.cell) {
            Ok(envelope) => envelope,
            Err(err) => {
                log::debug!("wire: dropped a frame from {remote}, closing the connection: {err}");
                count_dropped("malformed");
                return;
            }
        };
        let state = inner.state();
        let sender = state.view.member(&envelope.from);
        let Some(sender) = sender.filter(|member| member.wire.ip() == remote.ip()) else {
            count_dropped("not-member");
            continue;
        };
        if envelope.to != inner.me.node {
            count_dropped("other-life");
        } else if inner.is_cut(sender) {
            count_dropped("cut");
        } else {
            match envelope.message {
                Message::Membership(membership::Message::Relay(message)) => {
                    inner.receive_relay(&envelope.from, message);
                }
                Message::Membership(_) => count_dropped("not-on-a-stream"),
                message => inner.events.send_message(envelope.from, message),
            }
        }
    }
}

async fn send(inner: &Arc<Inner>, outgoing: Receiver<Outgoing>) {
    let local_ip = inner.me.wire.ip();
    let mut peers: HashMap<NodeId, mpsc::Sender<Frame>> = HashMap::new();
    while let Some(Outgoing { to, message }) = outgoing.recv().await {
        if inner.is_cut(&to) {
            count_dropped("cut");
            continue;
        }
        let envelope = inner.envelope(&to.node, message);
        let bytes = match codec::encode(&envelope, MAX_FRAME_BYTES) {
            Ok(bytes) => bytes,
            Err(err) => {
                log::error!(
                    "wire: can't encode a message to {}, message dropped: {err}",
                    to.node
                );
                count_dropped("too-large");
                continue;
            }
        };
        let due = Instant::now() + inner.link_faults.delay(&to.site);
        if !peers.contains_key(&to.node) {
            let state = inner.state();
            peers.retain(|node, _| state.view.member(node).is_some());
        }
        let peer = peers.entry(to.node.clone()).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
            tokio::task::spawn_local(send_to(to, local_ip, rx));
            tx
        });
        if peer.try_send(Frame { due, bytes }).is_err() {
            count_dropped("queue-full");
        }
    }
}

/// Sends frames to one member until the queue is closed.
async fn send_to(to: Member, local_ip: IpAddr, mut frames: mpsc::Receiver<Frame>) {
    let mut conn: Option<TcpStream> = None;
    while let Some(Frame { due, bytes }) = frames.recv().await {
        sleep_until(due).await;
        if conn.is_none() {
            conn = connect(&to, local_ip).await;
        }
        let Some(tx) = conn.as_mut() else {
            count_dropped("unreachable");
            drop_frames_for(RECONNECT_DELAY, &mut frames).await;
            continue;
        };
        count_bytes("kspan_stream_bytes_sent_total", &to.site, bytes.len());
        let sent = timeout(SEND_TIMEOUT, stream::write_frame(tx, &bytes)).await;
        if !matches!(sent, Ok(Ok(()))) {
            count_dropped("connection-lost");
            conn = None;
        }
    }
}

/// Connects from the address that the view lists for this process, because members accept
/// messages from no other address.
async fn connect(to: &Member, local_ip: IpAddr) -> Option<TcpStream> {
    let socket = match local_ip {
        IpAddr::V4(_) => TcpSocket::new_v4(),
        IpAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.ok()?;
    socket.bind(SocketAddr::new(local_ip, 0)).ok()?;
    let conn = timeout(SEND_TIMEOUT, socket.connect(to.wire)).await;
    let conn = conn.ok()?.ok()?;
    conn.set_nodelay(true).ok()?;
    Some(conn)
}

/// Waits for the delay and drops the frames queued by then, so that an unreachable member does
/// not get stale messages later.
async fn drop_frames_for(delay: Duration, frames: &mut mpsc::Receiver<Frame>) {
    sleep(delay).await;
    while frames.try_recv().is_ok() {
        count_dropped("unreachable");
    }
}
