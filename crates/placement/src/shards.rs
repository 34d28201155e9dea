//! Gangs that span several shards.
//!
//! The coordinator of a gang asks the shards for reservations that expire, one shard at a time
//! and always in the order of their names. Two gangs that want the same shards therefore meet at
//! the first one that they share, and neither waits for the other while it holds what the other
//! wants next. A refusal or an expiry gives everything back.
//!
//! The module decides only what to send; it does not know how shards are reached.

use kspan_model::{Millis, Name};

/// Tasks wanted of one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardRequest {
    /// The shard.
    pub shard: Name,
    /// Tasks to reserve room for.
    pub tasks: u32,
}

/// What the coordinator is to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask a shard to hold room until a time.
    Reserve {
        /// What is wanted.
        part: ShardRequest,
        /// When the reservation expires.
        until: Millis,
    },
    /// Every shard holds its room: start the tasks everywhere.
    Start(Vec<ShardRequest>),
    /// Give the reservations back and try again at a time.
    Abort {
        /// Shards that hold room, or may hold it.
        release: Vec<Name>,
        /// When to begin again.
        retry_at: Millis,
    },
    /// Nothing until an answer or the expiry.
    Wait,
}

/// Life of a reservation in one shard.
pub const RESERVATION_LIFETIME: Millis = Millis::from_secs(10);
/// Time before the first expiry within which no start is sent any more.
pub const START_MARGIN: Millis = Millis::from_secs(2);
/// First pause after giving up; each further one doubles it.
const INITIAL_PAUSE: Millis = Millis::from_secs(1);
/// Longest pause after giving up.
const MAX_PAUSE: Millis = Millis::from_secs(60);

/// The coordinator's state for one gang.
///
/// # Examples
///
/// ```
/// use kspan_model::{Millis, Name};
/// use kspan_placement::shards::{GangCoordinator, ShardRequest, Action};
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
    /// Parts asked for so far, and when each reservation expires.
    asked: Vec<Millis>,
    granted: usize,
    refused: bool,
    failures: u32,
    not_before: Millis,
    is_started: bool,
}

impl GangCoordinator {
    /// Creates the state for a gang; the parts are asked for in the order of the shards' names.
    pub fn new(mut parts: Vec<ShardRequest>) -> Self {
        parts.sort_by(|a, b| a.shard.cmp(&b.shard));
        Self {
            parts,
            asked: Vec::new(),
            granted: 0,
            refused: false,
            failures: 0,
            not_before: Millis::ZERO,
            is_started: false,
        }
    }

    /// Records that a shard holds the room. A late or doubled answer changes nothing.
    pub fn record_grant(&mut self, shard: &Name) {
        let is_awaited = self.granted < self.asked.len();
        if is_awaited && self.parts[self.granted].shard == *shard {
            self.granted += 1;
        }
    }

    /// Records that a shard has no room. A late or doubled answer changes nothing.
    pub fn record_refusal(&mut self, shard: &Name) {
        let is_awaited = self.granted < self.asked.len();
        if is_awaited && self.parts[self.granted].shard == *shard {
            self.refused = true;
        }
    }

    /// Decides what to send now.
    pub fn next_action(&mut self, now: Millis) -> Action {
        if self.is_started || now < self.not_before {
            return Action::Wait;
        }
        let expires = self.asked.first().copied();
        let is_expiring = expires.is_some_and(|first| now.saturating_add(START_MARGIN) >= first);
        if self.refused || is_expiring {
            return self.abort(now);
        }
        if self.granted == self.parts.len() {
            self.is_started = true;
            return Action::Start(self.parts.clone());
        }
        if self.granted < self.asked.len() {
            return Action::Wait;
        }
        let until = now.saturating_add(RESERVATION_LIFETIME);
        self.asked.push(until);
        Action::Reserve {
            part: self.parts[self.granted].clone(),
            until,
        }
    }

    fn abort(&mut self, now: Millis) -> Action {
        let asked = self.parts.iter().take(self.asked.len());
        let release = asked.map(|part| part.shard.clone()).collect();
        let pause = Millis(INITIAL_PAUSE.0 << self.failures.min(16)).min(MAX_PAUSE);
        self.failures += 1;
        self.asked.clear();
        self.granted = 0;
        self.refused = false;
        self.not_before = now.saturating_add(pause);
        Action::Abort {
            release,
            retry_at: self.not_before,
        }
    }
}
