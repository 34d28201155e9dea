use std::cell::RefCell;

use kspan_jobs::{
    engine::JobState,
    id::JobId,
    record::RecordKey,
    spec::{JobSpec, StepSpec},
};

use super::*;
use crate::{
    message::Verb,
    owner::tests::{call, is_of_jobs, owner, start_store},
};

const JOB: JobId = JobId(0xa1);

fn record(key: RecordKey, bytes: usize) -> Record {
    Record {
        key,
        value: Some(vec![b'#'; bytes]),
    }
}

fn job_spec() -> JobSpec {
    JobSpec {
        steps: vec![StepSpec {
            count: 1,
            ..StepSpec::default()
        }],
        ..JobSpec::default()
    }
}

/// Starts a store that refuses appends of more than `max_bytes` with a status, and counts its answers by
/// status. An append is told by the size of its request's body.
async fn start_bounded_store(status: u16, max_bytes: usize) -> (String, Rc<RefCell<Vec<u16>>>) {
    let answers = Rc::new(RefCell::new(Vec::new()));
    let seen = Rc::clone(&answers);
    let addr = crate::owner::tests::start_store_by_length(move |target, length| {
        if !is_of_jobs(target) {
            return (200, br#"{"Offset":1}"#.to_vec());
        }
        let given = if length > max_bytes { status } else { 200 };
        seen.borrow_mut().push(given);
        (given, br#"{"Offset":1}"#.to_vec())
    });
    (addr.await, answers)
}

/// Guards against one record that the store refuses for good and that keeps all others from being written.
#[ntex::test]
async fn record_refused_for_good_does_not_hold_up_the_others() {
    for status in [400, 413] {
        let (store, answers) = start_bounded_store(status, 1_000).await;
        let owner = owner(&store).await;
        let sound = |id| record(RecordKey::Ended(JobId(id)), 50);
        let records = vec![
            sound(1),
            sound(2),
            record(RecordKey::Progress(JobId(3)), 2_000),
            sound(4),
        ];
        let mut number = 0;
        let written = owner.write(records, &mut number);
        let written = tokio::time::timeout(Duration::from_secs(5), written).await;
        assert_eq!(written, Ok(true), "status {status}");
        let accepted = answers
            .borrow()
            .iter()
            .filter(|given| **given == 200)
            .count();
        assert!((2..=3).contains(&accepted), "{:?}", answers.borrow());
        assert_eq!(number, accepted as u64, "refused appends take no number");
    }
}

/// Guards against a job that counts as active although its progress is not stored: ends of its runs would
/// be acknowledged, and a later owner would run the tasks again.
#[ntex::test]
async fn job_whose_progress_is_refused_has_failed_before_its_batch_is_durable() {
    let (store, _) = start_bounded_store(413, 1_000).await;
    let owner = owner(&store).await;
    owner.config_read.set(Some(owner.node.clock.reading()));
    ntex::rt::spawn(Rc::clone(&owner).write_batches());
    ntex::rt::spawn(Rc::clone(&owner).run_scheduler());
    let response = owner.call(call(Verb::Submit(job_spec()))).await;
    assert_eq!(response.map(|response| response.status), Ok(200));
    let key = RecordKey::Progress(JOB);
    let replacement = owner.replace_refused(&record(key.clone(), 2_000));
    let replacement = replacement.expect("a short record of the end");
    assert_eq!(replacement.key, key);
    assert!(replacement.value.is_some_and(|value| value.len() < 100));
    assert_eq!(owner.replace_refused(&record(key, 2_000)), None);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(owner.engine.borrow().job_state(JOB), Some(JobState::Failed));
    owner.step_down("test");
}

/// Guards against a job that can't be stored and is said to be accepted, or is sent again for ever.
#[ntex::test]
async fn job_whose_specification_is_refused_is_not_accepted() {
    let (store, _) = start_bounded_store(413, 1).await;
    let owner = owner(&store).await;
    owner.config_read.set(Some(owner.node.clock.reading()));
    ntex::rt::spawn(Rc::clone(&owner).write_batches());
    ntex::rt::spawn(Rc::clone(&owner).run_scheduler());
    let response = owner.call(call(Verb::Submit(job_spec()))).await;
    assert_eq!(response.map(|response| response.status), Ok(503));
    assert_eq!(owner.engine.borrow().job_state(JOB), None);
    assert!(!owner.engine.borrow().has_pending_batch());
    owner.step_down("test");
}

/// Guards against an owner that repeats an append which can't follow the sequence any more, while nothing
/// is written: a new owner begins a sequence of its own.
#[ntex::test]
async fn owner_out_of_sequence_steps_down() {
    let store = start_store(|target| match is_of_jobs(target) {
        true => (409, br#"{"Reason":"seq"}"#.to_vec()),
        false => (200, br#"{"Offset":1}"#.to_vec()),
    });
    let owner = owner(&store.await).await;
    let records = vec![record(RecordKey::Ended(JOB), 10)];
    assert!(!owner.write(records, &mut 0).await);
    assert!(!owner.is_active());
}

/// Guards against an append of many records without values that is larger than the store accepts.
#[test]
fn keys_count_towards_the_size_of_an_append() {
    let deleted = |id| Record {
        key: RecordKey::Ended(JobId(id)),
        value: None,
    };
    let records: Vec<Record> = (0..100_000).map(deleted).collect();
    let count = count_fitting(&records);
    assert!(count * 22 <= MAX_APPEND_BYTES && count > 10_000, "{count}");
}
