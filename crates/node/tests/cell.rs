//! Nodes that form a cell, keep it through faults, and leave it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream, UdpSocket},
    sync::atomic::Ordering,
    time::Duration,
};

use common::{RunningNode, start_node, start_platform, wait_until};
use kspan_membership::guard::GUARD_TIME;
use kspan_model::{NodeId, Role};
use kspan_node::{Event, SendOutcome, settings::Faults};
use kspan_wire::{
    codec,
    message::{Envelope, MAX_DATAGRAM_BYTES, Message, PROTOCOL_VERSION, membership, tasks},
};

const REGIONS: [&str; 3] = ["north", "south", "west"];

fn role(i: u8) -> Role {
    if i.is_multiple_of(2) {
        Role::Router
    } else {
        Role::Scheduler
    }
}

#[test]
fn eighteen_processes_form_one_view_with_fewer_appends_than_processes() {
    let (shared, addr) = start_platform();
    let nodes: Vec<_> = (0..18)
        .map(|i| start_node(i, REGIONS[usize::from(i / 2) % 3], role(i), addr))
        .collect();
    let is_complete = |n: &common::RunningNode| n.node.view().members.len() == 18;
    let elapsed = wait_until("a view of all members", || nodes.iter().all(is_complete));
    println!("complete view after {elapsed:?}");
    let elapsed = wait_until("an active view", || {
        nodes.iter().all(|n| {
            let guard = n.node.guard();
            guard.may_act() && guard.activated() == n.node.view().number
        })
    });
    let appends = shared.appends.load(Ordering::SeqCst);
    println!("active after another {elapsed:?}, {appends} appends");
    assert!(
        appends < 18,
        "more appends than expected for 18 processes: {appends}"
    );
    let views: std::collections::BTreeSet<_> = nodes.iter().map(|n| n.node.view().number).collect();
    assert_eq!(views.len(), 1);
    for running in nodes {
        drop(running.events);
        std::thread::spawn(move || running.node.shutdown());
    }
}

/// Starts one router in each region, each on its own loopback address, and waits for their view.
fn start_three(first: u8, addr: SocketAddr) -> Vec<RunningNode> {
    let start = |i: u8| start_node(first + i, REGIONS[usize::from(i)], Role::Router, addr);
    let nodes: Vec<_> = (0..3).map(start).collect();
    wait_until("an active view of all members", || {
        nodes.iter().all(|n| {
            let view = n.node.view();
            view.members.len() == 3 && n.node.guard().activated() == view.number
        })
    });
    nodes
}

fn all_links_cut() -> Faults {
    Faults {
        cut_log: true,
        cut_names: (0..255)
            .map(|i| format!("node-{i:02}").as_str().into())
            .collect(),
        ..Faults::default()
    }
}

#[test]
fn a_shut_down_process_leaves_the_view_and_rejoins_with_a_new_incarnation() {
    let (_shared, addr) = start_platform();
    let mut nodes = start_three(60, addr);
    let stopped = nodes.pop().unwrap();
    let id = stopped.node.id().clone();
    stopped.node.shutdown();
    wait_until("two members", || {
        nodes.iter().all(|n| n.node.view().members.len() == 2)
    });
    let restarted = start_node(62, REGIONS[2], Role::Router, addr);
    wait_until("three members", || {
        nodes.iter().all(|n| n.node.view().members.len() == 3)
    });
    assert_eq!(restarted.node.id().name, id.name);
    assert!(restarted.node.id().incarnation > id.incarnation);
    assert!(nodes[0].node.view().member(&id).is_none());
}

#[test]
fn all_members_may_act_during_a_log_outage() {
    let (shared, addr) = start_platform();
    let nodes = start_three(64, addr);
    shared.down.store(true, Ordering::SeqCst);
    // By now reads of the log before the outage have expired as evidence; only acknowledgements
    // of other members count.
    std::thread::sleep(GUARD_TIME.as_duration() * 2);
    wait_until("all may act", || {
        nodes.iter().all(|n| n.node.guard().may_act())
    });
    assert!(shared.down.load(Ordering::SeqCst));
}

