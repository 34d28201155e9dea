//! Spans of time that leases and exchanges are built on, and the margins between them.
//!
//! A worker starts counting a lease when it takes an exchange; an owner counts from when it sent
//! it, so that the owner's idea of holding ends first. Whoever wants to rely on a lease's end
//! counts from the last instant at which it can have been renewed, and adds the margins here.

use kspan_model::Millis;

/// How long a worker obeys one owner without another exchange. Takeover waits this long, so it
/// stays well under the five seconds that a takeover may take.
pub const CONTROL_LEASE: Millis = Millis::from_secs(2);

/// How long tasks keep running without another exchange. Outlasts a takeover several times over.
pub const TASK_LEASE: Millis = Millis::from_secs(15);

/// Rates of clocks differ by at most one part in this many.
pub const CLOCK_DRIFT_DIVISOR: u64 = 100;

/// Clocks of hosts agree within this.
pub const MAX_CLOCK_SKEW: Millis = Millis(500);

/// Time that a worker may take to stop a task whose lease has lapsed.
pub const LAPSED_TASK_STOP: Millis = Millis(1_000);

/// Longest wait for an exchange's answer. Two exchanges fit into a control lease.
pub const EXCHANGE_TIMEOUT: Millis = Millis(800);

/// After its connection was closed, a request may still reach the worker for this long.
pub const MAX_DELIVERY_DELAY: Millis = Millis(2_000);

/// A start is refused when it is carried out later than this after it was sent.
pub const START_VALIDITY: Millis = Millis(3_000);

/// Failed exchanges in a row after which a worker counts as silent.
pub const SILENT_AFTER_FAILURES: u32 = 2;

/// A gap between two turns of the decisions after which every lease may have lapsed unseen.
pub const MAX_TURN_GAP: Millis = Millis(1_000);

/// An owner without a majority of its shard's workers stops renewing their leases after this,
/// unless its guard vouches that no other view is in force.
pub const QUORUM_GRACE: Millis = Millis(2_000);

/// A superseded owner has renewed its last lease this long after its successor was granted a
/// majority: the grace, one exchange, and the delivery of a late one.
pub const SUPERSEDED_RENEWAL_BOUND: Millis =
    Millis(QUORUM_GRACE.0 + EXCHANGE_TIMEOUT.0 + MAX_DELIVERY_DELAY.0);

/// Shortest period of exchanges with one worker. Four fit into a control lease.
pub const MIN_EXCHANGE_PERIOD: Millis = Millis(500);

/// Longest period of exchanges; one lost answer must not cost the control lease.
pub const MAX_EXCHANGE_PERIOD: Millis = Millis(900);

/// Bytes of one exchange without commands and changes, both ways, with headers.
pub const BASE_EXCHANGE_BYTES: u64 = 640;

/// Bytes a second that an owner may spend on exchanges: most of the 18 KB a second that a node
/// may spend on control.
pub const MAX_EXCHANGE_BYTES_PER_SECOND: u64 = 14_000;

/// Period of probes of workers that are leased to another owner, or silent.
pub const PROBE_PERIOD: Millis = Millis(250);

/// Time between marking a runner as leaving and telling its worker to stop it, so that every
/// router has stopped sending to it.
pub const RUNNER_STOP_DELAY: Millis = Millis(1_500);

/// Tasks of jobs that nobody knows are stopped after this, which is longer than a process needs
/// to read the log's newest records.
pub const ORPHAN_GRACE: Millis = Millis::from_secs(10);

/// Returns the period of exchanges with each of `workers` workers.
///
/// # Examples
///
/// ```
/// use kspan_model::Millis;
/// use kspan_scheduler::timing::exchange_period;
///
/// assert_eq!(exchange_period(8), Millis(500));
/// assert_eq!(exchange_period(17), Millis(777));
/// ```
pub fn exchange_period(workers: usize) -> Millis {
    let bytes =
        BASE_EXCHANGE_BYTES * u64::try_from(workers).unwrap_or(u64::MAX / BASE_EXCHANGE_BYTES);
    let period = bytes * 1_000 / MAX_EXCHANGE_BYTES_PER_SECOND;
    Millis(period.clamp(MIN_EXCHANGE_PERIOD.0, MAX_EXCHANGE_PERIOD.0))
}

/// Returns how long an owner may count on a lease of `span` from when it sent the exchange.
pub const fn guaranteed_for(span: Millis) -> Millis {
    Millis(span.0 - span.0 / CLOCK_DRIFT_DIVISOR)
}

/// Returns after how long everybody may count on a lease of `span` having lapsed, from the last
/// instant at which it can have been renewed.
pub const fn lapsed_after(span: Millis) -> Millis {
    Millis(span.0 + span.0 / CLOCK_DRIFT_DIVISOR + LAPSED_TASK_STOP.0)
}
