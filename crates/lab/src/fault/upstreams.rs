//! Faults of workers, runners and callers.

use std::time::Duration;

use kspan_contract::protocol::hosts::HostState;
use kspan_fold::record::Body;
use kspan_model::Name;
use rand_chacha::ChaCha8Rng;

use super::pick;
use crate::{
    clock::Micros,
    error::Result,
    experiment::Experiment,
    standin::runner::{Behaviour, Misbehaviour},
};

/// One in this many sends is aborted early by its caller.
const ABORT_ONE_IN: u32 = 4;

/// Delay of the published host list while workers are drained.
const HOST_LIST_DELAY: Duration = Duration::from_secs(1);

/// Number of draws of a worker that fails every task; a worker may be drawn twice.
const FAILING_WORKERS: usize = 3;

pub(super) async fn resend_after_lost_answer(
    experiment: &mut Experiment,
    _: &mut ChaCha8Rng,
) -> Result<()> {
    experiment.wait_until(0.1).await;
    experiment.record_fault(format!("callers abort one send in {ABORT_ONE_IN} early"));
    experiment.abort_rate.set(ABORT_ONE_IN);
    experiment.wait_until(0.9).await;
    experiment.abort_rate.set(0);
    Ok(())
}

pub(super) async fn drain_upstream(
    experiment: &mut Experiment,
    rng: &mut ChaCha8Rng,
) -> Result<()> {
    let indexes: Vec<usize> = (0..experiment.testbed.workers.len()).collect();
    let start = pick(rng, &indexes);
    let [by_operator, by_host_list, by_health] =
        [0, 1, 2].map(|step| (start + step) % experiment.testbed.workers.len());
    experiment.wait_until(0.2).await;
    let host = worker_name(experiment, by_operator);
    experiment.record_fault(format!("an operator drains {host}"));
    experiment.testbed.append(Body::Drain {
        host,
        drained: true,
    });
    experiment.testbed.workers[by_operator].record_runners_leaving();
    experiment.wait_until(0.4).await;
    let host = worker_name(experiment, by_host_list);
    experiment.record_fault(format!("the host list marks {host} as leaving"));
    experiment
        .testbed
        .hosts
        .set_delay(Micros::from_millis(1_000));
    experiment
        .testbed
        .hosts
        .set_state(&host, HostState::Leaving);
    tokio::time::sleep(HOST_LIST_DELAY).await;
    experiment.testbed.workers[by_host_list].record_runners_leaving();
    experiment.wait_until(0.6).await;
    let host = worker_name(experiment, by_health);
    experiment.record_fault(format!("runners on {host} report that they are draining"));
    experiment.testbed.workers[by_health].drain_runners();
    Ok(())
}

pub(super) async fn worker_fails_everything(
    experiment: &mut Experiment,
    rng: &mut ChaCha8Rng,
) -> Result<()> {
    let indexes: Vec<usize> = (0..experiment.testbed.workers.len()).collect();
    experiment.wait_until(0.1).await;
    for _ in 0..FAILING_WORKERS {
        let worker = pick(rng, &indexes);
        let host = worker_name(experiment, worker);
        experiment.record_fault(format!("{host} fails every task that it starts"));
        experiment.testbed.workers[worker]
            .set_behaviour(|behaviour| behaviour.fails_everything = true);
    }
    Ok(())
}

pub(super) async fn misbehaving_runners(
    experiment: &mut Experiment,
    _: &mut ChaCha8Rng,
) -> Result<()> {
    let misbehaviours = [
        Misbehaviour::Truncate,
        Misbehaviour::Hang,
        Misbehaviour::Garbage,
        Misbehaviour::AcceptAndClose,
        Misbehaviour::Late,
    ];
    experiment.wait_until(0.25).await;
    // Workers without runners would not exercise the misbehaviour.
    let workers = &experiment.testbed.workers;
    let with_runners: Vec<_> = workers.iter().filter(|w| w.ready_runners() > 0).collect();
    for (misbehaviour, worker) in misbehaviours.into_iter().zip(with_runners) {
        experiment.record_fault(format!(
            "runners on {}: {misbehaviour:?}",
            worker.spec().name
        ));
        worker.set_runner_behaviour(Behaviour {
            misbehaviour,
            fail_every: 2,
            ..Behaviour::default()
        });
    }
    experiment.wait_until(0.7).await;
    for worker in &experiment.testbed.workers {
        worker.set_runner_behaviour(Behaviour::default());
    }
    experiment.record_fault("runners behave correctly again");
    Ok(())
}

fn worker_name(experiment: &Experiment, worker: usize) -> Name {
    experiment.testbed.workers[worker].spec().name.clone()
}
