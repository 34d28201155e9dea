//! Experiments with injected faults.
//!
//! Each scenario is a script that runs concurrently with the load. The records are checked in the
//! same way as in a run without faults.

mod cost;
mod hosts;
mod platform;
mod upstreams;

use std::{future::Future, path::Path, pin::Pin, process::Command, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    error::{LabError, Result},
    experiment::{Experiment, Options, run_with},
    report::Report,
};

/// Future of a script, which borrows the experiment.
type ScriptFuture<'a> = Pin<Box<dyn Future<Output = Result<()>> + 'a>>;

/// Timeout for a restarted process to become ready.
const RESTART_READY_TIMEOUT: Duration = Duration::from_secs(10);

/// An experiment with an injected fault.
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description.
    pub description: &'static str,
    script: for<'a> fn(&'a mut Experiment, &'a mut ChaCha8Rng) -> ScriptFuture<'a>,
}

macro_rules! scenario {
    ($name:literal, $description:literal, $script:path) => {
        Scenario {
            name: $name,
            description: $description,
            script: |experiment, rng| Box::pin($script(experiment, rng)),
        }
    };
}

/// All scenarios, in the order in which they are run.
pub const SCENARIOS: &[Scenario] = &[
    scenario!(
        "kill-router",
        "kills and restarts a router",
        hosts::kill_router
    ),
    scenario!(
        "kill-scheduler",
        "kills and restarts the owner of a shard",
        hosts::kill_scheduler
    ),
    scenario!(
        "pause-past-lease",
        "pauses an owner, then a router, past every lease",
        hosts::pause_past_lease
    ),
    scenario!(
        "log-outage",
        "makes the log unavailable while all processes run",
        platform::log_outage
    ),
    scenario!(
        "log-outage-and-kill",
        "kills both processes of an entry host during a log outage",
        platform::log_outage_and_kill
    ),
    scenario!(
        "lost-append-answers",
        "drops every second response to a successful append",
        platform::lost_append_answers
    ),
    scenario!(
        "region-partition",
        "partitions a region from the others and from the log",
        platform::region_partition
    ),
    scenario!(
        "rolling-replace",
        "replaces every entry host in turn",
        hosts::rolling_replace
    ),
    scenario!(
        "resend-after-lost-answer",
        "callers abort sends early and retry at another host",
        upstreams::resend_after_lost_answer
    ),
    scenario!(
        "drain-upstream",
        "drains workers by operator, host list and health response",
        upstreams::drain_upstream
    ),
    scenario!(
        "retention-passes",
        "truncates the log to its newest records",
        platform::retention_passes
    ),
    scenario!(
        "worker-fails-everything",
        "makes some workers fail every task",
        upstreams::worker_fails_everything
    ),
    scenario!(
        "misbehaving-runners",
        "makes runners truncate, hang, send garbage, close connections and respond late",
        upstreams::misbehaving_runners
    ),
    scenario!(
        "double-kill",
        "kills an owner, its successor and a router",
        hosts::double_kill
    ),
];

/// Returns the scenario with the given name.
///
/// # Errors
///
/// Returns an error that lists all names if there is no such scenario.
pub fn find(name: &str) -> Result<&'static Scenario> {
    SCENARIOS
        .iter()
        .find(|scenario| scenario.name == name)
        .ok_or_else(|| {
            let names: Vec<&str> = SCENARIOS.iter().map(|scenario| scenario.name).collect();
            LabError::Usage(format!(
                "unknown fault {name}; expected one of {}",
                names.join(", ")
            ))
        })
}

/// Runs one scenario.
///
/// # Errors
///
/// Returns an error if the experiment could not be carried out.
pub async fn run(scenario: &'static Scenario, options: Options) -> Result<Report> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let dir = options.dir.clone();
    let (records, mut report) =
        run_with(options, false, async move |experiment: &mut Experiment| {
            (scenario.script)(experiment, &mut rng).await
        })
        .await?;
    report.fault = Some(cost::summarise(&records, report.seconds));
    report.write(&dir)?;
    Ok(report)
}

/// Runs every scenario in a separate process, so that no threads remain from an earlier one.
///
/// Returns whether all passed.
///
/// # Errors
///
/// Returns an error if the lab's program can't be started.
pub fn run_all(args: &[String], dir: &Path) -> Result<bool> {
    let program = std::env::current_exe().map_err(LabError::io("finding the lab's program"))?;
    let mut failed = Vec::new();
    for scenario in SCENARIOS {
        println!("== {}", scenario.name);
        let status = Command::new(&program)
            .arg("fault")
            .arg(scenario.name)
            .args(args)
            .arg("--report")
            .arg(dir.join(scenario.name))
            // The programs have been built already; without `CARGO` they are not built again.
            .env_remove("CARGO")
            .status()
            .map_err(LabError::io("starting the lab"))?;
        if !status.success() {
            failed.push(scenario.name);
        }
    }
    let count = SCENARIOS.len();
    println!(
        "== {} of {count} passed; failed: {failed:?}",
        count - failed.len()
    );
    Ok(failed.is_empty())
}

/// Waits until a restarted process is ready; records a fault if it is not in time.
async fn wait_ready(experiment: &mut Experiment, index: usize) {
    let admin = experiment.testbed.processes[index].cfg.listen.admin;
    let deadline = tokio::time::Instant::now() + RESTART_READY_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        if crate::testbed::is_ready(&experiment.client, admin).await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let name = experiment.testbed.processes[index].name().clone();
    experiment.record_fault(format!(
        "{name} is not ready after {RESTART_READY_TIMEOUT:?}"
    ));
}

/// Returns a random element.
fn pick(rng: &mut ChaCha8Rng, indexes: &[usize]) -> usize {
    indexes[rng.random_range(0..indexes.len())]
}
