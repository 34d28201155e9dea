//! Clients that break the rules of an interface, against real processes. Each test lets a small
//! crowd fill a process whose settings state a small host, and checks that the process lives, that
//! its memory and its descriptors stay within those of the host, and that each of its interfaces
//! answers while the crowd is still connected.

mod crowd;
mod harness;

use std::rc::Rc;

use crowd::{Script, Use, connect, sample, watch};
use harness::{
    Process, TIMEOUT, call, call_until, send,
    standin::{ENTRIES_TARGET, HOST, PREFIX, Platform, READY_PATH, WAITING_TARGET, job_body},
    wait_for_owner,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    sync::Mutex,
};

/// Memory of the host that the tests' settings state, in MB, and the bound on resident memory.
const MEMORY_MB: u64 = 64;

/// Descriptors that the tests' settings state, and the bound on descriptors in use.
const MAX_DESCRIPTORS: usize = 400;

/// Descriptors that the platform keeps for files; sockets and pipes share the others.
const FILE_DESCRIPTORS: usize = 200;

/// Number of clients in a crowd.
const CLIENTS: usize = 300;

/// Number of processes of the cell that send frames in a crowd.
const PEERS: usize = 40;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 512 * 1024;

/// Size of the pieces in which clients send, in bytes.
const PIECE_BYTES: usize = 8 * 1024;

/// Maximum size of a frame between processes, in bytes.
const MAX_FRAME_BYTES: usize = 5 * 1024 * 1024;

/// A request of another process for the status of the owner, and its number.
const OWNER_STATUS: [u8; 6] = [0, 0, 0, 2, 7, 4];

/// Crowds run one at a time, so that one crowd's load does not reach another's process.
static CROWD: Mutex<()> = Mutex::const_new(());

/// Interface of a process that a crowd connects to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interface {
    Callers,
    Ready,
    Admin,
    Peers,
}

impl Interface {
    fn addr(self, process: &Process) -> &str {
        match self {
            Self::Callers => &process.callers,
            Self::Ready => &process.ready,
            Self::Admin => &process.admin,
            Self::Peers => &process.internal,
        }
    }

    /// Returns the path that the client with this number requests.
    fn path(self, client: usize) -> String {
        match (self, client % 2) {
            (Self::Ready, 0) => READY_PATH.to_owned(),
            (Self::Admin, 0) => "/dump".to_owned(),
            (Self::Admin, _) => "/metrics".to_owned(),
            _ => format!("{PREFIX}{client:016x}"),
        }
    }
}

/// Returns the head of a request with a body.
fn head(interface: Interface, client: usize, header: &str) -> Vec<u8> {
    let path = interface.path(client);
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n{header}\r\n\r\n"
    );
    head.into_bytes()
}

fn head_of_length(interface: Interface, client: usize, length: usize) -> Vec<u8> {
    head(interface, client, &format!("Content-Length: {length}"))
}

fn chunked_head(interface: Interface, client: usize) -> Vec<u8> {
    head(interface, client, "Transfer-Encoding: chunked")
}

fn chunk(bytes: usize) -> Rc<[u8]> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b' ');
    chunk.extend_from_slice(b"\r\n");
    chunk.into()
}

fn text(bytes: usize) -> Vec<u8> {
    vec![b' '; bytes]
}

/// A body of the maximum size, sent at once but for its last byte.
fn whole_body(interface: Interface, client: usize) -> Script {
    let mut head = head_of_length(interface, client, MAX_BODY_BYTES);
    head.extend(text(MAX_BODY_BYTES - 1));
    Script {
        head,
        ..Script::default()
    }
}

/// A body of the maximum size, sent in pieces but for its last byte.
fn body_in_pieces(interface: Interface, client: usize) -> Script {
    Script {
        head: head_of_length(interface, client, MAX_BODY_BYTES),
        piece: text(PIECE_BYTES).into(),
        repeats: MAX_BODY_BYTES / PIECE_BYTES - 1,
        tail: text(PIECE_BYTES - 1),
    }
}

