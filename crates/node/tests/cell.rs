//! Nodes that form, keep and leave a cell.

mod common;

use std::sync::atomic::Ordering;

use common::{platform, start, wait_until};
use kspan_model::Role;

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
