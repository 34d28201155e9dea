//! Regression tests for entries of other writers in the host list.

mod one_cell;

use kspan_jobs::{
    config::CellConfig,
    engine::{Event, RunnerIx},
    runner::{Inventory, InventoryOutcome, RunnerEntry},
};
use kspan_model::{Millis, Name};
use one_cell::*;

fn config_with_services(version: u64, services: &[&str]) -> CellConfig {
    CellConfig {
        version,
        services: Some(services.iter().map(|name| Name::new(name)).collect()),
        ..config()
    }
}

/// Returns an entry of a service.
fn entry_of(id: &str, service: &str) -> RunnerEntry {
    RunnerEntry {
        service: Name::new(service),
        ..entry(id)
    }
}

/// A cell with one runner whose configuration names its service alone.
fn cell() -> Cell {
    let mut cell = Cell::with_runners(config_with_services(1, &["s"]), [entry("w0")]);
    cell.report_ends(0, Vec::new());
    cell.engine.take_events();
    cell
}

fn upsert(cell: &mut Cell, entry: RunnerEntry) -> Option<RunnerIx> {
    cell.engine.upsert_runner(Millis(cell.now), entry)
}

/// Guards against an entry of a service that no configuration names and that is called, counted, recorded or
/// waited for as a runner.
#[test]
fn entry_of_an_unknown_service_is_no_runner() {
    let mut cell = cell();
    let before = cell.engine.totals();
    assert_eq!(upsert(&mut cell, entry_of("odd", "elsewhere")), None);
    assert_eq!(cell.engine.live_runners().count(), 1);
    assert_eq!(cell.engine.totals(), before);
    assert!(!cell.engine.has_pending_batch());
    assert_eq!(cell.engine.take_events().len(), 1, "it is logged once");
    assert!(cell.engine.take_admitted_entries().is_empty());
    cell.commit();
    assert!(cell.store.keys().all(|key| !key.contains("odd")));
}

/// Guards against a runner that is lost because its entry comes before the configuration that names its
/// service.
#[test]
fn entry_waits_for_the_configuration_that_names_its_service() {
    for leaves in [false, true] {
        let mut cell = cell();
        upsert(&mut cell, entry_of("w1", "later"));
        if leaves {
            cell.engine
                .unlist_runner(Millis(cell.now), &Name::new("w1"));
        }
        cell.engine
            .configure(config_with_services(2, &["s", "later"]));
        let admitted = cell.engine.take_admitted_entries();
        assert_eq!(admitted.len(), usize::from(!leaves));
        for entry in admitted {
            assert_eq!(upsert(&mut cell, entry), Some(RunnerIx(1)));
        }
        assert!(cell.engine.take_admitted_entries().is_empty());
    }
}

/// Guards against a runner that is not used any more because a later configuration drops its service, which
/// accepted jobs still need.
#[test]
fn runners_of_a_dropped_service_serve_its_jobs() {
    let mut cell = cell();
    cell.engine.configure(config_with_services(2, &[]));
    assert!(upsert(&mut cell, entry("w1")).is_some());
    let mut cell = cell_with_a_job();
    cell.recover_with(CellConfig {
        queues: Vec::new(),
        ..config_with_services(2, &[])
    });
    assert!(upsert(&mut cell, entry("w1")).is_some());
}

fn cell_with_a_job() -> Cell {
    let mut cell = cell();
    cell.submit();
    cell
}

