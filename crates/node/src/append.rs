//! Appends records to the log and resolves lost answers.
//!
//! A record has a unique id. After a lost answer the log is read from the tail known before the
//! append, and the same record is appended again only if its id is not found. Applying a record is
//! idempotent, so a duplicate that arrives late is harmless.

use std::{sync::Arc, time::Duration};

use kspan_contract::log::{self, LogClient};
use kspan_fold::Verdict;
use kspan_model::Millis;
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    appender::{AppendRequest, OffsetVerdict, too_large},
    event::AppendOutcome,
    inner::Inner,
    ring::Receiver,
};

/// Time after which an append whose outcome is still in doubt is reported as unresolved.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(6);

/// Minimum delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of records per read while a record is searched for after a lost answer.
const MAX_RECORDS_PER_READ: usize = 64;

/// Performs the requested appends until the process ends. Runs on the log thread.
pub(crate) async fn run(inner: Arc<Inner>, client: LogClient, requests: Receiver<AppendRequest>) {
    while let Some(req) = requests.recv().await {
        let inner = Arc::clone(&inner);
        let client = client.clone();
        ntex::rt::spawn(async move {
            let mut verdict_rx = inner.appender.add_waiter(req.id);
            let outcome = append_until_resolved(&inner, &client, &req, &mut verdict_rx).await;
            inner.appender.remove_waiter(req.id);
            let result = result_label(&outcome);
            metrics::counter!("kspan_log_appends_total", "result" => result).increment(1);
            // The caller may no longer wait.
            let _ = req.tx.send(outcome);
        });
    }
}

fn result_label(outcome: &AppendOutcome) -> &'static str {
    match outcome {
        AppendOutcome::Accepted { .. } => "accepted",
        AppendOutcome::Refused { .. } => "refused",
        AppendOutcome::Unavailable => "unavailable",
        AppendOutcome::Unresolved => "unresolved",
    }
}

/// Result of one attempt to append.
enum Attempt {
    /// The record is in the log.
    Appended,
    /// The log refuses the record for good.
    Refused(AppendOutcome),
    /// This attempt definitely did not append the record. The next attempt may follow after the
    /// delay; a delay of zero means that the log is unreachable.
    NotAppended(Duration),
    /// The answer was lost; the record may be in the log.
    AnswerLost,
}

async fn append_until_resolved(
    inner: &Inner,
    client: &LogClient,
    req: &AppendRequest,
    verdict_rx: &mut oneshot::Receiver<OffsetVerdict>,
) -> AppendOutcome {
    let deadline = Instant::now() + APPEND_TIMEOUT;
    let tail = inner.state().next_offset;
    let mut may_be_appended = false;
    loop {
        match try_append(inner, client, req).await {
            Attempt::Appended => return wait_for_verdict(verdict_rx, deadline).await,
            Attempt::Refused(refusal) => return refusal,
            Attempt::NotAppended(delay) => {
                let is_unreachable = delay == Duration::ZERO;
                if !may_be_appended && (is_unreachable || Instant::now() + delay >= deadline) {
                    return AppendOutcome::Unavailable;
                }
                sleep(delay.max(RETRY_DELAY)).await;
            }
            Attempt::AnswerLost => {
                may_be_appended = true;
                if find_record(inner, client, req, tail, deadline).await == Lookup::Present {
                    return wait_for_verdict(verdict_rx, deadline).await;
                }
            }
        }
        if let Ok(verdict) = verdict_rx.try_recv() {
            return to_outcome(verdict);
        }
        if Instant::now() >= deadline {
            return AppendOutcome::Unresolved;
        }
    }
}

async fn try_append(inner: &Inner, client: &LogClient, req: &AppendRequest) -> Attempt {
    if inner.link_faults.is_log_cut() {
        return Attempt::NotAppended(Duration::ZERO);
    }
    match client.append(&req.text).await {
        log::AppendOutcome::Appended { .. } => Attempt::Appended,
        log::AppendOutcome::TooLarge => Attempt::Refused(too_large(req.text.len())),
        log::AppendOutcome::Throttled { after } => Attempt::NotAppended(after.max(RETRY_DELAY)),
        log::AppendOutcome::Unavailable => Attempt::NotAppended(Duration::ZERO),
        log::AppendOutcome::Lost => Attempt::AnswerLost,
    }
}

/// Waits until a record that is in the log has been applied.
async fn wait_for_verdict(
    verdict_rx: &mut oneshot::Receiver<OffsetVerdict>,
    deadline: Instant,
) -> AppendOutcome {
    match timeout_at(deadline, verdict_rx).await {
        Ok(Ok(verdict)) => to_outcome(verdict),
        Ok(Err(_)) | Err(_) => AppendOutcome::Unresolved,
    }
}

fn to_outcome((offset, verdict): OffsetVerdict) -> AppendOutcome {
    match verdict {
        Verdict::Accepted | Verdict::Unchanged => AppendOutcome::Accepted { offset },
        Verdict::Refused(reason) => AppendOutcome::Refused { reason },
        Verdict::Poisoned => AppendOutcome::Refused {
            reason: "the record could not be parsed from the log".into(),
        },
    }
}

/// Whether a record is in the log.
#[derive(PartialEq, Eq)]
enum Lookup {
    Present,
    /// The record is not in the log up to a tail that was read after the answer was lost.
    Absent,
    /// The log could not be read before the deadline.
    Unknown,
}

/// Searches the log for the record, from the tail known before the append.
async fn find_record(
    inner: &Inner,
    client: &LogClient,
    req: &AppendRequest,
    tail: u64,
    deadline: Instant,
) -> Lookup {
    let mut from = tail;
    while Instant::now() < deadline {
        if inner.link_faults.is_log_cut() {
            sleep(RETRY_DELAY).await;
            continue;
        }
        let Ok(batch) = client.read(from, MAX_RECORDS_PER_READ, Millis::ZERO).await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let id = req.id.to_string();
        if batch.records.iter().any(|entry| entry.data.contains(&id)) {
            return Lookup::Present;
        }
        let read_to = batch.records.last().map_or(from, |entry| entry.offset + 1);
        if read_to >= batch.next {
            return Lookup::Absent;
        }
        from = read_to.max(batch.first);
    }
    Lookup::Unknown
}
