//! Appends whose answers may be lost.
//!
//! A record has a unique id. After a lost answer the log is read on from the tail known before;
//! only when the id is not there is the same record appended again. The fold applies an id once,
//! so a copy that arrives late is harmless.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use kspan_contract::{
    log::{AppendOutcome, LogClient},
    protocol::log::MAX_RECORD_BYTES,
};
use kspan_fold::{Applied, Body, Record, RecordId, Verdict};
use kspan_model::{Millis, Name, UnixMillis};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    event::Append,
    inner::Inner,
    ring::{Full, Receiver, Sender},
    slot::lock,
};

/// How long an append may take until what became of it is left open.
pub const APPEND_DEADLINE: Duration = Duration::from_secs(6);

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Records read at once while a lost append is looked for.
const READ_RECORDS: usize = 64;

/// A record to be appended.
pub(crate) struct Request {
    id: RecordId,
    text: String,
    tx: oneshot::Sender<Append>,
}

/// Verdict of the fold on a record at an offset.
type Settled = (u64, Verdict);

/// Appends that wait.
pub(crate) struct Appender {
    requests: Sender<Request>,
    waiting: Mutex<HashMap<RecordId, oneshot::Sender<Settled>>>,
}

impl Appender {
    pub(crate) fn new(requests: Sender<Request>) -> Self {
        Self {
            requests,
            waiting: Mutex::default(),
        }
    }

    /// Appends a record written by `by` and waits until it is known what became of it.
    pub(crate) async fn append(&self, by: &Name, written: UnixMillis, body: Body) -> Append {
        let record = Record {
            id: kspan_model::RequestId(rand::random()),
            by: by.clone(),
            written,
            body,
        };
        let text = match serde_json::to_string(&record) {
            Ok(text) if text.len() <= MAX_RECORD_BYTES => text,
            Ok(text) => return too_large(text.len()),
            Err(err) => {
                let reason = err.to_string().into();
                return Append::Refused { reason };
            }
        };
        let (tx, rx) = oneshot::channel();
        let id = record.id;
        if let Err(Full(_)) = self.requests.try_send(Request { id, text, tx }) {
            return Append::Unavailable;
        }
        // The log thread ends before it has taken a request up only when the process ends.
        rx.await.unwrap_or(Append::Unresolved)
    }

    /// Takes in what the fold did with an entry.
    pub(crate) fn settle(&self, offset: u64, applied: Applied) {
        let Some(id) = applied.id else {
            return;
        };
        if let Some(tx) = lock(&self.waiting).remove(&id) {
            // The waiter may have given up; the record is in the log all the same.
            let _ = tx.send((offset, applied.verdict));
        }
    }

    fn wait_for(&self, id: RecordId) -> oneshot::Receiver<Settled> {
        let (tx, rx) = oneshot::channel();
        lock(&self.waiting).insert(id, tx);
        rx
    }

    fn give_up(&self, id: RecordId) {
        lock(&self.waiting).remove(&id);
    }
}

fn too_large(bytes: usize) -> Append {
    let reason = format!("a record of {bytes} bytes is larger than {MAX_RECORD_BYTES}");
    Append::Refused {
        reason: reason.into(),
    }
}

/// Carries out appends until the process ends. Runs on the log thread.
pub(crate) async fn run(inner: Arc<Inner>, client: LogClient, requests: Receiver<Request>) {
    while let Some(req) = requests.recv().await {
        let inner = Arc::clone(&inner);
        let client = client.clone();
        ntex::rt::spawn(async move {
            let mut settled = inner.appender.wait_for(req.id);
            let done = carry_out(&inner, &client, &req, &mut settled).await;
            inner.appender.give_up(req.id);
            let result = label(&done);
            metrics::counter!("kspan_log_appends_total", "result" => result).increment(1);
            // The caller may have gone.
            let _ = req.tx.send(done);
        });
    }
}

