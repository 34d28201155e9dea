//! Snapshots: loading one and folding on is the same as folding everything.

mod common;

use std::sync::Arc;

use common::{DOCUMENT, Folded, document, end, in_force, member, submission};
use kspan_fold::{
    Body, State,
    search::Search,
    snapshot::{LogWindow, SNAPSHOT_PERIOD, SNAPSHOT_RECORDS, is_due},
};
use kspan_model::{JobId, Millis, UnixMillis};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

/// A record that may come at any point of a log.
fn body() -> impl Strategy<Value = Body> {
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

/// Builds a log from bodies; some records are copies of earlier ones.
fn fold(bodies: Vec<(Body, u8, u32)>) -> Folded {
    let mut log = Folded::default();
    let mut time = 0;
    for (body, repeat, gap) in bodies {
        time += u64::from(gap);
        let copy = usize::from(repeat).checked_sub(200);
        match copy.and_then(|back| log.entries.iter().rev().nth(back).cloned()) {
            Some((_, _, text)) => log.put_text(time, text),
            None => {
                log.ids += 1;
                let text = common::record(log.ids, "x", body);
                log.put_text(time, text)
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
    fn a_snapshot_and_its_tail_equal_the_whole_log(
        bodies in prop::collection::vec((body(), any::<u8>(), 0..900_000_u32), 1..60),
        cut in 0..60_usize,
    ) {
        let whole = fold(bodies);
        let cut = cut.min(whole.entries.len());
        let mut head = State::default();
        for (offset, time, text) in &whole.entries[..cut] {
            head.apply(*offset, *time, text);
        }
        let text: String = head.to_parts().into_iter().map(|part| part.text).collect();
        let mut loaded = State::from_snapshot(&text).unwrap();
        for (offset, time, text) in &whole.entries[cut..] {
            let applied = loaded.apply(*offset, *time, text);
            // Whoever folded everything comes to the same verdicts.
            prop_assert_eq!(applied, head.apply(*offset, *time, text));
        }
        prop_assert_eq!(in_force(&loaded), in_force(&whole.state));
    }

    #[test]
    fn the_document_and_the_view_never_go_back(
        bodies in prop::collection::vec((body(), any::<u8>(), 0..900_000_u32), 1..60),
    ) {
        let whole = fold(bodies);
        let mut state = State::default();
        for (offset, time, text) in &whole.entries {
            let before = (state.document_version, state.view.number);
            state.apply(*offset, *time, text);
            prop_assert!(state.document_version >= before.0 && state.view.number >= before.1);
        }
    }

    #[test]
    fn no_text_makes_the_fold_panic(text in ".{0,200}", offset in any::<u32>()) {
        let mut state = State::default();
        state.apply(u64::from(offset), UnixMillis(0), &text);
        prop_assert!(State::from_snapshot(&text).is_err());
    }
}

/// A state whose snapshot has several parts.
fn large() -> Folded {
    let mut log = Folded::default();
    log.put("anna", document(0, DOCUMENT));
    for first in (0..3_000).step_by(500) {
        let submissions = (first..first + 500).map(|job| submission(job, 9)).collect();
        log.put("s", Body::Submissions { submissions });
    }
    log
}

#[test]
fn a_part_fits_into_a_record_whatever_it_holds() {
    let mut log = large();
    // Text that doubles with every escape.
    log.state.document_text = Arc::from("\"\\\n".repeat(60_000));
    for part in log.state.to_parts() {
        let text = common::record(1, "node", Body::Snapshot(part));
        assert!(text.len() <= 256 * 1024, "{} bytes", text.len());
    }
}

#[test]
fn parts_are_found_in_any_order_and_among_others() {
    let mut log = large();
    let covered = in_force(&log.state);
    let parts = log.state.to_parts();
    assert!(parts.len() > 2, "{} parts", parts.len());
    let older = Folded::default().state.to_parts();
    for part in parts.iter().rev().chain(&older).chain(&parts[..1]) {
        log.put("node", Body::Snapshot(part.clone()));
    }
    let mut search = Search::new();
    for (offset, _, text) in &log.entries {
        search.read(*offset, text);
    }
    let found = search.finish().unwrap();
    assert_eq!(in_force(&found), covered);
    let seen = log.state.snapshot.unwrap();
    assert_eq!((seen.through, found.snapshot), (8, Some(seen)));
}

#[test]
fn a_snapshot_with_a_missing_or_damaged_part_is_not_used() {
    let parts = large().state.to_parts();
    let mut damaged = parts.clone();
    damaged[1].text = damaged[1].text.replace("nightly", "weekly!");
    for parts in [&parts[1..], &damaged[..]] {
        let mut search = Search::new();
        for (offset, part) in (100..).zip(parts) {
            search.read(
                offset,
                &common::record(1, "node", Body::Snapshot(part.clone())),
            );
        }
        assert!(search.finish().is_none());
    }
}

#[test]
fn a_snapshot_is_due_well_before_what_it_covers_is_forgotten() {
    let quiet = LogWindow {
        first: 1,
        next: 100,
        covered: Some(90),
        age: Millis(1_000),
        retention: None,
    };
    let cases = [
        (quiet, false),
        (
            LogWindow {
                covered: None,
                ..quiet
            },
            true,
        ),
        (
            LogWindow {
                covered: None,
                next: 1,
                ..quiet
            },
            false,
        ),
        (
            LogWindow {
                age: SNAPSHOT_PERIOD,
                ..quiet
            },
            true,
        ),
        (
            LogWindow {
                next: 90 + SNAPSHOT_RECORDS,
                ..quiet
            },
            true,
        ),
        // Half of the kept records came after the snapshot.
        (LogWindow { first: 82, ..quiet }, true),
        (LogWindow { first: 78, ..quiet }, false),
        // The log forgets after two seconds.
        (
            LogWindow {
                retention: Some(Millis(2_000)),
                ..quiet
            },
            true,
        ),
        (
            LogWindow {
                retention: Some(Millis(60_000)),
                ..quiet
            },
            false,
        ),
    ];
    for (window, expected) in cases {
        assert_eq!(is_due(&window), expected, "{window:?}");
    }
}
