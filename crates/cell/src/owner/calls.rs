//! Executes callers' requests at the owner.

use std::{rc::Rc, time::Duration};

use kspan_adapter::entry;
use kspan_jobs::{
    engine::{CancelOutcome, Submission, SubmitError},
    spec::JobSpec,
};
use kspan_model::{Millis, Name};

use super::Owner;
use crate::message::{CallFailure, CallResponse, JobCall, Verb};

/// Result of a caller's request.
pub(crate) type Result<T> = std::result::Result<T, CallFailure>;

/// Maximum time for which a request waits until its records are durable.
const DURABLE_TIMEOUT: Duration = Duration::from_millis(900);

/// Duration of a write above which the store counts as unavailable. Even a slow store answers
/// faster.
const MIN_OUTAGE_TIME: Millis = Millis(600);

/// Maximum time since the last confirmation of ownership for which an unknown job is answered with
/// 410. After a longer time a newer owner, unknown to this one, may have accepted the job.
const MAX_UNCONFIRMED_NOT_FOUND: Millis = Millis(1_500);

/// Time after which a caller that was not served should retry, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Time after which a caller should retry a job that no runner, or not its team's cap, can hold, in
/// seconds. Adding runners or raising the cap takes at least as long.
const UNSERVABLE_RETRY_AFTER_S: u32 = 30;

/// Time after which a caller should retry a job that has no room beside those accepted before, in seconds.
/// Room comes with the end of one of them.
const NO_ROOM_RETRY_AFTER_S: u32 = 5;

/// Maximum `Retry-After` during an outage of the store, in seconds.
const MAX_RETRY_AFTER_S: u64 = 3;

impl Owner {
    /// Executes a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if this process does not own the cell or loses the ownership meanwhile.
    pub(crate) async fn call(self: &Rc<Self>, call: JobCall) -> Result<CallResponse> {
        if !self.is_recovered.get() || !self.is_active.get() {
            return Err(CallFailure::NotExecuted);
        }
        if self.engine.borrow().config_version() == 0 {
            return Ok(CallResponse::unavailable(RETRY_AFTER_S));
        }
        let team = match self.authorize(&call) {
            Ok(team) => team,
            Err(response) => return Ok(response),
        };
        match call.verb {
            Verb::Submit(spec) => self.submit(&call.host, &call.path, spec, team).await,
            Verb::Show => Ok(self.show(&call.host, &call.path)),
            Verb::Cancel => self.cancel(&call.host, &call.path).await,
        }
    }

    async fn submit(
        self: &Rc<Self>,
        host: &str,
        path: &str,
        spec: JobSpec,
        team: Option<Name>,
    ) -> Result<CallResponse> {
        let known = self.engine.borrow().find_queue(host, path);
        let is_new = known
            .and_then(|(_, job)| job)
            .is_some_and(|job| self.engine.borrow().job_state(job).is_none());
        if is_new && let Some(retry_after_s) = self.outage_retry_after_s() {
            self.log_call(path, "refused", "store unavailable");
            return Ok(CallResponse::unavailable(retry_after_s));
        }
        if is_new && !self.may_accept_jobs() {
            return Ok(self.refuse_for_outdated_config(path));
        }
        let req = Submission {
            host,
            path,
            spec,
            team,
        };
        let unix_ms = self.node.clock.unix_ms();
        let submitted = self.engine.borrow_mut().submit(self.now(), unix_ms, req);
        let submitted = match submitted {
            Ok(submitted) => submitted,
            Err(SubmitError::NoQueue) => return Ok(self.unknown_queue(path)),
            Err(err @ (SubmitError::Unservable(..) | SubmitError::BeyondCap(_))) => {
                self.log_call(path, "refused", &err.to_string());
                return Ok(CallResponse {
                    body: err.to_string().into_bytes(),
                    ..CallResponse::unavailable(UNSERVABLE_RETRY_AFTER_S)
                });
            }
            Err(err @ SubmitError::NoRoom(..)) => {
                self.log_call(path, "refused", &err.to_string());
                return Ok(CallResponse {
                    body: err.to_string().into_bytes(),
                    ..CallResponse::unavailable(NO_ROOM_RETRY_AFTER_S)
                });
            }
            Err(err @ (SubmitError::TooLarge(..) | SubmitError::TooMuchMemory(..))) => {
                self.log_call(path, "refused", &err.to_string());
                return Ok(CallResponse::with_body(413, err.to_string().into_bytes()));
            }
            Err(err) => {
                self.log_call(path, "refused", "malformed");
                return Ok(CallResponse::with_body(400, err.to_string().into_bytes()));
            }
        };
        self.state_changed.notify_one();
        let is_durable = self.wait_until_durable(submitted.batch).await;
        // A concurrent call for the same job may have withdrawn it meanwhile, and another may have
        // submitted it again in a later batch.
        match self.engine.borrow().spec_batch(submitted.job) {
            Some(batch) if batch == submitted.batch => {}
            Some(_) if self.is_active.get() => return Ok(CallResponse::new(504)),
            None if self.is_active.get() => {
                self.log_call(path, "refused", "withdrawn by a concurrent call");
                let retry_after_s = self.outage_retry_after_s().unwrap_or(RETRY_AFTER_S);
                return Ok(CallResponse::unavailable(retry_after_s));
            }
            Some(_) | None => return Err(CallFailure::InDoubt),
        }
        if is_durable {
            let outcome = if submitted.known { "known" } else { "accepted" };
            self.log_call(path, outcome, "durable");
            return Ok(CallResponse::new(200));
        }
        if self.engine.borrow_mut().withdraw(submitted.job) {
            self.log_call(path, "refused", "not written before the timeout; withdrawn");
            let retry_after_s = self.outage_retry_after_s().unwrap_or(RETRY_AFTER_S);
            return Ok(CallResponse::unavailable(retry_after_s));
        }
        if !self.is_active.get() {
            // The batch may have been written or may still be.
            return Err(CallFailure::InDoubt);
        }
        self.log_call(path, "unknown", "not durable before the timeout");
        Ok(CallResponse::new(504))
    }

