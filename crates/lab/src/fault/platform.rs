//! Faults of the platform's log and of the paths between regions.

use std::time::Duration;

use kspan_model::{Name, Role};
use kspan_node::settings::Faults;
use rand_chacha::ChaCha8Rng;

use super::{pick, wait_ready};
use crate::{
    error::Result,
    experiment::{Running, republish},
    record::EventKind,
};

/// Records that the log keeps when retention is short.
const SHORT_RETENTION: usize = 24;

pub(super) async fn log_outage(running: &mut Running, _: &mut ChaCha8Rng) -> Result<()> {
    running.wait_until(0.2).await;
    set_outage(running, true);
    running.wait_until(0.75).await;
    set_outage(running, false);
    Ok(())
}

pub(super) async fn log_outage_and_kill(running: &mut Running, rng: &mut ChaCha8Rng) -> Result<()> {
    running.wait_until(0.15).await;
    set_outage(running, true);
    running.wait_until(0.3).await;
    let schedulers = running.stage.with_role(Role::Scheduler);
    let scheduler = pick(rng, &schedulers);
    // The router of the same host stands behind its scheduler in the list.
    let both = [scheduler, scheduler + 1];
    for index in both {
        running.stage.kill(index);
    }
    running.wait_until(0.75).await;
    set_outage(running, false);
    for index in both {
        running.stage.start(index)?;
    }
    for index in both {
        wait_ready(running, index).await;
    }
    Ok(())
}

pub(super) async fn lost_append_answers(running: &mut Running, rng: &mut ChaCha8Rng) -> Result<()> {
    running.wait_until(0.1).await;
    running.note("every second answer to an append is lost");
    running
        .stage
        .log
        .set_behaviour(|behaviour| behaviour.lose_response_every = 2);
    running.wait_until(0.3).await;
    let schedulers = running.stage.with_role(Role::Scheduler);
    let victim = pick(rng, &schedulers);
    running.stage.kill(victim);
    running.wait_until(0.5).await;
    running.stage.start(victim)?;
    republish(running);
    running.wait_until(0.85).await;
    running
        .stage
        .log
        .set_behaviour(|behaviour| behaviour.lose_response_every = 0);
    running.note("answers to appends come again");
    Ok(())
}

pub(super) async fn region_partition(running: &mut Running, rng: &mut ChaCha8Rng) -> Result<()> {
    let regions = running.stage.cell.regions();
    let places: Vec<usize> = (0..regions.len()).collect();
    let alone = regions[pick(rng, &places)].clone();
    running.wait_until(0.2).await;
    running.note(format!(
        "{alone} is cut off from the others and from the log"
    ));
    let others: Vec<Name> = regions
        .into_iter()
        .filter(|region| *region != alone)
        .collect();
    for index in 0..running.stage.processes.len() {
        let inside = running.stage.processes[index].cfg.region == alone;
        let cut = if inside {
            others.clone()
        } else {
            vec![alone.clone()]
        };
        set_faults(running, index, cut, inside).await;
    }
    running.wait_until(0.65).await;
    for index in 0..running.stage.processes.len() {
        set_faults(running, index, Vec::new(), false).await;
    }
    running.note(format!("{alone} is joined again"));
    Ok(())
}

pub(super) async fn retention_passes(running: &mut Running, rng: &mut ChaCha8Rng) -> Result<()> {
    running.note(format!("the log keeps {SHORT_RETENTION} records"));
    running
        .stage
        .log
        .set_behaviour(|behaviour| behaviour.retention = SHORT_RETENTION);
    running.wait_until(0.6).await;
    let routers = running.stage.with_role(Role::Router);
    let victim = pick(rng, &routers);
    running.stage.kill(victim);
    running.stage.start(victim)?;
    wait_ready(running, victim).await;
    Ok(())
}

fn set_outage(running: &Running, outage: bool) {
    let what = if outage { "begins" } else { "ends" };
    running.note(format!("the log's outage {what}"));
    running
        .stage
        .log
        .set_behaviour(|behaviour| behaviour.outage = outage);
}

async fn set_faults(running: &mut Running, index: usize, cut_regions: Vec<Name>, cut_log: bool) {
    let process = &running.stage.processes[index];
    let faults = Faults {
        cut_regions,
        cut_log,
        ..process.cfg.faults.clone().unwrap_or_default()
    };
    let url = format!("http://{}/faults", process.cfg.listen.admin);
    let answer = running
        .client
        .put(url)
        .timeout(ntex::time::Millis::from(Duration::from_secs(2)))
        .send_json(&faults)
        .await;
    if !answer.is_ok_and(|answer| answer.status().is_success()) {
        let text = format!("{} did not take its link faults", process.name());
        running.stage.book.note(EventKind::Fault { text });
    }
}
