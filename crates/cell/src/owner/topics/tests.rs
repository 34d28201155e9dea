use super::*;

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
