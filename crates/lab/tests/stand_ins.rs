//! Tests that the stand-ins implement the platform's protocols.

use std::{net::SocketAddr, time::Duration};

use kspan_contract::protocol::{
    log::{Appended, Batch},
    runner::Health,
    worker::{Command, Exchange, Refusal, Report, Size, Start, TaskState, Token},
};
use kspan_lab::{
    http::{ServerHandle, ThreadPool},
    load::requests::new_client,
    record::Recorder,
    standin::{
        log::{self, Log},
        runner::{Behaviour, Misbehaviour, Runner},
        worker::{RunTimeModel, Worker, WorkerSpec},
    },
    token::{expected_body, segment},
};
use kspan_model::{JobId, Name, Resources, Site, TaskId};
use ntex::{client::Client, time::Millis};

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const LONG_LEASE_MS: u64 = 60_000;

struct Fixture {
    client: Client,
    pool: ThreadPool,
    recorder: Recorder,
    worker: Worker,
    server: ServerHandle,
}

async fn new_fixture() -> Fixture {
    let (pool, recorder) = (ThreadPool::new(1), Recorder::new());
    let spec = WorkerSpec {
        name: Name::new("w"),
        site: Site::new("r", "dc"),
        rack: Name::new("rack"),
        ip: ANY_PORT.ip(),
        capacity: Resources::new(4_000, 8_192, 0),
    };
    let worker = Worker::new(spec, &pool, RunTimeModel::default(), recorder.clone());
    let server = worker.serve().expect("loopback has free ports");
    let client = new_client(Millis(2_000)).await;
    Fixture {
        client,
        pool,
        recorder,
        worker,
        server,
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
        let url = format!("http://{}/v1/exchange", self.server.address);
        let sent = self.client.post(url).send_json(exchange).await;
        let res = sent.expect("the worker responds");
        res.json().await.expect("a report")
    }

    async fn command(&self, command: Command) -> Report {
        let mut body = exchange("a#1", 1, 0);
        body.commands = vec![command];
        self.send(&body).await
    }
}

#[ntex::test]
async fn control_lease_is_granted_by_fencing_token() {
    let fixture = new_fixture().await;
    assert!(fixture.send(&exchange("a#1", 5, 1)).await.granted);
    let refused = fixture.send(&exchange("b#1", 6, 0)).await;
    assert!(!refused.granted, "the lease of a#1 has not expired");
    assert_eq!(refused.token, Token { view: 5, rank: 1 });
    assert!(
        !fixture.send(&exchange("a#1", 5, 0)).await.granted,
        "lower token"
    );
    assert!(
        !fixture.send(&exchange("b#1", 5, 1)).await.granted,
        "equal token of another owner"
    );
    assert!(
        fixture.send(&exchange("a#1", 5, 1)).await.granted,
        "renewed"
    );
    assert!(
        fixture.send(&exchange("a#2", 6, 0)).await.granted,
        "new incarnation of the owner"
    );
    let mut release = exchange("a#2", 6, 0);
    release.release = true;
    assert!(fixture.send(&release).await.granted);
    assert!(
        fixture.send(&exchange("b#1", 7, 0)).await.granted,
        "released"
    );
    assert!(
        !fixture.send(&exchange("a#2", 6, 0)).await.granted,
        "superseded"
    );
    assert_eq!(fixture.recorder.records().grants.len(), 3);
}

#[ntex::test]
async fn expired_control_lease_is_granted_to_a_higher_token() {
    let fixture = new_fixture().await;
    let mut short = exchange("a#1", 1, 0);
    short.control_lease_ms = 50;
    assert!(fixture.send(&short).await.granted);
    tokio::time::sleep(Duration::from_millis(80)).await;
    assert!(fixture.send(&exchange("b#1", 1, 1)).await.granted);
}

#[ntex::test]
async fn start_is_idempotent_and_refused_without_capacity_too_late_or_when_leaving() {
    let fixture = new_fixture().await;
    let first = fixture.command(Command::Start(start(0, 3_000, 0))).await;
    assert_eq!(first.results[0].refused, None);
    let again = fixture.command(Command::Start(start(0, 3_000, 0))).await;
    assert_eq!((again.results[0].refused, again.tasks.len()), (None, 1));
    let full = fixture.command(Command::Start(start(1, 3_000, 0))).await;
    assert_eq!(full.results[0].refused, Some(Refusal::NoCapacity));
    let mut late = start(2, 100, 0);
    late.sent_unix_ms -= LONG_LEASE_MS + 1_000;
    let late = fixture.command(Command::Start(late)).await;
    assert_eq!(late.results[0].refused, Some(Refusal::TooLate));
    fixture
        .worker
        .set_behaviour(|behaviour| behaviour.leaving = true);
    let leaving = fixture.command(Command::Start(start(3, 100, 0))).await;
    assert_eq!(leaving.results[0].refused, Some(Refusal::Leaving));
    let records = fixture.recorder.records();
    assert_eq!((records.tasks.len(), records.refused_starts), (1, 1));
}

