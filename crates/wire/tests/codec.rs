//! Decoders take any bytes without a panic, and allocate no more than the bytes warrant.

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
    let addr = "127.0.0.1:9".parse().expect("an address");
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
fn what_is_encoded_is_decoded() {
    let sent = envelope(join());
    let buf = codec::encode(&sent, MAX_DATAGRAM_BYTES).unwrap();
    assert_eq!(codec::decode(&buf, MAX_DATAGRAM_BYTES, &cell()), Ok(sent));
    println!("the largest usual datagram has {} bytes", buf.len());
    let ping = envelope(membership::Message::Ping(Ping::default()));
    let buf = codec::encode(&ping, MAX_DATAGRAM_BYTES).unwrap();
    println!("the smallest ping has {} bytes", buf.len());
}

#[test]
fn other_versions_cells_and_sizes_are_refused() {
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
fn a_list_longer_than_its_bytes_is_refused_without_room_for_it() {
    let few = envelope(membership::Message::Relay(relay::Message::Entries(
        Vec::new(),
    )));
    let mut buf = codec::encode(&few, MAX_FRAME_BYTES).unwrap();
    // The last byte is the length of the list: claim 2^62 entries instead.
    buf.pop();
    buf.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x3f]);
    let decoded = codec::decode(&buf, MAX_FRAME_BYTES, &cell());
    assert_eq!(decoded, Err(CodecError::Malformed));
}

#[tokio::test]
async fn frames_are_read_whole_or_not_at_all() {
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
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = codec::decode(&bytes, MAX_FRAME_BYTES, &cell());
        // The same bytes behind a right head reach the decoders of the messages.
        let mut buf = codec::encode(&envelope(membership::Message::Leave), 100).unwrap();
        buf.truncate(buf.len() - 2);
        buf.extend(&bytes);
        if let Ok(decoded) = codec::decode(&buf, MAX_FRAME_BYTES, &cell()) {
            let again = codec::encode(&decoded, MAX_FRAME_BYTES).unwrap();
            prop_assert!(again.len() <= buf.len());
        }
    }

    #[test]
    fn a_damaged_message_is_decoded_or_refused(at in any::<usize>(), byte in any::<u8>()) {
        let mut buf = codec::encode(&envelope(join()), MAX_DATAGRAM_BYTES).unwrap();
        let at = at % buf.len();
        let cut = codec::decode(&buf[..at], MAX_DATAGRAM_BYTES, &cell());
        prop_assert!(cut.is_err());
        buf[at] = byte;
        let _ = codec::decode(&buf, MAX_DATAGRAM_BYTES, &cell());
    }
}
