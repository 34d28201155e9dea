//! Snapshots: loading one and applying the rest of the log equals applying the whole log.

mod common;

use std::sync::Arc;

use common::{DOCUMENT, TestLog, document, durable_state, end, member, submission};
use kspan_fold::{
    Body, State,
    search::SnapshotSearch,
    snapshot::{LogWindow, MAX_RECORDS_SINCE_SNAPSHOT, MAX_SNAPSHOT_INTERVAL, is_snapshot_due},
};
use kspan_model::{JobId, Millis, UnixMillis};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

/// Generates a body of any kind but a snapshot.
fn any_body() -> impl Strategy<Value = Body> {
    let job = 0..6_u128;
    prop_oneof![
        (0..40_u64, 0..3_u8).prop_map(|(base, name)| Body::View {
            base,
            members: vec![member(&format!("n{name}"), base)],
        }),
        (0..40_u64, 1..20_u32, any::<bool>()).prop_map(|(base, cpu, ops)| {
            let (from, to) = if ops {
                ("cpu: 8", format!("cpu: {cpu}"))
            } else {
                ("quota: {cpu: 4", format!("quota: {{cpu: {cpu}"))
            };
            document(base, &DOCUMENT.replace(from, &to))
        }),
        (job.clone(), 0..5_000_000_u64).prop_map(|(job, accepted)| Body::Submissions {
            submissions: vec![submission(job, accepted)],
        }),
        job.clone().prop_map(|job| Body::Cancels {
            jobs: vec![JobId(job)],
        }),
        job.prop_map(|job| Body::Ends {
            ends: vec![end(job)]
        }),
        (0..3_u8, any::<bool>()).prop_map(|(host, drained)| Body::Drain {
            host: format!("w{host}").as_str().into(),
            drained,
        }),
    ]
}

/// Builds a log from bodies; some records are duplicates of earlier ones.
fn build_log(bodies: Vec<(Body, u8, u32)>) -> TestLog {
    let mut log = TestLog::default();
    let mut time = 0;
    for (body, repeat, gap) in bodies {
        time += u64::from(gap);
        let duplicate_of = usize::from(repeat).checked_sub(200);
        match duplicate_of.and_then(|back| log.entries.iter().rev().nth(back).cloned()) {
            Some((_, _, text)) => log.append_text(time, text),
            None => {
                log.last_id += 1;
                let text = common::record(log.last_id, "x", body);
                log.append_text(time, text)
            }
        };
    }
    log
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn a_snapshot_and_the_records_after_it_equal_the_whole_log(
        bodies in prop::collection::vec((any_body(), any::<u8>(), 0..900_000_u32), 1..60),
        cut in 0..60_usize,
    ) {
        let full_log = build_log(bodies);
        let cut = cut.min(full_log.entries.len());
        let mut head = State::default();
        for (offset, time, text) in &full_log.entries[..cut] {
            head.apply(*offset, *time, text);
        }
        let text: String = head.to_parts().into_iter().map(|part| part.text).collect();
        let mut loaded = State::from_snapshot(&text).unwrap();
        for (offset, time, text) in &full_log.entries[cut..] {
            let applied = loaded.apply(*offset, *time, text);
            // A process that applied the whole log reaches the same verdicts.
            prop_assert_eq!(applied, head.apply(*offset, *time, text));
        }
        prop_assert_eq!(durable_state(&loaded), durable_state(&full_log.state));
    }

    #[test]
    fn document_and_view_versions_never_decrease(
        bodies in prop::collection::vec((any_body(), any::<u8>(), 0..900_000_u32), 1..60),
    ) {
        let full_log = build_log(bodies);
        let mut state = State::default();
        for (offset, time, text) in &full_log.entries {
            let before = (state.document_version, state.view.number);
            state.apply(*offset, *time, text);
            prop_assert!(state.document_version >= before.0 && state.view.number >= before.1);
        }
    }

    #[test]
    fn no_text_makes_apply_or_from_snapshot_panic(text in ".{0,200}", offset in any::<u32>()) {
        let mut state = State::default();
        state.apply(u64::from(offset), UnixMillis(0), &text);
        prop_assert!(State::from_snapshot(&text).is_err());
    }
}

