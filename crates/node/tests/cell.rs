//! Nodes that form, keep and leave a cell.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream, UdpSocket},
    sync::atomic::Ordering,
    time::Duration,
};

use common::{Running, platform, start, wait_until};
use kspan_membership::guard::GUARD_TIME;
use kspan_model::{NodeId, Role};
use kspan_node::{Event, Sent, settings::Faults};
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
fn eighteen_processes_form_one_view_with_few_appends() {
    let (shared, addr) = platform();
    let nodes: Vec<_> = (0..18)
        .map(|i| start(i, REGIONS[usize::from(i / 2) % 3], role(i), addr))
        .collect();
    let whole = |n: &common::Running| n.node.view().members.len() == 18;
    let took = wait_until("a whole view", || nodes.iter().all(whole));
    println!("whole view after {took:?}");
    let took = wait_until("an active view", || {
        nodes.iter().all(|n| {
            let guard = n.node.guard();
            guard.may_act() && guard.activated() == n.node.view().number
        })
    });
    let appends = shared.appends.load(Ordering::SeqCst);
    println!("active after another {took:?}, {appends} appends");
    assert!(
        appends < 18,
        "one append for each process at most: {appends}"
    );
    let views: std::collections::BTreeSet<_> = nodes.iter().map(|n| n.node.view().number).collect();
    assert_eq!(views.len(), 1);
    for running in nodes {
        drop(running.events);
        std::thread::spawn(move || running.node.finish());
    }
}

/// Starts one router in each region on its own loopback address.
fn three(first: u8, addr: SocketAddr) -> Vec<Running> {
    let start = |i: u8| start(first + i, REGIONS[usize::from(i)], Role::Router, addr);
    let nodes: Vec<_> = (0..3).map(start).collect();
    wait_until("a whole and active view", || {
        nodes.iter().all(|n| {
            let view = n.node.view();
            view.members.len() == 3 && n.node.guard().activated() == view.number
        })
    });
    nodes
}

fn cut_all() -> Faults {
    Faults {
        cut_log: true,
        cut_names: (0..255)
            .map(|i| format!("node-{i:02}").as_str().into())
            .collect(),
        ..Faults::default()
    }
}

#[test]
fn a_planned_leave_needs_no_suspicion_and_a_new_life_takes_the_place() {
    let (_shared, addr) = platform();
    let mut nodes = three(60, addr);
    let gone = nodes.pop().unwrap();
    let id = gone.node.id().clone();
    gone.node.finish();
    wait_until("two members", || {
        nodes.iter().all(|n| n.node.view().members.len() == 2)
    });
    let back = start(62, REGIONS[2], Role::Router, addr);
    wait_until("three members", || {
        nodes.iter().all(|n| n.node.view().members.len() == 3)
    });
    assert_eq!(back.node.id().name, id.name);
    assert!(back.node.id().incarnation > id.incarnation);
    assert!(nodes[0].node.view().member(&id).is_none());
}

#[test]
fn a_log_outage_lets_every_member_go_on() {
    let (shared, addr) = platform();
    let nodes = three(64, addr);
    shared.down.store(true, Ordering::SeqCst);
    // What was read of the log proves nothing any more; only the others' answers do.
    std::thread::sleep(GUARD_TIME.as_duration() * 2);
    wait_until("all may act", || {
        nodes.iter().all(|n| n.node.guard().may_act())
    });
    assert!(shared.down.load(Ordering::SeqCst));
}

#[test]
fn a_process_that_is_cut_off_stops_acting_and_comes_back() {
    let (shared, addr) = platform();
    let nodes = three(68, addr);
    nodes[0].node.links().set(cut_all());
    wait_until("the cut-off process stops", || {
        !nodes[0].node.guard().may_act()
    });
    let others = &nodes[1..];
    assert!(others.iter().all(|n| n.node.guard().may_act()));
    nodes[0].node.links().set(Faults::default());
    wait_until("it acts again", || nodes[0].node.guard().may_act());
    let members = |n: &Running| n.node.view().members.len();
    wait_until("a whole view", || nodes.iter().all(|n| members(n) == 3));
    println!("{} appends", shared.appends.load(Ordering::SeqCst));
}

#[test]
fn members_exchange_messages_and_others_change_nothing() {
    let (_shared, addr) = platform();
    let nodes = three(72, addr);
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
    assert_eq!(a.send(b.id(), message()), Sent::Queued);
    assert_eq!(
        a.send(&NodeId::new("nobody", 1), message()),
        Sent::NotMember
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
    // A member's name from a stranger's address, another version, and garbage.
    let from_stranger = codec::encode(&stray, MAX_DATAGRAM_BYTES).unwrap();
    stray.version += 1;
    let other_version = codec::encode(&stray, MAX_DATAGRAM_BYTES).unwrap();
    for datagram in [&from_stranger[..], &other_version, b"garbage"] {
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
fn health_readiness_and_the_dump_tell_the_truth() {
    let (shared, addr) = platform();
    shared.down.store(true, Ordering::SeqCst);
    let running = start(80, "north", Role::Scheduler, addr);
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
