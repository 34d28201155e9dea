//! Admission, dispatch, retry and completion of requests.

use kspan_model::{Millis, Name, Priority, RequestId, TaskId};

use super::{
    Engine, InFlightDispatch, Source,
    effect::{Dispatch, DispatchId, DispatchOutcome, Effect, Refusal, RefusalReason},
    runner::Runner,
};
use crate::{choice::Tier, health::may_eject, queue::QueuedRequest};

/// Maximum number of queued requests per service in one router.
const MAX_QUEUED: usize = 4_096;

/// Maximum number of queued requests per caller and priority of a service in one router.
const MAX_QUEUED_PER_CALLER: usize = 1_024;

/// Maximum number of queued requests per service while this router has no slots from which to
/// estimate the wait.
const MAX_QUEUED_WITHOUT_SLOTS: usize = 256;

/// Minimum time after which a refused caller may retry.
const MIN_RETRY_AFTER: Millis = Millis(1_000);

/// Connections per runner that are reserved for health checks.
const RESERVED_HEALTH_CONNECTIONS: u32 = 2;

/// A request that arrives for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// The service.
    pub service: Name,
    /// The caller that sent it.
    pub caller: Name,
    /// Its priority.
    pub priority: Priority,
    /// The time by which it must be answered.
    pub deadline: Millis,
}

impl Engine {
    /// Admits a request, which is then dispatched or queued, or refuses it. Dispatch and refusal
    /// are effects.
    pub fn submit(&mut self, arrival: Arrival, now: Millis) {
        let request = arrival.request;
        let Some(index) = self.declared_service(&arrival.service) else {
            self.refuse(request, RefusalReason::NoService, MIN_RETRY_AFTER);
            return;
        };
        if let Some(refusal) = self.check_admission(index, &arrival, now) {
            self.services[index].counters.refused += 1;
            self.effects.push(Effect::Refuse { request, refusal });
            return;
        }
        self.services[index].queue.push(QueuedRequest {
            request,
            caller: arrival.caller,
            priority: arrival.priority,
            deadline: arrival.deadline,
            queued_at: now,
        });
        self.dispatch_queued(index, now);
        if !self.services[index].queue.is_empty() {
            self.request_loans(index, now);
        }
    }

    /// Submits a request again whose dispatch failed, if its deadline and the retry budget of the
    /// service allow it. Returns whether they do.
    pub fn retry(&mut self, arrival: Arrival, now: Millis) -> bool {
        let Some(index) = self.declared_service(&arrival.service) else {
            return false;
        };
        let service = &mut self.services[index];
        if now >= arrival.deadline || !service.budget.try_withdraw() {
            return false;
        }
        service.counters.retries += 1;
        self.submit(arrival, now);
        true
    }

    /// Submits a request that was not dispatched before, or whose dispatches certainly sent
    /// nothing. This costs no retry budget, because no runner did any work.
    pub fn resubmit(&mut self, arrival: Arrival, now: Millis) {
        self.submit(arrival, now);
    }

    /// Dispatches a request a second time while its first dispatch is in flight, if a slot is
    /// free, no request is queued, and the retry budget allows it.
    pub fn hedge(&mut self, request: RequestId, service: &Name, now: Millis) -> Option<Dispatch> {
        let index = self.declared_service(service)?;
        let service = &mut self.services[index];
        if !service.queue.is_empty() || service.free == 0 || !service.budget.try_withdraw() {
            return None;
        }
        service.counters.hedges += 1;
        self.dispatch(index, request, now)
    }

    /// Removes a queued request. Returns whether it was queued; otherwise it may have been
    /// dispatched.
    pub fn withdraw(&mut self, request: RequestId, service: &Name) -> bool {
        let Some(&index) = self.service_index.get(service) else {
            return false;
        };
        self.services[index].queue.remove(request)
    }

    /// Records the outcome of a dispatch and reuses its slot.
    pub fn finish_dispatch(&mut self, id: DispatchId, outcome: DispatchOutcome, now: Millis) {
        let Some(in_flight) = self.in_flight.remove(&id) else {
            return;
        };
        let index = in_flight.service;
        let service = &mut self.services[index];
        service.in_flight -= 1;
        if let DispatchOutcome::Answered { micros } = outcome {
            service.latency.record(micros);
            service.budget.deposit();
        }
        self.release_dispatch(&in_flight, outcome, now);
        self.serve_loan_requests(index, now);
        self.dispatch_queued(index, now);
    }

