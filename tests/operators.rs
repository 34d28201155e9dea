//! Tests of `kspanctl` against the log stand-in: exit codes, messages and output formats.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use kspan_lab::{http::ThreadPool, standin::log::Log};

const EXAMPLE: &str = include_str!("../examples/haugland.yaml");

const EXIT_REFUSED: Option<i32> = Some(1);
const EXIT_USAGE: Option<i32> = Some(2);
const EXIT_UNREACHABLE: Option<i32> = Some(3);

fn kspanctl(args: &[&str]) -> Output {
    let mut cmd = Command::new(env!("CARGO_BIN_EXE_kspanctl"));
    cmd.args(args)
        .env_remove("KSPAN_LOG")
        .env("KSPAN_OPERATOR", "ada");
    cmd.output().expect("failed to run kspanctl")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn write(name: &str, content: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("operators");
    fs::create_dir_all(&dir).expect("failed to create the folder for files");
    let path = dir.join(name);
    fs::write(&path, content).expect("failed to write a file");
    path
}

#[test]
fn failures_exit_with_their_code_and_suggest_the_next_step() {
    let faulty = write("faulty.yaml", &EXAMPLE.replace("32GiB", "32GB"));
    let faulty = faulty.to_str().expect("a path is text");
    let cases: [(&[&str], Option<i32>); 6] = [
        (&["frobnicate"], EXIT_USAGE),
        (&["status"], EXIT_USAGE),
        (&["validate", "/nowhere.yaml"], EXIT_USAGE),
        (&["validate", faulty], EXIT_REFUSED),
        (&["--log", "127.0.0.1:1", "status"], EXIT_UNREACHABLE),
        (&["-o", "xml", "validate", faulty], EXIT_USAGE),
    ];
    for (args, code) in cases {
        let output = kspanctl(args);
        let stderr = text(&output.stderr);
        assert_eq!(output.status.code(), code, "{args:?}: {stderr}");
        assert!(stderr.contains("next:"), "{args:?}: {stderr}");
    }
}

/// Guards against a count that does not agree with its noun.
#[test]
fn validate_counts_errors() {
    let faulty = write("one-error.yaml", &EXAMPLE.replacen("32GiB", "32GB", 1));
    let output = kspanctl(&["validate", faulty.to_str().expect("a path is text")]);
    let stderr = text(&output.stderr);
    assert!(stderr.contains("one-error.yaml: 1 error\n"), "{stderr}");
}

/// Guards against a hint that sends the operator to look for a name when the cell has no members.
#[test]
fn dump_of_a_cell_without_members_says_so() {
    let log = Log::new();
    let pool = ThreadPool::new(1);
    let address = "127.0.0.1:0".parse().expect("a valid address");
    let serving = log.serve(&pool, address).expect("failed to start the log");
    let log_address = serving.address.to_string();
    for args in [&["dump"][..], &["dump", "--process", "router-1"]] {
        let output = kspanctl(&[&["--log", log_address.as_str()], args].concat());
        let stderr = text(&output.stderr);
        assert_eq!(output.status.code(), EXIT_REFUSED, "{args:?}: {stderr}");
        let message = "no process is a member of the cell";
        assert!(stderr.contains(message), "{args:?}: {stderr}");
    }
}

#[test]
fn publish_accepts_a_change_to_the_current_version_and_refuses_a_stale_one() {
    let log = Log::new();
    let pool = ThreadPool::new(1);
    let address = "127.0.0.1:0".parse().expect("a valid address");
    let serving = log.serve(&pool, address).expect("failed to start the log");
    let log_address = serving.address.to_string();
    let run = |args: &[&str]| kspanctl(&[&["--log", log_address.as_str()], args].concat());

    let first = write("first.yaml", EXAMPLE);
    let first = first.to_str().expect("a path is text");
    let output = run(&["publish", first]);
    assert!(output.status.success(), "{}", text(&output.stderr));

    let shown = text(&run(&["show"]).stdout);
    assert!(shown.starts_with("# edited from version: "), "{shown}");
    assert!(shown.ends_with(&EXAMPLE[EXAMPLE.len() - 20..]));

    let raised = write("raised.yaml", &shown.replace("runners: 50", "runners: 60"));
    let raised = raised.to_str().expect("a path is text");
    let diff = text(&run(&["diff", raised]).stdout);
    assert_eq!(diff.trim(), "~ services[ledger].runners: 50 -> 60");
    assert!(run(&["publish", raised]).status.success());

    let stale = write("stale.yaml", &shown.replace("runners: 50", "runners: 40"));
    let output = run(&["publish", stale.to_str().expect("a path is text")]);
    assert_eq!(output.status.code(), EXIT_REFUSED);
    assert!(
        text(&output.stderr).contains("services/ledger"),
        "{}",
        text(&output.stderr)
    );

    let output = run(&["-o", "json", "drain", "worker-7"]);
    assert!(output.status.success());
    let offset: u64 = text(&output.stdout)
        .trim()
        .parse()
        .expect("the output is an offset");
    assert_eq!(
        offset,
        log.entries().last().expect("the log holds a record").offset
    );
}
