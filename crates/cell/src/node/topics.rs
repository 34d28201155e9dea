//! Reads whole topics of the store.

use std::time::Duration;

use kspan_adapter::store::{self, KeyedRecord, Page, ReadOutcome, Topic};
use rustc_hash::FxHashMap;

use super::Node;

impl Node {
    /// Reads the newest record of every key. Returns `None` if the store gave no valid response or an
    /// outdated one, which would bring back what has been replaced since.
    pub(crate) async fn read_all(&self, topic: Topic) -> Option<Page> {
        let mut all = Page::default();
        let mut after: Option<String> = None;
        loop {
            let req = store::newest_request(topic, after.as_deref());
            let response = self.store.send(&req).await.ok()?;
            let page = store::parse_newest(&response).ok()?;
            // Records appended while the pages are read come after the first page's end offset,
            // from which the topic is followed.
            if after.is_none() {
                all.end = page.end;
            }
            if !self.record_end(topic, page.end) {
                if self.log_limit.allows("outdated", self.clock.now()) {
                    tracing::warn!(
                        ?topic,
                        end = page.end,
                        "outdated answer of the store ignored"
                    );
                }
                return None;
            }
            if page.skipped > 0 && !self.may_skip_records(topic, page.skipped) {
                return None;
            }
            all.records.extend(page.records);
            match page.next {
                Some(next) => after = Some(next),
                None => return Some(all),
            }
        }
    }

    /// Logs that records of a page could not be decoded, and returns whether the others may be used. Other
    /// writers share some topics; in the cell's own ones nothing may be missing.
    fn may_skip_records(&self, topic: Topic, records: usize) -> bool {
        if self.log_limit.allows("skipped", self.clock.now()) {
            tracing::warn!(
                ?topic,
                records,
                "records of a page that can't be decoded skipped"
            );
        }
        matches!(topic, Topic::Operators | Topic::Runners)
    }

    /// Brings records that were read before up to date with what was appended since, up to the newest
    /// known end of the topic. Returns `None` if the store no longer has it or gave no valid response.
    pub(crate) async fn read_since(&self, topic: Topic, before: Page) -> Option<Page> {
        let mut from = before.end;
        let mut newest: FxHashMap<String, KeyedRecord> = FxHashMap::default();
        apply(&mut newest, before.records);
        loop {
            let req = store::read_request(topic, from, Duration::ZERO);
            let response = self.store.send(&req).await.ok()?;
            let outcome = store::parse_read(&response, from).ok()?;
            let ReadOutcome::Records { records, next, end } = outcome else {
                return None;
            };
            let is_stalled = next <= from && end > from;
            if !self.record_end(topic, next.max(end)) || is_stalled {
                return None;
            }
            apply(&mut newest, records);
            from = next;
            if from >= end {
                let records = newest.into_values().collect();
                return Some(Page {
                    records,
                    next: None,
                    end: from,
                    skipped: 0,
                });
            }
        }
    }
}

/// Replaces records by later ones of the same key, and removes those that are deleted.
fn apply(newest: &mut FxHashMap<String, KeyedRecord>, records: Vec<KeyedRecord>) {
    for record in records {
        if record.value.is_some() {
            newest.insert(record.key.clone(), record);
        } else {
            newest.remove(&record.key);
        }
    }
}
