//! Mutates valid records so that one promise is broken, and checks that the violation is reported.

use kspan_contract::protocol::worker::{TaskState, Token};
use kspan_lab::{
    check::{Limits, Promise, check},
    clock::Micros,
    record::{
        Answer, Call, Event, EventKind, Execution, JobCall, Records, SendRecord, TaskRun,
        VersionSample, WorkerInfo,
    },
};
use kspan_model::{JobId, JobResult, Name, Outcome, Resources, TaskId};

const RUNNER: TaskId = TaskId::new(JobId(1), 0, 0);
const BATCH: TaskId = TaskId::new(JobId(2), 0, 0);
const TOKEN: u64 = 7;

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn task_run(worker: &str, task: TaskId, from: u64, until: Option<u64>) -> TaskRun {
    TaskRun {
        worker: Name::new(worker),
        task,
        workload: Name::new("any"),
        size: Resources::new(2_000, 1_024, 0),
        token: Token { view: 1, rank: 0 },
        started: ms(from),
        ended: until.map(ms),
        end: until.map(|_| TaskState::Succeeded),
    }
}

fn execution(task: TaskId, from: u64, until: u64) -> Execution {
    Execution {
        task,
        token: TOKEN,
        key: Some(Name::new("r:7")),
        started: ms(from),
        ended: Some(ms(until)),
        in_use: 1,
        connections: 1,
        slots: 8,
        max_connections: 64,
    }
}

fn send(attempt: u32, sent: u64, answered: u64, answer: Answer) -> SendRecord {
    SendRecord {
        to: Name::new("entry-1-router"),
        attempt,
        sent: ms(sent),
        answered: ms(answered),
        answer,
    }
}

fn sample(process: &str, at: u64, version: u64) -> VersionSample {
    VersionSample {
        at: ms(at),
        process: Name::new(process),
        life: 1,
        version,
    }
}

fn event(at: u64, kind: EventKind) -> Event {
    Event { at: ms(at), kind }
}

/// Returns records of one request, one job and one republished document without violations.
fn valid_records() -> Records {
    Records {
        workers: vec![
            WorkerInfo {
                name: Name::new("w1"),
                capacity: Resources::new(4_000, 8_192, 0),
            },
            WorkerInfo {
                name: Name::new("w2"),
                capacity: Resources::new(4_000, 8_192, 0),
            },
        ],
        tasks: vec![
            task_run("w1", RUNNER, 0, None),
            task_run("w1", BATCH, 1_000, Some(2_000)),
        ],
        executions: vec![execution(RUNNER, 1_010, 1_020)],
        calls: vec![Call {
            token: TOKEN,
            service: Name::new("ledger"),
            class: Name::new("refund"),
            idempotent: false,
            region: Name::new("r"),
            key: Some(Name::new("r:7")),
            wanted: ms(1_000),
            settled: ms(1_030),
            sends: vec![send(1, 1_000, 1_030, Answer::Told(Outcome::Ran))],
            outcome: Outcome::Ran,
        }],
        jobs: vec![JobCall {
            key: "k".to_owned(),
            workload: Name::new("any"),
            tasks: 1,
            gang: false,
            sent: ms(900),
            job: Some(BATCH.job),
            accepted: Some(ms(950)),
            cancelled: None,
            result: Some(JobResult::Succeeded),
            ended: Some(ms(2_100)),
        }],
        events: vec![
            event(0, EventKind::Published { version: 1 }),
            event(5_000, EventKind::Published { version: 9 }),
        ],
        versions: vec![
            sample("entry-1-router", 500, 1),
            sample("entry-1-router", 6_000, 9),
            sample("entry-1-router", 20_000, 9),
        ],
        ..Records::default()
    }
}

fn broken_promises(records: &Records) -> Vec<Promise> {
    let found = check(records, &Limits::new(ms(100_000)));
    found
        .into_iter()
        .map(|violation| violation.promise)
        .collect()
}

#[test]
fn valid_records_have_no_violation() {
    assert_eq!(broken_promises(&valid_records()), []);
}

