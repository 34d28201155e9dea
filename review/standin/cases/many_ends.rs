//! Small batch tasks end while the store is down, more than 500 on a runner.

use std::{path::Path, thread, time::Duration};

use crate::{
    cluster::{Cluster, PREFIX},
    store::Mode,
};

const JOBS: u64 = 60;
const TASKS: u64 = 64;

/// How long the store is down; the users' sheets have up to 4.5 s.
const OUTAGE: Duration = Duration::from_millis(4_000);

pub fn play(has_trouble: bool, folder: &Path) -> Vec<String> {
    let cluster = Cluster::start(3, 3, 32_000, 131_072, &[("batch", PREFIX)]);
    let path = |job: u64| format!("{PREFIX}{:016x}", 0xa000 + job);
    let step = format!("{{\"Count\":{TASKS},\"Cpu\":200,\"MemMb\":100,\"EstRuntimeMs\":640}}");
    let body = format!("{{\"Spec\":\"ms=640\",\"Steps\":[{step}]}}");
    let accepted: Vec<u64> = thread::scope(|scope| {
        let submit = |job: u64| {
            let accepted = cluster.submit(job as usize, &path(job), &body, Duration::from_secs(4));
            accepted.then_some(job)
        };
        let calls: Vec<_> = (0..JOBS)
            .map(|job| scope.spawn(move || submit(job)))
            .collect();
        calls
            .into_iter()
            .filter_map(|call| call.join().unwrap())
            .collect()
    });
    cluster
        .record
        .note(format!("{} jobs of {TASKS} tasks accepted", accepted.len()));
    if has_trouble {
        cluster.store.set_mode(Mode::Busy);
        cluster.record.note("the store is down".to_owned());
    }
    thread::sleep(OUTAGE);
    let open: Vec<usize> = cluster
        .runners
        .iter()
        .map(|runner| runner.open_ends())
        .collect();
    cluster
        .record
        .note(format!("ends not acknowledged, by runner: {open:?}"));
    cluster.store.set_mode(Mode::Serves);
    cluster.record.note("the store serves".to_owned());
    thread::sleep(Duration::from_secs(15));
    for job in &accepted {
        let state = cluster.state(&path(*job), Duration::from_secs(3));
        if state.as_deref() != Some("completed") {
            cluster
                .record
                .note(format!("job {} is {state:?}", path(*job)));
        }
    }
    cluster.record.write(&folder.join("record.txt"));
    cluster.record.twice()
}
