//! The report of an experiment.

use std::{collections::BTreeMap, fs, path::Path};

use hdrhistogram::Histogram;
use kspan_model::{JobId, JobResult, Name, Outcome, Resources};
use serde::Serialize;

use crate::{
    check::Violation,
    clock::Micros,
    error::{LabError, Result},
    record::{Answer, EventKind, Records, TaskRun},
};

/// Longest time that a histogram tells apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Everything that an experiment found.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of everything random.
    pub seed: u64,
    /// Length of the load, in seconds.
    pub seconds: f64,
    /// Broken promises; empty when all hold.
    pub violations: Vec<Violation>,
    /// What fell short of a run's aims without breaking a promise.
    pub shortfalls: Vec<String>,
    /// How long the cell took to come up.
    pub bring_up: BringUp,
    /// Requests.
    pub requests: Requests,
    /// Tasks by workload.
    pub tasks: BTreeMap<Name, Tasks>,
    /// Share of capacity committed, averaged over the load.
    pub packing: Packing,
    /// What the system itself spent.
    pub control: Control,
    /// What a fault cost; absent in runs without faults.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fault: Option<FaultCost>,
}

/// How long the cell took to come up, from the start of its processes, in seconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct BringUp {
    /// Until every process said that it is ready.
    pub ready: f64,
    /// Until every declared runner was up.
    pub runners: f64,
    /// Until every router had answered a first request.
    pub first_answers: f64,
}

/// Requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Requests {
    /// Requests that callers wanted.
    pub sent: u64,
    /// Requests that ran.
    pub ran: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may or may not have run.
    pub unknown: u64,
    /// Sends, resends among them.
    pub sends: u64,
    /// Sends whose connection ended without an answer.
    pub lost_answers: u64,
    /// Sends that found no one listening.
    pub not_connected: u64,
    /// Half of those that ran were answered within this time.
    pub p50_ms: f64,
    /// All but a hundredth of those that ran were answered within this time.
    pub p99_ms: f64,
}

/// Tasks of one workload.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tasks {
    /// Tasks submitted; of a service, runners wanted.
    pub submitted: u64,
    /// Starts on workers.
    pub started: u64,
    /// Ends on workers.
    pub ended: u64,
    /// Jobs accepted.
    pub jobs: u64,
    /// Jobs with an outcome.
    pub jobs_ended: u64,
    /// Jobs that succeeded.
    pub jobs_succeeded: u64,
    /// Half of the tasks started within this time of the submission's first send.
    pub wait_p50_ms: f64,
    /// All but a hundredth of the tasks started within this time of the submission's first send.
    pub wait_p99_ms: f64,
}

/// Shares of the cell's capacity.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Packing {
    /// Processors.
    pub cpu: f64,
    /// Memory.
    pub memory: f64,
    /// Accelerators.
    pub accelerator: f64,
}

/// What one process of a role spent, mean over processes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RoleCost {
    /// Processor time in percent of a core.
    pub cpu_percent: f64,
    /// Most resident memory.
    pub memory_mb: f64,
    /// Bytes sent between the system's own processes.
    pub bytes_per_second: f64,
}

/// What the system itself spent.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Control {
    /// Processor time of both processes of an entry host, mean over hosts, in percent of a core.
    pub cpu_percent_per_host: f64,
    /// The same of the busiest host.
    pub cpu_percent_max: f64,
    /// Resident memory of both processes of an entry host, mean over hosts.
    pub memory_mb_per_host: f64,
    /// The same of the largest host.
    pub memory_mb_max: f64,
    /// Bytes that a host's processes sent to each other's kind, mean over hosts.
    pub bytes_per_second_per_host: f64,
    /// Bytes that all processes sent to other regions.
    pub cross_region_bytes_per_second: f64,
    /// Appends that took effect in the log.
    pub log_appends_per_second: f64,
    /// Longest time from a publication to a sample of each process that shows it in force, over
    /// all publications under load; the samples' period is its resolution.
    pub configuration_in_force_ms: Option<f64>,
    /// Costs of one process, by role.
    pub roles: BTreeMap<String, RoleCost>,
}

/// What a fault cost.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FaultCost {
    /// Time from the fault to the first command of a new owner that a worker granted.
    pub takeover_ms: Option<f64>,
    /// Requests refused, by whole second of the load.
    pub not_run_by_second: Vec<u64>,
    /// Requests unknown, by whole second of the load.
    pub unknown_by_second: Vec<u64>,
    /// What was done, with times in seconds of the load.
    pub events: Vec<String>,
}

