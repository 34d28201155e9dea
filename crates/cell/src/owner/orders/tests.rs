use std::{cell::Cell, net::Ipv4Addr};

use kspan_jobs::{
    engine::RunnerIx,
    id::{JobId, StepId, TaskId},
    runner::RunnerEntry,
};
use kspan_model::{Millis, Resources};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

use super::*;
use crate::owner::tests::answers::{LATE, STARTED, UNUSABLE};

/// A runner that counts its requests and gives each the next response; the last one is repeated.
struct FakeRunner {
    requests: Rc<Cell<u32>>,
    connection: Rc<RunnerConnection>,
    runner_ix: RunnerIx,
}

async fn start_runner(owner: &Rc<Owner>, responses: &'static [&'static str]) -> FakeRunner {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let addr = listener.local_addr().expect("a bound port").to_string();
    let requests = Rc::new(Cell::new(0));
    let counter = Rc::clone(&requests);
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counter = Rc::clone(&counter);
            ntex::rt::spawn(async move {
                let mut buf = [0; 4_096];
                while let Ok(length @ 1..) = stream.read(&mut buf).await {
                    // The head and the body may arrive separately; the body ends with a brace.
                    if !buf[..length].ends_with(b"}") {
                        continue;
                    }
                    let number = counter.get();
                    counter.set(number + 1);
                    let last = responses.len() - 1;
                    let response = responses[last.min(number as usize)];
                    if stream.write_all(response.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    let entry = RunnerEntry {
        id: Name::new("i-1"),
        service: Name::new("s"),
        addr: Name::new(&addr),
        data_centre: Name::new("a"),
        draining: false,
        capacity: Resources::new(1_000, 1_000, 0),
        labels: Vec::new(),
        started_unix_ms: 1,
    };
    let now = owner.now();
    let runner_ix = owner.engine.borrow_mut().upsert_runner(now, entry.clone());
    let runner_ix = runner_ix.expect("a new runner");
    let connection = owner.connection(runner_ix, &entry).await;
    FakeRunner {
        requests,
        connection,
        runner_ix,
    }
}

fn task() -> TaskId {
    let step = StepId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
    };
    step.task(0)
}

fn start_order(runner_ix: RunnerIx, valid_for: Millis) -> StartOrder {
    StartOrder {
        runner_ix,
        task: task(),
        run: 1,
        text: Name::new("run"),
        deadline: Millis(1_000),
        checkpoint: None,
        ticket: Some(Name::new("ticket")),
        valid_for,
    }
}

fn stop_order(runner_ix: RunnerIx) -> StopOrder {
    StopOrder {
        runner_ix,
        task: task(),
        run: 1,
    }
}

/// A name, and how an owner loses the permission to send orders.
type Loss = (&'static str, fn(&Owner));

/// Ways in which an owner may lose the permission to send orders while one waits for a slot.
fn losses() -> [Loss; 3] {
    [
        ("stepped down", |owner| owner.step_down("test")),
        ("unconfirmed", |owner| {
            let confirmed = owner.confirmed.get();
            let long_ago = confirmed.before_suspension(Millis(20_000));
            owner.confirmed.set(long_ago);
        }),
        ("suspended", |owner| {
            let confirmed = owner.confirmed.get();
            owner
                .confirmed
                .set(confirmed.before_suspension(Millis(1_000)));
        }),
    ]
}

/// Guards against an order that waited for a slot and is sent although the ownership ended
/// meanwhile.
#[ntex::test]
async fn orders_that_waited_are_not_sent_once_ownership_has_ended() {
    for (what, lose) in losses() {
        let owner = super::super::tests::owner("127.0.0.1:1").await;
        let runner = start_runner(&owner, &[STARTED]).await;
        let slots = runner.connection.order_slots.acquire_many(4).await;
        let stop = ntex::rt::spawn(Rc::clone(&owner).stop_task(stop_order(runner.runner_ix)));
        let start = start_order(runner.runner_ix, Millis(6_000));
        let start = ntex::rt::spawn(Rc::clone(&owner).start_task(start));
        tokio::time::sleep(Duration::from_millis(30)).await;
        lose(&owner);
        drop(slots);
        assert!(stop.await.is_ok() && start.await.is_ok());
        assert_eq!(runner.requests.get(), 0, "{what}");
    }
}

/// Guards against a start whose lease or ticket ended while it waited, also if the host was
/// suspended meanwhile.
#[ntex::test]
async fn start_that_waited_beyond_its_validity_is_not_sent() {
    let owner = super::super::tests::owner("127.0.0.1:1").await;
    let runner = start_runner(&owner, &[STARTED]).await;
    let order = start_order(runner.runner_ix, Millis(2_500));
    let decided = owner.node.clock.reading();
    let expired = StartOutcome::Refused(Refusal::DeadlinePassed);
    let table = [
        (Millis(3_000), expired, 0),
        (Millis::ZERO, StartOutcome::Started(Millis(1)), 1),
    ];
    for (suspended, expected, requests) in table {
        let decided = decided.before_suspension(suspended);
        let outcome = owner.send_start(&runner.connection, &order, &decided);
        assert_eq!(outcome.await, expected, "{suspended}");
        assert_eq!(runner.requests.get(), requests, "{suspended}");
    }
}

/// Guards against a refusal of a later attempt that is taken for the outcome of the order, while an
/// earlier one whose answer was lost may have started the task.
#[ntex::test]
async fn refusal_after_a_lost_answer_leaves_the_start_in_doubt() {
    let owner = super::super::tests::owner("127.0.0.1:1").await;
    let runner = start_runner(&owner, &[UNUSABLE, LATE]).await;
    let order = start_order(runner.runner_ix, Millis(2_500));
    let decided = owner.node.clock.reading();
    let outcome = owner.send_start(&runner.connection, &order, &decided);
    assert_eq!(outcome.await, StartOutcome::InDoubt);
    assert_eq!(runner.requests.get(), 2);
    // Nothing is in doubt if every attempt was refused.
    let owner = super::super::tests::owner("127.0.0.1:1").await;
    let runner = start_runner(&owner, &[LATE]).await;
    let outcome = owner.send_start(&runner.connection, &order, &decided);
    let late = StartOutcome::Refused(Refusal::DeadlinePassed);
    assert_eq!(outcome.await, late);
}
