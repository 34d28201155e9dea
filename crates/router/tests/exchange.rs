//! Forwarded headers and recorded answers.

use kspan_router::exchange::{
    CompleteAnswer, header_text, is_forwarded, record_answer, replay_answer,
};
use ntex::{
    http::{
        HeaderMap, StatusCode,
        header::{self, HeaderName, HeaderValue},
    },
    util::Bytes,
};

#[test]
fn header_text_rejects_invalid_utf8_and_overlong_values() {
    let text = |bytes: &[u8]| {
        let value = HeaderValue::from_bytes(bytes).expect("the value has no control characters");
        header_text(&value, 12).map(str::to_owned)
    };
    assert_eq!(text("Trøndelag".as_bytes()).as_deref(), Some("Trøndelag"));
    assert_eq!(text(b"Vestland").as_deref(), Some("Vestland"));
    assert_eq!(text(b"\xff\xfe"), None);
    assert_eq!(text(b"thirteen long"), None);
}

#[test]
fn recorded_answer_is_replayed_without_connection_headers() {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("8"));
    let answer = CompleteAnswer {
        status: StatusCode::CREATED,
        headers,
        body: Bytes::from_static(b"refunded"),
    };
    let replayed =
        replay_answer(record_answer(&answer)).expect("the recorded answer is well formed");
    assert_eq!(replayed.status, answer.status);
    assert_eq!(replayed.body, answer.body);
    assert_eq!(
        replayed.headers.get(header::CONTENT_TYPE),
        answer.headers.get(header::CONTENT_TYPE)
    );
    assert!(!replayed.headers.contains_key(header::CONTENT_LENGTH));
}

#[test]
fn connection_headers_are_not_forwarded() {
    for name in [
        "connection",
        "keep-alive",
        "transfer-encoding",
        "upgrade",
        "host",
    ] {
        let name = HeaderName::from_static(name);
        assert!(!is_forwarded(&name), "{name}");
    }
    assert!(is_forwarded(&HeaderName::from_static("idempotency-key")));
}
