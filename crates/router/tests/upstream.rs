//! Runners that cut answers short, close, hang, die, or answer garbage, late or twice.

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
    exchange::Outgoing,
    upstream::{Answered, Upstreams},
};
use kspan_routing::engine::effect::{Dispatch, DispatchId, RunnerLocation};
use ntex::{http::Method, util::Bytes};
use tokio::time::Instant;

/// Far longer than any answer takes that comes at all.
const PATIENCE: Duration = Duration::from_secs(20);

/// How long a test waits for an answer that must not come.
const SHORT: Duration = Duration::from_millis(300);

/// Connections that a runner of a test accepts in all.
const MAX_CONNECTIONS: usize = 4;

/// What a runner does on a connection after it has read a request.
#[derive(Clone, Copy)]
enum Does {
    /// Writes the bytes and closes.
    Say(&'static [u8]),
    /// Writes the bytes and goes on with the next request.
    SayAndStay(&'static [u8]),
    /// Says nothing and keeps the connection open.
    Hang,
}

/// Starts a runner that acts on its connections by the number of each. Returns its address and
/// the count of its connections.
fn runner(acts: &'static [Does]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    thread::spawn(move || {
        for stream in listener.incoming().take(MAX_CONNECTIONS) {
            let number = counted.fetch_add(1, Ordering::SeqCst);
            let act = acts[number.min(acts.len() - 1)];
            thread::spawn(move || serve(stream.expect("accepted"), act));
        }
    });
    (address, count)
}

fn serve(mut stream: TcpStream, act: Does) {
    let set = stream.set_read_timeout(Some(PATIENCE));
    set.expect("the timeout is not zero");
    while read_head(&mut stream) {
        match act {
            Does::Say(bytes) => {
                let _ = stream.write_all(bytes);
                return;
            }
            Does::SayAndStay(bytes) => {
                let _ = stream.write_all(bytes);
            }
            Does::Hang => {}
        }
    }
}

/// Reads to the end of a head. Returns whether there was one.
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

fn start(endpoint: SocketAddr) -> Dispatch {
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

async fn ask(upstreams: &Upstreams, endpoint: SocketAddr, patience: Duration) -> Answered {
    let out = Outgoing {
        request: RequestId(1),
        method: Method::GET,
        target: "/s/ledger/read/x".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let until = Instant::now() + patience;
    upstreams.send(&start(endpoint), &out, until).await
}

const WHOLE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

/// Name, what the runner does, and whether that is a whole answer to the request.
const CASES: &[(&str, &[Does], bool)] = &[
    ("whole", &[Does::Say(WHOLE)], true),
    (
        "whole in chunks",
        &[Does::Say(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        )],
        true,
    ),
    ("closes without a word", &[Does::Say(b"")], false),
    (
        "body cut short",
        &[Does::Say(
            b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nwhole",
        )],
        false,
    ),
    (
        "chunks cut short",
        &[Does::Say(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        )],
        false,
    ),
    (
        "head cut short",
        &[Does::Say(b"HTTP/1.1 200 OK\r\ncontent-le")],
        false,
    ),
    (
        "garbage",
        &[Does::Say(b"\x00\x01 nothing like HTTP\r\n\r\n")],
        false,
    ),
    (
        "no length, so that the end can't be told from a cut",
        &[Does::Say(
            b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole",
        )],
        false,
    ),
    (
        "old protocol without a length",
        &[Does::Say(b"HTTP/1.0 200 OK\r\n\r\nwhole")],
        false,
    ),
    (
        "another request's answer",
        &[Does::Say(
            b"HTTP/1.1 200 OK\r\nkspan-request-id: 00000000000000000000000000000002\r\n\
              content-length: 5\r\n\r\nwhole",
        )],
        false,
    ),
    (
        "its own request's answer",
        &[Does::Say(
            b"HTTP/1.1 200 OK\r\nkspan-request-id: 00000000000000000000000000000001\r\n\
              content-length: 5\r\n\r\nwhole",
        )],
        true,
    ),
];

#[ntex::test]
async fn only_whole_answers_of_the_request_count() {
    for (name, acts, is_whole) in CASES {
        let (endpoint, _) = runner(acts);
        match ask(&upstreams(), endpoint, PATIENCE).await {
            Answered::Whole(answer) => {
                assert!(is_whole, "{name}: was taken for whole");
                assert_eq!(&answer.body[..], b"whole", "{name}");
            }
            Answered::Broken(why) => assert!(!is_whole, "{name}: was not taken: {why}"),
            Answered::Unsent => panic!("{name}: a request that was sent counts as unsent"),
        }
    }
}

#[ntex::test]
async fn only_a_refused_connection_proves_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let endpoint = listener.local_addr().expect("it is bound");
    drop(listener);
    let answered = ask(&upstreams(), endpoint, PATIENCE).await;
    assert!(matches!(answered, Answered::Unsent), "{answered:?}");
}

#[ntex::test]
async fn a_connection_with_a_late_answer_is_never_used_again() {
    let (endpoint, connections) = runner(&[Does::Hang, Does::SayAndStay(WHOLE)]);
    let upstreams = upstreams();
    let first = ask(&upstreams, endpoint, SHORT).await;
    assert!(matches!(first, Answered::Broken(_)), "{first:?}");
    let second = ask(&upstreams, endpoint, PATIENCE).await;
    assert!(matches!(second, Answered::Whole(_)), "{second:?}");
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}

#[ntex::test]
async fn a_connection_with_an_answer_too_many_is_never_used_again() {
    const TWO: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole\
        HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";
    let (endpoint, connections) = runner(&[Does::SayAndStay(TWO), Does::SayAndStay(WHOLE)]);
    let upstreams = upstreams();
    for _ in 0..2 {
        match ask(&upstreams, endpoint, PATIENCE).await {
            Answered::Whole(answer) => assert_eq!(&answer.body[..], b"whole"),
            answered => panic!("{answered:?}"),
        }
    }
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}

#[ntex::test]
async fn a_connection_with_a_whole_answer_is_used_again() {
    let (endpoint, connections) = runner(&[Does::SayAndStay(WHOLE)]);
    let upstreams = upstreams();
    for _ in 0..5 {
        let answered = ask(&upstreams, endpoint, PATIENCE).await;
        assert!(matches!(answered, Answered::Whole(_)), "{answered:?}");
    }
    assert_eq!(connections.load(Ordering::SeqCst), 1);
}
