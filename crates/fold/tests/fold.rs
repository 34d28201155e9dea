//! What the fold accepts, refuses and skips.

mod common;

use common::{DOCUMENT, Folded, document, end, member, submission};
use kspan_fold::{Body, Job, Verdict};
use kspan_model::{JobId, UnixMillis};

#[test]
fn a_view_comes_into_force_on_its_base_only() {
    let mut log = Folded::default();
    let view = |base, name| Body::View {
        base,
        members: vec![member(name, 1)],
    };
    assert_eq!(log.put("a", view(0, "a")), Verdict::Accepted);
    assert!(matches!(log.put("b", view(0, "b")), Verdict::Refused(_)));
    assert_eq!(log.state.view.number, 1);
    assert_eq!(log.put("b", view(1, "b")), Verdict::Accepted);
    assert_eq!(log.state.view.number, 3);
    let numbers: Vec<_> = log.state.views().map(|view| view.number).collect();
    assert_eq!(numbers, [1, 3]);
    let empty = Body::View {
        base: 3,
        members: Vec::new(),
    };
    assert!(matches!(log.put("b", empty), Verdict::Refused(_)));
    let twice = Body::View {
        base: 3,
        members: vec![member("a", 1), member("a", 2)],
    };
    assert!(matches!(log.put("b", twice), Verdict::Refused(_)));
}

#[test]
fn a_poisoned_record_stops_nothing() {
    let mut log = Folded::default();
    let good = common::record(9, "a", document(0, DOCUMENT));
    let poisons = [
        "",
        "{}",
        "null",
        "\u{0}",
        &good[..good.len() / 2],
        &"[".repeat(100_000),
    ];
    for poison in poisons {
        assert_eq!(log.put_text(0, poison.to_owned()), Verdict::Poisoned);
    }
    assert_eq!(log.state.poisoned, 6);
    assert_eq!(log.put("a", document(0, DOCUMENT)), Verdict::Accepted);
    assert_eq!(log.state.document_version, 7);
}

#[test]
fn a_document_that_is_not_valid_is_refused_with_its_faults() {
    let mut log = Folded::default();
    let text = DOCUMENT.replace("32GiB", "32GB");
    let Verdict::Refused(reason) = log.put("anna", document(0, &text)) else {
        panic!("an invalid document was not refused");
    };
    assert!(reason.contains("teams[0].quota.memory"), "{reason}");
    assert!(log.state.document.is_none());
    assert_eq!(log.state.refusals[0].by.as_str(), "anna");
}

#[test]
fn edits_of_unlike_objects_merge() {
    let mut log = Folded::default();
    log.put("anna", document(0, DOCUMENT));
    assert_eq!(&*log.state.document_text, DOCUMENT);
    let first = DOCUMENT.replace("cpu: 8", "cpu: 16");
    let second = DOCUMENT.replace("name: shop, quota: {cpu: 4", "name: shop, quota: {cpu: 6");
    assert_eq!(log.put("anna", document(1, &first)), Verdict::Accepted);
    assert_eq!(log.put("bjorn", document(1, &second)), Verdict::Accepted);
    let document = log.state.document.clone().unwrap();
    assert_eq!(document.team("ops").unwrap().quota.cpu_milli, 16_000);
    assert_eq!(document.team("shop").unwrap().quota.cpu_milli, 6_000);
    assert_eq!(log.state.document_version, 3);
    // What is in force can be edited on from its version.
    let text = log.state.document_text.to_string();
    assert_eq!(
        log.put("anna", common::document(3, &text)),
        Verdict::Accepted
    );
}

#[test]
fn edits_of_one_object_are_refused_with_both_names() {
    let mut log = Folded::default();
    log.put("anna", document(0, DOCUMENT));
    let first = DOCUMENT.replace("cpu: 8", "cpu: 16");
    let second = DOCUMENT.replace("cpu: 8", "cpu: 12");
    log.put("anna", document(1, &first));
    let Verdict::Refused(reason) = log.put("bjorn", document(1, &second)) else {
        panic!("a conflict was not refused");
    };
    assert!(reason.contains("teams/ops") && reason.contains("anna") && reason.contains("bjorn"));
    assert_eq!(&*log.state.document_text, first);
    // The same change by both is no conflict.
    assert_eq!(log.put("bjorn", document(1, &first)), Verdict::Accepted);
}

#[test]
fn edits_that_fit_only_apart_are_refused() {
    let mut log = Folded::default();
    log.put("anna", document(0, DOCUMENT));
    let without = DOCUMENT.replace("- {name: shop, quota: {cpu: 4, memory: 8GiB}}\n", "");
    let batch = "batch: [{name: nightly, team: shop, tasks: 1, run_time: 60s, \
                 task: {cpu: 1, memory: 1GiB}}]\n";
    let with = format!("{DOCUMENT}{batch}");
    assert!(kspan_model::document::parse(&with).is_ok());
    assert_eq!(log.put("anna", document(1, &without)), Verdict::Accepted);
    let Verdict::Refused(reason) = log.put("bjorn", document(1, &with)) else {
        panic!("documents that don't fit together were merged");
    };
    assert!(
        reason.contains("anna") && reason.contains("bjorn"),
        "{reason}"
    );
}

