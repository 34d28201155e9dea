//! One experiment from start to report: stand-ins, processes, load, faults, checks.

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
        requests::{self, Impatience, Load, new_client, try_router},
    },
    process::Signal,
    record::{EventKind, Records},
    report::{self, BringUp, Report},
    stage::Stage,
};

/// Time that processes may take to become ready.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// Time that declared runners may take to come up.
const RUNNERS_WITHIN: Duration = Duration::from_secs(30);

/// Time that routers may take to answer a first request.
const ANSWERS_WITHIN: Duration = Duration::from_secs(20);

/// Time that open requests have to settle after the load.
const SETTLE_REQUESTS: Duration = Duration::from_secs(25);

/// Time that open jobs have to end after the load.
const SETTLE_JOBS: Duration = Duration::from_secs(25);

/// Time that processes have for their planned stop.
const STOP_WITHIN: Duration = Duration::from_secs(15);

/// Share of the load's time after which a second version is published.
const REPUBLISH_AT: f64 = 0.5;

/// Requests that a run of thirty seconds is to answer.
const AIM_IN_30_S: f64 = 10_000.0;

/// What an experiment is.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name in the report.
    pub name: String,
    /// Text of the deployment's document.
    pub text: String,
    /// Length of the load.
    pub seconds: u64,
    /// Seed of everything random.
    pub seed: u64,
    /// Requests a second.
    pub rate: f64,
    /// Jobs a second.
    pub jobs: f64,
    /// Directory of the report.
    pub dir: PathBuf,
}

/// An experiment under load.
pub struct Running {
    /// Stand-ins and processes.
    pub stage: Stage,
    /// A client for admin questions.
    pub client: Client,
    /// When the load began.
    pub began: Micros,
    /// Length of the load.
    pub length: Duration,
    /// How many sends callers give up early.
    pub impatience: Impatience,
}

impl Running {
    /// Waits until a share of the load's time has passed, from 0 to 1.
    pub async fn wait_until(&self, share: f64) {
        let due = self.length.mul_f64(share);
        let passed = Duration::from_micros(now().since(self.began).0);
        tokio::time::sleep(due.saturating_sub(passed)).await;
    }

    /// Notes a fault.
    pub fn note(&self, text: impl Into<String>) {
        self.stage.book.note(EventKind::Fault { text: text.into() });
    }
}

/// Runs an experiment without faults.
///
/// # Errors
///
/// Returns an error where the system does not come up or files can't be written.
pub async fn run(options: Options) -> Result<Report> {
    let quiet = true;
    let (_, report) = run_with(options, quiet, async |running: &mut Running| {
        running.wait_until(REPUBLISH_AT).await;
        republish(running);
        Ok(())
    })
    .await?;
    Ok(report)
}

/// Starts everything and loads nothing, until the process is interrupted or the time is over.
///
/// # Errors
///
/// Returns an error where programs can't be run or files can't be written.
pub async fn idle(options: Options) -> Result<Report> {
    let cell = Cell::new(parse(&options.text)?);
    let mut stage = Stage::new(cell, options.text.clone(), options.seed, &options.dir)?;
    stage.publish();
    stage.start_all()?;
    for process in &stage.processes {
        println!("{}: {:?}", process.name(), process.cfg.listen);
    }
    tokio::time::sleep(Duration::from_secs(options.seconds)).await;
    let running = Running {
        stage,
        client: new_client(Millis(5_000)).await,
        began: now(),
        length: Duration::ZERO,
        impatience: Impatience::default(),
    };
    let records = running.stage.book.records().clone();
    Ok(judge(&options, &running, &records, now()))
}

/// Publishes the document once more with another text of the same meaning.
pub fn republish(running: &mut Running) {
    let base = running.stage.version;
    let text = format!("{}# Revised.\n", running.stage.text);
    running.stage.publish_text(base, &text);
}

