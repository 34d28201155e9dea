//! Answers of routers and schedulers about what the document does not declare.

mod harness;

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use harness::{call_until, loopback, send};
use kspan_contract::protocol::hosts::{Host, HostKind, HostState};
use kspan_lab::{
    http::ThreadPool,
    standin::{hosts::Hosts, log::Log},
};
use kspan_node::settings::{Faults, Listen, Platform, Settings};

const DOCUMENT: &str = include_str!("data/small.yaml");

/// Time after which an isolated process no longer acts on what it knows. It exceeds the time for which
/// the guard's evidence is valid, 2 s.
const ISOLATION_TIME: Duration = Duration::from_secs(5);

/// A running router or scheduler, killed when dropped.
struct Process {
    child: Child,
    name: String,
    /// Address for requests of callers.
    http: String,
    admin: String,
    settings: PathBuf,
}

impl Process {
    fn start(binary: &str, name: &str, address: IpAddr, platform: Platform) -> Self {
        let [http, admin, wire] = loopback::free_ports(address);
        let listen = Listen { http, admin, wire };
        let settings = Settings {
            name: name.into(),
            host: name.into(),
            cell: "small".into(),
            region: "Vest".into(),
            data_centre: "vest-1".into(),
            listen,
            platform,
            log_level: "warn".to_owned(),
            stop_grace_ms: 1_000,
            faults: Some(Faults::default()),
        };
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("undeclared");
        fs::create_dir_all(&dir).expect("a writable folder");
        let path = dir.join(format!("{name}.yaml"));
        let text = serde_json::to_string(&settings).expect("settings are serialisable");
        fs::write(&path, text).expect("a writable folder");
        let child = Command::new(binary)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        Self {
            child,
            name: name.to_owned(),
            http: http.to_string(),
            admin: admin.to_string(),
            settings: path,
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

async fn status_and_retry_after(
    method: &str,
    process: &Process,
    path: &str,
    body: &str,
) -> Option<(u16, Option<String>)> {
    let response = send(method, &process.http, path, body).await?;
    Some((response.status, response.retry_after))
}

fn entry_host(name: &str, address: IpAddr) -> Host {
    Host {
        name: name.to_owned(),
        kind: HostKind::Entry,
        state: HostState::Live,
        region: "Vest".to_owned(),
        data_centre: "vest-1".to_owned(),
        rack: "r".to_owned(),
        address: SocketAddr::new(address, 0),
    }
}

/// Publishes the document through `kspanctl`.
fn publish(log: SocketAddr) {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("undeclared");
    fs::create_dir_all(&dir).expect("a writable folder");
    let path = dir.join("document.yaml");
    fs::write(&path, DOCUMENT).expect("a writable folder");
    let output = Command::new(env!("CARGO_BIN_EXE_kspanctl"))
        .args(["--log", &log.to_string(), "publish"])
        .arg(&path)
        .env("KSPAN_OPERATOR", "ada")
        .output()
        .expect("kspanctl starts");
    assert!(output.status.success(), "{output:?}");
}

#[ntex::test]
async fn what_an_isolated_process_does_not_know_is_not_said_to_be_undeclared() {
    let submission = r#"{"workload":"unheard-of","key":"k-1"}"#;
    let table = [
        (
            env!("CARGO_BIN_EXE_kspan-router"),
            "GET",
            "/s/unheard-of/x",
            "",
        ),
        (
            env!("CARGO_BIN_EXE_kspan-scheduler"),
            "POST",
            "/v1/jobs",
            submission,
        ),
    ];
    for (at, (binary, method, path, body)) in table.into_iter().enumerate() {
        let pool = ThreadPool::new(2);
        let free: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let names = [0, 1, 2].map(|number| format!("entry-{at}-{number}"));
        let addresses = [(); 3].map(|()| loopback::own_address());
        let hosts = names.iter().zip(addresses);
        let hosts = hosts.map(|(name, address)| entry_host(name, address));
        let hosts = Hosts::new(hosts.collect());
        let hosts = hosts.serve(&pool, free).expect("the host list starts");
        let log = Log::new().serve(&pool, free).expect("the log starts");
        publish(log.address);
        let platform = Platform {
            log: log.address,
            hosts: hosts.address,
        };
        let processes: Vec<_> = names
            .iter()
            .zip(addresses)
            .map(|(name, address)| Process::start(binary, name, address, platform))
            .collect();
        for process in &processes {
            call_until(method, &process.http, path, body, 404).await;
        }

        let isolated = &processes[0];
        let others = processes[1..]
            .iter()
            .map(|other| other.name.as_str().into());
        let faults = Faults {
            cut_log: true,
            cut_names: others.collect(),
            ..Faults::default()
        };
        let faults = serde_json::to_string(&faults).expect("faults are serialisable");
        call_until("PUT", &isolated.admin, "/faults", &faults, 204).await;
        tokio::time::sleep(ISOLATION_TIME).await;
        let answer = status_and_retry_after(method, isolated, path, body).await;
        assert!(
            matches!(answer, Some((503, Some(_)))),
            "{method} {path}: {answer:?}"
        );
        let answer = status_and_retry_after(method, &processes[1], path, body).await;
        assert_eq!(answer, Some((404, None)), "{method} {path}");
    }
}
