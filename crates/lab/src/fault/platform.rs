//! Faults of the platform's log and of the links between regions.

use std::time::Duration;

use kspan_model::{Name, Role};
use kspan_node::settings::Faults;
use rand_chacha::ChaCha8Rng;

use super::{pick, wait_ready};
use crate::{
    error::Result,
    experiment::{Experiment, republish},
    record::EventKind,
};

/// Number of records that the log retains in the retention scenario.
const SHORT_RETENTION: usize = 24;

pub(super) async fn log_outage(experiment: &mut Experiment, _: &mut ChaCha8Rng) -> Result<()> {
    experiment.wait_until(0.2).await;
    set_outage(experiment, true);
    experiment.wait_until(0.75).await;
    set_outage(experiment, false);
    Ok(())
}

pub(super) async fn log_outage_and_kill(
    experiment: &mut Experiment,
    rng: &mut ChaCha8Rng,
) -> Result<()> {
    experiment.wait_until(0.15).await;
    set_outage(experiment, true);
    experiment.wait_until(0.3).await;
    let schedulers = experiment.testbed.indexes_with_role(Role::Scheduler);
    let scheduler = pick(rng, &schedulers);
    // A host's router follows its scheduler in the list.
    let processes_of_host = [scheduler, scheduler + 1];
    for index in processes_of_host {
        experiment.testbed.kill(index);
    }
    experiment.wait_until(0.75).await;
    set_outage(experiment, false);
    for index in processes_of_host {
        experiment.testbed.start(index)?;
    }
    for index in processes_of_host {
        wait_ready(experiment, index).await;
    }
    Ok(())
}

pub(super) async fn lost_append_answers(
    experiment: &mut Experiment,
    rng: &mut ChaCha8Rng,
) -> Result<()> {
    experiment.wait_until(0.1).await;
    experiment.record_fault("every second response to an append is dropped");
    experiment
        .testbed
        .log
        .set_behaviour(|behaviour| behaviour.lose_response_every = 2);
    experiment.wait_until(0.3).await;
    let schedulers = experiment.testbed.indexes_with_role(Role::Scheduler);
    let victim = pick(rng, &schedulers);
    experiment.testbed.kill(victim);
    experiment.wait_until(0.5).await;
    experiment.testbed.start(victim)?;
    republish(experiment);
    experiment.wait_until(0.85).await;
    experiment
        .testbed
        .log
        .set_behaviour(|behaviour| behaviour.lose_response_every = 0);
    experiment.record_fault("responses to appends are no longer dropped");
    Ok(())
}

pub(super) async fn region_partition(
    experiment: &mut Experiment,
    rng: &mut ChaCha8Rng,
) -> Result<()> {
    let regions = experiment.testbed.cell.regions();
    let indices: Vec<usize> = (0..regions.len()).collect();
    let isolated = regions[pick(rng, &indices)].clone();
    experiment.wait_until(0.2).await;
    experiment.record_fault(format!(
        "{isolated} is partitioned from the other regions and from the log"
    ));
    let other_regions: Vec<Name> = regions
        .into_iter()
        .filter(|region| *region != isolated)
        .collect();
    for index in 0..experiment.testbed.processes.len() {
        let inside = experiment.testbed.processes[index].cfg.region == isolated;
        let cut = if inside {
            other_regions.clone()
        } else {
            vec![isolated.clone()]
        };
        set_link_faults(experiment, index, cut, inside).await;
    }
    experiment.wait_until(0.65).await;
    for index in 0..experiment.testbed.processes.len() {
        set_link_faults(experiment, index, Vec::new(), false).await;
    }
    experiment.record_fault(format!("the partition of {isolated} is healed"));
    Ok(())
}

pub(super) async fn retention_passes(
    experiment: &mut Experiment,
    rng: &mut ChaCha8Rng,
) -> Result<()> {
    experiment.record_fault(format!("the log retains {SHORT_RETENTION} records"));
    experiment
        .testbed
        .log
        .set_behaviour(|behaviour| behaviour.retention = SHORT_RETENTION);
    experiment.wait_until(0.6).await;
    let routers = experiment.testbed.indexes_with_role(Role::Router);
    let victim = pick(rng, &routers);
    experiment.testbed.kill(victim);
    experiment.testbed.start(victim)?;
    wait_ready(experiment, victim).await;
    Ok(())
}

fn set_outage(experiment: &Experiment, outage: bool) {
    let what = if outage { "begins" } else { "ends" };
    experiment.record_fault(format!("the log outage {what}"));
    experiment
        .testbed
        .log
        .set_behaviour(|behaviour| behaviour.outage = outage);
}

async fn set_link_faults(
    experiment: &mut Experiment,
    index: usize,
    cut_regions: Vec<Name>,
    cut_log: bool,
) {
    let process = &experiment.testbed.processes[index];
    let faults = Faults {
        cut_regions,
        cut_log,
        ..process.cfg.faults.clone().unwrap_or_default()
    };
    let url = format!("http://{}/faults", process.cfg.listen.admin);
    let answer = experiment
        .client
        .put(url)
        .timeout(ntex::time::Millis::from(Duration::from_secs(2)))
        .send_json(&faults)
        .await;
    if !answer.is_ok_and(|answer| answer.status().is_success()) {
        let text = format!("{} did not accept its link faults", process.name());
        experiment
            .testbed
            .recorder
            .record_event(EventKind::Fault { text });
    }
}
