use std::cell::RefCell as Shared;

use super::*;
use crate::owner::tests::{is_append, is_of_jobs, is_read, owner, start_store};

/// Body of a read without records, from a store at which the topic ends at `end`.
fn empty_read(end: u64) -> Vec<u8> {
    [end.to_be_bytes(), [0; 8]].concat()
}

/// Page of newest records of a store at which the topic ends at `end`.
fn page(end: u64, keys: &[&str]) -> Vec<u8> {
    let items: Vec<String> = keys
        .iter()
        .map(|key| format!(r#"{{"Key":"{key}","Value":"AAAA","Offset":1}}"#))
        .collect();
    format!(r#"{{"items":[{}],"EndOffset":{end}}}"#, items.join(",")).into_bytes()
}

/// Guards against an answer of a store that is behind: a runner that has left would be in use again,
/// and a configuration older than the one in force count as the newest.
#[ntex::test]
async fn snapshot_older_than_what_was_read_before_is_not_used() {
    let end = Rc::new(Shared::new(20));
    let current_end = Rc::clone(&end);
    let store = start_store(move |target| match is_read(target) {
        true => (410, Vec::new()),
        false => (200, page(*current_end.borrow(), &["i-1"])),
    });
    let owner = owner(&store.await).await;
    let mut from = 20;
    for (new_end, is_used) in [(20, true), (50, true), (20, false), (49, false), (51, true)] {
        *end.borrow_mut() = new_end;
        let changes = owner.read_changes(Topic::Runners, &mut from, Duration::ZERO);
        assert_eq!(changes.await.is_some(), is_used, "{new_end}");
        if is_used {
            assert_eq!(from, new_end);
        }
    }
    // What one role has read binds the next one in the same process.
    *end.borrow_mut() = 20;
    let next = Owner::new(Rc::clone(&owner.node), 2, 2);
    assert!(next.node.read_all(Topic::Runners).await.is_none());
    assert!(next.node.read_all(Topic::Operators).await.is_some());
}

/// Guards against an empty answer of a store that is behind, or that has lost the topic, which would
/// count as proof that no newer configuration exists.
#[ntex::test]
async fn answer_that_ends_before_the_requested_offset_proves_nothing() {
    for (status, end, expected) in [
        (200, 20, false),
        (200, 50, true),
        (200, 60, false),
        (404, 0, false),
    ] {
        let store = start_store(move |_| (status, empty_read(end))).await;
        let owner = owner(&store).await;
        let mut from = 50;
        let changes = owner.read_changes(Topic::Operators, &mut from, Duration::ZERO);
        let Some(Changes::Records { coverage, .. }) = changes.await else {
            panic!("expected records");
        };
        let is_complete = coverage == Coverage::Complete;
        assert_eq!((is_complete, from), (expected, 50), "{status} {end}");
    }
}

/// Guards against a recovery from a store that is behind the one that fenced off the previous
/// owner: jobs that were accepted would be unknown.
#[ntex::test]
async fn recovery_waits_for_the_records_that_precede_its_fence() {
    let reads = Rc::new(Shared::new(0));
    let counter = Rc::clone(&reads);
    let store = start_store(move |target| {
        if is_append(target) {
            return (200, br#"{"Offset":40,"EndOffset":40}"#.to_vec());
        }
        if is_of_jobs(target) {
            *counter.borrow_mut() += 1;
            let end = if *counter.borrow() < 3 { 39 } else { 40 };
            return (200, page(end, &[]));
        }
        (200, page(7, &[]))
    });
    let owner = owner(&store.await).await;
    let offsets = owner.recover(None).await.expect("a recovery");
    assert_eq!((*reads.borrow(), offsets.runners_end), (3, 7));
}

/// Guards against a configuration that was superseded before a takeover in the same process.
#[ntex::test]
async fn older_configuration_is_not_applied() {
    let owner = owner("127.0.0.1:1").await;
    let record = |version: u64| KeyedRecord {
        key: store::CONFIG_KEY.to_owned(),
        value: Some(format!(r#"{{"Version":{version},"Routes":[]}}"#).into_bytes()),
        offset: 1,
    };
    for (version, expected) in [(5, 5), (4, 5), (6, 6), (1, 6)] {
        owner.apply_operator_records(&[record(version)]);
        assert_eq!(owner.config_version(), expected);
    }
}

/// Guards against a busy loop of reads while the store answers at once without new records.
#[test]
fn reads_pause_only_after_an_answer_that_yields_nothing() {
    let at_once = Duration::from_millis(1);
    let rest = MIN_READ_INTERVAL - at_once;
    let table = [
        ("no change", (7, 7, 7), Coverage::Complete, Duration::ZERO),
        ("all records", (7, 9, 9), Coverage::Complete, Duration::ZERO),
        (
            "part of them",
            (7, 9, 12),
            Coverage::Partial,
            Duration::ZERO,
        ),
        ("none of them", (7, 7, 12), Coverage::Nothing, rest),
        ("outdated", (7, 7, 3), Coverage::Nothing, rest),
        ("no topic", (7, 7, 0), Coverage::Nothing, rest),
    ];
    for (case, (from, next, end), expected, pause) in table {
        let coverage = Coverage::new(from, next, end);
        assert_eq!(coverage, expected, "{case}");
        assert_eq!(coverage.pause(at_once), pause, "{case}");
    }
}

/// Guards against a configuration that becomes needlessly old because a read that waited is
/// followed by a pause.
#[test]
fn read_that_waited_is_repeated_without_a_pause() {
    assert_eq!(Coverage::Nothing.pause(CONFIG_WAIT), Duration::ZERO);
}

/// Guards against an answer of a lagging replica that follows a partial one and would count as proof
/// that the configuration is current.
#[ntex::test]
async fn answer_that_ends_before_an_earlier_one_proves_nothing() {
    let end = Rc::new(Shared::new(60));
    let current_end = Rc::clone(&end);
    let store = start_store(move |_| (200, empty_read(*current_end.borrow())));
    let owner = owner(&store.await).await;
    let mut from = 50;
    for (new_end, expected) in [
        (60, Coverage::Nothing),
        (50, Coverage::Nothing),
        (60, Coverage::Nothing),
    ] {
        *end.borrow_mut() = new_end;
        let changes = owner.read_changes(Topic::Operators, &mut from, Duration::ZERO);
        let Some(Changes::Records { coverage, .. }) = changes.await else {
            panic!("expected records");
        };
        assert_eq!(coverage, expected, "{new_end}");
    }
}

/// Guards against callers who are refused after an outage because the configuration counts as
/// outdated: the first read after a failed one must be answered without waiting for a change, and
/// follow as soon as the store answers anything.
#[ntex::test]
async fn configuration_is_read_at_once_when_the_store_is_back() {
    let is_down = Rc::new(Shared::new(true));
    let targets = Rc::new(Shared::new(Vec::new()));
    let (down, seen) = (Rc::clone(&is_down), Rc::clone(&targets));
    let store = start_store(move |target| {
        seen.borrow_mut().push((*down.borrow(), target.to_owned()));
        match *down.borrow() {
            true => (503, Vec::new()),
            false => (200, empty_read(0)),
        }
    });
    let owner = owner(&store.await).await;
    ntex::rt::spawn(Rc::clone(&owner).follow_config(0));
    while !targets.borrow().iter().any(|(down, _)| *down) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    *is_down.borrow_mut() = false;
    owner.confirm(owner.node.clock.reading());
    while owner.config_age().is_none() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let first_answered = targets.borrow().iter().find(|(down, _)| !down).cloned();
    let without_wait = store::read_request(Topic::Operators, 0, Duration::ZERO);
    let expected = (false, without_wait.target().to_owned());
    assert_eq!(first_answered, Some(expected));
}

/// Guards against a takeover that starts from the jobs as they were before its claim.
#[ntex::test]
async fn records_read_ahead_are_brought_up_to_date() {
    let record = |key: &str, value: Option<&[u8]>| {
        let mut content = vec![u8::try_from(key.len()).expect("a short key")];
        content.extend(key.as_bytes());
        content.extend(value.unwrap_or_default());
        let length = u32::try_from(content.len()).expect("a short record");
        [&length.to_be_bytes()[..], &content].concat()
    };
    let changes = [
        record("b", Some(b"2")),
        record("a", None),
        record("c", Some(b"3")),
    ];
    let read = move |end: u64| [&end.to_be_bytes()[..], &[0; 8], &changes.concat()].concat();
    // Status and end offset that the store answers, and the keys then known.
    let table = [
        (200, 13, Some(vec!["b", "c", "d"])),
        // The answer lacks records that precede the claim.
        (200, 14, None),
        (410, 0, None),
    ];
    for (status, end, expected) in table {
        let read = read.clone();
        let first = store::read_request(Topic::Jobs, 10, Duration::ZERO);
        let store = start_store(move |target| match target == first.target() {
            true => (status, read(end)),
            false => (200, empty_read(13)),
        });
        let owner = owner(&store.await).await;
        let known = |key: &str| KeyedRecord {
            key: key.to_owned(),
            value: Some(b"1".to_vec()),
            offset: 1,
        };
        let before = Page {
            records: vec![known("a"), known("b"), known("d")],
            next: None,
            end: 10,
            skipped: 0,
        };
        let page = owner.node.read_since(Topic::Jobs, before).await;
        let keys = page.map(|page| {
            let mut keys: Vec<String> = page.records.into_iter().map(|known| known.key).collect();
            keys.sort_unstable();
            keys
        });
        let expected = expected.map(|keys| keys.into_iter().map(str::to_owned).collect());
        assert_eq!(keys, expected, "{status} {end}");
    }
}

/// Returns a record of the host list.
fn listed(key: &str, value: &[u8]) -> KeyedRecord {
    KeyedRecord {
        key: key.to_owned(),
        value: Some(value.to_vec()),
        offset: 1,
    }
}

/// Returns an entry of a runner at an address.
fn entry_at(addr: &str) -> String {
    format!(
        r#"{{"Service":"s","Addr":"{addr}","Zone":"a","Version":"v1","Slots":8,"State":"ready","ColdRemainingMs":0,
        "Capacity":{{"Cpu":1000,"MemMb":1000,"Gpus":0}},"Labels":["a"],"Seq":1,"born":1}}"#
    )
}

/// Returns entries that another writer may leave.
fn odd_entries() -> Vec<Vec<u8>> {
    vec![
        "[".repeat(100_000).into_bytes(),
        entry_at("127.0.0.1:99999").into_bytes(),
        entry_at("127.0.0.1:1")
            .replace("1000,", "1e300,")
            .into_bytes(),
        entry_at("127.0.0.1:1")
            .replace("\"born\":1", "\"born\":1e300")
            .into_bytes(),
        entry_at("127.0.0.1:1")
            .replace("ready", "asleep")
            .into_bytes(),
        entry_at("127.0.0.1:1")
            .replace("\"Version\":\"v1\",", "")
            .into_bytes(),
        b"\xff".to_vec(),
    ]
}

/// Guards against an entry of another writer that is called or recorded as a runner, or that takes a runner
/// under the same id out of the list.
#[ntex::test]
async fn odd_entries_leave_the_runners_as_they_are() {
    let owner = owner("127.0.0.1:1").await;
    let sound = listed("i-1", entry_at("127.0.0.1:2").as_bytes());
    for odd in odd_entries() {
        let records = [listed("i-0", &odd), sound.clone()];
        owner.replace_runners(&records).await;
        // The same entry under the id of the runner, alone and in the complete list.
        owner.apply_runner_record(&listed("i-1", &odd)).await;
        owner.replace_runners(&[listed("i-1", &odd)]).await;
        let ids = owner.engine.borrow().listed_runners();
        assert_eq!(ids, [Name::new("i-1")]);
        assert_eq!(owner.runner_connections.borrow().len(), 1);
    }
    let batch = owner.engine.borrow_mut().take_batch().expect("a record");
    assert_eq!(batch.records.len(), 1, "{batch:?}");
    owner.step_down("test");
}

/// Guards against a runner that an earlier version recorded from an odd entry: each new owner would call it, and
/// hold back tasks for it.
#[ntex::test]
async fn recorded_odd_entries_are_not_recovered() {
    let record = |id: &str, addr: &str| {
        let entry = RunnerEntry {
            id: Name::new(id),
            service: Name::new("s"),
            addr: Name::new(addr),
            data_centre: Name::new("a"),
            draining: false,
            capacity: kspan_model::Resources::new(1, 1, 0),
            labels: Vec::new(),
            started_unix_ms: 1,
        };
        listed(&format!("r{id}"), &kspan_jobs::record::encode(&entry))
    };
    let owner = owner("127.0.0.1:1").await;
    let records = [
        record("i-0", "127.0.0.1:99999"),
        record("i-1", "127.0.0.1:2"),
    ];
    let now = owner.now();
    owner.restore_engine(&records, now).await;
    let engine = owner.engine.borrow();
    let ids: Vec<Name> = engine
        .live_runners()
        .map(|ix| engine.runner(ix).id.clone())
        .collect();
    assert_eq!(ids, [Name::new("i-1")]);
    drop(engine);
    owner.step_down("test");
}
