//! Calls between owners and runners: lost before or after they took effect, late, overtaking.

use kspan_jobs::{
    engine::{RunnerIx, StartOrder, StopOrder},
    runner::{InventoryOutcome, OrderOutcome, Refusal, StartOutcome},
};
use kspan_model::Millis;
use rand::Rng;

use super::{Event, LATE_MS, Mutation, ORDER_TIMEOUT_MS, World, checks::StartSeen};

impl World {
    pub(super) fn send_holds(&mut self, owner: usize) {
        let on_all: Vec<RunnerIx> = self.owners[owner].engine.live_runners().collect();
        for runner_ix in on_all {
            if !self.owners[owner].holding.insert(runner_ix.0) {
                continue;
            }
            let cell = &mut self.owners[owner];
            let mut order = cell.engine.next_inventory_call(runner_ix, Millis(self.now));
            if self.mutation == Mutation::AckEarly {
                order.ack = u64::MAX;
            }
            cell.holds.insert(order.sequence, order);
            let runner = cell.runners[&runner_ix.0];
            let event = order.sequence;
            let (lost, answered, delay) = self.fate(runner);
            if !lost {
                let arrives = Event::HoldArrives {
                    owner,
                    runner,
                    runner_ix: runner_ix.0,
                    event,
                    answered,
                };
                self.push(delay, arrives);
            }
            if lost || !answered {
                self.hold_unreached(owner, runner_ix.0, event);
            }
        }
    }

    fn hold_unreached(&mut self, owner: usize, runner_ix: usize, event: u64) {
        let answer = self.owners[owner].hold_answers.len();
        self.owners[owner]
            .hold_answers
            .push(InventoryOutcome::NoAnswer);
        let answered = Event::HoldAnswered {
            owner,
            runner_ix,
            event,
            answer,
        };
        self.push(500, answered);
    }

    /// Draws what becomes of a call: whether it is lost, whether it is answered, and when it
    /// arrives.
    fn fate(&mut self, runner: usize) -> (bool, bool, u64) {
        if !self.runners[runner].up || self.runners[runner].cut {
            return (true, false, 0);
        }
        let faulty = self.now < self.faults_until;
        let delay = self.rng.random_range(1..25);
        match self.rng.random_range(0..100) {
            0..3 if faulty => (true, false, 0),
            3..6 if faulty => (false, false, delay),
            6..10 if faulty => (false, false, self.rng.random_range(2_000..12_000)),
            _ => (false, true, delay),
        }
    }

    pub(super) fn send_start(&mut self, owner: usize, order: StartOrder) {
        let runner = self.owners[owner].runners[&order.runner_ix.0];
        let call = self.owners[owner].starts.len();
        self.owners[owner].starts.push((order, self.now));
        self.owners[owner].start_answers.push(None);
        let (lost, answered, delay) = self.fate(runner);
        if !lost {
            self.push(
                delay,
                Event::StartArrives {
                    owner,
                    call,
                    answered,
                },
            );
        }
        if lost || !answered {
            let timeout = Event::StartAnswered {
                owner,
                call,
                outcome: None,
            };
            self.push(ORDER_TIMEOUT_MS, timeout);
        }
    }

    pub(super) fn send_stop(&mut self, owner: usize, order: StopOrder) {
        if self.mutation == Mutation::StopsDropped {
            return;
        }
        let runner = self.owners[owner].runners[&order.runner_ix.0];
        let call = self.owners[owner].stops.len();
        self.owners[owner].stops.push(order);
        let (lost, answered, delay) = self.fate(runner);
        if !lost {
            self.push(
                delay,
                Event::StopArrives {
                    owner,
                    call,
                    answered,
                },
            );
        }
        if lost || !answered {
            let timeout = Event::StopAnswered {
                owner,
                call,
                fenced: None,
            };
            self.push(ORDER_TIMEOUT_MS, timeout);
        }
    }

    pub(super) fn start_arrives(&mut self, owner: usize, call: usize, answered: bool) {
        let (order, sent) = self.owners[owner].starts[call].clone();
        let fence = self.owners[owner].fence;
        let number = self.owners[owner].runners[&order.runner_ix.0];
        let id = self.owners[owner].engine.runner(order.runner_ix).id.clone();
        let outcome = if self.runners[number].up && self.runners[number].id() == id {
            let (outcome, ends) =
                self.runners[number].start(&order, fence, self.now, &mut self.rng);
            if let Some(after) = ends {
                let runner = &self.runners[number];
                let life = runner.life;
                let seen = StartSeen {
                    task: order.task,
                    run: order.run,
                    runner_ix: number,
                    now: self.now,
                    fence,
                    late: self.now > sent + LATE_MS,
                };
                self.checks.started(seen, &self.runners);
                let (task, run) = (order.task, order.run);
                self.push(
                    after,
                    Event::TaskEnds {
                        runner: number,
                        life,
                        task,
                        run,
                    },
                );
            }
            outcome
        } else if self.runners[number].up {
            StartOutcome::OtherIncarnation
        } else {
            let timeout = Event::StartAnswered {
                owner,
                call,
                outcome: None,
            };
            if answered {
                self.push(ORDER_TIMEOUT_MS, timeout);
            }
            return;
        };
        self.owners[owner].start_answers[call] = Some(outcome);
        if answered {
            let delay = self.rng.random_range(1..25);
            let outcome = Some(call as u64);
            self.push(
                delay,
                Event::StartAnswered {
                    owner,
                    call,
                    outcome,
                },
            );
        }
    }

