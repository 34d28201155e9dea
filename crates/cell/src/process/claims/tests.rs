use std::{
    cell::{Cell, RefCell},
    net::{Ipv4Addr, SocketAddr, TcpListener},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use kspan_model::Name;
use ntex::http::{Request, Response, StatusCode};

use super::*;
use crate::{http, settings::Settings};

/// Time that the store takes to answer a read.
const READ_DELAY: Duration = Duration::from_millis(100);

/// Topic of claims of a store that serves nothing else.
#[derive(Default)]
struct ClaimsTopic {
    /// Value of the newest claim and its offset.
    newest: RefCell<Option<(u64, Vec<u8>)>>,
    end: Cell<u64>,
    accepted: Cell<u32>,
    refused: Cell<u32>,
}

impl ClaimsTopic {
    /// Creates a topic with a claim of the process `owner`, and serves it.
    async fn start(owner: Member) -> (Rc<Self>, SocketAddr) {
        let topic = Rc::new(Self::default());
        let members = vec![owner.clone()];
        let claim = peers::encode(&ClaimRecord { owner, members });
        *topic.newest.borrow_mut() = Some((0, claim));
        topic.end.set(1);
        let addr = free_addr();
        let handler = Rc::clone(&topic);
        let serving = http::serve(addr, move |req| {
            let topic = Rc::clone(&handler);
            async move { topic.handle(req).await }
        });
        serving.await.expect("a free port");
        (topic, addr)
    }

    async fn handle(&self, mut req: Request) -> Response {
        let query = req.uri().query().unwrap_or_default().to_owned();
        let body = http::read_body(&mut req).await.expect("a complete body");
        if !query.contains("Topic=keyed.claims") {
            // Ends the recovery of a process that has claimed.
            return respond(409, r#"{"Reason":"fenced"}"#);
        }
        if req.path() == "/api/log-newest" {
            let page = self.newest_page();
            // Lets all processes that read at once see the same claims.
            tokio::time::sleep(READ_DELAY).await;
            return respond(200, &page);
        }
        let key_length = usize::from(body[4]);
        let (key, value) = body[5..].split_at(key_length);
        let is_claim = key == CLAIM_KEY.as_bytes();
        let end = self.end.get();
        if !query.ends_with(&format!("&At={end}")) {
            self.refused.set(self.refused.get() + u32::from(is_claim));
            return respond(412, "{}");
        }
        self.end.set(end + 1);
        if is_claim {
            self.accepted.set(self.accepted.get() + 1);
            *self.newest.borrow_mut() = Some((end, value.to_vec()));
        }
        respond(200, &format!(r#"{{"Offset":{end}}}"#))
    }

    fn newest_page(&self) -> String {
        let newest = self.newest.borrow();
        let (offset, claim) = newest.as_ref().expect("a claim");
        let (value, end) = (STANDARD.encode(claim), self.end.get());
        format!(
            r#"{{"items":[{{"Key":"{CLAIM_KEY}","Value":"{value}","Offset":{offset}}}],"EndOffset":{end}}}"#
        )
    }
}

fn respond(status: u16, body: &str) -> Response {
    let status = StatusCode::from_u16(status).expect("a valid status");
    Response::build(status).body(body.to_owned())
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
        callers: unused.clone(),
        ready: unused.clone(),
        admin: unused,
        internal_port: 0,
        store: store.to_string(),
        approvals: String::new(),
        max_lease_ms: 6_000,
        spread_factor: 2.0,
        keep_ended_s: 1,
        config_apply_ms: 2_500,
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
    let (topic, store) = ClaimsTopic::start(owner).await;
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
    assert_eq!((topic.accepted.get(), topic.refused.get()), (1, 1));
}

/// Guards against a cell that moves a second time because a successor claims after another one has
/// taken over.
#[ntex::test]
async fn successor_does_not_claim_after_another_has_taken_over() {
    let (topic, [one, other]) = create_successors().await;
    one.check_owner().await;
    assert_eq!(topic.accepted.get(), 1);
    other.check_owner().await;
    assert_eq!((topic.accepted.get(), topic.refused.get()), (1, 0));
}
