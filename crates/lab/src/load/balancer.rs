//! A stand-in for the platform's load balancer, which selects entry hosts that are ready.

use std::{
    net::SocketAddr,
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use kspan_model::{Name, Role};
use ntex::client::Client;

use crate::{process::Process, testbed::is_ready};

/// Interval between readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A process behind the balancer.
#[derive(Debug)]
pub struct Target {
    /// Name of the process.
    pub name: Name,
    /// Region of the process.
    pub region: Name,
    /// Address for callers' HTTP requests.
    pub http: SocketAddr,
    admin: SocketAddr,
    ready: AtomicBool,
}

/// Selects targets of one role.
#[derive(Clone)]
pub struct Balancer {
    targets: Arc<RwLock<Vec<Arc<Target>>>>,
    next: Arc<AtomicUsize>,
}

impl Balancer {
    /// Creates a balancer over the processes of `role`.
    pub fn new(processes: &[Process], role: Role) -> Self {
        let targets = processes
            .iter()
            .filter(|process| process.role == role)
            .map(|process| {
                Arc::new(Target {
                    name: process.name().clone(),
                    region: process.cfg.region.clone(),
                    http: process.cfg.listen.http,
                    admin: process.cfg.listen.admin,
                    ready: AtomicBool::new(true),
                })
            })
            .collect();
        Self {
            targets: Arc::new(RwLock::new(targets)),
            next: Arc::default(),
        }
    }

    /// Checks the readiness of every target periodically until the future is dropped.
    pub async fn poll_readiness(self, client: Client) {
        loop {
            for target in self.targets() {
                let client = client.clone();
                ntex::rt::spawn(async move {
                    let response =
                        tokio::time::timeout(POLL_INTERVAL * 2, is_ready(&client, target.admin));
                    let ready = response.await.unwrap_or(false);
                    target.ready.store(ready, Ordering::Release);
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Selects a ready target in the region, otherwise any ready one, otherwise any one.
    ///
    /// `avoid` is selected only if there is no other target.
    ///
    /// # Panics
    ///
    /// Panics if the balancer has no targets.
    pub fn select(&self, region: &Name, avoid: Option<&Name>) -> Arc<Target> {
        let targets = self.targets();
        let ready = |target: &&Arc<Target>| target.ready.load(Ordering::Acquire);
        let not_avoided = |target: &&Arc<Target>| Some(&target.name) != avoid;
        let in_region = |target: &&Arc<Target>| target.region == *region;
        let candidate_sets = [
            targets
                .iter()
                .filter(ready)
                .filter(not_avoided)
                .filter(in_region)
                .collect::<Vec<_>>(),
            targets.iter().filter(ready).filter(not_avoided).collect(),
            targets.iter().filter(not_avoided).collect(),
            targets.iter().collect(),
        ];
        let candidates = candidate_sets
            .iter()
            .find(|candidates| !candidates.is_empty())
            .expect("a balancer has at least one target");
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        candidates[next % candidates.len()].clone()
    }

    fn targets(&self) -> Vec<Arc<Target>> {
        self.targets
            .read()
            .expect("no thread panics while it holds the targets")
            .clone()
    }
}
