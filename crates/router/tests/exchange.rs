//! Headers of callers and recorded answers.

use kspan_router::exchange::{Whole, header_text, is_passed_on, record, replay};
use ntex::{
    http::{
        HeaderMap, StatusCode,
        header::{self, HeaderName, HeaderValue},
    },
    util::Bytes,
};

#[test]
fn header_text_is_utf8_and_bounded() {
    let text = |bytes: &[u8]| {
        let value = HeaderValue::from_bytes(bytes).expect("no control characters");
        header_text(&value, 12).map(str::to_owned)
    };
    assert_eq!(text("Trøndelag".as_bytes()).as_deref(), Some("Trøndelag"));
    assert_eq!(text(b"Vestland").as_deref(), Some("Vestland"));
    assert_eq!(text(b"\xff\xfe"), None);
    assert_eq!(text(b"thirteen long"), None);
}

#[test]
fn a_recorded_answer_is_given_back_whole() {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("8"));
    let answer = Whole {
        status: StatusCode::CREATED,
        headers,
        body: Bytes::from_static(b"refunded"),
    };
    let again = replay(record(&answer)).expect("it is well formed");
    assert_eq!(again.status, answer.status);
    assert_eq!(again.body, answer.body);
    assert_eq!(
        again.headers.get(header::CONTENT_TYPE),
        answer.headers.get(header::CONTENT_TYPE)
    );
    assert!(!again.headers.contains_key(header::CONTENT_LENGTH));
}

#[test]
fn headers_of_one_connection_are_not_passed_on() {
    for name in [
        "connection",
        "keep-alive",
        "transfer-encoding",
        "upgrade",
        "host",
    ] {
        let name = HeaderName::from_static(name);
        assert!(!is_passed_on(&name), "{name}");
    }
    assert!(is_passed_on(&HeaderName::from_static("idempotency-key")));
}
