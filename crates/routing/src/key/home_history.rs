//! Determines since when a router has been the home of a key without interruption.
//!
//! Views are kept for as long as keys are remembered, so that a rolling replacement of hosts does
//! not interrupt the tenure of homes that stay.

use std::sync::Arc;

use kspan_model::{NodeId, UnixMillis, View};

use super::KEY_TTL;

/// Maximum number of views that are kept.
const MAX_VIEWS: usize = 256;

/// Past views and the current one, oldest first, each with the time from which this router acted
/// on it.
#[derive(Clone, Debug, Default)]
pub struct HomeHistory {
    views: Vec<(Arc<View>, UnixMillis)>,
}

impl HomeHistory {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a view on which this router acts from `now`, unless it is not newer than the last one.
    /// Expired views are dropped.
    pub fn push(&mut self, view: Arc<View>, now: UnixMillis) {
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

    /// Returns the current view.
    pub fn view(&self) -> Option<&Arc<View>> {
        self.views.last().map(|(view, _)| view)
    }

    /// Returns since when `me` has been the home without interruption, where `home` selects the
    /// home in a view. Returns `None` when `me` is not the home in the current view.
    pub fn since(&self, me: &NodeId, home: impl Fn(&View) -> Option<NodeId>) -> Option<UnixMillis> {
        let is_own = |view: &View| home(view).is_some_and(|node| node == *me);
        let tenure = self.views.iter().rev().take_while(|(view, _)| is_own(view));
        tenure.last().map(|(_, since)| *since)
    }
}
