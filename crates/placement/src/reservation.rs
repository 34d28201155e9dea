//! Reservations: capacity held for tasks that did not fit.

use kspan_model::{Millis, Resources};

use crate::{job::JobNo, worker::WorkerNo};

/// A task with the worker on which it will start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlannedTask {
    pub(crate) index: u32,
    pub(crate) worker: WorkerNo,
}

/// Capacity held for tasks of one job that start together.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) job: JobNo,
    pub(crate) size: Resources,
    pub(crate) tasks: Vec<PlannedTask>,
    pub(crate) created: Millis,
    /// When the last of the capacity is expected to be free.
    pub(crate) ready_at: Millis,
    pub(crate) until: Millis,
    pub(crate) last_tried_at: Millis,
}
