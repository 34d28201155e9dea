//! Which records are accepted, refused and skipped.

mod common;

use common::{DOCUMENT, TestLog, document, end, member, submission};
use kspan_fold::{Body, JobStatus, Verdict};
use kspan_model::{JobId, UnixMillis};

#[test]
fn a_view_is_accepted_only_when_its_base_is_in_force() {
    let mut log = TestLog::default();
    let view = |base, name| Body::View {
        base,
        members: vec![member(name, 1)],
    };
    assert_eq!(log.append("a", view(0, "a")), Verdict::Accepted);
    assert!(matches!(log.append("b", view(0, "b")), Verdict::Refused(_)));
    assert_eq!(log.state.view.number, 1);
    assert_eq!(log.append("b", view(1, "b")), Verdict::Accepted);
    assert_eq!(log.state.view.number, 3);
    let numbers: Vec<_> = log.state.views().map(|view| view.number).collect();
    assert_eq!(numbers, [1, 3]);
    let empty = Body::View {
        base: 3,
        members: Vec::new(),
    };
    assert!(matches!(log.append("b", empty), Verdict::Refused(_)));
    let duplicate_name = Body::View {
        base: 3,
        members: vec![member("a", 1), member("a", 2)],
    };
    assert!(matches!(
        log.append("b", duplicate_name),
        Verdict::Refused(_)
    ));
}

#[test]
fn entries_that_are_not_records_are_skipped_and_counted() {
    let mut log = TestLog::default();
    let valid = common::record(9, "a", document(0, DOCUMENT));
    let malformed = [
        "",
        "{}",
        "null",
        "\u{0}",
        &valid[..valid.len() / 2],
        &"[".repeat(100_000),
    ];
    for text in malformed {
        assert_eq!(log.append_text(0, text.to_owned()), Verdict::Poisoned);
    }
    assert_eq!(log.state.poisoned, 6);
    assert_eq!(log.append("a", document(0, DOCUMENT)), Verdict::Accepted);
    assert_eq!(log.state.document_version, 7);
}

#[test]
fn an_invalid_document_is_refused_with_its_faults() {
    let mut log = TestLog::default();
    let text = DOCUMENT.replace("32GiB", "32GB");
    let Verdict::Refused(reason) = log.append("anna", document(0, &text)) else {
        panic!("an invalid document was not refused");
    };
    assert!(reason.contains("teams[0].quota.memory"), "{reason}");
    assert!(log.state.document.is_none());
    assert_eq!(log.state.refusals[0].by.as_str(), "anna");
}

#[test]
fn edits_of_different_objects_are_merged() {
    let mut log = TestLog::default();
    log.append("anna", document(0, DOCUMENT));
    assert_eq!(&*log.state.document_text, DOCUMENT);
    let first = DOCUMENT.replace("cpu: 8", "cpu: 16");
    let second = DOCUMENT.replace("name: shop, quota: {cpu: 4", "name: shop, quota: {cpu: 6");
    assert_eq!(log.append("anna", document(1, &first)), Verdict::Accepted);
    assert_eq!(log.append("bjorn", document(1, &second)), Verdict::Accepted);
    let document = log.state.document.clone().unwrap();
    assert_eq!(document.team("ops").unwrap().quota.cpu_milli, 16_000);
    assert_eq!(document.team("shop").unwrap().quota.cpu_milli, 6_000);
    assert_eq!(log.state.document_version, 3);
    // The merged document can be edited from its version.
    let text = log.state.document_text.to_string();
    assert_eq!(
        log.append("anna", common::document(3, &text)),
        Verdict::Accepted
    );
}

#[test]
fn conflicting_edits_of_an_object_are_refused_naming_both_operators() {
    let mut log = TestLog::default();
    log.append("anna", document(0, DOCUMENT));
    let first = DOCUMENT.replace("cpu: 8", "cpu: 16");
    let second = DOCUMENT.replace("cpu: 8", "cpu: 12");
    log.append("anna", document(1, &first));
    let Verdict::Refused(reason) = log.append("bjorn", document(1, &second)) else {
        panic!("a conflict was not refused");
    };
    assert!(reason.contains("teams/ops") && reason.contains("anna") && reason.contains("bjorn"));
    assert_eq!(&*log.state.document_text, first);
    // Making the same change twice is not a conflict.
    assert_eq!(log.append("bjorn", document(1, &first)), Verdict::Accepted);
}

#[test]
fn edits_whose_merge_is_invalid_are_refused() {
    let mut log = TestLog::default();
    log.append("anna", document(0, DOCUMENT));
    let without_team = DOCUMENT.replace("- {name: shop, quota: {cpu: 4, memory: 8GiB}}\n", "");
    let batch = "batch: [{name: nightly, team: shop, tasks: 1, run_time: 60s, \
                 task: {cpu: 1, memory: 1GiB}}]\n";
    let with_job = format!("{DOCUMENT}{batch}");
    assert!(kspan_model::document::parse(&with_job).is_ok());
    assert_eq!(
        log.append("anna", document(1, &without_team)),
        Verdict::Accepted
    );
    let Verdict::Refused(reason) = log.append("bjorn", document(1, &with_job)) else {
        panic!("edits were merged into an invalid document");
    };
    assert!(
        reason.contains("anna") && reason.contains("bjorn"),
        "{reason}"
    );
}