/// A body announced as 2,000 times the maximum size, of which twice the maximum size is sent.
fn announced_oversized_body(interface: Interface, client: usize) -> Script {
    Script {
        head: head_of_length(interface, client, 2_000 * MAX_BODY_BYTES),
        piece: text(PIECE_BYTES).into(),
        repeats: 2 * MAX_BODY_BYTES / PIECE_BYTES,
        tail: Vec::new(),
    }
}

/// A body of eight times the maximum size in chunks, whose end isn't sent.
fn unannounced_oversized_body(interface: Interface, client: usize) -> Script {
    Script {
        head: chunked_head(interface, client),
        piece: chunk(PIECE_BYTES),
        repeats: 8 * MAX_BODY_BYTES / PIECE_BYTES,
        tail: Vec::new(),
    }
}

/// A body of nearly the maximum size in two large chunks, the second of which lacks its end.
fn body_in_large_chunks(interface: Interface, client: usize) -> Script {
    let half = chunk(MAX_BODY_BYTES / 2);
    let mut head = chunked_head(interface, client);
    head.extend_from_slice(&half);
    head.extend_from_slice(&half[..half.len() - 3]);
    Script {
        head,
        ..Script::default()
    }
}

/// A body of 40,000 chunks of one byte, whose end isn't sent.
fn body_in_small_chunks(interface: Interface, client: usize) -> Script {
    Script {
        head: chunked_head(interface, client),
        piece: chunk(1).repeat(1_000).into(),
        repeats: 40,
        tail: Vec::new(),
    }
}

/// A complete body of the maximum size that is hundreds of times larger once it is decoded.
fn body_of_many_steps(interface: Interface, client: usize) -> Script {
    let mut body = String::from("{\"Spec\":\"run 100\",\"Steps\":[{}");
    while body.len() < MAX_BODY_BYTES - 16 {
        body.push_str(",{}");
    }
    body.push_str("]}");
    let mut head = head_of_length(interface, client, body.len());
    head.extend_from_slice(body.as_bytes());
    Script {
        head,
        ..Script::default()
    }
}

/// A connection on which nothing is sent.
fn nothing(_: Interface, _: usize) -> Script {
    Script::default()
}

/// A request whose head lacks its end.
fn half_head(interface: Interface, client: usize) -> Script {
    let path = interface.path(client);
    let mut head = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Padding: ").into_bytes();
    head.extend(text(32 * 1024));
    Script {
        head,
        ..Script::default()
    }
}

/// A request that is served, on a connection that stays open.
fn served_request(interface: Interface, client: usize) -> Script {
    let path = interface.path(client);
    Script {
        head: format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n").into_bytes(),
        ..Script::default()
    }
}

/// Two thousand requests whose responses the client never reads.
fn unread_responses(interface: Interface, client: usize) -> Script {
    let one = served_request(interface, client).head;
    Script {
        piece: one.repeat(20).into(),
        repeats: 100,
        ..Script::default()
    }
}

fn frame(content: &[u8]) -> Vec<u8> {
    let length = u32::try_from(content.len()).expect("a frame");
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(content);
    frame
}

/// Appends a number in the variable-length encoding of frames.
fn push_number(buf: &mut Vec<u8>, mut number: usize) {
    let group = |number: usize| u8::try_from(number % 0x80).expect("seven bits");
    while number >= 0x80 {
        buf.push(group(number) | 0x80);
        number /= 0x80;
    }
    buf.push(group(number));
}

/// Returns a frame that asks the process to relay a request to the store.
fn relayed_request(target: &str, body_bytes: usize) -> Vec<u8> {
    // The frame's number, the kind of request, and the method.
    let mut content = vec![7, 2, 1];
    push_number(&mut content, target.len());
    content.extend_from_slice(target.as_bytes());
    push_number(&mut content, body_bytes);
    content.extend(text(body_bytes));
    frame(&content)
}

