//! Checks the document versions in force.

use std::collections::BTreeMap;

use kspan_model::Name;

use super::{Limits, Promise, Violation, violation};
use crate::record::{EventKind, Records, VersionSample};

pub(super) fn check(records: &Records, limits: &Limits, violations: &mut Vec<Violation>) {
    let mut by_process: BTreeMap<&Name, Vec<&VersionSample>> = BTreeMap::new();
    // Version 0 means that the process has no document yet and is not ready.
    for sample in records.versions.iter().filter(|sample| sample.version > 0) {
        by_process.entry(&sample.process).or_default().push(sample);
    }
    for samples in by_process.values() {
        check_monotone(samples, violations);
    }
    check_in_force(records, limits, violations);
}

fn check_monotone(samples: &[&VersionSample], violations: &mut Vec<Violation>) {
    for pair in samples.windows(2) {
        let (before, after) = (pair[0], pair[1]);
        if after.version >= before.version {
            continue;
        }
        violations.push(violation(
            Promise::NeverReverts,
            format!(
                "{} had version {} in force at {} and {} at {}",
                after.process, before.version, before.at, after.version, after.at
            ),
        ));
    }
}

fn check_in_force(records: &Records, limits: &Limits, violations: &mut Vec<Violation>) {
    for event in &records.events {
        let EventKind::Published { version } = event.kind else {
            continue;
        };
        let deadline_us = event.at.0 + limits.in_force.0;
        let is_stale = |sample: &&VersionSample| {
            sample.at.0 > deadline_us && sample.version > 0 && sample.version < version
        };
        let mut late_processes: Vec<&Name> = records
            .versions
            .iter()
            .filter(is_stale)
            .map(|sample| &sample.process)
            .collect();
        late_processes.sort();
        late_processes.dedup();
        if !late_processes.is_empty() {
            let evidence = format!(
                "version {version} of {} was not in force {} later at {late_processes:?}",
                event.at, limits.in_force
            );
            violations.push(violation(Promise::InForce, evidence));
        }
    }
}