/// Summarises the requests.
pub fn requests(records: &Records) -> Requests {
    let mut sum = Requests::default();
    let mut times = histogram();
    for call in &records.calls {
        sum.sent += 1;
        match call.outcome {
            Outcome::Ran => {
                sum.ran += 1;
                times.saturating_record(call.settled.since(call.wanted).0);
            }
            Outcome::NotRun => sum.not_run += 1,
            Outcome::Unknown => sum.unknown += 1,
        }
        sum.sends += call.sends.len() as u64;
        let count = |answer| {
            call.sends
                .iter()
                .filter(|send| send.answer == answer)
                .count() as u64
        };
        sum.lost_answers += count(Answer::Lost);
        sum.not_connected += count(Answer::NotConnected);
    }
    sum.p50_ms = quantile_ms(&times, 0.5);
    sum.p99_ms = quantile_ms(&times, 0.99);
    sum
}

/// Summarises the tasks; `services` gives the runners wanted of each service.
pub fn tasks(records: &Records, services: &[(Name, u32)]) -> BTreeMap<Name, Tasks> {
    let mut sums: BTreeMap<Name, Tasks> = BTreeMap::new();
    for (service, runners) in services {
        sums.entry(service.clone()).or_default().submitted = u64::from(*runners);
    }
    for run in &records.tasks {
        let sum = sums.entry(run.workload.clone()).or_default();
        sum.started += 1;
        sum.ended += u64::from(run.ended.is_some());
    }
    for job in &records.jobs {
        let sum = sums.entry(job.workload.clone()).or_default();
        sum.submitted += u64::from(job.tasks);
        sum.jobs += u64::from(job.accepted.is_some());
        sum.jobs_ended += u64::from(job.result.is_some());
        sum.jobs_succeeded += u64::from(job.result == Some(JobResult::Succeeded));
    }
    for (workload, waits) in waits(records) {
        let sum = sums.entry(workload).or_default();
        sum.wait_p50_ms = quantile_ms(&waits, 0.5);
        sum.wait_p99_ms = quantile_ms(&waits, 0.99);
    }
    sums
}

/// Waiting times from the first send of a submission to each task's first start.
fn waits(records: &Records) -> BTreeMap<Name, Histogram<u64>> {
    let mut asked: BTreeMap<JobId, Micros> = BTreeMap::new();
    for job in &records.jobs {
        if let Some(id) = job.job {
            asked.insert(id, job.sent);
        }
    }
    let mut waits: BTreeMap<Name, Histogram<u64>> = BTreeMap::new();
    let first = |run: &&TaskRun| run.task.attempt == 0;
    for run in records.tasks.iter().filter(first) {
        if let Some(at) = asked.get(&run.task.job) {
            let waits = waits.entry(run.workload.clone()).or_insert_with(histogram);
            waits.saturating_record(run.started.since(*at).0);
        }
    }
    waits
}

/// Returns the longest time from a publication since `from` until each process that was sampled
/// afterwards had it in force; none where nothing was published or some process never had it.
pub fn configuration_in_force_ms(records: &Records, from: Micros) -> Option<f64> {
    let published = records.events.iter().filter(|event| event.at >= from);
    let mut longest = None;
    for event in published {
        let EventKind::Published { version } = event.kind else {
            continue;
        };
        let mut first: BTreeMap<&Name, Option<Micros>> = BTreeMap::new();
        for sample in records
            .versions
            .iter()
            .filter(|sample| sample.at >= event.at)
        {
            let first = first.entry(&sample.process).or_default();
            if first.is_none() && sample.version >= version {
                *first = Some(sample.at);
            }
        }
        let all: Option<Vec<Micros>> = first.into_values().collect();
        let last = all?.into_iter().max()?;
        let passed = last.since(event.at).as_secs_f64() * 1e3;
        longest = Some(longest.map_or(passed, |before: f64| before.max(passed)));
    }
    longest
}

/// Averages what was committed between two times.
pub fn packing(records: &Records, from: Micros, until: Micros) -> Packing {
    let total = records.workers.iter().fold(Resources::ZERO, |sum, worker| {
        sum.saturating_add(worker.capacity)
    });
    let span = until.since(from).as_secs_f64();
    let mut sums = [0.0; 3];
    for run in &records.tasks {
        let end = run.ended.unwrap_or(until).min(until);
        let held = end.since(run.started.max(from)).as_secs_f64();
        for (sum, amount) in sums.iter_mut().zip(amounts(run.size)) {
            *sum += amount * held;
        }
    }
    let [cpu, memory, accelerator] = amounts(total);
    let share = |sum: f64, whole: f64| if whole > 0.0 { sum / span / whole } else { 0.0 };
    Packing {
        cpu: share(sums[0], cpu),
        memory: share(sums[1], memory),
        accelerator: share(sums[2], accelerator),
    }
}

