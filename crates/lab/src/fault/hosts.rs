//! Faults of the system's own hosts and processes.

use std::time::Duration;

use kspan_model::Role;
use rand_chacha::ChaCha8Rng;

use super::{pick, wait_ready};
use crate::{
    error::Result,
    experiment::{Experiment, republish},
    process::Signal,
};

/// Duration of a pause; longer than the control lease, the task lease's renewal and the guard.
const PAUSE_DURATION: Duration = Duration::from_secs(7);

/// Timeout of a graceful shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

pub(super) async fn kill_router(experiment: &mut Experiment, rng: &mut ChaCha8Rng) -> Result<()> {
    let routers = experiment.testbed.indexes_with_role(Role::Router);
    let victim = pick(rng, &routers);
    experiment.wait_until(0.25).await;
    experiment.testbed.kill(victim);
    experiment.wait_until(0.6).await;
    experiment.testbed.start(victim)?;
    wait_ready(experiment, victim).await;
    Ok(())
}

pub(super) async fn kill_scheduler(
    experiment: &mut Experiment,
    rng: &mut ChaCha8Rng,
) -> Result<()> {
    experiment.wait_until(0.25).await;
    let victim = pick_owner(experiment, rng);
    experiment.testbed.kill(victim);
    experiment.wait_until(0.6).await;
    experiment.testbed.start(victim)?;
    wait_ready(experiment, victim).await;
    Ok(())
}

pub(super) async fn double_kill(experiment: &mut Experiment, rng: &mut ChaCha8Rng) -> Result<()> {
    experiment.wait_until(0.2).await;
    let first = pick_owner(experiment, rng);
    let shard = experiment.testbed.processes[first].cfg.data_centre.clone();
    experiment.testbed.kill(first);
    let routers = experiment.testbed.indexes_with_role(Role::Router);
    let router = pick(rng, &routers);
    experiment.testbed.kill(router);
    // Within this time the successor takes over; it is then killed as well.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let successor = experiment
        .testbed
        .owner_of_data_centre(&shard)
        .filter(|index| *index != first);
    if let Some(successor) = successor {
        experiment.testbed.kill(successor);
    }
    experiment.wait_until(0.7).await;
    for index in [Some(first), Some(router), successor].into_iter().flatten() {
        experiment.testbed.start(index)?;
    }
    wait_ready(experiment, first).await;
    Ok(())
}

pub(super) async fn pause_past_lease(
    experiment: &mut Experiment,
    rng: &mut ChaCha8Rng,
) -> Result<()> {
    experiment.wait_until(0.15).await;
    let victim = pick_owner(experiment, rng);
    pause_and_resume(experiment, victim).await;
    experiment.wait_until(0.55).await;
    let routers = experiment.testbed.indexes_with_role(Role::Router);
    let victim = pick(rng, &routers);
    pause_and_resume(experiment, victim).await;
    Ok(())
}

pub(super) async fn rolling_replace(experiment: &mut Experiment, _: &mut ChaCha8Rng) -> Result<()> {
    experiment.wait_until(0.05).await;
    let hosts = experiment.testbed.cell.entries.len();
    for host in 0..hosts {
        if host == hosts / 2 {
            republish(experiment);
        }
        // The two processes of a host are adjacent in the list.
        let processes_of_host = [2 * host, 2 * host + 1];
        for index in processes_of_host {
            experiment.testbed.terminate(index);
        }
        for index in processes_of_host {
            restart_after_exit(experiment, index).await?;
        }
        for index in processes_of_host {
            wait_ready(experiment, index).await;
        }
    }
    experiment.record_fault("all entry hosts have been replaced");
    Ok(())
}

async fn restart_after_exit(experiment: &mut Experiment, index: usize) -> Result<()> {
    if !experiment.testbed.wait_exit(index, STOP_TIMEOUT).await {
        let name = experiment.testbed.processes[index].name().clone();
        experiment.record_fault(format!("{name} did not stop within {STOP_TIMEOUT:?}"));
        experiment.testbed.kill(index);
    }
    experiment.testbed.start(index)
}

async fn pause_and_resume(experiment: &mut Experiment, victim: usize) {
    let name = experiment.testbed.processes[victim].name().clone();
    experiment.record_fault(format!("{name} is paused"));
    experiment.testbed.processes[victim].signal(Signal::Pause);
    tokio::time::sleep(PAUSE_DURATION).await;
    experiment.testbed.processes[victim].signal(Signal::Resume);
    experiment.record_fault(format!("{name} is resumed"));
}

/// Returns the index of a random process that owns a shard, or of any scheduler if none does.
fn pick_owner(experiment: &Experiment, rng: &mut ChaCha8Rng) -> usize {
    let owners: Vec<usize> = experiment
        .testbed
        .cell
        .document
        .data_centres()
        .filter_map(|(_, dc)| experiment.testbed.owner_of_data_centre(dc))
        .collect();
    if owners.is_empty() {
        return pick(rng, &experiment.testbed.indexes_with_role(Role::Scheduler));
    }
    pick(rng, &owners)
}
