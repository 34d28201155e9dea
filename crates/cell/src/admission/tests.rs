use super::*;

/// Size of the share in the tests, in bytes.
const SHARE: usize = 1_000;

/// Returns the state of a process on the smallest host, without clients.
pub(crate) fn on_smallest_host() -> Rc<Admission> {
    let limits = |interface| Limits::new(interface, 160, 4_100);
    Admission::new(limits, Clock::new(), Rc::default())
}

fn limits(_: Interface) -> Limits {
    Limits {
        bytes: SHARE,
        connections: 3,
    }
}

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Guards against defaults that ordinary clients meet: a burst of 500 jobs of 8 KB each, a body of
/// the maximum size, and a thousand connections that stay open.
#[test]
fn ordinary_clients_meet_no_limit() {
    for (memory_mb, descriptors) in [(160, 4_100), (260, 4_100)] {
        let callers = Limits::new(Interface::Callers, memory_mb, descriptors);
        assert!(callers.bytes >= 500 * 4 * 8_000, "{callers:?}");
        assert!(callers.bytes >= 4 * 512 * 1024, "{callers:?}");
        assert!(callers.connections >= 1_000, "{callers:?}");
        // One connection from each of 300 hosts, and again after a restart of some.
        let peers = Limits::new(Interface::Peers, memory_mb, descriptors);
        assert!(peers.connections >= 450, "{peers:?}");
    }
}

/// Guards against limits of the interfaces that exceed the host's together.
#[test]
fn interfaces_stay_within_half_of_the_host() {
    for (memory_mb, descriptors) in [(64, 400), (160, 4_100), (260, 4_100), (64, 4_100)] {
        let all = Interface::ALL.map(|interface| Limits::new(interface, memory_mb, descriptors));
        let bytes: usize = all.iter().map(|one| one.bytes).sum();
        let connections: usize = all.iter().map(|one| one.connections).sum();
        assert!(bytes as u64 <= memory_mb * 1_000_000 / 4, "{all:?}");
        assert!(
            (connections * 24 * 1024) as u64 <= memory_mb * 1_000_000 / 3,
            "{all:?}"
        );
        assert!(connections <= (descriptors - 200) * 2 / 3, "{all:?}");
    }
}

/// Guards against a bound of accepted jobs that ordinary ones meet, and against one that leaves no room for what
/// clients hold and for the program.
#[test]
fn accepted_jobs_have_a_quarter_of_the_host() {
    for memory_mb in [64, 160, 260, 512] {
        let bytes = max_job_bytes(memory_mb);
        assert_eq!(bytes, memory_mb * 250_000);
        // Two thousand open jobs of 20 tasks of some 350 bytes.
        assert!(memory_mb < 160 || bytes >= 2_000 * 20 * 400, "{bytes}");
        let all = Interface::ALL.map(|interface| Limits::new(interface, memory_mb, 4_100));
        let held = all
            .iter()
            .map(|one| one.bytes + one.connections * 24 * 1024);
        let held = held.sum::<usize>() as u64;
        assert!(bytes + held <= memory_mb * 1_000_000 * 5 / 6, "{held}");
    }
}

/// Guards against an unfinished message that keeps a newer one out.
#[test]
fn message_that_stood_still_for_longest_is_evicted() {
    let start = Instant::now();
    let mut ledger = Ledger::new(limits);
    let [slow, slower, new] = [0; 3].map(|_| ledger.open(Interface::Callers, start));
    for id in [slow, slower] {
        assert_eq!(ledger.resize(id, 500), Growth::Granted(vec![]));
    }
    assert!(ledger.record_progress(slow, after(start, 20)));
    assert!(ledger.record_progress(slower, after(start, 10)));
    assert_eq!(ledger.resize(new, 300), Growth::Granted(vec![slower]));
    assert_eq!(ledger.resize(slower, 1), Growth::Evicted);
    assert!(!ledger.record_end(slower));
    assert_eq!(ledger.used(Interface::Callers), 800);
}

/// Guards against a refusal of a message that may be in execution.
#[test]
fn complete_messages_are_not_evicted() {
    let start = Instant::now();
    let mut ledger = Ledger::new(limits);
    let [complete, new] = [0; 2].map(|_| ledger.open(Interface::Callers, start));
    assert_eq!(ledger.resize(complete, 900), Growth::Granted(vec![]));
    assert!(ledger.record_end(complete));
    assert_eq!(ledger.resize(new, 101), Growth::Refused);
    assert_eq!(ledger.resize(new, 100), Growth::Granted(vec![]));
    assert_eq!(ledger.close_stalled(after(start, 100_000)), [new]);
    ledger.close(complete);
    assert_eq!(ledger.used(Interface::Callers), 0);
}

/// Guards against messages that are evicted although that makes no room.
#[test]
fn nothing_is_evicted_in_vain() {
    let start = Instant::now();
    let mut ledger = Ledger::new(limits);
    let [complete, unfinished, new] = [0; 3].map(|_| ledger.open(Interface::Callers, start));
    assert_eq!(ledger.resize(complete, 800), Growth::Granted(vec![]));
    assert!(ledger.record_end(complete));
    assert_eq!(ledger.resize(unfinished, 100), Growth::Granted(vec![]));
    assert_eq!(ledger.resize(new, 300), Growth::Refused);
    assert_eq!(ledger.resize(unfinished, 110), Growth::Granted(vec![]));
}

