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
    /// The process and its life.
    pub node: NodeId,
    /// Its program.
    pub role: Role,
    /// Where it stands.
    pub site: Site,
    /// Address of its wire endpoint, the same number for UDP and TCP.
    pub wire: SocketAddr,
    /// Address of its callers' HTTP endpoint.
    pub http: SocketAddr,
    /// Address of its admin HTTP endpoint.
    pub admin: SocketAddr,
}

/// A numbered list of the processes that take part.
///
/// The number is the log offset of the record that made the view, so that views are totally
/// ordered and unique without any agreement of our own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Log offset of the view's record; zero before any.
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

    /// Returns the member that is exactly `node`, if the view has it.
    pub fn member(&self, node: &NodeId) -> Option<&Member> {
        self.members.iter().find(|member| member.node == *node)
    }
}
