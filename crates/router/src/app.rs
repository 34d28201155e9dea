//! The state of the request thread, and the execution of the routing engine's effects.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::{Arc, Mutex},
};

use kspan_membership::ownership;
use kspan_model::{Millis, Name, NodeId, RequestId, UnixMillis, document::Document};
use kspan_node::{Node, SendOutcome};
use kspan_routing::engine::{
    Config, Engine,
    effect::{Dispatch, DispatchId, DispatchOutcome, Effect, HealthCheck, Refusal},
};
use kspan_wire::message::{Message, routing::ClaimDecision};
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};

use crate::{stats::RequestStats, upstream::Upstreams};

/// Admission decision on a waiting request.
#[derive(Debug)]
pub(crate) enum Admission {
    /// The request may be dispatched on this slot.
    Dispatch(Dispatch),
    /// The request is refused.
    Refuse(Refusal),
}

/// A decision on a claim, with the home that made it.
#[derive(Debug)]
pub(crate) struct DecidedClaim {
    pub(crate) home: NodeId,
    pub(crate) decision: ClaimDecision,
}

/// The state of the request thread.
pub(crate) struct App {
    pub(crate) node: Node,
    pub(crate) upstreams: Upstreams,
    pub(crate) stats: RefCell<RequestStats>,
    /// Whether this router has reported that it is ready.
    pub(crate) ready: Cell<bool>,
    /// Whether graceful shutdown has begun.
    pub(crate) stopping: Cell<bool>,
    pub(crate) document: RefCell<Arc<Document>>,
    pub(crate) dump: Arc<Mutex<serde_json::Value>>,
    engine: RefCell<Engine>,
    effects: RefCell<VecDeque<Effect>>,
    admission_waiters: RefCell<FxHashMap<RequestId, oneshot::Sender<Admission>>>,
    claim_waiters: RefCell<FxHashMap<RequestId, mpsc::Sender<DecidedClaim>>>,
    /// High half of request ids, drawn at random so that it differs between routers and between
    /// incarnations of a router.
    id_base: u128,
    last_id: Cell<u64>,
}

impl App {
    /// Creates the state.
    pub(crate) fn new(node: Node) -> Rc<Self> {
        let cfg = Config {
            me: node.id().clone(),
            site: node.settings().site(),
            runner_home: Box::new(|view, task, site| {
                let ranked = ownership::rank_runner(view, &task, site);
                ranked.first().map(|member| member.node.clone())
            }),
            key_home: Box::new(|view, key| {
                let home = ownership::home_of_key(view, key, key_region(key));
                home.map(|member| member.node.clone())
            }),
            seed: rand::random(),
        };
        let dump = Arc::new(Mutex::new(serde_json::Value::Null));
        let node_dump = Arc::clone(&dump);
        node.set_dump(move || {
            node_dump
                .lock()
                .map(|value| value.clone())
                .unwrap_or_default()
        });
        Rc::new(Self {
            upstreams: Upstreams::new(node.link_faults().clone()),
            stats: RefCell::default(),
            ready: Cell::new(false),
            stopping: Cell::new(false),
            document: RefCell::default(),
            dump,
            engine: RefCell::new(Engine::new(cfg)),
            effects: RefCell::default(),
            admission_waiters: RefCell::default(),
            claim_waiters: RefCell::default(),
            id_base: u128::from(rand::random::<u64>()) << 64,
            last_id: Cell::new(0),
            node,
        })
    }

    /// Returns a new request id.
    pub(crate) fn next_request_id(&self) -> RequestId {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        RequestId(self.id_base | u128::from(id))
    }

    /// Returns the time on the clock of the node.
    pub(crate) fn now(&self) -> Millis {
        self.node.now()
    }

    /// Runs `f` with shared access to the engine.
    pub(crate) fn read_engine<T>(&self, f: impl FnOnce(&Engine) -> T) -> T {
        f(&self.engine.borrow())
    }

    /// Runs `f` with exclusive access to the engine, and then executes the engine's effects.
    pub(crate) fn update_engine<T>(
        self: &Rc<Self>,
        f: impl FnOnce(&mut Engine, Millis, UnixMillis) -> T,
    ) -> T {
        let (now, unix) = (self.now(), self.node.unix_now());
        let result = {
            let mut engine = self.engine.borrow_mut();
            let result = f(&mut engine, now, unix);
            self.effects.borrow_mut().extend(engine.take_effects());
            result
        };
        self.run_effects();
        result
    }

