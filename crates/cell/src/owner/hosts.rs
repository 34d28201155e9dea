//! Follows the operators' configuration and the host list in the store.

use std::{rc::Rc, time::Duration};

use kspan_adapter::{
    config, hosts,
    store::{self as log, KeyedRecord, Page, Tail, Topic},
};
use kspan_model::Name;

use super::Owner;
use crate::measure;

/// How long a read waits for a change of the configuration.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);

/// Time between two reads of the host list.
const RUNNERS_INTERVAL: Duration = Duration::from_millis(300);

/// Time before a failed read is made again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

impl Owner {
    /// Puts each new configuration in force.
    pub(super) async fn follow_config(self: Rc<Self>, mut from: u64) {
        while self.alive.get() {
            match self
                .read_changes(Topic::Operators, &mut from, CONFIG_WAIT)
                .await
            {
                Some(Changes::Records(records)) => self.take_operator_records(&records),
                Some(Changes::All(page)) => self.take_operator_records(&page.records),
                None => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    }

    /// Keeps the runners as the host list shows them.
    pub(super) async fn follow_runners(self: Rc<Self>, mut from: u64) {
        while self.alive.get() {
            tokio::time::sleep(RUNNERS_INTERVAL).await;
            match self
                .read_changes(Topic::Runners, &mut from, Duration::ZERO)
                .await
            {
                Some(Changes::Records(records)) => self.take_runner_records(&records).await,
                Some(Changes::All(page)) => self.take_all_runners(&page.records).await,
                None => {}
            }
        }
    }

    /// Reads what changed since `from`, or everything where that is forgotten. `None` where the
    /// store gave no usable answer.
    async fn read_changes(&self, topic: Topic, from: &mut u64, wait: Duration) -> Option<Changes> {
        let answer = self
            .node
            .store
            .send(&log::read(topic, *from, wait), wait)
            .await
            .ok()?;
        match log::parse_read(&answer, *from).ok()? {
            Tail::Records { records, end } => {
                *from = records
                    .last()
                    .map_or(end.min(*from), |last| last.offset + 1)
                    .max(*from);
                Some(Changes::Records(records))
            }
            Tail::Forgotten => {
                let page = self.read_all(topic).await?;
                *from = page.end;
                Some(Changes::All(page))
            }
        }
    }

    /// Reads the newest record of every key.
    pub(super) async fn read_all(&self, topic: Topic) -> Option<Page> {
        let mut all = Page::default();
        let mut after: Option<String> = None;
        loop {
            let req = log::newest(topic, after.as_deref());
            let answer = self.node.store.send(&req, Duration::ZERO).await.ok()?;
            let page = log::parse_newest(&answer).ok()?;
            // What changes while pages are read stands behind the end of the first one.
            if after.is_none() {
                all.end = page.end;
            }
            all.records.extend(page.records);
            match page.next {
                Some(next) => after = Some(next),
                None => return Some(all),
            }
        }
    }

    /// Takes in what operators wrote.
    pub(super) fn take_operator_records(&self, records: &[KeyedRecord]) {
        for record in records
            .iter()
            .filter(|record| record.key == log::CONFIG_KEY)
        {
            let Some(value) = &record.value else {
                continue;
            };
            match config::decode(value) {
                Ok(config) => {
                    let version = config.version;
                    let queues = config.queues.len();
                    if self.engine.borrow_mut().configure(config) {
                        measure::config_version(version);
                        tracing::info!(
                            version,
                            queues,
                            offset = record.offset,
                            "configuration in force"
                        );
                    }
                }
                Err(err) => {
                    tracing::error!(%err, offset = record.offset, "unreadable configuration")
                }
            }
        }
        self.changed.notify_one();
    }

    async fn take_runner_records(self: &Rc<Self>, records: &[KeyedRecord]) {
        for record in records {
            self.take_runner_record(record).await;
        }
        if !records.is_empty() {
            self.changed.notify_one();
        }
    }

    /// Takes in the whole host list; what it no longer shows is missing.
    pub(super) async fn take_all_runners(self: &Rc<Self>, records: &[KeyedRecord]) {
        let listed = self.engine.borrow().listed_runners();
        for id in listed {
            if !records.iter().any(|record| *record.key == **id) {
                self.engine.borrow_mut().unlist_runner(self.now(), &id);
            }
        }
        self.take_runner_records(records).await;
    }

    async fn take_runner_record(self: &Rc<Self>, record: &KeyedRecord) {
        let id: Name = log::name_of(record);
        let Some(value) = &record.value else {
            return self.engine.borrow_mut().unlist_runner(self.now(), &id);
        };
        let Some(entry) = hosts::decode(&id, value) else {
            if self.node.budget.allows("entry", self.now()) {
                tracing::warn!(id = %id, offset = record.offset, "unreadable runner entry skipped");
            }
            return;
        };
        let new = self
            .engine
            .borrow_mut()
            .upsert_runner(self.now(), entry.clone());
        if let Some(on) = new {
            let contact = self.contact(on, &entry).await;
            ntex::rt::spawn(Rc::clone(self).hold(on, contact));
        }
    }
}

/// What was read of a topic.
enum Changes {
    /// Records that were appended.
    Records(Vec<KeyedRecord>),
    /// The newest record of every key.
    All(Page),
}
