//! The waiting requests of one service: bounded, with deadlines, shared fairly among callers.
//!
//! Callers take turns within each priority, one request a turn, so that a flood by one lengthens
//! only its own wait. The queue does not estimate waits and does not refuse by itself.

use std::{cmp::Reverse, collections::BinaryHeap, collections::VecDeque};

use kspan_model::{Millis, Name, Priority, RequestId};
use rustc_hash::FxHashMap;

/// Levels of [`Priority`].
const LEVELS: usize = 4;

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The request.
    pub request: RequestId,
    /// Who sent it.
    pub caller: Name,
    /// Its priority.
    pub priority: Priority,
    /// When it is of no more use.
    pub deadline: Millis,
    /// When it began to wait.
    pub since: Millis,
}

#[derive(Clone, Debug, Default)]
struct Level {
    callers: FxHashMap<Name, VecDeque<Waiting>>,
    turns: VecDeque<Name>,
    len: usize,
}

/// A fair queue.
///
/// # Examples
///
/// ```
/// use kspan_model::{Millis, Priority, RequestId};
/// use kspan_routing::queue::{FairQueue, Waiting};
///
/// let waiting = |id: u128, caller: &str| Waiting {
///     request: RequestId(id),
///     caller: caller.into(),
///     priority: Priority::Normal,
///     deadline: Millis(100),
///     since: Millis(0),
/// };
/// let mut queue = FairQueue::new();
/// queue.push(waiting(1, "flood"));
/// queue.push(waiting(2, "flood"));
/// queue.push(waiting(3, "shop"));
/// let order: Vec<u128> = std::iter::from_fn(|| queue.pop()).map(|w| w.request.0).collect();
/// assert_eq!(order, [1, 3, 2]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    levels: [Level; LEVELS],
    waiting: FxHashMap<RequestId, (Name, Priority)>,
    deadlines: BinaryHeap<Reverse<(Millis, RequestId)>>,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many requests of `caller` wait at `priority`.
    pub fn len_of(&self, caller: &Name, priority: Priority) -> usize {
        let queue = self.levels[priority as usize].callers.get(caller);
        queue.map_or(0, VecDeque::len)
    }

    /// Returns how many requests go before the next one of `caller` at `priority`, if nobody else
    /// arrives: all that wait at higher priorities and, of those with its own, one for each turn.
    ///
    /// Looks at a bounded number of callers and counts every request of the level beyond that.
    pub fn ahead_of(&self, caller: &Name, priority: Priority) -> usize {
        const MAX_CALLERS: usize = 64;
        let own = self.len_of(caller, priority);
        let level = &self.levels[priority as usize];
        let above = &self.levels[priority as usize + 1..];
        let higher: usize = above.iter().map(|level| level.len).sum();
        if level.callers.len() > MAX_CALLERS {
            return higher + level.len;
        }
        let rivals = level.callers.iter().filter(|(name, _)| *name != caller);
        let turns: usize = rivals.map(|(_, queue)| queue.len().min(own + 1)).sum();
        higher + own + turns
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let place = (waiting.caller.clone(), waiting.priority);
        self.waiting.insert(waiting.request, place);
        self.deadlines
            .push(Reverse((waiting.deadline, waiting.request)));
        let level = &mut self.levels[waiting.priority as usize];
        level.len += 1;
        let queue = level.callers.entry(waiting.caller.clone()).or_default();
        if queue.is_empty() {
            level.turns.push_back(waiting.caller.clone());
        }
        queue.push_back(waiting);
    }

    /// Takes the next request, highest priority first and callers in turn.
    pub fn pop(&mut self) -> Option<Waiting> {
        let next = self.levels.iter_mut().rev().find_map(Level::pop)?;
        self.waiting.remove(&next.request);
        Some(next)
    }

    /// Removes a request. Returns whether it was waiting.
    pub fn remove(&mut self, request: RequestId) -> bool {
        let Some((caller, priority)) = self.waiting.remove(&request) else {
            return false;
        };
        self.levels[priority as usize].remove(&caller, request);
        true
    }

    /// Removes every request whose deadline comes at or before `now`, and returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<RequestId> {
        let mut expired = Vec::new();
        while let Some(Reverse((deadline, request))) = self.deadlines.peek().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop();
            if self.remove(request) {
                expired.push(request);
            }
        }
        expired
    }

    /// Returns the longest time that a request has waited, looking at the head of each turn.
    pub fn oldest(&self, now: Millis) -> Millis {
        let heads = self.levels.iter().flat_map(|level| level.callers.values());
        let since = heads
            .filter_map(|queue| queue.front())
            .map(|w| w.since)
            .min();
        since.map_or(Millis::ZERO, |since| now.saturating_sub(since))
    }
}

impl Level {
    fn pop(&mut self) -> Option<Waiting> {
        let caller = self.turns.pop_front()?;
        let queue = self.callers.get_mut(&caller)?;
        let next = queue.pop_front()?;
        self.len -= 1;
        if queue.is_empty() {
            self.callers.remove(&caller);
        } else {
            self.turns.push_back(caller);
        }
        Some(next)
    }

    fn remove(&mut self, caller: &Name, request: RequestId) {
        let Some(queue) = self.callers.get_mut(caller) else {
            return;
        };
        let Some(position) = queue.iter().position(|waiting| waiting.request == request) else {
            return;
        };
        queue.remove(position);
        self.len -= 1;
        if queue.is_empty() {
            self.callers.remove(caller);
            self.turns.retain(|name| name != caller);
        }
    }
}