    /// Returns the time after which a caller should retry, in seconds, or `None` if the store is
    /// available. An outage is expected to last as long again as it has lasted.
    fn outage_retry_after_s(&self) -> Option<u32> {
        let outage = self.now().saturating_sub(self.writing_since.get()?);
        if outage < MIN_OUTAGE_TIME {
            return None;
        }
        let seconds = (outage.0 / 1_000).clamp(1, MAX_RETRY_AFTER_S);
        u32::try_from(seconds).ok()
    }

    fn show(&self, host: &str, path: &str) -> CallResponse {
        let engine = self.engine.borrow();
        let Some((queue, job)) = engine.find_queue(host, path) else {
            return self.unknown_queue(path);
        };
        let Some(job) = job else {
            if !self.is_config_current() {
                return self.refuse_for_outdated_config(path);
            }
            let pending = engine.queued_jobs(&queue) as u64;
            return CallResponse::with_body(200, entry::encode_pending(pending));
        };
        match engine.job_state(job) {
            Some(state) => CallResponse::with_body(200, entry::encode_state(state)),
            None if self.time_since_confirmed() < MAX_UNCONFIRMED_NOT_FOUND => {
                CallResponse::new(410)
            }
            None => CallResponse::unavailable(RETRY_AFTER_S),
        }
    }

    async fn cancel(self: &Rc<Self>, host: &str, path: &str) -> Result<CallResponse> {
        let (now, unix_ms) = (self.now(), self.node.clock.unix_ms());
        let cancelled = self.engine.borrow_mut().cancel(now, unix_ms, host, path);
        match cancelled {
            CancelOutcome::NoQueue => Ok(self.unknown_queue(path)),
            CancelOutcome::Unknown if self.time_since_confirmed() < MAX_UNCONFIRMED_NOT_FOUND => {
                Ok(CallResponse::new(410))
            }
            CancelOutcome::Unknown => Ok(CallResponse::unavailable(RETRY_AFTER_S)),
            CancelOutcome::Accepted(batch) => {
                self.state_changed.notify_one();
                if self.wait_until_durable(batch).await {
                    self.log_call(path, "cancelled", "durable");
                    return Ok(CallResponse::new(200));
                }
                if self.is_active.get() {
                    Ok(CallResponse::new(504))
                } else {
                    Err(CallFailure::InDoubt)
                }
            }
        }
    }

    /// Answers a call for a queue that the configuration does not contain.
    fn unknown_queue(&self, path: &str) -> CallResponse {
        if !self.is_config_current() {
            return self.refuse_for_outdated_config(path);
        }
        if self.node.log_limit.allows("unknown queue", self.now()) {
            let version = self.config_version();
            let age_ms = self.config_age().map(|age| age.0);
            tracing::info!(path, version, age_ms, "no queue serves the path");
        }
        CallResponse::new(404)
    }

    /// Refuses a call whose answer depends on which queues exist, while a version that has been
    /// accepted may not have been applied here.
    pub(super) fn refuse_for_outdated_config(&self, path: &str) -> CallResponse {
        self.log_call(path, "refused", "configuration may be outdated");
        CallResponse::unavailable(RETRY_AFTER_S)
    }

    /// Waits until a batch is durable, up to a timeout. Returns whether it is durable.
    async fn wait_until_durable(&self, batch: u64) -> bool {
        let mut durable_batch = self.durable_batch.subscribe();
        let reaching = durable_batch.wait_for(|number| *number >= batch || !self.is_active.get());
        let reached = tokio::time::timeout(DURABLE_TIMEOUT, reaching).await;
        matches!(reached, Ok(Ok(number)) if *number >= batch)
    }

    fn log_call(&self, path: &str, outcome: &str, why: &str) {
        if self.node.log_limit.allows("call", self.now()) {
            let job = path.rsplit('/').next().unwrap_or(path);
            tracing::info!(
                job,
                outcome,
                why,
                fence = self.fence,
                "caller's request handled"
            );
        }
    }
}
