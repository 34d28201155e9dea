//! Requests: admission, dispatch and the end of a dispatch.

use kspan_model::{Millis, Name, Priority, RequestId, TaskId};

use super::{
    Engine, InFlight, Source,
    effect::{Dispatch, DispatchId, DispatchOutcome, Effect, Refusal, RefusalReason},
    runner::Runner,
};
use crate::{choice::Tier, health::may_eject, queue::Waiting};

/// Most requests of a service that wait in one router.
const MAX_QUEUE: usize = 4_096;

/// Most requests of one caller that wait in one router.
const MAX_QUEUE_OF_CALLER: usize = 1_024;

/// Most requests that wait while this router has no slot to estimate by.
const MAX_QUEUE_WITHOUT_SLOTS: usize = 256;

/// What a refused caller waits at the least before it tries again.
const MIN_RETRY_AFTER: Millis = Millis(1_000);

/// Connections of a runner that are left to health questions.
const HEALTH_CONNECTIONS: u32 = 2;

/// A request that asks for a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// The service.
    pub service: Name,
    /// Who sent it.
    pub caller: Name,
    /// Its priority.
    pub priority: Priority,
    /// When it is of no more use.
    pub deadline: Millis,
}

impl Engine {
    /// Takes a request. It is dispatched, waits, or is refused, which an effect tells.
    pub fn submit(&mut self, arrival: Arrival, now: Millis) {
        let request = arrival.request;
        let Some(index) = self.declared_service(&arrival.service) else {
            self.refuse(request, RefusalReason::NoService, MIN_RETRY_AFTER);
            return;
        };
        if let Some(refusal) = self.judge(index, &arrival, now) {
            self.services[index].counters.refused += 1;
            self.effects.push(Effect::Refuse { request, refusal });
            return;
        }
        self.services[index].queue.push(Waiting {
            request,
            caller: arrival.caller,
            priority: arrival.priority,
            deadline: arrival.deadline,
            since: now,
        });
        self.pump(index, now);
        if !self.services[index].queue.is_empty() {
            self.ask_more(index, now);
        }
    }

    /// Takes a request again whose dispatch failed, if the service's budget allows. Returns
    /// whether it does.
    pub fn retry(&mut self, arrival: Arrival, now: Millis) -> bool {
        let Some(index) = self.declared_service(&arrival.service) else {
            return false;
        };
        let service = &mut self.services[index];
        if now >= arrival.deadline || !service.budget.spend() {
            return false;
        }
        service.counters.retries += 1;
        self.submit(arrival, now);
        true
    }

    /// Takes a request again whose dispatch certainly sent nothing. Costs no budget, because no
    /// runner was given work.
    pub fn resubmit(&mut self, arrival: Arrival, now: Millis) {
        self.submit(arrival, now);
    }

    /// Dispatches a request a second time while the first is in flight, if a slot is free that
    /// nobody waits for and the budget allows.
    pub fn hedge(&mut self, request: RequestId, service: &Name, now: Millis) -> Option<Dispatch> {
        let index = self.declared_service(service)?;
        let service = &mut self.services[index];
        if !service.queue.is_empty() || service.free == 0 || !service.budget.spend() {
            return None;
        }
        service.counters.hedges += 1;
        self.start(index, request, now)
    }

    /// Takes a waiting request back. Returns whether it was waiting; else it may have started.
    pub fn withdraw(&mut self, request: RequestId, service: &Name) -> bool {
        let Some(&index) = self.service_index.get(service) else {
            return false;
        };
        self.services[index].queue.remove(request)
    }

    /// Ends a dispatch.
    pub fn finish_dispatch(&mut self, ticket: DispatchId, finish: DispatchOutcome, now: Millis) {
        let Some(dispatch) = self.in_flight.remove(&ticket) else {
            return;
        };
        let index = dispatch.service;
        let service = &mut self.services[index];
        service.in_flight -= 1;
        if let DispatchOutcome::Answered { micros } = finish {
            service.latency.add(micros);
            service.budget.earn();
        }
        self.release(&dispatch, finish, now);
        self.serve_asks(index, now);
        self.pump(index, now);
    }

    /// Dispatches waiting requests as long as there are free slots.
    pub(super) fn pump(&mut self, index: usize, now: Millis) {
        while !self.services[index].candidates.is_empty() {
            let Some(waiting) = self.services[index].queue.pop() else {
                return;
            };
            if waiting.deadline <= now {
                self.expire(index, waiting.request);
                continue;
            }
            match self.start(index, waiting.request, now) {
                Some(start) => self.effects.push(Effect::Dispatch(start)),
                None => {
                    self.services[index].queue.push(waiting);
                    return;
                }
            }
        }
    }

    pub(super) fn pump_all(&mut self, now: Millis) {
        for index in 0..self.services.len() {
            self.pump(index, now);
        }
    }

    pub(super) fn tick_services(&mut self, now: Millis) {
        for index in 0..self.services.len() {
            self.expire_late(index, now);
            self.services[index].asks.retain(|ask| ask.until > now);
            self.serve_asks(index, now);
            self.pump(index, now);
            if !self.services[index].queue.is_empty() {
                self.ask_more(index, now);
            }
        }
    }

