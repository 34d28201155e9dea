//! Runs one experiment: starts stand-ins and processes, applies load and faults, writes the report.

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

use kspan_model::{Name, Role, document::Document};
use ntex::{client::Client, time::Millis};

use crate::{
    cell::Cell,
    check::{self, Limits},
    clock::{Micros, now},
    error::{LabError, Result},
    load::{
        balancer::Balancer,
        jobs::{self, Jobs},
        requests::{self, AbortRate, Load, new_client, probe_router},
    },
    process::Signal,
    record::{EventKind, Records},
    report::{self, BringUp, Report},
    testbed::Testbed,
};

/// Timeout for all processes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for all declared runners to be running.
const RUNNERS_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for every router to answer a first request.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout for requests in flight to settle after the load ends.
const SETTLE_REQUESTS_TIMEOUT: Duration = Duration::from_secs(25);

/// Timeout for unfinished jobs to end after the load ends.
const SETTLE_JOBS_TIMEOUT: Duration = Duration::from_secs(25);

/// Timeout for the graceful shutdown of all processes.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Fraction of the load's duration after which a second document version is published.
const REPUBLISH_AT: f64 = 0.5;

/// Minimum number of requests answered in a run of 30 s; shorter runs scale it down.
const MIN_ANSWERED_IN_30_S: f64 = 10_000.0;

/// Parameters of an experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the experiment in the report.
    pub name: String,
    /// YAML text of the deployment's document.
    pub text: String,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Requests per second.
    pub rate: f64,
    /// Jobs per second.
    pub jobs: f64,
    /// Directory of the report.
    pub dir: PathBuf,
}

/// An experiment under load.
pub struct Experiment {
    /// Stand-ins and processes.
    pub testbed: Testbed,
    /// HTTP client for the processes' admin endpoints.
    pub client: Client,
    /// When the load began.
    pub began: Micros,
    /// Duration of the load.
    pub length: Duration,
    /// Fraction of sends that callers abort early.
    pub abort_rate: AbortRate,
}

impl Experiment {
    /// Waits until a fraction of the load's duration, from 0 to 1, has elapsed.
    pub async fn wait_until(&self, share: f64) {
        let due = self.length.mul_f64(share);
        let elapsed = Duration::from_micros(now().since(self.began).0);
        tokio::time::sleep(due.saturating_sub(elapsed)).await;
    }

    /// Records an injected fault.
    pub fn record_fault(&self, text: impl Into<String>) {
        self.testbed
            .recorder
            .record_event(EventKind::Fault { text: text.into() });
    }
}

/// Runs an experiment without faults.
///
/// # Errors
///
/// Returns an error if the system does not start or a file can't be written.
pub async fn run(options: Options) -> Result<Report> {
    let fault_free = true;
    let (_, report) = run_with(options, fault_free, async |experiment: &mut Experiment| {
        experiment.wait_until(REPUBLISH_AT).await;
        republish(experiment);
        Ok(())
    })
    .await?;
    Ok(report)
}

/// Starts all processes without load and waits for the given time or an interrupt.
///
/// # Errors
///
/// Returns an error if a program can't be run or a file can't be written.
pub async fn idle(options: Options) -> Result<Report> {
    let cell = Cell::new(parse(&options.text)?);
    let mut testbed = Testbed::new(cell, options.text.clone(), options.seed, &options.dir)?;
    testbed.publish();
    testbed.start_all()?;
    for process in &testbed.processes {
        println!("{}: {:?}", process.name(), process.cfg.listen);
    }
    tokio::time::sleep(Duration::from_secs(options.seconds)).await;
    let experiment = Experiment {
        testbed,
        client: new_client(Millis(5_000)).await,
        began: now(),
        length: Duration::ZERO,
        abort_rate: AbortRate::default(),
    };
    let records = experiment.testbed.recorder.records().clone();
    Ok(build_report(&options, &experiment, &records, now()))
}

/// Publishes the document again with an added comment, which changes its text but not its content.
pub fn republish(experiment: &mut Experiment) {
    let base = experiment.testbed.version;
    let text = format!("{}# Revised.\n", experiment.testbed.text);
    experiment.testbed.publish_text(base, &text);
}

