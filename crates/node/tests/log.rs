//! Nodes on a log that loses answers, is down or slow, discards records, and holds malformed
//! records.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::{collections::BTreeMap, sync::atomic::Ordering};

use common::{RunningNode, Shared, block_on, start_node, start_platform, wait_until};
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

fn append(running: &RunningNode, body: Body) -> AppendOutcome {
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
    shared.push_entry(serde_json::to_string(&record).unwrap())
}

/// Starts one node. Faults of single appends affect only records that contain `"w1"`.
fn start_one_node(i: u8) -> (Shared, RunningNode) {
    let (shared, addr) = start_platform();
    *shared.fault_filter.lock().unwrap() = "\"w1\"".to_owned();
    let running = start_node(i, "north", Role::Router, addr);
    let node = running.node.clone();
    wait_until("membership", || node.view().member(node.id()).is_some());
    (shared, running)
}

/// Counts the records in the log that drain a host or return it to service.
///
/// Snapshots are not counted. They list the drained hosts, and a node whose first snapshot failed
/// in an outage may append the next one at any time after it.
fn count_drains(shared: &Shared, host: &str) -> usize {
    let batch = shared.batch(0, usize::MAX);
    let is_match = |data: &str| {
        let record: Record = serde_json::from_str(data).unwrap();
        matches!(record.body, Body::Drain { host: name, .. } if name == host.into())
    };
    batch
        .records
        .iter()
        .filter(|entry| is_match(&entry.data))
        .count()
}

#[test]
fn an_append_whose_answer_was_lost_is_not_duplicated() {
    let (shared, running) = start_one_node(40);
    shared.lose_answers.store(1, Ordering::SeqCst);
    let outcome = append(&running, drain("w1"));
    assert!(
        matches!(outcome, AppendOutcome::Accepted { .. }),
        "{outcome:?}"
    );
    assert_eq!(count_drains(&shared, "w1"), 1);
    assert!(running.node.state().drains.contains(&"w1".into()));
}

#[test]
fn an_append_whose_request_was_lost_is_retried() {
    let (shared, running) = start_one_node(41);
    shared.lose_requests.store(2, Ordering::SeqCst);
    let outcome = append(&running, drain("w1"));
    assert!(
        matches!(outcome, AppendOutcome::Accepted { .. }),
        "{outcome:?}"
    );
    assert_eq!(count_drains(&shared, "w1"), 1);
}

#[test]
fn an_append_during_an_outage_is_unavailable_and_not_in_the_log() {
    let (shared, running) = start_one_node(42);
    shared.down.store(true, Ordering::SeqCst);
    assert_eq!(append(&running, drain("w1")), AppendOutcome::Unavailable);
    shared.down.store(false, Ordering::SeqCst);
    assert_eq!(count_drains(&shared, "w1"), 0);
}

#[test]
fn an_append_whose_answer_was_lost_before_an_outage_is_unresolved_and_takes_effect() {
    let (shared, running) = start_one_node(43);
    shared.lose_answers.store(1, Ordering::SeqCst);
    shared.down_after_append.store(true, Ordering::SeqCst);
    assert_eq!(append(&running, drain("w1")), AppendOutcome::Unresolved);
    shared.down.store(false, Ordering::SeqCst);
    wait_until("the record in force", || {
        running.node.state().drains.contains(&"w1".into())
    });
    assert_eq!(count_drains(&shared, "w1"), 1);
}

#[test]
fn a_refused_append_reports_the_reason() {
    let (shared, running) = start_one_node(44);
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
fn malformed_entries_are_skipped_and_counted() {
    let (shared, running) = start_one_node(45);
    for text in ["", "{\"id\":", "\u{0}\u{1}", "[[[["] {
        shared.push_entry(text.to_owned());
    }
    publish(&shared, 0);
    wait_until("a document", || running.node.state().document.is_some());
    assert_eq!(running.node.state().poisoned, 4);
}

#[test]
fn the_state_survives_log_retention_and_a_restart_of_all_processes() {
    let (shared, addr) = start_platform();
    let first = start_node(46, "north", Role::Router, addr);
    let node = first.node.clone();
    wait_until("membership", || node.view().member(node.id()).is_some());
    let version = publish(&shared, 0);
    append(&first, drain("w1"));
    wait_until("the log to discard what a snapshot covers", || {
        if let Some(covered) = node.state().snapshot.map(|snapshot| snapshot.through) {
            let first = shared.log.lock().unwrap().first;
            // In small steps, and only records that a snapshot covers.
            let new_first = covered.min(first.max(version) + 1);
            if new_first > first {
                shared.discard_before(new_first);
            }
        }
        let first = shared.log.lock().unwrap().first;
        first > version + 1
    });
    first.node.shutdown();
    let second = start_node(47, "north", Role::Router, addr);
    wait_until("the document again", || {
        second.node.state().document_version == version
    });
    assert!(second.node.state().drains.contains(&"w1".into()));
    let node = &second.node;
    wait_until("membership", || node.view().member(node.id()).is_some());
}

#[test]
fn members_cut_off_from_the_log_get_its_entries_from_others() {
    let (shared, addr) = start_platform();
    let nodes: Vec<_> = (48..51)
        .map(|i| start_node(i, "north", Role::Router, addr))
        .collect();
    wait_until("a view of all members", || {
        nodes.iter().all(|n| n.node.view().members.len() == 3)
    });
    let cut = Faults {
        cut_log: true,
        ..Faults::default()
    };
    nodes[1].node.link_faults().set(cut.clone());
    nodes[2].node.link_faults().set(cut);
    let version = publish(&shared, 0);
    let elapsed = wait_until("the document everywhere", || {
        nodes
            .iter()
            .all(|n| n.node.state().document_version == version)
    });
    println!("a document reached two members that can't read the log after {elapsed:?}");
}

#[test]
fn a_process_proposes_once_per_base_view_while_the_log_is_slow() {
    let (shared, addr) = start_platform();
    // Occupies offset zero, where a view would be refused.
    shared.push_entry(String::new());
    shared.append_delay_ms.store(1_200, Ordering::SeqCst);
    let nodes: Vec<_> = (52..55)
        .map(|i| start_node(i, "north", Role::Router, addr))
        .collect();
    wait_until("a view of all members", || {
        nodes.iter().all(|n| n.node.view().members.len() == 3)
    });
    let mut proposed = BTreeMap::new();
    for entry in shared.batch(1, usize::MAX).records {
        let record: Record = serde_json::from_str(&entry.data).unwrap();
        if let Body::View { base, .. } = record.body {
            // A lost answer may duplicate a record, but there must not be two different records.
            let first = *proposed
                .entry((record.by.clone(), base))
                .or_insert(record.id);
            assert_eq!(
                first, record.id,
                "{} proposed twice on base view {base}",
                record.by
            );
        }
    }
}
