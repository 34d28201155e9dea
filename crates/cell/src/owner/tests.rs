use std::net::Ipv4Addr;

use kspan_jobs::config::{CellConfig, Queue};
use kspan_model::Name;

use super::*;
use crate::{
    message::{JobCall, Verb},
    settings::Settings as ProcessSettings,
};

/// Creates a process whose store listens on `store`.
pub(crate) async fn node(store: &str) -> Rc<Node> {
    Node::new(ProcessSettings {
        node: Name::new("a-1"),
        address: Ipv4Addr::LOCALHOST,
        data_centre: Name::new("a"),
        processors: 1.0,
        callers: String::new(),
        ready: String::new(),
        admin: String::new(),
        internal_port: 0,
        store: store.to_owned(),
        approvals: String::new(),
        max_lease_ms: 8_000,
        spread_factor: 3.0,
        keep_ended_s: 600,
        config_apply_ms: 2_500,
        grace_s: 10.0,
    })
    .await
}

/// Creates an owner that has recovered a cell with one queue and no job.
pub(crate) async fn owner(store: &str) -> Rc<Owner> {
    let owner = Owner::new(node(store).await, 1, 1);
    let queue = Queue {
        name: Name::new("q"),
        host: Name::new("queue.example"),
        prefix: Name::new("/work/"),
        ..Queue::default()
    };
    owner.engine.borrow_mut().configure(CellConfig {
        version: 1,
        queues: vec![queue],
    });
    owner.is_recovered.set(true);
    owner
}

pub(crate) fn call(verb: Verb) -> JobCall {
    JobCall {
        host: "queue.example".to_owned(),
        path: "/work/00000000000000a1".to_owned(),
        verb,
        hops_left: 0,
    }
}

/// Guards against a 410 for a job that a newer owner accepted while the host was suspended, which
/// the monotonic clock does not count.
#[ntex::test]
async fn unknown_job_is_not_denied_after_a_suspension() {
    let owner = owner("127.0.0.1:1").await;
    for (suspended, expected) in [(Millis::ZERO, 410), (Millis(10_000), 503)] {
        let confirmed = owner.node.clock.reading().before_suspension(suspended);
        owner.confirmed.set(confirmed);
        for verb in [Verb::Show, Verb::Cancel] {
            let response = owner.call(call(verb)).await;
            let status = response.map(|response| response.status);
            assert_eq!(status, Ok(expected), "{suspended}");
        }
    }
}

/// Guards against responses that arrive out of order: an older one must not take back what a newer
/// one has confirmed.
#[ntex::test]
async fn older_confirmation_does_not_replace_a_newer_one() {
    let owner = owner("127.0.0.1:1").await;
    let first = owner.node.clock.reading();
    tokio::time::sleep(Duration::from_millis(30)).await;
    let second = owner.node.clock.reading();
    owner.confirm(second);
    owner.confirm(first);
    assert_eq!(owner.confirmed.get().monotonic(), second.monotonic());
}
