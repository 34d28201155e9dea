//! Faults of the system's own hosts and processes.

use std::time::Duration;

use kspan_model::Role;
use rand_chacha::ChaCha8Rng;

use super::{pick, wait_ready};
use crate::{
    error::Result,
    experiment::{Running, republish},
    process::Signal,
};

/// Longer than the control lease, the task lease's renewal and the guard.
const PAUSE: Duration = Duration::from_secs(7);

/// Time that a planned stop may take.
const STOP_WITHIN: Duration = Duration::from_secs(15);

pub(super) async fn kill_router(running: &mut Running, rng: &mut ChaCha8Rng) -> Result<()> {
    let routers = running.stage.with_role(Role::Router);
    let victim = pick(rng, &routers);
    running.wait_until(0.25).await;
    running.stage.kill(victim);
    running.wait_until(0.6).await;
    running.stage.start(victim)?;
    wait_ready(running, victim).await;
    Ok(())
}

pub(super) async fn kill_scheduler(running: &mut Running, rng: &mut ChaCha8Rng) -> Result<()> {
    running.wait_until(0.25).await;
    let victim = owner(running, rng);
    running.stage.kill(victim);
    running.wait_until(0.6).await;
    running.stage.start(victim)?;
    wait_ready(running, victim).await;
    Ok(())
}

pub(super) async fn double_kill(running: &mut Running, rng: &mut ChaCha8Rng) -> Result<()> {
    running.wait_until(0.2).await;
    let first = owner(running, rng);
    let shard = running.stage.processes[first].cfg.data_centre.clone();
    running.stage.kill(first);
    let routers = running.stage.with_role(Role::Router);
    let router = pick(rng, &routers);
    running.stage.kill(router);
    // The successor has taken over by then, and dies in its turn.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let successor = running
        .stage
        .owner_in(&shard)
        .filter(|index| *index != first);
    if let Some(successor) = successor {
        running.stage.kill(successor);
    }
    running.wait_until(0.7).await;
    for index in [Some(first), Some(router), successor].into_iter().flatten() {
        running.stage.start(index)?;
    }
    wait_ready(running, first).await;
    Ok(())
}

pub(super) async fn pause_past_lease(running: &mut Running, rng: &mut ChaCha8Rng) -> Result<()> {
    running.wait_until(0.15).await;
    let victim = owner(running, rng);
    pause(running, victim).await;
    running.wait_until(0.55).await;
    let routers = running.stage.with_role(Role::Router);
    let victim = pick(rng, &routers);
    pause(running, victim).await;
    Ok(())
}

pub(super) async fn rolling_replace(running: &mut Running, _: &mut ChaCha8Rng) -> Result<()> {
    running.wait_until(0.05).await;
    let hosts = running.stage.cell.entries.len();
    for host in 0..hosts {
        if host == hosts / 2 {
            republish(running);
        }
        // Both processes of a host stand side by side in the list.
        let both = [2 * host, 2 * host + 1];
        for index in both {
            running.stage.terminate(index);
        }
        for index in both {
            replace(running, index).await?;
        }
        for index in both {
            wait_ready(running, index).await;
        }
    }
    running.note("every entry host is replaced");
    Ok(())
}

async fn replace(running: &mut Running, index: usize) -> Result<()> {
    if !running.stage.wait_exit(index, STOP_WITHIN).await {
        let name = running.stage.processes[index].name().clone();
        running.note(format!("{name} did not stop within {STOP_WITHIN:?}"));
        running.stage.kill(index);
    }
    running.stage.start(index)
}

async fn pause(running: &mut Running, victim: usize) {
    let name = running.stage.processes[victim].name().clone();
    running.note(format!("{name} is paused"));
    running.stage.processes[victim].signal(Signal::Pause);
    tokio::time::sleep(PAUSE).await;
    running.stage.processes[victim].signal(Signal::Resume);
    running.note(format!("{name} goes on"));
}

/// Returns the position of the process that owns some shard.
fn owner(running: &Running, rng: &mut ChaCha8Rng) -> usize {
    let owners: Vec<usize> = running
        .stage
        .cell
        .document
        .data_centres()
        .filter_map(|(_, dc)| running.stage.owner_in(dc))
        .collect();
    if owners.is_empty() {
        return pick(rng, &running.stage.with_role(Role::Scheduler));
    }
    pick(rng, &owners)
}