/// A frame of the maximum size, sent in pieces but for its last byte.
fn unfinished_frame(_: Interface, _: usize) -> Script {
    let length = u32::try_from(MAX_FRAME_BYTES).expect("a frame");
    Script {
        head: length.to_be_bytes().to_vec(),
        piece: text(PIECE_BYTES).into(),
        repeats: MAX_FRAME_BYTES / PIECE_BYTES - 1,
        tail: text(PIECE_BYTES - 1),
    }
}

/// A frame announced as larger than any other.
fn oversized_frame(_: Interface, _: usize) -> Script {
    Script {
        head: u32::MAX.to_be_bytes().to_vec(),
        piece: text(PIECE_BYTES).into(),
        repeats: 2 * MAX_FRAME_BYTES / PIECE_BYTES,
        tail: Vec::new(),
    }
}

/// Half of a frame's length.
fn half_length(_: Interface, _: usize) -> Script {
    Script {
        head: vec![0, 0],
        ..Script::default()
    }
}

/// Large requests that stay in flight, because the store keeps them.
fn requests_in_flight(_: Interface, _: usize) -> Script {
    Script {
        piece: relayed_request(WAITING_TARGET, 256 * 1024).into(),
        repeats: 10,
        ..Script::default()
    }
}

/// Requests with large replies, which the client never reads.
fn unread_replies(_: Interface, _: usize) -> Script {
    Script {
        piece: relayed_request(ENTRIES_TARGET, 0).into(),
        repeats: 20,
        ..Script::default()
    }
}

/// Returns whether a process answers a request of another process.
async fn answers_peers(addr: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect(addr).await else {
        return false;
    };
    let (mut length, mut number) = ([0; 4], [0]);
    stream.write_all(&OWNER_STATUS).await.is_ok()
        && stream.read_exact(&mut length).await.is_ok()
        && stream.read_exact(&mut number).await.is_ok()
        && number == OWNER_STATUS[4..5]
}

/// Starts a process on a small host and waits until it owns the cell.
async fn start(platform: &Platform) -> Process {
    let settings = format!("memory_mb: {MEMORY_MB}\nmax_descriptors: {MAX_DESCRIPTORS}\n");
    let processes = [Process::start_with(0, &settings, platform.store_addr)];
    wait_for_owner(&processes).await;
    let [process] = processes;
    process
}

fn assert_within_host(highest: Use) {
    assert!(
        highest.memory_kib <= MEMORY_MB * 1_000_000 / 1_024,
        "{highest:?}: expected at most {MEMORY_MB} MB"
    );
    assert!(
        highest.descriptors <= MAX_DESCRIPTORS
            && highest.sockets <= MAX_DESCRIPTORS - FILE_DESCRIPTORS,
        "{highest:?}: expected at most {MAX_DESCRIPTORS} descriptors, {FILE_DESCRIPTORS} of them \
         for files"
    );
}

/// Lets a crowd of `clients` fill the interface `interface` of a process on a small host, and checks the
/// process.
async fn check(interface: Interface, clients: usize, script: fn(Interface, usize) -> Script) {
    let _crowd = CROWD.lock().await;
    let platform = Platform::start(1);
    // Makes the list of entries large; the process ignores an entry that it can't read.
    platform.list_entry("odd", &text(200 * 1024));
    let mut process = start(&platform).await;

    let scripts = (0..clients)
        .map(|client| script(interface, client))
        .collect();
    let addr = interface.addr(&process).to_owned();
    let (highest, streams) =
        watch(&mut process, async move { connect(&addr, scripts).await }).await;
    let highest = highest.expect("the process lives");
    println!("{highest:?} with {} clients", streams.len());

    let id = "00000000000000ee";
    let body = job_body("run 100", &[1]);
    call_until(
        "POST",
        &process.callers,
        &format!("{PREFIX}{id}"),
        &body,
        200,
    )
    .await;
    call_until("GET", &process.ready, READY_PATH, "", 200).await;
    call_until("GET", &process.admin, "/dump", "", 200).await;
    assert!(answers_peers(&process.internal).await, "no reply to a peer");
    let highest = highest.max(sample(&mut process).expect("the process lives"));
    drop(streams);
    assert_within_host(highest);
}

