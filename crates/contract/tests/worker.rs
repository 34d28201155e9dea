//! The client of workers against a worker that answers, refuses, says nothing or is not there.

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

/// Answers by the owner's name.
async fn answer(body: web::types::Json<Exchange>) -> HttpResponse {
    match body.owner.as_str() {
        "granted" => HttpResponse::Ok().json(&report()),
        "refused" => HttpResponse::Conflict().json(&report()),
        "garbled" => HttpResponse::Ok().body("{"),
        _ => {
            ntex::time::sleep(ntex::time::Seconds(60)).await;
            HttpResponse::Ok().finish()
        }
    }
}

#[ntex::test]
async fn answers_are_told_apart_by_what_they_prove() {
    let server =
        test::server(async || App::new().route("/v1/exchange", web::post().to(answer))).await;
    let worker = worker(server.addr());
    let client = WorkerClient::new(TIMEOUT).await;
    let granted = client.exchange(&worker, &exchange("granted")).await;
    assert_eq!(granted, Ok(ExchangeOutcome::Granted(report())));
    let refused = client.exchange(&worker, &exchange("refused")).await;
    assert_eq!(refused, Ok(ExchangeOutcome::Refused(report())));
    let garbled = client.exchange(&worker, &exchange("garbled")).await;
    assert!(
        matches!(garbled, Err(CallError::Malformed(_))),
        "{garbled:?}"
    );
    let hanging = client.exchange(&worker, &exchange("hanging")).await;
    assert!(matches!(hanging, Err(CallError::Lost(_))), "{hanging:?}");
    // The connection whose answer is still due is not used again.
    let granted = client.exchange(&worker, &exchange("granted")).await;
    assert_eq!(granted, Ok(ExchangeOutcome::Granted(report())));
}

#[ntex::test]
async fn what_was_certainly_not_sent_is_told() {
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
