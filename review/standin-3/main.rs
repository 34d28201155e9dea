//! Cases of the third review: each starts the system against stand-ins, and judges what they saw.
//!
//! Usage: `review-3 CASE PROGRAM RECORD`. Exits with 1 if a rule was broken, 0 if it held, and 2 if the
//! case couldn't run. `TROUBLE=0` leaves the disruption out.

mod cell;
mod http;
mod late;
mod many_tasks;
mod odd_entry;
mod record;
mod runner;
mod store;

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cell::{Machine, Offer};
use record::Record;
use runner::Runner;
use store::Store;

/// Names of the stand-ins' service and queue.
pub const SERVICE: &str = "svc";
pub const HOST: &str = "queue.example";
pub const PREFIX: &str = "/work/";

/// Machines of `sites/haugland-pant.toml`: a quarter of a core, 260 MB.
const OFFER: Offer = Offer {
    processors: 0.25,
    memory_mb: 260,
};

/// Numbers of the system's machines and of the runners.
const MACHINES: u8 = 3;
const RUNNERS: usize = 8;

/// The system with its stand-ins.
pub struct Testbed {
    pub machines: Vec<Machine>,
    pub runners: Vec<Runner>,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub has_trouble: bool,
    folder: PathBuf,
}

impl Testbed {
    fn start(program: &Path, record: &Path) -> Option<Self> {
        let record = Arc::new(Record::create(record));
        let folder = env::temp_dir().join(format!("kspan-review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let store = Arc::new(Store::default());
        let config = format!(
            "{{\"Version\":3,\"Routes\":[{{\"Name\":\"r\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{PREFIX}\",\
             \"Kind\":\"unsafe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":400,\"Priority\":0,\
             \"Service\":\"{SERVICE}\",\"MaxAttempts\":4,\"Stretch\":1.5}}],\"Services\":[{{\"Name\":\
             \"{SERVICE}\",\"HealthPath\":\"/health\",\"MaxConns\":64,\"AdmissionCheck\":false}}],\
             \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144}}}}"
        );
        store.put("keyed.op", "config", &config);
        let runners = (0..RUNNERS).map(|number| Runner::start(number, SERVICE, &store));
        let runners = runners.collect();
        let served = Arc::clone(&store);
        let addr = http::serve(move |req| served.handle(req)).to_string();
        let numbers = 1..=MACHINES;
        let start = |number| Machine::start(number, &addr, OFFER, program, &folder, &record);
        let testbed = Self {
            machines: numbers.map(start).collect(),
            runners,
            record,
            store,
            has_trouble: env::var("TROUBLE").map_or(true, |trouble| trouble != "0"),
            folder,
        };
        testbed.is_ready().then_some(testbed)
    }

    /// Waits until all machines are ready.
    fn is_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let ready = |machine: &Machine| {
            let timeout = Duration::from_millis(500);
            let answer = http::call(&machine.ready, "GET", "/api/ready", HOST, "", timeout);
            answer.is_some_and(|(status, _)| status == 200)
        };
        while Instant::now() < until {
            if self.machines.iter().all(ready) {
                self.record.line("all machines are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("the machines did not get ready");
        false
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        self.machines.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, program, record] = &args[..] else {
        eprintln!("usage: review-3 CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let (program, record) = (Path::new(program), Path::new(record));
    if !program.exists() {
        eprintln!("{} is missing", program.display());
        return ExitCode::from(2);
    }
    let Some(testbed) = Testbed::start(program, record) else {
        return ExitCode::from(2);
    };
    let held = match case.as_str() {
        "odd-entry" => odd_entry::run(&testbed),
        "many-tasks" => many_tasks::run(&testbed),
        "late" => late::run(&testbed),
        _ => return ExitCode::from(2),
    };
    let record = Arc::clone(&testbed.record);
    drop(testbed);
    record.line(if held {
        "the rule held"
    } else {
        "the rule was broken"
    });
    ExitCode::from(u8::from(!held))
}
