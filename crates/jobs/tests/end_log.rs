//! Tests of the events that lead from a run to the inventories and calls that concern its end.

mod one_cell;

use kspan_jobs::{
    engine::{EndListing, Event, LeaseView, ListingKind, LossReason, RunEnd, RunnerIx},
    runner::{EndedTask, Inventory, InventoryOutcome},
};
use kspan_model::{Millis, Name};
use one_cell::*;

fn inventory_of(
    cell: &Cell,
    started_unix_ms: u64,
    ended: Vec<EndedTask>,
    has_more_ends: bool,
) -> InventoryOutcome {
    InventoryOutcome::Inventory(Inventory {
        clock: Millis(cell.now),
        started_unix_ms,
        ended,
        has_more_ends,
        ..Inventory::default()
    })
}

/// Returns what `pick` takes from the first event that it applies to.
fn first<T>(cell: &mut Cell, pick: impl FnMut(Event) -> Option<T>) -> Option<T> {
    cell.engine.take_events().into_iter().find_map(pick)
}

/// Returns the kinds and numbers of the ends that were listed out of the ordinary since the last call.
fn unusual_listings(cell: &mut Cell) -> Vec<(ListingKind, Vec<u64>)> {
    let events = cell.engine.take_events().into_iter();
    let listings = events.filter_map(|event| match event {
        Event::EndsListed { kind, ends, .. } => {
            Some((kind, ends.iter().map(|end| end.number).collect()))
        }
        _ => None,
    });
    listings.collect()
}

/// Creates a cell whose first runner, which has a run, was silent until its lease had expired.
fn cell_with_lapsed_runner(is_listed: bool) -> Cell {
    let mut cell = Cell::with_start(true);
    cell.report_running(0);
    if !is_listed {
        cell.engine
            .unlist_runner(Millis(cell.now), &Name::new("w0"));
    }
    cell.engine.take_events();
    cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
    cell.advance(7_000);
    cell
}

/// Guards against a run that is taken for lost while the log doesn't name the lease that was assumed.
#[test]
fn loss_of_runs_tells_the_lease_that_the_owner_assumes() {
    let mut cell = cell_with_lapsed_runner(true);
    let lost = first(&mut cell, |event| match event {
        Event::RunsLost {
            started_unix_ms,
            reason,
            lease,
            runs,
            ..
        } => Some((started_unix_ms, reason, lease, runs)),
        _ => None,
    });
    // The first answer, at 10,000 ms, may extend the lease of a previous owner by 6,000 ms and its margin. A clock that
    // runs at 97% exceeds this deadline and a margin of 300 ms after 6,804 ms, and ticks come each 100 ms.
    let lease = LeaseView {
        deadline: Millis(16_300),
        clock: Millis(10_000),
        reading_age: Millis(6_900),
        min_clock: Millis(16_693),
        margin: Millis(300),
        silent: Some(Millis(6_900)),
        latest_order_age: Some(Millis(6_900)),
        may_be_inherited: false,
    };
    let runs = vec![(task(), 1)];
    assert_eq!(lost, Some((1, LossReason::LeaseExpired, Some(lease), runs)));
}

/// Guards against ends that the log leaves out: those of runs that had been taken for lost, and those in
/// answers that are dropped.
#[test]
fn ends_of_runs_that_were_taken_for_lost_are_told() {
    for is_listed in [true, false] {
        let mut cell = cell_with_lapsed_runner(is_listed);
        assert_eq!(unusual_listings(&mut cell), []);
        cell.report_ends(0, vec![failed_end(4, 1)]);
        assert_eq!(
            unusual_listings(&mut cell),
            [(ListingKind::Late, vec![4])],
            "listed: {is_listed}"
        );
    }
    // A runner whose end was presumed is listed again, and answers a call that was sent before.
    let mut cell = cell_with_lapsed_runner(false);
    let now = Millis(cell.now);
    let listed_again = cell.engine.upsert_runner(now, entry("w0"));
    assert!(listed_again.is_some());
    cell.report_ends(0, vec![failed_end(4, 1)]);
    let ignored = [(ListingKind::Ignored, vec![4])];
    assert_eq!(unusual_listings(&mut cell), ignored);
}

/// Guards against an acknowledgement that no line names, and against lines for each inventory that lists an end
/// before it can be acknowledged.
#[test]
fn acknowledgements_and_ends_listed_after_them_are_told() {
    let mut cell = Cell::with_start(true);
    cell.engine.take_events();
    cell.report_ends(0, vec![failed_end(1, 1)]);
    let ended = first(&mut cell, |event| match event {
        Event::RunEnded {
            how: RunEnd::Reported(_),
            started_unix_ms,
            listing,
            ..
        } => Some((
            started_unix_ms,
            listing.map(|EndListing { number, .. }| number),
        )),
        _ => None,
    });
    assert_eq!(ended, Some((1, Some(1))));
    cell.report_ends(0, vec![failed_end(1, 1)]);
    assert_eq!(unusual_listings(&mut cell), [], "not durable yet");
    cell.commit();
    for answered_number in [0, 1] {
        let now = Millis(cell.now);
        let call = cell.engine.next_inventory_call(RunnerIx(0), now);
        let sent = cell.engine.acknowledgement(RunnerIx(0), &call);
        let told = sent.map(|sent| {
            let ends = sent.ends.iter();
            let ends = ends.map(|end| (end.task, end.run, end.number, end.listings));
            (sent.number, sent.answered_number, ends.collect::<Vec<_>>())
        });
        let expected = (answered_number == 0).then(|| (1, 0, vec![(task(), 1, 1, 2)]));
        assert_eq!(told, expected, "{answered_number}");
        let outcome = inventory_of(&cell, 1, vec![failed_end(1, 1)], false);
        cell.engine
            .record_inventory(now, cell.now, RunnerIx(0), call.sequence, &outcome);
        assert_eq!(unusual_listings(&mut cell), [(ListingKind::Again, vec![1])]);
    }
}

/// Guards against ends that a runner forgets before the owner has seen them, and against such warnings where the
/// number of the next end isn't known.
#[test]
fn numbers_that_are_left_out_are_told() {
    // (start time of the second answer, its ends, whether it may have more, numbers expected and listed)
    type Case = (u64, &'static [u64], bool, Option<(u64, u64)>);
    const CASES: [Case; 6] = [
        (1, &[5], false, None),
        (1, &[4, 5], false, None),
        (1, &[7, 6], false, Some((5, 6))),
        (1, &[6], true, None),
        (2, &[1], false, None),
        (2, &[2], false, Some((1, 2))),
    ];
    for (started_unix_ms, numbers, has_more_ends, expected) in CASES {
        let mut cell = Cell::with_start(true);
        cell.report_ends(0, vec![failed_end(4, 1)]);
        let ends = numbers.iter().map(|number| failed_end(*number, 1));
        let second = inventory_of(&cell, started_unix_ms, ends.collect(), has_more_ends);
        cell.complete_inventory_call(0, &second);
        let told = first(&mut cell, |event| match event {
            Event::EndsForgotten {
                expected, listed, ..
            } => Some((expected, listed)),
            _ => None,
        });
        assert_eq!(
            told, expected,
            "{started_unix_ms} {numbers:?} {has_more_ends}"
        );
    }
}
