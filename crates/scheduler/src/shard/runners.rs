//! The table of a shard's runners, as routers are told it.

use std::collections::BTreeMap;

use kspan_model::{Fence, JobId, Name, Site};
use kspan_wire::message::tasks::{Runner, RunnerTable, RunnerTableVersion};

use super::{JobEntry, Phase, Shard};
use crate::worker::Worker;

/// The newest table and its version.
#[derive(Clone, Debug, Default)]
pub(super) struct RunnerBook {
    version: u64,
    rows: Vec<Runner>,
}

impl RunnerBook {
    /// Brings the table up to date; the version goes up when anything has changed.
    pub(super) fn refresh(
        &mut self,
        workers: &BTreeMap<Name, Worker>,
        jobs: &BTreeMap<JobId, JobEntry>,
    ) {
        let rows: Vec<Runner> = workers
            .iter()
            .flat_map(|(name, worker)| rows_of(name, worker, jobs))
            .collect();
        if rows != self.rows || self.version == 0 {
            self.rows = rows;
            self.version += 1;
        }
    }

    fn table(&self, site: &Site, fence: Fence) -> RunnerTable {
        RunnerTable {
            shard: site.data_centre.clone(),
            fence,
            version: self.version,
            site: site.clone(),
            runners: self.rows.clone(),
        }
    }
}

fn rows_of<'a>(
    name: &'a Name,
    worker: &'a Worker,
    jobs: &'a BTreeMap<JobId, JobEntry>,
) -> impl Iterator<Item = Runner> + 'a {
    worker.held.iter().filter_map(move |(task, held)| {
        let declared = &jobs.get(&task.job)?.declared;
        if !declared.is_service() || !held.is_running() {
            return None;
        }
        Some(Runner {
            task: *task,
            service: held.workload.clone(),
            worker: name.clone(),
            endpoint: held.endpoint?,
            slots: declared.slots,
            connections: declared.connections,
            leaving: held.leaving || worker.is_leaving(),
        })
    })
}

impl Shard {
    /// Returns the version of the table, once everything that runs is known.
    pub fn runners_version(&self) -> Option<RunnerTableVersion> {
        (self.phase == Phase::Active && self.runners.version > 0).then(|| RunnerTableVersion {
            shard: self.site.data_centre.clone(),
            fence: self.fence,
            version: self.runners.version,
        })
    }

    /// Returns the table, once everything that runs is known.
    pub fn runner_table(&self) -> Option<RunnerTable> {
        self.runners_version()
            .map(|_| self.runners.table(&self.site, self.fence))
    }
}
