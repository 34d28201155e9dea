//! The stand-ins keep to the protocols that they publish.

use std::{net::SocketAddr, time::Duration};

use kspan_contract::protocol::{
    log::{Appended, Batch},
    runner::Health,
    worker::{Command, Exchange, Refusal, Report, Size, Start, TaskState, Token},
};
use kspan_lab::{
    http::{ServerHandle, ThreadPool},
    load::requests::new_client,
    record::Book,
    standin::{
        log::{self, Log},
        runner::{Behaviour, Misbehaviour, Runner},
        worker::{Ground, Spec, Worker},
    },
    token::{expected_body, segment},
};
use kspan_model::{JobId, Name, Resources, Site, TaskId};
use ntex::{client::Client, time::Millis};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const LONG_LEASE_MS: u64 = 60_000;

struct Fixture {
    client: Client,
    pool: ThreadPool,
    book: Book,
    worker: Worker,
    serving: ServerHandle,
}

async fn fixture() -> Fixture {
    let (pool, book) = (ThreadPool::new(1), Book::new());
    let spec = Spec {
        name: Name::new("w"),
        site: Site::new("r", "dc"),
        rack: Name::new("rack"),
        ip: ANY.ip(),
        capacity: Resources::new(4_000, 8_192, 0),
    };
    let worker = Worker::new(spec, &pool, Ground::default(), book.clone());
    let serving = worker.serve().expect("loopback has free ports");
    let client = new_client(Millis(2_000)).await;
    Fixture {
        client,
        pool,
        book,
        worker,
        serving,
    }
}

fn exchange(owner: &str, view: u64, rank: u32) -> Exchange {
    Exchange {
        owner: owner.to_owned(),
        token: Token { view, rank },
        control_lease_ms: LONG_LEASE_MS,
        task_lease_ms: LONG_LEASE_MS,
        commands: Vec::new(),
        known_version: 0,
        release: false,
    }
}

fn start(index: u32, cpu_milli: u64, slots: u32) -> Start {
    Start {
        task: TaskId::new(JobId(9), index, 0).to_string(),
        workload: "any".to_owned(),
        size: Size {
            cpu_milli,
            memory_mib: 1_024,
            accelerators: 0,
        },
        run_time_ms: 0,
        not_after_ms: LONG_LEASE_MS,
        sent_unix_ms: kspan_lab::clock::unix_ms(),
        slots,
        connections: 64,
    }
}

impl Fixture {
    async fn send(&self, exchange: &Exchange) -> Report {
        let url = format!("http://{}/v1/exchange", self.serving.address);
        let sent = self.client.post(url).send_json(exchange).await;
        let res = sent.expect("the worker answers");
        res.json().await.expect("a report")
    }

    async fn command(&self, command: Command) -> Report {
        let mut body = exchange("a#1", 1, 0);
        body.commands = vec![command];
        self.send(&body).await
    }
}

#[ntex::test]
async fn a_worker_grants_one_control_lease_by_fence() {
    let f = fixture().await;
    assert!(f.send(&exchange("a#1", 5, 1)).await.granted);
    let refused = f.send(&exchange("b#1", 6, 0)).await;
    assert!(!refused.granted, "the lease of a#1 is in force");
    assert_eq!(refused.token, Token { view: 5, rank: 1 });
    assert!(!f.send(&exchange("a#1", 5, 0)).await.granted, "lower");
    assert!(
        !f.send(&exchange("b#1", 5, 1)).await.granted,
        "equal, but another"
    );
    assert!(f.send(&exchange("a#1", 5, 1)).await.granted, "renewed");
    assert!(f.send(&exchange("a#2", 6, 0)).await.granted, "same name");
    let mut release = exchange("a#2", 6, 0);
    release.release = true;
    assert!(f.send(&release).await.granted);
    assert!(f.send(&exchange("b#1", 7, 0)).await.granted, "released");
    assert!(!f.send(&exchange("a#2", 6, 0)).await.granted, "superseded");
    assert_eq!(f.book.records().grants.len(), 3);
}

#[ntex::test]
async fn a_worker_grants_a_higher_fence_after_the_lapse() {
    let f = fixture().await;
    let mut short = exchange("a#1", 1, 0);
    short.control_lease_ms = 50;
    assert!(f.send(&short).await.granted);
    tokio::time::sleep(Duration::from_millis(80)).await;
    assert!(f.send(&exchange("b#1", 1, 1)).await.granted);
}

#[ntex::test]
async fn a_worker_starts_within_its_capacity_and_once() {
    let f = fixture().await;
    let first = f.command(Command::Start(start(0, 3_000, 0))).await;
    assert_eq!(first.results[0].refused, None);
    let again = f.command(Command::Start(start(0, 3_000, 0))).await;
    assert_eq!((again.results[0].refused, again.tasks.len()), (None, 1));
    let full = f.command(Command::Start(start(1, 3_000, 0))).await;
    assert_eq!(full.results[0].refused, Some(Refusal::NoCapacity));
    let mut late = start(2, 100, 0);
    late.sent_unix_ms -= LONG_LEASE_MS + 1_000;
    let late = f.command(Command::Start(late)).await;
    assert_eq!(late.results[0].refused, Some(Refusal::TooLate));
    f.worker.set_behaviour(|behaviour| behaviour.leaving = true);
    let leaving = f.command(Command::Start(start(3, 100, 0))).await;
    assert_eq!(leaving.results[0].refused, Some(Refusal::Leaving));
    let records = f.book.records();
    assert_eq!((records.tasks.len(), records.refused_starts), (1, 1));
}

