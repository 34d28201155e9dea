//! Fake log and host list for tests, and nodes that use them.

#![allow(dead_code, unreachable_pub, reason = "each test file uses its part")]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "../../../../tests/loopback/mod.rs"]
mod loopback;

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use kspan_contract::protocol::{
    hosts::HostList,
    log::{Appended, Batch, Entry},
};
use kspan_model::Role;
use kspan_node::{
    Event, Node, ring,
    settings::{Faults, Listen, Platform, Settings},
};
use ntex::{
    rt::{DefaultRuntime, System},
    web::{self, App, HttpResponse, HttpServer},
};

#[derive(Default)]
pub struct Log {
    pub first: u64,
    pub entries: Vec<Entry>,
}

/// State and injected faults of the fake platform.
#[derive(Default)]
pub struct FakePlatform {
    pub log: Mutex<Log>,
    pub hosts: Mutex<HostList>,
    pub down: AtomicBool,
    /// Text that a record must contain to be affected by the faults of single appends; empty for
    /// all records.
    ///
    /// Needed because a node also appends records of its own, such as a snapshot soon after it
    /// becomes a member.
    pub fault_filter: Mutex<String>,
    /// Number of appends that take effect but whose answers are lost.
    pub lose_answers: AtomicU32,
    /// Number of appends that fail with an unusable answer before they take effect.
    pub lose_requests: AtomicU32,
    /// Whether the log goes down with the next append, which still takes effect.
    pub down_after_append: AtomicBool,
    /// Delay before an append takes effect, in milliseconds.
    pub append_delay_ms: AtomicU32,
    pub appends: AtomicU32,
}

pub type Shared = Arc<FakePlatform>;

#[derive(serde::Deserialize)]
struct Query {
    from: u64,
    max: usize,
    wait_ms: u64,
}

fn decrement(count: &AtomicU32) -> bool {
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
        .is_ok()
}

async fn append(shared: web::types::State<Shared>, body: String) -> HttpResponse {
    if shared.down.load(Ordering::SeqCst) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    shared.appends.fetch_add(1, Ordering::SeqCst);
    let is_affected = body.contains(shared.fault_filter.lock().unwrap().as_str());
    if is_affected && decrement(&shared.lose_requests) {
        return HttpResponse::BadGateway().finish();
    }
    let delay_ms = shared.append_delay_ms.load(Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(delay_ms.into())).await;
    // The log must be down before the record is readable; otherwise a waiting read returns it.
    if is_affected && shared.down_after_append.swap(false, Ordering::SeqCst) {
        shared.down.store(true, Ordering::SeqCst);
    }
    let offset = shared.push_entry(body);
    if is_affected && decrement(&shared.lose_answers) {
        return HttpResponse::BadGateway().finish();
    }
    HttpResponse::Ok().json(&Appended { offset })
}

async fn read(shared: web::types::State<Shared>, query: web::types::Query<Query>) -> HttpResponse {
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let batch = shared.batch(query.from, query.max);
        if shared.down.load(Ordering::SeqCst) {
            return HttpResponse::ServiceUnavailable().finish();
        }
        if !batch.records.is_empty() || Instant::now() >= deadline {
            return HttpResponse::Ok().json(&batch);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn hosts(shared: web::types::State<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(&*shared.hosts.lock().unwrap())
}

impl FakePlatform {
    pub fn push_entry(&self, data: String) -> u64 {
        let mut log = self.log.lock().unwrap();
        let offset = log.first + log.entries.len() as u64;
        log.entries.push(Entry {
            offset,
            time_ms: 1_000 + offset,
            data,
        });
        offset
    }

    pub fn batch(&self, from: u64, max: usize) -> Batch {
        let log = self.log.lock().unwrap();
        let next = log.first + log.entries.len() as u64;
        let skip = usize::try_from(from.saturating_sub(log.first)).unwrap();
        Batch {
            first: log.first,
            next,
            records: log.entries.iter().skip(skip).take(max).cloned().collect(),
        }
    }

    /// Discards all entries before an offset.
    pub fn discard_before(&self, offset: u64) {
        let mut log = self.log.lock().unwrap();
        let count = usize::try_from(offset - log.first).unwrap();
        log.entries.drain(..count);
        log.first = offset;
    }
}

/// Starts a fake log and host list on one address.
pub fn start_platform() -> (Shared, SocketAddr) {
    let shared = Shared::default();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let state = Arc::clone(&shared);
    std::thread::spawn(move || {
        System::new("platform", DefaultRuntime).block_on(async move {
            let server = HttpServer::new(async move || {
                App::new()
                    .state(Arc::clone(&state))
                    .state(web::types::PayloadConfig::new(1_000_000))
                    .route("/v1/append", web::post().to(append))
                    .route("/v1/read", web::get().to(read))
                    .route("/v1/hosts", web::get().to(hosts))
            });
            let server = server.workers(1).disable_signals();
            server.listen(listener).unwrap().run().await.unwrap();
        });
    });
    (shared, addr)
}

/// Creates the settings of process `i`, on free ports of a loopback address of its own.
pub fn settings(i: u8, region: &str, platform: SocketAddr) -> Settings {
    let [http, admin, wire] = loopback::free_ports(loopback::own_address());
    Settings {
        name: format!("node-{i:02}").as_str().into(),
        host: format!("host-{i:02}").as_str().into(),
        cell: "test".into(),
        region: region.into(),
        data_centre: format!("{region}-1").as_str().into(),
        listen: Listen { http, admin, wire },
        platform: Platform {
            log: platform,
            hosts: platform,
        },
        log_level: "info".to_owned(),
        stop_grace_ms: 1_000,
        faults: Some(Faults::default()),
    }
}

pub struct RunningNode {
    pub node: Node,
    pub events: ring::Receiver<Event>,
}

pub fn start_node(i: u8, region: &str, role: Role, platform: SocketAddr) -> RunningNode {
    let (node, events) = kspan_node::start(settings(i, region, platform), role).unwrap();
    RunningNode { node, events }
}

/// Waits until a condition holds. Panics after 30 s, far longer than a passing test waits.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < Duration::from_secs(30),
            "timed out waiting for: {what}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    started.elapsed()
}

pub fn block_on<T: 'static>(f: impl Future<Output = T> + 'static) -> T {
    System::new("test", DefaultRuntime).block_on(f)
}