/// Guards against callers that starve other processes or operators.
#[test]
fn interfaces_do_not_share_their_bytes() {
    let start = Instant::now();
    let mut ledger = Ledger::new(limits);
    let callers = ledger.open(Interface::Callers, start);
    assert_eq!(ledger.resize(callers, SHARE), Growth::Granted(vec![]));
    let peers = ledger.open(Interface::Peers, start);
    assert_eq!(ledger.resize(peers, SHARE), Growth::Granted(vec![]));
    // One message alone may exceed the share.
    assert_eq!(ledger.resize(peers, 2 * SHARE), Growth::Granted(vec![]));
}

/// Guards against clients that send a byte now and then.
#[test]
fn stalled_and_slow_messages_are_evicted() {
    let start = Instant::now();
    let mut ledger = Ledger::new(limits);
    let [stalled, slow] = [0; 2].map(|_| ledger.open(Interface::Callers, start));
    for ms in (0..=59_000).step_by(1_000) {
        assert!(ledger.record_progress(slow, after(start, ms)));
        let expected = if ms == 5_000 { vec![stalled] } else { vec![] };
        assert_eq!(ledger.close_stalled(after(start, ms)), expected, "{ms}");
    }
    assert_eq!(ledger.close_stalled(after(start, 60_000)), [slow]);
}

/// Guards against a crowd that keeps ordinary clients from connecting: each row names the phases of
/// three connections in the order of their age, and the one that is closed for a fourth.
#[test]
fn connections_that_do_nothing_are_closed_first() {
    let table = [
        ([Phase::Idle, Phase::New, Phase::Executing], Some(1)),
        ([Phase::Idle, Phase::Idle, Phase::Executing], Some(0)),
        ([Phase::Executing, Phase::Receiving, Phase::Idle], Some(1)),
        ([Phase::New, Phase::Refused, Phase::New], Some(1)),
        ([Phase::Executing; 3], None),
    ];
    for (phases, expected) in table {
        let start = Instant::now();
        let mut connections = Connections::new(limits);
        let mut ids = Vec::new();
        for (phase, ms) in phases.into_iter().zip([0, 1, 2]) {
            let now = after(start, ms);
            let (id, victim) = connections.open(Interface::Callers, now).expect("room");
            assert_eq!(victim, None);
            connections.set_phase(id, phase, now);
            ids.push(id);
        }
        let opened = connections.open(Interface::Callers, after(start, 5_000));
        let victim = opened.map(|(_, victim)| victim.expect("a connection is closed"));
        assert_eq!(victim, expected.map(|at: usize| ids[at]), "{phases:?}");
        assert_eq!(connections.open_count(Interface::Callers), 3);
    }
}

/// Guards against a connection that was just opened by an ordinary client and is closed before the
/// older ones of a crowd.
#[test]
fn new_connections_are_closed_after_older_ones() {
    let start = Instant::now();
    let mut connections = Connections::new(limits);
    let ids: Vec<_> = [0, 10, 20]
        .into_iter()
        .filter_map(|ms| connections.open(Interface::Peers, after(start, ms)))
        .map(|(id, _)| id)
        .collect();
    let opened = connections.open(Interface::Peers, after(start, 30));
    assert_eq!(opened.and_then(|(_, victim)| victim), Some(ids[0]));
}

/// Guards against a refused client that keeps its connection.
#[test]
fn refused_connections_are_closed_after_a_while() {
    let start = Instant::now();
    let mut connections = Connections::new(limits);
    let (id, _) = connections.open(Interface::Callers, start).expect("room");
    connections.set_phase(id, Phase::Refused, start);
    connections.set_phase(id, Phase::Idle, start);
    assert!(connections.close_refused(after(start, 900)).is_empty());
    assert_eq!(connections.close_refused(after(start, 1_000)), [id]);
    assert_eq!(connections.open_count(Interface::Callers), 0);
}

/// Guards against a reader that waits for a message that was evicted.
#[ntex::test]
async fn stalled_messages_learn_that_they_are_evicted() {
    let admission = on_smallest_host();
    let reservation = admission.open_message(Interface::Callers);
    assert_eq!(reservation.resize(100), Ok(()));
    let now = Instant::now();
    admission.close_stalled(now);
    assert_eq!(reservation.resize(100), Ok(()));
    let (why, ()) = tokio::join!(reservation.evicted(), async {
        admission.close_stalled(after(Instant::now(), 5_000));
    });
    assert_eq!(why, Refusal::Stalled);
    assert_eq!(reservation.resize(200), Err(Refusal::Stalled));
    assert_eq!(reservation.record_end(), Err(Refusal::Stalled));
    assert_eq!(reservation.evicted().await, Refusal::Stalled);
}

/// Guards against a message that waits for ever after it was evicted while it waited for room.
#[ntex::test]
async fn messages_that_wait_for_room_are_evicted_as_stalled() {
    let admission = on_smallest_host();
    let reservation = admission.open_message(Interface::Peers);
    admission.close_stalled(after(Instant::now(), 5_000));
    assert_eq!(reservation.resize(1), Err(Refusal::Stalled));
    assert_eq!(reservation.evicted().await, Refusal::Stalled);
}
