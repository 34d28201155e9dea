//! Log lines that lead from a run to the inventories that listed its end and the calls that acknowledged it.
//!
//! A line names all ends that it concerns, so that frequent ends don't reach the rate limit. `started_unix_ms` is the
//! start time of the incarnation that answered, or that the owner believes in, and `meant_unix_ms` that of the one
//! that a call was meant for.

#[cfg(test)]
mod tests;

use std::fmt::Display;

use kspan_jobs::{
    engine::{Acknowledgement, Event, InventoryCall, ListedEnd, ListingKind, RunnerIx},
    id::TaskId,
    runner::Inventory,
};
use kspan_model::Name;

use super::{Owner, event_log::end_kind_name};

/// Maximum number of lines per second about calls that acknowledge ends. Below the usual limit, as each costs time
/// at the peak of the load. Those that get no answer have a line of their own.
const MAX_ACKNOWLEDGEMENTS_PER_SECOND: u32 = 60;

/// An inventory call as the log names it.
#[derive(Debug)]
pub(super) struct CallLog {
    runner: Name,
    meant_unix_ms: u64,
    sequence: u64,
    fence: u64,
    acknowledgement: Option<AcknowledgementLog>,
}

#[derive(Debug)]
struct AcknowledgementLog {
    number: u64,
    answered_number: u64,
    ends: Vec<ListedEnd>,
}

impl From<Acknowledgement> for AcknowledgementLog {
    fn from(acknowledgement: Acknowledgement) -> Self {
        Self {
            number: acknowledgement.number,
            answered_number: acknowledgement.answered_number,
            ends: acknowledgement.ends,
        }
    }
}

impl CallLog {
    fn number(&self) -> Option<u64> {
        self.acknowledgement.as_ref().map(|sent| sent.number)
    }

    fn ends(&self) -> Option<String> {
        let sent = self.acknowledgement.as_ref()?;
        Some(list_ends(&sent.ends))
    }

    /// Returns the kind of the line about a call without a result. Calls that acknowledge ends have their own, so
    /// that others don't suppress their lines.
    fn failure_kind(&self) -> &'static str {
        match self.acknowledgement {
            Some(_) => "acknowledgement failed",
            None => "hold",
        }
    }

    /// Returns whether the start time that an answer shows is that of another incarnation than the one that the call
    /// was meant for.
    fn is_answered_by_other(&self, started_unix_ms: u64) -> bool {
        let meant = self.meant_unix_ms;
        meant != 0 && started_unix_ms != 0 && meant != started_unix_ms
    }
}

impl Owner {
    /// Logs a call that is about to be sent, if it acknowledges ends.
    pub(super) fn log_inventory_call(
        &self,
        runner_ix: RunnerIx,
        call: &InventoryCall,
        fence: u64,
    ) -> CallLog {
        let engine = self.engine.borrow();
        let entry = engine.runner(runner_ix);
        let call = CallLog {
            runner: entry.id.clone(),
            meant_unix_ms: entry.started_unix_ms,
            sequence: call.sequence,
            fence,
            acknowledgement: engine
                .acknowledgement(runner_ix, call)
                .map(AcknowledgementLog::from),
        };
        let max_lines = MAX_ACKNOWLEDGEMENTS_PER_SECOND;
        let limit = &self.node.log_limit;
        if let Some(sent) = &call.acknowledgement
            && limit.allows_up_to(max_lines, "acknowledged", self.now())
        {
            tracing::info!(
                runner = %call.runner,
                meant_unix_ms = call.meant_unix_ms,
                sequence = call.sequence,
                fence,
                number = sent.number,
                answered_number = sent.answered_number,
                ends = list_ends(&sent.ends),
                "acknowledging ends"
            );
        }
        call
    }

    /// Logs that a call was not answered, or was refused.
    pub(super) fn log_failed_inventory(&self, call: &CallLog, err: &dyn Display) {
        let kind = call.failure_kind();
        if self.node.log_limit.allows(kind, self.now()) {
            tracing::warn!(
                runner = %call.runner,
                %err,
                meant_unix_ms = call.meant_unix_ms,
                sequence = call.sequence,
                fence = call.fence,
                number = call.number(),
                ends = call.ends(),
                "inventory call failed"
            );
        }
    }

