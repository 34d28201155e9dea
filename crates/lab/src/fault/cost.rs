//! Computes the cost of a fault.

use std::collections::BTreeMap;

use kspan_model::{Name, Outcome};

use crate::{
    clock::Micros,
    record::{EventKind, Grant, Records},
    report::FaultCost,
};

/// Computes a fault's cost from the records; `seconds` is the duration of the load.
pub(super) fn summarise(records: &Records, seconds: f64) -> FaultCost {
    let start = records.calls.iter().map(|call| call.wanted).min();
    let start = start.unwrap_or_default();
    FaultCost {
        takeover_ms: takeover_ms_of_first_kill(records),
        not_run_by_second: count_by_second(records, Outcome::NotRun, start, seconds),
        unknown_by_second: count_by_second(records, Outcome::Unknown, start, seconds),
        events: records
            .events
            .iter()
            .filter(|event| !matches!(event.kind, EventKind::Leaving { .. }))
            .map(|event| format!("at {}: {:?}", event.at.since(start), event.kind))
            .collect(),
    }
}

/// Returns the milliseconds from the first kill of an owner until its last worker has a new owner.
fn takeover_ms_of_first_kill(records: &Records) -> Option<f64> {
    records.events.iter().find_map(|event| {
        let EventKind::Killed { process } = &event.kind else {
            return None;
        };
        takeover_ms(records, process, event.at)
    })
}

fn takeover_ms(records: &Records, owner: &str, at: Micros) -> Option<f64> {
    let mut leases: BTreeMap<&Name, &Grant> = BTreeMap::new();
    for grant in records.grants.iter().filter(|grant| grant.at <= at) {
        leases.insert(&grant.worker, grant);
    }
    leases.retain(|_, grant| grant.owner_name() == owner);
    let next_grant = |worker: &Name| {
        let later = |grant: &&Grant| grant.at > at && grant.worker == *worker;
        records.grants.iter().find(later).map(|grant| grant.at)
    };
    let last = leases
        .keys()
        .map(|worker| next_grant(worker))
        .collect::<Option<Vec<_>>>()?;
    let last = last.into_iter().max()?;
    Some(last.since(at).as_secs_f64() * 1e3)
}

fn count_by_second(records: &Records, outcome: Outcome, start: Micros, seconds: f64) -> Vec<u64> {
    let mut counts: Vec<u64> = Vec::new();
    for call in records.calls.iter().filter(|call| call.outcome == outcome) {
        let second = call.wanted.since(start).as_millis() / 1_000;
        let second = usize::try_from(second).unwrap_or(usize::MAX);
        if second as f64 > seconds {
            continue;
        }
        if counts.len() <= second {
            counts.resize(second + 1, 0);
        }
        counts[second] += 1;
    }
    counts
}