#[test]
fn a_first_document_races_another() {
    let mut log = Folded::default();
    assert_eq!(log.put("anna", document(0, DOCUMENT)), Verdict::Accepted);
    let other = DOCUMENT.replace("cpu: 8", "cpu: 12");
    assert!(matches!(
        log.put("bjorn", document(0, &other)),
        Verdict::Refused(_)
    ));
    assert!(matches!(
        log.put("bjorn", document(77, &other)),
        Verdict::Refused(_)
    ));
}

#[test]
fn a_document_never_reverts_by_a_copy_of_an_old_record() {
    let mut log = Folded::default();
    let old = common::record(100, "anna", document(0, DOCUMENT));
    assert_eq!(log.put_text(0, old.clone()), Verdict::Accepted);
    let new = DOCUMENT.replace("cpu: 8", "cpu: 16");
    log.put("anna", document(1, &new));
    assert_eq!(log.put_text(0, old), Verdict::Unchanged);
    assert_eq!(log.state.document_version, 2);
    assert_eq!(&*log.state.document_text, new);
}

#[test]
fn a_drain_is_applied_once() {
    let mut log = Folded::default();
    let drain = |drained| Body::Drain {
        host: "w1".into(),
        drained,
    };
    let first = common::record(100, "anna", drain(true));
    log.put_text(0, first.clone());
    assert_eq!(log.put("anna", drain(false)), Verdict::Accepted);
    assert_eq!(log.put_text(0, first), Verdict::Unchanged);
    assert!(log.state.drains.is_empty());
}

#[test]
fn a_job_is_accepted_cancelled_and_ended_once() {
    let mut log = Folded::default();
    let submit = Body::Submissions {
        submissions: vec![submission(1, 50)],
    };
    let cancel = Body::Cancels {
        jobs: vec![JobId(1), JobId(2)],
    };
    let ends = Body::Ends { ends: vec![end(1)] };
    assert_eq!(log.put("s", submit.clone()), Verdict::Accepted);
    assert_eq!(log.put("s", submit.clone()), Verdict::Unchanged);
    assert_eq!(log.put("s", cancel.clone()), Verdict::Accepted);
    let open = log.state.job(&JobId(1));
    assert!(matches!(
        open,
        Job::Open {
            cancelled: true,
            ..
        }
    ));
    assert_eq!(log.put("s", ends.clone()), Verdict::Accepted);
    assert_eq!(log.put("s", ends), Verdict::Unchanged);
    assert_eq!(log.put("s", submit), Verdict::Unchanged);
    assert_eq!(log.put("s", cancel), Verdict::Unchanged);
    assert!(matches!(log.state.job(&JobId(1)), Job::Ended(_)));
    assert_eq!(log.state.job(&JobId(2)), Job::Unknown);
}

#[test]
fn a_job_whose_end_was_forgotten_is_not_accepted_again() {
    let mut log = Folded::default();
    let submit = |job, accepted| Body::Submissions {
        submissions: vec![submission(job, accepted)],
    };
    let ends = |job| Body::Ends {
        ends: vec![end(job)],
    };
    let put = |log: &mut Folded, time: u64, body| {
        log.ids += 1;
        let text = common::record(log.ids, "s", body);
        log.put_text(time, text)
    };
    put(&mut log, 1_000, submit(1, 1_000));
    put(&mut log, 2_000, ends(1));
    put(&mut log, 3_000, submit(2, 3_000));
    let later = 2_000 + kspan_fold::apply::ENDS_KEPT.0 + 1;
    put(&mut log, later, ends(2));
    assert_eq!(log.state.job(&JobId(1)), Job::Unknown);
    let copy = put(&mut log, later, submit(1, 1_000));
    assert!(matches!(copy, Verdict::Refused(_)));
    assert_eq!(put(&mut log, later, submit(3, later)), Verdict::Accepted);
    assert_eq!(log.state.job(&JobId(1)), Job::Unknown);
}

#[test]
fn an_entry_below_the_state_changes_nothing() {
    let mut log = Folded::default();
    log.put("anna", document(0, DOCUMENT));
    let other = DOCUMENT.replace("cpu: 8", "cpu: 12");
    let text = common::record(50, "bjorn", document(0, &other));
    let applied = log.state.apply(1, UnixMillis(0), &text);
    assert_eq!(applied.verdict, Verdict::Unchanged);
    assert_eq!(&*log.state.document_text, DOCUMENT);
}
