use std::cell::RefCell as Shared;

use super::*;
use crate::owner::tests::{
    answers::{self, StoreCallKind, appended, empty_read, page},
    owner, start_store,
};

/// Guards against an answer of a store that is behind: a runner that has left would be in use again,
/// and a configuration older than the one in force count as the newest.
#[ntex::test]
async fn snapshot_older_than_what_was_read_before_is_not_used() {
    let end = Rc::new(Shared::new(20));
    let current_end = Rc::clone(&end);
    let store = start_store(move |call| match call.kind {
        StoreCallKind::Read => answers::truncated(),
        _ => page(*current_end.borrow(), &["i-1"]),
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
    assert!(next.read_all(Topic::Runners).await.is_none());
    assert!(next.read_all(Topic::Operators).await.is_some());
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
        let store = start_store(move |_| empty_read(status, end)).await;
        let owner = owner(&store).await;
        let mut from = 50;
        let changes = owner.read_changes(Topic::Operators, &mut from, Duration::ZERO);
        let Some(Changes::Records { is_complete, .. }) = changes.await else {
            panic!("expected records");
        };
        assert_eq!((is_complete, from), (expected, 50), "{status} {end}");
    }
}

/// Guards against a recovery from a store that is behind the one that fenced off the previous
/// owner: jobs that were accepted would be unknown.
#[ntex::test]
async fn recovery_waits_for_the_records_that_precede_its_fence() {
    let reads = Rc::new(Shared::new(0));
    let counter = Rc::clone(&reads);
    let store = start_store(move |call| {
        if call.kind == StoreCallKind::Append {
            return appended(40);
        }
        if call.is_of_jobs {
            *counter.borrow_mut() += 1;
            return page(if *counter.borrow() < 3 { 39 } else { 40 }, &[]);
        }
        page(7, &[])
    });
    let owner = owner(&store.await).await;
    let offsets = owner.recover().await.expect("a recovery");
    assert_eq!((*reads.borrow(), offsets.runners_end), (3, 7));
}

/// Guards against a configuration that was superseded before a takeover in the same process.
#[ntex::test]
async fn older_configuration_is_not_applied() {
    let owner = owner("127.0.0.1:1").await;
    let record = |version: u64| KeyedRecord {
        key: store::CONFIG_KEY.to_owned(),
        value: Some(answers::config(version)),
        offset: 1,
    };
    for (version, expected) in [(5, 5), (4, 5), (6, 6), (1, 6)] {
        owner.apply_operator_records(&[record(version)]);
        assert_eq!(owner.config_version(), expected);
    }
}
