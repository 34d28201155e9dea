//! Samples processor time, memory, sent bytes and document versions of the running processes.

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
    record::{Recorder, VersionSample},
    report::{ControlPlaneCost, RoleCost},
};

/// Interval between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Clock ticks per second in `/proc`; fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bytes per memory page in `/proc`.
const PAGE_BYTES: f64 = 4096.0;

/// Bytes per megabyte.
const MB: f64 = 1e6;

/// A process to sample.
#[derive(Clone, Debug)]
pub struct SampledProcess {
    /// Name of the process.
    pub name: Name,
    /// Host of the process.
    pub host: Name,
    /// Region of the process.
    pub region: Name,
    /// Number of times that the process was started.
    pub incarnation: u32,
    /// Operating system's process id.
    pub pid: u32,
    /// Address of the admin endpoint.
    pub admin: SocketAddr,
}

/// First and last readings of one incarnation of a process.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    first_cpu: Option<(Micros, f64)>,
    last_cpu: Option<(Micros, f64)>,
    peak_memory: f64,
    sent: Option<(f64, f64)>,
    sent_cross_region: Option<(f64, f64)>,
}

/// Host, process and incarnation.
type ProcessRun = (Name, Name, u32);

/// Samples the resource usage of a set of processes.
#[derive(Clone, Default)]
pub struct Sampler {
    processes: Arc<Mutex<Vec<SampledProcess>>>,
    usage: Arc<Mutex<BTreeMap<ProcessRun, Usage>>>,
}

impl Sampler {
    /// Creates a sampler without processes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a process and replaces an earlier incarnation of it.
    pub fn add(&self, process: SampledProcess) {
        let mut list = self.locked_processes();
        list.retain(|other| other.name != process.name);
        list.push(process);
    }

    /// Removes a process.
    pub fn remove(&self, name: &Name) {
        self.locked_processes()
            .retain(|process| process.name != *name);
    }

    /// Discards all samples, so that averages start now.
    pub fn reset(&self) {
        self.locked_usage().clear();
    }

