mod queries;
#[path = "../../../../../platform/standin/claims.rs"]
mod standin;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use kspan_model::Name;
use ntex::http::{Request, Response, StatusCode};

use standin::ClaimsTopic;

use super::*;
use crate::{
    admission::{Interface, tests::on_smallest_host},
    http::{self, RequestContext},
    message::{PeerReply, PeerRequest},
    peers,
    settings::Settings,
};

/// Time that the store takes to answer a read.
const READ_DELAY: Duration = Duration::from_millis(100);

/// Serves a topic of claims, the newest of which is a claim of the process `owner`.
async fn start_store(owner: Member) -> (Rc<ClaimsTopic>, SocketAddr) {
    let members = vec![owner.clone()];
    let claim = peers::encode(&ClaimRecord { owner, members });
    let topic = Rc::new(ClaimsTopic::new(CLAIM_KEY, claim));
    let addr = free_addr();
    let handler = Rc::clone(&topic);
    let serving = http::serve(
        addr,
        Interface::Callers,
        on_smallest_host(),
        move |req, cx| {
            let topic = Rc::clone(&handler);
            async move { respond(&topic, req, &cx).await }
        },
    );
    serving.await.expect("a free port");
    (topic, addr)
}

async fn respond(topic: &ClaimsTopic, mut req: Request, cx: &RequestContext) -> Response {
    let body = cx.read_body(&mut req).await.expect("a complete body");
    let query = req.uri().query().unwrap_or_default();
    let (status, response) = topic.handle(req.path(), query, body.bytes());
    if ClaimsTopic::is_read(req.path()) {
        // Lets all processes that read at once see the same claims.
        tokio::time::sleep(READ_DELAY).await;
    }
    let status = StatusCode::from_u16(status).expect("a valid status");
    Response::build(status).body(response)
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("a bound port")
}

async fn create_process(name: &str, store: SocketAddr) -> Rc<Process> {
    let unused = "127.0.0.1:0".to_owned();
    Process::new(Settings {
        node: Name::new(name),
        address: Ipv4Addr::LOCALHOST,
        data_centre: Name::new("a"),
        processors: 1.0,
        memory_mb: None,
        max_descriptors: None,
        callers: unused.clone(),
        ready: unused.clone(),
        admin: unused,
        internal_port: 0,
        max_record_bytes: 256 * 1024,
        store: store.to_string(),
        approvals: String::new(),
        max_lease_ms: 6_000,
        spread_factor: 2.0,
        keep_ended_s: 1,
        config_apply_ms: 2_500,
        gang_wait_ms: 3_000,
        grace_s: 3.0,
    })
    .await
}

/// Creates two processes that have both accepted to take over from the owner with the fence 1.
async fn create_successors() -> (Rc<ClaimsTopic>, [Rc<Process>; 2]) {
    let owner = Member {
        node: Name::new("owner"),
        address: Ipv4Addr::LOCALHOST,
        port: 0,
        life: 1,
        data_centre: Name::new("a"),
        power_milli: 500,
    };
    let (topic, store) = start_store(owner).await;
    let processes = [
        create_process("b", store).await,
        create_process("c", store).await,
    ];
    for process in &processes {
        let reply = process.handle_request(PeerRequest::TakeOver(1)).await;
        assert_eq!(reply, PeerReply::Accepted);
    }
    (topic, processes)
}

/// Guards against two owners after a shutdown that requested several successors at once.
#[ntex::test]
async fn one_of_two_successors_that_claim_at_once_is_refused_by_the_store() {
    let (topic, [one, other]) = create_successors().await;
    tokio::join!(one.check_owner(), other.check_owner());
    assert_eq!(topic.counts(), (1, 1));
}

/// Guards against a cell that moves a second time because a successor claims after another one has
/// taken over.
#[ntex::test]
async fn successor_does_not_claim_after_another_has_taken_over() {
    let (topic, [one, other]) = create_successors().await;
    one.check_owner().await;
    assert_eq!(topic.counts(), (1, 0));
    other.check_owner().await;
    assert_eq!(topic.counts(), (1, 0));
}
