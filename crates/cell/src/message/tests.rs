use super::*;

/// Guards against telling a caller that its job was not accepted while another attempt may still
/// submit it.
#[test]
fn only_a_refused_submission_in_doubt_is_not_settled() {
    let submit = || Verb::Submit(JobSpec::default());
    let table = [
        (submit(), 503, true, false),
        (submit(), 429, true, false),
        (submit(), 404, true, false),
        (submit(), 503, false, true),
        (submit(), 200, true, true),
        (submit(), 400, true, false),
        (submit(), 401, true, false),
        (submit(), 403, true, false),
        (submit(), 400, false, true),
        (Verb::Show, 404, true, true),
        (Verb::Cancel, 503, true, false),
        (Verb::Cancel, 410, true, true),
    ];
    for (verb, status, is_in_doubt, expected) in table {
        let call = JobCall {
            key: None,
            host: "queue.example".to_owned(),
            path: "/work/00000000000000a1".to_owned(),
            verb,
            hops_left: 1,
        };
        let response = CallResponse::new(status);
        let is_settled = call.is_settled_by(&response, is_in_doubt);
        assert_eq!(is_settled, expected, "{call:?} {status} {is_in_doubt}");
    }
}
