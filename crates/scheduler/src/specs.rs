//! Jobs as the document and the log declare them, made ready for placement.

use kspan_model::{
    JobId, Millis, Name, Priority, Submission, UnixMillis,
    document::{Batch, Document, Gang, Service, Spread},
};
use kspan_placement::{JobKind, JobSpec};

use crate::deal::{deal, job_of_part};

/// Shortest time that a runner gets to finish requests in flight.
const MIN_GRACE: Millis = Millis::from_secs(5);

/// Time that a batch or gang task gets to stop.
const TASK_GRACE: Millis = Millis::from_secs(2);

/// A job with what its tasks' starts and stops tell workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Declared {
    /// What placement needs.
    pub spec: JobSpec,
    /// Requests that a runner works on at once; zero for other tasks.
    pub slots: u32,
    /// Connections that a runner accepts; zero for other tasks.
    pub connections: u32,
    /// Time that a task gets to finish what it has in flight.
    pub grace: Millis,
}

impl Declared {
    /// Returns whether the job is a service's.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }
}

/// Returns a shard's parts of all services.
pub fn services(document: &Document, shard: &Name, now: Millis) -> Vec<Declared> {
    document
        .services
        .iter()
        .filter_map(|service| service_part(document, service, shard, now))
        .collect()
}

fn service_part(
    document: &Document,
    service: &Service,
    shard: &Name,
    now: Millis,
) -> Option<Declared> {
    let part = deal(document, service)
        .into_iter()
        .find(|part| part.shard == *shard)?;
    let deadlines = service.classes.iter().map(|class| class.deadline);
    Some(Declared {
        spec: JobSpec {
            id: job_of_part(service, shard),
            workload: service.name.clone(),
            team: service.team.clone(),
            // Runners serve callers, who wait; batch work of the same team does not.
            priority: Priority::High,
            kind: JobKind::Service,
            tasks: part.runners,
            shape: service.task,
            run_time: Millis::ZERO,
            retries: 0,
            spread: service.spread,
            submitted: now,
        },
        slots: service.slots,
        connections: service.connections,
        grace: deadlines.fold(MIN_GRACE, Millis::max),
    })
}

/// Returns the job of a submission; none where the document no longer declares its workload.
pub fn submitted(
    document: &Document,
    submission: &Submission,
    now: Millis,
    unix: UnixMillis,
) -> Option<Declared> {
    let name = submission.workload.as_str();
    let waited = unix.since(submission.accepted);
    let submitted = now.saturating_sub(waited);
    let spec = match (document.batch(name), document.gang(name)) {
        (Some(batch), _) => batch_spec(batch, submission.job, submitted),
        (None, Some(gang)) => gang_spec(gang, submission.job, submitted),
        (None, None) => return None,
    };
    Some(Declared {
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
