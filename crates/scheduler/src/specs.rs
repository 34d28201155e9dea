//! Converts services in the document and submissions in the log to job specifications for
//! placement.

use kspan_model::{
    JobId, Millis, Name, Priority, Submission, UnixMillis,
    document::{Batch, Document, Gang, Service, Spread},
};
use kspan_placement::{JobKind, JobSpec};

use crate::distribution::{distribute_runners, service_job_id};

/// Minimum grace period in which a runner finishes requests in flight.
const MIN_RUNNER_GRACE: Millis = Millis::from_secs(5);

/// Grace period of batch and gang tasks.
const TASK_GRACE: Millis = Millis::from_secs(2);

/// A job specification together with the parameters of its tasks' start and stop orders.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredJob {
    /// Specification that placement uses.
    pub spec: JobSpec,
    /// Requests that a runner processes concurrently; zero for other tasks.
    pub slots: u32,
    /// Maximum connections of a runner; zero for other tasks.
    pub connections: u32,
    /// Grace period in which a task finishes work in flight.
    pub grace: Millis,
}

impl DeclaredJob {
    /// Returns whether the job runs a service.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }
}

/// Returns the jobs of the services that have runners in the shard.
pub fn service_jobs(document: &Document, shard: &Name, now: Millis) -> Vec<DeclaredJob> {
    document
        .services
        .iter()
        .filter_map(|service| service_job(document, service, shard, now))
        .collect()
}

fn service_job(
    document: &Document,
    service: &Service,
    shard: &Name,
    now: Millis,
) -> Option<DeclaredJob> {
    let allocation = distribute_runners(document, service)
        .into_iter()
        .find(|allocation| allocation.shard == *shard)?;
    let deadlines = service.classes.iter().map(|class| class.deadline);
    Some(DeclaredJob {
        spec: JobSpec {
            id: service_job_id(service, shard),
            workload: service.name.clone(),
            team: service.team.clone(),
            // Runners serve callers that are waiting; batch work of the same team can be delayed.
            priority: Priority::High,
            kind: JobKind::Service,
            tasks: allocation.runners,
            shape: service.task,
            run_time: Millis::ZERO,
            retries: 0,
            spread: service.spread,
            submitted: now,
        },
        slots: service.slots,
        connections: service.connections,
        grace: deadlines.fold(MIN_RUNNER_GRACE, Millis::max),
    })
}

/// Returns the job of a submission, or `None` if the document does not declare its workload.
pub fn submitted_job(
    document: &Document,
    submission: &Submission,
    now: Millis,
    unix: UnixMillis,
) -> Option<DeclaredJob> {
    let name = submission.workload.as_str();
    let waited = unix.since(submission.accepted);
    let submitted = now.saturating_sub(waited);
    let spec = match (document.batch(name), document.gang(name)) {
        (Some(batch), _) => batch_spec(batch, submission.job, submitted),
        (None, Some(gang)) => gang_spec(gang, submission.job, submitted),
        (None, None) => return None,
    };
    Some(DeclaredJob {
        spec,
        slots: 0,
        connections: 0,
        grace: TASK_GRACE,
    })
}

fn batch_spec(batch: &Batch, id: JobId, submitted: Millis) -> JobSpec {
    JobSpec {
        id,
        workload: batch.name.clone(),
        team: batch.team.clone(),
        priority: batch.priority,
        kind: JobKind::Batch,
        tasks: batch.tasks,
        shape: batch.task,
        run_time: batch.run_time,
        retries: batch.retries,
        spread: Spread::None,
        submitted,
    }
}

fn gang_spec(gang: &Gang, id: JobId, submitted: Millis) -> JobSpec {
    JobSpec {
        id,
        workload: gang.name.clone(),
        team: gang.team.clone(),
        priority: gang.priority,
        kind: JobKind::Gang {
            rack_near: gang.rack_near,
        },
        tasks: gang.tasks,
        shape: gang.task,
        run_time: gang.run_time,
        retries: gang.retries,
        spread: Spread::None,
        submitted,
    }
}
