//! Approval requests of steps that compete for room.
//!
//! Load pattern: in a full cell, or after a burst or a takeover, a request that names only the few
//! runners with room is answered when others have taken that room. The step asks again and again, and
//! the hosts that make the calls become the bottleneck. A request of such a step names as many runners
//! as add half a call's duration at most, also busy ones: those approved before, then those that
//! will have room first. While the tickets that it holds cover its waiting tasks several times over,
//! it asks for no more.

use kspan_model::Millis;

use super::{
    Engine, RunnerIx,
    approval_requests::{ApprovalCandidate, MAX_RUNNERS_PER_CALL, MIN_RUNNERS_PER_REQUEST},
    candidate::examined,
    job::{Job, Step},
    startable::Startable,
};
use crate::{
    config::{ApprovalPolicy, Policy},
    id::StepId,
    spec::StepSpec,
};

/// Duration that busy runners may add to a call, relative to the call without any.
const MAX_ADDED_DURATION: f64 = 0.5;

/// Tasks that the runners with a valid ticket must be able to take when empty, as a multiple of the
/// waiting tasks. Other steps compete for the same runners.
const MIN_COVERAGE: u64 = 3;

/// Runners with room that are worth a call although valid tickets cover the waiting tasks, in percent
/// of the tasks.
const MIN_ROOM_PERCENT: u64 = 50;

/// A runner that a request may name, in the order in which runners are named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RankedRunner {
    /// Whether the runner is outside the rack that the step's tasks prefer.
    is_remote: bool,
    is_unknown: bool,
    is_suspect: bool,
    room_at: Millis,
    runner_ix: RunnerIx,
}

impl Engine {
    /// Returns whether a step competes for room: it still waits after a response, or the runners with
    /// room are not expected to suffice.
    pub(super) fn is_contended(step: &Step, with_room_percent: u64, needed_percent: u64) -> bool {
        step.approvals.has_responses() || with_room_percent < needed_percent
    }

    /// Returns the runners to name in a request of a step that competes for room.
    pub(super) fn contended_runners(
        &self,
        id: StepId,
        job: &Job,
        (with_room, with_room_percent): (&[ApprovalCandidate], u64),
        startable: Startable,
        now: Millis,
    ) -> Vec<RunnerIx> {
        let Some((step, spec)) = job.step(id) else {
            return Vec::new();
        };
        let policy = &job.record.policy;
        let Some(approval) = policy.approval else {
            return Vec::new();
        };
        let has_room = with_room_percent >= startable.count() * MIN_ROOM_PERCENT;
        if !has_room && self.is_covered(step, spec, policy, startable, now) {
            return Vec::new();
        }
        let max = affordable_runners(approval);
        let mut named: Vec<RunnerIx> = with_room.iter().map(|known| known.runner_ix).collect();
        named.truncate(max);
        if named.len() < max {
            let mut busy = self.busy_runners(id, step, spec, policy, now);
            if startable.are_all_isolated() {
                busy.retain(|ranked| self.is_open_for(ranked.runner_ix, id, startable));
            }
            busy.retain(|ranked| !named.contains(&ranked.runner_ix));
            busy.sort_unstable();
            busy.truncate(max - named.len());
            named.extend(busy.into_iter().map(|ranked| ranked.runner_ix));
        }
        named
    }

    /// Returns whether runners whose tickets outlast a call could take the waiting tasks several times
    /// over when empty.
    fn is_covered(
        &self,
        step: &Step,
        spec: &StepSpec,
        policy: &Policy,
        startable: Startable,
        now: Millis,
    ) -> bool {
        let valid_at = now + Self::approval_time(step, policy);
        let ticketed = step.approvals.valid_runners(valid_at);
        let accepting = ticketed
            .map(|runner_ix| &self.runners[runner_ix.0])
            .filter(|runner| self.could_accept_when_empty(runner, spec, policy, now));
        let tasks: u64 = accepting
            .map(|runner| {
                let fitting = spec.charged_resources().count_in(runner.entry.capacity);
                let max = fitting.min(u64::from(spec.max_per_runner.unwrap_or(u32::MAX)));
                startable.max_on_runner(max)
            })
            .fold(0, u64::saturating_add);
        tasks >= MIN_COVERAGE * startable.count()
    }

    /// Returns the runners that could take a task of the step when empty, and neither were denied nor
    /// have a valid ticket.
    fn busy_runners(
        &self,
        id: StepId,
        step: &Step,
        spec: &StepSpec,
        policy: &Policy,
        now: Millis,
    ) -> Vec<RankedRunner> {
        let size = spec.charged_resources();
        let valid_at = now + Self::approval_time(step, policy);
        let ranked = |runner_ix: RunnerIx| {
            let runner = &self.runners[runner_ix.0];
            let is_open = !step.approvals.is_denied(runner_ix)
                && step.approvals.ticket(runner_ix, valid_at).is_none()
                && step.remaining_on(runner_ix, spec) > 0
                && !self.is_reserved_for_other(runner_ix, id)
                && self.could_accept_when_empty(runner, spec, policy, now);
            is_open.then(|| RankedRunner {
                is_remote: self.is_outside_settled_rack(runner_ix, step, spec),
                is_unknown: !step.approvals.was_approved(runner_ix),
                is_suspect: runner.health.is_suspect(),
                room_at: runner.room_at(size, now),
                runner_ix,
            })
        };
        examined(self.runners.len(), id, now)
            .map(RunnerIx)
            .filter_map(ranked)
            .collect()
    }
}

/// Returns how many runners a call may name at most.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range of a call"
)]
pub(super) fn affordable_runners(approval: ApprovalPolicy) -> usize {
    let runners = approval.base_ms * MAX_ADDED_DURATION / approval.per_runner_ms.max(f64::EPSILON);
    let bounds = (MIN_RUNNERS_PER_REQUEST as f64, MAX_RUNNERS_PER_CALL as f64);
    runners.clamp(bounds.0, bounds.1) as usize
}