    /// Reports the outcome of a dispatch to the engine.
    pub(crate) fn finish_dispatch(self: &Rc<Self>, id: DispatchId, outcome: DispatchOutcome) {
        self.update_engine(|engine, now, _| engine.finish_dispatch(id, outcome, now));
    }

    /// Registers a request that waits for admission.
    pub(crate) fn register_admission(&self, request: RequestId) -> oneshot::Receiver<Admission> {
        let (tx, rx) = oneshot::channel();
        self.admission_waiters.borrow_mut().insert(request, tx);
        rx
    }

    /// Registers a request that waits for decisions on its claim.
    pub(crate) fn register_claim(&self, request: RequestId) -> mpsc::Receiver<DecidedClaim> {
        // At most one interim decision to wait, and the final decision.
        const MAX_DECISIONS: usize = 2;
        let (tx, rx) = mpsc::channel(MAX_DECISIONS);
        self.claim_waiters.borrow_mut().insert(request, tx);
        rx
    }

    /// Unregisters a request that waited for decisions on its claim.
    pub(crate) fn unregister_claim(&self, request: RequestId) {
        self.claim_waiters.borrow_mut().remove(&request);
    }

    /// Executes the pending effects. They are popped one at a time because executing one can queue
    /// further ones.
    fn run_effects(self: &Rc<Self>) {
        loop {
            let Some(effect) = self.effects.borrow_mut().pop_front() else {
                return;
            };
            match effect {
                Effect::Dispatch(dispatch) => {
                    self.deliver_admission(dispatch.request, Admission::Dispatch(dispatch));
                }
                Effect::Refuse { request, refusal } => {
                    self.deliver_admission(request, Admission::Refuse(refusal));
                }
                Effect::Send { to, message } => self.send(&to, message),
                Effect::CheckHealth(check) => self.check_health(check),
                Effect::ClaimDecided {
                    request,
                    home,
                    decision,
                } => {
                    let waiter = self.claim_waiters.borrow().get(&request).cloned();
                    // A request without a waiter has abandoned its claim.
                    let _ = waiter.map(|tx| tx.try_send(DecidedClaim { home, decision }));
                }
            }
        }
    }

    /// Passes an admission decision to the request that waits for it. If the request no longer
    /// waits, its slot is returned to the engine.
    fn deliver_admission(&self, request: RequestId, admission: Admission) {
        let waiter = self.admission_waiters.borrow_mut().remove(&request);
        let undelivered = match waiter {
            Some(tx) => tx.send(admission).err(),
            None => Some(admission),
        };
        if let Some(Admission::Dispatch(dispatch)) = undelivered {
            let mut engine = self.engine.borrow_mut();
            engine.finish_dispatch(dispatch.id, DispatchOutcome::Unused, self.now());
            self.effects.borrow_mut().extend(engine.take_effects());
        }
    }

    fn send(&self, to: &NodeId, message: kspan_wire::message::routing::Message) {
        if self.node.send(to, Message::Routing(message)) == SendOutcome::QueueFull {
            metrics::counter!("kspan_router_messages_dropped_total").increment(1);
        }
    }

    fn check_health(self: &Rc<Self>, check: HealthCheck) {
        let app = Rc::clone(self);
        ntex::rt::spawn(async move {
            let health = app.upstreams.check_health(&check).await;
            app.update_engine(|engine, now, _| engine.finish_health_check(&check, health, now));
        });
    }
}

/// Returns the region that a key names, which is the part before its first colon.
fn key_region(key: &str) -> Option<&str> {
    key.split_once(':').map(|(region, _)| region)
}

/// Returns the names of hosts that accept no new work: those listed as leaving, and those drained
/// by an operator.
pub(crate) fn leaving_hosts(node: &Node) -> rustc_hash::FxHashSet<Name> {
    use kspan_contract::protocol::hosts::HostState;
    let list = node.hosts();
    let leaving = list
        .hosts
        .iter()
        .filter(|host| host.state == HostState::Leaving);
    let leaving = leaving.map(|host| Name::new(&host.name));
    leaving.chain(node.state().drains.iter().cloned()).collect()
}
