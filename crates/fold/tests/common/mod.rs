//! Records, documents and a log for tests.

#![allow(dead_code, unreachable_pub, reason = "each test file uses its part")]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use kspan_fold::{Body, Record, State, Verdict};
use kspan_model::{
    JobEnd, JobId, JobResult, Member, NodeId, RequestId, Role, Site, Submission, UnixMillis,
};

pub const DOCUMENT: &str = "
# Kept by hand.
cell: small
regions: [{name: north, data_centres: [north-1]}]
fleet: {entry_hosts: 1, workers: [{count: 2, cpu: 4, memory: 16GiB}]}
teams:
- {name: ops, quota: {cpu: 8, memory: 32GiB}}
- {name: shop, quota: {cpu: 4, memory: 8GiB}}
";

pub fn record(id: u128, by: &str, body: Body) -> String {
    let record = Record {
        id: RequestId(id),
        by: by.into(),
        written: UnixMillis(0),
        body,
    };
    serde_json::to_string(&record).unwrap()
}

pub fn document(base: u64, text: &str) -> Body {
    let text = text.to_owned();
    Body::Document { base, text }
}

pub fn submission(job: u128, accepted: u64) -> Submission {
    Submission {
        job: JobId(job),
        workload: "nightly".into(),
        shard: "north-1".into(),
        accepted: UnixMillis(accepted),
    }
}

pub fn end(job: u128) -> JobEnd {
    JobEnd {
        job: JobId(job),
        result: JobResult::Succeeded,
        reason: "".into(),
        ended: UnixMillis(0),
    }
}

pub fn member(name: &str, incarnation: u64) -> Member {
    let addr = "127.0.0.1:1".parse().unwrap();
    Member {
        node: NodeId::new(name, incarnation),
        role: Role::Router,
        site: Site::new("north", "north-1"),
        wire: addr,
        http: addr,
        admin: addr,
    }
}

/// Log whose entries are applied to a state as they are appended.
#[derive(Default)]
pub struct TestLog {
    pub state: State,
    pub entries: Vec<(u64, UnixMillis, String)>,
    pub last_id: u128,
}

impl TestLog {
    pub fn append(&mut self, by: &str, body: Body) -> Verdict {
        self.last_id += 1;
        let text = record(self.last_id, by, body);
        self.append_text(0, text)
    }

    pub fn append_text(&mut self, time: u64, text: String) -> Verdict {
        let offset = self.entries.len() as u64 + 1;
        let time = UnixMillis(time);
        let applied = self.state.apply(offset, time, &text);
        self.entries.push((offset, time, text));
        applied.verdict
    }
}

/// Serialises a state for comparison, without the fields that a snapshot does not carry over.
pub fn durable_state(state: &State) -> String {
    let mut durable = state.clone();
    durable.refusals = std::sync::Arc::default();
    durable.poisoned = 0;
    durable.snapshot = None;
    let parts: String = durable
        .to_parts()
        .into_iter()
        .map(|part| part.text)
        .collect();
    parts
}