#[test]
fn an_isolated_process_may_not_act_until_its_links_are_restored() {
    let (shared, addr) = start_platform();
    let nodes = start_three(68, addr);
    nodes[0].node.link_faults().set(all_links_cut());
    wait_until("the isolated process to stop acting", || {
        !nodes[0].node.guard().may_act()
    });
    let others = &nodes[1..];
    assert!(others.iter().all(|n| n.node.guard().may_act()));
    nodes[0].node.link_faults().set(Faults::default());
    wait_until("the process to act again", || {
        nodes[0].node.guard().may_act()
    });
    let members = |n: &RunningNode| n.node.view().members.len();
    wait_until("a view of all members", || {
        nodes.iter().all(|n| members(n) == 3)
    });
    println!("{} appends", shared.appends.load(Ordering::SeqCst));
}

#[test]
fn members_exchange_messages_and_datagrams_of_non_members_are_dropped() {
    let (_shared, addr) = start_platform();
    let nodes = start_three(72, addr);
    let [a, b] = [&nodes[0].node, &nodes[1].node];
    let message = || {
        Message::Tasks(tasks::Message::RunnerTableVersion(
            tasks::RunnerTableVersion {
                shard: "north-1".into(),
                fence: kspan_model::Fence::new(1, 0),
                version: 7,
            },
        ))
    };
    assert_eq!(a.send(b.id(), message()), SendOutcome::Queued);
    assert_eq!(
        a.send(&NodeId::new("nobody", 1), message()),
        SendOutcome::NotMember
    );
    wait_until("the message", || {
        std::iter::from_fn(|| nodes[1].events.try_recv()).any(|event| match event {
            Event::Message { from, message: got } => from == *a.id() && got == message(),
            _ => false,
        })
    });
    let before = (b.view().number, dropped(b.settings().listen.admin));
    let to = b.settings().listen.wire;
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut stray = Envelope {
        version: PROTOCOL_VERSION,
        cell: "test".into(),
        from: a.id().clone(),
        to: b.id().clone(),
        message: Message::Membership(membership::Message::Leave),
    };
    // A member's name from an unknown address, an unsupported version, and malformed bytes.
    let unknown_address = codec::encode(&stray, MAX_DATAGRAM_BYTES).unwrap();
    stray.version += 1;
    let other_version = codec::encode(&stray, MAX_DATAGRAM_BYTES).unwrap();
    for datagram in [&unknown_address[..], &other_version, b"garbage"] {
        socket.send_to(datagram, to).unwrap();
    }
    wait_until("three drops counted", || {
        dropped(b.settings().listen.admin) >= before.1 + 3
    });
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(b.view().number, before.0);
}

/// Sums the counters of dropped messages; all nodes of this test process share them.
fn dropped(admin: SocketAddr) -> u64 {
    let text = get(admin, "/metrics");
    let lines = text.lines().filter(|line| {
        line.starts_with("kspan_messages_dropped_total{reason=\"not-member\"}")
            || line.starts_with("kspan_messages_dropped_total{reason=\"malformed\"}")
    });
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

fn get(admin: SocketAddr, path: &str) -> String {
    let mut conn = TcpStream::connect(admin).unwrap();
    let req = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    conn.write_all(req.as_bytes()).unwrap();
    let mut text = String::new();
    conn.read_to_string(&mut text).unwrap();
    text
}

#[test]
fn health_readiness_and_dump_reflect_the_state_of_the_process() {
    let (shared, addr) = start_platform();
    shared.down.store(true, Ordering::SeqCst);
    let running = start_node(80, "north", Role::Scheduler, addr);
    let node = &running.node;
    let admin = node.settings().listen.admin;
    node.set_ready(true);
    node.set_dump(|| serde_json::json!({"queue": 3}));
    assert!(get(admin, "/healthz").contains("200 OK"));
    assert!(get(admin, "/readyz").contains("503"));
    shared.down.store(false, Ordering::SeqCst);
    wait_until("ready", || get(admin, "/readyz").contains("200 OK"));
    let dump = get(admin, "/dump");
    assert!(dump.contains("\"queue\":3") && dump.contains(&node.id().to_string()));
    node.set_ready(false);
    assert!(get(admin, "/readyz").contains("the program is not ready"));
}
