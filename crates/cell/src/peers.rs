//! Questions between the processes of a cell: one kept connection from each that asks to each
//! that answers, with many questions on it at a time.

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
    message::{Ask, Frame, Member, Reply},
    node::Node,
};

/// Result of a question.
pub(crate) type Result<T> = std::result::Result<T, AskError>;

quick_error! {
    /// Why a question has no answer.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum AskError {
        /// It did not leave this process.
        NotSent {
            display("not sent")
        }
        /// It may have been carried out.
        Lost {
            display("no answer")
        }
    }
}

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Questions and answers that wait for a connection's writer.
const QUEUED_FRAMES: usize = 512;

type Address = (Ipv4Addr, u16);

/// Connections to other processes.
#[derive(Default)]
pub(crate) struct Peers {
    links: RefCell<FxHashMap<Address, Rc<Link>>>,
}

struct Link {
    tx: mpsc::Sender<Vec<u8>>,
    pending: RefCell<FxHashMap<u64, oneshot::Sender<Reply>>>,
    next: Cell<u64>,
    heard: Cell<Instant>,
    open: Cell<bool>,
}

impl Link {
    /// Gives up every question that is not answered.
    fn close(&self) {
        self.open.set(false);
        self.pending.borrow_mut().clear();
    }
}

impl Peers {
    /// Asks a process.
    ///
    /// # Errors
    ///
    /// Returns an error where no answer came within `timeout`.
    pub(crate) async fn ask(&self, to: &Member, ask: Ask, timeout: Duration) -> Result<Reply> {
        let asked = Instant::now();
        let link = self.link((to.address, to.port)).await?;
        let number = link.next.get();
        link.next.set(number + 1);
        let (tx, rx) = oneshot::channel();
        link.pending.borrow_mut().insert(number, tx);
        let frame = encode(&Frame {
            number,
            content: ask,
        });
        if link.tx.try_send(frame).is_err() {
            link.pending.borrow_mut().remove(&number);
            return Err(AskError::NotSent);
        }
        let answer = tokio::time::timeout(timeout, rx).await;
        link.pending.borrow_mut().remove(&number);
        match answer {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(AskError::Lost),
            Err(_) => {
                // A connection that has gone silent is not used again.
                if link.heard.get() < asked {
                    link.close();
                }
                Err(AskError::Lost)
            }
        }
    }

    async fn link(&self, to: Address) -> Result<Rc<Link>> {
        let known = self.links.borrow().get(&to).cloned();
        if let Some(link) = known.filter(|link| link.open.get()) {
            return Ok(link);
        }
        let connect = TcpStream::connect(SocketAddr::from(to));
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(AskError::NotSent),
        };
        // Another question may have opened a connection meanwhile.
        let known = self.links.borrow().get(&to).cloned();
        if let Some(link) = known.filter(|link| link.open.get()) {
            return Ok(link);
        }
        // Without it, small frames only wait a little longer.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let (tx, rx) = mpsc::channel(QUEUED_FRAMES);
        let link = Rc::new(Link {
            tx,
            pending: RefCell::default(),
            next: Cell::new(0),
            heard: Cell::new(Instant::now()),
            open: Cell::new(true),
        });
        self.links.borrow_mut().insert(to, Rc::clone(&link));
        ntex::rt::spawn(write_all(writer, rx, Rc::clone(&link)));
        ntex::rt::spawn(read_answers(reader, Rc::clone(&link)));
        Ok(link)
    }

    /// Returns whether a connection to the process is open.
    pub(crate) fn is_linked(&self, to: &Member) -> bool {
        let links = self.links.borrow();
        links
            .get(&(to.address, to.port))
            .is_some_and(|link| link.open.get())
    }
}

async fn write_all(mut writer: OwnedWriteHalf, mut rx: mpsc::Receiver<Vec<u8>>, link: Rc<Link>) {
    while let Some(frame) = rx.recv().await {
        if !link.open.get() || write_frame(&mut writer, &frame).await.is_err() {
            break;
        }
    }
    link.close();
}

async fn read_answers(mut reader: OwnedReadHalf, link: Rc<Link>) {
    let mut buf = Vec::new();
    while link.open.get() && matches!(read_frame(&mut reader, &mut buf).await, Ok(true)) {
        link.heard.set(Instant::now());
        let Some(frame) = decode::<Frame<Reply>>(&buf) else {
            break;
        };
        let asker = link.pending.borrow_mut().remove(&frame.number);
        if let Some(asker) = asker {
            // The asker may have given up.
            let _ = asker.send(frame.content);
        }
    }
    link.close();
}

/// Answers the questions of other processes until the process ends.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        ntex::rt::spawn(serve_one(Rc::clone(&node), stream));
    }
}

async fn serve_one(node: Rc<Node>, stream: TcpStream) {
    let (mut reader, mut writer) = stream.into_split();
    let (tx, mut rx) = mpsc::channel::<Vec<u8>>(QUEUED_FRAMES);
    ntex::rt::spawn(async move {
        while let Some(frame) = rx.recv().await {
            if write_frame(&mut writer, &frame).await.is_err() {
                return;
            }
        }
    });
    let mut buf = Vec::new();
    while matches!(read_frame(&mut reader, &mut buf).await, Ok(true)) {
        let Some(frame) = decode::<Frame<Ask>>(&buf) else {
            tracing::warn!("a peer sent an unreadable frame");
            return;
        };
        let (node, tx) = (Rc::clone(&node), tx.clone());
        ntex::rt::spawn(async move {
            let content = node.answer(frame.content).await;
            let number = frame.number;
            // The asker may be gone; it asks again where it matters.
            let _ = tx.try_send(encode(&Frame { number, content }));
        });
    }
}

/// Encodes a message.
pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages are plain data")
}

/// Decodes a message; `None` for anything else.
pub(crate) fn decode<T: for<'de> Deserialize<'de>>(buf: &[u8]) -> Option<T> {
    postcard::from_bytes(buf).ok()
}
