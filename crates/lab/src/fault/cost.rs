//! What a fault cost.

use std::collections::BTreeMap;

use kspan_model::{Name, Outcome};

use crate::{
    clock::Micros,
    record::{EventKind, Grant, Records},
    report::FaultCost,
};

/// Sums up a fault's cost from the records.
pub(super) fn of(records: &Records, seconds: f64) -> FaultCost {
    let began = records.calls.iter().map(|call| call.wanted).min();
    let began = began.unwrap_or_default();
    FaultCost {
        takeover_ms: takeover(records),
        not_run_by_second: by_second(records, Outcome::NotRun, began, seconds),
        unknown_by_second: by_second(records, Outcome::Unknown, began, seconds),
        events: records
            .events
            .iter()
            .filter(|event| !matches!(event.kind, EventKind::Leaving { .. }))
            .map(|event| format!("at {}: {:?}", event.at.since(began), event.kind))
            .collect(),
    }
}

/// Returns the time from the first kill of an owner until its last worker has a new owner.
fn takeover(records: &Records) -> Option<f64> {
    records.events.iter().find_map(|event| {
        let EventKind::Killed { process } = &event.kind else {
            return None;
        };
        last_grant_after(records, process, event.at)
    })
}

fn last_grant_after(records: &Records, owner: &str, at: Micros) -> Option<f64> {
    let mut held: BTreeMap<&Name, &Grant> = BTreeMap::new();
    for grant in records.grants.iter().filter(|grant| grant.at <= at) {
        held.insert(&grant.worker, grant);
    }
    held.retain(|_, grant| grant.owner_name() == owner);
    let next = |worker: &Name| {
        let later = |grant: &&Grant| grant.at > at && grant.worker == *worker;
        records.grants.iter().find(later).map(|grant| grant.at)
    };
    let last = held
        .keys()
        .map(|worker| next(worker))
        .collect::<Option<Vec<_>>>()?;
    let last = last.into_iter().max()?;
    Some(last.since(at).as_secs_f64() * 1e3)
}

fn by_second(records: &Records, outcome: Outcome, began: Micros, seconds: f64) -> Vec<u64> {
    let mut counts: Vec<u64> = Vec::new();
    for call in records.calls.iter().filter(|call| call.outcome == outcome) {
        let second = call.wanted.since(began).as_millis() / 1_000;
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
