//! Since when a router has been the home of a key without a break.
//!
//! Views are kept for as long as keys are remembered, so that a rolling replacement of hosts does
//! not interrupt the tenure of homes that stay.

use std::sync::Arc;

use kspan_model::{NodeId, UnixMillis, View};

use super::KEY_TTL;

/// Most views that are kept.
const MAX_VIEWS: usize = 256;

/// Views that were in force, oldest first, with the time from which this router acted on each.
#[derive(Clone, Debug, Default)]
pub struct Tenure {
    views: Vec<(Arc<View>, UnixMillis)>,
}

impl Tenure {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a view that this router may act on from `now`. One no newer than the last is ignored.
    pub fn activate(&mut self, view: Arc<View>, now: UnixMillis) {
        if self
            .views
            .last()
            .is_some_and(|(last, _)| last.number >= view.number)
        {
            return;
        }
        self.views.push((view, now));
        let expired = |(_, since): &(Arc<View>, UnixMillis)| now.since(*since) > KEY_TTL;
        while self.views.len() > 1 && (self.views.len() > MAX_VIEWS || expired(&self.views[1])) {
            self.views.remove(0);
        }
    }

    /// Returns the view acted on.
    pub fn view(&self) -> Option<&Arc<View>> {
        self.views.last().map(|(view, _)| view)
    }

    /// Returns since when `me` has been home without a break, where `home` tells the home in a
    /// view. None when `me` is not home in the view acted on.
    pub fn since(&self, me: &NodeId, home: impl Fn(&View) -> Option<NodeId>) -> Option<UnixMillis> {
        let mine = |view: &View| home(view).is_some_and(|node| node == *me);
        let unbroken = self.views.iter().rev().take_while(|(view, _)| mine(view));
        unbroken.last().map(|(_, since)| *since)
    }
}
