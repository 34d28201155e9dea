//! Starts without an answer where runners need an approval: which incarnation may carry them out, and how long their
//! tasks wait.

mod one_cell;

use kspan_jobs::{
    config::{ApprovalPolicy, CellConfig},
    engine::{ApprovalRequest, Order, StartOrder},
    runner::{InventoryOutcome, StartOutcome},
};
use kspan_model::{Millis, Name};
use one_cell::*;

/// Longest time for which a lease of the known incarnation lasts after its latest answer, in ms, with the margins.
const LONGEST_LEASE_MS: u64 = 7_000;

/// Longest time for which an incarnation that nobody has heard may have a run after the latest call to it, in ms.
const LONGEST_DOUBT_MS: u64 = 22_600;

/// Whether an inventory call was sent, and answered, after the approval that a start uses came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeardSince {
    /// It was.
    Approval,
    /// The latest answered call was sent before.
    Before,
}

fn approved_config() -> CellConfig {
    let mut config = config();
    config.queues[0].policy.approval = Some(ApprovalPolicy {
        base_ms: 10.0,
        per_runner_ms: 1.0,
        validity: Millis(2_000),
    });
    config
}

/// Approves one runner that a request names.
fn approve(cell: &mut Cell, req: &ApprovalRequest, id: &str) {
    let rows = [(Name::new(id), Name::new("ticket"))];
    let response = Some((&rows[..], Millis(2_000)));
    cell.engine
        .record_approvals(Millis(cell.now), req, response);
}

/// Runs passes until a start is ordered, and approves the runners named `ids` meanwhile.
fn order_start(cell: &mut Cell, ids: &[&str]) -> Option<StartOrder> {
    cell.engine.schedule(Millis(cell.now));
    let mut start = None;
    for order in cell.engine.take_orders() {
        match order {
            Order::RequestApprovals(req) => {
                let named = ids.iter().find(|id| {
                    let mut named = req.runners.iter();
                    named.any(|runner_ix| cell.engine.runner(*runner_ix).id == Name::new(id))
                });
                if let Some(id) = named {
                    approve(cell, &req, id);
                }
            }
            Order::Start(order) => start = Some(order),
            Order::Stop(_) | Order::Throttle(_) => {}
        }
    }
    start
}

/// Creates a cell of two runners, of which the first one was sent the start of a task that needs an approval, and did
/// not answer it.
fn cell_with_doubt(config: CellConfig, heard_since: HeardSince) -> Cell {
    let mut cell = Cell::with_runners(config, ["w0", "w1"].map(entry));
    cell.engine.set_approval_hosts(&[Name::new("h1")]);
    cell.report_ends(0, Vec::new());
    cell.submit();
    let start = (0..5).find_map(|_| {
        let start = order_start(&mut cell, &["w0"]);
        if start.is_none() && heard_since == HeardSince::Approval {
            cell.report_ends(0, Vec::new());
        }
        start
    });
    let start = start.expect("the task starts");
    assert!(cell.engine.begin_start(&start));
    let (now, runner_ix) = (Millis(cell.now), start.runner_ix);
    let in_doubt = StartOutcome::InDoubt;
    cell.engine
        .record_start_outcome(now, runner_ix, start.task, start.run, in_doubt);
    cell
}

/// Returns the time until the task starts on another runner while the first one is silent, in ms.
fn time_until_start_elsewhere(cell: &mut Cell) -> u64 {
    let other = cell.engine.live_runners().find(|ix| {
        let id = &cell.engine.runner(*ix).id;
        *id == Name::new("w1")
    });
    let other = other.expect("a second runner").0;
    let silent = 1 - other;
    let start = (100..=30_000).step_by(100).find(|_| {
        cell.complete_inventory_call(silent, &InventoryOutcome::NoResponse);
        cell.report_ends(other, Vec::new());
        cell.advance(100);
        cell.commit();
        order_start(cell, &["w1"]).is_some()
    });
    start.expect("the task starts")
}

/// Guards against a job with nothing running at the end of a day: a start was sent to a runner just as it was lost for
/// good, and its task waits for an incarnation that can't carry it out.
#[test]
fn task_waits_for_the_lease_alone_if_the_start_needs_an_approval_of_the_known_incarnation() {
    let mut cell = cell_with_doubt(approved_config(), HeardSince::Approval);
    let after = time_until_start_elsewhere(&mut cell);
    assert!((6_000..=LONGEST_LEASE_MS).contains(&after), "{after} ms");
}

/// Guards against two runs of a task: an approval that came after the latest answer of the runner may be one of its next
/// incarnation, and where none is needed any may carry the start out.
#[test]
fn task_waits_for_the_longest_doubt_if_another_incarnation_may_carry_out_the_start() {
    for approved in [true, false] {
        let cfg = if approved {
            approved_config()
        } else {
            config()
        };
        let mut cell = cell_with_doubt(cfg, HeardSince::Before);
        let after = time_until_start_elsewhere(&mut cell);
        assert!(after >= LONGEST_DOUBT_MS, "approved {approved}: {after} ms");
    }
}

/// Guards against the same wait after a takeover: what the start can't reach isn't recorded.
#[test]
fn next_owner_waits_for_the_lease_alone_if_the_start_needs_an_approval_of_the_known_incarnation() {
    for (heard_since, is_recorded) in [(HeardSince::Approval, false), (HeardSince::Before, true)] {
        let mut cell = cell_with_doubt(approved_config(), heard_since);
        cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
        cell.commit();
        let has_record = cell.store.contains_key("dw0");
        assert_eq!(has_record, is_recorded, "{heard_since:?}");
    }
}