    /// Takes samples until the future is dropped.
    pub async fn run(self, client: Client, recorder: Recorder) {
        loop {
            let list = self.locked_processes().clone();
            for process in list {
                self.sample_proc(&process);
                let (sampler, client, recorder) = (self.clone(), client.clone(), recorder.clone());
                ntex::rt::spawn(async move {
                    let sampled = sampler.sample_http(&process, &client, &recorder);
                    // A paused process does not answer, so this sample is skipped.
                    let _ = tokio::time::timeout(SAMPLE_INTERVAL, sampled).await;
                });
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Returns the mean costs per host; the caller fills in the log's appends.
    pub fn mean_costs(&self, hosts: usize) -> ControlPlaneCost {
        let usage = self.locked_usage();
        let mut cpu: BTreeMap<&Name, f64> = BTreeMap::new();
        let mut memory: BTreeMap<&Name, f64> = BTreeMap::new();
        let (mut sent, mut cross_region) = (0.0, 0.0);
        for ((host, _, _), usage) in usage.iter() {
            *cpu.entry(host).or_default() += usage.cpu_percent();
            *memory.entry(host).or_default() += usage.peak_memory / MB;
            sent += usage.rate(usage.sent);
            cross_region += usage.rate(usage.sent_cross_region);
        }
        let hosts = hosts.max(1) as f64;
        ControlPlaneCost {
            cpu_percent_per_host: cpu.values().sum::<f64>() / hosts,
            cpu_percent_max: cpu.values().copied().fold(0.0, f64::max),
            memory_mb_per_host: memory.values().sum::<f64>() / hosts,
            memory_mb_max: memory.values().copied().fold(0.0, f64::max),
            bytes_per_second_per_host: sent / hosts,
            cross_region_bytes_per_second: cross_region,
            log_appends_per_second: 0.0,
            configuration_in_force_ms: None,
            roles: mean_costs_by_role(&usage),
        }
    }

    fn sample_proc(&self, process: &SampledProcess) {
        let Some((cpu, memory)) = read_proc(process.pid) else {
            return;
        };
        self.update(process, |usage| {
            usage.first_cpu.get_or_insert((now(), cpu));
            usage.last_cpu = Some((now(), cpu));
            usage.peak_memory = usage.peak_memory.max(memory);
        });
    }

    async fn sample_http(&self, process: &SampledProcess, client: &Client, recorder: &Recorder) {
        if let Some(version) = document_version(client, process.admin).await {
            recorder.records().versions.push(VersionSample {
                at: now(),
                process: process.name.clone(),
                life: process.incarnation,
                version,
            });
        }
        let Some(text) = get_text(client, process.admin, "metrics").await else {
            return;
        };
        let (all, cross_region) = sent_bytes(&text, &process.region);
        self.update(process, |usage| {
            usage.sent = Some((usage.sent.map_or(all, |(first, _)| first), all));
            usage.sent_cross_region = Some((
                usage
                    .sent_cross_region
                    .map_or(cross_region, |(first, _)| first),
                cross_region,
            ));
        });
    }

    fn update(&self, process: &SampledProcess, change: impl FnOnce(&mut Usage)) {
        let key = (
            process.host.clone(),
            process.name.clone(),
            process.incarnation,
        );
        change(self.locked_usage().entry(key).or_default());
    }

    fn locked_processes(&self) -> MutexGuard<'_, Vec<SampledProcess>> {
        self.processes
            .lock()
            .expect("no thread panics while it holds the sampler")
    }

    fn locked_usage(&self) -> MutexGuard<'_, BTreeMap<ProcessRun, Usage>> {
        self.usage
            .lock()
            .expect("no thread panics while it holds the sampler")
    }
}

/// Returns the mean cost of the processes of each role, which is the last part of their names.
fn mean_costs_by_role(usage: &BTreeMap<ProcessRun, Usage>) -> BTreeMap<String, RoleCost> {
    let mut sums: BTreeMap<String, (RoleCost, f64)> = BTreeMap::new();
    for ((_, name, _), usage) in usage {
        let role = name.rsplit('-').next().unwrap_or(name).to_owned();
        let (sum, count) = sums.entry(role).or_default();
        sum.cpu_percent += usage.cpu_percent();
        sum.memory_mb += usage.peak_memory / MB;
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
        let (first, last) = (self.first_cpu?, self.last_cpu?);
        let span = last.0.since(first.0).as_secs_f64();
        (span > 0.0).then_some(span)
    }

    fn cpu_percent(&self) -> f64 {
        match (self.first_cpu, self.last_cpu, self.span()) {
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

/// Reads the document version in force from a process's dump.
pub async fn document_version(client: &Client, admin: SocketAddr) -> Option<u64> {
    let text = get_text(client, admin, "dump").await?;
    let dump: Value = serde_json::from_str(&text).ok()?;
    find_field(&dump, "document_version")?.as_u64()
}

/// Reads an admin endpoint as text.
pub async fn get_text(client: &Client, admin: SocketAddr, path: &str) -> Option<String> {
    let url = format!("http://{admin}/{path}");
    let res = client.get(url).send().await.ok()?;
    let body = res.body().await.ok()?;
    String::from_utf8(body.to_vec()).ok()
}

/// Finds a field in nested objects, the outermost first.
pub fn find_field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    let Value::Object(fields) = value else {
        return None;
    };
    fields
        .get(name)
        .or_else(|| fields.values().find_map(|inner| find_field(inner, name)))
}

/// Reads a process's processor time in seconds and resident memory in bytes from `/proc`.
pub fn read_proc(pid: u32) -> Option<(f64, f64)> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in parentheses may contain spaces, so fields are counted after it.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let pages: f64 = fields.get(21)?.parse().ok()?;
    Some((ticks / TICKS_PER_SECOND, pages * PAGE_BYTES))
}

/// Sums a process's metrics of sent bytes: all of them, and those to regions other than its own.
fn sent_bytes(metrics: &str, own_region: &Name) -> (f64, f64) {
    let own_region = format!("region=\"{own_region}\"");
    let (mut all, mut cross_region) = (0.0, 0.0);
    for line in metrics.lines().filter(|line| !line.starts_with('#')) {
        let Some((series, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let is_sent_bytes = series.contains("sent_bytes") || series.contains("bytes_sent");
        let value: f64 = value.parse().unwrap_or(0.0);
        if is_sent_bytes {
            all += value;
            cross_region += if series.contains(&own_region) {
                0.0
            } else {
                value
            };
        }
    }
    (all, cross_region)
}
