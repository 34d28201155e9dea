use kspan_adapter::store::{self, Topic};
use kspan_jobs::spec::{JobSpec, StepSpec, Timetable};
use kspan_model::{Millis, Name};
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};
use tokio::io::AsyncWriteExt as _;

use super::*;
use crate::{
    admission::tests::on_smallest_host,
    message::{CallResponse, Heartbeat, JobCall, Verb},
    node::ClaimRecord,
};

fn member(port: u16) -> Member {
    Member {
        node: Name::new("a-1"),
        address: Ipv4Addr::LOCALHOST,
        port,
        life: u64::MAX,
        data_centre: Name::new("a"),
        power_milli: 500,
    }
}

/// Encodings of messages of each kind.
fn encodings() -> Vec<Vec<u8>> {
    let spec = JobSpec {
        text: Name::new("run"),
        steps: vec![StepSpec::default(); 2],
        timetable: Some(Timetable {
            times: 3,
            first_unix_ms: 1,
            period: Millis(5),
        }),
    };
    let call = JobCall {
        key: None,
        host: "queue.example".to_owned(),
        path: "/work/00000000000000a1".to_owned(),
        verb: Verb::Submit(spec),
        hops_left: 1,
    };
    let req = |content| encode(&Frame { number: 1, content });
    let reply = |content: PeerReply| encode(&Frame { number: 1, content });
    vec![
        req(PeerRequest::Call(call)),
        req(PeerRequest::MemberHeartbeat(member(1))),
        req(PeerRequest::RelayToStore(store::newest_request(
            Topic::Jobs,
            Some("j1"),
        ))),
        reply(PeerReply::Call(CallResponse::unavailable(3))),
        reply(PeerReply::StoreResponse(Some((200, vec![1, 2, 3])))),
        encode(&Heartbeat {
            fence: 9,
            owner: member(1),
            members: Some(vec![member(1); 3]),
        }),
        encode(&ClaimRecord {
            owner: member(1),
            members: vec![member(1); 3],
        }),
    ]
}

fn decode_all(buf: &[u8]) {
    if let Some(frame) = decode::<Frame<PeerRequest>>(buf) {
        match frame.content {
            PeerRequest::Call(call) => {
                if let Verb::Submit(spec) = call.verb {
                    let _ = spec.validate();
                }
            }
            // The wait of a relayed request is added to a timeout.
            PeerRequest::RelayToStore(req) => {
                assert!(Duration::from_secs(60).checked_add(req.wait()).is_some());
            }
            _ => {}
        }
    }
    let _ = decode::<Frame<PeerReply>>(buf);
    let _ = decode::<Heartbeat>(buf);
    let _ = decode::<ClaimRecord>(buf);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(20_261_208),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a message of another process, or a record of the topic of claims, that ends
    /// the process.
    #[test]
    fn altered_messages_decode_or_are_rejected(
        which in any::<Index>(),
        cut in any::<Index>(),
        flips in prop::collection::vec((any::<Index>(), any::<u8>()), 0..4),
        lengths in prop::collection::vec(any::<Index>(), 0..2),
    ) {
        let encodings = encodings();
        let mut buf = encodings[which.index(encodings.len())].clone();
        for (at, byte) in flips {
            let at = at.index(buf.len());
            buf[at] = byte;
        }
        // A length of 2^64 - 1 elements.
        for at in lengths {
            let at = at.index(buf.len());
            buf.splice(at..at, [0xff; 9].into_iter().chain([1]));
        }
        buf.truncate(cut.index(buf.len() * 2) + 1);
        decode_all(&buf);
    }

    #[test]
    fn arbitrary_bytes_decode_or_are_rejected(buf in prop::collection::vec(any::<u8>(), 0..200)) {
        decode_all(&buf);
    }
}

/// Guards against a malformed frame that affects more than its connection.
#[ntex::test]
async fn malformed_frame_closes_only_its_connection() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    ntex::rt::spawn(serve(listener, on_smallest_host(), |_| async {
        PeerReply::Accepted
    }));
    let peers = Peers::default();
    let to = member(addr.port());
    let timeout = Duration::from_secs(5);
    let frames: [&[u8]; 5] = [
        &[0, 0, 0, 3, 0xff, 0xff, 0xff],
        &[0xff, 0xff, 0xff, 0xff],
        &[0, 0, 0, 0],
        &[0, 0, 0, 9, 1],
        &[0],
    ];
    for frame in frames {
        let mut stream = TcpStream::connect(addr).await.expect("a listener");
        stream.write_all(frame).await.expect("an open connection");
        stream.shutdown().await.expect("an open connection");
        let mut buf = Vec::new();
        let read = tokio::time::timeout(timeout, read_frame(&mut stream, &mut buf)).await;
        assert!(matches!(read, Ok(Ok(false) | Err(_))), "{frame:?}");
        let reply = peers.request(&to, PeerRequest::OwnerStatus, timeout);
        assert_eq!(reply.await, Ok(PeerReply::Accepted), "{frame:?}");
    }
}

/// Guards against an owner that is cut off from the store and can't read its state through a relay,
/// because an answer is larger than a frame.
#[ntex::test]
async fn largest_answer_of_the_store_fits_into_a_frame() {
    let content = PeerReply::StoreResponse(Some((200, vec![b'#'; 4 * 1024 * 1024])));
    let frame = encode(&Frame { number: 1, content });
    let (mut tx, mut rx) = tokio::io::duplex(64 * 1024);
    let mut buf = Vec::new();
    let written = kspan_wire::stream::write_frame(&mut tx, &frame);
    let read = kspan_wire::stream::read_frame(&mut rx, &mut buf);
    let (written, read) = tokio::join!(written, read);
    assert!(written.is_ok() && matches!(read, Ok(true)));
    assert_eq!(buf, frame);
}

/// Guards against requests that pile up for a process that hangs, while callers keep sending.
#[ntex::test]
async fn requests_for_a_process_that_reads_nothing_are_bounded() {
    // Connections are accepted by the kernel, and nothing reads them.
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let to = member(listener.local_addr().expect("a bound port").port());
    let peers = Rc::new(Peers::default());
    let requests = (0..64).map(|_| {
        let (peers, to) = (Rc::clone(&peers), to.clone());
        let call = JobCall {
            key: None,
            host: String::new(),
            path: "x".repeat(1024 * 1024),
            verb: Verb::Show,
            hops_left: 0,
        };
        ntex::rt::spawn(async move {
            let timeout = Duration::from_millis(200);
            peers.request(&to, PeerRequest::Call(call), timeout).await
        })
    });
    let requests: Vec<_> = requests.collect();
    let mut refused = 0;
    for request in requests {
        let reply = request.await.expect("no panic");
        refused += usize::from(reply == Err(RequestError::NotSent));
    }
    // The queue has room for 6 MiB, and the kernel's buffers for some more.
    assert!(refused >= 32, "{refused} of 64 refused");
}