/// Runs an experiment; `script` brings the faults while the load goes on.
///
/// # Errors
///
/// Returns an error where the system does not come up or files can't be written.
pub async fn run_with(
    options: Options,
    quiet: bool,
    script: impl AsyncFnOnce(&mut Running) -> Result<()>,
) -> Result<(Records, Report)> {
    let document = parse(&options.text)?;
    let cell = Cell::new(document);
    let stage = Stage::new(cell, options.text.clone(), options.seed, &options.dir)?;
    let client = new_client(Millis(5_000)).await;
    let mut running = Running {
        stage,
        client,
        began: now(),
        length: Duration::from_secs(options.seconds),
        impatience: Impatience::default(),
    };
    let (times, mut shortfalls) = bring_up(&mut running).await?;
    let sampler = running.stage.sampler.clone();
    ntex::rt::spawn(sampler.run(running.client.clone(), running.stage.book.clone()));
    running.stage.sampler.restart();
    running.began = now();
    let appends_before = running.stage.log.counts().appends;
    let (load, jobs) = start_load(&options, &running);
    let progress = ntex::rt::spawn(show_progress(running.stage.book.clone(), options.seconds));
    let scripted = script(&mut running).await;
    running.wait_until(1.0).await;
    let until = now();
    load.stop();
    jobs.stop();
    progress.cancel();
    let mut control = running
        .stage
        .sampler
        .control(running.stage.cell.entries.len());
    let appends = running.stage.log.counts().appends - appends_before;
    control.log_appends_per_second = appends as f64 / until.since(running.began).as_secs_f64();
    shortfalls.extend(settle(&load, &jobs).await);
    shortfalls.extend(stop_all(&mut running.stage).await);
    scripted?;
    let records = running.stage.book.records().clone();
    write_records(&records, &options.dir)?;
    let mut report = judge(&options, &running, &records, until);
    control.configuration_in_force_ms = report::configuration_in_force_ms(&records, running.began);
    report.control = control;
    report.bring_up = times;
    report.shortfalls = shortfalls;
    if quiet {
        report.shortfalls.extend(aims(&report));
    }
    report.write(&options.dir)?;
    Ok((records, report))
}

/// Parses a deployment.
///
/// # Errors
///
/// Returns all faults of the text.
pub fn parse(text: &str) -> Result<Document> {
    kspan_model::document::parse(text).map_err(|faults| LabError::Usage(faults.to_string()))
}

