//! Who owns what: pure functions of a view.
//!
//! Everything that has one owner ranks the members of a view by rendezvous hashing, nearer sites
//! first. Claims therefore cost no message, and a member that joins or leaves moves only what it
//! wins or held.
//!
//! Whether the owner may act is not decided here; see [`crate::guard`] and the fences of workers.

use kspan_model::{Member, Role, Site, TaskId, View};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

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
    let key = Key::new(Domain::Shard, shard.data_centre.as_bytes());
    rank(view, Role::Scheduler, key, |member| {
        distance(&member.site, shard)
    })
}

/// Ranks the routers for a runner at `site`. The first is home to the runner's slots.
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

/// Returns the home router of an idempotency key: within `region` where the key names one that
/// has routers, or else of the whole view.
pub fn home_of_key<'a>(view: &'a View, key: &str, region: Option<&str>) -> Option<&'a Member> {
    let key = Key::new(Domain::Idempotency, key.as_bytes());
    let near = |member: &Member| match region {
        Some(region) if member.site.region.as_str() == region => Distance::SameRegion,
        _ => Distance::Elsewhere,
    };
    view.with_role(Role::Router)
        .min_by_key(|member| (near(member), u64::MAX - key.weight(member), &member.node))
}

/// Ranks every member for a duty of the whole cell, such as writing snapshots.
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

/// Keeps the rankings of unlike things apart.
#[derive(Clone, Copy)]
enum Domain {
    Shard = 1,
    Runner = 2,
    Idempotency = 3,
    Duty = 4,
}

/// The hash of what is ranked for.
#[derive(Clone, Copy)]
struct Key(u64);

impl Key {
    fn new(domain: Domain, bytes: &[u8]) -> Self {
        Self(xxh3_64_with_seed(bytes, domain as u64))
    }

    /// Hashes the member's name rather than its life, so that a restart moves nothing for good.
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
