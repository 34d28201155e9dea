//! Who owns what: pure functions of a view.
//!
//! Everything that has one owner ranks the members of a view by rendezvous hashing, nearer sites
//! first. Claims therefore cost no message, and a member that joins or leaves moves only what it
//! wins or held.
//!
//! Whether the owner may act is not decided here; see [`crate::guard`] and the fences of workers.

use kspan_model::{Member, Role, Site, TaskId, View};
use xxhash_rust::xxh3::xxh3_64;

/// How far a member stands from a site; nearer ones rank first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameDataCentre,
    SameRegion,
    Elsewhere,
}

/// Ranks the schedulers for the shard of a data centre. The first owns it; the next ones succeed
/// in order.
///
/// # Examples
///
/// ```
/// use kspan_membership::ownership;
/// use kspan_model::{Site, View};
///
/// let shard = Site::new("Vestland", "vestland-1");
/// assert!(ownership::rank_shard(&View::default(), &shard).is_empty());
/// ```
pub fn rank_shard<'a>(view: &'a View, shard: &Site) -> Vec<&'a Member> {
    let key = format!("shard\0{}", shard.data_centre);
    rank(view, Role::Scheduler, key.as_bytes(), |member| {
        distance(&member.site, shard)
    })
}

/// Ranks the routers for a runner at `site`. The first is home to the runner's slots.
pub fn rank_runner<'a>(view: &'a View, task: &TaskId, site: &Site) -> Vec<&'a Member> {
    let key = format!("runner\0{task}");
    rank(view, Role::Router, key.as_bytes(), |member| {
        distance(&member.site, site)
    })
}

/// Returns the home router of an idempotency key: within `region` where the key names one that
/// has routers, or else of the whole view.
pub fn home_of_key<'a>(view: &'a View, key: &str, region: Option<&str>) -> Option<&'a Member> {
    let hashed = format!("key\0{key}");
    let near = |member: &Member| match region {
        Some(region) if member.site.region.as_str() == region => Distance::SameRegion,
        _ => Distance::Elsewhere,
    };
    view.with_role(Role::Router).min_by_key(|member| {
        let weight = weight(member, hashed.as_bytes());
        (near(member), u64::MAX - weight, &member.node)
    })
}

/// Ranks every member for a duty of the whole cell, such as writing snapshots.
pub fn rank_duty<'a>(view: &'a View, duty: &str) -> Vec<&'a Member> {
    let key = format!("duty\0{duty}");
    let mut ranked: Vec<_> = view.members.iter().collect();
    ranked.sort_by_key(|member| (u64::MAX - weight(member, key.as_bytes()), &member.node));
    ranked
}

fn rank<'a>(
    view: &'a View,
    role: Role,
    key: &[u8],
    distance: impl Fn(&Member) -> Distance,
) -> Vec<&'a Member> {
    let mut ranked: Vec<_> = view.with_role(role).collect();
    ranked.sort_by_cached_key(|member| {
        let weight = weight(member, key);
        (distance(member), u64::MAX - weight, member.node.clone())
    });
    ranked
}

/// Hashes the member's name rather than its life, so that a restart moves nothing for good.
fn weight(member: &Member, key: &[u8]) -> u64 {
    let name = member.node.name.as_str().as_bytes();
    let mut buf = Vec::with_capacity(name.len() + key.len() + 1);
    buf.extend_from_slice(name);
    buf.push(0);
    buf.extend_from_slice(key);
    xxh3_64(&buf)
}

fn distance(a: &Site, b: &Site) -> Distance {
    if a.region != b.region {
        Distance::Elsewhere
    } else if a.data_centre != b.data_centre {
        Distance::SameRegion
    } else {
        Distance::SameDataCentre
    }
}
