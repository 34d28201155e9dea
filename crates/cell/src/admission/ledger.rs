//! Decides what clients may hold in the process's memory.
//!
//! Each interface has a share of its own, so that callers cannot starve other processes or
//! operators. Where a share is full, the unfinished message that has made no progress for longest
//! is evicted in favour of a newer one: ordinary messages arrive at once. Messages that have
//! arrived completely are never evicted, because they may be in execution.

use rustc_hash::FxHashMap;
use tokio::time::{Duration, Instant};

use super::limits::{Interface, Limits};

/// Time without progress after which an unfinished message is evicted.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time within which a message must arrive completely.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Identifies what one message holds.
pub(super) type Id = u64;

#[derive(Debug)]
struct Holding {
    interface: Interface,
    bytes: usize,
    started_at: Instant,
    progressed_at: Instant,
    is_unfinished: bool,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    limit: usize,
    used: usize,
}

/// Outcome of a request for more bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Growth {
    /// The bytes are reserved; the messages named are evicted in favour.
    Granted(Vec<Id>),
    /// The share is full.
    Refused,
    /// The message was evicted before.
    Evicted,
}

/// What each interface's clients hold.
#[derive(Debug)]
pub(super) struct Ledger {
    shares: [Share; Interface::ALL.len()],
    holdings: FxHashMap<Id, Holding>,
    next_id: Id,
}

impl Ledger {
    /// Creates a ledger in which nothing is held.
    pub(super) fn new(limits: impl Fn(Interface) -> Limits) -> Self {
        Self {
            shares: Interface::ALL.map(|interface| Share {
                limit: limits(interface).bytes,
                used: 0,
            }),
            holdings: FxHashMap::default(),
            next_id: 0,
        }
    }

    /// Opens a holding of zero bytes for a message whose first bytes have arrived.
    pub(super) fn open(&mut self, interface: Interface, now: Instant) -> Id {
        let id = self.next_id;
        self.next_id += 1;
        let holding = Holding {
            interface,
            bytes: 0,
            started_at: now,
            progressed_at: now,
            is_unfinished: true,
        };
        self.holdings.insert(id, holding);
        id
    }

    /// Records that bytes of an unfinished message have arrived. Returns `false` if it was evicted
    /// before.
    pub(super) fn record_progress(&mut self, id: Id, now: Instant) -> bool {
        let holding = self.holdings.get_mut(&id);
        let Some(holding) = holding else { return false };
        holding.progressed_at = now;
        true
    }

    /// Records that a message has arrived completely. It isn't evicted any more. Returns `false` if
    /// it was evicted before.
    pub(super) fn record_end(&mut self, id: Id) -> bool {
        let holding = self.holdings.get_mut(&id);
        let Some(holding) = holding else { return false };
        holding.is_unfinished = false;
        true
    }

    /// Changes what a holding reserves to `bytes`. A holding that was evicted gets no more.
    ///
    /// A single holding may exceed the share, so that one message of the maximum size is served on
    /// the smallest host.
    pub(super) fn resize(&mut self, id: Id, bytes: usize) -> Growth {
        let Some(holding) = self.holdings.get(&id) else {
            return Growth::Evicted;
        };
        let (interface, held) = (holding.interface, holding.bytes);
        let others = self.shares[interface as usize].used - held;
        let mut victims = Vec::new();
        let excess = (others + bytes).saturating_sub(self.shares[interface as usize].limit);
        if bytes > held && excess > 0 && others > 0 {
            let Some(chosen) = self.choose_victims(id, interface, excess.min(others)) else {
                return Growth::Refused;
            };
            victims = chosen;
            for victim in &victims {
                self.close(*victim);
            }
        }
        self.shares[interface as usize].used += bytes;
        self.shares[interface as usize].used -= held;
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.bytes = bytes;
        }
        Growth::Granted(victims)
    }

    /// Returns the unfinished messages to evict for `bytes` bytes, or `None` if they don't hold
    /// as much.
    fn choose_victims(&self, for_id: Id, interface: Interface, bytes: usize) -> Option<Vec<Id>> {
        let is_candidate = |(id, holding): &(&Id, &Holding)| {
            **id != for_id
                && holding.interface == interface
                && holding.is_unfinished
                && holding.bytes > 0
        };
        let mut candidates: Vec<_> = self.holdings.iter().filter(is_candidate).collect();
        candidates.sort_unstable_by_key(|(id, holding)| (holding.progressed_at, **id));
        let mut freed = 0;
        let mut victims = Vec::new();
        for (id, holding) in candidates {
            if freed >= bytes {
                break;
            }
            freed += holding.bytes;
            victims.push(*id);
        }
        (freed >= bytes).then_some(victims)
    }

    /// Closes the unfinished messages that have stalled, and returns them.
    pub(super) fn close_stalled(&mut self, now: Instant) -> Vec<Id> {
        let is_stalled = |holding: &Holding| {
            now.duration_since(holding.progressed_at) >= STALL_TIMEOUT
                || now.duration_since(holding.started_at) >= MESSAGE_TIMEOUT
        };
        let stalled = self.holdings.iter();
        let stalled = stalled.filter(|(_, holding)| holding.is_unfinished && is_stalled(holding));
        let stalled: Vec<_> = stalled.map(|(id, _)| *id).collect();
        for id in &stalled {
            self.close(*id);
        }
        stalled
    }

    /// Returns a holding's bytes to its share; closing a holding twice has no effect.
    pub(super) fn close(&mut self, id: Id) {
        if let Some(holding) = self.holdings.remove(&id) {
            self.shares[holding.interface as usize].used -= holding.bytes;
        }
    }

    /// Returns the bytes that an interface's clients hold.
    pub(super) fn used(&self, interface: Interface) -> usize {
        self.shares[interface as usize].used
    }
}
