//! The table of a shard's runners that is sent to routers.

use std::collections::BTreeMap;

use kspan_model::{Fence, JobId, Name, Site};
use kspan_wire::message::tasks::{Runner, RunnerTable, RunnerTableVersion};

use super::{JobEntry, Phase, Shard};
use crate::worker::Worker;

/// The current table and its version.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionedRunnerTable {
    version: u64,
    rows: Vec<Runner>,
}

impl VersionedRunnerTable {
    /// Rebuilds the table and increments the version if anything has changed.
    pub(super) fn update(
        &mut self,
        workers: &BTreeMap<Name, Worker>,
        jobs: &BTreeMap<JobId, JobEntry>,
    ) {
        let rows: Vec<Runner> = workers
            .iter()
            .flat_map(|(name, worker)| runner_rows(name, worker, jobs))
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

fn runner_rows<'a>(
    name: &'a Name,
    worker: &'a Worker,
    jobs: &'a BTreeMap<JobId, JobEntry>,
) -> impl Iterator<Item = Runner> + 'a {
    worker
        .active_tasks
        .iter()
        .filter_map(move |(task, active)| {
            let declared = &jobs.get(&task.job)?.declared;
            if !declared.is_service() || !active.is_running() {
                return None;
            }
            Some(Runner {
                task: *task,
                service: active.workload.clone(),
                worker: name.clone(),
                endpoint: active.endpoint?,
                slots: declared.slots,
                connections: declared.connections,
                leaving: active.end_requested || worker.is_leaving(),
            })
        })
}

impl Shard {
    /// Returns the version of the table, or `None` before the shard has recovered.
    pub fn runners_version(&self) -> Option<RunnerTableVersion> {
        (self.phase == Phase::Active && self.runners.version > 0).then(|| RunnerTableVersion {
            shard: self.site.data_centre.clone(),
            fence: self.fence,
            version: self.runners.version,
        })
    }

    /// Returns the table, or `None` before the shard has recovered.
    pub fn runner_table(&self) -> Option<RunnerTable> {
        self.runners_version()
            .map(|_| self.runners.table(&self.site, self.fence))
    }
}
