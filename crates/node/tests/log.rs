//! A log that loses answers, is down, forgets, and holds damaged records.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::{collections::BTreeMap, sync::atomic::Ordering};

use common::{Running, Shared, block_on, platform, start, wait_until};
use kspan_fold::{Body, Record};
use kspan_model::{RequestId, Role, UnixMillis};
use kspan_node::{AppendOutcome, settings::Faults};

const DOCUMENT: &str = "
cell: test
regions: [{name: north, data_centres: [north-1]}]
fleet: {entry_hosts: 1, workers: [{count: 2, cpu: 4, memory: 16GiB}]}
teams: [{name: ops, quota: {cpu: 8, memory: 32GiB}}]
";

fn drain(host: &str) -> Body {
    Body::Drain {
        host: host.into(),
        drained: true,
    }
}

fn append(running: &Running, body: Body) -> AppendOutcome {
    let node = running.node.clone();
    block_on(async move { node.append(body).await })
}

fn publish(shared: &Shared, base: u64) -> u64 {
    let record = Record {
        id: RequestId(u128::from(base) + 1),
        by: "anna".into(),
        written: UnixMillis(0),
        body: Body::Document {
            base,
            text: DOCUMENT.to_owned(),
        },
    };
    shared.put(serde_json::to_string(&record).unwrap())
}

/// Starts one node. Faults of single appends strike records about `w1` alone.
fn one_node(i: u8) -> (Shared, Running) {
    let (shared, addr) = platform();
    *shared.strikes.lock().unwrap() = "\"w1\"".to_owned();
    let running = start(i, "north", Role::Router, addr);
    let node = running.node.clone();
    wait_until("a member", || node.view().member(node.id()).is_some());
    (shared, running)
}

fn copies(shared: &Shared, text: &str) -> usize {
    let batch = shared.batch(0, usize::MAX);
    let holds = |data: &str| data.contains(text);
    batch
        .records
        .iter()
        .filter(|entry| holds(&entry.data))
        .count()
}

#[test]
fn a_lost_answer_is_resolved_without_doubling() {
    let (shared, running) = one_node(40);
    shared.lose_answers.store(1, Ordering::SeqCst);
    let done = append(&running, drain("w1"));
    assert!(matches!(done, AppendOutcome::Accepted { .. }), "{done:?}");
    assert_eq!(copies(&shared, "w1"), 1);
    assert!(running.node.state().drains.contains(&"w1".into()));
}

#[test]
fn a_lost_request_is_sent_again() {
    let (shared, running) = one_node(41);
    shared.lose_requests.store(2, Ordering::SeqCst);
    let done = append(&running, drain("w1"));
    assert!(matches!(done, AppendOutcome::Accepted { .. }), "{done:?}");
    assert_eq!(copies(&shared, "w1"), 1);
}

#[test]
fn an_append_in_an_outage_is_certainly_not_taken() {
    let (shared, running) = one_node(42);
    shared.down.store(true, Ordering::SeqCst);
    assert_eq!(append(&running, drain("w1")), AppendOutcome::Unavailable);
    shared.down.store(false, Ordering::SeqCst);
    assert_eq!(copies(&shared, "w1"), 0);
}

#[test]
fn a_lost_answer_before_an_outage_stays_open_and_comes_into_force() {
    let (shared, running) = one_node(43);
    shared.lose_answers.store(1, Ordering::SeqCst);
    shared.down_after_append.store(true, Ordering::SeqCst);
    assert_eq!(append(&running, drain("w1")), AppendOutcome::Unresolved);
    shared.down.store(false, Ordering::SeqCst);
    wait_until("the record in force", || {
        running.node.state().drains.contains(&"w1".into())
    });
    assert_eq!(copies(&shared, "w1"), 1);
}

