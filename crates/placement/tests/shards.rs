//! Gangs over several shards: no deadlock, no hoarded capacity, no partial start.

use std::collections::BTreeMap;

use kspan_model::{Millis, Name};
use kspan_placement::shards::{Action, GangCoordinator, ShardRequest};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

/// A shard that holds reservations until they expire.
#[derive(Default)]
struct Shard {
    room: u32,
    held: BTreeMap<usize, (u32, Millis)>,
}

impl Shard {
    fn hold(&mut self, gang: usize, tasks: u32, until: Millis, now: Millis) -> bool {
        self.held.retain(|_, (_, until)| *until > now);
        let taken: u32 = self.held.values().map(|(tasks, _)| tasks).sum();
        if taken + tasks > self.room {
            return false;
        }
        self.held.insert(gang, (tasks, until));
        true
    }
}

fn run(wanted: &[Vec<(u8, u32)>], lost: &[bool]) -> usize {
    let mut shards: BTreeMap<Name, Shard> = BTreeMap::new();
    let name = |number: u8| Name::from(format!("shard-{number}"));
    for number in 0..4 {
        shards.insert(
            name(number),
            Shard {
                room: 10,
                ..Shard::default()
            },
        );
    }
    let mut gangs: Vec<GangCoordinator> = wanted
        .iter()
        .map(|parts| {
            let parts = parts.iter().map(|&(shard, tasks)| ShardRequest {
                shard: name(shard),
                tasks,
            });
            GangCoordinator::new(parts.collect())
        })
        .collect();
    let mut losses = lost.iter().cycle();
    let mut started = vec![false; gangs.len()];
    for tick in 0..6_000 {
        let now = Millis(tick * 100);
        for (number, gang) in gangs.iter_mut().enumerate() {
            match gang.next_action(now) {
                Action::Reserve { part, until } => {
                    let shard = shards.get_mut(&part.shard).expect("the shard exists");
                    let held = shard.hold(number, part.tasks, until, now);
                    let is_lost = *losses.next().expect("the iterator is endless") && tick < 3_000;
                    match (is_lost, held) {
                        (true, _) => {}
                        (false, true) => gang.record_grant(&part.shard),
                        (false, false) => gang.record_refusal(&part.shard),
                    }
                }
                Action::Start(parts) => {
                    for part in parts {
                        let held = &mut shards.get_mut(&part.shard).expect("the shard exists").held;
                        let (tasks, until) = held.remove(&number).expect("the reservation is held");
                        assert_eq!(tasks, part.tasks);
                        assert!(
                            until > now,
                            "a start is sent before its reservation expires"
                        );
                    }
                    started[number] = true;
                }
                Action::Abort { release, .. } => {
                    for shard in release {
                        let shard = shards.get_mut(&shard).expect("the shard exists");
                        shard.held.remove(&number);
                    }
                }
                Action::Wait => {}
            }
        }
    }
    started.into_iter().filter(|started| *started).count()
}

#[test]
fn every_gang_starts_completely_despite_lost_replies() {
    let mut runner = TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        cases: 60,
        ..ProptestConfig::default()
    });
    let part = proptest::collection::btree_map(0_u8..4, 1_u32..=10, 1..4);
    let gangs = proptest::collection::vec(part, 1..6);
    let lost = proptest::collection::vec(proptest::bool::weighted(0.2), 1..40);
    runner
        .run(&(gangs, lost), |(gangs, lost)| {
            let wanted: Vec<Vec<(u8, u32)>> = gangs
                .into_iter()
                .map(|parts| parts.into_iter().collect())
                .collect();
            prop_assert_eq!(run(&wanted, &lost), wanted.len());
            Ok(())
        })
        .expect("every gang starts");
}
