use super::*;

/// Guards against a count that does not agree with its noun.
#[test]
fn counts_agree_with_their_noun() {
    let table = [(0, "0 errors"), (1, "1 error"), (2, "2 errors")];
    for (count, expected) in table {
        assert_eq!(format_count(count, "error", "errors"), expected);
    }
}
