use std::net::{Ipv4Addr, SocketAddr};

use kspan_adapter::store::{self, Topic};
use kspan_jobs::config::{CellConfig, Queue};
use kspan_model::Name;
use kspan_wire::stream::{read_frame, write_frame};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

use super::*;
use crate::{
    message::{Frame, JobCall, PeerReply, PeerRequest, Verb},
    peers,
    settings::Settings as ProcessSettings,
};

/// Starts a store that answers each request by `answer`, which gets the request's target and returns
/// the status and the body. Returns the store's address.
pub(crate) async fn start_store<F>(answer: F) -> String
where
    F: Fn(&str) -> (u16, Vec<u8>) + Clone + 'static,
{
    start_store_by_length(move |target, _| answer(target)).await
}

/// Does the same, where the answer also depends on the length of the request's body.
pub(crate) async fn start_store_by_length<F>(answer: F) -> String
where
    F: Fn(&str, usize) -> (u16, Vec<u8>) + Clone + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            ntex::rt::spawn(async move {
                let mut buf = [0; 64 * 1024];
                // The bodies of requests arrive in a read of their own or with the head.
                while let Ok(length @ 1..) = stream.read(&mut buf).await {
                    let head = String::from_utf8_lossy(&buf[..length]).into_owned();
                    let Some(target) = head.split(' ').nth(1).filter(|_| head.contains("/api/"))
                    else {
                        continue;
                    };
                    let (status, body) = answer(target, content_length(&head));
                    let head = format!(
                        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    let response = [head.as_bytes(), &body].concat();
                    if stream.write_all(&response).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr.to_string()
}

/// Returns the length of the body of a request with this head.
fn content_length(head: &str) -> usize {
    let lower = head.to_ascii_lowercase();
    let mut lines = lower.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length:"));
    length.map_or(0, |length| length.trim().parse().expect("a length"))
}

/// Starts a store without records that answers a request only if `answers` returns true. Returns the
/// store's address.
pub(crate) async fn start_silent_store(answers: impl Fn() -> bool + 'static) -> String {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    let answers = Rc::new(answers);
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answers = Rc::clone(&answers);
            ntex::rt::spawn(async move {
                let mut buf = [0; 4 * 1024];
                while let Ok(1..) = stream.read(&mut buf).await {
                    let response = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
                    if answers() && stream.write_all(response).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr.to_string()
}

/// Starts a process that gives each request the same reply, or none.
pub(crate) async fn start_member(node: &str, reply: Option<PeerReply>) -> Member {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let SocketAddr::V4(addr) = listener.local_addr().expect("a bound port") else {
        panic!("the listener is bound to an IPv4 address");
    };
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let reply = reply.clone();
            ntex::rt::spawn(async move {
                let mut buf = Vec::new();
                while matches!(read_frame(&mut stream, &mut buf).await, Ok(true)) {
                    let req: Frame<PeerRequest> = peers::decode(&buf).expect("a request");
                    let Some(content) = reply.clone() else {
                        continue;
                    };
                    let number = req.number;
                    let frame = peers::encode(&Frame { number, content });
                    if write_frame(&mut stream, &frame).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Member {
        node: Name::new(node),
        address: *addr.ip(),
        port: addr.port(),
        life: 1,
        data_centre: Name::new("a"),
        power_milli: 500,
    }
}

/// Returns whether a request to the store with this target appends records.
pub(crate) fn is_append(target: &str) -> bool {
    let append = store::fence_request(Topic::Jobs, 0);
    target.split('?').next() == append.target().split('?').next()
}

/// Returns whether a request to the store with this target reads records from an offset on.
pub(crate) fn is_read(target: &str) -> bool {
    let read = store::read_request(Topic::Jobs, 0, Duration::ZERO);
    target.split('?').next() == read.target().split('?').next()
}

/// Returns whether a request to the store with this target is about the topic of the jobs.
pub(crate) fn is_of_jobs(target: &str) -> bool {
    let newest = store::newest_request(Topic::Jobs, None);
    let topic = newest.target().split(['?', '&']).nth(1);
    topic.is_some_and(|topic| target.contains(topic))
}

/// Creates a process whose store listens on `store`.
pub(crate) async fn node(store: &str) -> Rc<Node> {
    Node::new(ProcessSettings {
        node: Name::new("a-1"),
        address: Ipv4Addr::LOCALHOST,
        data_centre: Name::new("a"),
        processors: 1.0,
        memory_mb: None,
        max_descriptors: None,
        callers: String::new(),
        ready: String::new(),
        admin: String::new(),
        internal_port: 0,
        store: store.to_owned(),
        max_record_bytes: 256 * 1024,
        approvals: String::new(),
        max_lease_ms: 8_000,
        spread_factor: 3.0,
        keep_ended_s: 600,
        config_apply_ms: 2_500,
        gang_wait_ms: 3_000,
        grace_s: 10.0,
    })
    .await
}

/// Creates an owner that has recovered a cell with one queue and no job.
pub(crate) async fn owner(store: &str) -> Rc<Owner> {
    let owner = Owner::new(node(store).await, 1, 1);
    let queue = Queue {
        name: Name::new("q"),
        host: Name::new("queue.example"),
        prefix: Name::new("/work/"),
        ..Queue::default()
    };
    owner.engine.borrow_mut().configure(CellConfig {
        version: 1,
        queues: vec![queue],
        ..CellConfig::default()
    });
    owner.is_recovered.set(true);
    owner
}

pub(crate) fn call(verb: Verb) -> JobCall {
    JobCall {
        key: None,
        host: "queue.example".to_owned(),
        path: "/work/00000000000000a1".to_owned(),
        verb,
        hops_left: 0,
    }
}

/// Guards against a 410 for a job that a newer owner accepted while the host was suspended, which
/// the monotonic clock does not count.
#[ntex::test]
async fn unknown_job_is_not_denied_after_a_suspension() {
    let owner = owner("127.0.0.1:1").await;
    for (suspended, expected) in [(Millis::ZERO, 410), (Millis(10_000), 503)] {
        let confirmed = owner.node.clock.reading().before_suspension(suspended);
        owner.confirmed.set(confirmed);
        for verb in [Verb::Show, Verb::Cancel] {
            let response = owner.call(call(verb)).await;
            let status = response.map(|response| response.status);
            assert_eq!(status, Ok(expected), "{suspended}");
        }
    }
}

/// Guards against responses that arrive out of order: an older one must not take back what a newer
/// one has confirmed.
#[ntex::test]
async fn older_confirmation_does_not_replace_a_newer_one() {
    let owner = owner("127.0.0.1:1").await;
    let first = owner.node.clock.reading();
    tokio::time::sleep(Duration::from_millis(30)).await;
    let second = owner.node.clock.reading();
    owner.confirm(second);
    owner.confirm(first);
    assert_eq!(owner.confirmed.get().monotonic(), second.monotonic());
}

/// State of a submission's record when the wait for it ends.
#[derive(Clone, Copy, Debug)]
enum Fate {
    NotTaken,
    InFlight,
    InFlightAndOwnershipEnded,
    NotTakenAndOwnershipEnded,
    Durable,
}

/// Guards against an answer that does not say what may become of the job: 503 only if it is certain
/// that it is never stored, 200 only if it is stored.
#[ntex::test]
async fn answer_to_a_submission_follows_from_the_state_of_its_record() {
    use kspan_jobs::spec::{JobSpec, StepSpec};

    let table = [
        (Fate::NotTaken, Ok(503)),
        (Fate::InFlight, Ok(504)),
        (
            Fate::InFlightAndOwnershipEnded,
            Err(crate::message::CallFailure::InDoubt),
        ),
        (Fate::NotTakenAndOwnershipEnded, Ok(503)),
        (Fate::Durable, Ok(200)),
    ];
    for (fate, expected) in table {
        let owner = owner("127.0.0.1:1").await;
        owner.config_read.set(Some(owner.node.clock.reading()));
        let spec = JobSpec {
            steps: vec![StepSpec {
                count: 1,
                ..StepSpec::default()
            }],
            ..JobSpec::default()
        };
        let submission = ntex::rt::spawn({
            let owner = Rc::clone(&owner);
            async move { owner.call(call(Verb::Submit(spec))).await }
        });
        tokio::time::sleep(Duration::from_millis(30)).await;
        let is_taken = !matches!(fate, Fate::NotTaken | Fate::NotTakenAndOwnershipEnded);
        let batch = is_taken.then(|| owner.engine.borrow_mut().take_batch());
        match fate {
            Fate::NotTaken | Fate::InFlight => {}
            Fate::InFlightAndOwnershipEnded | Fate::NotTakenAndOwnershipEnded => {
                owner.step_down("test");
            }
            Fate::Durable => {
                let number = batch.flatten().expect("the job's batch").number;
                owner.engine.borrow_mut().mark_durable(number);
                owner.durable_batch.send_replace(number);
            }
        }
        let response = submission.await.expect("the call ends");
        let status = response.map(|response| response.status);
        assert_eq!(status, expected, "{fate:?}");
        // A job that is said not to be accepted is not in the next batch either.
        if status == Ok(503) {
            let batch = owner.engine.borrow_mut().take_batch();
            let records = batch.map_or(0, |batch| batch.records.len());
            assert_eq!(records, 0, "{fate:?}");
        }
    }
}

/// Guards against two owners that both accept jobs: once the store has seen a newer fence, the
/// previous owner's role ends and its callers are not told that their jobs are accepted.
#[ntex::test]
async fn owner_fenced_off_by_the_store_accepts_nothing() {
    use kspan_jobs::spec::{JobSpec, StepSpec};

    let store = start_store(|target| match is_of_jobs(target) {
        true => (409, br#"{"Reason":"fenced"}"#.to_vec()),
        false => (200, br#"{"Offset":1}"#.to_vec()),
    });
    let owner = owner(&store.await).await;
    owner.config_read.set(Some(owner.node.clock.reading()));
    ntex::rt::spawn(Rc::clone(&owner).write_batches());
    ntex::rt::spawn(Rc::clone(&owner).run_scheduler());
    let spec = JobSpec {
        steps: vec![StepSpec {
            count: 1,
            ..StepSpec::default()
        }],
        ..JobSpec::default()
    };
    let response = owner.call(call(Verb::Submit(spec))).await;
    assert_eq!(response, Err(crate::message::CallFailure::InDoubt));
    assert!(!owner.is_active() && !owner.may_send_orders());
    let response = owner.call(call(Verb::Show)).await;
    assert_eq!(response, Err(crate::message::CallFailure::NotExecuted));
}