    fn declared_service(&self, name: &Name) -> Option<usize> {
        let index = *self.service_index.get(name)?;
        self.services[index].declared.then_some(index)
    }

    /// Returns why a request can't be taken.
    fn judge(&self, index: usize, arrival: &Arrival, now: Millis) -> Option<Refusal> {
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
        let of_caller = service.queue.len_of(&arrival.caller, arrival.priority);
        if service.queue.len() >= MAX_QUEUE || of_caller >= MAX_QUEUE_OF_CALLER {
            return refusal(RefusalReason::QueueFull, MIN_RETRY_AFTER);
        }
        let ahead = service.queue.ahead_of(&arrival.caller, arrival.priority);
        match service.estimate_wait(ahead) {
            None if service.queue.len() >= MAX_QUEUE_WITHOUT_SLOTS => {
                refusal(RefusalReason::QueueFull, MIN_RETRY_AFTER)
            }
            None => None,
            Some(wait) => {
                let needed = wait.saturating_add(service.mean_latency());
                let late = now.saturating_add(needed) > arrival.deadline;
                late.then(|| refusal(RefusalReason::DeadlineUnreachable, wait))
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

    fn start(&mut self, index: usize, request: RequestId, now: Millis) -> Option<Dispatch> {
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
            let taken = runner.and_then(|runner| Some((take_slot(runner, may_act, now)?, runner)));
            let Some((source, runner)) = taken else {
                // The slot's time ran out since it was counted.
                self.refresh(chosen, now);
                continue;
            };
            runner.in_flight += 1;
            let dispatch = InFlight {
                runner: runner.task,
                service: index,
                source,
            };
            self.tickets += 1;
            let start = Dispatch {
                request,
                id: DispatchId(self.tickets),
                runner: runner.task,
                endpoint: runner.endpoint,
                location: runner.location.clone(),
                connections: connection_share(runner.connections, self.routers),
                remote: runner.tier == Tier::Remote,
                hedge_after: self.services[index].latency.high(),
            };
            self.in_flight.insert(start.id, dispatch);
            self.services[index].in_flight += 1;
            self.services[index].counters.dispatched += 1;
            self.refresh(chosen, now);
            return Some(start);
        }
    }

    fn release(&mut self, dispatch: &InFlight, finish: DispatchOutcome, now: Millis) {
        let Some((index, runner)) = self.runner_mut(dispatch.runner) else {
            return;
        };
        runner.in_flight -= 1;
        let abandoned = finish == DispatchOutcome::Abandoned;
        give_slot_back(runner, &dispatch.source, abandoned, now);
        let ejectable = match finish {
            DispatchOutcome::Answered { micros } => {
                runner.latency.add(micros);
                runner.health.succeed();
                false
            }
            DispatchOutcome::Unused => false,
            DispatchOutcome::Unsent | DispatchOutcome::Abandoned => runner.health.fail(),
        };
        if ejectable && self.may_eject_one(dispatch.service, now) {
            self.eject(dispatch.runner, now);
        }
        if abandoned {
            self.return_abandoned(index);
        }
        self.refresh(index, now);
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

    /// Refuses waits that can't be served in time any more.
    fn expire_late(&mut self, index: usize, now: Millis) {
        let service = &mut self.services[index];
        let horizon = now.saturating_add(service.mean_latency());
        for request in service.queue.expire(horizon) {
            self.expire(index, request);
        }
    }

    fn expire(&mut self, index: usize, request: RequestId) {
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

/// Returns the connections that one of `routers` may hold to a runner. One more router than the
/// view has is counted, because a router that joins may know the new view before others do.
pub(super) fn connection_share(connections: u32, routers: u32) -> u32 {
    (connections.saturating_sub(HEALTH_CONNECTIONS) / (routers + 1)).max(1)
}

fn take_slot(runner: &mut Runner, may_act: bool, now: Millis) -> Option<Source> {
    if runner.is_leaving() {
        return None;
    }
    if let Some(ledger) = &mut runner.ledger
        && may_act
        && ledger.take(now)
    {
        let generation = runner.generation;
        return Some(Source::Own { generation });
    }
    let loan = runner.loans.iter_mut().find(|loan| loan.free(now) > 0)?;
    loan.take(now).then(|| Source::Loan {
        from: loan.from.clone(),
        id: loan.id,
    })
}

fn give_slot_back(runner: &mut Runner, source: &Source, abandoned: bool, now: Millis) {
    match source {
        Source::Own { generation } if *generation == runner.generation => {
            if let Some(ledger) = &mut runner.ledger {
                ledger.give_back(abandoned);
            }
        }
        // The account has begun anew since, and learned of this request from the runner.
        Source::Own { .. } => {}
        Source::Loan { from, id } => {
            let mut loans = runner.loans.iter_mut();
            if let Some(loan) = loans.find(|loan| loan.id == *id && loan.from == *from) {
                loan.release(abandoned, now);
            }
        }
    }
}
