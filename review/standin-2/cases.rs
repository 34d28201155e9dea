//! The cases. Each returns the broken rules, or `None` if it couldn't run.

use std::sync::atomic::Ordering;

use crate::{
    check::{self, Lasting},
    cluster::{self, Cluster, Route},
    record::Record,
    runner::ORDERS,
};

/// Capacity of a runner on the users' sheet: 16 cores and 64 GB.
const CPU: u64 = 16_000;
const MEMORY_MB: u64 = 65_536;

const WATCH: Route = Route {
    prefix: "/watch/",
    max_attempts: 4,
    advice: "",
};
const BATCH: Route = Route {
    prefix: "/batch/",
    max_attempts: 3,
    advice: "",
};

fn lasting_tasks(id: &str, count: usize, accepted: u64) -> Vec<Lasting> {
    let task = |index| Lasting {
        task: format!("{id}.0.0.{index}"),
        accepted,
    };
    (0..count).map(task).collect()
}

/// A start to one runner is delivered late; the runner has started again under its id meanwhile.
pub fn late(has_trouble: bool, record: &Record) -> Option<Vec<String>> {
    /// Largest share of orders that are carried out late, as in the site file, in thousandths.
    const MAX_LATE_MILLI: u64 = 55;
    /// Attempts at one start.
    const LATE_ORDERS: u64 = 3;
    let kinds = (0..8).map(|number| {
        // The smallest runner that has room gets a task first.
        let cpu = if number == 0 { CPU / 2 } else { CPU };
        let mut kind = cluster::plain(number, cpu, MEMORY_MB);
        if number >= 4 {
            kind.labels[0] = "b".to_owned();
        }
        kind
    });
    let cluster = Cluster::start(3, kinds.collect(), &[BATCH], record)?;
    cluster.wait(2_000);
    let runner = cluster.runners[0].clone();
    let submit = |id: &str, spec: &str, count: u32, more: &str| {
        let body = format!(
            "{{\"Spec\":\"{spec}\",\"Steps\":[{{\"Count\":{count},\"Cpu\":1000,\"MemMb\":2048,\
             \"EstRuntimeMs\":2500{more}}}]}}"
        );
        cluster.call("POST", &format!("/batch/{id}"), &body) == 200
    };
    // A task that fails by its own fault, so that the next run of the other one is at another runner.
    if !submit("00000000000000a4", "fail 2500", 1, "") {
        return None;
    }
    cluster.wait(1_000);
    let is_late = has_trouble && std::env::var("LATE").map_or(true, |value| value != "0");
    if is_late {
        runner.hold_starts_for(1_200);
    }
    let orders_before = ORDERS.load(Ordering::SeqCst);
    let is_accepted = submit("00000000000000a5", "run 25000", 1, "");
    // Other work on other runners.
    if !is_accepted || !submit("00000000000000a6", "run 1000", 64, ",\"Constraints\":\"b\"") {
        return None;
    }
    cluster.wait(3_000);
    let orders = ORDERS.load(Ordering::SeqCst) - orders_before;
    record.add(format!(
        "{LATE_ORDERS} of {orders} orders within 3 s are held up"
    ));
    if orders * MAX_LATE_MILLI < LATE_ORDERS * 1_000 {
        return None;
    }
    if has_trouble && std::env::var("CRASH").map_or(true, |value| value != "0") {
        runner.crash_for(2_500);
    }
    cluster.wait(10_000);
    Some(check::twice(&cluster.runs, record.now()))
}

