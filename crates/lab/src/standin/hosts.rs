//! Stand-in for the platform's host list, which is published with a delay.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use kspan_contract::protocol::hosts::{Host, HostList, HostState};
use ntex::http::{Request, Response, StatusCode};

use crate::{
    clock::{Micros, now},
    http::{self, ServerHandle, ThreadPool},
};

/// Default delay of the published list.
const DEFAULT_DELAY: Micros = Micros::from_millis(2_000);

struct State {
    /// Versions with the time of the change, oldest first; never empty.
    versions: VecDeque<(Micros, HostList)>,
    delay: Micros,
}

/// The host list stand-in.
#[derive(Clone)]
pub struct Hosts(Arc<Mutex<State>>);

impl Hosts {
    /// Creates a list whose initial hosts are visible immediately.
    pub fn new(hosts: Vec<Host>) -> Self {
        Self(Arc::new(Mutex::new(State {
            versions: VecDeque::from([(Micros::default(), HostList { hosts })]),
            delay: DEFAULT_DELAY,
        })))
    }

    /// Serves the host list over HTTP.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub fn serve(&self, pool: &ThreadPool, address: SocketAddr) -> io::Result<ServerHandle> {
        let hosts = self.clone();
        let answer = http::handler(move |req| answer(hosts.clone(), req));
        pool.serve(address, http::accept_all_connections(), answer)
    }

    /// Sets the delay of the published list.
    pub fn set_delay(&self, delay: Micros) {
        self.state().delay = delay;
    }

    /// Sets the state of a host; the change is published after the delay.
    pub fn set_state(&self, name: &str, new_state: HostState) {
        let mut state = self.state();
        let mut list = state.newest();
        if let Some(host) = list.hosts.iter_mut().find(|host| host.name == name) {
            host.state = new_state;
        }
        state.versions.push_back((now(), list));
    }

    /// Removes a host from the list; the change is published after the delay.
    pub fn remove(&self, name: &str) {
        let mut state = self.state();
        let mut list = state.newest();
        list.hosts.retain(|host| host.name != name);
        state.versions.push_back((now(), list));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0
            .lock()
            .expect("no thread panics while it holds the host list")
    }
}

impl State {
    fn newest(&self) -> HostList {
        self.versions
            .back()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    fn published(&mut self) -> HostList {
        let horizon = now().since(self.delay);
        while self.versions.len() > 1 && self.versions[1].0 <= horizon {
            self.versions.pop_front();
        }
        self.versions[0].1.clone()
    }
}

async fn answer(hosts: Hosts, req: Request) -> Response {
    if req.path() != "/v1/hosts" {
        return Response::new(StatusCode::NOT_FOUND);
    }
    let list = hosts.state().published();
    Response::build(StatusCode::OK).json(&list)
}
