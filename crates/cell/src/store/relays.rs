//! Order in which other processes are tried as relays to the store.

#[cfg(test)]
mod tests;

use kspan_model::{Millis, Name};

use crate::message::Member;

/// Time for which a relay that failed is tried only after the others.
const FAILURE_MEMORY: Millis = Millis(5_000);

/// Processes that may relay requests to the store, and their failures.
#[derive(Debug, Default)]
pub(super) struct Relays {
    local_data_centre: Name,
    relays: Vec<Relay>,
    /// Host of the relay that answered last.
    preferred: Option<Name>,
}

#[derive(Debug)]
struct Relay {
    member: Member,
    failed_at: Option<Millis>,
}

impl Relay {
    fn has_failed_lately(&self, now: Millis) -> bool {
        let is_recent = |failed_at| now.saturating_sub(failed_at) < FAILURE_MEMORY;
        self.failed_at.is_some_and(is_recent)
    }
}

impl Relays {
    /// Creates an empty list for a process in the data centre `local_data_centre`.
    pub(super) fn new(local_data_centre: Name) -> Self {
        Self {
            local_data_centre,
            ..Self::default()
        }
    }

    /// Replaces the processes. Failures of those that stay are kept.
    pub(super) fn set_members(&mut self, members: Vec<Member>) {
        let relays = members.into_iter().map(|member| Relay {
            failed_at: self
                .relays
                .iter()
                .find(|known| known.member.node == member.node)
                .and_then(|known| known.failed_at),
            member,
        });
        self.relays = relays.collect();
    }

    /// Returns the relay to try next for a request for which those in `tried` were tried before.
    ///
    /// The relay that answered last comes first, and those that failed lately come last. The others
    /// are ordered by the failures in their data centre, because its hosts tend to lose the store
    /// together; the local data centre goes before others.
    pub(super) fn next(&self, now: Millis, tried: &[Name]) -> Option<Member> {
        let untried = self
            .relays
            .iter()
            .filter(|relay| !tried.contains(&relay.member.node));
        let first = untried.min_by_key(|relay| {
            let data_centre = &relay.member.data_centre;
            (
                self.preferred.as_ref() != Some(&relay.member.node),
                relay.has_failed_lately(now),
                self.failures_in(data_centre, now),
                *data_centre != self.local_data_centre,
                relay.failed_at,
            )
        });
        first.map(|relay| relay.member.clone())
    }

    fn failures_in(&self, data_centre: &Name, now: Millis) -> usize {
        let failed = self.relays.iter().filter(|relay| {
            relay.member.data_centre == *data_centre && relay.has_failed_lately(now)
        });
        failed.count()
    }

    /// Records that a relay has passed on an answer of the store.
    pub(super) fn record_success(&mut self, node: &Name) {
        self.preferred = Some(node.clone());
        if let Some(relay) = self.find(node) {
            relay.failed_at = None;
        }
    }

    /// Records that a relay has given no answer of the store.
    pub(super) fn record_failure(&mut self, node: &Name, now: Millis) {
        if self.preferred.as_ref() == Some(node) {
            self.preferred = None;
        }
        if let Some(relay) = self.find(node) {
            relay.failed_at = Some(now);
        }
    }

    fn find(&mut self, node: &Name) -> Option<&mut Relay> {
        self.relays
            .iter_mut()
            .find(|relay| relay.member.node == *node)
    }
}
