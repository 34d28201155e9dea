//! Which token a scheduler may claim for a shard.
//!
//! Token `t` of a view belongs to the scheduler of rank `t mod n`. Token 0 belongs to the first;
//! each takeover goes on to the next live scheduler in order and round again, so that there is
//! always a higher token to claim without a new view, also in an outage of the log.
//!
//! Nothing here proves that a token is in force: workers do, by granting it.

use kspan_membership::ownership::rank_shard;
use kspan_model::{Fence, NodeId, Site, View};

/// Returns the token that `me` may claim for `shard`, or none where another scheduler that may
/// be alive comes first.
///
/// `seen` is the highest token that any worker of the shard has reported, or that `me` has
/// claimed. `silent` tells whether a scheduler is believed dead.
pub fn claimable(
    view: &View,
    shard: &Site,
    me: &NodeId,
    seen: Option<Fence>,
    silent: impl Fn(&NodeId) -> bool,
) -> Option<Fence> {
    let ranked: Vec<&NodeId> = rank_shard(view, shard)
        .into_iter()
        .map(|member| &member.node)
        .collect();
    let count = u32::try_from(ranked.len()).ok()?;
    let mine = u32::try_from(ranked.iter().position(|node| *node == me)?).ok()?;
    let token = match seen {
        // A worker has seen a newer view than this process has.
        Some(seen) if seen.view > view.number => return None,
        Some(seen) if seen.view == view.number => seen.rank,
        _ => 0,
    };
    let holder = token % count;
    let steps = (mine + count - holder) % count;
    let mut before = (0..steps).map(|step| ranked[((holder + step) % count) as usize]);
    if !before.all(silent) {
        return None;
    }
    Some(Fence::new(view.number, token.checked_add(steps)?))
}

/// Returns the scheduler that holds `token` of a view, as far as the view tells.
pub fn holder<'a>(view: &'a View, shard: &Site, token: Fence) -> Option<&'a NodeId> {
    if token.view != view.number {
        return None;
    }
    let ranked = rank_shard(view, shard);
    let rank = (token.rank as usize).checked_rem(ranked.len())?;
    ranked.get(rank).map(|member| &member.node)
}
