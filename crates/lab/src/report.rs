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

/// Maximum value of a histogram; longer times are recorded as this.
const MAX_TIME_US: u64 = 600_000_000;

/// Results of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Broken promises; empty if all held.
    pub violations: Vec<Violation>,
    /// Missed targets that break no promise.
    pub shortfalls: Vec<String>,
    /// Start-up times of the cell.
    pub bring_up: BringUp,
    /// Summary of the callers' requests.
    pub requests: Requests,
    /// Summary of the tasks by workload.
    pub tasks: BTreeMap<Name, Tasks>,
    /// Mean share of the capacity that was committed under load.
    pub packing: Packing,
    /// Resource usage of the system's own processes.
    pub control: ControlPlaneCost,
    /// Cost of the injected fault; absent in runs without faults.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fault: Option<FaultCost>,
}

/// Start-up times of the cell, in seconds from the start of its processes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct BringUp {
    /// Until every process reported that it is ready.
    pub ready: f64,
    /// Until every declared runner was running.
    pub runners: f64,
    /// Until every router had answered a first request.
    pub first_answers: f64,
}

/// Summary of the callers' requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Requests {
    /// Requests that callers created.
    pub sent: u64,
    /// Requests that ran.
    pub ran: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may or may not have run.
    pub unknown: u64,
    /// Sends, including retries.
    pub sends: u64,
    /// Sends whose connection ended without an answer.
    pub lost_answers: u64,
    /// Sends that could not connect.
    pub not_connected: u64,
    /// Median response time of the requests that ran.
    pub p50_ms: f64,
    /// 99th percentile of the response time of the requests that ran.
    pub p99_ms: f64,
}

/// Summary of the tasks of one workload.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tasks {
    /// Tasks submitted; for a service, runners declared.
    pub submitted: u64,
    /// Task starts on workers.
    pub started: u64,
    /// Task ends on workers.
    pub ended: u64,
    /// Jobs accepted.
    pub jobs: u64,
    /// Jobs with a result.
    pub jobs_ended: u64,
    /// Jobs that succeeded.
    pub jobs_succeeded: u64,
    /// Median time from a submission's first send to a task's start.
    pub wait_p50_ms: f64,
    /// 99th percentile of the time from a submission's first send to a task's start.
    pub wait_p99_ms: f64,
}

/// Committed shares of the cell's capacity, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Packing {
    /// Processors.
    pub cpu: f64,
    /// Memory.
    pub memory: f64,
    /// Accelerators.
    pub accelerator: f64,
}

/// Resource usage of one process of a role, averaged over processes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RoleCost {
    /// Processor time in percent of a core.
    pub cpu_percent: f64,
    /// Peak resident memory.
    pub memory_mb: f64,
    /// Bytes sent between the system's own processes.
    pub bytes_per_second: f64,
}

/// Resource usage of the system's own processes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlPlaneCost {
    /// Processor time of both processes of an entry host in percent of a core, averaged over hosts.
    pub cpu_percent_per_host: f64,
    /// Processor time of the busiest host, in percent of a core.
    pub cpu_percent_max: f64,
    /// Resident memory of both processes of an entry host, averaged over hosts.
    pub memory_mb_per_host: f64,
    /// Resident memory of the host that uses most.
    pub memory_mb_max: f64,
    /// Bytes that a host's processes sent to the system's other processes, averaged over hosts.
    pub bytes_per_second_per_host: f64,
    /// Bytes that all processes sent to other regions.
    pub cross_region_bytes_per_second: f64,
    /// Successful appends to the log.
    pub log_appends_per_second: f64,
    /// Maximum time, over all publications under load, until a sample of each process shows the
    /// new version in force; its resolution is the interval between samples.
    pub configuration_in_force_ms: Option<f64>,
    /// Mean cost of one process, by role.
    pub roles: BTreeMap<String, RoleCost>,
}