    /// Dispatches queued requests of a service while there are free slots.
    pub(super) fn dispatch_queued(&mut self, index: usize, now: Millis) {
        while !self.services[index].candidates.is_empty() {
            let Some(queued) = self.services[index].queue.pop() else {
                return;
            };
            if queued.deadline <= now {
                self.refuse_expired(index, queued.request);
                continue;
            }
            match self.dispatch(index, queued.request, now) {
                Some(dispatch) => self.effects.push(Effect::Dispatch(dispatch)),
                None => {
                    self.services[index].queue.push(queued);
                    return;
                }
            }
        }
    }

    pub(super) fn dispatch_all_queued(&mut self, now: Millis) {
        for index in 0..self.services.len() {
            self.dispatch_queued(index, now);
        }
    }

    pub(super) fn tick_services(&mut self, now: Millis) {
        for index in 0..self.services.len() {
            self.expire_queued(index, now);
            self.services[index]
                .loan_requests
                .retain(|request| request.expires_at > now);
            self.serve_loan_requests(index, now);
            self.dispatch_queued(index, now);
            if !self.services[index].queue.is_empty() {
                self.request_loans(index, now);
            }
        }
    }

    fn declared_service(&self, name: &Name) -> Option<usize> {
        let index = *self.service_index.get(name)?;
        self.services[index].declared.then_some(index)
    }

    /// Returns the reason for which a request can't be admitted, if any.
    fn check_admission(&self, index: usize, arrival: &Arrival, now: Millis) -> Option<Refusal> {
        let service = &self.services[index];
        let refusal = |reason, retry_after: Millis| {
            let retry_after = retry_after.max(MIN_RETRY_AFTER);
            Some(Refusal {
                reason,
                retry_after,
            })
        };
        if !self.has_live_runner(index) {
            return refusal(RefusalReason::NoRunner, MIN_RETRY_AFTER);
        }
        let queued_of_caller = service.queue.len_of(&arrival.caller, arrival.priority);
        if service.queue.len() >= MAX_QUEUED || queued_of_caller >= MAX_QUEUED_PER_CALLER {
            return refusal(RefusalReason::QueueFull, MIN_RETRY_AFTER);
        }
        let ahead = service.queue.ahead_of(&arrival.caller, arrival.priority);
        match service.estimate_wait(ahead) {
            None if service.queue.len() >= MAX_QUEUED_WITHOUT_SLOTS => {
                refusal(RefusalReason::QueueFull, MIN_RETRY_AFTER)
            }
            None => None,
            Some(wait) => {
                let needed = wait.saturating_add(service.mean_latency());
                let is_late = now.saturating_add(needed) > arrival.deadline;
                is_late
                    .then(|| refusal(RefusalReason::DeadlineUnreachable, wait))
                    .flatten()
            }
        }
    }

    fn has_live_runner(&self, index: usize) -> bool {
        let mut runners = self.services[index].runners.iter();
        runners.any(|&runner| {
            let runner = self.runners[runner as usize].as_ref();
            runner.is_some_and(|runner| !runner.is_leaving())
        })
    }

    fn dispatch(&mut self, index: usize, request: RequestId, now: Millis) -> Option<Dispatch> {
        loop {
            let runners = &self.runners;
            let cost = |runner: u32| {
                let runner = runners[runner as usize].as_ref();
                runner.map_or(f64::MAX, |runner| runner.cost(now))
            };
            let chosen = self.services[index]
                .candidates
                .choose(&mut self.rng, cost)?;
            let may_act = self.may_act(now);
            let runner = self.runners[chosen as usize].as_mut();
            let acquired =
                runner.and_then(|runner| Some((acquire_slot(runner, may_act, now)?, runner)));
            let Some((source, runner)) = acquired else {
                // The slot expired after it was counted.
                self.recount_free_slots(chosen, now);
                continue;
            };
            runner.in_flight += 1;
            let in_flight = InFlightDispatch {
                runner: runner.task,
                service: index,
                source,
            };
            self.last_dispatch_id += 1;
            let dispatch = Dispatch {
                request,
                id: DispatchId(self.last_dispatch_id),
                runner: runner.task,
                endpoint: runner.endpoint,
                location: runner.location.clone(),
                connections: connection_share(runner.connections, self.routers),
                remote: runner.tier == Tier::Remote,
                hedge_after: self.services[index].latency.upper_estimate(),
            };
            self.in_flight.insert(dispatch.id, in_flight);
            self.services[index].in_flight += 1;
            self.services[index].counters.dispatched += 1;
            self.recount_free_slots(chosen, now);
            return Some(dispatch);
        }
    }

