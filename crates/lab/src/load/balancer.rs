//! The platform's balancer in front of the entry hosts: picks a host that says it is ready.

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

use crate::{process::Process, stage::is_ready};

/// How often the balancer asks for readiness.
const PERIOD: Duration = Duration::from_millis(250);

/// One process behind the balancer.
#[derive(Debug)]
pub struct Target {
    /// Its name.
    pub name: Name,
    /// Region.
    pub region: Name,
    /// Callers' HTTP.
    pub http: SocketAddr,
    admin: SocketAddr,
    ready: AtomicBool,
}

/// Picks targets of one role.
#[derive(Clone)]
pub struct Balancer {
    targets: Arc<RwLock<Vec<Arc<Target>>>>,
    turn: Arc<AtomicUsize>,
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
            turn: Arc::default(),
        }
    }

    /// Asks every target for its readiness, for as long as the future is polled.
    pub async fn watch(self, client: Client) {
        loop {
            for target in self.targets() {
                let client = client.clone();
                ntex::rt::spawn(async move {
                    let asked = tokio::time::timeout(PERIOD * 2, is_ready(&client, target.admin));
                    let ready = asked.await.unwrap_or(false);
                    target.ready.store(ready, Ordering::Release);
                });
            }
            tokio::time::sleep(PERIOD).await;
        }
    }

    /// Picks a ready target of the region, else any ready one, else any; never `avoid` where
    /// there is another.
    ///
    /// # Panics
    ///
    /// Panics where the balancer has no targets at all.
    pub fn pick(&self, region: &Name, avoid: Option<&Name>) -> Arc<Target> {
        let targets = self.targets();
        let ready = |target: &&Arc<Target>| target.ready.load(Ordering::Acquire);
        let other = |target: &&Arc<Target>| Some(&target.name) != avoid;
        let near = |target: &&Arc<Target>| target.region == *region;
        let choices = [
            targets
                .iter()
                .filter(ready)
                .filter(other)
                .filter(near)
                .collect::<Vec<_>>(),
            targets.iter().filter(ready).filter(other).collect(),
            targets.iter().filter(other).collect(),
            targets.iter().collect(),
        ];
        let choice = choices
            .iter()
            .find(|choice| !choice.is_empty())
            .expect("a cell has entry hosts");
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        choice[turn % choice.len()].clone()
    }

    fn targets(&self) -> Vec<Arc<Target>> {
        self.targets
            .read()
            .expect("no user of the balancer panics")
            .clone()
    }
}
