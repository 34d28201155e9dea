use std::cell::Cell as Shared;

use kspan_adapter::store::Topic;

use super::*;
use crate::owner::tests::{node, start_silent_store};

/// Guards against a request that goes on waiting for an answer that was lost while the store answers
/// others again.
#[ntex::test]
async fn request_is_sent_again_when_the_store_answers_a_probe() {
    let requests = Rc::new(Shared::new(0));
    let counter = Rc::clone(&requests);
    let store = start_silent_store(move || {
        counter.set(counter.get() + 1);
        // The first request is never answered.
        counter.get() > 1
    });
    let node = node(&store.await).await;
    let req = store::newest_request(Topic::Claims, None);
    assert!(node.store.send(&req).await.is_ok());
    // The request, a probe, and the request once more.
    assert!(requests.get() >= 3, "{}", requests.get());
}

/// Probes end with the first answer.
#[ntex::test]
async fn no_probes_are_sent_while_the_store_answers() {
    let requests = Rc::new(Shared::new(0));
    let counter = Rc::clone(&requests);
    let store = start_silent_store(move || {
        counter.set(counter.get() + 1);
        true
    });
    let node = node(&store.await).await;
    let req = store::newest_request(Topic::Claims, None);
    for expected in 1..=3 {
        assert!(node.store.send(&req).await.is_ok());
        assert_eq!(requests.get(), expected);
    }
    assert!(!node.store.shared.is_sending_probes.get());
}