/// Returns a job's body, padded with spaces to the maximum size of a body.
fn padded_job() -> String {
    let mut body = job_body("run 100", &[1]);
    body.push_str(&" ".repeat(MAX_BODY_BYTES - body.len()));
    body
}

/// Guards against limits that a single request inside the pages' limits meets.
#[ntex::test]
async fn largest_body_is_served_in_calm() {
    let _crowd = CROWD.lock().await;
    let platform = Platform::start(1);
    let process = start(&platform).await;
    for client in 0..20 {
        let path = Interface::Callers.path(client);
        let (status, _) = call("POST", &process.callers, &path, &padded_job())
            .await
            .expect("a response");
        assert_eq!(status, 200);
    }
}

/// Guards against refusals that don't say why, and refused connections that stay open: a body that
/// can't be served gets 413, one that doesn't arrive in time gets 408.
#[ntex::test]
async fn refusals_say_why_and_close_the_connection() {
    let _crowd = CROWD.lock().await;
    let platform = Platform::start(1);
    let process = start(&platform).await;
    let over = Script {
        head: chunked_head(Interface::Callers, 1),
        piece: chunk(PIECE_BYTES),
        repeats: MAX_BODY_BYTES / PIECE_BYTES + 1,
        tail: Vec::new(),
    };
    let announced = Script {
        head: head_of_length(Interface::Callers, 2, MAX_BODY_BYTES + 1),
        ..Script::default()
    };
    let table = [
        (&process.callers, announced, "413"),
        (&process.callers, over, "413"),
        (
            &process.callers,
            body_in_pieces(Interface::Callers, 3),
            "408",
        ),
        (&process.admin, body_in_pieces(Interface::Admin, 4), "413"),
        (&process.ready, body_in_pieces(Interface::Ready, 6), "413"),
    ];
    for (addr, script, status) in table {
        let mut streams = connect(addr, vec![script]).await;
        let mut response = Vec::new();
        // The connection may be reset after the response, because bytes of the body were not read.
        let _ = tokio::time::timeout(TIMEOUT, streams[0].read_to_end(&mut response))
            .await
            .expect("the connection is closed");
        let response = String::from_utf8_lossy(&response);
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "expected {status}: {response}"
        );
    }
    for client in 1..=3 {
        let path = format!("{PREFIX}{client:016x}");
        call_until("GET", &process.callers, &path, "", 410).await;
    }
}

/// Guards against a refusal of a job that runs, and against more memory than the host has while
/// many complete bodies of the maximum size arrive at once.
#[ntex::test]
async fn refused_whole_jobs_do_not_run() {
    let _crowd = CROWD.lock().await;
    let platform = Platform::start(1);
    let mut process = start(&platform).await;
    let addr = process.callers.clone();
    let crowd = async move {
        let calls = (0..CLIENTS).map(|client| {
            let (addr, path) = (addr.clone(), Interface::Callers.path(client));
            ntex::rt::spawn(async move { send("POST", &addr, &path, &padded_job()).await })
        });
        let calls: Vec<_> = calls.collect();
        let mut responses = Vec::new();
        for call in calls {
            responses.push(call.await.expect("a client does not panic"));
        }
        responses
    };
    let (highest, responses) = watch(&mut process, crowd).await;
    let highest = highest.expect("the process lives");
    let accepted = responses.iter().flatten().filter(|one| one.status == 200);
    println!("{highest:?}, {} accepted", accepted.count());
    for (client, response) in responses.iter().enumerate() {
        // Without a response or after a 504, the job may run.
        let Some(response) = response.as_ref().filter(|one| one.status != 504) else {
            continue;
        };
        let expected = match response.status {
            200 => 200,
            429 | 503 => {
                assert!(response.retry_after.is_some(), "no time to retry after");
                410
            }
            status => panic!("unexpected status {status}"),
        };
        let path = Interface::Callers.path(client);
        call_until("GET", &process.callers, &path, "", expected).await;
    }
    assert_within_host(highest);
}