#[ntex::test]
async fn a_task_without_its_lease_is_stopped() {
    let f = fixture().await;
    let mut body = exchange("a#1", 1, 0);
    body.task_lease_ms = 30;
    body.commands = vec![Command::Start(start(0, 100, 0))];
    f.send(&body).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let report = f.send(&exchange("a#1", 1, 0)).await;
    assert_eq!(report.tasks[0].state, TaskState::LeaseLapsed);
    assert!(f.book.records().tasks[0].ended.is_some());
}

#[ntex::test]
async fn an_inventory_tells_only_what_changed() {
    let f = fixture().await;
    f.command(Command::Start(start(0, 100, 0))).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let all = f.send(&exchange("a#1", 1, 0)).await;
    assert_eq!((all.full, all.tasks.len()), (true, 1));
    let mut known = exchange("a#1", 1, 0);
    known.known_version = all.version;
    let none = f.send(&known).await;
    assert_eq!((none.full, none.tasks.len()), (false, 0));
    let task = start(0, 100, 0).task;
    known.commands = vec![Command::Stop { task, grace_ms: 0 }];
    let ended = f.send(&known).await;
    assert_eq!(ended.tasks[0].state, TaskState::Stopped);
}

#[ntex::test]
async fn a_started_runner_answers_and_is_recorded() {
    let f = fixture().await;
    f.command(Command::Start(start(0, 100, 8))).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let report = f.send(&exchange("a#1", 1, 0)).await;
    let endpoint = report.tasks[0].endpoint.unwrap();
    let url = format!("http://{endpoint}/s/a/b/{}", segment(3));
    let body = f
        .client
        .post(url)
        .send()
        .await
        .unwrap()
        .body()
        .await
        .unwrap();
    assert_eq!(*body, *expected_body(3).as_bytes());
    let task = start(0, 100, 8).task;
    let grace_ms = 5_000;
    f.command(Command::Stop { task, grace_ms }).await;
    let url = format!("http://{endpoint}/healthz");
    let health: Health = f
        .client
        .get(url)
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    assert!(health.draining);
    let records = f.book.records();
    assert_eq!(records.executions.len(), 1);
    assert!(records.executions[0].ended.is_some());
}

#[ntex::test]
async fn a_truncated_answer_is_seen_as_cut() {
    let f = fixture().await;
    let behaviour = Behaviour {
        misbehaviour: Misbehaviour::Truncate,
        ..Behaviour::default()
    };
    let runner = Runner::new(
        TaskId::new(JobId(1), 0, 0),
        8,
        64,
        behaviour,
        f.book.clone(),
    );
    let serving = runner.serve(&f.pool, ANY).unwrap();
    let url = format!("http://{}/x/{}", serving.address, segment(1));
    let whole = match f.client.get(url).send().await {
        Ok(res) => res.body().await.is_ok(),
        Err(_) => false,
    };
    assert!(!whole);
    assert_eq!(f.book.records().executions[0].ended, None);
}

#[ntex::test]
async fn the_log_orders_forgets_limits_and_loses_answers() {
    let (pool, log) = (ThreadPool::new(1), Log::new());
    let serving = log.serve(&pool, ANY).unwrap();
    let client = new_client(Millis(400)).await;
    let append = || client.post(format!("http://{}/v1/append", serving.address));
    let read = async |from: u64| -> Batch {
        let url = format!(
            "http://{}/v1/read?from={from}&max=10&wait_ms=0",
            serving.address
        );
        client.get(url).send().await.unwrap().json().await.unwrap()
    };
    let first: Appended = append().send_body("a").await.unwrap().json().await.unwrap();
    assert_eq!(first.offset, 1);
    log.set_behaviour(|behaviour| behaviour.lose_response_every = 2);
    assert!(append().send_body("b").await.is_err(), "the answer is lost");
    let batch = read(0).await;
    let data: Vec<&str> = batch
        .records
        .iter()
        .map(|entry| entry.data.as_str())
        .collect();
    assert_eq!((batch.first, batch.next, data), (1, 3, vec!["a", "b"]));
    log.forget_all_but(1);
    let batch = read(0).await;
    assert_eq!((batch.first, batch.records[0].offset), (2, 2));
    log.set_behaviour(|behaviour| behaviour.outage = true);
    assert_eq!(
        append().send_body("c").await.unwrap().status().as_u16(),
        503
    );
    log.set_behaviour(|behaviour| {
        *behaviour = log::Behaviour {
            appends_per_second: 0.0,
            ..log::Behaviour::default()
        }
    });
    let mut statuses = Vec::new();
    for _ in 0..120 {
        let answer = tokio::time::timeout(Duration::from_millis(50), append().send_body("d"));
        statuses.extend(
            answer
                .await
                .ok()
                .and_then(Result::ok)
                .map(|res| res.status().as_u16()),
        );
    }
    assert!(statuses.contains(&429));
}
