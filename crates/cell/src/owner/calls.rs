//! Callers' requests at the owner.

use std::{rc::Rc, time::Duration};

use kspan_adapter::entry;
use kspan_jobs::engine::{CancelOutcome, Submission, SubmitError};
use kspan_model::Millis;

use super::Owner;
use crate::message::{CallAnswer, JobCall, Untaken, Verb};

/// Result of a caller's request.
pub(crate) type Result<T> = std::result::Result<T, Untaken>;

/// Longest time that a caller waits for its job to be durable.
const DURABLE_TIMEOUT: Duration = Duration::from_millis(900);

/// Time in which even a slow store answers. A write that takes longer shows an outage.
const OUTAGE: Millis = Millis(600);

/// Longest time without proof of ownership within which "no such job" is said.
const FRESH: Millis = Millis(1_500);

/// When a caller comes back that was not served, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Latest that a caller comes back whose job can't be stored now, in seconds.
const LONGEST_RETRY_AFTER_S: u64 = 3;

impl Owner {
    /// Carries out a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error where this process does not own the cell, or lost it meanwhile.
    pub(crate) async fn call(self: &Rc<Self>, call: JobCall) -> Result<CallAnswer> {
        if !self.recovered.get() || !self.alive.get() {
            return Err(Untaken::NotTaken);
        }
        if self.engine.borrow().config_version() == 0 {
            return Ok(CallAnswer::not_taken(RETRY_AFTER_S));
        }
        match call.verb {
            Verb::Submit(spec) => self.submit(&call.host, &call.path, spec).await,
            Verb::Show => Ok(self.show(&call.host, &call.path)),
            Verb::Cancel => self.cancel(&call.host, &call.path).await,
        }
    }

    async fn submit(
        self: &Rc<Self>,
        host: &str,
        path: &str,
        spec: kspan_jobs::spec::JobSpec,
    ) -> Result<CallAnswer> {
        let known = self.engine.borrow().find_queue(host, path);
        let is_new = known
            .and_then(|(_, job)| job)
            .is_some_and(|job| self.engine.borrow().job_state(job).is_none());
        if is_new && let Some(retry_after_s) = self.outage_retry() {
            self.log_call(path, "refused", "the store is out of reach");
            return Ok(CallAnswer::not_taken(retry_after_s));
        }
        let req = Submission { host, path, spec };
        let unix_ms = self.node.clock.unix_ms();
        let submitted = self.engine.borrow_mut().submit(self.now(), unix_ms, req);
        let submitted = match submitted {
            Ok(submitted) => submitted,
            Err(SubmitError::NoQueue) => return Ok(CallAnswer::new(404)),
            Err(err) => {
                self.log_call(path, "refused", "malformed");
                return Ok(CallAnswer::with_body(400, err.to_string().into_bytes()));
            }
        };
        self.changed.notify_one();
        let is_durable = self.wait_durable(submitted.batch).await;
        // Another call for the same job may have given it up meanwhile, and a further one may have
        // handed it in again, with a later batch.
        match self.engine.borrow().spec_batch(submitted.job) {
            Some(batch) if batch == submitted.batch => {}
            Some(_) if self.alive.get() => return Ok(CallAnswer::new(504)),
            None if self.alive.get() => {
                self.log_call(path, "refused", "withdrawn by another call");
                let retry_after_s = self.outage_retry().unwrap_or(RETRY_AFTER_S);
                return Ok(CallAnswer::not_taken(retry_after_s));
            }
            Some(_) | None => return Err(Untaken::InDoubt),
        }
        if is_durable {
            let how = if submitted.known { "known" } else { "accepted" };
            self.log_call(path, how, "durable");
            return Ok(CallAnswer::new(200));
        }
        if self.engine.borrow_mut().withdraw(submitted.job) {
            self.log_call(path, "refused", "not written in time, withdrawn");
            let retry_after_s = self.outage_retry().unwrap_or(RETRY_AFTER_S);
            return Ok(CallAnswer::not_taken(retry_after_s));
        }
        if !self.alive.get() {
            // The batch may still take effect, or may have.
            return Err(Untaken::InDoubt);
        }
        self.log_call(path, "unknown", "not durable in time");
        Ok(CallAnswer::new(504))
    }

    /// Returns when a caller should come back, in seconds, where nothing can be stored now. An
    /// outage that has lasted for a while is expected to last as long again.
    fn outage_retry(&self) -> Option<u32> {
        let lasted = self.now().saturating_sub(self.writing_since.get()?);
        if lasted < OUTAGE {
            return None;
        }
        let seconds = (lasted.0 / 1_000).clamp(1, LONGEST_RETRY_AFTER_S);
        u32::try_from(seconds).ok()
    }

    fn show(&self, host: &str, path: &str) -> CallAnswer {
        let engine = self.engine.borrow();
        let Some((queue, job)) = engine.find_queue(host, path) else {
            return CallAnswer::new(404);
        };
        let Some(job) = job else {
            let pending = engine.pending_jobs(&queue) as u64;
            return CallAnswer::with_body(200, entry::encode_pending(pending));
        };
        match engine.job_state(job) {
            Some(state) => CallAnswer::with_body(200, entry::encode_state(state)),
            None if self.unconfirmed_for() < FRESH => CallAnswer::new(410),
            None => CallAnswer::not_taken(RETRY_AFTER_S),
        }
    }

    async fn cancel(self: &Rc<Self>, host: &str, path: &str) -> Result<CallAnswer> {
        let (now, unix_ms) = (self.now(), self.node.clock.unix_ms());
        let cancelled = self.engine.borrow_mut().cancel(now, unix_ms, host, path);
        match cancelled {
            CancelOutcome::NoQueue => Ok(CallAnswer::new(404)),
            CancelOutcome::Unknown if self.unconfirmed_for() < FRESH => Ok(CallAnswer::new(410)),
            CancelOutcome::Unknown => Ok(CallAnswer::not_taken(RETRY_AFTER_S)),
            CancelOutcome::Accepted(batch) => {
                self.changed.notify_one();
                if self.wait_durable(batch).await {
                    self.log_call(path, "cancelled", "durable");
                    return Ok(CallAnswer::new(200));
                }
                if self.alive.get() {
                    Ok(CallAnswer::new(504))
                } else {
                    Err(Untaken::InDoubt)
                }
            }
        }
    }

    /// Waits until a batch is durable; returns whether it is.
    async fn wait_durable(&self, batch: u64) -> bool {
        let mut durable = self.durable.subscribe();
        let reached = durable.wait_for(|number| *number >= batch || !self.alive.get());
        let reached = tokio::time::timeout(DURABLE_TIMEOUT, reached).await;
        matches!(reached, Ok(Ok(number)) if *number >= batch)
    }

    fn log_call(&self, path: &str, outcome: &str, why: &str) {
        if self.node.budget.allows("call", self.now()) {
            let job = path.rsplit('/').next().unwrap_or(path);
            tracing::info!(job, outcome, why, fence = self.fence, "call");
        }
    }
}