/// Tasks that fill run on all runners; then tasks that serve are handed in.
pub fn fills(has_trouble: bool, record: &Record) -> Option<Vec<String>> {
    let kinds = (0..8)
        .map(|number| cluster::plain(number, CPU, MEMORY_MB))
        .collect();
    let cluster = Cluster::start(3, kinds, &[WATCH, BATCH], record)?;
    let fills = if has_trouble { ",\"Fills\":true" } else { "" };
    let batch = format!(
        "{{\"Spec\":\"run 40000\",\"Steps\":[{{\"Count\":8,\"Cpu\":2000,\"MemMb\":4096,\
         \"EstRuntimeMs\":40000,\"AntiAffinity\":1{fills}}}]}}"
    );
    if cluster.call("POST", "/batch/5c0e7a21d94b36f8", &batch) != 200 {
        return None;
    }
    cluster.wait(3_000);
    if cluster.runners.iter().any(|runner| runner.running() != 1) {
        record.add("the batch tasks don't run on all runners");
        return None;
    }
    let id = "00000000000000a1";
    let watch = "{\"Spec\":\"last\",\"Steps\":[{\"Count\":2,\"Cpu\":2000,\"MemMb\":4096,\
                 \"EstRuntimeMs\":400,\"LongRunning\":true,\"Image\":\"watch\",\"TargetMs\":200}]}";
    if cluster.call("POST", &format!("/watch/{id}"), watch) != 200 {
        return None;
    }
    let accepted = record.now();
    cluster.wait(20_000);
    record.add(format!(
        "state of {id}: {}",
        cluster.state(&format!("/watch/{id}"))
    ));
    Some(check::missing(
        &lasting_tasks(id, 2, accepted),
        &cluster.runs,
        &[],
        record.now(),
    ))
}

/// The rack of a job's data is full for a while; the tasks of the job last.
pub fn affinity(has_trouble: bool, record: &Record) -> Option<Vec<String>> {
    let kinds = (0..16)
        .map(|number| cluster::plain(number, CPU, MEMORY_MB))
        .collect();
    let cluster = Cluster::start(3, kinds, &[WATCH, BATCH], record)?;
    if has_trouble {
        let batch = "{\"Spec\":\"run 40000\",\"Steps\":[{\"Count\":8,\"Cpu\":12000,\"MemMb\":8192,\
                     \"EstRuntimeMs\":40000,\"Affinity\":\"r1-1\"}]}";
        if cluster.call("POST", "/batch/5c0e7a21d94b36f8", batch) != 200 {
            return None;
        }
        cluster.wait(3_000);
        if cluster.runners[..8]
            .iter()
            .any(|runner| runner.running() != 1)
        {
            record.add("the batch tasks don't fill the rack");
            return None;
        }
    }
    let id = "00000000000000e1";
    let watch = "{\"Spec\":\"last\",\"Steps\":[{\"Count\":2,\"Cpu\":8000,\"MemMb\":4096,\
                 \"EstRuntimeMs\":30000,\"LongRunning\":true,\"Affinity\":\"r1-1\"}]}";
    if cluster.call("POST", &format!("/watch/{id}"), watch) != 200 {
        return None;
    }
    let accepted = record.now();
    cluster.wait(20_000);
    record.add(format!(
        "state of {id}: {}",
        cluster.state(&format!("/watch/{id}"))
    ));
    Some(check::missing(
        &lasting_tasks(id, 2, accepted),
        &cluster.runs,
        &[],
        record.now(),
    ))
}

/// A gang runs on all runners while some of them fail all that they start.
pub fn gang(has_trouble: bool, record: &Record) -> Option<Vec<String>> {
    let kinds = (0..36)
        .map(|number| cluster::plain(number, CPU, MEMORY_MB))
        .collect();
    let cluster = Cluster::start(3, kinds, &[BATCH], record)?;
    if has_trouble {
        cluster.runners[..3]
            .iter()
            .for_each(|runner| runner.set_grey(true));
    }
    let path = "/batch/00000000000000f1";
    let body = "{\"Spec\":\"gang 36 1500\",\"Steps\":[{\"Count\":36,\"Cpu\":2000,\"MemMb\":4096,\
                \"EstRuntimeMs\":1500,\"Gang\":true,\"AntiAffinity\":1}]}";
    if cluster.call("POST", path, body) != 200 {
        return None;
    }
    cluster.wait(6_500);
    if has_trouble {
        cluster.runners[..3]
            .iter()
            .for_each(|runner| runner.set_grey(false));
    }
    cluster.wait(20_000);
    let state = cluster.state(path);
    record.add(format!("state of {path}: {state}"));
    let runs = cluster.runs.lock().expect("no handler panics");
    let failed = runs.iter().filter(|run| run.how == "failed");
    let failed: std::collections::BTreeSet<u64> = failed.map(|run| run.run).collect();
    record.add(format!(
        "runs of the gang with a member that failed: {failed:?}"
    ));
    let mut broken = Vec::new();
    if state.contains("failed") && failed.len() < BATCH.max_attempts as usize {
        let (count, max) = (failed.len(), BATCH.max_attempts);
        broken.push(format!(
            "LOST: {path} is shown as failed; its gang failed {count} times, of {max} allowed"
        ));
    }
    Some(broken)
}

