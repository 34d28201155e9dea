//! The state of the request thread, and how effects of the engine are carried out.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::{Arc, Mutex},
};

use kspan_membership::ownership;
use kspan_model::{Millis, Name, NodeId, RequestId, UnixMillis, document::Document};
use kspan_node::{Node, Sent};
use kspan_routing::engine::{
    Config, Engine,
    effect::{Dispatch, DispatchId, DispatchOutcome, Effect, HealthCheck, Refusal},
};
use kspan_wire::message::{Message, routing::ClaimDecision};
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};

use crate::{tally::Tally, upstream::Upstreams};

/// Whether a request that waits may be dispatched.
#[derive(Debug)]
pub(crate) enum Decision {
    /// It may, with this slot.
    Start(Dispatch),
    /// It may not.
    Refuse(Refusal),
}

/// A verdict with the home that gave it.
#[derive(Debug)]
pub(crate) struct Ruled {
    pub(crate) home: NodeId,
    pub(crate) ruling: ClaimDecision,
}

/// The state of the request thread.
pub(crate) struct App {
    pub(crate) node: Node,
    pub(crate) upstreams: Upstreams,
    pub(crate) tally: RefCell<Tally>,
    /// Whether this router has said that it is ready.
    pub(crate) ready: Cell<bool>,
    /// Whether a planned stop has begun.
    pub(crate) stopping: Cell<bool>,
    pub(crate) document: RefCell<Arc<Document>>,
    pub(crate) dump: Arc<Mutex<serde_json::Value>>,
    engine: RefCell<Engine>,
    effects: RefCell<VecDeque<Effect>>,
    decisions: RefCell<FxHashMap<RequestId, oneshot::Sender<Decision>>>,
    rulings: RefCell<FxHashMap<RequestId, mpsc::Sender<Ruled>>>,
    /// High half of request ids: unlike in every life of every router.
    id_base: u128,
    ids: Cell<u64>,
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
        let shared = Arc::clone(&dump);
        node.set_dump(move || shared.lock().map(|value| value.clone()).unwrap_or_default());
        Rc::new(Self {
            upstreams: Upstreams::new(node.links().clone()),
            tally: RefCell::default(),
            ready: Cell::new(false),
            stopping: Cell::new(false),
            document: RefCell::default(),
            dump,
            engine: RefCell::new(Engine::new(cfg)),
            effects: RefCell::default(),
            decisions: RefCell::default(),
            rulings: RefCell::default(),
            id_base: u128::from(rand::random::<u64>()) << 64,
            ids: Cell::new(0),
            node,
        })
    }

    /// Returns a new request id.
    pub(crate) fn next_id(&self) -> RequestId {
        let id = self.ids.get() + 1;
        self.ids.set(id);
        RequestId(self.id_base | u128::from(id))
    }

    /// Returns the time on the process's own clock.
    pub(crate) fn now(&self) -> Millis {
        self.node.now()
    }

    /// Reads the engine.
    pub(crate) fn query<T>(&self, f: impl FnOnce(&Engine) -> T) -> T {
        f(&self.engine.borrow())
    }

    /// Changes the engine and carries out what it wants done.
    pub(crate) fn change<T>(
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
        self.carry_out();
        result
    }

    /// Ends a dispatch.
    pub(crate) fn finish(self: &Rc<Self>, ticket: DispatchId, finish: DispatchOutcome) {
        self.change(|engine, now, _| engine.finish_dispatch(ticket, finish, now));
    }

    /// Registers a request that waits for a decision.
    pub(crate) fn await_decision(&self, request: RequestId) -> oneshot::Receiver<Decision> {
        let (tx, rx) = oneshot::channel();
        self.decisions.borrow_mut().insert(request, tx);
        rx
    }

    /// Registers a request that waits for verdicts on its claim.
    pub(crate) fn await_rulings(&self, request: RequestId) -> mpsc::Receiver<Ruled> {
        // One that says to wait, and the final one.
        const VERDICTS: usize = 2;
        let (tx, rx) = mpsc::channel(VERDICTS);
        self.rulings.borrow_mut().insert(request, tx);
        rx
    }

    /// Forgets a request's claim.
    pub(crate) fn forget_rulings(&self, request: RequestId) {
        self.rulings.borrow_mut().remove(&request);
    }

    // Effects are taken one at a time because carrying one out can cause more.
    fn carry_out(self: &Rc<Self>) {
        loop {
            let Some(effect) = self.effects.borrow_mut().pop_front() else {
                return;
            };
            match effect {
                Effect::Dispatch(start) => self.decide(start.request, Decision::Start(start)),
                Effect::Refuse { request, refusal } => {
                    self.decide(request, Decision::Refuse(refusal));
                }
                Effect::Send { to, message } => self.send(&to, message),
                Effect::CheckHealth(read) => self.read_health(read),
                Effect::ClaimDecided {
                    request,
                    home,
                    ruling,
                } => {
                    let waiting = self.rulings.borrow().get(&request).cloned();
                    // A request that waits no more has given its claim up.
                    let _ = waiting.map(|tx| tx.try_send(Ruled { home, ruling }));
                }
            }
        }
    }

    fn decide(&self, request: RequestId, decision: Decision) {
        let waiting = self.decisions.borrow_mut().remove(&request);
        let refused = match waiting {
            Some(tx) => tx.send(decision).err(),
            None => Some(decision),
        };
        if let Some(Decision::Start(start)) = refused {
            let mut engine = self.engine.borrow_mut();
            engine.finish_dispatch(start.id, DispatchOutcome::Unused, self.now());
            self.effects.borrow_mut().extend(engine.take_effects());
        }
    }

    fn send(&self, to: &NodeId, message: kspan_wire::message::routing::Message) {
        if self.node.send(to, Message::Routing(message)) == Sent::Full {
            metrics::counter!("kspan_router_messages_dropped_total").increment(1);
        }
    }

    fn read_health(self: &Rc<Self>, read: HealthCheck) {
        let app = Rc::clone(self);
        ntex::rt::spawn(async move {
            let health = app.upstreams.health(&read).await;
            app.change(|engine, now, _| engine.finish_health_check(&read, health, now));
        });
    }
}

/// Returns the region that a key names: the part before its first colon.
fn key_region(key: &str) -> Option<&str> {
    key.split_once(':').map(|(region, _)| region)
}

/// Returns the names of hosts that take no new work.
pub(crate) fn leaving_hosts(node: &Node) -> rustc_hash::FxHashSet<Name> {
    use kspan_contract::protocol::hosts::HostState;
    let listed = node.hosts();
    let leaving = listed
        .hosts
        .iter()
        .filter(|host| host.state == HostState::Leaving);
    let leaving = leaving.map(|host| Name::new(&host.name));
    leaving.chain(node.fold().drains.iter().cloned()).collect()
}
