//! Takes over what earlier owners left in the store.

use std::{rc::Rc, time::Duration};

use kspan_adapter::store::{self as log, Append, KeyedRecord, Topic};
use kspan_jobs::{engine::Engine, record::DurableState};

use super::{Owner, engine_settings};

/// How often the takeover's calls are made before it fails.
const ATTEMPTS: u32 = 20;

/// Time between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Where reading goes on after the takeover.
pub(super) struct Places {
    /// End of the operators' topic.
    pub(super) config_end: u64,
    /// End of the host list's topic.
    pub(super) runners_end: u64,
}

impl Owner {
    /// Bars earlier owners from writing, and reads what they wrote.
    pub(super) async fn recover(self: &Rc<Self>) -> Option<Places> {
        self.bar_earlier_owners().await?;
        let jobs = self.read_all_patiently(Topic::Jobs).await?;
        self.take_kept(&jobs.records).await;
        let config = self.read_all_patiently(Topic::Operators).await?;
        self.take_operator_records(&config.records);
        let runners = self.read_all_patiently(Topic::Runners).await?;
        self.take_all_runners(&runners.records).await;
        // Runners take work only from an owner that was confirmed after they were heard of.
        self.bar_earlier_owners().await?;
        Some(Places {
            config_end: config.end,
            runners_end: runners.end,
        })
    }

    async fn bar_earlier_owners(&self) -> Option<()> {
        let req = log::fence(Topic::Jobs, self.fence);
        for _ in 0..ATTEMPTS {
            if !self.alive.get() {
                return None;
            }
            let asked = self.now();
            let answer = self.node.store.send(&req, Duration::ZERO).await;
            match answer.and_then(|answer| log::parse_append(&answer)) {
                Ok(Append::Done { .. }) => {
                    self.confirm(asked);
                    return Some(());
                }
                Ok(Append::Fenced) => return None,
                Ok(outcome) => tracing::warn!(?outcome, "fence refused"),
                Err(err) => tracing::warn!(%err, "fence not answered"),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        None
    }

    async fn read_all_patiently(&self, topic: Topic) -> Option<log::Page> {
        for _ in 0..ATTEMPTS {
            if !self.alive.get() {
                return None;
            }
            if let Some(page) = self.read_all(topic).await {
                return Some(page);
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        None
    }

    /// Takes in what earlier owners kept, and holds the runners that they knew.
    async fn take_kept(self: &Rc<Self>, records: &[KeyedRecord]) {
        let mut kept = DurableState::default();
        for record in records {
            let value = record.value.as_deref().unwrap_or_default();
            if let Err(err) = kept.add(&record.key, value) {
                tracing::error!(key = record.key, offset = record.offset, %err, "unreadable record skipped");
            }
        }
        let (now, unix_ms) = (self.now(), self.node.clock.unix_ms());
        let cfg = engine_settings(&self.node);
        let recovered = Engine::recover(cfg, now, unix_ms, kept);
        let known: Vec<_> = recovered
            .live_runners()
            .map(|on| (on, recovered.runner(on).clone()))
            .collect();
        *self.engine.borrow_mut() = recovered;
        for (on, entry) in known {
            let contact = self.contact(on, &entry).await;
            ntex::rt::spawn(Rc::clone(self).hold(on, contact));
        }
    }
}
