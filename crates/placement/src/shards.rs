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
pub struct Part {
    /// The shard.
    pub shard: Name,
    /// Tasks to reserve room for.
    pub tasks: u32,
}

/// What the coordinator is to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask a shard to hold room until a time.
    Ask {
        /// What is wanted.
        part: Part,
        /// When the reservation expires.
        until: Millis,
    },
    /// Every shard holds its room: start the tasks everywhere.
    Start(Vec<Part>),
    /// Give the reservations back and try again at a time.
    GiveUp {
        /// Shards that hold room, or may hold it.
        release: Vec<Name>,
        /// When to begin again.
        retry_at: Millis,
    },
    /// Nothing until an answer or the expiry.
    Wait,
}

/// Life of a reservation in one shard.
pub const HOLD: Millis = Millis::from_secs(10);
/// Time before the first expiry within which no start is sent any more.
pub const START_MARGIN: Millis = Millis::from_secs(2);
/// First pause after giving up; each further one doubles it.
const FIRST_PAUSE: Millis = Millis::from_secs(1);
/// Longest pause after giving up.
const LONGEST_PAUSE: Millis = Millis::from_secs(60);

/// The coordinator's state for one gang.
///
/// # Examples
///
/// ```
/// use kspan_model::{Millis, Name};
/// use kspan_placement::shards::{Assembly, Part, Step};
///
/// let part = |shard: &str| Part { shard: Name::new(shard), tasks: 4 };
/// let mut assembly = Assembly::new(vec![part("b"), part("a")]);
/// assert!(matches!(assembly.next(Millis(0)), Step::Ask { part, .. } if part.shard.as_str() == "a"));
/// assembly.granted(&Name::new("a"));
/// assert!(matches!(assembly.next(Millis(1)), Step::Ask { part, .. } if part.shard.as_str() == "b"));
/// assembly.granted(&Name::new("b"));
/// assert!(matches!(assembly.next(Millis(2)), Step::Start(parts) if parts.len() == 2));
/// ```
#[derive(Clone, Debug)]
pub struct Assembly {
    parts: Vec<Part>,
    /// Parts asked for so far, and when each reservation expires.
    asked: Vec<Millis>,
    granted: usize,
    refused: bool,
    failures: u32,
    not_before: Millis,
    is_started: bool,
}

impl Assembly {
    /// Creates the state for a gang; the parts are asked for in the order of the shards' names.
    pub fn new(mut parts: Vec<Part>) -> Self {
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
    pub fn granted(&mut self, shard: &Name) {
        let is_awaited = self.granted < self.asked.len();
        if is_awaited && self.parts[self.granted].shard == *shard {
            self.granted += 1;
        }
    }

    /// Records that a shard has no room. A late or doubled answer changes nothing.
    pub fn refused(&mut self, shard: &Name) {
        let is_awaited = self.granted < self.asked.len();
        if is_awaited && self.parts[self.granted].shard == *shard {
            self.refused = true;
        }
    }

    /// Decides what to send now.
    pub fn next(&mut self, now: Millis) -> Step {
        if self.is_started || now < self.not_before {
            return Step::Wait;
        }
        let expires = self.asked.first().copied();
        let is_late = expires.is_some_and(|first| now.saturating_add(START_MARGIN) >= first);
        if self.refused || is_late {
            return self.give_up(now);
        }
        if self.granted == self.parts.len() {
            self.is_started = true;
            return Step::Start(self.parts.clone());
        }
        if self.granted < self.asked.len() {
            return Step::Wait;
        }
        let until = now.saturating_add(HOLD);
        self.asked.push(until);
        Step::Ask {
            part: self.parts[self.granted].clone(),
            until,
        }
    }

    fn give_up(&mut self, now: Millis) -> Step {
        let asked = self.parts.iter().take(self.asked.len());
        let release = asked.map(|part| part.shard.clone()).collect();
        let pause = Millis(FIRST_PAUSE.0 << self.failures.min(16)).min(LONGEST_PAUSE);
        self.failures += 1;
        self.asked.clear();
        self.granted = 0;
        self.refused = false;
        self.not_before = now.saturating_add(pause);
        Step::GiveUp {
            release,
            retry_at: self.not_before,
        }
    }
}