/// Cost of a fault.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FaultCost {
    /// Time from the first kill of an owner until all of its workers have granted a new owner.
    pub takeover_ms: Option<f64>,
    /// Requests that did not run, by second of the load.
    pub not_run_by_second: Vec<u64>,
    /// Requests with an unknown outcome, by second of the load.
    pub unknown_by_second: Vec<u64>,
    /// Actions on the system, with times in seconds since the load began.
    pub events: Vec<String>,
}

/// Summarises the callers' requests.
pub fn summarise_requests(records: &Records) -> Requests {
    let mut sum = Requests::default();
    let mut response_times = new_histogram();
    for call in &records.calls {
        sum.sent += 1;
        match call.outcome {
            Outcome::Ran => {
                sum.ran += 1;
                response_times.saturating_record(call.settled.since(call.wanted).0);
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
    sum.p50_ms = quantile_ms(&response_times, 0.5);
    sum.p99_ms = quantile_ms(&response_times, 0.99);
    sum
}

/// Summarises the tasks; `services` holds the number of declared runners of each service.
pub fn summarise_tasks(records: &Records, services: &[(Name, u32)]) -> BTreeMap<Name, Tasks> {
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
    for (workload, waits) in wait_histograms(records) {
        let sum = sums.entry(workload).or_default();
        sum.wait_p50_ms = quantile_ms(&waits, 0.5);
        sum.wait_p99_ms = quantile_ms(&waits, 0.99);
    }
    sums
}

/// Returns histograms of the time from a submission's first send to each task's first start.
fn wait_histograms(records: &Records) -> BTreeMap<Name, Histogram<u64>> {
    let mut first_sent: BTreeMap<JobId, Micros> = BTreeMap::new();
    for job in &records.jobs {
        if let Some(id) = job.job {
            first_sent.insert(id, job.sent);
        }
    }
    let mut waits: BTreeMap<Name, Histogram<u64>> = BTreeMap::new();
    let first = |run: &&TaskRun| run.task.attempt == 0;
    for run in records.tasks.iter().filter(first) {
        if let Some(at) = first_sent.get(&run.task.job) {
            let waits = waits
                .entry(run.workload.clone())
                .or_insert_with(new_histogram);
            waits.saturating_record(run.started.since(*at).0);
        }
    }
    waits
}

/// Returns the maximum time from a publication since `from` until each process that was sampled
/// afterwards had it in force.
///
/// Returns `None` if nothing was published or a sampled process never had a version in force.
pub fn configuration_in_force_ms(records: &Records, from: Micros) -> Option<f64> {
    let published = records.events.iter().filter(|event| event.at >= from);
    let mut max_ms = None;
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
        let elapsed_ms = last.since(event.at).as_secs_f64() * 1e3;
        max_ms = Some(max_ms.map_or(elapsed_ms, |previous: f64| previous.max(elapsed_ms)));
    }
    max_ms
}

/// Returns the mean committed share of the capacity between two times.
pub fn mean_packing(records: &Records, from: Micros, until: Micros) -> Packing {
    let total = records.workers.iter().fold(Resources::ZERO, |sum, worker| {
        sum.saturating_add(worker.capacity)
    });
    let span = until.since(from).as_secs_f64();
    let mut sums = [0.0; 3];
    for run in &records.tasks {
        let end = run.ended.unwrap_or(until).min(until);
        let seconds = end.since(run.started.max(from)).as_secs_f64();
        for (sum, amount) in sums.iter_mut().zip(amounts(run.size)) {
            *sum += amount * seconds;
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
    /// Returns whether every promise held and at least one request ran.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.requests.ran > 0
    }

    /// Writes `report.json` and `summary.txt`.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written.
    ///
    /// # Panics
    ///
    /// Panics if the report can't be serialised to JSON.
    pub fn write(&self, dir: &Path) -> Result<()> {
        let json = serde_json::to_string_pretty(self).expect("a report is plain data");
        let path = dir.join("report.json");
        fs::write(&path, json + "\n").map_err(LabError::io(path.display().to_string()))?;
        let path = dir.join("summary.txt");
        fs::write(&path, self.summary()).map_err(LabError::io(path.display().to_string()))
    }

    /// Returns a human-readable summary.
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

impl ControlPlaneCost {
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

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("the bounds are valid constants")
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}
