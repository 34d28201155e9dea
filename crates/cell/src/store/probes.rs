//! Finds out when the store answers this host again.
//!
//! Load pattern: the store gives no answer for seconds while callers wait to come back. A request that
//! hangs on a connection of that time shows nothing when the store is back, so small requests are sent
//! at short intervals meanwhile, and the first answer lets all requests in progress try again.

use std::{rc::Rc, time::Duration};

use kspan_adapter::store::{self, Topic};

use super::{Shared, is_refusal};

/// Interval of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a probe. A slow store answers in 250 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of connections for probes, as many as are in flight at a time.
pub(super) const MAX_PROBE_CONNECTIONS: usize = 2;

impl Shared {
    /// Records that a direct attempt was not answered, and sends probes until one is.
    pub(super) fn record_direct_failure(self: &Rc<Self>) {
        self.direct_failed_at.set(Some(self.clock.now()));
        if !self.is_sending_probes.replace(true) {
            ntex::rt::spawn(send_probes(Rc::clone(self)));
        }
    }

    async fn probe(self: Rc<Self>) {
        let req = store::newest_request(Topic::Claims, None);
        let response = store::send(&self.probe_client, &self.addr, &req, PROBE_TIMEOUT).await;
        if response.is_ok_and(|response| !is_refusal(response.status)) {
            self.direct_failed_at.set(None);
            self.direct_answered.notify_waiters();
        }
    }
}

async fn send_probes(shared: Rc<Shared>) {
    while shared.direct_failed_at.get().is_some() {
        tokio::time::sleep(PROBE_INTERVAL).await;
        ntex::rt::spawn(Rc::clone(&shared).probe());
    }
    shared.is_sending_probes.set(false);
}
