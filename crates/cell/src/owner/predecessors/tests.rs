use std::net::{Ipv4Addr, SocketAddr};

use kspan_model::Name;
use kspan_wire::stream::{read_frame, write_frame};
use tokio::net::TcpListener;

use super::*;
use crate::{
    message::{Frame, PeerReply, PeerRequest},
    owner::tests::owner,
    peers,
};

/// Starts a process that knows the owner with the given fence, or does not reply.
async fn start_member(node: &str, fence: Option<u64>) -> Member {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let SocketAddr::V4(addr) = listener.local_addr().expect("a bound port") else {
        panic!("the listener is bound to an IPv4 address");
    };
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = Vec::new();
            while matches!(read_frame(&mut stream, &mut buf).await, Ok(true)) {
                let req: Frame<PeerRequest> = peers::decode(&buf).expect("a request");
                let Some(fence) = fence else {
                    continue;
                };
                let silent_ms = 0;
                let content = PeerReply::OwnerStatus { fence, silent_ms };
                let number = req.number;
                let frame = peers::encode(&Frame { number, content });
                if write_frame(&mut stream, &frame).await.is_err() {
                    break;
                }
            }
        }
    });
    Member {
        node: Name::new(node),
        address: *addr.ip(),
        port: addr.port(),
        life: 1,
        data_centre: Name::new("a"),
        power_milli: 500,
    }
}

/// Guards against two runs of a task: a process that does not know the new owner may still give orders
/// as a previous one.
#[ntex::test]
async fn only_members_that_know_the_owner_are_past_owners() {
    let owner = owner("127.0.0.1:1").await;
    let fence = owner.fence;
    let table = [
        (Some(fence), false),
        (Some(fence + 1), false),
        (Some(fence - 1), true),
        (None, true),
    ];
    for (known, is_unaware) in table {
        let member = start_member("b-1", known).await;
        let unaware = owner.unaware_members(vec![member]).await;
        assert_eq!(!unaware.is_empty(), is_unaware, "{known:?}");
    }
}
