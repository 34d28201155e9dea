use std::{cell::RefCell, net::Ipv4Addr};

use kspan_jobs::runner::RunnerEntry;
use kspan_model::{Name, Resources};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    time::Instant,
};

use super::*;

/// Starts a runner that answers each inventory call after `delay`.
async fn start_runner(delay: Duration) -> RunnerEntry {
    start_runner_with(delay, |_| 0).await
}

/// Does the same, where `started` returns the start time that the runner reports, from the call's body.
async fn start_runner_with<F>(delay: Duration, started: F) -> RunnerEntry
where
    F: Fn(&str) -> u64 + Clone + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let addr = listener.local_addr().expect("a bound port").to_string();
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let started = started.clone();
            ntex::rt::spawn(async move {
                let mut buf = [0; 4_096];
                while let Ok(length @ 1..) = stream.read(&mut buf).await {
                    if !buf[..length].ends_with(b"}") {
                        continue;
                    }
                    tokio::time::sleep(delay).await;
                    let call = String::from_utf8_lossy(&buf[..length]).into_owned();
                    let body = format!(r#"{{"ClockMs":1000,"born":{}}}"#, started(&call));
                    let length = body.len();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                    if stream.write_all((head + &body).as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    RunnerEntry {
        id: Name::new("i-1"),
        service: Name::new("s"),
        addr: Name::new(&addr),
        data_centre: Name::new("a"),
        draining: false,
        capacity: Resources::new(1_000, 1_000, 0),
        labels: Vec::new(),
        started_unix_ms: 0,
    }
}

/// Returns the fencing token in the body of a call.
fn fence_of(call: &str) -> u64 {
    let (_, rest) = call.split_once(r#""Fence":"#).expect("a fencing token");
    let digits = rest.split([',', '}']).next().expect("a value");
    digits.parse().expect("a number")
}

/// Guards against a runner that answers, only slowly, and is taken for a silent one: its lease would
/// run out and its tasks be given up.
#[ntex::test]
async fn slow_runner_is_heard_within_its_lease() {
    let owner = crate::owner::tests::owner("127.0.0.1:1").await;
    let entry = start_runner(Duration::from_millis(900)).await;
    let now = owner.now();
    let runner_ix = owner.engine.borrow_mut().upsert_runner(now, entry.clone());
    let runner_ix = runner_ix.expect("a new runner");
    let connection = owner.connection(runner_ix, &entry).await;
    let started_at = Instant::now();
    ntex::rt::spawn(Rc::clone(&owner).poll_inventory(runner_ix, connection));
    while owner.totals().runners == 0 {
        assert!(started_at.elapsed() < Duration::from_secs(5));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    owner.step_down("test");
}

/// Guards against orders for a former incarnation that the next one executes late: calls to it have a higher
/// fencing token, for which the owner waits.
#[ntex::test]
async fn calls_to_the_next_incarnation_have_a_higher_fence() {
    let owner = crate::owner::tests::owner("127.0.0.1:1").await;
    let fences: Rc<RefCell<Vec<u64>>> = Rc::default();
    let calls = Rc::clone(&fences);
    // The runner restarts once, after its first call.
    let entry = start_runner_with(Duration::ZERO, move |call| {
        calls.borrow_mut().push(fence_of(call));
        if calls.borrow().len() == 1 { 1 } else { 2 }
    });
    let entry = RunnerEntry {
        started_unix_ms: 1,
        ..entry.await
    };
    let first = owner.newest_fence();
    let now = owner.now();
    let runner_ix = owner.engine.borrow_mut().upsert_runner(now, entry);
    let runner_ix = runner_ix.expect("a new runner");
    owner.start_inventory_calls(runner_ix).await;
    while fences.borrow().len() < 2 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(*fences.borrow(), [first, first]);
    owner.claims_end.set(first + 3);
    while fences.borrow().len() < 3 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(fences.borrow()[2], first + 3);
    owner.step_down("test");
}

/// Guards against calls that are executed long after they were given up: a call that the runner answers
/// later has a higher fencing token, after which it refuses them.
#[ntex::test]
async fn fence_rises_above_that_of_a_call_without_an_answer() {
    let owner = crate::owner::tests::owner("127.0.0.1:1").await;
    let entry = start_runner(Duration::ZERO).await;
    let now = owner.now();
    let runner_ix = owner.engine.borrow_mut().upsert_runner(now, entry.clone());
    let runner_ix = runner_ix.expect("a new runner");
    let connection = owner.connection(runner_ix, &entry).await;
    let first = owner.newest_fence();
    let newest = first + 5;
    assert_eq!(connection.next_fence(newest), first);
    assert!(!connection.is_overtaken(first));
    connection.record_doubt(first);
    assert_eq!(connection.next_fence(first), first, "no higher one yet");
    assert_eq!(connection.next_fence(newest), newest);
    assert!(connection.is_overtaken(first) && !connection.is_overtaken(newest));
    connection.record_doubt(first);
    assert_eq!(connection.next_fence(newest + 5), newest);
}

/// Guards against calls that were given up and are executed late by a runner whose end was presumed and that is
/// listed again: its new connection has to raise the fencing token above theirs.
#[ntex::test]
async fn fence_rises_above_those_of_calls_before_a_presumed_end() {
    let owner = crate::owner::tests::owner("127.0.0.1:1").await;
    let entry = start_runner(Duration::ZERO).await;
    let first = owner.newest_fence();
    let former = owner.connection(RunnerIx(0), &entry).await;
    assert_eq!(former.next_fence(first), first);
    let listed_again = owner.connection(RunnerIx(1), &entry).await;
    assert_eq!(listed_again.next_fence(first + 5), first + 5);
}

/// Guards against a runner that restarted at another address and is not called there, because its own address
/// can't confirm it, and against work for it before it has answered for itself.
#[ntex::test]
async fn incarnation_at_another_address_answers_for_itself() {
    let owner = crate::owner::tests::owner("127.0.0.1:1").await;
    let moved = RunnerEntry {
        started_unix_ms: 2,
        ..start_runner_with(Duration::ZERO, |_| 2).await
    };
    let gone = RunnerEntry {
        addr: Name::new("127.0.0.1:1"),
        started_unix_ms: 1,
        ..moved.clone()
    };
    let now = owner.now();
    let runner_ix = owner.engine.borrow_mut().upsert_runner(now, gone);
    let runner_ix = runner_ix.expect("a new runner");
    owner.start_inventory_calls(runner_ix).await;
    assert_eq!(owner.engine.borrow_mut().upsert_runner(now, moved), None);
    assert!(!owner.engine.borrow().is_dead(runner_ix));
    let started_at = Instant::now();
    while !owner.engine.borrow().is_dead(runner_ix) {
        assert!(started_at.elapsed() < Duration::from_secs(5));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    owner.claims_end.set(owner.newest_fence() + 3);
    while owner.totals().runners == 0 {
        assert!(started_at.elapsed() < Duration::from_secs(10));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    owner.step_down("test");
}
