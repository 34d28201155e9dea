//! Host list.
//!
//! `GET /v1/hosts` returns [`HostList`]. The list is eventually consistent and lags by seconds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostKind {
    /// Runs the system's own processes.
    Entry,
    /// Runs tasks.
    Worker,
}

/// Lifecycle state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In use.
    Live,
    /// Draining before removal; accepts no new work.
    Leaving,
}

/// A host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Unique name.
    pub name: String,
    /// Role.
    pub kind: HostKind,
    /// Lifecycle state.
    pub state: HostState,
    /// Region.
    pub region: String,
    /// Data centre.
    pub data_centre: String,
    /// Rack.
    pub rack: String,
    /// Address of a worker's control endpoint. For an entry host, its IP address with port 0.
    pub address: SocketAddr,
}

/// All hosts, as of a few seconds ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<Host>,
}
