//! Records and documents for tests.

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

/// A log that is folded as it is written.
#[derive(Default)]
pub struct Folded {
    pub state: State,
    pub entries: Vec<(u64, UnixMillis, String)>,
    pub ids: u128,
}

impl Folded {
    pub fn put(&mut self, by: &str, body: Body) -> Verdict {
        self.ids += 1;
        let text = record(self.ids, by, body);
        self.put_text(0, text)
    }

    pub fn put_text(&mut self, time: u64, text: String) -> Verdict {
        let offset = self.entries.len() as u64 + 1;
        let time = UnixMillis(time);
        let applied = self.state.apply(offset, time, &text);
        self.entries.push((offset, time, text));
        applied.verdict
    }
}

/// What is in force, for comparison: bookkeeping that does not last is left out.
pub fn in_force(state: &State) -> String {
    let mut lasting = state.clone();
    lasting.refusals = std::sync::Arc::default();
    lasting.poisoned = 0;
    lasting.snapshot = None;
    let parts: String = lasting
        .to_parts()
        .into_iter()
        .map(|part| part.text)
        .collect();
    parts
}
