use super::*;

fn member(data_centre: &str, number: u32) -> Member {
    Member {
        node: Name::new(format!("{data_centre}-{number}").as_str()),
        address: [127, 0, 0, 1].into(),
        port: 1,
        life: 1,
        data_centre: Name::new(data_centre),
        power_milli: 500,
    }
}

/// Six hosts in each of three data centres; the local process is in the first.
fn relays() -> Relays {
    let mut relays = Relays::new(Name::new("a"));
    let data_centres = ["a", "b", "c"].into_iter();
    let members = data_centres.flat_map(|name| (0..6).map(move |number| member(name, number)));
    relays.set_members(members.collect());
    relays
}

fn try_until(relays: &mut Relays, now: Millis, reaches: impl Fn(&Member) -> bool) -> usize {
    let mut tried = Vec::new();
    while let Some(relay) = relays.next(now, &tried) {
        tried.push(relay.node.clone());
        if reaches(&relay) {
            relays.record_success(&relay.node);
            return tried.len();
        }
        relays.record_failure(&relay.node, now);
    }
    panic!("no relay reaches the store");
}

#[test]
fn relays_that_never_reach_the_store_are_not_tried_again_first() {
    let mut relays = relays();
    let now = Millis(1_000);
    let mut tried: Vec<Name> = Vec::new();
    // Requests that try three relays each reach all of them in turn.
    for _ in 0..6 {
        let mut of_request = Vec::new();
        for _ in 0..3 {
            let relay = relays.next(now, &of_request).expect("an untried relay");
            relays.record_failure(&relay.node, now);
            of_request.push(relay.node);
        }
        tried.extend(of_request);
    }
    tried.sort_unstable();
    tried.dedup();
    assert_eq!(tried.len(), 18);
}

#[test]
fn relay_is_found_soon_where_whole_data_centres_fail() {
    let table = [("a", 1), ("b", 2), ("c", 3)];
    for (reaching, attempts) in table {
        let reaches = |member: &Member| &**member.data_centre == reaching;
        let mut relays = relays();
        let now = Millis(1_000);
        assert_eq!(try_until(&mut relays, now, reaches), attempts, "{reaching}");
        // The relay that answered goes first from then on.
        assert_eq!(try_until(&mut relays, now, reaches), 1, "{reaching}");
    }
}

#[test]
fn failures_are_forgotten_and_survive_a_change_of_members() {
    let mut relays = relays();
    let now = Millis(1_000);
    let first = relays.next(now, &[]).expect("a relay").node;
    relays.record_failure(&first, now);
    let members = (0..6).map(|number| member("a", number)).collect();
    relays.set_members(members);
    assert_ne!(relays.next(now, &[]).expect("a relay").node, first);

    let others: Vec<Name> = (0..6)
        .map(|number| member("a", number).node)
        .filter(|node| *node != first)
        .collect();
    let last = relays.next(now, &others).expect("the relay that failed");
    assert_eq!(last.node, first);
    let later = now + FAILURE_MEMORY;
    for other in &others {
        relays.record_failure(other, later);
    }
    assert_eq!(relays.next(later, &[]).expect("a relay").node, first);
}
