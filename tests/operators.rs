//! The operators' command line against the log stand-in: exit codes and output forms.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use kspan_lab::{http::ThreadPool, standin::log::Log};

const EXAMPLE: &str = include_str!("../examples/haugland.yaml");

const REFUSED: Option<i32> = Some(1);
const USAGE: Option<i32> = Some(2);
const UNREACHABLE: Option<i32> = Some(3);

fn kspanctl(args: &[&str]) -> Output {
    let mut cmd = Command::new(env!("CARGO_BIN_EXE_kspanctl"));
    cmd.args(args)
        .env_remove("KSPAN_LOG")
        .env("KSPAN_OPERATOR", "ada");
    cmd.output().expect("kspanctl runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn write(name: &str, content: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("operators");
    fs::create_dir_all(&dir).expect("a folder for files");
    let path = dir.join(name);
    fs::write(&path, content).expect("a file is written");
    path
}

#[test]
fn mistakes_end_with_their_code_and_what_to_do_next() {
    let faulty = write("faulty.yaml", &EXAMPLE.replace("32GiB", "32GB"));
    let faulty = faulty.to_str().expect("a path is text");
    let cases: [(&[&str], Option<i32>); 6] = [
        (&["frobnicate"], USAGE),
        (&["status"], USAGE),
        (&["validate", "/nowhere.yaml"], USAGE),
        (&["validate", faulty], REFUSED),
        (&["--log", "127.0.0.1:1", "status"], UNREACHABLE),
        (&["-o", "xml", "validate", faulty], USAGE),
    ];
    for (args, code) in cases {
        let output = kspanctl(args);
        let told = text(&output.stderr);
        assert_eq!(output.status.code(), code, "{args:?}: {told}");
        assert!(told.contains("next:"), "{args:?}: {told}");
    }
}

#[test]
fn a_document_is_published_shown_changed_and_kept_from_a_stale_change() {
    let log = Log::new();
    let pool = ThreadPool::new(1);
    let address = "127.0.0.1:0".parse().expect("an address");
    let serving = log.serve(&pool, address).expect("the log listens");
    let at = serving.address.to_string();
    let run = |args: &[&str]| kspanctl(&[&["--log", at.as_str()], args].concat());

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
    assert_eq!(output.status.code(), REFUSED);
    assert!(
        text(&output.stderr).contains("services/ledger"),
        "{}",
        text(&output.stderr)
    );

    let output = run(&["-o", "json", "drain", "worker-7"]);
    assert!(output.status.success());
    let offset: u64 = text(&output.stdout).trim().parse().expect("an offset");
    assert_eq!(offset, log.entries().last().expect("a record").offset);
}
