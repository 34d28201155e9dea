//! Order in which hosts should own the cell.
//!
//! Hosts differ in size, and the smallest lack the processor time for the owner's work. Therefore
//! strong hosts claim first, are the first to be requested to take over when an owner stops, and
//! receive the cell from a much weaker owner. Safety does not depend on this order.

use kspan_model::{Millis, Name};

use crate::message::Member;

/// Ratio of processor time from which a host precedes another.
const MUCH_STRONGER_RATIO: u32 = 2;

/// Maximum rank; all hosts further back in the order share it.
const MAX_RANK: usize = 12;

/// Maximum delay before the first claim of a cell that never had an owner. The delay shrinks with
/// the host's processor time, so that stronger hosts claim first.
const MAX_FIRST_CLAIM_DELAY: Millis = Millis(900);

/// Processor time from which a host makes the first claim without delay, in thousandths of a
/// processor.
const NO_DELAY_POWER_MILLI: u32 = 1_000;

/// Returns whether `one` has enough more processor time than `other` to own the cell in its place.
pub(crate) fn is_much_stronger(one: &Member, other: &Member) -> bool {
    one.power_milli >= other.power_milli.saturating_mul(MUCH_STRONGER_RATIO)
}

/// Returns the members without the owner, in the order in which they claim the cell after it.
pub(crate) fn successors(owner: &Name, fence: u64, members: &[Member]) -> Vec<Member> {
    let mut others: Vec<Member> = members.to_vec();
    others.retain(|member| member.node != *owner);
    others.sort_unstable_by(|a, b| a.node.cmp(&b.node));
    let max_power = others.iter().map(|member| member.power_milli).max();
    let is_strong =
        |member: &Member| Some(member.power_milli.saturating_mul(MUCH_STRONGER_RATIO)) > max_power;
    let (mut strong, mut weak): (Vec<_>, Vec<_>) = others.into_iter().partition(is_strong);
    // The order rotates with the fence, so that a faulty host is not first at every takeover.
    for tier in [&mut strong, &mut weak] {
        let length = tier.len().max(1);
        tier.rotate_left(usize::try_from(fence % length as u64).unwrap_or_default());
    }
    strong.append(&mut weak);
    strong
}

/// Returns the number of members that claim before the member `node`, at most [`MAX_RANK`].
pub(crate) fn rank(node: &Name, owner: &Name, fence: u64, members: &[Member]) -> u64 {
    let order = successors(owner, fence, members);
    let place = order.iter().position(|member| member.node == *node);
    place.unwrap_or(order.len()).min(MAX_RANK) as u64
}

/// Returns the delay before a process claims a cell that never had an owner.
pub(crate) fn first_claim_delay(member: &Member) -> Millis {
    let missing_milli = NO_DELAY_POWER_MILLI.saturating_sub(member.power_milli);
    Millis(MAX_FIRST_CLAIM_DELAY.0 * u64::from(missing_milli) / u64::from(NO_DELAY_POWER_MILLI))
}
