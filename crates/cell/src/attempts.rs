//! Concurrent attempts at one request.
//!
//! An attempt that takes long does not hold up the request: another one can be started beside it.

use std::future::Future;

use tokio::{sync::mpsc, time::Instant};

/// Attempts in flight, each with an outcome of type `T`.
pub(crate) struct Attempts<T> {
    tx: mpsc::UnboundedSender<T>,
    rx: mpsc::UnboundedReceiver<T>,
    in_flight: usize,
}

/// Result of waiting for attempts.
#[derive(Debug)]
pub(crate) enum Progress<T> {
    /// An attempt has ended.
    Ended(T),
    /// No attempt has ended in time.
    Slow,
    /// No attempt is in flight.
    NoneInFlight,
}

impl<T: 'static> Attempts<T> {
    /// Creates the state of a request without attempts.
    pub(crate) fn new() -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        Self {
            tx,
            rx,
            in_flight: 0,
        }
    }

    /// Returns whether an attempt is in flight.
    pub(crate) fn are_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// Returns the number of attempts in flight.
    pub(crate) fn count(&self) -> usize {
        self.in_flight
    }

    /// Starts an attempt. It runs to its end even if the request is dropped before.
    pub(crate) fn start(&mut self, attempt: impl Future<Output = T> + 'static) {
        let tx = self.tx.clone();
        self.in_flight += 1;
        ntex::rt::spawn(async move {
            let outcome = attempt.await;
            // Fails if the request ended with the outcome of another attempt.
            let _ = tx.send(outcome);
        });
    }

    /// Waits until an attempt ends or `until` has passed.
    pub(crate) async fn wait(&mut self, until: Instant) -> Progress<T> {
        if self.in_flight == 0 {
            return Progress::NoneInFlight;
        }
        match tokio::time::timeout_at(until, self.rx.recv()).await {
            Ok(Some(outcome)) => {
                self.in_flight -= 1;
                Progress::Ended(outcome)
            }
            Ok(None) => Progress::NoneInFlight,
            Err(_) => Progress::Slow,
        }
    }
}
