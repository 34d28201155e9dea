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
    experiment::Running,
    standin::runner::{Behaviour, Misbehaviour},
};

/// One of how many sends is given up by its caller at once.
const GIVE_UP_ONE_IN: u32 = 4;

/// How far the host list is behind while workers are drained.
const LIST_LAG: Duration = Duration::from_secs(1);

/// Workers that fail everything.
const FAILING_WORKERS: usize = 3;

pub(super) async fn resend(running: &mut Running, _: &mut ChaCha8Rng) -> Result<()> {
    running.wait_until(0.1).await;
    running.note(format!(
        "callers give up one send in {GIVE_UP_ONE_IN} early"
    ));
    running.impatience.set(GIVE_UP_ONE_IN);
    running.wait_until(0.9).await;
    running.impatience.set(0);
    Ok(())
}

pub(super) async fn drain(running: &mut Running, rng: &mut ChaCha8Rng) -> Result<()> {
    let all: Vec<usize> = (0..running.stage.workers.len()).collect();
    let first = pick(rng, &all);
    let [by_operator, by_list, by_health] =
        [0, 1, 2].map(|step| (first + step) % running.stage.workers.len());
    running.wait_until(0.2).await;
    let host = name(running, by_operator);
    running.note(format!("an operator drains {host}"));
    running.stage.append(Body::Drain {
        host,
        drained: true,
    });
    running.stage.workers[by_operator].note_runners_leaving();
    running.wait_until(0.4).await;
    let host = name(running, by_list);
    running.note(format!("the host list marks {host} as leaving"));
    running.stage.hosts.set_lag(Micros::from_millis(1_000));
    running.stage.hosts.set_state(&host, HostState::Leaving);
    tokio::time::sleep(LIST_LAG).await;
    running.stage.workers[by_list].note_runners_leaving();
    running.wait_until(0.6).await;
    let host = name(running, by_health);
    running.note(format!("runners on {host} say that they drain"));
    running.stage.workers[by_health].drain_runners();
    Ok(())
}

pub(super) async fn worker_fails(running: &mut Running, rng: &mut ChaCha8Rng) -> Result<()> {
    let all: Vec<usize> = (0..running.stage.workers.len()).collect();
    running.wait_until(0.1).await;
    for _ in 0..FAILING_WORKERS {
        let worker = pick(rng, &all);
        let host = name(running, worker);
        running.note(format!("{host} fails everything that it starts"));
        running.stage.workers[worker].set_behaviour(|behaviour| behaviour.fails_everything = true);
    }
    Ok(())
}

pub(super) async fn misbehave(running: &mut Running, _: &mut ChaCha8Rng) -> Result<()> {
    let ways = [
        Misbehaviour::Truncate,
        Misbehaviour::Hang,
        Misbehaviour::Garbage,
        Misbehaviour::AcceptAndClose,
        Misbehaviour::Late,
    ];
    running.wait_until(0.25).await;
    // Workers without runners would prove nothing.
    let workers = &running.stage.workers;
    let with_runners: Vec<_> = workers.iter().filter(|w| w.runners_up() > 0).collect();
    for (misbehaviour, worker) in ways.into_iter().zip(with_runners) {
        running.note(format!(
            "runners on {}: {misbehaviour:?}",
            worker.spec().name
        ));
        worker.set_runner_behaviour(Behaviour {
            misbehaviour,
            fail_every: 2,
            ..Behaviour::default()
        });
    }
    running.wait_until(0.7).await;
    for worker in &running.stage.workers {
        worker.set_runner_behaviour(Behaviour::default());
    }
    running.note("runners do as they should");
    Ok(())
}

fn name(running: &Running, worker: usize) -> Name {
    running.stage.workers[worker].spec().name.clone()
}
