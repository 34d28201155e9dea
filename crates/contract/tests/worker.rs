//! The worker client against a worker that grants, refuses, responds with garbage, hangs, or is
//! not reachable.

use std::{net::SocketAddr, time::Duration};

use kspan_contract::{
    error::CallError,
    link::Link,
    protocol::worker::{Exchange, Report, Size, Token},
    worker::{ExchangeOutcome, WorkerAddress, WorkerClient},
};
use ntex::web::{self, App, HttpResponse, test};

const TIMEOUT: Duration = Duration::from_secs(3);

fn worker(address: SocketAddr) -> WorkerAddress {
    WorkerAddress {
        name: "worker-1".into(),
        region: "north".into(),
        data_centre: "north-1".into(),
        address,
    }
}

fn exchange(owner: &str) -> Exchange {
    Exchange {
        owner: owner.to_owned(),
        token: Token::default(),
        control_lease_ms: 2_000,
        task_lease_ms: 15_000,
        commands: vec![],
        known_version: 0,
        release: false,
    }
}

fn report() -> Report {
    Report {
        incarnation: 7,
        granted: true,
        token: Token::default(),
        lease_left_ms: 2_000,
        capacity: Size::default(),
        leaving: false,
        results: vec![],
        version: 1,
        full: true,
        tasks: vec![],
    }
}

/// Responds as the name of the owner selects.
async fn respond(body: web::types::Json<Exchange>) -> HttpResponse {
    match body.owner.as_str() {
        "granted" => HttpResponse::Ok().json(&report()),
        "refused" => HttpResponse::Conflict().json(&report()),
        "malformed" => HttpResponse::Ok().body("{"),
        _ => {
            ntex::time::sleep(ntex::time::Seconds(60)).await;
            HttpResponse::Ok().finish()
        }
    }
}

#[ntex::test]
async fn exchange_classifies_granted_refused_malformed_and_lost_responses() {
    let server =
        test::server(async || App::new().route("/v1/exchange", web::post().to(respond))).await;
    let worker = worker(server.addr());
    let client = WorkerClient::new(TIMEOUT).await;
    let granted = client.exchange(&worker, &exchange("granted")).await;
    assert_eq!(granted, Ok(ExchangeOutcome::Granted(report())));
    let refused = client.exchange(&worker, &exchange("refused")).await;
    assert_eq!(refused, Ok(ExchangeOutcome::Refused(report())));
    let malformed = client.exchange(&worker, &exchange("malformed")).await;
    assert!(
        matches!(malformed, Err(CallError::Malformed(_))),
        "{malformed:?}"
    );
    let hanging = client.exchange(&worker, &exchange("hanging")).await;
    assert!(matches!(hanging, Err(CallError::Lost(_))), "{hanging:?}");
    // The connection with the outstanding response is not reused.
    let granted = client.exchange(&worker, &exchange("granted")).await;
    assert_eq!(granted, Ok(ExchangeOutcome::Granted(report())));
}

#[ntex::test]
async fn exchange_returns_not_sent_if_the_connection_fails_or_the_link_is_cut() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = closed.local_addr().expect("a bound address");
    drop(closed);
    let client = WorkerClient::new(TIMEOUT).await;
    let refused = client
        .exchange(&worker(address), &exchange("granted"))
        .await;
    assert!(matches!(refused, Err(CallError::NotSent(_))), "{refused:?}");
    let client = client.with_link(|_| Link {
        cut: true,
        ..Link::unimpaired()
    });
    let cut = client
        .exchange(&worker(address), &exchange("granted"))
        .await;
    assert!(matches!(cut, Err(CallError::NotSent(_))), "{cut:?}");
}
