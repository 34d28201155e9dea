use kspan_jobs::{
    id::{JobId, StepId},
    runner::EndKind,
};

use super::*;

fn task(index: u32) -> TaskId {
    let step = StepId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
    };
    step.task(index)
}

fn ends() -> Vec<ListedEnd> {
    let end = |index, listings| ListedEnd {
        task: task(index),
        run: 2,
        number: 7 + u64::from(index),
        how: EndKind::Done,
        listings,
    };
    vec![end(0, 1), end(1, 3)]
}

/// Guards against lines that a search for a task and its run doesn't find.
#[test]
fn lines_name_each_run() {
    let text = "0000000000000001.0.0.0/2#7:done 0000000000000001.0.0.1/2#8:done*3";
    assert_eq!(list_ends(&ends()), text);
    let text = "0000000000000001.0.0.0/2 0000000000000001.0.0.1/2";
    assert_eq!(list_runs(&[(task(0), 2), (task(1), 2)]), text);
}

/// Guards against failed acknowledgements whose lines other failed calls suppress, and against answers of another
/// incarnation that go unnoticed, or are claimed where a start time isn't known.
#[test]
fn calls_are_told_apart() {
    let call = |meant_unix_ms, acknowledgement| CallLog {
        runner: Name::new("w0"),
        meant_unix_ms,
        sequence: 1,
        fence: 1,
        acknowledgement,
    };
    let sent = Acknowledgement {
        number: 8,
        answered_number: 6,
        ends: ends(),
    };
    let acknowledging = call(11, Some(sent.into()));
    assert_ne!(acknowledging.failure_kind(), call(11, None).failure_kind());
    assert_eq!(acknowledging.number(), Some(8));
    for (meant, answered, is_other) in [
        (11, 12, true),
        (11, 11, false),
        (0, 12, false),
        (11, 0, false),
    ] {
        assert_eq!(call(meant, None).is_answered_by_other(answered), is_other);
    }
}
