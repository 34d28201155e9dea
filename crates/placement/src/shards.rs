//! Gangs that span several shards.
//!
//! The coordinator of a gang requests expiring reservations from the shards, one shard at a time
//! and always in the order of their names. Two gangs that need the same shards therefore compete
//! first for the first shard that they share, which rules out deadlock. A refusal or an expiry
//! releases all reservations.
//!
//! The module only decides what to send; the transport is up to the caller.

use kspan_model::{Millis, Name};

/// The tasks of a gang to run in one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardRequest {
    /// The shard.
    pub shard: Name,
    /// Number of tasks to reserve capacity for.
    pub tasks: u32,
}

/// Action that the coordinator's caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Request a reservation from a shard.
    Reserve {
        /// The shard and the number of tasks.
        part: ShardRequest,
        /// When the reservation expires.
        until: Millis,
    },
    /// Every shard holds a reservation: start the tasks in all of them.
    Start(Vec<ShardRequest>),
    /// Release the reservations and start over at a later time.
    Abort {
        /// Shards that hold a reservation, or may hold one.
        release: Vec<Name>,
        /// When to start over.
        retry_at: Millis,
    },
    /// Do nothing until a reply arrives or a reservation expires.
    Wait,
}

/// Lifetime of a reservation in one shard.
pub const RESERVATION_LIFETIME: Millis = Millis::from_secs(10);
/// Time before the first expiry within which no start is sent.
pub const START_MARGIN: Millis = Millis::from_secs(2);
/// Delay after the first abort, doubled for each further one.
const INITIAL_RETRY_DELAY: Millis = Millis::from_secs(1);
/// Upper bound on the delay after an abort.
const MAX_RETRY_DELAY: Millis = Millis::from_secs(60);

/// Coordinates the reservations of one gang.
///
/// # Examples
///
/// ```
/// use kspan_model::{Millis, Name};
/// use kspan_placement::shards::{Action, GangCoordinator, ShardRequest};
///
/// let part = |shard: &str| ShardRequest { shard: Name::new(shard), tasks: 4 };
/// let mut coordinator = GangCoordinator::new(vec![part("b"), part("a")]);
/// assert!(matches!(coordinator.next_action(Millis(0)), Action::Reserve { part, .. } if part.shard.as_str() == "a"));
/// coordinator.record_grant(&Name::new("a"));
/// assert!(matches!(coordinator.next_action(Millis(1)), Action::Reserve { part, .. } if part.shard.as_str() == "b"));
/// coordinator.record_grant(&Name::new("b"));
/// assert!(matches!(coordinator.next_action(Millis(2)), Action::Start(parts) if parts.len() == 2));
/// ```
#[derive(Clone, Debug)]
pub struct GangCoordinator {
    parts: Vec<ShardRequest>,
    /// Expiry of each reservation requested so far.
    expiries: Vec<Millis>,
    granted: usize,
    refused: bool,
    failures: u32,
    not_before: Millis,
    is_started: bool,
}

impl GangCoordinator {
    /// Creates a coordinator that requests the parts in the order of their shards' names.
    pub fn new(mut parts: Vec<ShardRequest>) -> Self {
        parts.sort_by(|a, b| a.shard.cmp(&b.shard));
        Self {
            parts,
            expiries: Vec::new(),
            granted: 0,
            refused: false,
            failures: 0,
            not_before: Millis::ZERO,
            is_started: false,
        }
    }

    /// Records that a shard has granted the reservation. A late or duplicate reply changes
    /// nothing.
    pub fn record_grant(&mut self, shard: &Name) {
        let is_awaited = self.granted < self.expiries.len();
        if is_awaited && self.parts[self.granted].shard == *shard {
            self.granted += 1;
        }
    }

    /// Records that a shard has refused the reservation. A late or duplicate reply changes
    /// nothing.
    pub fn record_refusal(&mut self, shard: &Name) {
        let is_awaited = self.granted < self.expiries.len();
        if is_awaited && self.parts[self.granted].shard == *shard {
            self.refused = true;
        }
    }

    /// Returns the action to carry out now.
    pub fn next_action(&mut self, now: Millis) -> Action {
        if self.is_started || now < self.not_before {
            return Action::Wait;
        }
        let expires = self.expiries.first().copied();
        let is_expiring = expires.is_some_and(|first| now.saturating_add(START_MARGIN) >= first);
        if self.refused || is_expiring {
            return self.abort(now);
        }
        if self.granted == self.parts.len() {
            self.is_started = true;
            return Action::Start(self.parts.clone());
        }
        if self.granted < self.expiries.len() {
            return Action::Wait;
        }
        let until = now.saturating_add(RESERVATION_LIFETIME);
        self.expiries.push(until);
        Action::Reserve {
            part: self.parts[self.granted].clone(),
            until,
        }
    }

    fn abort(&mut self, now: Millis) -> Action {
        let requested = self.parts.iter().take(self.expiries.len());
        let release = requested.map(|part| part.shard.clone()).collect();
        let delay = Millis(INITIAL_RETRY_DELAY.0 << self.failures.min(16)).min(MAX_RETRY_DELAY);
        self.failures += 1;
        self.expiries.clear();
        self.granted = 0;
        self.refused = false;
        self.not_before = now.saturating_add(delay);
        Action::Abort {
            release,
            retry_at: self.not_before,
        }
    }
}