type Change = fn(&mut Records);
type Mutation = (&'static str, Promise, Change);

const MUTATIONS: &[Mutation] = &[
    ("commitments over capacity", Promise::Capacity, |r| {
        let other = TaskId::new(JobId(3), 0, 0);
        r.tasks.push(task_run("w1", other, 1_500, Some(1_600)));
    }),
    ("a task in two places at once", Promise::OnePlace, |r| {
        let again = TaskId::new(BATCH.job, BATCH.index, 1);
        r.tasks.push(task_run("w2", again, 1_999, Some(2_000)));
        r.tasks[2].end = Some(TaskState::Stopped);
    }),
    ("a running runner started again", Promise::OnePlace, |r| {
        let again = TaskId::new(RUNNER.job, RUNNER.index, 1);
        r.tasks.push(task_run("w2", again, 50_000, None));
    }),
    ("the answer to another request", Promise::WholeAnswer, |r| {
        r.calls[0].sends[0].answer = Answer::WrongBody;
    }),
    (
        "reported as not run after it started",
        Promise::NotRun,
        |r| {
            r.calls[0].sends[0].answer = Answer::Told(Outcome::NotRun);
            r.calls[0].outcome = Outcome::NotRun;
        },
    ),
    (
        "settled as not run and executed later",
        Promise::NotRun,
        |r| {
            r.calls[0].sends[0].answer = Answer::Told(Outcome::NotRun);
            r.calls[0].outcome = Outcome::NotRun;
            r.executions[0].started = ms(1_100);
        },
    ),
    (
        "reported as ran without an execution",
        Promise::TrueOutcome,
        |r| {
            r.executions.clear();
        },
    ),
    (
        "reported as ran though the execution was aborted",
        Promise::TrueOutcome,
        |r| {
            r.executions[0].ended = None;
        },
    ),
    ("an answer without an outcome", Promise::TrueOutcome, |r| {
        r.calls[0].sends[0].answer = Answer::NoOutcome { status: 502 };
    }),
    (
        "a non-idempotent request executed twice after a retry",
        Promise::AtMostOnce,
        |r| {
            r.calls[0].sends[0].answer = Answer::Lost;
            let again = send(2, 1_030, 1_060, Answer::Told(Outcome::Ran));
            r.calls[0].sends.push(again);
            r.executions.push(execution(RUNNER, 1_040, 1_050));
        },
    ),
    (
        "nine requests in flight on eight slots",
        Promise::RunnerLimits,
        |r| {
            r.executions[0].in_use = 9;
        },
    ),
    ("too many connections", Promise::RunnerLimits, |r| {
        r.executions[0].connections = 65;
    }),
    ("a new request to a leaving runner", Promise::Leaving, |r| {
        let kind = EventKind::Leaving { task: RUNNER };
        r.events.push(event(0, kind));
        r.executions[0].started = ms(2_001);
        r.executions[0].ended = Some(ms(2_002));
        r.calls[0].sends[0].answered = ms(2_003);
    }),
    (
        "a graceful shutdown that aborts a request",
        Promise::PlannedStop,
        |r| {
            let process = Name::new("entry-1-router");
            r.events
                .push(event(1_010, EventKind::PlannedStop { process }));
            r.calls[0].sends[0].answer = Answer::Lost;
        },
    ),
    (
        "a stopped runner that aborts a request",
        Promise::PlannedStop,
        |r| {
            r.tasks[0].ended = Some(ms(1_015));
            r.tasks[0].end = Some(TaskState::Stopped);
            r.executions[0].ended = None;
            r.calls[0].sends[0].answer = Answer::Lost;
        },
    ),
    (
        "an old version after the time limit",
        Promise::InForce,
        |r| {
            r.versions.push(sample("entry-2-router", 10_001, 1));
        },
    ),
    ("a version that reverts", Promise::NeverReverts, |r| {
        r.versions.push(sample("entry-1-router", 21_000, 1));
    }),
    (
        "an accepted job without a result",
        Promise::AcceptedWork,
        |r| {
            r.jobs[0].result = None;
        },
    ),
    (
        "a task of an accepted job that succeeded twice",
        Promise::AcceptedWork,
        |r| {
            let again = TaskId::new(BATCH.job, BATCH.index, 1);
            r.tasks.push(task_run("w1", again, 3_000, Some(3_500)));
        },
    ),
    (
        "a job reported as succeeded that never ran",
        Promise::AcceptedWork,
        |r| {
            r.tasks.pop();
        },
    ),
    (
        "a job reported as not run that ran",
        Promise::AcceptedWork,
        |r| {
            r.jobs[0].result = Some(JobResult::CancelledNotRun);
        },
    ),
];

#[test]
fn each_broken_promise_is_reported() {
    for (description, promise, mutate) in MUTATIONS {
        let mut records = valid_records();
        mutate(&mut records);
        let found = broken_promises(&records);
        assert!(
            found.contains(promise),
            "{description}: found only {found:?}"
        );
    }
}

#[test]
fn allowed_behaviour_is_not_reported() {
    let allowed: &[(&str, Change)] = &[
        ("an end and a start at the same time", |r| {
            let next = TaskId::new(JobId(3), 0, 0);
            r.tasks.push(task_run("w1", next, 2_000, Some(2_500)));
        }),
        ("a second attempt after the first ended", |r| {
            r.tasks[1].end = Some(TaskState::Failed);
            let again = TaskId::new(BATCH.job, BATCH.index, 1);
            r.tasks.push(task_run("w2", again, 2_000, Some(2_500)));
        }),
        ("an idempotent request executed twice", |r| {
            r.calls[0].idempotent = true;
            r.executions.push(execution(RUNNER, 1_011, 1_015));
        }),
        (
            "a new request to a leaving runner within two seconds",
            |r| {
                let kind = EventKind::Leaving { task: RUNNER };
                r.events.push(event(0, kind));
            },
        ),
        ("a request lost to a killed router", |r| {
            let process = Name::new("entry-1-router");
            r.events.push(event(1_010, EventKind::Killed { process }));
            r.calls[0].sends[0].answer = Answer::Lost;
            r.calls[0].outcome = Outcome::Unknown;
        }),
        ("a restarted process that has no version yet", |r| {
            r.versions.push(sample("entry-1-router", 30_000, 0));
        }),
        ("a recently accepted job without a result", |r| {
            r.jobs[0].accepted = Some(ms(99_000));
            r.jobs[0].result = None;
        }),
    ];
    for (description, change) in allowed {
        let mut records = valid_records();
        change(&mut records);
        assert_eq!(broken_promises(&records), [], "{description}");
    }
}
