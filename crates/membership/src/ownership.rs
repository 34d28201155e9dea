//! Ownership of shards, runners, keys and duties as pure functions of a view.
//!
//! The members of a view are ranked by rendezvous hashing, nearer sites first. Ownership
//! therefore needs no messages, and a member that joins or leaves moves only the objects that it
//! gains or owned.
//!
//! Whether an owner may act is decided by [`crate::guard`] and by the fencing tokens that workers
//! compare.

use kspan_model::{Member, Role, Site, TaskId, View};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Distance of a member from a site; nearer members rank first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameDataCentre,
    SameRegion,
    Elsewhere,
}

/// Ranks the schedulers for the shard of a data centre. The first one owns the shard; the others
/// take over in order.
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
    let key = Key::new(Domain::Shard, shard.data_centre.as_bytes());
    rank(view, Role::Scheduler, key, |member| {
        distance(&member.site, shard)
    })
}

/// Ranks the routers for a runner at `site`. The first one is the home of the runner's slots.
pub fn rank_runner<'a>(view: &'a View, task: &TaskId, site: &Site) -> Vec<&'a Member> {
    let mut buf = [0; 24];
    buf[..16].copy_from_slice(&task.job.0.to_le_bytes());
    buf[16..20].copy_from_slice(&task.index.to_le_bytes());
    buf[20..].copy_from_slice(&task.attempt.to_le_bytes());
    let key = Key::new(Domain::Runner, &buf);
    rank(view, Role::Router, key, |member| {
        distance(&member.site, site)
    })
}

/// Returns the home router of an idempotency key, chosen from the routers of `region` if there
/// are any, and from all routers of the view otherwise.
pub fn home_of_key<'a>(view: &'a View, key: &str, region: Option<&str>) -> Option<&'a Member> {
    let key = Key::new(Domain::Idempotency, key.as_bytes());
    let preference = |member: &Member| match region {
        Some(region) if member.site.region.as_str() == region => Distance::SameRegion,
        _ => Distance::Elsewhere,
    };
    view.with_role(Role::Router).min_by_key(|member| {
        (
            preference(member),
            u64::MAX - key.weight(member),
            &member.node,
        )
    })
}

/// Ranks all members for a duty that one member performs for the whole cell, such as writing
/// snapshots.
pub fn rank_duty<'a>(view: &'a View, duty: &str) -> Vec<&'a Member> {
    let key = Key::new(Domain::Duty, duty.as_bytes());
    let mut ranked: Vec<_> = view.members.iter().collect();
    ranked.sort_by_key(|member| (u64::MAX - key.weight(member), &member.node));
    ranked
}

fn rank(view: &View, role: Role, key: Key, distance: impl Fn(&Member) -> Distance) -> Vec<&Member> {
    let mut ranked: Vec<_> = view.with_role(role).collect();
    ranked.sort_by_key(|member| {
        (
            distance(member),
            u64::MAX - key.weight(member),
            &member.node,
        )
    });
    ranked
}

/// Hash domain of a ranking, so that rankings of different kinds are independent.
#[derive(Clone, Copy)]
enum Domain {
    Shard = 1,
    Runner = 2,
    Idempotency = 3,
    Duty = 4,
}

/// Hash of the object that members are ranked for.
#[derive(Clone, Copy)]
struct Key(u64);

impl Key {
    fn new(domain: Domain, bytes: &[u8]) -> Self {
        Self(xxh3_64_with_seed(bytes, domain as u64))
    }

    /// Hashes the member's name and not its incarnation, so that a restart moves no object
    /// permanently.
    fn weight(self, member: &Member) -> u64 {
        let name = xxh3_64(member.node.name.as_bytes());
        xxh3_64_with_seed(&self.0.to_le_bytes(), name)
    }
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
