//! The duty of exchanging with workers: one thread with the HTTP client.
//!
//! It decides nothing. Each order it takes gets exactly one reply.

use kspan_contract::{
    error::CallError,
    link::Link,
    worker::{ExchangeOutcome, WorkerAddress, WorkerClient},
};
use kspan_model::Site;
use kspan_node::{
    Links,
    ring::{Receiver, Sender},
};
use ntex::rt::{DefaultRuntime, System};

use crate::{
    shard::{ExchangeOrder, Reply, Ticket},
    times::EXCHANGE_TIMEOUT,
};

/// What came of an order.
#[derive(Debug)]
pub(crate) struct Told {
    /// The order's ticket.
    pub ticket: Ticket,
    /// What came of it.
    pub reply: Reply,
}

/// Runs the thread until every sender of orders is gone.
pub(crate) fn run(links: Links, orders: Receiver<Box<ExchangeOrder>>, replies: Sender<Told>) {
    let system = System::new("kspan-workers", DefaultRuntime);
    system.block_on(async move {
        let client = WorkerClient::new(EXCHANGE_TIMEOUT.as_duration())
            .await
            .with_link(move |worker| link(&links, worker));
        while let Some(order) = orders.recv().await {
            let client = client.clone();
            let replies = replies.clone();
            ntex::rt::spawn(async move {
                let reply = exchange(&client, &order).await;
                let ticket = order.ticket;
                // The ring has room for every worker's reply; a lost one would only leave its
                // worker unanswered until the shard is claimed anew.
                if replies.try_send(Told { ticket, reply }).is_err() {
                    log::error!("scheduler: the ring of replies is full");
                }
            });
        }
    });
}

async fn exchange(client: &WorkerClient, order: &ExchangeOrder) -> Reply {
    match client.exchange(&order.to, &order.body).await {
        Ok(ExchangeOutcome::Granted(report)) => Reply::Granted(report),
        Ok(ExchangeOutcome::Refused(report)) => Reply::Refused(report),
        Err(err) => {
            log::debug!("scheduler: worker {}: {err}", order.to.name);
            metrics::counter!("kspan_scheduler_exchanges_failed_total").increment(1);
            Reply::Failed {
                ambiguous: matches!(err, CallError::Lost(_) | CallError::Malformed(_)),
            }
        }
    }
}

fn link(links: &Links, worker: &WorkerAddress) -> Link {
    let site = Site {
        region: worker.region.clone(),
        data_centre: worker.data_centre.clone(),
    };
    Link {
        delay: links.delay(&site),
        cut: links.is_cut(&worker.name, &site),
    }
}
