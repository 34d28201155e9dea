//! Tests of the queries before a claim, and of claims during a shutdown.

use std::cell::RefCell as Shared;

use super::*;
use crate::{message::PeerReply, owner::tests};

/// Starts a process that reports the given silence of the owner with fence 5, or does not reply.
async fn start_process(node: &str, silent_ms: Option<u64>) -> Member {
    let fence = 5;
    let reply = silent_ms.map(|silent_ms| PeerReply::OwnerStatus { fence, silent_ms });
    tests::start_member(node, reply).await
}

/// Guards against the loss of an owner's role because one process does not receive its heartbeats.
#[ntex::test]
async fn owner_that_others_hear_is_not_replaced() {
    let table: [(&[Option<u64>], u64, bool); 5] = [
        (&[Some(100)], 5, true),
        (&[None, Some(5_000), Some(100)], 5, true),
        (&[Some(5_000), Some(701)], 5, false),
        (&[None], 5, false),
        // What others hear of an earlier owner says nothing about the newest one.
        (&[Some(100)], 6, false),
    ];
    for (others, fence, expected) in table {
        let process = Process::with_node(tests::node("127.0.0.1:1").await);
        let mut members = vec![process.node.local.clone()];
        for (number, silent_ms) in others.iter().enumerate() {
            members.push(start_process(&format!("b-{number}"), *silent_ms).await);
        }
        process.node.set_members(members);
        let hear = process.others_receive_heartbeats(fence).await;
        assert_eq!(hear, expected, "{others:?} {fence}");
    }
}

/// Guards against a process that claims the cell after its shutdown began, because the shutdown
/// began while it queried others: it would hand the cell over to none.
#[ntex::test]
async fn stopping_process_does_not_claim() {
    for (stopping, expected) in [(false, 1), (true, 0)] {
        let appends = Rc::new(Shared::new(0));
        let counter = Rc::clone(&appends);
        let store = tests::start_store(move |target| {
            *counter.borrow_mut() += usize::from(tests::is_append(target));
            (412, br#"{"EndOffset":9}"#.to_vec())
        });
        let process = Process::with_node(tests::node(&store.await).await);
        process.node.stopping.set(stopping);
        let claims = Claims {
            ends_when_isolated: true,
            owner: None,
            members: Vec::new(),
            end: 4,
        };
        process.claim(&claims, None, "test").await;
        assert_eq!(*appends.borrow(), expected, "{stopping}");
        assert!(process.owner_role().is_none());
    }
}