fn label(done: &Append) -> &'static str {
    match done {
        Append::Accepted { .. } => "accepted",
        Append::Refused { .. } => "refused",
        Append::Unavailable => "unavailable",
        Append::Unresolved => "unresolved",
    }
}

/// What is known after one attempt.
enum Attempt {
    /// The record is in the log.
    InLog,
    /// The log will never take it.
    Refused(Append),
    /// The record is certainly not there from this attempt; try again after the pause.
    NotTaken(Duration),
    /// The record may be there.
    Lost,
}

async fn carry_out(
    inner: &Inner,
    client: &LogClient,
    req: &Request,
    settled: &mut oneshot::Receiver<Settled>,
) -> Append {
    let deadline = Instant::now() + APPEND_DEADLINE;
    let tail = inner.state().applied;
    let mut maybe_taken = false;
    loop {
        match attempt(inner, client, req).await {
            Attempt::InLog => return verdict(settled, deadline).await,
            Attempt::Refused(refusal) => return refusal,
            Attempt::NotTaken(pause) => {
                let is_down = pause == Duration::ZERO;
                if !maybe_taken && (is_down || Instant::now() + pause >= deadline) {
                    return Append::Unavailable;
                }
                sleep(pause.max(RETRY_PAUSE)).await;
            }
            Attempt::Lost => {
                maybe_taken = true;
                if find(inner, client, req, tail, deadline).await == Found::Yes {
                    return verdict(settled, deadline).await;
                }
            }
        }
        if let Ok(settled) = settled.try_recv() {
            return answer(settled);
        }
        if Instant::now() >= deadline {
            return Append::Unresolved;
        }
    }
}

async fn attempt(inner: &Inner, client: &LogClient, req: &Request) -> Attempt {
    if inner.links.is_log_cut() {
        return Attempt::NotTaken(Duration::ZERO);
    }
    match client.append(&req.text).await {
        AppendOutcome::Appended { .. } => Attempt::InLog,
        AppendOutcome::TooLarge => Attempt::Refused(too_large(req.text.len())),
        AppendOutcome::Throttled { after } => Attempt::NotTaken(after.max(RETRY_PAUSE)),
        AppendOutcome::Unavailable => Attempt::NotTaken(Duration::ZERO),
        AppendOutcome::Lost => Attempt::Lost,
    }
}

/// Waits for the fold to reach a record that is in the log.
async fn verdict(settled: &mut oneshot::Receiver<Settled>, deadline: Instant) -> Append {
    match timeout_at(deadline, settled).await {
        Ok(Ok(settled)) => answer(settled),
        Ok(Err(_)) | Err(_) => Append::Unresolved,
    }
}

fn answer((offset, verdict): Settled) -> Append {
    match verdict {
        Verdict::Accepted | Verdict::Known => Append::Accepted { offset },
        Verdict::Refused(reason) => Append::Refused { reason },
        Verdict::Poisoned => Append::Refused {
            reason: "the record was damaged".into(),
        },
    }
}

/// Whether a record is in the log.
#[derive(PartialEq, Eq)]
enum Found {
    Yes,
    /// Not up to a tail that was read after the answer was lost.
    No,
    /// The log could not be read in time.
    Unknown,
}

/// Reads on from the tail known before a lost append and looks for the record.
async fn find(
    inner: &Inner,
    client: &LogClient,
    req: &Request,
    tail: u64,
    deadline: Instant,
) -> Found {
    let mut from = tail;
    while Instant::now() < deadline {
        if inner.links.is_log_cut() {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        let Ok(batch) = client.read(from, READ_RECORDS, Millis::ZERO).await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let id = req.id.to_string();
        if batch.records.iter().any(|entry| entry.data.contains(&id)) {
            return Found::Yes;
        }
        let read_to = batch.records.last().map_or(from, |entry| entry.offset + 1);
        if read_to >= batch.next {
            return Found::No;
        }
        from = read_to.max(batch.first);
    }
    Found::Unknown
}
