//! Tests of the election's decisions.

use std::net::Ipv4Addr;

use kspan_model::{Millis, Name};

use super::{Claims, Election, KnownOwner, Step, Suspicion};
use crate::message::Member;

const FENCE: u64 = 7;

fn member(node: &str) -> Member {
    Member {
        node: Name::new(node),
        address: Ipv4Addr::LOCALHOST,
        port: 7_000,
        life: 1,
        data_centre: Name::new("a"),
        power_milli: 500,
    }
}

/// Returns the election of a process that received the owner's heartbeat at time 0.
fn election() -> Election {
    let mut election = Election::new(member("host-2"), Millis(0));
    election.record_heartbeat(Millis(0), FENCE, &member("host-1"));
    election
}

fn claims(end: u64) -> Claims {
    Claims {
        ends_when_isolated: true,
        owner: Some(KnownOwner {
            fence: FENCE,
            member: member("host-1"),
        }),
        members: Vec::new(),
        end,
    }
}

/// Returns the time from the last heartbeat to the query of the others, while the topic of claims
/// ends at `end_at` of the time.
fn time_to_query(is_connected: bool, end_at: impl Fn(u64) -> u64) -> Option<u64> {
    let mut election = election();
    let members = [member("host-1"), member("host-2")];
    (0..5_000).step_by(100).find(|&now| {
        let suspicion = election.suspicion(Millis(now), &members, is_connected);
        suspicion != Suspicion::None
            && election.evaluate_claims(Millis(now), &claims(end_at(now)), suspicion)
                == Step::QueryOthers
    })
}

/// Guards against a takeover that waits for the evidence of the topic of claims only after the owner
/// is suspected, which left callers without an owner for half a second longer.
#[test]
fn silent_owner_is_replaced_once_both_kinds_of_evidence_are_complete() {
    let table = [(true, 1_100), (false, 900)];
    for (is_connected, max) in table {
        let after = time_to_query(is_connected, |_| 100).expect("the owner is suspected");
        assert!(after <= max, "connected {is_connected}: {after} ms");
    }
}

/// Guards against replacing an owner whose heartbeats are delayed on one path only.
#[test]
fn owner_that_still_writes_heartbeats_to_the_store_is_not_replaced() {
    let after = time_to_query(true, |now| 100 + now / 250);
    assert_eq!(after, None);
}

/// Guards against replacing an owner after one or two lost datagrams.
#[test]
fn short_silence_replaces_no_owner() {
    let mut election = election();
    let members = [member("host-1"), member("host-2")];
    for now in (0..900).step_by(50) {
        let suspicion = election.suspicion(Millis(now), &members, true);
        assert_ne!(suspicion, Suspicion::Confirmed, "after {now} ms");
        let step = election.evaluate_claims(Millis(now), &claims(100), suspicion);
        assert_eq!(step, Step::Wait, "after {now} ms");
    }
}

/// Guards against a cell that waits for the suspicion timeout of a running process after all hosts have
/// lost power.
#[test]
fn process_that_never_received_a_heartbeat_suspects_the_recorded_owner_sooner() {
    let members = [member("host-1"), member("host-2")];
    let mut election = Election::new(member("host-2"), Millis(0));
    let query_at = (0..5_000_u64).step_by(100).find(|&now| {
        let suspicion = election.suspicion(Millis(now), &members, false);
        suspicion != Suspicion::None
            && election.evaluate_claims(Millis(now), &claims(100), suspicion) == Step::QueryOthers
    });
    let query_at = query_at.expect("the owner is suspected");
    assert!(query_at <= 800, "{query_at} ms");
}
