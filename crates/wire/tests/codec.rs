//! Encoding, size limits and framing. Arbitrary input neither panics the decoders nor makes them
//! allocate more than the input's size.

use kspan_model::{Member, Name, NodeId, Role, Site};
use kspan_wire::{
    codec::{self, CodecError},
    message::{
        Envelope, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, Message, PROTOCOL_VERSION,
        membership::{self, Ping},
        relay,
    },
    stream,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn envelope(message: membership::Message) -> Envelope {
    Envelope {
        version: PROTOCOL_VERSION,
        cell: "haugland".into(),
        from: NodeId::new("a", 1),
        to: NodeId::new("b", 2),
        message: Message::Membership(message),
    }
}

fn join() -> membership::Message {
    let addr = "127.0.0.1:9".parse().expect("valid socket address");
    let member = Member {
        node: NodeId::new("entry-1-scheduler", u64::MAX),
        role: Role::Scheduler,
        site: Site::new("Østlandet", "ostlandet-1"),
        wire: addr,
        http: addr,
        admin: addr,
    };
    let ping = Ping {
        seq: u64::MAX,
        view: u64::MAX,
        activated: u64::MAX,
        in_doubt: true,
        applied: u64::MAX,
        document: u64::MAX,
    };
    membership::Message::Join { member, ping }
}

fn cell() -> Name {
    "haugland".into()
}

#[test]
fn decode_returns_the_encoded_envelope() {
    let sent = envelope(join());
    let buf = codec::encode(&sent, MAX_DATAGRAM_BYTES).unwrap();
    assert_eq!(codec::decode(&buf, MAX_DATAGRAM_BYTES, &cell()), Ok(sent));
    println!("join datagram: {} bytes", buf.len());
    let ping = envelope(membership::Message::Ping(Ping::default()));
    let buf = codec::encode(&ping, MAX_DATAGRAM_BYTES).unwrap();
    println!("smallest ping datagram: {} bytes", buf.len());
}

#[test]
fn codec_rejects_other_versions_other_cells_and_oversized_messages() {
    let mut other = envelope(membership::Message::Leave);
    other.version = PROTOCOL_VERSION + 1;
    let buf = codec::encode(&other, MAX_DATAGRAM_BYTES).unwrap();
    let decoded = codec::decode(&buf, MAX_DATAGRAM_BYTES, &cell());
    assert_eq!(
        decoded,
        Err(CodecError::UnsupportedVersion(PROTOCOL_VERSION + 1))
    );
    let buf = codec::encode(&envelope(membership::Message::Leave), 100).unwrap();
    let decoded = codec::decode(&buf, MAX_DATAGRAM_BYTES, &"elsewhere".into());
    assert_eq!(decoded, Err(CodecError::WrongCell(cell())));
    let decoded = codec::decode(&buf, buf.len() - 1, &cell());
    assert_eq!(decoded, Err(CodecError::TooLarge(buf.len())));
    let entry = relay::Entry {
        offset: 1,
        time_ms: 1,
        data: "x".repeat(MAX_FRAME_BYTES),
    };
    let large = envelope(membership::Message::Relay(relay::Message::Entries(vec![
        entry,
    ])));
    let encoded = codec::encode(&large, MAX_FRAME_BYTES);
    assert!(matches!(encoded, Err(CodecError::TooLarge(_))));
}

#[test]
fn decode_rejects_a_list_length_beyond_the_input() {
    let empty = envelope(membership::Message::Relay(relay::Message::Entries(
        Vec::new(),
    )));
    let mut buf = codec::encode(&empty, MAX_FRAME_BYTES).unwrap();
    // The last byte encodes the length of the list; replace it by a length of 2^62.
    buf.pop();
    buf.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x3f]);
    let decoded = codec::decode(&buf, MAX_FRAME_BYTES, &cell());
    assert_eq!(decoded, Err(CodecError::Malformed));
}

#[tokio::test]
async fn read_frame_rejects_truncated_and_oversized_frames() {
    let mut bytes = Vec::new();
    stream::write_frame(&mut bytes, b"first").await.unwrap();
    stream::write_frame(&mut bytes, b"second").await.unwrap();
    let mut buf = Vec::new();
    let mut rx = &bytes[..bytes.len() - 1];
    assert!(stream::read_frame(&mut rx, &mut buf).await.unwrap());
    assert_eq!(buf, b"first");
    assert!(stream::read_frame(&mut rx, &mut buf).await.is_err());
    let mut rx: &[u8] = &[];
    assert!(!stream::read_frame(&mut rx, &mut buf).await.unwrap());
    for length in 1..4 {
        let mut rx = &bytes[..length];
        assert!(stream::read_frame(&mut rx, &mut buf).await.is_err());
    }
    let mut rx: &[u8] = &[0xff, 0xff, 0xff, 0xff, 0];
    let mut buf = Vec::new();
    assert!(stream::read_frame(&mut rx, &mut buf).await.is_err());
    assert_eq!(buf.capacity(), 0);
    let large = vec![0; MAX_FRAME_BYTES + 1];
    let written = stream::write_frame(&mut Vec::new(), &large).await;
    assert!(written.is_err());
}

fn cfg(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(cfg(20_000))]

    #[test]
    fn decode_never_panics_on_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = codec::decode(&bytes, MAX_FRAME_BYTES, &cell());
        // Behind a valid envelope header, the same bytes reach the decoders of the messages.
        let mut buf = codec::encode(&envelope(membership::Message::Leave), 100).unwrap();
        buf.truncate(buf.len() - 2);
        buf.extend(&bytes);
        if let Ok(decoded) = codec::decode(&buf, MAX_FRAME_BYTES, &cell()) {
            let reencoded = codec::encode(&decoded, MAX_FRAME_BYTES).unwrap();
            prop_assert!(reencoded.len() <= buf.len());
        }
    }

    #[test]
    fn decode_never_panics_on_a_corrupted_message(at in any::<usize>(), byte in any::<u8>()) {
        let mut buf = codec::encode(&envelope(join()), MAX_DATAGRAM_BYTES).unwrap();
        let at = at % buf.len();
        let truncated = codec::decode(&buf[..at], MAX_DATAGRAM_BYTES, &cell());
        prop_assert!(truncated.is_err());
        buf[at] = byte;
        let _ = codec::decode(&buf, MAX_DATAGRAM_BYTES, &cell());
    }
}