async fn bring_up(running: &mut Running) -> Result<(BringUp, Vec<String>)> {
    let stage = &mut running.stage;
    stage.publish();
    stage.start_all()?;
    let begun = now();
    let passed = || now().since(begun).as_secs_f64();
    log::info!("lab: {} processes started", stage.processes.len());
    stage.wait_ready(&running.client, READY_WITHIN).await?;
    let ready = passed();
    let (up, wanted) = stage.wait_runners(RUNNERS_WITHIN).await;
    let runners = passed();
    log::info!("lab: {up} of {wanted} runners up after {runners:.1} s");
    let answering = wait_answers(running).await;
    let first_answers = passed();
    log::info!("lab: {answering} routers answer after {first_answers:.1} s");
    let mut shortfalls = Vec::new();
    if up < wanted {
        shortfalls.push(format!("only {up} of {wanted} runners came up"));
    }
    let routers = running.stage.with_role(Role::Router).len();
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

/// Waits until every router has answered a request, and returns how many have.
async fn wait_answers(running: &Running) -> usize {
    let deadline = tokio::time::Instant::now() + ANSWERS_WITHIN;
    let stage = &running.stage;
    let mut silent = stage.with_role(Role::Router);
    let routers = silent.len();
    while !silent.is_empty() && tokio::time::Instant::now() < deadline {
        let mut still = Vec::new();
        for index in silent {
            let http = stage.processes[index].cfg.listen.http;
            if !try_router(&running.client, &stage.cell.document, http).await {
                still.push(index);
            }
        }
        silent = still;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    routers - silent.len()
}

fn start_load(options: &Options, running: &Running) -> (Load, Jobs) {
    let stage = &running.stage;
    let document = &stage.cell.document;
    let routers = Balancer::new(&stage.processes, Role::Router);
    let schedulers = Balancer::new(&stage.processes, Role::Scheduler);
    ntex::rt::spawn(routers.clone().watch(running.client.clone()));
    ntex::rt::spawn(schedulers.clone().watch(running.client.clone()));
    let plan = requests::Plan {
        rate: options.rate,
        seed: options.seed,
        threads: 2,
        impatience: running.impatience.clone(),
    };
    let load = Load::start(&plan, document, &routers, &stage.book);
    let plan = jobs::Plan {
        rate: options.jobs,
        seed: options.seed,
    };
    let jobs = Jobs::start(plan, document, &schedulers, &stage.book);
    (load, jobs)
}

async fn show_progress(book: crate::record::Book, seconds: u64) {
    for passed in (2..=seconds).step_by(2) {
        tokio::time::sleep(Duration::from_secs(2)).await;
        let records = book.records();
        let running = records
            .tasks
            .iter()
            .filter(|run| run.ended.is_none())
            .count();
        log::info!(
            "lab: {passed} of {seconds} s: {} requests settled, {running} tasks running, {} jobs",
            records.calls.len(),
            records.jobs.len()
        );
    }
}

async fn settle(load: &Load, jobs: &Jobs) -> Vec<String> {
    let mut shortfalls = Vec::new();
    if !load.settle(SETTLE_REQUESTS).await {
        shortfalls.push(format!("{} requests were never settled", load.open()));
    }
    let left = jobs.settle(SETTLE_JOBS).await;
    if left > 0 {
        shortfalls.push(format!("{left} jobs have no end yet"));
    }
    shortfalls
}

async fn stop_all(stage: &mut Stage) -> Vec<String> {
    for process in &mut stage.processes {
        process.signal(Signal::Resume);
        process.signal(Signal::Terminate);
    }
    let deadline = tokio::time::Instant::now() + STOP_WITHIN;
    loop {
        let mut left = Vec::new();
        for process in &mut stage.processes {
            if process.is_running() {
                left.push(process.name().to_string());
            }
        }
        if left.is_empty() {
            return Vec::new();
        }
        if tokio::time::Instant::now() >= deadline {
            let names = left.join(", ");
            return vec![format!("killed, as they did not stop in order: {names}")];
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn judge(options: &Options, running: &Running, records: &Records, until: Micros) -> Report {
    let document = &running.stage.cell.document;
    let services: Vec<(Name, u32)> = document
        .services
        .iter()
        .map(|service| (service.name.clone(), service.runners))
        .collect();
    Report {
        experiment: options.name.clone(),
        seed: options.seed,
        seconds: until.since(running.began).as_secs_f64(),
        violations: check::check(records, &Limits::new(now())),
        shortfalls: Vec::new(),
        bring_up: BringUp::default(),
        requests: report::requests(records),
        tasks: report::tasks(records, &services),
        packing: report::packing(records, running.began, until),
        control: report::Control::default(),
        fault: None,
    }
}

/// Returns what a run without faults was to reach and did not.
fn aims(report: &Report) -> Vec<String> {
    let mut short = Vec::new();
    let requests = &report.requests;
    let aim = AIM_IN_30_S * (report.seconds / 30.0).min(1.0);
    if ((requests.ran + requests.not_run) as f64) < aim {
        short.push(format!("fewer than {aim:.0} requests answered"));
    }
    if requests.unknown > 0 {
        short.push(format!(
            "{} requests unknown without a fault",
            requests.unknown
        ));
    }
    if requests.not_run > 0 {
        short.push(format!(
            "{} requests not run without a fault",
            requests.not_run
        ));
    }
    short
}

fn write_records(records: &Records, dir: &Path) -> Result<()> {
    let path = dir.join("records.json");
    let text = serde_json::to_string(records).expect("records are plain data");
    std::fs::write(&path, text).map_err(LabError::io(path.display().to_string()))
}
