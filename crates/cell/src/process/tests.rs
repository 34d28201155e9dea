use std::{
    cell::Cell,
    net::{Ipv4Addr, SocketAddr},
};

use kspan_jobs::spec::JobSpec;
use kspan_model::Name;
use kspan_wire::stream::{read_frame, write_frame};
use tokio::net::TcpListener;

use super::*;
use crate::{
    entry,
    message::{CallResponse, Frame, Member, Verb},
    owner::tests,
    peers::{decode, encode},
};

/// Replies of an owner to successive calls; `None` closes the connection instead, so that the reply
/// is lost. The last one is repeated.
type Replies = &'static [Option<u16>];

/// Creates a process that knows an owner with the given replies. Returns it with the number of
/// calls that reach the owner.
async fn process_with_owner(replies: Replies) -> (Rc<Process>, Rc<Cell<usize>>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let SocketAddr::V4(addr) = listener.local_addr().expect("a bound port") else {
        panic!("the listener is bound to an IPv4 address");
    };
    let calls = Rc::new(Cell::new(0));
    let counter = Rc::clone(&calls);
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = Vec::new();
            while matches!(read_frame(&mut stream, &mut buf).await, Ok(true)) {
                let number = counter.get();
                counter.set(number + 1);
                let Some(status) = replies[number.min(replies.len() - 1)] else {
                    break;
                };
                let call: Frame<PeerRequest> = decode(&buf).expect("a request");
                let content = PeerReply::Call(CallResponse::new(status));
                let number = call.number;
                let frame = encode(&Frame { number, content });
                write_frame(&mut stream, &frame)
                    .await
                    .expect("an open connection");
            }
        }
    });
    let node = tests::node("127.0.0.1:1").await;
    let owner = Member {
        node: Name::new("a-2"),
        address: *addr.ip(),
        port: addr.port(),
        ..node.local.clone()
    };
    let now = node.clock.now();
    node.election.borrow_mut().record_heartbeat(now, 1, &owner);
    (Process::with_node(node), calls)
}

/// Guards against a caller that is told that its call was not executed, while an attempt whose reply
/// was lost may have been or may still be.
#[ntex::test]
async fn refusal_is_not_returned_after_a_reply_was_lost() {
    let submit = || Verb::Submit(JobSpec::default());
    let table: [(Verb, Replies, u16); 10] = [
        (submit(), &[None, Some(503)], 504),
        (submit(), &[None, Some(404)], 504),
        (submit(), &[None, Some(400)], 504),
        (submit(), &[None, Some(200)], 200),
        (submit(), &[None], 504),
        (Verb::Cancel, &[None, Some(503)], 504),
        (Verb::Cancel, &[None, Some(404)], 504),
        (Verb::Cancel, &[None, Some(200)], 200),
        (Verb::Cancel, &[None], 504),
        (Verb::Show, &[None], 503),
    ];
    for (verb, replies, expected) in table {
        let (process, _) = process_with_owner(replies).await;
        let call = tests::call(verb);
        let response = entry::execute(&process, call.clone()).await;
        assert_eq!(response.status, expected, "{call:?} {replies:?}");
    }
}

/// Refusals count as soon as they arrive if no attempt is open.
#[ntex::test]
async fn refusal_is_returned_if_no_reply_was_lost() {
    for verb in [Verb::Submit(JobSpec::default()), Verb::Cancel, Verb::Show] {
        for status in [400, 404, 410, 503] {
            let replies: Replies = match status {
                400 => &[Some(400)],
                404 => &[Some(404)],
                410 => &[Some(410)],
                _ => &[Some(503)],
            };
            let (process, calls) = process_with_owner(replies).await;
            let call = tests::call(verb.clone());
            let response = entry::execute(&process, call).await;
            assert_eq!((response.status, calls.get()), (status, 1), "{verb:?}");
        }
    }
}
