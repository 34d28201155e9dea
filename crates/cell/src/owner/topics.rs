//! Follows the topics of the operators' configuration and of the host list.

#[cfg(test)]
mod tests;

use std::{rc::Rc, time::Duration};

use kspan_adapter::{
    config, runner_entry,
    store::{self, KeyedRecord, Page, ReadOutcome, Topic},
};
use kspan_jobs::runner::RunnerEntry;
use kspan_model::{Millis, Name};
use tokio::time::Instant;

use super::Owner;
use crate::telemetry;

/// Time for which the store waits for a change of the configuration before it answers a read. Short,
/// because the configuration's age grows until the answer.
const CONFIG_WAIT: Duration = Duration::from_millis(250);

/// Time since the last answer of the store to another request up to which a failed read of the
/// configuration is put down to its topic.
const MAX_STORE_SILENCE: Millis = Millis(1_000);

/// Interval at which the host list is read.
const HOST_LIST_READ_INTERVAL: Duration = Duration::from_millis(300);

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Minimum time between the starts of two reads of the configuration if the first one yields nothing.
/// A store whose replica lags answers such a read at once, without waiting for a change. Short,
/// because the configuration's age grows until a read is complete.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);

impl Owner {
    /// Applies each new configuration until the role ends.
    pub(super) async fn follow_config(self: Rc<Self>, mut from: u64) {
        // The first read does not wait, because the recovery may have taken long.
        let mut wait = Duration::ZERO;
        while self.is_active.get() {
            let reading = self.node.clock.reading();
            let sent_at = Instant::now();
            let changes = self.read_changes(Topic::Operators, &mut from, wait).await;
            let coverage = match changes {
                Some(Changes::Records { records, coverage }) => {
                    self.apply_operator_records(&records);
                    self.admit_runners().await;
                    coverage
                }
                Some(Changes::Snapshot(page)) => {
                    self.apply_operator_records(&page.records);
                    self.admit_runners().await;
                    Coverage::Complete
                }
                None => {
                    self.handle_failed_config_read();
                    // The next read is answered at once, so that callers are served as soon as the
                    // store is back.
                    wait = Duration::ZERO;
                    self.wait_for_store(RETRY_DELAY).await;
                    continue;
                }
            };
            if coverage == Coverage::Complete {
                self.config_read.set(Some(reading));
                self.is_config_topic_unavailable.set(false);
                wait = CONFIG_WAIT;
            }
            tokio::time::sleep(coverage.pause(sent_at.elapsed())).await;
        }
    }

    /// Waits until the store answers another request, up to a timeout.
    async fn wait_for_store(&self, timeout: Duration) {
        // Either end of the wait leads to the next attempt.
        let _ = tokio::time::timeout(timeout, self.store_answered.notified()).await;
    }

    fn handle_failed_config_read(&self) {
        let is_store_available = self.time_since_confirmed() < MAX_STORE_SILENCE;
        self.is_config_topic_unavailable.set(is_store_available);
        if self.node.log_limit.allows("config", self.now()) {
            let age_ms = self.config_age().map(|age| age.0);
            let version = self.config_version();
            tracing::warn!(version, age_ms, "configuration could not be read");
        }
    }

    /// Applies changes of the host list until the role ends.
    pub(super) async fn follow_runners(self: Rc<Self>, mut from: u64) {
        while self.is_active.get() {
            tokio::time::sleep(HOST_LIST_READ_INTERVAL).await;
            match self
                .read_changes(Topic::Runners, &mut from, Duration::ZERO)
                .await
            {
                Some(Changes::Records { records, .. }) => self.apply_runner_records(&records).await,
                Some(Changes::Snapshot(page)) => self.replace_runners(&page.records).await,
                None => {}
            }
        }
    }

    /// Reads the records from the offset `from` on, or the whole topic if the store no longer has
    /// them, and advances `from`. Returns `None` if the store gave no valid response.
    async fn read_changes(&self, topic: Topic, from: &mut u64, wait: Duration) -> Option<Changes> {
        let response = self
            .node
            .store
            .send(&store::read_request(topic, *from, wait))
            .await
            .ok()?;
        match store::parse_read(&response, *from).ok()? {
            ReadOutcome::Records { records, next, end } => {
                let is_newest = self.node.record_end(topic, next.max(end));
                let coverage = if is_newest {
                    Coverage::new(*from, next, end)
                } else {
                    Coverage::Nothing
                };
                *from = next;
                Some(Changes::Records { records, coverage })
            }
            ReadOutcome::Truncated => {
                let page = self.node.read_all(topic).await?;
                *from = page.end;
                Some(Changes::Snapshot(page))
            }
        }
    }