/// Runs an experiment; `script` injects faults while the load runs.
///
/// # Errors
///
/// Returns an error if the system does not start or a file can't be written.
pub async fn run_with(
    options: Options,
    fault_free: bool,
    script: impl AsyncFnOnce(&mut Experiment) -> Result<()>,
) -> Result<(Records, Report)> {
    let document = parse(&options.text)?;
    let cell = Cell::new(document);
    let testbed = Testbed::new(cell, options.text.clone(), options.seed, &options.dir)?;
    let client = new_client(Millis(5_000)).await;
    let mut experiment = Experiment {
        testbed,
        client,
        began: now(),
        length: Duration::from_secs(options.seconds),
        abort_rate: AbortRate::default(),
    };
    let (bring_up_times, mut shortfalls) = bring_up(&mut experiment).await?;
    let sampler = experiment.testbed.sampler.clone();
    ntex::rt::spawn(sampler.run(
        experiment.client.clone(),
        experiment.testbed.recorder.clone(),
    ));
    experiment.testbed.sampler.reset();
    experiment.began = now();
    let appends_before = experiment.testbed.log.counts().appends;
    let (load, jobs) = start_load(&options, &experiment);
    let progress = ntex::rt::spawn(log_progress(
        experiment.testbed.recorder.clone(),
        options.seconds,
    ));
    let script_result = script(&mut experiment).await;
    experiment.wait_until(1.0).await;
    let until = now();
    load.stop();
    jobs.stop();
    progress.cancel();
    let mut control = experiment
        .testbed
        .sampler
        .mean_costs(experiment.testbed.cell.entries.len());
    let appends = experiment.testbed.log.counts().appends - appends_before;
    control.log_appends_per_second = appends as f64 / until.since(experiment.began).as_secs_f64();
    shortfalls.extend(settle(&load, &jobs).await);
    shortfalls.extend(stop_all(&mut experiment.testbed).await);
    script_result?;
    let records = experiment.testbed.recorder.records().clone();
    write_records(&records, &options.dir)?;
    let mut report = build_report(&options, &experiment, &records, until);
    control.configuration_in_force_ms =
        report::configuration_in_force_ms(&records, experiment.began);
    report.control = control;
    report.bring_up = bring_up_times;
    report.shortfalls = shortfalls;
    if fault_free {
        report.shortfalls.extend(unmet_targets(&report));
    }
    report.write(&options.dir)?;
    Ok((records, report))
}

/// Parses a deployment's document.
///
/// # Errors
///
/// Returns all diagnostics of the text.
pub fn parse(text: &str) -> Result<Document> {
    kspan_model::document::parse(text)
        .map_err(|diagnostics| LabError::Usage(diagnostics.to_string()))
}

async fn bring_up(experiment: &mut Experiment) -> Result<(BringUp, Vec<String>)> {
    let testbed = &mut experiment.testbed;
    testbed.publish();
    testbed.start_all()?;
    let start = now();
    let elapsed = || now().since(start).as_secs_f64();
    log::info!("lab: {} processes started", testbed.processes.len());
    testbed
        .wait_ready(&experiment.client, READY_TIMEOUT)
        .await?;
    let ready = elapsed();
    let (running, expected) = testbed.wait_runners(RUNNERS_TIMEOUT).await;
    let runners = elapsed();
    log::info!("lab: {running} of {expected} runners running after {runners:.1} s");
    let answering = wait_first_answers(experiment).await;
    let first_answers = elapsed();
    log::info!("lab: {answering} routers answered a first request after {first_answers:.1} s");
    let mut shortfalls = Vec::new();
    if running < expected {
        shortfalls.push(format!("only {running} of {expected} runners started"));
    }
    let routers = experiment.testbed.indexes_with_role(Role::Router).len();
    if answering < routers {
        shortfalls.push(format!(
            "only {answering} of {routers} routers answered a first request"
        ));
    }
    let times = BringUp {
        ready,
        runners,
        first_answers,
    };
    Ok((times, shortfalls))
}