/// Defines a test for each row: its name, the interface, the number of clients and what they send.
macro_rules! crowds {
    ($($name:ident: $interface:ident, $clients:expr, $script:ident;)*) => {$(
        #[ntex::test]
        async fn $name() {
            check(Interface::$interface, $clients, $script).await;
        }
    )*};
}

crowds! {
    callers_with_whole_bodies: Callers, CLIENTS, whole_body;
    callers_with_bodies_in_pieces: Callers, CLIENTS, body_in_pieces;
    callers_with_announced_oversized_bodies: Callers, CLIENTS, announced_oversized_body;
    callers_with_unannounced_oversized_bodies: Callers, CLIENTS, unannounced_oversized_body;
    callers_with_bodies_in_large_chunks: Callers, CLIENTS, body_in_large_chunks;
    callers_with_bodies_in_small_chunks: Callers, CLIENTS, body_in_small_chunks;
    callers_with_bodies_of_many_steps: Callers, 20, body_of_many_steps;
    callers_that_send_nothing: Callers, CLIENTS, nothing;
    callers_with_half_heads: Callers, CLIENTS, half_head;
    callers_with_idle_connections: Callers, CLIENTS, served_request;
    callers_that_read_no_responses: Callers, CLIENTS, unread_responses;

    ready_with_whole_bodies: Ready, CLIENTS, whole_body;
    ready_with_bodies_in_pieces: Ready, CLIENTS, body_in_pieces;
    ready_with_announced_oversized_bodies: Ready, CLIENTS, announced_oversized_body;
    ready_with_unannounced_oversized_bodies: Ready, CLIENTS, unannounced_oversized_body;
    ready_with_bodies_in_large_chunks: Ready, CLIENTS, body_in_large_chunks;
    ready_with_bodies_in_small_chunks: Ready, CLIENTS, body_in_small_chunks;
    ready_with_clients_that_send_nothing: Ready, CLIENTS, nothing;
    ready_with_half_heads: Ready, CLIENTS, half_head;
    ready_with_idle_connections: Ready, CLIENTS, served_request;
    ready_with_unread_responses: Ready, CLIENTS, unread_responses;

    operators_with_whole_bodies: Admin, CLIENTS, whole_body;
    operators_with_bodies_in_pieces: Admin, CLIENTS, body_in_pieces;
    operators_with_announced_oversized_bodies: Admin, CLIENTS, announced_oversized_body;
    operators_with_unannounced_oversized_bodies: Admin, CLIENTS, unannounced_oversized_body;
    operators_with_bodies_in_large_chunks: Admin, CLIENTS, body_in_large_chunks;
    operators_with_bodies_in_small_chunks: Admin, CLIENTS, body_in_small_chunks;
    operators_that_send_nothing: Admin, CLIENTS, nothing;
    operators_with_half_heads: Admin, CLIENTS, half_head;
    operators_with_idle_connections: Admin, CLIENTS, served_request;
    operators_that_read_no_responses: Admin, CLIENTS, unread_responses;

    peers_with_unfinished_frames: Peers, PEERS, unfinished_frame;
    peers_with_oversized_frames: Peers, PEERS, oversized_frame;
    peers_with_half_lengths: Peers, CLIENTS, half_length;
    peers_that_send_nothing: Peers, CLIENTS, nothing;
    peers_with_large_requests_in_flight: Peers, PEERS, requests_in_flight;
    peers_that_read_no_replies: Peers, PEERS, unread_replies;
}
