use kspan_jobs::{
    engine::{Event, ListingKind, RunEnd},
    id::{JobId, StepId},
    runner::EndKind,
};
use kspan_model::{Millis, Name};

use super::event_kind;

fn end(how: EndKind) -> Event {
    let step = StepId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
    };
    Event::RunEnded {
        task: step.task(0),
        run: 1,
        runner: Name::new("w0"),
        how: RunEnd::Reported(how),
        started_unix_ms: 0,
        listing: None,
        elapsed: Millis(1),
    }
}

/// Guards against lines of rare ends that the rate limit suppresses, because they count as one kind with
/// frequent ones.
#[test]
fn rare_ends_have_lines_of_their_own() {
    let rare = [
        EndKind::LeaseExpired,
        EndKind::GangBroken,
        EndKind::GangIncomplete,
    ];
    let frequent = [EndKind::Done, EndKind::Failed, EndKind::Stopped];
    for how in rare {
        for other in frequent {
            assert_ne!(event_kind(&end(how)), event_kind(&end(other)), "{how:?}");
        }
    }
}

/// Guards against lines of late and dropped ends that those of repeated ones suppress.
#[test]
fn unusual_listings_have_kinds_of_their_own() {
    let listed = |kind| Event::EndsListed {
        kind,
        runner: Name::new("w0"),
        meant_unix_ms: 0,
        started_unix_ms: 0,
        sequence: 1,
        acknowledged_number: 0,
        ends: Vec::new(),
    };
    let [again, late, ignored] = [ListingKind::Again, ListingKind::Late, ListingKind::Ignored]
        .map(|kind| event_kind(&listed(kind)));
    assert!(again != late && late != ignored && again != ignored);
}
