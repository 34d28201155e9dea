use std::net::{Ipv4Addr, SocketAddr};

use kspan_jobs::spec::JobSpec;
use kspan_model::Name;
use kspan_wire::stream::{read_frame, write_frame};
use tokio::net::TcpListener;

use super::*;
use crate::{
    message::{Frame, Verb},
    peers::{decode, encode},
};

/// Starts a process that gives each call the same reply, or none.
async fn start_process(node: &str, data_centre: &str, reply: Option<PeerReply>) -> Member {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let SocketAddr::V4(addr) = listener.local_addr().expect("a bound port") else {
        panic!("the listener is bound to an IPv4 address");
    };
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let reply = reply.clone();
            ntex::rt::spawn(async move {
                let mut buf = Vec::new();
                while matches!(read_frame(&mut stream, &mut buf).await, Ok(true)) {
                    let call: Frame<PeerRequest> = decode(&buf).expect("a request");
                    if let Some(content) = reply.clone() {
                        let number = call.number;
                        let frame = encode(&Frame { number, content });
                        write_frame(&mut stream, &frame)
                            .await
                            .expect("an open connection");
                    }
                }
            });
        }
    });
    Member {
        node: Name::new(node),
        address: *addr.ip(),
        port: addr.port(),
        life: 1,
        data_centre: Name::new(data_centre),
        power_milli: 500,
    }
}

fn call(verb: Verb) -> JobCall {
    JobCall {
        host: "queue.example".to_owned(),
        path: "/work/00000000000000a1".to_owned(),
        key: None,
        verb,
        hops_left: 1,
    }
}

#[ntex::test]
async fn silent_owner_is_reached_through_its_data_centre() {
    let peers = Rc::new(Peers::default());
    let owner = start_process("owner", "a", None).await;
    let reaching = PeerReply::Call(CallResponse::new(200));
    let others = vec![
        start_process("b-1", "b", Some(PeerReply::NotOwner)).await,
        start_process("b-2", "b", Some(PeerReply::NotOwner)).await,
        start_process("a-1", "a", Some(reaching)).await,
    ];
    let started_at = Instant::now();
    let response = call_owner(&peers, &owner, others, &call(Verb::Show), || true).await;
    assert_eq!(response, Ok(CallResponse::new(200)));
    assert!(started_at.elapsed() < FORWARD_TIMEOUT);
}

#[ntex::test]
async fn refusal_by_one_way_does_not_count_while_another_may_still_be_executed() {
    let peers = Rc::new(Peers::default());
    let owner = start_process("owner", "a", None).await;
    let refusal = PeerReply::Call(CallResponse::unavailable(1));
    let others = vec![start_process("a-1", "a", Some(refusal)).await];
    let table = [
        (Verb::Submit(JobSpec::default()), Err(RequestError::InDoubt)),
        (Verb::Cancel, Err(RequestError::InDoubt)),
        (Verb::Show, Ok(CallResponse::unavailable(1))),
    ];
    for (verb, expected) in table {
        let call = call(verb);
        let response = call_owner(&peers, &owner, others.clone(), &call, || true).await;
        assert_eq!(response, expected, "{call:?}");
    }
}

#[ntex::test]
async fn owner_whose_heartbeats_arrive_is_not_called_twice() {
    let peers = Rc::new(Peers::default());
    let owner = start_process("owner", "a", None).await;
    let other = PeerReply::Call(CallResponse::new(200));
    let others = vec![start_process("a-1", "a", Some(other)).await];
    let call = call(Verb::Submit(JobSpec::default()));
    let response = call_owner(&peers, &owner, others, &call, || false).await;
    assert_eq!(response, Err(RequestError::InDoubt));
}
