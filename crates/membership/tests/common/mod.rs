//! Constructors of members and views for tests.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses only some of these"
)]

use std::sync::Arc;

use kspan_model::{Member, NodeId, Role, Site, View};

/// Creates a member whose address is derived from its name.
pub fn member(name: &str, incarnation: u64, role: Role, region: &str) -> Member {
    let host = name
        .bytes()
        .fold(0_u16, |sum, byte| sum.wrapping_mul(31) + u16::from(byte));
    let [a, b] = host.to_be_bytes();
    let addr = |port| std::net::SocketAddr::from(([127, 1, a, b], port));
    Member {
        node: NodeId::new(name, incarnation),
        role,
        site: Site::new(region, format!("{region}-1")),
        wire: addr(1),
        http: addr(2),
        admin: addr(3),
    }
}

pub fn router(name: &str, incarnation: u64) -> Member {
    member(name, incarnation, Role::Router, "north")
}

pub fn view(number: u64, members: Vec<Member>) -> Arc<View> {
    let mut members = members;
    members.sort_by(|a, b| a.node.cmp(&b.node));
    Arc::new(View { number, members })
}
