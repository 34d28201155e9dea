//! Which hosts own the cell best.
//!
//! Answers a fleet of unlike hosts, on the smallest of which the owner's work for all runners
//! would not fit: strong hosts claim first, are asked first when an owner stops, and are handed
//! the cell by an owner that is much weaker. It decides nothing about safety.

use kspan_model::{Millis, Name};

use crate::message::Member;

/// By how many times a host has to be stronger to go before another.
const STRONGER: u32 = 2;

/// Hosts that go one after the other; those behind them go together.
const MOST_RANKS: usize = 12;

/// Wait before the first claim of a cell that never had an owner, by a host without any
/// processor time of its own; less for stronger hosts, so that they claim first.
const FIRST_CLAIM_WAIT: Millis = Millis(900);

/// Processor time of a host that need not wait, in thousandths of a processor.
const AMPLE_POWER: u32 = 1_000;

/// Returns whether one host has so much more processor time than another that it should own the
/// cell in its place.
pub(crate) fn is_much_stronger(one: &Member, other: &Member) -> bool {
    one.power_milli >= other.power_milli.saturating_mul(STRONGER)
}

/// Returns the processes but the owner in the order in which they claim after it.
pub(crate) fn successors(owner: &Name, fence: u64, members: &[Member]) -> Vec<Member> {
    let mut others: Vec<Member> = members.to_vec();
    others.retain(|member| member.node != *owner);
    others.sort_unstable_by(|a, b| a.node.cmp(&b.node));
    let most = others.iter().map(|member| member.power_milli).max();
    let is_strong = |member: &Member| Some(member.power_milli.saturating_mul(STRONGER)) > most;
    let (mut strong, mut weak): (Vec<_>, Vec<_>) = others.into_iter().partition(is_strong);
    // Who goes first changes with each owner, so that one host in trouble is not always first.
    for tier in [&mut strong, &mut weak] {
        let length = tier.len().max(1);
        tier.rotate_left(usize::try_from(fence % length as u64).unwrap_or_default());
    }
    strong.append(&mut weak);
    strong
}

/// Returns how many processes claim before this one.
pub(crate) fn rank(me: &Name, owner: &Name, fence: u64, members: &[Member]) -> u64 {
    let order = successors(owner, fence, members);
    let place = order.iter().position(|member| member.node == *me);
    place.unwrap_or(order.len()).min(MOST_RANKS) as u64
}

/// Returns how long a process waits before it claims a cell that never had an owner.
pub(crate) fn first_claim_wait(me: &Member) -> Millis {
    let missing = AMPLE_POWER.saturating_sub(me.power_milli);
    Millis(FIRST_CLAIM_WAIT.0 * u64::from(missing) / u64::from(AMPLE_POWER))
}
