//! Durations that leases and exchanges rely on, and the safety margins between them.
//!
//! A worker counts a lease from when it receives an exchange; the owner counts from when it sent
//! it, so the owner always assumes the earlier expiry. Code that relies on a lease having expired
//! counts from the last instant at which it can have been renewed, and adds the margins defined
//! here.

use kspan_model::Millis;

/// Duration of the control lease: how long a worker accepts commands from one owner without another
/// exchange. A takeover waits for its expiry, so it stays well below the five seconds allowed for a
/// takeover.
pub const CONTROL_LEASE: Millis = Millis::from_secs(2);

/// Duration of the task lease: how long tasks keep running without another exchange. It is several
/// times as long as a takeover.
pub const TASK_LEASE: Millis = Millis::from_secs(15);

/// Clock rates differ by at most one part in this many.
pub const CLOCK_DRIFT_DIVISOR: u64 = 100;

/// Largest difference between the clocks of two hosts.
pub const MAX_CLOCK_SKEW: Millis = Millis(500);

/// Time that a worker may take to stop a task whose lease has expired.
pub const MAX_TASK_STOP_DELAY: Millis = Millis(1_000);

/// Timeout of one exchange. Two exchanges fit into a control lease.
pub const EXCHANGE_TIMEOUT: Millis = Millis(800);

/// How long a request may still reach the worker after its connection was closed.
pub const MAX_DELIVERY_DELAY: Millis = Millis(2_000);

/// How long after it was sent a start may still be executed; the worker refuses it afterwards.
pub const START_VALIDITY: Millis = Millis(3_000);

/// Consecutive failed exchanges after which a worker counts as silent.
pub const SILENT_AFTER_FAILURES: u32 = 2;

/// Largest gap between two turns. After a longer one every lease may have expired unnoticed, and
/// all claims are dropped.
pub const MAX_TURN_GAP: Millis = Millis(1_000);

/// How long an owner that has lost the majority of its shard's workers keeps renewing their leases,
/// unless its guard confirms that no other view is in force.
pub const QUORUM_GRACE: Millis = Millis(2_000);

/// Bound after which a superseded owner renews no lease, from when its successor was granted a
/// majority: the quorum grace, one exchange timeout, and the delivery of a late exchange.
pub const SUPERSEDED_RENEWAL_BOUND: Millis =
    Millis(QUORUM_GRACE.0 + EXCHANGE_TIMEOUT.0 + MAX_DELIVERY_DELAY.0);

/// Shortest interval between exchanges with one worker. Four fit into a control lease.
pub const MIN_EXCHANGE_INTERVAL: Millis = Millis(500);

/// Longest interval between exchanges with one worker; one lost reply must not let the control lease expire.
pub const MAX_EXCHANGE_INTERVAL: Millis = Millis(900);

/// Bytes of one exchange without commands or inventory changes, in both directions, including
/// headers.
pub const BASE_EXCHANGE_BYTES: u64 = 640;

/// Bytes per second that an owner may spend on exchanges: most of the 18 KB per second that a node
/// may spend on control traffic.
pub const MAX_EXCHANGE_BYTES_PER_SECOND: u64 = 14_000;

/// Interval between probes of workers that are silent or leased to another owner.
pub const PROBE_INTERVAL: Millis = Millis(250);

/// Delay between marking a runner as leaving and ordering its worker to stop it, so that every
/// router has stopped sending requests to it.
pub const RUNNER_STOP_DELAY: Millis = Millis(1_500);

/// How long tasks of unknown jobs keep running before they are stopped; longer than a process needs
/// to read the newest records of the log.
pub const ORPHAN_GRACE: Millis = Millis::from_secs(10);

/// Returns the interval between exchanges with each of `workers` workers.
///
/// # Examples
///
/// ```
/// use kspan_model::Millis;
/// use kspan_scheduler::timing::exchange_interval;
///
/// assert_eq!(exchange_interval(8), Millis(500));
/// assert_eq!(exchange_interval(17), Millis(777));
/// ```
pub fn exchange_interval(workers: usize) -> Millis {
    let bytes =
        BASE_EXCHANGE_BYTES * u64::try_from(workers).unwrap_or(u64::MAX / BASE_EXCHANGE_BYTES);
    let interval = bytes * 1_000 / MAX_EXCHANGE_BYTES_PER_SECOND;
    Millis(interval.clamp(MIN_EXCHANGE_INTERVAL.0, MAX_EXCHANGE_INTERVAL.0))
}

/// Returns how long an owner may rely on a lease of `span`, from when it sent the exchange.
pub const fn guaranteed_for(span: Millis) -> Millis {
    Millis(span.0 - span.0 / CLOCK_DRIFT_DIVISOR)
}

/// Returns the time after which a lease of `span` has certainly expired and its tasks have stopped,
/// from the last instant at which it can have been renewed.
pub const fn expired_after(span: Millis) -> Millis {
    Millis(span.0 + span.0 / CLOCK_DRIFT_DIVISOR + MAX_TASK_STOP_DELAY.0)
}
