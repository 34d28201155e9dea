//! Worker I/O: one thread that sends exchanges with the HTTP client.
//!
//! It makes no decisions. Every request that it receives gets exactly one reply.

use kspan_contract::{
    error::CallError,
    link::Link,
    worker::{ExchangeOutcome, WorkerAddress, WorkerClient},
};
use kspan_model::Site;
use kspan_node::{
    LinkFaults,
    ring::{Receiver, Sender},
};
use ntex::rt::{DefaultRuntime, System};

use crate::{
    shard::{ExchangeKey, ExchangeRequest, Reply},
    timing::EXCHANGE_TIMEOUT,
};

/// The reply to an exchange request.
#[derive(Debug)]
pub(crate) struct ExchangeReply {
    /// Key of the request.
    pub key: ExchangeKey,
    /// Outcome of the exchange.
    pub reply: Reply,
}

/// Runs the thread until every sender of requests is dropped.
pub(crate) fn run(
    links: LinkFaults,
    requests: Receiver<Box<ExchangeRequest>>,
    replies: Sender<ExchangeReply>,
) {
    let system = System::new("kspan-workers", DefaultRuntime);
    system.block_on(async move {
        let client = WorkerClient::new(EXCHANGE_TIMEOUT.as_duration())
            .await
            .with_link(move |worker| link(&links, worker));
        while let Some(request) = requests.recv().await {
            let client = client.clone();
            let replies = replies.clone();
            ntex::rt::spawn(async move {
                let reply = exchange(&client, &request).await;
                let key = request.key;
                // The ring has room for a reply of every worker. A lost reply would leave the
                // exchange in flight, and the worker unused, until the shard is claimed again.
                if replies.try_send(ExchangeReply { key, reply }).is_err() {
                    log::error!(
                        "scheduler: the ring of worker replies is full; a reply was dropped"
                    );
                }
            });
        }
    });
}

async fn exchange(client: &WorkerClient, request: &ExchangeRequest) -> Reply {
    match client.exchange(&request.to, &request.body).await {
        Ok(ExchangeOutcome::Granted(report)) => Reply::Granted(report),
        Ok(ExchangeOutcome::Refused(report)) => Reply::Refused(report),
        Err(err) => {
            log::debug!(
                "scheduler: exchange with worker {} failed: {err}",
                request.to.name
            );
            metrics::counter!("kspan_scheduler_exchanges_failed_total").increment(1);
            Reply::Failed {
                in_doubt: matches!(err, CallError::Lost(_) | CallError::Malformed(_)),
            }
        }
    }
}

fn link(links: &LinkFaults, worker: &WorkerAddress) -> Link {
    let site = Site {
        region: worker.region.clone(),
        data_centre: worker.data_centre.clone(),
    };
    Link {
        delay: links.delay(&site),
        cut: links.is_cut(&worker.name, &site),
    }
}
