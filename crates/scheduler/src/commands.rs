//! Commands that wait for one worker, and those that an exchange is carrying.
//!
//! Every command may be carried out twice without harm, so one whose exchange got no answer is
//! simply sent again, in the same order. What that proves about a start is kept with it.

use std::collections::VecDeque;

use kspan_contract::protocol::worker::{Command, CommandResult, Refusal, Start};
use kspan_model::{Millis, Name, Resources, TaskId, UnixMillis};

use crate::{
    border,
    times::{CLOCK_SKEW, START_NOT_AFTER},
};

/// Most commands in one exchange; more wait for the next one.
pub const MAX_COMMANDS: usize = 256;

/// What a start tells the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The workload that declares the task.
    pub workload: Name,
    /// Declared size.
    pub size: Resources,
    /// Declared run time; zero for a runner.
    pub run_time: Millis,
    /// Requests that a runner works on at once; zero for other tasks.
    pub slots: u32,
    /// Connections that a runner accepts; zero for other tasks.
    pub connections: u32,
}

/// What a worker is told to do with a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start it.
    Start(StartOrder),
    /// Stop it within the grace.
    Stop {
        /// Time to finish what is in flight.
        grace: Millis,
    },
    /// Checkpoint and end it.
    Checkpoint,
    /// Limit its processor time.
    Throttle {
        /// Limit in thousandths of a core.
        cpu_milli: u64,
    },
    /// Drop the ended task from the inventory.
    Forget,
}

/// An order for one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pending {
    /// The task.
    pub task: TaskId,
    /// The order.
    pub order: Order,
    /// Not sent before this.
    pub not_before: Millis,
    /// Last time that it was sent without an answer. The worker may still carry it out.
    pub unanswered: Option<Millis>,
}

/// What a worker said about an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settled {
    /// The order.
    pub pending: Pending,
    /// Why it was refused; none where it was carried out.
    pub refused: Option<Refusal>,
}

impl Settled {
    /// Returns whether this is a start that was carried out.
    pub fn is_start_done(&self) -> bool {
        self.refused.is_none() && matches!(self.pending.order, Order::Start(_))
    }
}

/// What is known of a start that was withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawn {
    /// It was never sent, and won't be.
    NeverSent,
    /// It was sent, or was not waiting here.
    MayBeSent,
}

/// The commands of one worker.
#[derive(Clone, Debug, Default)]
pub struct CommandQueue {
    waiting: VecDeque<Pending>,
    flying: Vec<Pending>,
}

impl CommandQueue {
    /// Adds an order that is not to be sent before `not_before`.
    pub fn push(&mut self, task: TaskId, order: Order, not_before: Millis) {
        let known = self
            .waiting
            .iter()
            .chain(&self.flying)
            .any(|pending| pending.task == task && pending.order == order);
        if !known {
            self.waiting.push_back(Pending {
                task,
                order,
                not_before,
                unanswered: None,
            });
        }
    }

    /// Returns whether an order may be sent now.
    pub fn is_ready(&self, now: Millis) -> bool {
        self.waiting.iter().any(|pending| pending.not_before <= now)
    }

    /// Takes the orders for the next exchange.
    pub fn take(&mut self, now: Millis, unix: UnixMillis) -> Vec<Command> {
        debug_assert!(
            self.flying.is_empty(),
            "one exchange is in flight at a time"
        );
        let mut kept = VecDeque::new();
        for pending in self.waiting.drain(..) {
            if pending.not_before <= now && self.flying.len() < MAX_COMMANDS {
                self.flying.push(pending);
            } else {
                kept.push_back(pending);
            }
        }
        self.waiting = kept;
        self.flying
            .iter()
            .map(|pending| command(pending, unix))
            .collect()
    }

    /// Takes in the answers to the orders in flight.
    pub fn settle(&mut self, results: &[CommandResult]) -> Vec<Settled> {
        let answers = results.iter().map(Some).chain(std::iter::repeat(None));
        std::mem::take(&mut self.flying)
            .into_iter()
            .zip(answers)
            .map(|(pending, answer)| Settled {
                refused: answer.and_then(|answer| answer.refused),
                pending,
            })
            .collect()
    }

    /// Puts an order back whose refusal proves nothing yet.
    pub fn put_back(&mut self, pending: Pending) {
        self.waiting.push_front(pending);
    }

    /// Notes that no answer came. `ambiguous` tells that the orders may have been carried out.
    pub fn unanswered(&mut self, now: Millis, ambiguous: bool) {
        for mut pending in self.flying.drain(..).rev() {
            if ambiguous {
                pending.unanswered = Some(now);
            }
            self.waiting.push_front(pending);
        }
    }

    /// Returns the orders in flight.
    pub fn flying(&self) -> &[Pending] {
        &self.flying
    }

    /// Returns whether a start of the task waits or is in flight.
    pub fn is_starting(&self, task: TaskId) -> bool {
        self.waiting
            .iter()
            .chain(&self.flying)
            .any(|pending| pending.task == task && matches!(pending.order, Order::Start(_)))
    }

    /// Takes back a start that was not sent yet.
    pub fn withdraw_start(&mut self, task: TaskId) -> Withdrawn {
        let position = self.waiting.iter().position(|pending| {
            pending.task == task
                && matches!(pending.order, Order::Start(_))
                && pending.unanswered.is_none()
        });
        match position {
            Some(position) => {
                self.waiting.remove(position);
                Withdrawn::NeverSent
            }
            None => Withdrawn::MayBeSent,
        }
    }

    /// Takes back every start that was never sent.
    pub fn withdraw_unsent_starts(&mut self) -> Vec<TaskId> {
        let mut withdrawn = Vec::new();
        self.waiting.retain(|pending| {
            let unsent = matches!(pending.order, Order::Start(_)) && pending.unanswered.is_none();
            if unsent {
                withdrawn.push(pending.task);
            }
            !unsent
        });
        withdrawn
    }

    /// Drops every order; the worker has forgotten its tasks.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.flying.clear();
    }
}

impl Pending {
    /// Returns whether an earlier, unanswered copy of the order can no longer be carried out.
    pub fn has_expired(&self, now: Millis) -> bool {
        self.unanswered
            .is_none_or(|sent| now >= sent + START_NOT_AFTER + CLOCK_SKEW + CLOCK_SKEW)
    }
}

fn command(pending: &Pending, unix: UnixMillis) -> Command {
    let task = pending.task.to_string();
    match &pending.order {
        Order::Start(start) => Command::Start(Start {
            task,
            workload: start.workload.to_string(),
            size: border::size(start.size),
            run_time_ms: start.run_time.0,
            not_after_ms: START_NOT_AFTER.0,
            sent_unix_ms: unix.0,
            slots: start.slots,
            connections: start.connections,
        }),
        Order::Stop { grace } => Command::Stop {
            task,
            grace_ms: grace.0,
        },
        Order::Checkpoint => Command::Checkpoint { task },
        Order::Throttle { cpu_milli } => Command::Throttle {
            task,
            cpu_milli: *cpu_milli,
        },
        Order::Forget => Command::Forget { task },
    }
}
