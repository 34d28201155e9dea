//! End-to-end tests with real processes: document, schedulers, workers, routers and runners.
//!
//! The tests fail on violated promises, but not on the promises that bound a time: these depend on
//! the speed of the machine and are checked when `kspan-lab` is run by hand.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    thread,
    time::Duration,
};

use serde_json::Value;

/// Promises that bound a time, so that their check depends on the speed of the machine.
const TIMED_PROMISES: [&str; 2] = ["leaving", "in-force"];

fn report_dir(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

fn lab_command(name: &str, args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kspan-lab"));
    command
        .args(args)
        .arg("--deployment")
        .arg(Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/small.yaml"))
        .args(["--rate", "60", "--seed", "7"])
        .arg("--report")
        .arg(report_dir(name))
        // Without `CARGO`, the lab uses the programs as built instead of building them.
        .env_remove("CARGO")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

fn check_report(name: &str, output: &Output) -> Value {
    let stderr = String::from_utf8_lossy(&output.stderr);
    let path = report_dir(name).join("report.json");
    let text = fs::read_to_string(&path).unwrap_or_else(|err| panic!("{err}: {stderr}"));
    let report: Value = serde_json::from_str(&text).expect("the report is JSON");
    let violations = report["violations"]
        .as_array()
        .expect("violations are a list");
    let violated: Vec<&Value> = violations
        .iter()
        .filter(|violation| {
            !TIMED_PROMISES
                .iter()
                .any(|timed| violation["promise"] == *timed)
        })
        .collect();
    assert!(violated.is_empty(), "{violated:#?}");
    let requests = &report["requests"];
    let count = |name: &str| requests[name].as_u64().expect("the count is a number");
    assert!(count("ran") > 0, "no request was run: {report:#}");
    assert_eq!(
        count("sent"),
        count("ran") + count("not_run") + count("unknown")
    );
    report
}

#[test]
fn a_run_without_faults_violates_no_promise() {
    let name = "whole-path-run";
    let output = lab_command(name, &["run", "--seconds", "4"])
        .output()
        .unwrap();
    let report = check_report(name, &output);
    for workload in ["stock", "plan"] {
        let ended = report["tasks"][workload]["jobs_ended"].as_u64();
        assert!(ended > Some(0), "no {workload} job ended: {report:#}");
    }
}

#[test]
fn a_rolling_replacement_stops_each_process_once_and_violates_no_promise() {
    let name = "whole-path-stop";
    let args = ["fault", "rolling-replace", "--seconds", "12"];
    let output = lab_command(name, &args).output().unwrap();
    let report = check_report(name, &output);
    let events = report["fault"]["events"]
        .as_array()
        .expect("events are a list");
    let stops = events.iter().filter(|event| {
        event
            .as_str()
            .is_some_and(|text| text.contains("PlannedStop"))
    });
    assert_eq!(
        stops.count(),
        6,
        "expected one planned stop of each of the 6 processes"
    );
}

#[test]
fn processes_use_no_io_uring_and_start_no_child_process() {
    let name = "whole-path-descriptors";
    let mut child = lab_command(name, &["run", "--seconds", "4"])
        .spawn()
        .unwrap();
    let (mut programs, mut faults) = (BTreeSet::new(), BTreeSet::new());
    while child.try_wait().unwrap().is_none() {
        for pid in children_of(child.id()) {
            if let Some(program) = program_of(pid) {
                faults.extend(process_faults(pid, &program));
                programs.insert(program);
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    let output = wait_for_output(child);
    check_report(name, &output);
    assert_eq!(faults, BTreeSet::new());
    let expected = ["kspan-router", "kspan-scheduler"].map(str::to_owned);
    assert_eq!(programs, BTreeSet::from(expected));
}

fn wait_for_output(child: Child) -> Output {
    child
        .wait_with_output()
        .expect("failed to wait for the lab")
}

fn process_faults(pid: u32, program: &str) -> Vec<String> {
    let mut faults = Vec::new();
    for descriptor in fs::read_dir(format!("/proc/{pid}/fd"))
        .into_iter()
        .flatten()
        .flatten()
    {
        let target = fs::read_link(descriptor.path()).unwrap_or_default();
        if target.to_string_lossy().contains("io_uring") {
            faults.push(format!(
                "{program} has an open descriptor of {}",
                target.display()
            ));
        }
    }
    if !children_of(pid).is_empty() {
        faults.push(format!("{program} has started a process"));
    }
    faults
}

fn program_of(pid: u32) -> Option<String> {
    let path = fs::read_link(format!("/proc/{pid}/exe")).ok()?;
    let name = path.file_name()?.to_string_lossy().into_owned();
    // Between fork and exec, a child still has the executable of its parent.
    (name != "kspan-lab").then_some(name)
}

fn children_of(parent: u32) -> Vec<u32> {
    fs::read_dir("/proc")
        .into_iter()
        .flatten()
        .flatten()
        .filter_map(|entry| entry.file_name().to_string_lossy().parse().ok())
        .filter(|pid| parent_of(*pid) == Some(parent))
        .collect()
}

fn parent_of(pid: u32) -> Option<u32> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    fields.split_whitespace().nth(1)?.parse().ok()
}