/// Builds a log whose snapshot has several parts.
fn large_log() -> TestLog {
    let mut log = TestLog::default();
    log.append("anna", document(0, DOCUMENT));
    for first in (0..3_000).step_by(500) {
        let submissions = (first..first + 500).map(|job| submission(job, 9)).collect();
        log.append("s", Body::Submissions { submissions });
    }
    log
}

#[test]
fn a_snapshot_part_fits_into_a_record_when_every_character_is_escaped() {
    let mut log = large_log();
    // Escaping doubles the length of this text.
    log.state.document_text = Arc::from("\"\\\n".repeat(60_000));
    for part in log.state.to_parts() {
        let text = common::record(1, "node", Body::Snapshot(part));
        assert!(text.len() <= 256 * 1024, "{} bytes", text.len());
    }
}

#[test]
fn a_snapshot_is_found_with_its_parts_out_of_order_and_repeated() {
    let mut log = large_log();
    let expected = durable_state(&log.state);
    let parts = log.state.to_parts();
    assert!(parts.len() > 2, "{} parts", parts.len());
    let older = TestLog::default().state.to_parts();
    for part in parts.iter().rev().chain(&older).chain(&parts[..1]) {
        log.append("node", Body::Snapshot(part.clone()));
    }
    let mut search = SnapshotSearch::new();
    for (offset, _, text) in &log.entries {
        search.push_entry(*offset, text);
    }
    let found = search.finish().unwrap();
    assert_eq!(durable_state(&found), expected);
    let position = log.state.snapshot.unwrap();
    assert_eq!((position.through, found.snapshot), (8, Some(position)));
}

#[test]
fn a_snapshot_with_a_missing_or_damaged_part_is_not_used() {
    let parts = large_log().state.to_parts();
    let mut damaged = parts.clone();
    damaged[1].text = damaged[1].text.replace("nightly", "weekly!");
    for parts in [&parts[1..], &damaged[..]] {
        let mut search = SnapshotSearch::new();
        for (offset, part) in (100..).zip(parts) {
            search.push_entry(
                offset,
                &common::record(1, "node", Body::Snapshot(part.clone())),
            );
        }
        assert!(search.finish().is_none());
    }
}

#[test]
fn a_snapshot_is_due_well_before_the_log_discards_what_it_must_cover() {
    let window_not_due = LogWindow {
        first: 1,
        next: 100,
        covered: Some(90),
        age: Millis(1_000),
        retention: None,
    };
    let cases = [
        (window_not_due, false),
        (
            LogWindow {
                covered: None,
                ..window_not_due
            },
            true,
        ),
        (
            LogWindow {
                covered: None,
                next: 1,
                ..window_not_due
            },
            false,
        ),
        (
            LogWindow {
                age: MAX_SNAPSHOT_INTERVAL,
                ..window_not_due
            },
            true,
        ),
        (
            LogWindow {
                next: 90 + MAX_RECORDS_SINCE_SNAPSHOT,
                ..window_not_due
            },
            true,
        ),
        // More than half of the retained records come after the snapshot, then less than half.
        (
            LogWindow {
                first: 82,
                ..window_not_due
            },
            true,
        ),
        (
            LogWindow {
                first: 78,
                ..window_not_due
            },
            false,
        ),
        // The log discards records after two seconds, then after a minute.
        (
            LogWindow {
                retention: Some(Millis(2_000)),
                ..window_not_due
            },
            true,
        ),
        (
            LogWindow {
                retention: Some(Millis(60_000)),
                ..window_not_due
            },
            false,
        ),
    ];
    for (window, expected) in cases {
        assert_eq!(is_snapshot_due(&window), expected, "{window:?}");
    }
}
