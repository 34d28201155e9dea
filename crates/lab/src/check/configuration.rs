//! Document versions in force.

use std::collections::BTreeMap;

use kspan_model::Name;

use super::{Limits, Promise, Violation, violation};
use crate::record::{EventKind, Records, VersionSample};

pub(super) fn check(records: &Records, limits: &Limits, found: &mut Vec<Violation>) {
    let mut by_process: BTreeMap<&Name, Vec<&VersionSample>> = BTreeMap::new();
    // Zero means that a process knows no version yet, and is not ready.
    for sample in records.versions.iter().filter(|sample| sample.version > 0) {
        by_process.entry(&sample.process).or_default().push(sample);
    }
    for samples in by_process.values() {
        check_monotone(samples, found);
    }
    check_in_force(records, limits, found);
}

fn check_monotone(samples: &[&VersionSample], found: &mut Vec<Violation>) {
    for pair in samples.windows(2) {
        let (before, after) = (pair[0], pair[1]);
        if after.version >= before.version {
            continue;
        }
        found.push(violation(
            Promise::NeverReverts,
            format!(
                "{} had version {} in force at {} and {} at {}",
                after.process, before.version, before.at, after.version, after.at
            ),
        ));
    }
}

fn check_in_force(records: &Records, limits: &Limits, found: &mut Vec<Violation>) {
    for event in &records.events {
        let EventKind::Published { version } = event.kind else {
            continue;
        };
        let due = event.at.0 + limits.in_force.0;
        let stale = |sample: &&VersionSample| {
            sample.at.0 > due && sample.version > 0 && sample.version < version
        };
        let mut late: Vec<&Name> = records
            .versions
            .iter()
            .filter(stale)
            .map(|sample| &sample.process)
            .collect();
        late.sort();
        late.dedup();
        if !late.is_empty() {
            let evidence = format!(
                "version {version} of {} was not in force {} later at {late:?}",
                event.at, limits.in_force
            );
            found.push(violation(Promise::InForce, evidence));
        }
    }
}