/// Waits until every router has answered a request or the timeout expires.
///
/// Returns the number of routers that have answered.
async fn wait_first_answers(experiment: &Experiment) -> usize {
    let deadline = tokio::time::Instant::now() + FIRST_ANSWER_TIMEOUT;
    let testbed = &experiment.testbed;
    let mut unanswered = testbed.indexes_with_role(Role::Router);
    let routers = unanswered.len();
    while !unanswered.is_empty() && tokio::time::Instant::now() < deadline {
        let mut remaining = Vec::new();
        for index in unanswered {
            let http = testbed.processes[index].cfg.listen.http;
            if !probe_router(&experiment.client, &testbed.cell.document, http).await {
                remaining.push(index);
            }
        }
        unanswered = remaining;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    routers - unanswered.len()
}

fn start_load(options: &Options, experiment: &Experiment) -> (Load, Jobs) {
    let testbed = &experiment.testbed;
    let document = &testbed.cell.document;
    let routers = Balancer::new(&testbed.processes, Role::Router);
    let schedulers = Balancer::new(&testbed.processes, Role::Scheduler);
    ntex::rt::spawn(routers.clone().poll_readiness(experiment.client.clone()));
    ntex::rt::spawn(schedulers.clone().poll_readiness(experiment.client.clone()));
    let plan = requests::Plan {
        rate: options.rate,
        seed: options.seed,
        threads: 2,
        abort_rate: experiment.abort_rate.clone(),
    };
    let load = Load::start(&plan, document, &routers, &testbed.recorder);
    let plan = jobs::Plan {
        rate: options.jobs,
        seed: options.seed,
    };
    let jobs = Jobs::start(plan, document, &schedulers, &testbed.recorder);
    (load, jobs)
}

async fn log_progress(recorder: crate::record::Recorder, seconds: u64) {
    for elapsed in (2..=seconds).step_by(2) {
        tokio::time::sleep(Duration::from_secs(2)).await;
        let records = recorder.records();
        let running = records
            .tasks
            .iter()
            .filter(|run| run.ended.is_none())
            .count();
        log::info!(
            "lab: {elapsed} of {seconds} s: {} requests settled, {running} tasks running, {} jobs",
            records.calls.len(),
            records.jobs.len()
        );
    }
}

async fn settle(load: &Load, jobs: &Jobs) -> Vec<String> {
    let mut shortfalls = Vec::new();
    if !load.settle(SETTLE_REQUESTS_TIMEOUT).await {
        shortfalls.push(format!(
            "{} requests did not settle before the timeout",
            load.open()
        ));
    }
    let unfinished = jobs.settle(SETTLE_JOBS_TIMEOUT).await;
    if unfinished > 0 {
        shortfalls.push(format!("{unfinished} jobs did not end before the timeout"));
    }
    shortfalls
}

async fn stop_all(testbed: &mut Testbed) -> Vec<String> {
    for process in &mut testbed.processes {
        process.signal(Signal::Resume);
        process.signal(Signal::Terminate);
    }
    let deadline = tokio::time::Instant::now() + STOP_TIMEOUT;
    loop {
        let mut still_running = Vec::new();
        for process in &mut testbed.processes {
            if process.is_running() {
                still_running.push(process.name().to_string());
            }
        }
        if still_running.is_empty() {
            return Vec::new();
        }
        if tokio::time::Instant::now() >= deadline {
            let names = still_running.join(", ");
            return vec![format!(
                "processes killed after the shutdown timeout: {names}"
            )];
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn build_report(
    options: &Options,
    experiment: &Experiment,
    records: &Records,
    until: Micros,
) -> Report {
    let document = &experiment.testbed.cell.document;
    let services: Vec<(Name, u32)> = document
        .services
        .iter()
        .map(|service| (service.name.clone(), service.runners))
        .collect();
    Report {
        experiment: options.name.clone(),
        seed: options.seed,
        seconds: until.since(experiment.began).as_secs_f64(),
        violations: check::check(records, &Limits::new(now())),
        shortfalls: Vec::new(),
        bring_up: BringUp::default(),
        requests: report::summarise_requests(records),
        tasks: report::summarise_tasks(records, &services),
        packing: report::mean_packing(records, experiment.began, until),
        control: report::ControlPlaneCost::default(),
        fault: None,
    }
}

/// Returns the targets of a fault-free run that were missed.
fn unmet_targets(report: &Report) -> Vec<String> {
    let mut unmet = Vec::new();
    let requests = &report.requests;
    let min_answered = MIN_ANSWERED_IN_30_S * (report.seconds / 30.0).min(1.0);
    if ((requests.ran + requests.not_run) as f64) < min_answered {
        unmet.push(format!("fewer than {min_answered:.0} requests answered"));
    }
    if requests.unknown > 0 {
        unmet.push(format!(
            "{} requests ended with an unknown outcome in a fault-free run",
            requests.unknown
        ));
    }
    if requests.not_run > 0 {
        unmet.push(format!(
            "{} requests were not run in a fault-free run",
            requests.not_run
        ));
    }
    unmet
}

fn write_records(records: &Records, dir: &Path) -> Result<()> {
    let path = dir.join("records.json");
    let text = serde_json::to_string(records).expect("records are plain data");
    std::fs::write(&path, text).map_err(LabError::io(path.display().to_string()))
}