    fn release_dispatch(
        &mut self,
        in_flight: &InFlightDispatch,
        outcome: DispatchOutcome,
        now: Millis,
    ) {
        let Some((index, runner)) = self.runner_mut(in_flight.runner) else {
            return;
        };
        runner.in_flight -= 1;
        let abandoned = outcome == DispatchOutcome::Abandoned;
        release_slot(runner, &in_flight.source, abandoned, now);
        let should_eject = match outcome {
            DispatchOutcome::Answered { micros } => {
                runner.latency.record(micros);
                runner.health.record_success();
                false
            }
            DispatchOutcome::Unused => false,
            DispatchOutcome::Unsent | DispatchOutcome::Abandoned => runner.health.record_failure(),
        };
        if should_eject && self.may_eject_one(in_flight.service, now) {
            self.eject(in_flight.runner, now);
        }
        if abandoned {
            self.return_abandoned(index);
        }
        self.recount_free_slots(index, now);
    }

    fn may_eject_one(&self, service: usize, now: Millis) -> bool {
        let runners = &self.services[service].runners;
        let ejected = |index: &&u32| {
            let runner = self.runners[**index as usize].as_ref();
            runner.is_some_and(|runner| runner.health.is_ejected(now))
        };
        may_eject(runners.iter().filter(ejected).count(), runners.len())
    }

    fn eject(&mut self, task: TaskId, now: Millis) {
        if let Some((_, runner)) = self.runner_mut(task) {
            runner.health.eject(now);
        }
    }

    /// Refuses queued requests that can no longer be served in time.
    fn expire_queued(&mut self, index: usize, now: Millis) {
        let service = &mut self.services[index];
        let horizon = now.saturating_add(service.mean_latency());
        for request in service.queue.expire(horizon) {
            self.refuse_expired(index, request);
        }
    }

    fn refuse_expired(&mut self, index: usize, request: RequestId) {
        self.services[index].counters.refused += 1;
        self.refuse(request, RefusalReason::Expired, MIN_RETRY_AFTER);
    }

    fn refuse(&mut self, request: RequestId, reason: RefusalReason, retry_after: Millis) {
        let refusal = Refusal {
            reason,
            retry_after,
        };
        self.effects.push(Effect::Refuse { request, refusal });
    }
}

/// Returns how many connections each of `routers` may hold to a runner. One additional router is
/// counted, because a joining router may know the new view before the others do.
pub(super) fn connection_share(connections: u32, routers: u32) -> u32 {
    (connections.saturating_sub(RESERVED_HEALTH_CONNECTIONS) / (routers + 1)).max(1)
}

fn acquire_slot(runner: &mut Runner, may_act: bool, now: Millis) -> Option<Source> {
    if runner.is_leaving() {
        return None;
    }
    if let Some(ledger) = &mut runner.ledger
        && may_act
        && ledger.acquire(now)
    {
        let generation = runner.generation;
        return Some(Source::Own { generation });
    }
    let loan = runner.loans.iter_mut().find(|loan| loan.free(now) > 0)?;
    loan.acquire(now).then(|| Source::Loan {
        from: loan.from.clone(),
        id: loan.id,
    })
}

fn release_slot(runner: &mut Runner, source: &Source, abandoned: bool, now: Millis) {
    match source {
        Source::Own { generation } if *generation == runner.generation => {
            if let Some(ledger) = &mut runner.ledger {
                ledger.release(abandoned);
            }
        }
        // The ledger was replaced since, and counts this request as reported by the runner.
        Source::Own { .. } => {}
        Source::Loan { from, id } => {
            let mut loans = runner.loans.iter_mut();
            if let Some(loan) = loans.find(|loan| loan.id == *id && loan.from == *from) {
                loan.release(abandoned, now);
            }
        }
    }
}
