//! Starts without an answer where runners need an approval: which incarnation may carry them out, and how long their
//! tasks wait.

mod one_cell;

use kspan_jobs::{
    config::{ApprovalPolicy, CellConfig},
    engine::{ApprovalRequest, Order, RunnerIx, StartOrder},
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

/// Lets a new owner take over to which the first runner doesn't answer, with `fenced_ms` between the refusal of the previous
/// owner's appends and the recovery. Returns the time of the first request for approvals and that of the start, in ms after
/// the recovery.
fn request_and_start_after_takeover(fenced_ms: u64) -> [u64; 2] {
    let mut cell = Cell::with_runners(approved_config(), ["w0", "w1"].map(entry));
    cell.report_ends(0, Vec::new());
    cell.submit();
    cell.recover_with(approved_config());
    let fenced_at = Millis(cell.now - fenced_ms);
    cell.engine.record_previous_owners_fenced(fenced_at);
    cell.engine.set_approval_hosts(&[Name::new("h1")]);
    let mut requested_at = None;
    for after in (100..=20_000).step_by(100) {
        for runner_ix in 0..2 {
            let id = cell.engine.runner(RunnerIx(runner_ix)).id.clone();
            if id == Name::new("w1") {
                cell.report_ends(runner_ix, Vec::new());
            } else {
                cell.complete_inventory_call(runner_ix, &InventoryOutcome::NoResponse);
            }
        }
        cell.engine.upsert_runner(Millis(cell.now), entry("w1"));
        cell.advance(100);
        cell.commit();
        cell.engine.schedule(Millis(cell.now));
        for order in cell.engine.take_orders() {
            match order {
                Order::RequestApprovals(req) => {
                    requested_at.get_or_insert(after);
                    approve(&mut cell, &req, "w1");
                }
                Order::Start(_) => return [requested_at.expect("a request"), after],
                Order::Stop(_) | Order::Throttle(_) => {}
            }
        }
    }
    panic!("the task doesn't start");
}

/// Guards against a job that waits for approvals after it has waited for a previous owner, when all others request theirs, and
/// against requests that end long before.
#[test]
fn approvals_are_requested_shortly_before_the_wait_for_a_previous_owner_ends() {
    for (fenced_ms, wait_ms) in [(0, 14_000), (2_000, 12_000)] {
        let [requested, started] = request_and_start_after_takeover(fenced_ms);
        assert!((wait_ms..=wait_ms + 200).contains(&started), "{started} ms");
        let lead = started - requested;
        assert!((800..=1_500).contains(&lead), "{lead} ms");
    }
}