#[test]
fn a_second_document_with_base_zero_and_an_unknown_base_are_refused() {
    let mut log = TestLog::default();
    assert_eq!(log.append("anna", document(0, DOCUMENT)), Verdict::Accepted);
    let other = DOCUMENT.replace("cpu: 8", "cpu: 12");
    assert!(matches!(
        log.append("bjorn", document(0, &other)),
        Verdict::Refused(_)
    ));
    assert!(matches!(
        log.append("bjorn", document(77, &other)),
        Verdict::Refused(_)
    ));
}

#[test]
fn a_duplicate_of_an_old_document_record_does_not_revert_the_document() {
    let mut log = TestLog::default();
    let old = common::record(100, "anna", document(0, DOCUMENT));
    assert_eq!(log.append_text(0, old.clone()), Verdict::Accepted);
    let new = DOCUMENT.replace("cpu: 8", "cpu: 16");
    log.append("anna", document(1, &new));
    assert_eq!(log.append_text(0, old), Verdict::Unchanged);
    assert_eq!(log.state.document_version, 2);
    assert_eq!(&*log.state.document_text, new);
}

#[test]
fn a_duplicate_of_a_drain_record_has_no_effect() {
    let mut log = TestLog::default();
    let drain = |drained| Body::Drain {
        host: "w1".into(),
        drained,
    };
    let first = common::record(100, "anna", drain(true));
    log.append_text(0, first.clone());
    assert_eq!(log.append("anna", drain(false)), Verdict::Accepted);
    assert_eq!(log.append_text(0, first), Verdict::Unchanged);
    assert!(log.state.drains.is_empty());
}

#[test]
fn duplicate_records_of_a_job_have_no_effect() {
    let mut log = TestLog::default();
    let submit = Body::Submissions {
        submissions: vec![submission(1, 50)],
    };
    let cancel = Body::Cancels {
        jobs: vec![JobId(1), JobId(2)],
    };
    let ends = Body::Ends { ends: vec![end(1)] };
    assert_eq!(log.append("s", submit.clone()), Verdict::Accepted);
    assert_eq!(log.append("s", submit.clone()), Verdict::Unchanged);
    assert_eq!(log.append("s", cancel.clone()), Verdict::Accepted);
    let open = log.state.job(&JobId(1));
    assert!(matches!(
        open,
        JobStatus::Open {
            cancelled: true,
            ..
        }
    ));
    assert_eq!(log.append("s", ends.clone()), Verdict::Accepted);
    assert_eq!(log.append("s", ends), Verdict::Unchanged);
    assert_eq!(log.append("s", submit), Verdict::Unchanged);
    assert_eq!(log.append("s", cancel), Verdict::Unchanged);
    assert!(matches!(log.state.job(&JobId(1)), JobStatus::Ended(_)));
    assert_eq!(log.state.job(&JobId(2)), JobStatus::Unknown);
}

#[test]
fn a_duplicate_submission_is_refused_after_the_job_end_was_dropped() {
    let mut log = TestLog::default();
    let submit = |job, accepted| Body::Submissions {
        submissions: vec![submission(job, accepted)],
    };
    let ends = |job| Body::Ends {
        ends: vec![end(job)],
    };
    let append = |log: &mut TestLog, time: u64, body| {
        log.last_id += 1;
        let text = common::record(log.last_id, "s", body);
        log.append_text(time, text)
    };
    append(&mut log, 1_000, submit(1, 1_000));
    append(&mut log, 2_000, ends(1));
    append(&mut log, 3_000, submit(2, 3_000));
    let later = 2_000 + kspan_fold::apply::END_RETENTION.0 + 1;
    append(&mut log, later, ends(2));
    assert_eq!(log.state.job(&JobId(1)), JobStatus::Unknown);
    let duplicate = append(&mut log, later, submit(1, 1_000));
    assert!(matches!(duplicate, Verdict::Refused(_)));
    assert_eq!(append(&mut log, later, submit(3, later)), Verdict::Accepted);
    assert_eq!(log.state.job(&JobId(1)), JobStatus::Unknown);
}

#[test]
fn an_entry_below_the_next_offset_has_no_effect() {
    let mut log = TestLog::default();
    log.append("anna", document(0, DOCUMENT));
    let other = DOCUMENT.replace("cpu: 8", "cpu: 12");
    let text = common::record(50, "bjorn", document(0, &other));
    let applied = log.state.apply(1, UnixMillis(0), &text);
    assert_eq!(applied.verdict, Verdict::Unchanged);
    assert_eq!(&*log.state.document_text, DOCUMENT);
}