    /// Applies the configurations among the operators' records.
    pub(super) fn apply_operator_records(&self, records: &[KeyedRecord]) {
        for record in records
            .iter()
            .filter(|record| record.key == store::CONFIG_KEY)
        {
            let Some(value) = &record.value else {
                continue;
            };
            match config::decode(value) {
                Ok(config) => {
                    let version = config.version;
                    let queues = config.queues.len();
                    if self.engine.borrow_mut().configure(config) {
                        telemetry::set_config_version(version);
                        tracing::info!(
                            version,
                            queues,
                            offset = record.offset,
                            "configuration applied"
                        );
                    }
                }
                Err(err) => {
                    telemetry::record_malformed("configuration");
                    tracing::error!(%err, offset = record.offset, "malformed configuration ignored")
                }
            }
        }
        self.state_changed.notify_one();
    }

    async fn apply_runner_records(self: &Rc<Self>, records: &[KeyedRecord]) {
        for record in records {
            self.apply_runner_record(record).await;
        }
        if !records.is_empty() {
            self.state_changed.notify_one();
        }
    }

    /// Applies the complete host list; runners that it does not contain are unlisted.
    pub(super) async fn replace_runners(self: &Rc<Self>, records: &[KeyedRecord]) {
        let listed = self.engine.borrow().listed_runners();
        for id in listed {
            if !records.iter().any(|record| *record.key == **id) {
                self.engine.borrow_mut().unlist_runner(self.now(), &id);
            }
        }
        self.apply_runner_records(records).await;
    }

    async fn apply_runner_record(self: &Rc<Self>, record: &KeyedRecord) {
        let id: Name = store::record_name(record);
        let Some(value) = &record.value else {
            return self.engine.borrow_mut().unlist_runner(self.now(), &id);
        };
        match runner_entry::decode(&id, value) {
            Ok(entry) => self.apply_runner_entry(entry).await,
            Err(err) => {
                telemetry::record_malformed("runner entry");
                if self.node.log_limit.allows("runner entry", self.now()) {
                    tracing::warn!(%id, offset = record.offset, %err, "malformed runner entry skipped");
                }
            }
        }
    }

    async fn apply_runner_entry(self: &Rc<Self>, entry: RunnerEntry) {
        let new_runner = self.engine.borrow_mut().upsert_runner(self.now(), entry);
        if let Some(runner_ix) = new_runner {
            self.start_inventory_calls(runner_ix).await;
        }
    }

    /// Applies the entries of runners whose service a new configuration names.
    async fn admit_runners(self: &Rc<Self>) {
        let admitted = self.engine.borrow_mut().take_admitted_entries();
        for entry in admitted {
            self.apply_runner_entry(entry).await;
        }
    }
}

/// Changes of a topic.
enum Changes {
    /// The records appended since the last read.
    Records {
        records: Vec<KeyedRecord>,
        /// Which of the records the answer contained.
        coverage: Coverage,
    },
    /// The newest record of every key, after a gap.
    Snapshot(Page),
}

/// Part of the records after an offset that an answer of the store contained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Coverage {
    /// All records.
    Complete,
    /// Some records; more can be read at once.
    Partial,
    /// No records although there are some, or an outdated answer.
    Nothing,
}

impl Coverage {
    /// Classifies an answer to a read from `from` that continues at `next`, when the topic ended at
    /// `end`.
    fn new(from: u64, next: u64, end: u64) -> Self {
        if (from..=next).contains(&end) {
            Self::Complete
        } else if next > from {
            Self::Partial
        } else {
            Self::Nothing
        }
    }

    /// Returns the pause before the next read, if this one took `took`.
    fn pause(self, took: Duration) -> Duration {
        match self {
            // The store waits for a change before it answers the next read.
            Self::Complete | Self::Partial => Duration::ZERO,
            Self::Nothing => MIN_READ_INTERVAL.saturating_sub(took),
        }
    }
}
