//! Properties of runner distribution, token claims and shard selection: pure functions of state
//! that every process knows.

use kspan_membership::ownership::rank_shard;
use kspan_model::{
    Fence, Member, Name, NodeId, Resources, Role, Site, View,
    document::{Document, Region, Service},
};
use kspan_scheduler::{
    distribution::{distribute_runners, service_job_id, shards_in_regions},
    ownership::claimable_token,
    shard_selection::{Demand, select_shard},
};
use kspan_wire::message::tasks::ShardSummary;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rand::SeedableRng;

const SEED: u64 = 8;

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

fn document(sizes: &[usize]) -> Document {
    let regions = sizes.iter().enumerate().map(|(r, size)| Region {
        name: format!("region-{r}").into(),
        data_centres: (0..*size).map(|d| format!("dc-{r}-{d}").into()).collect(),
    });
    Document {
        regions: regions.collect(),
        ..Document::default()
    }
}

fn service(runners: u32, regions: Vec<Name>) -> Service {
    Service {
        name: "ledger".into(),
        team: "team".into(),
        runners,
        task: kspan_model::document::TaskShape::default(),
        regions,
        spread: kspan_model::document::Spread::None,
        slots: 8,
        connections: 64,
        retry_budget: 0.1,
        classes: vec![],
    }
}

fn view(count: usize) -> View {
    let address = "127.0.0.1:1".parse().expect("a valid address");
    let members = (0..count).map(|i| Member {
        node: NodeId::new(format!("node-{i}"), 1),
        role: Role::Scheduler,
        site: Site::new("region-0", format!("dc-0-{}", i % 3)),
        wire: address,
        http: address,
        admin: address,
    });
    View {
        number: 9,
        members: members.collect(),
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn runners_are_distributed_completely_and_evenly(
        sizes in prop::collection::vec(1..5usize, 1..6),
        runners in 0..2_000u32,
    ) {
        let parts = distribute_runners(&document(&sizes), &service(runners, vec![]));
        prop_assert_eq!(parts.iter().map(|part| part.runners).sum::<u32>(), runners);
        let most = parts.iter().map(|part| part.runners).max().unwrap_or(0);
        let least = parts.iter().map(|part| part.runners).min().unwrap_or(0);
        prop_assert!(most - least <= 1);
    }

    #[test]
    fn processes_with_equal_suspicions_never_claim_the_same_shard(
        count in 1..10usize,
        suspected in prop::collection::vec(any::<bool>(), 10),
        seen in prop::option::of((8..10u64, 0..50u32)),
    ) {
        let view = view(count);
        let shard = Site::new("region-0", "dc-0-1");
        let seen = seen.map(|(view, rank)| Fence::new(view, rank));
        let is_suspected = |node: &NodeId| {
            let position = view.members.iter().position(|member| member.node == *node);
            suspected[position.expect("a member")]
        };
        let claims: Vec<Fence> = view
            .members
            .iter()
            .filter(|member| !is_suspected(&member.node))
            .filter_map(|member| claimable_token(&view, &shard, &member.node, seen, is_suspected))
            .collect();
        let any_alive = view.members.iter().any(|member| !is_suspected(&member.node));
        prop_assert_eq!(claims.len(), usize::from(any_alive));
        prop_assert!(claims.iter().all(|claim| seen.is_none_or(|seen| *claim >= seen)));
    }

    #[test]
    fn a_submission_goes_to_a_shard_of_its_regions_that_can_hold_it(
        sizes in prop::collection::vec(1..4usize, 2..5),
        region in 0..2usize,
        small in prop::collection::vec(any::<bool>(), 16),
        seed in any::<u64>(),
    ) {
        let document = document(&sizes);
        let regions = [Name::new(&format!("region-{region}"))];
        let allowed = shards_in_regions(&document, &regions);
        let summaries: Vec<ShardSummary> = allowed
            .iter()
            .zip(&small)
            .map(|(shard, small)| summary(shard, if *small { 1 } else { 100 }))
            .collect();
        let demand = Demand { regions: &regions, task: Resources::new(10, 0, 0), tasks: 3 };
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let chosen = select_shard(&document, demand, &summaries, &mut rng).expect("a shard");
        prop_assert!(allowed.contains(&chosen));
        let any_fits = summaries.iter().any(|known| known.capacity.cpu_milli == 100);
        let chosen_fits = summaries
            .iter()
            .any(|known| known.shard == chosen && known.capacity.cpu_milli == 100);
        prop_assert_eq!(chosen_fits, any_fits);
    }
}

fn summary(shard: &Name, cpu_milli: u64) -> ShardSummary {
    let capacity = Resources::new(cpu_milli, 100, 0);
    ShardSummary {
        shard: shard.clone(),
        fence: Fence::new(1, 0),
        free: capacity,
        capacity,
        waiting: 0,
        teams: vec![],
    }
}

#[test]
fn the_first_scheduler_in_rank_claims_token_zero() {
    let view = view(5);
    let shard = Site::new("region-0", "dc-0-1");
    let first = &rank_shard(&view, &shard)[0].node;
    let claim = claimable_token(&view, &shard, first, None, |_| false);
    assert_eq!(claim, Some(Fence::new(9, 0)));
}

#[test]
fn a_process_with_an_old_view_claims_nothing() {
    let view = view(1);
    let shard = Site::new("region-0", "dc-0-1");
    let local = &view.members[0].node;
    let seen = Some(Fence::new(10, 0));
    assert_eq!(claimable_token(&view, &shard, local, seen, |_| true), None);
}

#[test]
fn service_job_ids_differ_by_shard_and_runner_parameters() {
    let service_a = service(3, vec![]);
    let mut service_b = service(4, vec![]);
    let shard = Name::new("dc-0-0");
    assert_ne!(
        service_job_id(&service_a, &shard),
        service_job_id(&service_a, &"dc-0-1".into())
    );
    assert_eq!(
        service_job_id(&service_a, &shard),
        service_job_id(&service_b, &shard)
    );
    service_b.slots = 9;
    assert_ne!(
        service_job_id(&service_a, &shard),
        service_job_id(&service_b, &shard)
    );
}
