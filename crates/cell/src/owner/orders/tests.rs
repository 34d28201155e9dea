use std::{cell::Cell, net::Ipv4Addr};

use kspan_jobs::{
    config::{ApprovalPolicy, CellConfig, Policy, Queue},
    engine::{RunnerIx, Submission},
    runner::{Inventory, InventoryOutcome, RunnerEntry},
    spec::{JobSpec, StepSpec},
};
use kspan_model::{Millis, Resources};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

use super::*;

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

const STARTED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"ClockMs\":1.0}";
const UNUSABLE: &str = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
const LATE: &str = "HTTP/1.1 409 Conflict\r\nContent-Length: 17\r\n\r\n{\"Reason\":\"late\"}";

/// The same by the clock of the known incarnation, and by that of another one.
const LATE_BY_KNOWN: &str =
    "HTTP/1.1 409 Conflict\r\nContent-Length: 32\r\n\r\n{\"ClockMs\":1001,\"Reason\":\"late\"}";
const LATE_BY_OTHER: &str =
    "HTTP/1.1 409 Conflict\r\nContent-Length: 33\r\n\r\n{\"ClockMs\":90000,\"Reason\":\"late\"}";

/// More unusable responses than attempts are made without persistence, and a start.
const LATE_START: &[&str] = &[UNUSABLE, UNUSABLE, UNUSABLE, UNUSABLE, UNUSABLE, STARTED];

const HOST: &str = "queue.example";
const PATH: &str = "/work/00000000000000a1";

/// Makes all records of the owner durable.
fn commit(owner: &Owner) {
    let mut engine = owner.engine.borrow_mut();
    if let Some(batch) = engine.take_batch() {
        engine.mark_durable(batch.number);
    }
}

/// Reports an empty inventory of the incarnation that started at a time.
fn report_inventory(owner: &Owner, runner_ix: RunnerIx, started_unix_ms: u64) {
    let now = owner.now();
    let mut engine = owner.engine.borrow_mut();
    let sequence = engine.next_inventory_call(runner_ix, now).sequence;
    let inventory = InventoryOutcome::Inventory(Inventory {
        clock: Millis(1_000),
        started_unix_ms,
        ..Inventory::default()
    });
    engine.record_inventory(now, 1, runner_ix, sequence, &inventory);
}

/// Lets the owner decide to start a task on its only runner, and returns the order.
fn start_order(owner: &Owner, runner_ix: RunnerIx, valid_for: Millis) -> StartOrder {
    let order = start_order_with(owner, runner_ix, None);
    StartOrder { valid_for, ..order }
}

/// Does the same for a queue that needs approvals.
fn approved_start_order(owner: &Owner, runner_ix: RunnerIx) -> StartOrder {
    let policy = ApprovalPolicy {
        base_ms: 1.0,
        per_runner_ms: 1.0,
        validity: Millis(2_000),
    };
    start_order_with(owner, runner_ix, Some(policy))
}

/// Approves the owner's only runner if the order is a request for it, and returns the start otherwise.
fn approve_or_take(owner: &Owner, order: Order) -> Option<StartOrder> {
    match order {
        Order::Start(order) => Some(order),
        Order::RequestApprovals(req) => {
            let rows = [(Name::new("i-1"), Name::new("ticket"))];
            let response = Some((&rows[..], Millis(2_000)));
            let mut engine = owner.engine.borrow_mut();
            engine.record_approvals(owner.now(), &req, response);
            None
        }
        Order::Stop(_) | Order::Throttle(_) => None,
    }
}

/// Does the same for a queue that may need approvals.
fn start_order_with(
    owner: &Owner,
    runner_ix: RunnerIx,
    approval: Option<ApprovalPolicy>,
) -> StartOrder {
    let queue = Queue {
        name: Name::new("q"),
        host: Name::new(HOST),
        prefix: Name::new("/work/"),
        policy: Policy {
            service: Name::new("s"),
            approval,
            ..Policy::default()
        },
        ..Queue::default()
    };
    let hosts = [owner.node.local.node.clone()];
    owner.engine.borrow_mut().set_approval_hosts(&hosts);
    owner.engine.borrow_mut().configure(CellConfig {
        version: 2,
        queues: vec![queue],
        ..CellConfig::default()
    });
    report_inventory(owner, runner_ix, 1);
    let step = StepSpec {
        count: 1,
        size: Resources::new(1, 1, 0),
        ..StepSpec::default()
    };
    let req = Submission {
        host: HOST,
        path: PATH,
        spec: JobSpec {
            steps: vec![step],
            ..JobSpec::default()
        },
        team: None,
    };
    let submitted = owner.engine.borrow_mut().submit(owner.now(), 1, req);
    assert!(submitted.is_ok());
    commit(owner);
    let start = (0..2).find_map(|_| {
        let mut engine = owner.engine.borrow_mut();
        engine.confirm_ownership(owner.now());
        engine.schedule(owner.now());
        let orders = engine.take_orders();
        drop(engine);
        let mut orders = orders.into_iter();
        orders.find_map(|order| approve_or_take(owner, order))
    });
    start.expect("a start is ordered")
}

