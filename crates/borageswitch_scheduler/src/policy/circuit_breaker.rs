//! A circuit breaker for executors on which runs fail.
//!
//! A faulty host may fail everything that it starts within a moment. It is always the emptiest, so
//! without a circuit breaker every waiting task is sent there, fails, and uses up its few attempts,
//! until jobs that could succeed are reported as failed.

use std::time::Duration;

use borageswitch_types::Time;

/// The number of consecutive failures that opens the breaker. Jobs that can never succeed (some 3
/// in 100) fail on healthy hosts too, but two in a row from different jobs are rare there.
const OPEN_AFTER: u32 = 2;
/// How long the breaker stays open the first time; about the length of one task.
const INITIAL_OPEN_TIME: Duration = Duration::from_millis(1_500);
/// The longest time that it stays open, after which most hosts have recovered.
const MAX_OPEN_TIME: Duration = Duration::from_millis(6_000);

/// How long the outcome of a probe is awaited. A probe may be a task that lasts or hangs; without a
/// timeout, the executor would never get work again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The circuit breaker of one executor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    failures: u32,
    openings: u32,
    open_until: Time,
    probe: Option<Time>,
}

impl CircuitBreaker {
    /// Closes the breaker: a run is done, or a lasting one serves.
    pub fn record_success(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// Records the failure of a run that is not known to fail everywhere.
    pub fn record_failure(&mut self, now: Time) {
        self.failures += 1;
        self.probe = None;
        if self.failures >= OPEN_AFTER && now >= self.open_until {
            let open_time =
                INITIAL_OPEN_TIME.saturating_mul(1 << self.openings.min(4)).min(MAX_OPEN_TIME);
            self.open_until = now + open_time;
            self.openings += 1;
        }
    }

    /// Records that a run was placed on the executor.
    pub fn record_placement(&mut self, now: Time) {
        if self.is_tripped() {
            self.probe = Some(now);
        }
    }

    /// Returns whether a new run may be placed on the executor. Once the open time is over, one run
    /// at a time probes whether the executor has recovered, whatever else still runs there.
    pub fn allows(&self, now: Time) -> bool {
        if !self.is_tripped() {
            return true;
        }
        let probing = self.probe.is_some_and(|probe| now.since(probe) < PROBE_TIMEOUT);
        now >= self.open_until && !probing
    }

    /// Returns whether the breaker is open or probing, so that the executor gets no ordinary work.
    pub fn is_tripped(&self) -> bool {
        self.failures >= OPEN_AFTER
    }
}
