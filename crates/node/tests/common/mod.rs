//! A small log and host list for tests, and nodes that use them.

#![allow(dead_code, unreachable_pub, reason = "each test file uses its part")]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
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

/// What the stand-in does.
#[derive(Default)]
pub struct StandIn {
    pub log: Mutex<Log>,
    pub hosts: Mutex<HostList>,
    pub down: AtomicBool,
    /// Text of the records that the faults of single appends strike; empty for all records.
    ///
    /// A node appends records of its own, as a snapshot soon after it becomes a member.
    pub strikes: Mutex<String>,
    /// Appends that take effect but whose answers are lost.
    pub lose_answers: AtomicU32,
    /// Appends that are lost before they take effect, with an unusable answer.
    pub lose_requests: AtomicU32,
    /// Whether the log goes down after the next append took effect.
    pub down_after_append: AtomicBool,
    /// Time that an append takes before it takes effect, in milliseconds.
    pub append_delay_ms: AtomicU32,
    pub appends: AtomicU32,
}

pub type Shared = Arc<StandIn>;

#[derive(serde::Deserialize)]
struct Query {
    from: u64,
    max: usize,
    wait_ms: u64,
}

fn take_one(count: &AtomicU32) -> bool {
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
        .is_ok()
}

async fn append(shared: web::types::State<Shared>, body: String) -> HttpResponse {
    if shared.down.load(Ordering::SeqCst) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    shared.appends.fetch_add(1, Ordering::SeqCst);
    let is_struck = body.contains(shared.strikes.lock().unwrap().as_str());
    if is_struck && take_one(&shared.lose_requests) {
        return HttpResponse::BadGateway().finish();
    }
    let delay_ms = shared.append_delay_ms.load(Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(delay_ms.into())).await;
    // Down before the record can be read, else a read that waits brings it out of the outage.
    if is_struck && shared.down_after_append.swap(false, Ordering::SeqCst) {
        shared.down.store(true, Ordering::SeqCst);
    }
    let offset = shared.put(body);
    if is_struck && take_one(&shared.lose_answers) {
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

impl StandIn {
    pub fn put(&self, data: String) -> u64 {
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

    /// Forgets everything before an offset.
    pub fn forget_before(&self, offset: u64) {
        let mut log = self.log.lock().unwrap();
        let gone = usize::try_from(offset - log.first).unwrap();
        log.entries.drain(..gone);
        log.first = offset;
    }
}

/// Starts a log and host list on one address.
pub fn platform() -> (Shared, SocketAddr) {
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

/// Makes the settings of the `i`th process, on free ports of a loopback address of its own.
pub fn settings(i: u8, region: &str, platform: SocketAddr) -> Settings {
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1 + i));
    let free = || TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap();
    Settings {
        name: format!("node-{i:02}").as_str().into(),
        host: format!("host-{i:02}").as_str().into(),
        cell: "test".into(),
        region: region.into(),
        data_centre: format!("{region}-1").as_str().into(),
        listen: Listen {
            http: free(),
            admin: free(),
            wire: free(),
        },
        platform: Platform {
            log: platform,
            hosts: platform,
        },
        log_level: "info".to_owned(),
        stop_grace_ms: 1_000,
        faults: Some(Faults::default()),
    }
}

pub struct Running {
    pub node: Node,
    pub events: ring::Receiver<Event>,
}

pub fn start(i: u8, region: &str, role: Role, platform: SocketAddr) -> Running {
    let (node, events) = kspan_node::start(settings(i, region, platform), role).unwrap();
    Running { node, events }
}

/// Waits until a condition holds; the limit only ends a test that has failed.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) -> Duration {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < Duration::from_secs(30), "never: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
    started.elapsed()
}

pub fn block_on<T: 'static>(f: impl Future<Output = T> + 'static) -> T {
    System::new("test", DefaultRuntime).block_on(f)
}
