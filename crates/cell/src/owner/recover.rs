//! Recovery: fences off previous owners and loads the state that they wrote to the store.

use std::{rc::Rc, time::Duration};

use kspan_adapter::{
    runner_entry,
    store::{self, AppendOutcome, KeyedRecord, Topic},
};
use kspan_jobs::{
    engine::Engine,
    record::{DurableState, RunnerRecord},
};
use kspan_model::Millis;

use super::{Owner, engine_settings};
use crate::telemetry;

/// Maximum number of attempts for each request of the recovery.
const MAX_ATTEMPTS: u32 = 20;

/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Offsets from which the topics are followed after the recovery.
pub(super) struct RecoveredOffsets {
    /// End offset of the operators' topic.
    pub(super) config_end: u64,
    /// End offset of the host list's topic.
    pub(super) runners_end: u64,
}

impl Owner {
    /// Fences off previous owners and recovers their state. Returns `None` if that fails.
    /// `read_ahead` holds the jobs' topic as read before the claim.
    pub(super) async fn recover(
        self: &Rc<Self>,
        read_ahead: Option<store::Page>,
    ) -> Option<RecoveredOffsets> {
        self.fence_previous_owners().await?;
        let fenced_at = self.now();
        let reading = self.node.clock.reading();
        let (jobs, config, runners) = tokio::join!(
            self.read_jobs(read_ahead),
            self.read_all_with_retries(Topic::Operators),
            self.read_all_with_retries(Topic::Runners),
        );
        let (jobs, config, runners) = (jobs?, config?, runners?);
        self.restore_engine(&jobs.records, fenced_at).await;
        self.apply_operator_records(&config.records);
        self.config_read.set(Some(reading));
        self.replace_runners(&runners.records).await;
        Some(RecoveredOffsets {
            config_end: config.end,
            runners_end: runners.end,
        })
    }

    /// Confirms the ownership once more, then writes batches until the role ends. The engine sends a
    /// runner tasks only after the ownership was confirmed later than the runner became known.
    pub(super) async fn confirm_and_write_batches(self: Rc<Self>) {
        if self.fence_previous_owners().await.is_some() {
            self.state_changed.notify_one();
        }
        // Appends confirm the ownership too, and end the role if a newer owner has fenced it off.
        self.write_batches().await;
    }

    async fn read_jobs(&self, read_ahead: Option<store::Page>) -> Option<store::Page> {
        if let Some(before) = read_ahead
            && let Some(jobs) = self.node.read_since(Topic::Jobs, before).await
        {
            return Some(jobs);
        }
        self.read_all_with_retries(Topic::Jobs).await
    }

    async fn fence_previous_owners(&self) -> Option<()> {
        let req = store::fence_request(Topic::Jobs, self.fence);
        for _ in 0..MAX_ATTEMPTS {
            if !self.is_active.get() {
                return None;
            }
            let sent = self.node.clock.reading();
            let response = self.node.store.send(&req).await;
            match response.and_then(|response| store::parse_append(&response)) {
                Ok(AppendOutcome::Done { offset }) => {
                    // The records of previous owners precede this offset.
                    self.node.record_end(Topic::Jobs, offset);
                    self.confirm(sent);
                    return Some(());
                }
                Ok(AppendOutcome::Fenced) => return None,
                Ok(outcome) => tracing::warn!(?outcome, "fence request refused by the store"),
                Err(err) => tracing::warn!(%err, "fence request not answered by the store"),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        None
    }

    async fn read_all_with_retries(&self, topic: Topic) -> Option<store::Page> {
        for _ in 0..MAX_ATTEMPTS {
            if !self.is_active.get() {
                return None;
            }
            if let Some(page) = self.node.read_all(topic).await {
                return Some(page);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        None
    }

    /// Restores the engine from the records of previous owners, whose appends the store refuses since
    /// `fenced_at`, and starts inventory calls to the runners that they knew.
    pub(super) async fn restore_engine(
        self: &Rc<Self>,
        records: &[KeyedRecord],
        fenced_at: Millis,
    ) {
        let mut durable_state = DurableState::default();
        for record in records {
            let value = record.value.as_deref().unwrap_or_default();
            if let Err(err) = durable_state.add(&record.key, value) {
                telemetry::record_malformed("job record");
                tracing::error!(key = record.key, offset = record.offset, %err, "malformed record skipped during recovery");
            }
        }
        durable_state.runners.retain(is_usable);
        let (now, unix_ms) = (self.now(), self.node.clock.unix_ms());
        let cfg = engine_settings(&self.node);
        let mut recovered = Engine::recover(cfg, now, unix_ms, durable_state);
        recovered.record_previous_owners_fenced(fenced_at);
        let known_runners: Vec<_> = recovered.live_runners().collect();
        *self.engine.borrow_mut() = recovered;
        for runner_ix in known_runners {
            self.start_inventory_calls(runner_ix).await;
        }
    }
}

/// Returns whether a recorded runner can be one. Earlier versions recorded any entry of the host list.
fn is_usable(record: &RunnerRecord) -> bool {
    let checked = runner_entry::check(&record.entry);
    if let Err(err) = &checked {
        telemetry::record_malformed("runner record");
        tracing::warn!(id = %record.entry.id, %err, "recorded runner skipped during recovery");
    }
    checked.is_ok()
}
