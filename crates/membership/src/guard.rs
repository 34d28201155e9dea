//! Whether a process may act on a view that it believes to be in force.

use std::sync::Arc;

use kspan_model::{Member, View};

use crate::ownership;

/// What a process may do at one instant. Ask again before each act: it lapses.
#[derive(Clone, Debug, Default)]
pub struct GuardState {
    may_act: bool,
    activated: u64,
    views: Vec<Arc<View>>,
}

impl GuardState {
    /// Creates a state. `views` are the activated view and every later one, in order.
    pub fn new(may_act: bool, activated: u64, views: Vec<Arc<View>>) -> Self {
        Self {
            may_act,
            activated,
            views,
        }
    }

    /// Returns whether the process knows that no higher view's homes act yet.
    pub const fn may_act(&self) -> bool {
        self.may_act
    }

    /// Returns the number of the highest view whose moved homes are active.
    pub const fn activated(&self) -> u64 {
        self.activated
    }

    /// Returns the views that may still have acting homes: the activated one and all later ones.
    pub fn views(&self) -> &[Arc<View>] {
        &self.views
    }

    /// Returns the home of a key when it is the same in every view that may still act, so that
    /// no other home can be active. `None` while the key's home is moving.
    pub fn home_of_key(&self, key: &str, region: Option<&str>) -> Option<&Member> {
        self.settled(|view| ownership::home_of_key(view, key, region))
    }

    /// Returns the member that `choose` names in the newest view, when it names the same one in
    /// every view that may still act.
    pub fn settled(&self, choose: impl Fn(&View) -> Option<&Member>) -> Option<&Member> {
        let newest = choose(self.views.last()?)?;
        let same = |view: &Arc<View>| choose(view).is_some_and(|m| m.node == newest.node);
        self.views.iter().all(same).then_some(newest)
    }
}
