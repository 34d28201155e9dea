use std::net::Ipv4Addr;

use kspan_jobs::runner::RunnerEntry;
use kspan_model::{Name, Resources};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    time::Instant,
};

use super::*;
use crate::owner::tests::answers::EMPTY_INVENTORY;

/// Starts a runner that answers each inventory call after `delay`.
async fn start_runner(delay: Duration) -> RunnerEntry {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let addr = listener.local_addr().expect("a bound port").to_string();
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            ntex::rt::spawn(async move {
                let mut buf = [0; 4_096];
                while let Ok(length @ 1..) = stream.read(&mut buf).await {
                    if !buf[..length].ends_with(b"}") {
                        continue;
                    }
                    tokio::time::sleep(delay).await;
                    if stream.write_all(EMPTY_INVENTORY.as_bytes()).await.is_err() {
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