/// Ways in which an entry under a runner's id can contradict what is known of it.
fn contradictions() -> [(&'static str, RunnerEntry); 4] {
    let labelled = RunnerEntry {
        labels: vec![Name::new("b")],
        ..entry("w0")
    };
    let moved = RunnerEntry {
        addr: Name::new("w9"),
        ..entry("w0")
    };
    [
        ("service without runners", entry_of("w0", "elsewhere")),
        ("other service", entry_of("w0", "t")),
        ("labels", labelled),
        ("address", moved),
    ]
}

/// Guards against work that is placed by an entry of another writer under the id of a known runner, and
/// against a runner that such an entry takes out of use for good.
#[test]
fn odd_entry_under_a_known_id_changes_nothing_of_the_runner() {
    for (what, odd) in contradictions() {
        let mut cell = cell();
        cell.engine.configure(config_with_services(2, &["s", "t"]));
        assert_eq!(upsert(&mut cell, odd), None, "{what}");
        assert_eq!(*cell.engine.runner(RunnerIx(0)), entry("w0"), "{what}");
        cell.submit();
        let is_in_doubt = what != "service without runners";
        assert_eq!(cell.schedule().is_empty(), is_in_doubt, "{what}");
        // The runner writes its entry again with its next heartbeat.
        assert_eq!(upsert(&mut cell, entry("w0")), None);
        let started = cell.schedule();
        assert_eq!(!started.is_empty(), is_in_doubt, "{what}");
    }
}

/// Guards against a runner whose first entry was one of another writer: its own entries would be ignored for
/// ever.
#[test]
fn entry_that_is_repeated_is_believed() {
    let mut cell = Cell::with_runners(config_with_services(1, &["s", "t"]), [entry_of("w0", "t")]);
    cell.report_ends(0, Vec::new());
    cell.submit();
    for expected in [Vec::new(), vec![0]] {
        upsert(&mut cell, entry("w0"));
        cell.commit();
        assert_eq!(cell.schedule(), expected);
    }
}

/// Guards against a runner that is taken for restarted, and its tasks started elsewhere, because an entry of
/// another writer names a later start at another address.
#[test]
fn restart_elsewhere_is_believed_once_the_other_address_answers() {
    let moved = RunnerEntry {
        addr: Name::new("w9"),
        started_unix_ms: u64::MAX >> 12,
        ..entry("w0")
    };
    let mut cell = cell_with_a_job();
    assert_eq!(cell.schedule_and_send(true), [0]);
    assert_eq!(upsert(&mut cell, moved.clone()), None);
    assert_eq!(cell.engine.next_call_elsewhere(RunnerIx(0)), None);
    cell.report_running(0);
    assert_eq!(cell.engine.runner_of(task()), Some(RunnerIx(0)));
    // The runner has refuted the entry.
    cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
    assert_eq!(cell.engine.next_call_elsewhere(RunnerIx(0)), None);
    let answer = |started_unix_ms| {
        InventoryOutcome::Inventory(Inventory {
            clock: Millis(30),
            started_unix_ms,
            ..Inventory::default()
        })
    };
    assert_eq!(upsert(&mut cell, moved.clone()), None);
    // Nothing but an answer of the incarnation itself shows that the one before has ended.
    for outcome in [
        InventoryOutcome::NoResponse,
        InventoryOutcome::Fenced,
        answer(0),
        answer(1),
        answer(5),
        InventoryOutcome::OtherIncarnation,
    ] {
        assert_eq!(complete_call_elsewhere(&mut cell, &outcome), None);
        cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
        assert!(!cell.engine.is_dead(RunnerIx(0)), "{outcome:?}");
        assert!(!cell.engine.is_fenced(), "{outcome:?}");
        assert_eq!(cell.engine.runner_of(task()), Some(RunnerIx(0)));
    }
    // Another runner answered at the address.
    assert_eq!(cell.engine.next_call_elsewhere(RunnerIx(0)), None);
    assert_eq!(upsert(&mut cell, moved.clone()), None);
    let next = complete_call_elsewhere(&mut cell, &answer(moved.started_unix_ms));
    assert_eq!(next, Some(RunnerIx(1)));
    assert_eq!(*cell.engine.runner(RunnerIx(1)), moved);
    let events = cell.engine.take_events();
    let crashed = events
        .iter()
        .any(|event| matches!(event, Event::RunnerCrashed { .. }));
    assert!(crashed && cell.engine.is_dead(RunnerIx(0)));
}

/// Guards against the same at a takeover: the recorded runner has not answered the new owner yet.
#[test]
fn entry_alone_does_not_replace_a_recorded_runner() {
    let mut cell = cell_with_a_job();
    cell.recover();
    let moved = RunnerEntry {
        addr: Name::new("w9"),
        started_unix_ms: 7,
        ..entry("w0")
    };
    assert_eq!(upsert(&mut cell, moved), None);
    assert!(!cell.engine.is_dead(RunnerIx(0)));
    cell.report_ends(0, Vec::new());
    assert_eq!(*cell.engine.runner(RunnerIx(0)), entry("w0"));
}

/// Checks that a runner is called at its own address if its first entry was one of another writer that names another
/// address and this start time. The runner's own is 1.
fn assert_called_at_own_address(false_started_unix_ms: u64) {
    let false_entry = RunnerEntry {
        addr: Name::new("w9"),
        started_unix_ms: false_started_unix_ms,
        ..entry("w0")
    };
    let mut cell = Cell::with_runners(config_with_services(1, &["s"]), [false_entry]);
    cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
    assert_eq!(upsert(&mut cell, entry("w0")), None);
    let own_answer = InventoryOutcome::Inventory(Inventory {
        clock: Millis(cell.now),
        started_unix_ms: 1,
        ..Inventory::default()
    });
    let next = complete_call_elsewhere(&mut cell, &own_answer);
    assert_eq!(next, Some(RunnerIx(1)));
    assert_eq!(*cell.engine.runner(RunnerIx(1)), entry("w0"));
}

/// Guards against a runner that is never called because the first entry under its id was one of another
/// writer, with a later start than its own.
#[test]
fn runner_whose_first_entry_was_false_is_called_at_its_own_address() {
    assert_called_at_own_address(7);
}

/// Guards against the same where the false entry names the runner's own start time.
#[test]
fn runner_whose_first_entry_had_its_start_time_is_called_at_its_own_address() {
    assert_called_at_own_address(1);
}

/// Guards against the same where the false entry names the address of another runner, which refuses calls for this
/// one.
#[test]
fn runner_whose_first_entry_named_another_runners_address_is_called() {
    let false_entry = RunnerEntry {
        addr: Name::new("w9"),
        started_unix_ms: 7,
        ..entry("w0")
    };
    let mut cell = Cell::with_runners(config_with_services(1, &["s"]), [false_entry]);
    cell.complete_inventory_call(0, &InventoryOutcome::OtherIncarnation);
    assert!(cell.engine.is_dead(RunnerIx(0)));
    assert_eq!(upsert(&mut cell, entry("w0")), Some(RunnerIx(1)));
}

/// Completes the next call to the address that an entry names for another incarnation of the first runner.
fn complete_call_elsewhere(cell: &mut Cell, outcome: &InventoryOutcome) -> Option<RunnerIx> {
    let call = cell.engine.next_call_elsewhere(RunnerIx(0));
    let call = call.expect("a call to the other address");
    let now = Millis(cell.now);
    cell.engine
        .record_call_elsewhere(now, cell.now, RunnerIx(0), &call, outcome)
}