fn amounts(size: Resources) -> [f64; 3] {
    [
        size.cpu_milli as f64,
        size.memory_mib as f64,
        size.accelerators as f64,
    ]
}

impl Report {
    /// Returns whether every promise held and work was done.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.requests.ran > 0
    }

    /// Writes `report.json` and `summary.txt`.
    ///
    /// # Errors
    ///
    /// Returns an error where the files can't be written.
    ///
    /// # Panics
    ///
    /// Panics where a report can't be written as JSON, which plain data always can.
    pub fn write(&self, dir: &Path) -> Result<()> {
        let json = serde_json::to_string_pretty(self).expect("a report is plain data");
        let path = dir.join("report.json");
        fs::write(&path, json + "\n").map_err(LabError::io(path.display().to_string()))?;
        let path = dir.join("summary.txt");
        fs::write(&path, self.summary()).map_err(LabError::io(path.display().to_string()))
    }

    /// Returns the readable summary.
    pub fn summary(&self) -> String {
        let mut lines = vec![format!(
            "{}: {:.0} s, seed {}",
            self.experiment, self.seconds, self.seed
        )];
        let BringUp {
            ready,
            runners,
            first_answers,
        } = self.bring_up;
        lines.push(format!(
            "up: ready after {ready:.1} s, runners after {runners:.1} s, \
             first answers after {first_answers:.1} s"
        ));
        lines.push(self.requests_line());
        lines.extend(self.tasks.iter().map(|(name, tasks)| tasks.line(name)));
        lines.push(format!(
            "packing: cpu {:.1}%, memory {:.1}%, accelerators {:.1}%",
            self.packing.cpu * 100.0,
            self.packing.memory * 100.0,
            self.packing.accelerator * 100.0
        ));
        lines.push(self.control.line());
        if let Some(fault) = &self.fault {
            lines.extend(fault.lines());
        }
        lines.extend(self.shortfalls.iter().map(|text| format!("short: {text}")));
        lines.push(match self.violations.len() {
            0 => "violations: none".to_owned(),
            count => format!("violations: {count}"),
        });
        let shown = self.violations.iter();
        lines.extend(shown.map(|v| format!("  {}: {}", v.promise, v.evidence)));
        lines.join("\n") + "\n"
    }

    fn requests_line(&self) -> String {
        let Requests {
            sent,
            ran,
            not_run,
            unknown,
            sends,
            lost_answers,
            not_connected,
            p50_ms,
            p99_ms,
        } = &self.requests;
        format!(
            "requests: sent {sent} = ran {ran} + not run {not_run} + unknown {unknown}; \
             p50 {p50_ms:.1} ms, p99 {p99_ms:.1} ms; sends {sends}, answers lost {lost_answers}, \
             not connected {not_connected}"
        )
    }
}

impl Tasks {
    fn line(&self, name: &Name) -> String {
        format!(
            "{name}: tasks submitted {}, started {}, ended {}; jobs {}, ended {}, succeeded {}; \
             wait p50 {:.0} ms, p99 {:.0} ms",
            self.submitted,
            self.started,
            self.ended,
            self.jobs,
            self.jobs_ended,
            self.jobs_succeeded,
            self.wait_p50_ms,
            self.wait_p99_ms
        )
    }
}

impl Control {
    fn line(&self) -> String {
        format!(
            "control: cpu {:.2}% of a core a host (max {:.2}%), memory {:.1} MB (max {:.1} MB), \
             {:.0} B/s a host, {:.0} B/s across regions, {:.2} appends/s, \
             configuration in force after {}",
            self.cpu_percent_per_host,
            self.cpu_percent_max,
            self.memory_mb_per_host,
            self.memory_mb_max,
            self.bytes_per_second_per_host,
            self.cross_region_bytes_per_second,
            self.log_appends_per_second,
            self.configuration_in_force_ms
                .map_or("?".to_owned(), |ms| format!("{ms:.0} ms"))
        )
    }
}

impl FaultCost {
    fn lines(&self) -> Vec<String> {
        let mut lines = self.events.clone();
        if let Some(ms) = self.takeover_ms {
            lines.push(format!("takeover: {ms:.0} ms"));
        }
        let sum = |by_second: &[u64]| by_second.iter().sum::<u64>();
        lines.push(format!(
            "cost: {} requests not run, {} unknown",
            sum(&self.not_run_by_second),
            sum(&self.unknown_by_second)
        ));
        lines
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are constants in order")
}

fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1e3
}
