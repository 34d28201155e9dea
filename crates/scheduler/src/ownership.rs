//! Decides which fencing token a scheduler may claim for a shard.
//!
//! Token `t` of a view with `n` schedulers belongs to the scheduler of rank `t mod n`. Token 0
//! belongs to the first; each takeover moves on to the next live scheduler in rank order and wraps
//! around, so a higher token can always be claimed without a new view, even while the log is
//! unavailable.
//!
//! A token computed here is only a candidate: it takes effect when workers grant it.

use kspan_membership::ownership::rank_shard;
use kspan_model::{Fence, NodeId, Site, View};

/// Returns the token that `local` may claim for `shard`, or `None` if a scheduler that may be alive
/// precedes it.
///
/// `highest_seen` is the highest token that any worker of the shard has reported or that `local`
/// has claimed. `is_suspected` returns whether a scheduler is suspected to have failed.
pub fn claimable_token(
    view: &View,
    shard: &Site,
    local: &NodeId,
    highest_seen: Option<Fence>,
    is_suspected: impl Fn(&NodeId) -> bool,
) -> Option<Fence> {
    let ranked: Vec<&NodeId> = rank_shard(view, shard)
        .into_iter()
        .map(|member| &member.node)
        .collect();
    let count = u32::try_from(ranked.len()).ok()?;
    let local_rank = u32::try_from(ranked.iter().position(|node| *node == local)?).ok()?;
    let token = match highest_seen {
        // A worker has reported a newer view than this process has.
        Some(highest_seen) if highest_seen.view > view.number => return None,
        Some(highest_seen) if highest_seen.view == view.number => highest_seen.rank,
        _ => 0,
    };
    let holder = token % count;
    let steps = (local_rank + count - holder) % count;
    let mut preceding = (0..steps).map(|step| ranked[((holder + step) % count) as usize]);
    if !preceding.all(is_suspected) {
        return None;
    }
    Some(Fence::new(view.number, token.checked_add(steps)?))
}