#[ntex::test]
async fn task_ends_when_its_lease_expires() {
    let fixture = new_fixture().await;
    let mut body = exchange("a#1", 1, 0);
    body.task_lease_ms = 30;
    body.commands = vec![Command::Start(start(0, 100, 0))];
    fixture.send(&body).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let report = fixture.send(&exchange("a#1", 1, 0)).await;
    assert_eq!(report.tasks[0].state, TaskState::LeaseLapsed);
    assert!(fixture.recorder.records().tasks[0].ended.is_some());
}

#[ntex::test]
async fn inventory_lists_only_changes_since_the_known_version() {
    let fixture = new_fixture().await;
    fixture.command(Command::Start(start(0, 100, 0))).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let all = fixture.send(&exchange("a#1", 1, 0)).await;
    assert_eq!((all.full, all.tasks.len()), (true, 1));
    let mut known = exchange("a#1", 1, 0);
    known.known_version = all.version;
    let none = fixture.send(&known).await;
    assert_eq!((none.full, none.tasks.len()), (false, 0));
    let task = start(0, 100, 0).task;
    known.commands = vec![Command::Stop { task, grace_ms: 0 }];
    let ended = fixture.send(&known).await;
    assert_eq!(ended.tasks[0].state, TaskState::Stopped);
}

#[ntex::test]
async fn started_runner_answers_and_records_the_execution() {
    let fixture = new_fixture().await;
    fixture.command(Command::Start(start(0, 100, 8))).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let report = fixture.send(&exchange("a#1", 1, 0)).await;
    let endpoint = report.tasks[0].endpoint.unwrap();
    let url = format!("http://{endpoint}/s/a/b/{}", segment(3));
    let body = fixture
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
    fixture.command(Command::Stop { task, grace_ms }).await;
    let url = format!("http://{endpoint}/healthz");
    let health: Health = fixture
        .client
        .get(url)
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    assert!(health.draining);
    let records = fixture.recorder.records();
    assert_eq!(records.executions.len(), 1);
    assert!(records.executions[0].ended.is_some());
}

#[ntex::test]
async fn truncated_answer_fails_at_the_client() {
    let fixture = new_fixture().await;
    let behaviour = Behaviour {
        misbehaviour: Misbehaviour::Truncate,
        ..Behaviour::default()
    };
    let runner = Runner::new(
        TaskId::new(JobId(1), 0, 0),
        8,
        64,
        behaviour,
        fixture.recorder.clone(),
    );
    let server = runner.serve(&fixture.pool, ANY_PORT).unwrap();
    let url = format!("http://{}/x/{}", server.address, segment(1));
    let is_complete = match fixture.client.get(url).send().await {
        Ok(res) => res.body().await.is_ok(),
        Err(_) => false,
    };
    assert!(!is_complete);
    assert_eq!(fixture.recorder.records().executions[0].ended, None);
}

#[ntex::test]
async fn log_orders_truncates_rate_limits_and_loses_responses() {
    let (pool, log) = (ThreadPool::new(1), Log::new());
    let server = log.serve(&pool, ANY_PORT).unwrap();
    let client = new_client(Millis(400)).await;
    let append = || client.post(format!("http://{}/v1/append", server.address));
    let read = async |from: u64| -> Batch {
        let url = format!(
            "http://{}/v1/read?from={from}&max=10&wait_ms=0",
            server.address
        );
        client.get(url).send().await.unwrap().json().await.unwrap()
    };
    let first: Appended = append().send_body("a").await.unwrap().json().await.unwrap();
    assert_eq!(first.offset, 1);
    log.set_behaviour(|behaviour| behaviour.lose_response_every = 2);
    assert!(
        append().send_body("b").await.is_err(),
        "the response is lost"
    );
    let batch = read(0).await;
    let data: Vec<&str> = batch
        .records
        .iter()
        .map(|entry| entry.data.as_str())
        .collect();
    assert_eq!((batch.first, batch.next, data), (1, 3, vec!["a", "b"]));
    log.retain_newest(1);
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
