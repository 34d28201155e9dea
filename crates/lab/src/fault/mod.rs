//! Experiments with faults.
//!
//! Each scenario is a script that runs beside the load. The same checker judges the same records
//! as in a run without faults.

mod cost;
mod hosts;
mod platform;
mod upstreams;

use std::{future::Future, path::Path, pin::Pin, process::Command, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    error::{LabError, Result},
    experiment::{Options, Running, run_with},
    report::Report,
};

/// A script's future, which borrows the experiment.
type ScriptFuture<'a> = Pin<Box<dyn Future<Output = Result<()>> + 'a>>;

/// Time that a process has to become ready again.
const READY_AGAIN: Duration = Duration::from_secs(10);

/// One experiment with faults.
pub struct Scenario {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it does, in one line.
    pub about: &'static str,
    script: for<'a> fn(&'a mut Running, &'a mut ChaCha8Rng) -> ScriptFuture<'a>,
}

macro_rules! scenario {
    ($name:literal, $about:literal, $script:path) => {
        Scenario {
            name: $name,
            about: $about,
            script: |running, rng| Box::pin($script(running, rng)),
        }
    };
}

/// All scenarios, in the order in which they are run.
pub const SCENARIOS: &[Scenario] = &[
    scenario!(
        "kill-router",
        "kills a router and starts it again",
        hosts::kill_router
    ),
    scenario!(
        "kill-scheduler",
        "kills the owner of a shard and starts it again",
        hosts::kill_scheduler
    ),
    scenario!(
        "pause-past-lease",
        "pauses an owner, then a router, past every lease",
        hosts::pause_past_lease
    ),
    scenario!(
        "log-outage",
        "takes the log away while nothing dies",
        platform::log_outage
    ),
    scenario!(
        "log-outage-and-kill",
        "kills a whole entry host while the log is away",
        platform::log_outage_and_kill
    ),
    scenario!(
        "lost-append-answers",
        "loses every second answer to an append that took effect",
        platform::lost_append_answers
    ),
    scenario!(
        "region-partition",
        "cuts a region off from the others and from the log",
        platform::region_partition
    ),
    scenario!(
        "rolling-replace",
        "replaces every entry host in turn",
        hosts::rolling_replace
    ),
    scenario!(
        "resend-after-lost-answer",
        "callers give up early and send again elsewhere",
        upstreams::resend
    ),
    scenario!(
        "drain-upstream",
        "drains workers by operator, host list and health answer",
        upstreams::drain
    ),
    scenario!(
        "retention-passes",
        "lets the log forget all but its newest records",
        platform::retention_passes
    ),
    scenario!(
        "worker-fails-everything",
        "lets some workers fail every task",
        upstreams::worker_fails
    ),
    scenario!(
        "misbehaving-runners",
        "lets runners truncate, hang, talk garbage, close and be late",
        upstreams::misbehave
    ),
    scenario!(
        "double-kill",
        "kills an owner, its successor and a router",
        hosts::double_kill
    ),
];

/// Returns the scenario of that name.
///
/// # Errors
///
/// Returns an error that lists the names where there is none.
pub fn find(name: &str) -> Result<&'static Scenario> {
    SCENARIOS
        .iter()
        .find(|scenario| scenario.name == name)
        .ok_or_else(|| {
            let names: Vec<&str> = SCENARIOS.iter().map(|scenario| scenario.name).collect();
            LabError::Usage(format!("no fault {name}; there are {}", names.join(", ")))
        })
}

/// Runs one scenario.
///
/// # Errors
///
/// Returns an error where the experiment could not be carried out.
pub async fn run(scenario: &'static Scenario, options: Options) -> Result<Report> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let dir = options.dir.clone();
    let (records, mut report) = run_with(options, false, async move |running: &mut Running| {
        (scenario.script)(running, &mut rng).await
    })
    .await?;
    report.fault = Some(cost::of(&records, report.seconds));
    report.write(&dir)?;
    Ok(report)
}

/// Runs every scenario in a process of its own, so that none inherits another's threads.
///
/// # Errors
///
/// Returns an error where the lab can't start itself.
pub fn run_all(words: &[String], dir: &Path) -> Result<bool> {
    let own = std::env::current_exe().map_err(LabError::io("finding the lab's program"))?;
    let mut failed = Vec::new();
    for scenario in SCENARIOS {
        println!("== {}", scenario.name);
        let status = Command::new(&own)
            .arg("fault")
            .arg(scenario.name)
            .args(words)
            .arg("--report")
            .arg(dir.join(scenario.name))
            // The programs are built by now.
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

/// Waits until a process is ready again, and notes it where it is not.
async fn wait_ready(running: &mut Running, index: usize) {
    let admin = running.stage.processes[index].cfg.listen.admin;
    let deadline = tokio::time::Instant::now() + READY_AGAIN;
    while tokio::time::Instant::now() < deadline {
        if crate::stage::is_ready(&running.client, admin).await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let name = running.stage.processes[index].name().clone();
    running.note(format!("{name} is not ready after {READY_AGAIN:?}"));
}

/// Picks one of several at random.
fn pick(rng: &mut ChaCha8Rng, from: &[usize]) -> usize {
    from[rng.random_range(0..from.len())]
}
