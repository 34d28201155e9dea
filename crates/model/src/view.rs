//! Membership views.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{NodeId, Site};

/// Which of the system's programs a member runs.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// The request router.
    #[display("router")]
    Router,
    /// The task scheduler.
    #[display("scheduler")]
    Scheduler,
}

/// One process in a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The process, with its incarnation.
    pub node: NodeId,
    /// Program that it runs.
    pub role: Role,
    /// Its region and data centre.
    pub site: Site,
    /// Address of its endpoint for messages between processes; UDP and TCP use the same port.
    pub wire: SocketAddr,
    /// Address of its HTTP endpoint for callers.
    pub http: SocketAddr,
    /// Address of its admin HTTP endpoint.
    pub admin: SocketAddr,
}

/// A numbered list of the processes that are members of the cell.
///
/// The number is the log offset of the record that declares the view. The log's order thus makes
/// views unique and totally ordered without a separate consensus protocol.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Log offset of the view's record; zero before the first view.
    pub number: u64,
    /// The members, sorted by node name.
    pub members: Vec<Member>,
}

impl View {
    /// Returns the members that run `role`.
    pub fn with_role(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(move |member| member.role == role)
    }

    /// Returns the member with the name and incarnation of `node`, if the view contains it.
    pub fn member(&self, node: &NodeId) -> Option<&Member> {
        self.members.iter().find(|member| member.node == *node)
    }
}
