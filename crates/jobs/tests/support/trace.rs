//! Trace of one schedule: the seed in the environment variable `KSPAN_TRACE_SEED`.

use super::{Event, Simulation};

/// Environment variable with the seed of the schedule to be traced.
const SEED_VARIABLE: &str = "KSPAN_TRACE_SEED";

/// Returns whether the schedule with this seed is traced.
pub(super) fn is_traced(seed: u64) -> bool {
    let traced = std::env::var(SEED_VARIABLE).ok();
    traced.and_then(|text| text.parse().ok()) == Some(seed)
}

impl Simulation {
    /// Prints an event that is about to be handled, with the call that it delivers.
    pub(super) fn trace_event(&self, event: Event) {
        let detail = match event {
            Event::Tick(_) | Event::BatchWritten { .. } => return,
            Event::StartArrives { owner, call, .. } => {
                let sent = &self.owners[owner].starts[call];
                let runner = self.owners[owner].runners[&sent.call.runner_ix.0];
                let runner = self.runners[runner].summary(self.now);
                format!(
                    "{:?} at {}, fence {}; {runner}",
                    sent.call, sent.at, sent.fence
                )
            }
            Event::StopArrives { owner, call, .. } => {
                let sent = &self.owners[owner].stops[call];
                format!("{:?} at {}, fence {}", sent.call, sent.at, sent.fence)
            }
            Event::InventoryCallArrives {
                owner,
                runner,
                sequence,
                ..
            } => {
                let sent = &self.owners[owner].inventory_calls[&sequence];
                let runner = self.runners[runner].summary(self.now);
                format!(
                    "{:?} at {}, fence {}; {runner}",
                    sent.call, sent.at, sent.fence
                )
            }
            Event::InventoryAnswered {
                owner,
                outcome_index,
                sequence,
                ..
            } => {
                let cell = &self.owners[owner];
                let is_open = cell.open_calls.contains(&sequence);
                let outcome = &cell.inventory_outcomes[outcome_index];
                format!("open {is_open}: {outcome:?}")
            }
            Event::StartAnswered { owner, call, .. } => {
                let cell = &self.owners[owner];
                format!("{:?}", cell.start_outcomes[call])
            }
            _ => String::new(),
        };
        println!("{} {event:?} {detail}", self.now);
    }

    /// Prints what the engines have decided.
    pub(super) fn trace_decisions(&mut self) {
        for (number, owner) in self.owners.iter_mut().enumerate() {
            for event in owner.engine.take_events() {
                println!("{}   owner {number}: {event:?}", self.now);
            }
        }
    }
}