    pub(super) fn start_answered(&mut self, owner: usize, call: usize, outcome: Option<u64>) {
        let cell = &mut self.owners[owner];
        if !cell.alive || cell.paused {
            return;
        }
        let (order, _) = cell.starts[call].clone();
        let known = cell.start_answers[call].filter(|_| outcome.is_some());
        let doubt = if self.mutation == Mutation::DoubtIsRefusal {
            StartOutcome::Refused(Refusal::DeadlinePassed)
        } else {
            StartOutcome::Unknown
        };
        let StartOrder {
            runner_ix,
            task,
            run,
            ..
        } = order;
        let outcome = known.unwrap_or(doubt);
        cell.engine
            .record_start_outcome(Millis(self.now), runner_ix, task, run, outcome);
    }

    pub(super) fn stop_arrives(&mut self, owner: usize, call: usize, answered: bool) {
        let order = self.owners[owner].stops[call];
        let fence = self.owners[owner].fence;
        let number = self.owners[owner].runners[&order.runner_ix.0];
        let id = self.owners[owner].engine.runner(order.runner_ix).id.clone();
        if !self.runners[number].up || self.runners[number].id() != id {
            if answered {
                let timeout = Event::StopAnswered {
                    owner,
                    call,
                    fenced: None,
                };
                self.push(ORDER_TIMEOUT_MS, timeout);
            }
            return;
        }
        let fenced = self.runners[number].stop(order.task, order.run, fence, self.now);
        if answered {
            let delay = self.rng.random_range(1..25);
            let fenced = Some(fenced);
            self.push(
                delay,
                Event::StopAnswered {
                    owner,
                    call,
                    fenced,
                },
            );
        }
    }

    pub(super) fn stop_answered(&mut self, owner: usize, call: usize, fenced: Option<bool>) {
        let cell = &mut self.owners[owner];
        if !cell.alive || cell.paused {
            return;
        }
        let StopOrder {
            runner_ix,
            task,
            run,
        } = cell.stops[call];
        let outcome = match fenced {
            Some(true) => OrderOutcome::Fenced,
            Some(false) => OrderOutcome::Done,
            None => OrderOutcome::Unknown,
        };
        cell.engine
            .record_stop_outcome(runner_ix, task, run, outcome, Millis(self.now));
    }

    pub(super) fn hold_arrives(
        &mut self,
        owner: usize,
        runner: usize,
        runner_ix: usize,
        event: u64,
        answered: bool,
    ) {
        let order = self.owners[owner].holds[&event];
        let fence = self.owners[owner].fence;
        let id = self.owners[owner]
            .engine
            .runner(RunnerIx(runner_ix))
            .id
            .clone();
        let outcome = if !self.runners[runner].up {
            if answered {
                self.hold_unreached(owner, runner_ix, event);
            }
            return;
        } else if self.runners[runner].id() == id {
            self.runners[runner].hold(&order, fence, self.now, &mut self.checks)
        } else {
            InventoryOutcome::OtherIncarnation
        };
        if answered {
            let answer = self.owners[owner].hold_answers.len();
            self.owners[owner].hold_answers.push(outcome);
            let delay = self.rng.random_range(1..25);
            self.push(
                delay,
                Event::HoldAnswered {
                    owner,
                    runner_ix,
                    event,
                    answer,
                },
            );
        }
    }

    pub(super) fn hold_answered(
        &mut self,
        owner: usize,
        runner_ix: usize,
        event: u64,
        answer: usize,
    ) {
        let silence_is_death = self.mutation == Mutation::SilenceIsDeath;
        let cell = &mut self.owners[owner];
        cell.holding.remove(&runner_ix);
        if !cell.alive || cell.paused {
            return;
        }
        let mut outcome = cell.hold_answers[answer].clone();
        if silence_is_death && outcome == InventoryOutcome::NoAnswer {
            outcome = InventoryOutcome::OtherIncarnation;
        }
        cell.engine.record_inventory(
            Millis(self.now),
            self.now,
            RunnerIx(runner_ix),
            event,
            &outcome,
        );
    }
}