fn stop_order(start: &StartOrder) -> StopOrder {
    StopOrder {
        runner_ix: start.runner_ix,
        task: start.task,
        run: start.run,
    }
}

/// Takes the permission to send orders from an owner.
type Loss = fn(&Owner);

/// Ways in which an owner may lose the permission to send orders while one waits for a slot.
fn losses() -> [(&'static str, Loss); 3] {
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
        let start = start_order(&owner, runner.runner_ix, Millis(6_000));
        let stop = ntex::rt::spawn(Rc::clone(&owner).stop_task(stop_order(&start)));
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
    let order = start_order(&owner, runner.runner_ix, Millis(2_500));
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
    let order = start_order(&owner, runner.runner_ix, Millis(2_500));
    let decided = owner.node.clock.reading();
    let outcome = owner.send_start(&runner.connection, &order, &decided);
    assert_eq!(outcome.await, StartOutcome::InDoubt);
    assert_eq!(runner.requests.get(), 2);
    // Nothing is in doubt if every attempt was refused.
    let owner = super::super::tests::owner("127.0.0.1:1").await;
    let runner = start_runner(&owner, &[LATE]).await;
    let order = start_order(&owner, runner.runner_ix, Millis(2_500));
    let outcome = owner.send_start(&runner.connection, &order, &decided);
    let late = StartOutcome::Refused(Refusal::DeadlinePassed);
    assert_eq!(outcome.await, late);
}

/// Guards against work for a runner that has restarted under its id, which only the clock in a refusal shows.
#[ntex::test]
async fn clock_in_a_refused_start_shows_a_restart() {
    let table: [(&[&str], bool); 2] = [(&[LATE_BY_KNOWN], false), (&[LATE_BY_OTHER], true)];
    for (responses, is_restart) in table {
        let owner = super::super::tests::owner("127.0.0.1:1").await;
        let runner = start_runner(&owner, responses).await;
        let order = start_order(&owner, runner.runner_ix, Millis(2_500));
        let decided = owner.node.clock.reading();
        let outcome = owner.send_start(&runner.connection, &order, &decided);
        let late = StartOutcome::Refused(Refusal::DeadlinePassed);
        assert_eq!(outcome.await, late);
        let mut engine = owner.engine.borrow_mut();
        let call = engine.next_inventory_call(runner.runner_ix, owner.now());
        assert_eq!(call.deadline.is_none(), is_restart, "{responses:?}");
    }
}

/// Guards against attempts that are over within milliseconds, so that the shortest fault outlasts them.
#[ntex::test]
async fn attempts_that_fail_at_once_are_spread() {
    let owner = super::super::tests::owner("127.0.0.1:1").await;
    let runner = start_runner(&owner, &[UNUSABLE]).await;
    let order = start_order(&owner, runner.runner_ix, Millis(2_500));
    let decided = owner.node.clock.reading();
    let outcome = owner.send_start(&runner.connection, &order, &decided);
    assert_eq!(outcome.await, StartOutcome::InDoubt);
    assert_eq!(runner.requests.get(), MAX_START_ATTEMPTS);
    let took = owner.node.clock.reading().since(&decided);
    assert!(took >= Millis(100), "{took}");
}

/// Guards against a gang that is stopped although the start order of its last member would be answered while
/// the others still wait.
#[ntex::test]
async fn persistent_start_is_sent_until_it_is_answered_or_no_longer_valid() {
    let table = [
        (LATE_START, Millis(6_000), StartOutcome::Started(Millis(1))),
        (&[UNUSABLE], Millis(900), StartOutcome::InDoubt),
    ];
    for (responses, valid_for, expected) in table {
        let owner = super::super::tests::owner("127.0.0.1:1").await;
        let runner = start_runner(&owner, responses).await;
        let order = StartOrder {
            is_persistent: true,
            ..start_order(&owner, runner.runner_ix, valid_for)
        };
        let decided = owner.node.clock.reading();
        let outcome = owner.send_start(&runner.connection, &order, &decided);
        assert_eq!(outcome.await, expected);
        assert!(runner.requests.get() > MAX_START_ATTEMPTS);
        let took = owner.node.clock.reading().since(&decided);
        assert!(took < Millis(6_000), "{took}");
    }
}

/// Takes away the reason to start a task.
type Change = fn(&Owner, &StartOrder);

/// Ways in which a start may become unwanted while its order waits.
fn changes() -> [(&'static str, Change); 3] {
    [
        ("runner restarted under its id", |owner, start| {
            report_inventory(owner, start.runner_ix, 2);
        }),
        ("job cancelled", |owner, _| {
            let mut engine = owner.engine.borrow_mut();
            engine.cancel(owner.now(), 1, HOST, PATH);
        }),
        ("job cancelled, and the stop answered", |owner, start| {
            let mut engine = owner.engine.borrow_mut();
            engine.cancel(owner.now(), 1, HOST, PATH);
            let StopOrder {
                runner_ix,
                task,
                run,
            } = stop_order(start);
            engine.record_stop_outcome(runner_ix, task, run, OrderOutcome::Done, owner.now());
        }),
    ]
}

/// Guards against a task that runs twice, or after its job was cancelled, because an order that waited
/// for its turn is sent although the decision no longer holds.
#[ntex::test]
async fn start_that_waited_is_not_sent_once_it_is_unwanted() {
    for (what, change) in changes() {
        let owner = super::super::tests::owner("127.0.0.1:1").await;
        let runner = start_runner(&owner, &[STARTED]).await;
        let start = start_order(&owner, runner.runner_ix, Millis(6_000));
        let slots = runner.connection.order_slots.acquire_many(4).await;
        let waiting = ntex::rt::spawn(Rc::clone(&owner).start_task(start.clone()));
        tokio::time::sleep(Duration::from_millis(30)).await;
        change(&owner, &start);
        drop(slots);
        assert!(waiting.await.is_ok());
        assert_eq!(runner.requests.get(), 0, "{what}");
        assert_eq!(
            owner.engine.borrow().used(runner.runner_ix),
            Resources::ZERO
        );
    }
}

/// Guards against the same between two attempts to send an order.
#[ntex::test]
async fn start_is_not_repeated_once_it_is_unwanted() {
    for (what, change) in changes() {
        let owner = super::super::tests::owner("127.0.0.1:1").await;
        let runner = start_runner(&owner, &[UNUSABLE]).await;
        let start = start_order(&owner, runner.runner_ix, Millis(6_000));
        let decided = owner.node.clock.reading();
        let sending = owner.send_start(&runner.connection, &start, &decided);
        let changing = async {
            while runner.requests.get() == 0 {
                tokio::task::yield_now().await;
            }
            change(&owner, &start);
        };
        let (outcome, ()) = tokio::join!(sending, changing);
        assert_eq!(outcome, StartOutcome::InDoubt, "{what}");
        assert_eq!(runner.requests.get(), 1, "{what}");
    }
}

/// Guards against a stop that waited for its turn and reaches the next incarnation of its runner.
#[ntex::test]
async fn stop_that_waited_is_not_sent_to_the_next_incarnation() {
    let owner = super::super::tests::owner("127.0.0.1:1").await;
    let runner = start_runner(&owner, &[STARTED]).await;
    let start = start_order(&owner, runner.runner_ix, Millis(6_000));
    let slots = runner.connection.order_slots.acquire_many(4).await;
    let stop = ntex::rt::spawn(Rc::clone(&owner).stop_task(stop_order(&start)));
    tokio::time::sleep(Duration::from_millis(30)).await;
    report_inventory(&owner, start.runner_ix, 2);
    drop(slots);
    assert!(stop.await.is_ok());
    assert_eq!(runner.requests.get(), 0);
}

/// Inventories of the known incarnation, and of another one.
const ALIVE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n{\"ClockMs\":1001,\"born\":1}";
const ANOTHER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n{\"ClockMs\":1001,\"born\":2}";

/// Guards against a start in doubt for long: one is sent to a runner that was just lost, or with an approval of an
/// incarnation that nobody has heard.
#[ntex::test]
async fn start_with_an_approval_is_sent_once_the_known_incarnation_has_answered() {
    let unhealthy = StartOutcome::Refused(Refusal::Unhealthy);
    let started = StartOutcome::Started(Millis(1));
    let table: [(&'static [&'static str], _, _); 4] = [
        (&[ALIVE, STARTED], started, 2),
        (&[UNUSABLE, ALIVE, STARTED], started, 3),
        (&[UNUSABLE], unhealthy, 3),
        (&[ANOTHER], unhealthy, 3),
    ];
    for (responses, outcome, requests) in table {
        let owner = super::super::tests::owner("127.0.0.1:1").await;
        let runner = start_runner(&owner, responses).await;
        let start = approved_start_order(&owner, runner.runner_ix);
        let decided = owner.node.clock.reading();
        let sent = owner.send_start(&runner.connection, &start, &decided).await;
        assert_eq!(sent, outcome, "{responses:?}");
        assert_eq!(runner.requests.get(), requests, "{responses:?}");
    }
}

/// Guards against a call or a start that is sent although the ownership ended while another call to the runner was awaited.
#[ntex::test]
async fn start_that_waits_for_an_answer_is_not_sent_once_ownership_has_ended() {
    for (what, lose) in losses() {
        let owner = super::super::tests::owner("127.0.0.1:1").await;
        let runner = start_runner(&owner, &[ALIVE, STARTED]).await;
        let start = approved_start_order(&owner, runner.runner_ix);
        let turn = runner.connection.proof.lock().await;
        let start = ntex::rt::spawn(Rc::clone(&owner).start_task(start));
        tokio::time::sleep(Duration::from_millis(30)).await;
        lose(&owner);
        drop(turn);
        assert!(start.await.is_ok());
        assert_eq!(runner.requests.get(), 0, "{what}");
    }
}
