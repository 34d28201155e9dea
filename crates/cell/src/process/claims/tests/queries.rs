//! Tests of the queries before a claim, and of claims during a shutdown.

use std::{
    cell::RefCell as Shared,
    net::{Ipv4Addr, SocketAddr},
};

use kspan_wire::stream::{read_frame, write_frame};
use tokio::net::TcpListener;

use super::*;
use crate::{
    message::{Frame, PeerReply, PeerRequest},
    owner::tests,
};

/// Starts a process that reports the given silence of the owner with fence 5, or does not reply.
async fn start_process(node: &str, silent_ms: Option<u64>) -> Member {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let SocketAddr::V4(addr) = listener.local_addr().expect("a bound port") else {
        panic!("the listener is bound to an IPv4 address");
    };
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            ntex::rt::spawn(async move {
                let mut buf = Vec::new();
                while matches!(read_frame(&mut stream, &mut buf).await, Ok(true)) {
                    let req: Frame<PeerRequest> = peers::decode(&buf).expect("a request");
                    let Some(silent_ms) = silent_ms else {
                        continue;
                    };
                    let frame = peers::encode(&Frame {
                        number: req.number,
                        content: PeerReply::OwnerStatus {
                            fence: 5,
                            silent_ms,
                        },
                    });
                    if write_frame(&mut stream, &frame).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Member {
        node: kspan_model::Name::new(node),
        address: *addr.ip(),
        port: addr.port(),
        life: 1,
        data_centre: kspan_model::Name::new("a"),
        power_milli: 500,
    }
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
            owner: None,
            members: Vec::new(),
            end: 4,
        };
        process.claim(&claims, None, "test").await;
        assert_eq!(*appends.borrow(), expected, "{stopping}");
        assert!(process.owner_role().is_none());
    }
}
