//! Samples of the running processes: processor time, memory, bytes and versions in force.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use kspan_model::Name;
use ntex::client::Client;
use serde_json::Value;

use crate::{
    clock::{Micros, now},
    record::{Book, VersionSample},
    report::{Control, RoleCost},
};

/// How often processes are sampled.
const PERIOD: Duration = Duration::from_millis(500);

/// Clock ticks a second in `/proc`, fixed on this platform.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bytes of one page in `/proc`.
const PAGE_BYTES: f64 = 4096.0;

/// Bytes of a megabyte.
const MB: f64 = 1e6;

/// A process to sample.
#[derive(Clone, Debug)]
pub struct Watched {
    /// Its name.
    pub name: Name,
    /// Its host.
    pub host: Name,
    /// Its region.
    pub region: Name,
    /// Its life.
    pub life: u32,
    /// Its id.
    pub pid: u32,
    /// Its admin address.
    pub admin: SocketAddr,
}

/// What was seen of one life of one process.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    first: Option<(Micros, f64)>,
    last: Option<(Micros, f64)>,
    memory: f64,
    sent: Option<(f64, f64)>,
    sent_away: Option<(f64, f64)>,
}

/// Host, process and life.
type Life = (Name, Name, u32);

/// Samples of all processes.
#[derive(Clone, Default)]
pub struct Sampler {
    watched: Arc<Mutex<Vec<Watched>>>,
    usage: Arc<Mutex<BTreeMap<Life, Usage>>>,
}

impl Sampler {
    /// Creates a sampler that watches nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Watches a process, in place of an earlier life.
    pub fn watch(&self, watched: Watched) {
        let mut list = self.list();
        list.retain(|other| other.name != watched.name);
        list.push(watched);
    }

    /// Watches a process no more.
    pub fn forget(&self, name: &Name) {
        self.list().retain(|watched| watched.name != *name);
    }

    /// Forgets what was used so far, so that averages start now.
    pub fn restart(&self) {
        self.usage_map().clear();
    }

    /// Samples for as long as the future is polled.
    pub async fn run(self, client: Client, book: Book) {
        loop {
            let list = self.list().clone();
            for watched in list {
                self.sample_proc(&watched);
                let (sampler, client, book) = (self.clone(), client.clone(), book.clone());
                ntex::rt::spawn(async move {
                    let asked = sampler.sample_http(&watched, &client, &book);
                    // A paused process answers nothing, which is no sample.
                    let _ = tokio::time::timeout(PERIOD, asked).await;
                });
            }
            tokio::time::sleep(PERIOD).await;
        }
    }

    /// Returns what the hosts spent on average; appends are counted by the log.
    pub fn control(&self, hosts: usize) -> Control {
        let usage = self.usage_map();
        let mut cpu: BTreeMap<&Name, f64> = BTreeMap::new();
        let mut memory: BTreeMap<&Name, f64> = BTreeMap::new();
        let (mut sent, mut away) = (0.0, 0.0);
        for ((host, _, _), usage) in usage.iter() {
            *cpu.entry(host).or_default() += usage.cpu_percent();
            *memory.entry(host).or_default() += usage.memory / MB;
            sent += usage.rate(usage.sent);
            away += usage.rate(usage.sent_away);
        }
        let hosts = hosts.max(1) as f64;
        Control {
            cpu_percent_per_host: cpu.values().sum::<f64>() / hosts,
            cpu_percent_max: cpu.values().copied().fold(0.0, f64::max),
            memory_mb_per_host: memory.values().sum::<f64>() / hosts,
            memory_mb_max: memory.values().copied().fold(0.0, f64::max),
            bytes_per_second_per_host: sent / hosts,
            cross_region_bytes_per_second: away,
            log_appends_per_second: 0.0,
            configuration_in_force_ms: None,
            roles: roles(&usage),
        }
    }

    fn sample_proc(&self, watched: &Watched) {
        let Some((cpu, memory)) = read_proc(watched.pid) else {
            return;
        };
        self.update(watched, |usage| {
            usage.first.get_or_insert((now(), cpu));
            usage.last = Some((now(), cpu));
            usage.memory = usage.memory.max(memory);
        });
    }

