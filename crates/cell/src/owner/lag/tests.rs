//! Tests of the detection of an overloaded owner.

use kspan_model::Millis;

use super::LagMonitor;

/// Interval of the timer in the tests, in milliseconds.
const INTERVAL: u64 = 100;

/// Returns the time at which an owner hands over whose timers are delayed from 4 s on, by a delay
/// that depends on the time.
fn handover_at(settled_after: u64, delay: impl Fn(u64) -> u64) -> Option<u64> {
    let mut monitor = LagMonitor::new(Millis(0));
    let mut now = 0;
    while now < 60_000 {
        now += INTERVAL + delay(now);
        if now >= settled_after {
            monitor.record_settled(Millis(now));
        }
        if monitor.record_timer(Millis(delay(now)), Millis(now)) {
            return Some(now);
        }
    }
    None
}

/// Guards against an owner that keeps the cell on a host that has become slow: half of all jobs were
/// late until the host recovered.
#[test]
fn owner_on_a_slow_host_hands_over_within_two_seconds() {
    let slow_from_4_s = |now| if now >= 4_000 { 120 } else { 5 };
    let at = handover_at(300, slow_from_4_s).expect("the owner hands over");
    assert!(at < 6_000, "handed over at {at} ms");
}

/// Guards against handovers because of single long scheduling passes.
#[test]
fn single_delays_cause_no_handover() {
    let every_fifth_timer = |now: u64| {
        if (now / INTERVAL).is_multiple_of(5) {
            200
        } else {
            5
        }
    };
    assert_eq!(handover_at(300, every_fifth_timer), None);
}

/// Guards against a cell that moves from host to host under a load that no host can bear: each
/// takeover then takes seconds.
#[test]
fn expensive_takeovers_are_rare() {
    let always_slow = |_| 120;
    let at = handover_at(5_000, always_slow).expect("the owner hands over");
    assert!(at >= 40_000, "handed over at {at} ms");
}

/// Guards against a handover before the state of the runners is known.
#[test]
fn unsettled_owner_does_not_hand_over() {
    assert_eq!(handover_at(u64::MAX, |_| 120), None);
}

/// Guards against an overloaded cell that hands over again and again: the time that the takeover took
/// counts after a request, too.
#[test]
fn second_request_waits_as_long_as_the_first() {
    let mut monitor = LagMonitor::new(Millis(0));
    monitor.record_settled(Millis(2_000));
    let mut requests = Vec::new();
    for now in (0..60_000).step_by(200) {
        if monitor.record_timer(Millis(120), Millis(now)) {
            monitor.restart(Millis(now));
            requests.push(now);
        }
    }
    assert_eq!(requests, [16_000, 32_000, 48_000]);
}
