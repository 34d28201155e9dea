//! Rankings are stable across membership changes, prefer near members and spread keys evenly.

mod common;

use std::collections::BTreeMap;

use common::{member, view};
use kspan_membership::ownership::{home_of_key, rank_runner, rank_shard};
use kspan_model::{JobId, Member, Role, Site, TaskId};

fn members() -> Vec<Member> {
    let regions = ["north", "south", "west"];
    let mut members = Vec::new();
    for i in 0..9 {
        let region = regions[i % 3];
        members.push(member(&format!("r{i}"), 1, Role::Router, region));
        members.push(member(&format!("s{i}"), 1, Role::Scheduler, region));
    }
    members
}

#[test]
fn shards_rank_schedulers_and_runners_rank_routers_nearest_first() {
    let view = view(7, members());
    let shard = Site::new("south", "south-1");
    let ranked = rank_shard(&view, &shard);
    assert_eq!(ranked.len(), 9);
    assert!(ranked.iter().all(|member| member.role == Role::Scheduler));
    assert!(ranked[..3].iter().all(|member| member.site == shard));
    assert!(ranked[3..].iter().all(|member| member.site != shard));
    let task = TaskId::new(JobId(3), 0, 0);
    let ranked = rank_runner(&view, &task, &shard);
    assert!(ranked.iter().all(|member| member.role == Role::Router));
    assert!(ranked[..3].iter().all(|member| member.site == shard));
}

#[test]
fn restart_moves_no_key_and_removal_moves_only_keys_of_the_removed_router() {
    let all = members();
    let before = view(7, all.clone());
    let mut restarted = all.clone();
    restarted[0].node.incarnation = 5.into();
    let restarted = view(8, restarted);
    let removed = view(8, all[2..].to_vec());
    for i in 0..1_000 {
        let key = format!("key-{i}");
        let home = home_of_key(&before, &key, None).unwrap();
        let name = &home.node.name;
        assert_eq!(
            *name,
            home_of_key(&restarted, &key, None).unwrap().node.name
        );
        let after = home_of_key(&removed, &key, None).unwrap();
        assert!(name.as_str() == "r0" || *name == after.node.name);
    }
}

#[test]
fn key_homes_are_in_the_keys_region_and_spread_evenly_without_one() {
    let view = view(7, members());
    let mut counts: BTreeMap<_, u32> = BTreeMap::new();
    for i in 0..9_000 {
        let key = format!("west:{i}");
        let near = home_of_key(&view, &key, Some("west")).unwrap();
        assert_eq!(near.site.region.as_str(), "west");
        let home = home_of_key(&view, &key, Some("nowhere")).unwrap();
        *counts.entry(home.node.name.clone()).or_default() += 1;
    }
    assert_eq!(counts.len(), 9);
    assert!(
        counts.values().all(|count| (800..1_200).contains(count)),
        "{counts:?}"
    );
}
