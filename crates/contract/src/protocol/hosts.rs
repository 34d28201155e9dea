//! The host list.
//!
//! `GET /v1/hosts` answers [`HostList`]. The list lags behind the truth by seconds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What a host is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostKind {
    /// Runs the system's own processes.
    Entry,
    /// Runs tasks.
    Worker,
}

/// Whether a host is staying.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In use.
    Live,
    /// Leaving: it takes no new work.
    Leaving,
}

/// One host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Unique name.
    pub name: String,
    /// What it is for.
    pub kind: HostKind,
    /// Whether it is staying.
    pub state: HostState,
    /// Region.
    pub region: String,
    /// Data centre.
    pub data_centre: String,
    /// Rack.
    pub rack: String,
    /// Address of a worker's control endpoint; of an entry host, its IP with port zero.
    pub address: SocketAddr,
}

/// All hosts, as of some seconds ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<Host>,
}
