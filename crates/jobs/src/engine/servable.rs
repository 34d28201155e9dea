//! Checks whether the runners of a service can ever run a job.
//!
//! Load pattern: jobs whose tasks are larger than any runner, or need a label that none has, would be
//! accepted, wait until their caller gives up, and be shown as waiting for ever. They are rejected
//! when they are submitted, before anything is stored.
//!
//! The check is lenient where the cell may still change: runners that ended recently count, because
//! they may come back, runners that have shrunk count in full, because they may grow again, and nothing is rejected until the service's runners have been known for a
//! while. Approvals are not considered, because only the approval service knows them.

use kspan_model::{Millis, Resources};

use super::{Engine, SubmitError, runner::Runner, submit::Result};
use crate::{config::Policy, spec::JobSpec, spec::StepSpec};

/// How long a runner that has ended counts as one that may come back.
const RETURN_PERIOD: Millis = Millis(30_000);

/// How long the runners of a service must be known before a job is rejected; the host list may be
/// incomplete until then.
const SETTLING_PERIOD: Millis = Millis(5_000);

impl Engine {
    /// Checks that the service has runners that can run each step of a job.
    ///
    /// # Errors
    ///
    /// Returns the first step that no runner can take, and what they lack.
    pub(super) fn check_servable(
        &self,
        spec: &JobSpec,
        policy: &Policy,
        now: Millis,
    ) -> Result<()> {
        let of_service = self
            .runners
            .iter()
            .filter(|runner| runner.entry.service == policy.service);
        let first_seen = of_service.clone().map(|runner| runner.first_seen).min();
        if first_seen.is_none_or(|at| now < at + SETTLING_PERIOD) {
            return Ok(());
        }
        let usable = |runner: &&Runner| {
            runner
                .ended_at
                .is_none_or(|ended_at| now < ended_at + RETURN_PERIOD)
        };
        let runners: Vec<&Runner> = of_service.filter(usable).collect();
        if runners.is_empty() {
            return Ok(());
        }
        for (number, step) in spec.steps.iter().enumerate() {
            if let Some(lacking) = lacking(&runners, step) {
                return Err(SubmitError::Unservable(number, lacking));
            }
        }
        Ok(())
    }
}

/// Returns what the runners lack for a step; `None` if they can run it.
fn lacking(runners: &[&Runner], spec: &StepSpec) -> Option<&'static str> {
    let has_label = |runner: &&&Runner| {
        let label = spec.label.as_ref();
        label.is_none_or(|label| runner.has_label(label))
    };
    let labelled: Vec<_> = runners.iter().filter(has_label).collect();
    if labelled.is_empty() {
        return Some("with the required label");
    }
    let size = spec.charged_resources();
    let capacities = labelled.iter().map(|runner| runner.largest_capacity);
    let largest = capacities
        .clone()
        .fold(Resources::ZERO, Resources::component_max);
    if let Some(lacking) = lacking_resource(size, largest) {
        return Some(lacking);
    }
    if !capacities.clone().any(|capacity| size.fits_in(capacity)) {
        return Some("with enough of all resources at once");
    }
    let max_on_one = u64::from(spec.max_per_runner.unwrap_or(u32::MAX));
    let room: u64 = capacities
        .map(|capacity| {
            size.count_in(capacity)
                .min(max_on_one)
                .min(u64::from(spec.count))
        })
        .sum();
    (spec.gang && room < u64::from(spec.count)).then_some("that can hold the whole gang together")
}

/// Returns which resource of `free` is too small for a task; `None` if the task fits.
pub(super) fn lacking_resource(size: Resources, free: Resources) -> Option<&'static str> {
    if size.accelerators > free.accelerators {
        return Some("with enough accelerators");
    }
    if size.cpu_milli > free.cpu_milli {
        return Some("with enough processors");
    }
    (size.memory_mib > free.memory_mib).then_some("with enough memory")
}
