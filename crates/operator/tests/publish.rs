//! Publishing to a log that loses answers, is down, or has several operators as writers.

use std::future::Future;

use kspan_fold::Body;
use kspan_lab::{http::ThreadPool, standin::log::Log};
use kspan_model::Name;
use kspan_operator::{CellClient, Error, PublishOutcome};

const TEXT: &str = include_str!("../../../examples/haugland.yaml");

fn block_on(f: impl Future<Output = ()> + 'static) {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(f);
}

fn document_body(base: u64, from: &str, to: &str) -> Body {
    let text = TEXT.replacen(from, to, 1);
    Body::Document { base, text }
}

async fn publish(cell: &mut CellClient, author: &str, body: Body) -> PublishOutcome {
    let author = Name::new(author);
    cell.publish(&author, body)
        .await
        .expect("the log can be read")
}

fn accepted_version(published: &PublishOutcome) -> u64 {
    match published {
        PublishOutcome::Accepted { offset } => *offset,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Runs `f` with a new stand-in log and a client connected to it.
fn with_log<F: Future<Output = ()>>(f: impl FnOnce(Log, CellClient) -> F + 'static) {
    let pool = ThreadPool::new(1);
    let log = Log::new();
    let address = "127.0.0.1:0".parse().expect("an address");
    let serving = log.serve(&pool, address).expect("the log listens");
    block_on(async move {
        let cell = CellClient::connect(serving.address)
            .await
            .expect("the log answers");
        f(log, cell).await;
    });
}

#[test]
fn an_append_whose_answer_was_lost_is_not_duplicated() {
    with_log(|log, mut cell| async move {
        log.set_behaviour(|behaviour| behaviour.lose_response_every = 1);
        let published = publish(&mut cell, "ada", document_body(0, "", "")).await;
        assert_eq!(accepted_version(&published), cell.state().document_version);
        assert_eq!(log.entries().len(), 1);
    });
}

#[test]
fn publishing_during_a_log_outage_fails_and_appends_nothing() {
    with_log(|log, mut cell| async move {
        log.set_behaviour(|behaviour| behaviour.outage = true);
        let author = Name::new("ada");
        let err = cell.publish(&author, document_body(0, "", "")).await;
        assert!(matches!(err, Err(Error::Log(_))), "{err:?}");
        assert!(log.entries().is_empty());
    });
}

#[test]
fn a_conflicting_change_of_the_same_object_is_refused_with_both_authors_named() {
    with_log(|_log, mut cell| async move {
        let first = accepted_version(&publish(&mut cell, "ada", document_body(0, "", "")).await);
        let raise = document_body(first, "runners: 50", "runners: 60");
        accepted_version(&publish(&mut cell, "ada", raise).await);
        let lower = document_body(first, "runners: 50", "runners: 40");
        let PublishOutcome::Refused { reason, .. } = publish(&mut cell, "eve", lower).await else {
            panic!("the stale change was accepted");
        };
        assert!(reason.contains("ada") && reason.contains("eve"), "{reason}");
        let document = cell
            .state()
            .document
            .clone()
            .expect("a document is in force");
        assert_eq!(document.services[0].runners, 60);
    });
}

#[test]
fn changes_of_different_objects_from_the_same_version_are_merged() {
    with_log(|_log, mut cell| async move {
        let first = accepted_version(&publish(&mut cell, "ada", document_body(0, "", "")).await);
        let runners = document_body(first, "runners: 50", "runners: 60");
        accepted_version(&publish(&mut cell, "ada", runners).await);
        let weight = document_body(first, "weight: 2", "weight: 3");
        accepted_version(&publish(&mut cell, "eve", weight).await);
        let document = cell
            .state()
            .document
            .clone()
            .expect("a document is in force");
        assert_eq!(document.services[0].runners, 60);
        assert!((document.teams[1].weight - 3.0).abs() < f64::EPSILON);
    });
}