    /// Logs an answer of another incarnation than the one that the call was meant for.
    pub(super) fn log_other_incarnation(&self, call: &CallLog, inventory: &Inventory) {
        if call.is_answered_by_other(inventory.started_unix_ms)
            && self.node.log_limit.allows("other incarnation", self.now())
        {
            tracing::warn!(
                runner = %call.runner,
                meant_unix_ms = call.meant_unix_ms,
                started_unix_ms = inventory.started_unix_ms,
                sequence = call.sequence,
                fence = call.fence,
                number = call.number(),
                ends = call.ends(),
                "another incarnation answered an inventory call"
            );
        }
    }

    /// Logs the ends in an answer that comes after the end of the ownership.
    pub(super) fn log_answer_after_ownership(&self, call: &CallLog, inventory: &Inventory) {
        if !inventory.ended.is_empty() && self.node.log_limit.allows("listing ignored", self.now())
        {
            let ends: Vec<ListedEnd> = inventory.ended.iter().map(ListedEnd::from).collect();
            tracing::warn!(
                runner = %call.runner,
                meant_unix_ms = call.meant_unix_ms,
                started_unix_ms = inventory.started_unix_ms,
                sequence = call.sequence,
                fence = call.fence,
                ends = list_ends(&ends),
                "ends listed after the ownership ended"
            );
        }
    }
}

/// Logs what inventories show of ends, and which runs are taken for lost.
pub(super) fn log_end_event(event: &Event) {
    match event {
        Event::EndsListed {
            kind,
            runner,
            meant_unix_ms,
            started_unix_ms,
            sequence,
            acknowledged_number,
            ends,
        } => {
            let message = match kind {
                ListingKind::Again => "ends listed again",
                ListingKind::Late => "ends listed late",
                ListingKind::Ignored => "ends listed by an incarnation that counts as ended",
            };
            let ends = list_ends(ends);
            tracing::info!(%runner, meant_unix_ms, started_unix_ms, sequence, answered_number = acknowledged_number, ends, "{message}");
        }
        Event::EndsForgotten {
            runner,
            started_unix_ms,
            sequence,
            expected,
            listed,
        } => {
            tracing::warn!(%runner, started_unix_ms, sequence, expected, listed, "ends forgotten before they were listed");
        }
        Event::RunsLost {
            runner,
            started_unix_ms,
            reason,
            sequence,
            last_number,
            lease,
            runs,
        } => {
            tracing::info!(
                %runner,
                why = %reason,
                started_unix_ms,
                sequence,
                last_number,
                silent_ms = lease.and_then(|lease| lease.silent).map(|silent| silent.0),
                deadline_ms = lease.map(|lease| lease.deadline.0),
                margin_ms = lease.map(|lease| lease.margin.0),
                clock_ms = lease.map(|lease| lease.clock.0),
                clock_age_ms = lease.map(|lease| lease.reading_age.0),
                min_clock_ms = lease.map(|lease| lease.min_clock.0),
                latest_order_age_ms = lease.and_then(|lease| lease.latest_order_age).map(|age| age.0),
                may_be_inherited = lease.map(|lease| lease.may_be_inherited),
                runs = list_runs(runs),
                "runs taken for lost"
            );
        }
        _ => {}
    }
}

/// Returns ends as `TASK/RUN#NUMBER:HOW`, separated by spaces; `*N` follows those that N inventories have listed.
fn list_ends(ends: &[ListedEnd]) -> String {
    let ends = ends.iter().map(|end| {
        let how = end_kind_name(end.how);
        let mut text = format!("{}/{}#{}:{how}", end.task, end.run, end.number);
        if end.listings > 1 {
            text += &format!("*{}", end.listings);
        }
        text
    });
    ends.collect::<Vec<_>>().join(" ")
}

/// Returns runs as `TASK/RUN`, separated by spaces.
fn list_runs(runs: &[(TaskId, u32)]) -> String {
    let runs = runs.iter().map(|(task, run)| format!("{task}/{run}"));
    runs.collect::<Vec<_>>().join(" ")
}
