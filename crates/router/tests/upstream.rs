//! Exchanges with runners that truncate answers, close the connection, hang, or answer with
//! invalid data, late or twice.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use kspan_model::{JobId, RequestId, Site, TaskId};
use kspan_node::{LinkFaults, settings::Faults};
use kspan_router::{
    exchange::OutgoingRequest,
    upstream::{ExchangeResult, Upstreams},
};
use kspan_routing::engine::effect::{Dispatch, DispatchId, RunnerLocation};
use ntex::{http::Method, util::Bytes};
use tokio::time::Instant;

/// Timeout for answers that are expected, far longer than any of them takes.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout for an answer that the runner never sends.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Total number of connections that a test runner accepts.
const MAX_CONNECTIONS: usize = 4;

/// Behaviour of a runner on a connection after it has read a request.
#[derive(Clone, Copy)]
enum Behaviour {
    /// Writes the bytes and closes the connection.
    WriteAndClose(&'static [u8]),
    /// Writes the bytes and waits for the next request.
    WriteAndKeepOpen(&'static [u8]),
    /// Writes nothing and keeps the connection open.
    Hang,
}

/// Starts a runner that applies to the n-th connection the n-th behaviour, or the last one. Returns
/// its address and the number of its connections.
fn start_runner(behaviours: &'static [Behaviour]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener is bound");
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    thread::spawn(move || {
        for stream in listener.incoming().take(MAX_CONNECTIONS) {
            let number = counted.fetch_add(1, Ordering::SeqCst);
            let behaviour = behaviours[number.min(behaviours.len() - 1)];
            thread::spawn(move || serve(stream.expect("accepted"), behaviour));
        }
    });
    (address, count)
}

fn serve(mut stream: TcpStream, behaviour: Behaviour) {
    let set = stream.set_read_timeout(Some(LONG_TIMEOUT));
    set.expect("the timeout is not zero");
    while read_head(&mut stream) {
        match behaviour {
            Behaviour::WriteAndClose(bytes) => {
                let _ = stream.write_all(bytes);
                return;
            }
            Behaviour::WriteAndKeepOpen(bytes) => {
                let _ = stream.write_all(bytes);
            }
            Behaviour::Hang => {}
        }
    }
}

/// Reads a request up to the end of its head. Returns whether there was one.
fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}

fn dispatch(endpoint: SocketAddr) -> Dispatch {
    Dispatch {
        request: RequestId(1),
        id: DispatchId(1),
        runner: TaskId::new(JobId(1), 0, 0),
        endpoint,
        location: Arc::new(RunnerLocation {
            worker: "worker-1".into(),
            site: Site::new("a", "a-1"),
        }),
        connections: 1,
        remote: false,
        hedge_after: None,
    }
}

fn upstreams() -> Upstreams {
    Upstreams::new(LinkFaults::new(Site::new("a", "a-1"), Faults::default()))
}

async fn send_request(
    upstreams: &Upstreams,
    endpoint: SocketAddr,
    timeout: Duration,
) -> ExchangeResult {
    let outgoing = OutgoingRequest {
        request: RequestId(1),
        method: Method::GET,
        target: "/s/ledger/read/x".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let deadline = Instant::now() + timeout;
    upstreams
        .send(&dispatch(endpoint), &outgoing, deadline)
        .await
}

const COMPLETE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

/// Name, behaviours of the runner, and whether the answer is complete and belongs to the request.
const CASES: &[(&str, &[Behaviour], bool)] = &[
    (
        "complete with a content length",
        &[Behaviour::WriteAndClose(COMPLETE)],
        true,
    ),
    (
        "complete with chunked encoding",
        &[Behaviour::WriteAndClose(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        )],
        true,
    ),
    (
        "closed without an answer",
        &[Behaviour::WriteAndClose(b"")],
        false,
    ),
    (
        "truncated body",
        &[Behaviour::WriteAndClose(
            b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nwhole",
        )],
        false,
    ),
    (
        "truncated chunks",
        &[Behaviour::WriteAndClose(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        )],
        false,
    ),
    (
        "truncated head",
        &[Behaviour::WriteAndClose(b"HTTP/1.1 200 OK\r\ncontent-le")],
        false,
    ),
    (
        "not HTTP",
        &[Behaviour::WriteAndClose(
            b"\x00\x01 nothing like HTTP\r\n\r\n",
        )],
        false,
    ),
    (
        "no length, so that the end is indistinguishable from a truncation",
        &[Behaviour::WriteAndClose(
            b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole",
        )],
        false,
    ),
    (
        "HTTP/1.0 without a length",
        &[Behaviour::WriteAndClose(b"HTTP/1.0 200 OK\r\n\r\nwhole")],
        false,
    ),
    (
        "answer with the id of another request",
        &[Behaviour::WriteAndClose(
            b"HTTP/1.1 200 OK\r\nkspan-request-id: 00000000000000000000000000000002\r\n\
              content-length: 5\r\n\r\nwhole",
        )],
        false,
    ),
    (
        "answer with the id of its own request",
        &[Behaviour::WriteAndClose(
            b"HTTP/1.1 200 OK\r\nkspan-request-id: 00000000000000000000000000000001\r\n\
              content-length: 5\r\n\r\nwhole",
        )],
        true,
    ),
];

#[ntex::test]
async fn only_complete_answers_to_the_request_are_accepted() {
    for (name, behaviours, is_complete) in CASES {
        let (endpoint, _) = start_runner(behaviours);
        match send_request(&upstreams(), endpoint, LONG_TIMEOUT).await {
            ExchangeResult::Complete(answer) => {
                assert!(is_complete, "{name}: was accepted as complete");
                assert_eq!(&answer.body[..], b"whole", "{name}");
            }
            ExchangeResult::Incomplete(reason) => {
                assert!(!is_complete, "{name}: was rejected: {reason}")
            }
            ExchangeResult::NotSent => {
                panic!("{name}: a request that was sent was classified as not sent")
            }
        }
    }
}

#[ntex::test]
async fn refused_connection_is_classified_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let endpoint = listener.local_addr().expect("the listener is bound");
    drop(listener);
    let result = send_request(&upstreams(), endpoint, LONG_TIMEOUT).await;
    assert!(matches!(result, ExchangeResult::NotSent), "{result:?}");
}

#[ntex::test]
async fn connection_with_an_outstanding_answer_is_not_reused() {
    let (endpoint, connections) =
        start_runner(&[Behaviour::Hang, Behaviour::WriteAndKeepOpen(COMPLETE)]);
    let upstreams = upstreams();
    let first = send_request(&upstreams, endpoint, SHORT_TIMEOUT).await;
    assert!(matches!(first, ExchangeResult::Incomplete(_)), "{first:?}");
    let second = send_request(&upstreams, endpoint, LONG_TIMEOUT).await;
    assert!(matches!(second, ExchangeResult::Complete(_)), "{second:?}");
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}

#[ntex::test]
async fn connection_with_a_surplus_answer_is_not_reused() {
    const TWO_ANSWERS: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole\
        HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";
    let (endpoint, connections) = start_runner(&[
        Behaviour::WriteAndKeepOpen(TWO_ANSWERS),
        Behaviour::WriteAndKeepOpen(COMPLETE),
    ]);
    let upstreams = upstreams();
    for _ in 0..2 {
        match send_request(&upstreams, endpoint, LONG_TIMEOUT).await {
            ExchangeResult::Complete(answer) => assert_eq!(&answer.body[..], b"whole"),
            result => panic!("{result:?}"),
        }
    }
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}

#[ntex::test]
async fn connection_with_a_complete_answer_is_reused() {
    let (endpoint, connections) = start_runner(&[Behaviour::WriteAndKeepOpen(COMPLETE)]);
    let upstreams = upstreams();
    for _ in 0..5 {
        let result = send_request(&upstreams, endpoint, LONG_TIMEOUT).await;
        assert!(matches!(result, ExchangeResult::Complete(_)), "{result:?}");
    }
    assert_eq!(connections.load(Ordering::SeqCst), 1);
}
