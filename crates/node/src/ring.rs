//! Bounded channels between threads.
//!
//! Sending to a full channel fails instead of blocking, so that a slow receiver does not delay
//! other threads. The ring buffer is lock-free; the receiver waits for a notification while it is
//! empty.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use crossbeam_queue::ArrayQueue;
use derive_more::{Display, Error};
use tokio::sync::Notify;

/// Result of sending into a ring.
pub type Result<T, E> = std::result::Result<T, E>;

/// Error of sending into a full ring, with the value that was not sent.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the ring is full")]
pub struct Full<T>(#[error(not(source))] pub T);

struct Shared<T> {
    queue: ArrayQueue<T>,
    ready: Notify,
    senders: AtomicUsize,
}

/// Sending side of a ring. Clones may send from any thread.
pub struct Sender<T> {
    shared: Arc<Shared<T>>,
}

/// Receiving side of a ring.
pub struct Receiver<T> {
    shared: Arc<Shared<T>>,
}

/// Creates a ring that holds up to `capacity` values.
///
/// # Panics
///
/// Panics when `capacity` is zero.
///
/// # Examples
///
/// ```
/// let (tx, rx) = kspan_node::ring::bounded(1);
/// assert!(tx.try_send(1).is_ok());
/// assert!(tx.try_send(2).is_err());
/// assert_eq!(rx.try_recv(), Some(1));
/// ```
pub fn bounded<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let shared = Arc::new(Shared {
        queue: ArrayQueue::new(capacity),
        ready: Notify::new(),
        senders: AtomicUsize::new(1),
    });
    let tx = Sender {
        shared: Arc::clone(&shared),
    };
    (tx, Receiver { shared })
}

impl<T> Sender<T> {
    /// Sends a value without waiting.
    ///
    /// # Errors
    ///
    /// Returns the value when the ring is full.
    pub fn try_send(&self, value: T) -> Result<(), Full<T>> {
        self.shared.queue.push(value).map_err(Full)?;
        self.shared.ready.notify_one();
        Ok(())
    }
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        self.shared.senders.fetch_add(1, Ordering::Relaxed);
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        if self.shared.senders.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.shared.ready.notify_one();
        }
    }
}

impl<T> Receiver<T> {
    /// Waits for the next value. Returns `None` once all senders are dropped and the ring is empty.
    pub async fn recv(&self) -> Option<T> {
        loop {
            if let Some(value) = self.try_recv() {
                return Some(value);
            }
            if self.shared.senders.load(Ordering::Acquire) == 0 {
                return self.try_recv();
            }
            self.shared.ready.notified().await;
        }
    }

    /// Receives the next value without waiting, if there is one.
    pub fn try_recv(&self) -> Option<T> {
        self.shared.queue.pop()
    }
}
