//! The command queue of one worker: pending orders and those that an exchange carries.
//!
//! An exchange carries each order as a [`Command`]. Commands are idempotent, so those of an exchange
//! that got no reply are sent again in the same sequence. For each start the queue keeps when an
//! exchange that carried it was last left in doubt, because the worker may still execute that copy.

use std::collections::VecDeque;

use kspan_contract::protocol::worker::{Command, CommandResult, Refusal, Start};
use kspan_model::{Millis, Name, Resources, TaskId, UnixMillis};

use crate::{
    conversion,
    timing::{MAX_CLOCK_SKEW, START_VALIDITY},
};

/// Maximum commands in one exchange; the others wait for the next one.
pub const MAX_COMMANDS_PER_EXCHANGE: usize = 256;

/// Parameters of a start order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The workload that declares the task.
    pub workload: Name,
    /// Declared size.
    pub size: Resources,
    /// Declared run time; zero for a runner.
    pub run_time: Millis,
    /// Requests that a runner processes concurrently; zero for other tasks.
    pub slots: u32,
    /// Maximum connections of a runner; zero for other tasks.
    pub connections: u32,
}

/// An operation that a worker performs on a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Starts the task.
    Start(StartOrder),
    /// Stops the task within the grace period.
    Stop {
        /// Time to finish work in flight.
        grace: Millis,
    },
    /// Writes a checkpoint and ends the task.
    Checkpoint,
    /// Limits the task's CPU time.
    Throttle {
        /// Limit in thousandths of a core.
        cpu_milli: u64,
    },
    /// Removes the ended task from the inventory.
    Forget,
}

/// A queued order for one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingOrder {
    /// The task.
    pub task: TaskId,
    /// The order.
    pub order: Order,
    /// Earliest time to send it.
    pub not_before: Millis,
    /// When an exchange that carried the order last failed without a reply; the worker may still
    /// execute that copy.
    pub in_doubt_at: Option<Millis>,
}

/// The result of an order, as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderResult {
    /// The order.
    pub pending: PendingOrder,
    /// Reason of the refusal; `None` if the order was executed.
    pub refused: Option<Refusal>,
}

impl OrderResult {
    /// Returns whether this is a start that the worker executed.
    pub fn is_start_done(&self) -> bool {
        self.refused.is_none() && matches!(self.pending.order, Order::Start(_))
    }
}

/// Result of withdrawing a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// The start was never sent and has been removed.
    NeverSent,
    /// The start may have been sent, or is not in the queue.
    MayHaveBeenSent,
}

/// The commands of one worker, pending and in flight.
#[derive(Clone, Debug, Default)]
pub struct CommandQueue {
    waiting: VecDeque<PendingOrder>,
    in_flight: Vec<PendingOrder>,
}

impl CommandQueue {
    /// Adds an order that is not sent before `not_before`; an order that is already queued or in
    /// flight is ignored.
    pub fn push(&mut self, task: TaskId, order: Order, not_before: Millis) {
        let known = self
            .waiting
            .iter()
            .chain(&self.in_flight)
            .any(|pending| pending.task == task && pending.order == order);
        if !known {
            self.waiting.push_back(PendingOrder {
                task,
                order,
                not_before,
                in_doubt_at: None,
            });
        }
    }

    /// Returns whether any pending order may be sent now.
    pub fn has_ready_order(&self, now: Millis) -> bool {
        self.waiting.iter().any(|pending| pending.not_before <= now)
    }

    /// Moves the orders that may be sent to the next exchange and returns their commands.
    pub fn take_ready(&mut self, now: Millis, unix: UnixMillis) -> Vec<Command> {
        debug_assert!(
            self.in_flight.is_empty(),
            "one exchange is in flight at a time"
        );
        let mut kept = VecDeque::new();
        for pending in self.waiting.drain(..) {
            if pending.not_before <= now && self.in_flight.len() < MAX_COMMANDS_PER_EXCHANGE {
                self.in_flight.push(pending);
            } else {
                kept.push_back(pending);
            }
        }
        self.waiting = kept;
        self.in_flight
            .iter()
            .map(|pending| command(pending, unix))
            .collect()
    }

    /// Matches the results of an exchange to the orders in flight and returns their outcomes.
    pub fn record_results(&mut self, results: &[CommandResult]) -> Vec<OrderResult> {
        let reported = results.iter().map(Some).chain(std::iter::repeat(None));
        std::mem::take(&mut self.in_flight)
            .into_iter()
            .zip(reported)
            .map(|(pending, result)| OrderResult {
                refused: result.and_then(|result| result.refused),
                pending,
            })
            .collect()
    }

    /// Requeues an order whose refusal is not conclusive, because an earlier copy may still be
    /// executed.
    pub fn requeue(&mut self, pending: PendingOrder) {
        self.waiting.push_front(pending);
    }

    /// Requeues the orders in flight after an exchange without results. `in_doubt` says that they
    /// may have been executed.
    pub fn requeue_unanswered(&mut self, now: Millis, in_doubt: bool) {
        for mut pending in self.in_flight.drain(..).rev() {
            if in_doubt {
                pending.in_doubt_at = Some(now);
            }
            self.waiting.push_front(pending);
        }
    }

    /// Returns the orders in flight.
    pub fn in_flight(&self) -> &[PendingOrder] {
        &self.in_flight
    }

    /// Returns whether a start of the task is pending or in flight.
    pub fn has_pending_start(&self, task: TaskId) -> bool {
        self.waiting
            .iter()
            .chain(&self.in_flight)
            .any(|pending| pending.task == task && matches!(pending.order, Order::Start(_)))
    }

    /// Removes a pending start that was never sent.
    pub fn withdraw_start(&mut self, task: TaskId) -> Withdrawal {
        let position = self.waiting.iter().position(|pending| {
            pending.task == task
                && matches!(pending.order, Order::Start(_))
                && pending.in_doubt_at.is_none()
        });
        match position {
            Some(position) => {
                self.waiting.remove(position);
                Withdrawal::NeverSent
            }
            None => Withdrawal::MayHaveBeenSent,
        }
    }

    /// Removes every pending start that was never sent and returns the tasks.
    pub fn withdraw_unsent_starts(&mut self) -> Vec<TaskId> {
        let mut withdrawn = Vec::new();
        self.waiting.retain(|pending| {
            let unsent = matches!(pending.order, Order::Start(_)) && pending.in_doubt_at.is_none();
            if unsent {
                withdrawn.push(pending.task);
            }
            !unsent
        });
        withdrawn
    }

    /// Removes every order, because the worker has lost its tasks.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.in_flight.clear();
    }
}

impl PendingOrder {
    /// Returns whether no earlier copy of the order that is in doubt can still be executed.
    pub fn earlier_copies_expired(&self, now: Millis) -> bool {
        self.in_doubt_at
            .is_none_or(|failed| now >= failed + START_VALIDITY + MAX_CLOCK_SKEW + MAX_CLOCK_SKEW)
    }
}

fn command(pending: &PendingOrder, unix: UnixMillis) -> Command {
    let task = pending.task.to_string();
    match &pending.order {
        Order::Start(start) => Command::Start(Start {
            task,
            workload: start.workload.to_string(),
            size: conversion::to_size(start.size),
            run_time_ms: start.run_time.0,
            not_after_ms: START_VALIDITY.0,
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