    async fn sample_http(&self, watched: &Watched, client: &Client, book: &Book) {
        if let Some(version) = document_version(client, watched.admin).await {
            book.records().versions.push(VersionSample {
                at: now(),
                process: watched.name.clone(),
                life: watched.life,
                version,
            });
        }
        let Some(text) = get_text(client, watched.admin, "metrics").await else {
            return;
        };
        let (all, away) = sent_bytes(&text, &watched.region);
        self.update(watched, |usage| {
            usage.sent = Some((usage.sent.map_or(all, |(first, _)| first), all));
            usage.sent_away = Some((usage.sent_away.map_or(away, |(first, _)| first), away));
        });
    }

    fn update(&self, watched: &Watched, change: impl FnOnce(&mut Usage)) {
        let key = (watched.host.clone(), watched.name.clone(), watched.life);
        change(self.usage_map().entry(key).or_default());
    }

    fn list(&self) -> MutexGuard<'_, Vec<Watched>> {
        self.watched.lock().expect("no user of the sampler panics")
    }

    fn usage_map(&self) -> MutexGuard<'_, BTreeMap<Life, Usage>> {
        self.usage.lock().expect("no user of the sampler panics")
    }
}

/// Averages over the processes whose names end in each role.
fn roles(usage: &BTreeMap<Life, Usage>) -> BTreeMap<String, RoleCost> {
    let mut sums: BTreeMap<String, (RoleCost, f64)> = BTreeMap::new();
    for ((_, name, _), usage) in usage {
        let role = name.rsplit('-').next().unwrap_or(name).to_owned();
        let (sum, count) = sums.entry(role).or_default();
        sum.cpu_percent += usage.cpu_percent();
        sum.memory_mb += usage.memory / MB;
        sum.bytes_per_second += usage.rate(usage.sent);
        *count += 1.0;
    }
    let mean = |(sum, count): (RoleCost, f64)| RoleCost {
        cpu_percent: sum.cpu_percent / count,
        memory_mb: sum.memory_mb / count,
        bytes_per_second: sum.bytes_per_second / count,
    };
    sums.into_iter()
        .map(|(role, sum)| (role, mean(sum)))
        .collect()
}

impl Usage {
    fn span(&self) -> Option<f64> {
        let (first, last) = (self.first?, self.last?);
        let span = last.0.since(first.0).as_secs_f64();
        (span > 0.0).then_some(span)
    }

    fn cpu_percent(&self) -> f64 {
        match (self.first, self.last, self.span()) {
            (Some(first), Some(last), Some(span)) => (last.1 - first.1) / span * 100.0,
            _ => 0.0,
        }
    }

    fn rate(&self, counted: Option<(f64, f64)>) -> f64 {
        match (counted, self.span()) {
            (Some((first, last)), Some(span)) => (last - first) / span,
            _ => 0.0,
        }
    }
}

/// Asks a process for the document version that it has in force.
pub async fn document_version(client: &Client, admin: SocketAddr) -> Option<u64> {
    let text = get_text(client, admin, "dump").await?;
    let dump: Value = serde_json::from_str(&text).ok()?;
    find(&dump, "document_version")?.as_u64()
}

/// Asks an admin endpoint.
pub async fn get_text(client: &Client, admin: SocketAddr, what: &str) -> Option<String> {
    let url = format!("http://{admin}/{what}");
    let res = client.get(url).send().await.ok()?;
    let body = res.body().await.ok()?;
    String::from_utf8(body.to_vec()).ok()
}

/// Finds a field anywhere in a dump, the outermost first.
pub fn find<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    let Value::Object(fields) = value else {
        return None;
    };
    fields
        .get(name)
        .or_else(|| fields.values().find_map(|inner| find(inner, name)))
}

/// Returns seconds of processor time and bytes of resident memory.
pub fn read_proc(pid: u32) -> Option<(f64, f64)> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in brackets may hold spaces, so fields are counted behind it.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let pages: f64 = fields.get(21)?.parse().ok()?;
    Some((ticks / TICKS_PER_SECOND, pages * PAGE_BYTES))
}

/// Sums the bytes that a process counted as sent, and those sent to other regions than its own.
fn sent_bytes(metrics: &str, own: &Name) -> (f64, f64) {
    let own = format!("region=\"{own}\"");
    let (mut all, mut away) = (0.0, 0.0);
    for line in metrics.lines().filter(|line| !line.starts_with('#')) {
        let Some((series, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let counts = series.contains("sent_bytes") || series.contains("bytes_sent");
        let value: f64 = value.parse().unwrap_or(0.0);
        if counts {
            all += value;
            away += if series.contains(&own) { 0.0 } else { value };
        }
    }
    (all, away)
}