/// Another writer leaves an entry in the host list; later the machine that owns the cell is lost.
pub fn odd(has_trouble: bool, record: &Record) -> Option<Vec<String>> {
    let kinds = (0..6)
        .map(|number| cluster::plain(number, CPU, MEMORY_MB))
        .collect();
    let mut cluster = Cluster::start(4, kinds, &[WATCH], record)?;
    if std::env::var("ODD").map_or(true, |value| value != "0") {
        let dark = std::net::TcpListener::bind("127.0.0.1:0")
            .ok()?
            .local_addr()
            .ok()?;
        let entry = format!(
            "{{\"Service\":\"{}\",\"Addr\":\"{dark}\",\"State\":\"ready\",\
             \"Capacity\":{{\"Cpu\":{CPU},\"MemMb\":{MEMORY_MB},\"Gpus\":0}}}}",
            cluster::SERVICE
        );
        cluster.store.put("keyed.servers", "i-other-writer", &entry);
        record.add(format!("another writer's entry: {entry}"));
    }
    cluster.wait(8_000);
    lose_owner_as_tasks_fail(&mut cluster, has_trouble, "00000000000000c1")
}

/// A runner is lost for good while the cell changes hands; much later the machine that owns the cell is
/// lost.
pub fn ghost(has_trouble: bool, record: &Record) -> Option<Vec<String>> {
    let kinds = (0..6)
        .map(|number| cluster::plain(number, CPU, MEMORY_MB))
        .collect();
    let mut cluster = Cluster::start(5, kinds, &[WATCH], record)?;
    cluster.wait(3_000);
    let owner = cluster.owner()?;
    cluster.runners[5].lose();
    cluster.remove(owner);
    cluster.wait(40_000);
    lose_owner_as_tasks_fail(&mut cluster, has_trouble, "00000000000000d1")
}

/// Lets a job's tasks run, and removes the machine that owns the cell just before they fail.
fn lose_owner_as_tasks_fail(
    cluster: &mut Cluster,
    has_trouble: bool,
    id: &str,
) -> Option<Vec<String>> {
    const RUN_MS: u64 = 6_000;
    let record = cluster.record.clone();
    let body = format!(
        "{{\"Spec\":\"flaky {RUN_MS}\",\"Steps\":[{{\"Count\":3,\"Cpu\":1000,\"MemMb\":1024,\
         \"EstRuntimeMs\":400,\"LongRunning\":true,\"AntiAffinity\":1}}]}}"
    );
    if cluster.call("POST", &format!("/watch/{id}"), &body) != 200 {
        return None;
    }
    let accepted = record.now();
    cluster.wait(RUN_MS - 500);
    let mut disruptions = Vec::new();
    if has_trouble {
        let owner = cluster.owner()?;
        cluster.remove(owner);
        disruptions.push(record.now());
    }
    cluster.wait(22_000);
    record.add(format!(
        "state of {id}: {}",
        cluster.state(&format!("/watch/{id}"))
    ));
    Some(check::missing(
        &lasting_tasks(id, 3, accepted),
        &cluster.runs,
        &disruptions,
        record.now(),
    ))
}