#[test]
fn a_refused_record_says_why() {
    let (shared, running) = one_node(44);
    publish(&shared, 0);
    wait_until("a document", || running.node.state().document.is_some());
    let stale = Body::Document {
        base: 0,
        text: DOCUMENT.replace("cpu: 8", "cpu: 9"),
    };
    let AppendOutcome::Refused { reason } = append(&running, stale) else {
        panic!("a stale document was not refused");
    };
    assert!(
        reason.contains("anna") && reason.contains("node-44"),
        "{reason}"
    );
    let text = "x".repeat(300 * 1024);
    let large = Body::Document { base: 0, text };
    assert!(matches!(
        append(&running, large),
        AppendOutcome::Refused { .. }
    ));
}

#[test]
fn a_damaged_record_stops_nothing() {
    let (shared, running) = one_node(45);
    for text in ["", "{\"id\":", "\u{0}\u{1}", "[[[["] {
        shared.put(text.to_owned());
    }
    publish(&shared, 0);
    wait_until("a document", || running.node.state().document.is_some());
    assert_eq!(running.node.state().poisoned, 4);
}

#[test]
fn what_is_in_force_outlasts_retention_and_every_process() {
    let (shared, addr) = platform();
    let first = start(46, "north", Role::Router, addr);
    let node = first.node.clone();
    wait_until("a member", || node.view().member(node.id()).is_some());
    let version = publish(&shared, 0);
    append(&first, drain("w1"));
    wait_until("the log forgets all but what a snapshot covers", || {
        if let Some(covered) = node.state().snapshot.map(|snapshot| snapshot.through) {
            let first = shared.log.lock().unwrap().first;
            // Bit by bit, but never what no snapshot covers yet.
            let goal = covered.min(first.max(version) + 1);
            if goal > first {
                shared.forget_before(goal);
            }
        }
        let first = shared.log.lock().unwrap().first;
        first > version + 1
    });
    first.node.shutdown();
    let second = start(47, "north", Role::Router, addr);
    wait_until("the document again", || {
        second.node.state().document_version == version
    });
    assert!(second.node.state().drains.contains(&"w1".into()));
    let node = &second.node;
    wait_until("a member", || node.view().member(node.id()).is_some());
}

#[test]
fn members_that_are_cut_off_from_the_log_learn_from_others() {
    let (shared, addr) = platform();
    let nodes: Vec<_> = (48..51)
        .map(|i| start(i, "north", Role::Router, addr))
        .collect();
    wait_until("a whole view", || {
        nodes.iter().all(|n| n.node.view().members.len() == 3)
    });
    let cut = Faults {
        cut_log: true,
        ..Faults::default()
    };
    nodes[1].node.link_faults().set(cut.clone());
    nodes[2].node.link_faults().set(cut);
    let version = publish(&shared, 0);
    let took = wait_until("the document everywhere", || {
        nodes
            .iter()
            .all(|n| n.node.state().document_version == version)
    });
    println!("a document reached two members that can't read the log after {took:?}");
}

#[test]
fn a_slow_log_is_not_asked_twice_for_one_change() {
    let (shared, addr) = platform();
    // No view can have offset zero as its number; the fold refuses it there.
    shared.put(String::new());
    shared.append_delay_ms.store(1_200, Ordering::SeqCst);
    let nodes: Vec<_> = (52..55)
        .map(|i| start(i, "north", Role::Router, addr))
        .collect();
    wait_until("a whole view", || {
        nodes.iter().all(|n| n.node.view().members.len() == 3)
    });
    let mut proposed = BTreeMap::new();
    for entry in shared.batch(1, usize::MAX).records {
        let record: Record = serde_json::from_str(&entry.data).unwrap();
        if let Body::View { base, .. } = record.body {
            // The same record may be there twice after a lost answer; two records may not.
            let first = *proposed
                .entry((record.by.clone(), base))
                .or_insert(record.id);
            assert_eq!(first, record.id, "{} twice on {base}", record.by);
        }
    }
}
