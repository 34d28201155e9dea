//! Queue of one service with priorities, deadlines and fair sharing among callers.
//!
//! Within a priority, callers are served round-robin with one request per turn, so that a burst of
//! one caller mainly delays that caller. Admission is decided by the engine.

use std::{cmp::Reverse, collections::BinaryHeap, collections::VecDeque};

use kspan_model::{Millis, Name, Priority, RequestId};
use rustc_hash::FxHashMap;

/// Number of levels of [`Priority`].
const PRIORITY_LEVELS: usize = 4;

/// A request that waits in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub request: RequestId,
    /// The caller that sent it.
    pub caller: Name,
    /// Its priority.
    pub priority: Priority,
    /// The time by which it must be answered.
    pub deadline: Millis,
    /// When it was queued.
    pub queued_at: Millis,
}

#[derive(Clone, Debug, Default)]
struct PriorityLevel {
    callers: FxHashMap<Name, VecDeque<QueuedRequest>>,
    turns: VecDeque<Name>,
    len: usize,
}

/// A priority queue that is fair among callers.
///
/// # Examples
///
/// ```
/// use kspan_model::{Millis, Priority, RequestId};
/// use kspan_routing::queue::{FairQueue, QueuedRequest};
///
/// let queued = |id: u128, caller: &str| QueuedRequest {
///     request: RequestId(id),
///     caller: caller.into(),
///     priority: Priority::Normal,
///     deadline: Millis(100),
///     queued_at: Millis(0),
/// };
/// let mut queue = FairQueue::new();
/// queue.push(queued(1, "burst"));
/// queue.push(queued(2, "burst"));
/// queue.push(queued(3, "shop"));
/// let order: Vec<u128> = std::iter::from_fn(|| queue.pop()).map(|w| w.request.0).collect();
/// assert_eq!(order, [1, 3, 2]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    levels: [PriorityLevel; PRIORITY_LEVELS],
    index: FxHashMap<RequestId, (Name, Priority)>,
    deadlines: BinaryHeap<Reverse<(Millis, RequestId)>>,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns the number of queued requests of `caller` at `priority`.
    pub fn len_of(&self, caller: &Name, priority: Priority) -> usize {
        let queue = self.levels[priority as usize].callers.get(caller);
        queue.map_or(0, VecDeque::len)
    }

    /// Returns how many queued requests are dispatched before a new one of `caller` at `priority`,
    /// if no others arrive: all requests of higher priorities, those of the caller itself, and
    /// those of other callers that get their turn earlier.
    ///
    /// At a level with many callers, all requests of the level are counted instead, which bounds
    /// the cost.
    pub fn ahead_of(&self, caller: &Name, priority: Priority) -> usize {
        const MAX_EXAMINED_CALLERS: usize = 64;
        let own = self.len_of(caller, priority);
        let level = &self.levels[priority as usize];
        let above = &self.levels[priority as usize + 1..];
        let higher: usize = above.iter().map(|level| level.len).sum();
        if level.callers.len() > MAX_EXAMINED_CALLERS {
            return higher + level.len;
        }
        let other_callers = level.callers.iter().filter(|(name, _)| *name != caller);
        let turns: usize = other_callers
            .map(|(_, queue)| queue.len().min(own + 1))
            .sum();
        higher + own + turns
    }

    /// Appends a request to the queue of its caller.
    pub fn push(&mut self, queued: QueuedRequest) {
        let entry = (queued.caller.clone(), queued.priority);
        self.index.insert(queued.request, entry);
        self.deadlines
            .push(Reverse((queued.deadline, queued.request)));
        let level = &mut self.levels[queued.priority as usize];
        level.len += 1;
        let queue = level.callers.entry(queued.caller.clone()).or_default();
        if queue.is_empty() {
            level.turns.push_back(queued.caller.clone());
        }
        queue.push_back(queued);
    }

    /// Removes and returns the next request, highest priority first and callers round-robin.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let next = self.levels.iter_mut().rev().find_map(PriorityLevel::pop)?;
        self.index.remove(&next.request);
        Some(next)
    }

    /// Removes a request. Returns whether it was queued.
    pub fn remove(&mut self, request: RequestId) -> bool {
        let Some((caller, priority)) = self.index.remove(&request) else {
            return false;
        };
        self.levels[priority as usize].remove(&caller, request);
        true
    }

    /// Removes and returns the requests whose deadline is at or before `now`.
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

    /// Returns the longest time that a queued request has waited.
    pub fn longest_wait(&self, now: Millis) -> Millis {
        let heads = self.levels.iter().flat_map(|level| level.callers.values());
        let queued_at = heads
            .filter_map(|queue| queue.front())
            .map(|queued| queued.queued_at)
            .min();
        queued_at.map_or(Millis::ZERO, |queued_at| now.saturating_sub(queued_at))
    }
}

impl PriorityLevel {
    fn pop(&mut self) -> Option<QueuedRequest> {
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
        let Some(position) = queue.iter().position(|queued| queued.request == request) else {
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
